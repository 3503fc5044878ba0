//! The settings reference names every setting with its default.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::{
    fs,
    path::PathBuf, //
};

use cicadabend_daemon::settings::{
    ControlSettings,
    EntrySettings,
    Settings,
    parse, //
};
use rstest::rstest;
use serde_json::Value;

/// Returns the rows of the reference's tables: path, then example or default.
fn reference() -> Vec<(String, String)> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../docs/settings.md")).unwrap();
    let rows = page.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| `")?.split(" | ");
        let path = cells.next()?.trim_end_matches('`').to_owned();
        Some((path, cells.next()?.trim_matches('`').to_owned()))
    });
    rows.collect()
}

fn leaves(path: &str, value: &Value, found: &mut Vec<(String, Value)>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                leaves(&path, value, found);
            }
        }
        Value::Array(array) if array.first().is_some_and(Value::is_object) => {
            leaves(&format!("{path}[]"), &array[0], found);
        }
        scalar => found.push((path.to_owned(), scalar.clone())),
    }
}

#[rstest]
#[case(EntrySettings::EXAMPLE, &[])]
#[case(ControlSettings::EXAMPLE, &["cluster", "daemon", "failure_domain", "peer_listen", "peers", "logs", "metrics"])]
fn every_setting_stands_in_the_reference(#[case] example: &str, #[case] told_above: &[&str]) {
    let reference = reference();
    let mut settings = Vec::new();
    leaves("", &serde_json::from_str(example).unwrap(), &mut settings);

    for (path, value) in settings {
        let first = path.split(['.', '[']).next().unwrap();
        let row = reference.iter().find(|(known, _)| *known == path);
        let Some((_, shown)) = row else {
            panic!("{path} is missing");
        };
        if !told_above.contains(&first) {
            assert_eq!(*shown, value.to_string(), "{path}");
        }
    }
}

fn without_optional_parts(example: &str, parts: &[&str]) -> String {
    let mut value: Value = serde_json::from_str(example).unwrap();
    for pointer in parts {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        let parent = value.pointer_mut(parent).unwrap();
        parent.as_object_mut().unwrap().remove(key).unwrap();
    }
    value.to_string()
}

#[test]
fn the_example_of_an_entry_daemon_shows_the_defaults() {
    let whole: EntrySettings = parse(EntrySettings::EXAMPLE).unwrap();
    let optional = [
        "/memory_mb",
        "/callers/max_connections",
        "/callers/max_header_bytes",
        "/callers/max_body_bytes",
        "/callers/read_timeout_ms",
        "/callers/first_byte_timeout_ms",
        "/callers/drain_notice_ms",
        "/callers/drain_timeout_ms",
        "/callers/queue_capacity",
        "/upstreams/announce_interval_ms",
        "/upstreams/lease_ms",
        "/upstreams/connect_timeout_ms",
        "/domain",
        "/logs",
    ];

    let short = without_optional_parts(EntrySettings::EXAMPLE, &optional);

    assert_eq!(parse::<EntrySettings>(&short).unwrap(), whole);
}

#[test]
fn the_example_of_a_control_daemon_shows_the_defaults() {
    let whole: ControlSettings = parse(ControlSettings::EXAMPLE).unwrap();
    let optional = [
        "/memory_mb",
        "/operators/max_request_bytes",
        "/agreement",
        "/claim_retention_ms",
        "/logs",
    ];

    let short = without_optional_parts(ControlSettings::EXAMPLE, &optional);

    assert_eq!(parse::<ControlSettings>(&short).unwrap(), whole);
}

/// Guards against more connections than the memory has buffers for.
#[rstest]
#[case::by_the_setting(256, 100, 100)]
#[case::by_the_memory(160, 1_500, 800)]
fn connections_are_limited_by_the_setting_and_by_the_memory(
    #[case] memory_mb: u64,
    #[case] max_connections: u32,
    #[case] limit: usize,
) {
    let mut settings: EntrySettings = parse(EntrySettings::EXAMPLE).unwrap();
    settings.memory_mb = memory_mb;
    settings.callers.max_connections = max_connections;

    assert_eq!(settings.max_connections(), limit);
}
