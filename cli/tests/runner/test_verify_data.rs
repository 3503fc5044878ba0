//! `verify-data`: a folder that is whole, torn, damaged, in use or none.

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

/// Writes three synced records into the journal `claims`.
fn written_folder() -> TempDir {
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
fn a_whole_folder_is_clean() {
    let folder = written_folder();
    let segment = segment_of(folder.path());
    let segment = segment.file_name().unwrap().to_str().unwrap();

    let seen = verify(folder.path());

    let expected = format!(
        "daemon control-1, disk 0xd15c\njournal claims: 3 records, 1 to 3\n  {segment}\nclean\n"
    );
    assert_eq!(seen.stdout, expected);
    assert_eq!((seen.stderr.as_str(), seen.code), ("", 0));
}

/// The operator sees that the folder is usable. The daemon was killed while it wrote a
/// record, so the file ends in the middle of it; the record was never answered for.
#[test]
fn a_torn_tail_is_shown_and_left_alone() {
    let folder = written_folder();
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

/// The operator is told that the disk counts as lost. A bit flips in the middle of a
/// record that was synced and answered for; to go on without it would break a promise.
#[test]
fn a_flipped_bit_is_damage() {
    let folder = written_folder();
    let segment = segment_of(folder.path());
    let mut bytes = fs::read(&segment).unwrap();
    let place = bytes.windows(3).position(|part| part == b"two").unwrap();
    bytes[place] ^= 1;
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
fn a_folder_that_a_daemon_has_open_is_refused_with_a_hint() {
    let folder = written_folder();
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
fn a_script_gets_the_same_as_json() {
    let folder = written_folder();

    let path = folder.path().to_str().unwrap();
    let seen = run(&["verify-data", path, "--output", "json"]);

    let summary: serde_json::Value = serde_json::from_str(&seen.stdout).unwrap();
    assert_eq!(summary["clean"], true);
    assert_eq!(summary["journals"][0]["records"], 3);
    assert_eq!(summary["journals"][0]["last_sequence"], 3);
}
