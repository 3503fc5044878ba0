//! `verify-data`: data folders that are intact, have a torn tail, are damaged or are in use.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use cicadabend_daemon::storage::{
    DataFolder,
    Journal,
    JournalSettings, //
};
use tempfile::TempDir;

use super::support::{
    Seen,
    run, //
};

/// Returns a data folder whose journal `claims` has three synced records.
fn folder_with_three_records() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let daemon = "control-1".parse().unwrap();
    let data = DataFolder::open(folder.path(), &daemon, 0xd15c).unwrap();
    let (mut journal, _) = Journal::open(&data, "claims", JournalSettings::default()).unwrap();
    for payload in [b"one".as_slice(), b"two", b"three"] {
        journal.append(payload).unwrap();
    }
    journal.sync().unwrap();
    folder
}

fn segment_of(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path());
    let mut segments = files.filter(|path| path.to_str().unwrap().contains("claims"));
    segments.next().unwrap()
}

fn verify(folder: &Path) -> Seen {
    run(&["verify-data", folder.to_str().unwrap()])
}

#[test]
fn an_intact_folder_is_clean() {
    let folder = folder_with_three_records();
    let segment = segment_of(folder.path());
    let segment = segment.file_name().unwrap().to_str().unwrap();

    let seen = verify(folder.path());

    let expected = format!(
        "daemon control-1, disk 0xd15c\njournal claims: 3 records, 1 to 3\n  {segment}\nclean\n"
    );
    assert_eq!(seen.stdout, expected);
    assert_eq!((seen.stderr.as_str(), seen.code), ("", 0));
}

/// Guards against treating a torn tail as damage, or cutting it off. The tail arises when a daemon
/// is killed while it writes a record; the record was never acknowledged.
#[test]
fn a_torn_tail_is_shown_and_not_changed() {
    let folder = folder_with_three_records();
    let segment = segment_of(folder.path());
    let mut bytes = fs::read(&segment).unwrap();
    bytes.truncate(bytes.len() - 2);
    fs::write(&segment, &bytes).unwrap();

    let seen = verify(folder.path());

    assert!(seen.stdout.contains("journal claims: 2 records, 1 to 2\n"));
    assert!(seen.stdout.contains("  torn tail: "), "{}", seen.stdout);
    assert!(seen.stdout.ends_with("usable, but not clean\n"));
    assert_eq!(seen.code, 0);
    assert_eq!(fs::read(&segment).unwrap(), bytes);
}

/// Guards against accepting a folder that lost a record. A bit flips within a record that was
/// synced and acknowledged, so the disk must count as lost.
#[test]
fn a_flipped_bit_is_reported_as_damage() {
    let folder = folder_with_three_records();
    let segment = segment_of(folder.path());
    let mut bytes = fs::read(&segment).unwrap();
    let offset = bytes.windows(3).position(|part| part == b"two").unwrap();
    bytes[offset] ^= 1;
    fs::write(&segment, &bytes).unwrap();

    let seen = verify(folder.path());

    assert_eq!(seen.code, 3);
    assert!(
        seen.stderr
            .contains("the checksum of a record's payload is wrong; the disk counts as lost"),
        "{}",
        seen.stderr
    );
}

#[test]
fn a_folder_that_is_open_in_a_daemon_is_refused_with_a_hint() {
    let folder = folder_with_three_records();
    let daemon = "control-1".parse().unwrap();
    let _open = DataFolder::open(folder.path(), &daemon, 0).unwrap();

    let seen = verify(folder.path());

    assert_eq!(seen.code, 3);
    assert!(
        seen.stderr
            .ends_with("Hint: stop the control daemon first, or verify a copy of the folder\n"),
        "{}",
        seen.stderr
    );
}

#[test]
fn the_json_format_reports_the_same() {
    let folder = folder_with_three_records();

    let path = folder.path().to_str().unwrap();
    let seen = run(&["verify-data", path, "--output", "json"]);

    let summary: serde_json::Value = serde_json::from_str(&seen.stdout).unwrap();
    assert_eq!(summary["clean"], true);
    assert_eq!(summary["journals"][0]["records"], 3);
    assert_eq!(summary["journals"][0]["last_sequence"], 3);
}
