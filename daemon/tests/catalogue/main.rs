//! The catalogue pages in `docs/` list exactly what the code declares, and links work.
//!
//! `UPDATE_DOCS=1 cargo test -p cicadabend-daemon --test catalogue` writes the pages anew.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod pages;
mod sources;

use std::{
    collections::BTreeMap,
    env, fs,
    path::{
        Path,
        PathBuf, //
    },
};

use sources::{
    Event,
    Sources, //
};

/// Which numbers a crate's events may have.
const RANGES: [(&str, std::ops::RangeInclusive<u16>); 4] = [
    ("daemon", 1000..=1099),
    ("daemon", 1700..=1899),
    ("entry", 1100..=1499),
    ("control", 1500..=1899),
];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn assert_page_is_current(name: &str, current: &str) {
    let path = root().join("docs").join(name);
    if env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, current).unwrap();
    }
    let page = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        page == current,
        "docs/{name} is not what the code declares; write it anew with\n  \
         UPDATE_DOCS=1 cargo test -p cicadabend-daemon --test catalogue"
    );
}

#[test]
fn the_page_of_log_events_is_current() {
    let sources = Sources::read(&root());

    assert_page_is_current("log_events.md", &pages::log_events(&sources));
}

#[test]
fn the_page_of_metrics_is_current() {
    let sources = Sources::read(&root());

    assert_page_is_current("metrics.md", &pages::metrics(&sources));
}

/// Returns the pages of a folder and the folders in it.
fn pages_in(folder: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(folder).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let pages = paths.flat_map(|path| match path.is_dir() {
        true => pages_in(&path),
        false => vec![path],
    });
    pages
        .filter(|path| path.extension().is_some_and(|extension| extension == "md"))
        .collect()
}

fn dead_links(page: &Path) -> Vec<String> {
    let text = fs::read_to_string(page).unwrap();
    let links = text.split("](").skip(1);
    let targets = links.filter_map(|link| link.split([')', '#']).next());
    let files = targets.filter(|target| !target.is_empty() && !target.contains("://"));
    let dead = files.filter(|target| !page.with_file_name("").join(target).exists());
    dead.map(|target| format!("{}: {target}", page.display()))
        .collect()
}

#[test]
fn links_between_pages_lead_somewhere() {
    let mut pages = pages_in(&root().join("docs"));
    pages.extend(["README.md", "CONTRIBUTING.md", "examples/README.md"].map(|p| root().join(p)));

    let dead: Vec<String> = pages.iter().flat_map(|page| dead_links(page)).collect();

    assert!(dead.is_empty(), "{dead:#?}");
}

#[test]
fn a_number_stands_for_one_event() {
    let mut known: BTreeMap<u16, Event> = BTreeMap::new();

    for event in Sources::read(&root()).events {
        if let Some(other) = known.get(&event.number) {
            assert!(other.is_same(&event), "{other:?} and {event:?}");
        }
        known.insert(event.number, event);
    }
}

#[test]
fn numbers_keep_to_the_range_of_their_crate() {
    for event in Sources::read(&root()).events {
        let mut ranges = RANGES.iter();
        let allowed =
            ranges.any(|(name, range)| *name == event.crate_name && range.contains(&event.number));

        assert!(allowed, "{event:?}");
    }
}

#[test]
fn every_declared_event_of_this_crate_is_found_in_its_source() {
    let events = Sources::read(&root()).events;

    for kind in cicadabend_daemon::daemon_events::LogEvent::CATALOGUE {
        let found = events.iter().find(|event| event.number == kind.number);
        let found = found.unwrap();
        assert_eq!(found.text, kind.text);
        assert_eq!(found.level, kind.level.as_str().to_lowercase());
        assert_eq!(found.fields, kind.fields);
    }
}
