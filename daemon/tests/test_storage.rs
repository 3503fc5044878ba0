//! Journals and the data folder on real files.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should end its test"
)]

use std::{
    fs, io,
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use cicadabend_daemon::storage::{
    DataFolder,
    Disk,
    DiskFile,
    Journal,
    JournalSettings,
    Recovered,
    StorageError,
    SystemDisk,
    verify, //
};
use rstest::rstest;

const NAME: &str = "log";

fn open_folder(path: &Path) -> Result<DataFolder, StorageError> {
    DataFolder::open(path, &"control-1".parse().unwrap(), 7)
}

fn open(path: &Path) -> Result<(Journal, Recovered), StorageError> {
    Journal::open(&open_folder(path)?, NAME, JournalSettings::default())
}

fn payloads(recovered: &Recovered) -> Vec<String> {
    let text = |payload: &Vec<u8>| String::from_utf8(payload.clone()).unwrap();
    let records = recovered.records.iter();
    records.map(|record| text(&record.payload)).collect()
}

fn write_records(path: &Path, records: &[&str]) {
    let (mut journal, _) = open(path).unwrap();
    for record in records {
        journal.append(record.as_bytes()).unwrap();
        journal.sync().unwrap();
    }
}

fn segment_files(path: &Path) -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = fs::read_dir(path)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|file| file.extension().is_some_and(|extension| extension == "log"))
        .collect();
    files.sort();
    files
}

// 300 changes, the log rewritten several times between, and a restart after each
// tenth change: the last state must come back, never an older one.
#[test]
fn hundreds_of_changes_survive_restarts_and_rewrites() {
    let folder = tempfile::tempdir().unwrap();
    for round in 0..30 {
        let (mut journal, recovered) = open(folder.path()).unwrap();
        let expected = (round > 0).then(|| format!("change {}", round * 10));
        assert_eq!(payloads(&recovered).last().cloned(), expected);
        for change in round * 10 + 1..=round * 10 + 10 {
            journal
                .append(format!("change {change}").as_bytes())
                .unwrap();
            journal.sync().unwrap();
        }
        if round % 4 == 3 {
            let summary = format!("change {}", round * 10 + 10);
            journal.rewrite([summary.as_bytes()]).unwrap();
        }
    }
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(payloads(&recovered).last().unwrap(), "change 300");
    assert_eq!(recovered.records.len(), 21);
}

// The process dies at each byte of writing the last two records. Those before are
// whole and come back; the torn record is cut and reported, and writing goes on.
#[test]
fn a_tail_torn_at_any_byte_is_cut() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), &["first"]);
    let file = segment_files(folder.path()).remove(0);
    let synced_length = fs::read(&file).unwrap().len();
    write_records(folder.path(), &["second", "third, a little longer"]);
    let whole = fs::read(&file).unwrap();

    for length in synced_length..whole.len() {
        fs::write(&file, &whole[..length]).unwrap();
        let (mut journal, recovered) = open(folder.path()).unwrap();
        let kept = payloads(&recovered);
        assert_eq!(kept[0], "first");
        assert!(kept.len() <= 2);
        let whole_length = recovered
            .torn_tail
            .map_or(length, |torn| torn.kept_bytes as usize);
        assert_eq!(fs::read(&file).unwrap().len(), whole_length);
        journal.append(b"after").unwrap();
        journal.sync().unwrap();
        drop(journal);
        let (_, again) = open(folder.path()).unwrap();
        assert_eq!(payloads(&again).last().unwrap(), "after");
        assert_eq!(again.torn_tail, None);
    }
}

// The file system had lengthened the file, but the bytes never arrived.
#[test]
fn a_tail_of_zeros_is_cut() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), &["first", "second"]);
    let file = segment_files(folder.path()).remove(0);
    let whole = fs::read(&file).unwrap();
    let second_at = whole.len() - ("second".len() + 21);

    for zeros_from in second_at..whole.len() {
        let mut bytes = whole.clone();
        bytes[zeros_from..].fill(0);
        bytes.extend_from_slice(&[0; 50]);
        fs::write(&file, &bytes).unwrap();
        let (_, recovered) = open(folder.path()).unwrap();
        assert_eq!(payloads(&recovered), ["first"], "zeros from {zeros_from}");
        assert!(recovered.torn_tail.is_some());
    }
}

// One bit of the file flips, at any place. All records were synced, so none may be
// given up silently: the journal refuses to open, and the file stays as it is.
#[test]
fn any_flipped_bit_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), &["first", "second", "third"]);
    let file = segment_files(folder.path()).remove(0);
    let whole = fs::read(&file).unwrap();

    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            fs::write(&file, &bytes).unwrap();
            let opened = open(folder.path());
            assert!(
                matches!(opened, Err(StorageError::Damaged { .. })),
                "bit {bit} of byte {at} was not noticed"
            );
            assert_eq!(fs::read(&file).unwrap(), bytes);
        }
    }
}

fn make_three_segments(path: &Path) -> Vec<PathBuf> {
    let settings = JournalSettings { segment_bytes: 64 };
    let (mut journal, _) = Journal::open(&open_folder(path).unwrap(), NAME, settings).unwrap();
    for number in 0..6 {
        journal
            .append(format!("record number {number}").as_bytes())
            .unwrap();
        journal.sync().unwrap();
    }
    segment_files(path)
}

#[rstest]
#[case::first(0)]
#[case::middle(1)]
fn a_missing_segment_is_refused(#[case] missing: usize) {
    let folder = tempfile::tempdir().unwrap();
    let files = make_three_segments(folder.path());
    assert!(files.len() >= 3);
    fs::remove_file(&files[missing]).unwrap();

    let opened = open(folder.path());

    assert!(matches!(
        opened,
        Err(StorageError::SegmentMissing { .. } | StorageError::Damaged { .. })
    ));
}

// A segment is begun only after the one before was synced, so a short one in the
// middle has lost synced records.
#[test]
fn a_short_segment_in_the_middle_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let files = make_three_segments(folder.path());
    let bytes = fs::read(&files[1]).unwrap();
    fs::write(&files[1], &bytes[..bytes.len() - 3]).unwrap();

    assert!(matches!(
        open(folder.path()),
        Err(StorageError::Damaged { .. })
    ));
}

#[test]
fn a_newer_format_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), &["first"]);
    let file = segment_files(folder.path()).remove(0);
    let mut bytes = fs::read(&file).unwrap();
    bytes[8] = 9;
    let checksum = crc32fast::hash(&bytes[..28]);
    bytes[28..32].copy_from_slice(&checksum.to_le_bytes());
    fs::write(&file, &bytes).unwrap();

    let opened = open(folder.path());

    assert!(matches!(
        opened,
        Err(StorageError::FormatVersion {
            found: 9,
            known: 1,
            ..
        })
    ));
}

#[test]
fn the_same_folder_opens_once() {
    let folder = tempfile::tempdir().unwrap();
    let first = open_folder(folder.path()).unwrap();

    let second = open_folder(folder.path());
    assert!(matches!(second, Err(StorageError::FolderInUse { .. })));
    let offline = verify(folder.path());
    assert!(matches!(offline, Err(StorageError::FolderInUse { .. })));

    drop(first);
    open_folder(folder.path()).unwrap();
}

#[test]
fn the_same_journal_opens_once() {
    let folder = tempfile::tempdir().unwrap();
    let data = open_folder(folder.path()).unwrap();
    let first = Journal::open(&data, NAME, JournalSettings::default()).unwrap();

    let second = Journal::open(&data, NAME, JournalSettings::default());
    assert!(matches!(second, Err(StorageError::JournalInUse { .. })));
    let other = Journal::open(&data, "claims", JournalSettings::default());
    assert!(other.is_ok());

    drop(first);
    Journal::open(&data, NAME, JournalSettings::default()).unwrap();
}

// A disk was lost and the folder is empty: the daemon gets another disk number, so
// that the other voters do not take its promises for those of the old disk.
#[test]
fn a_lost_disk_is_a_new_voter() {
    let folder = tempfile::tempdir().unwrap();
    let daemon = "control-1".parse().unwrap();
    let before = DataFolder::open(folder.path(), &daemon, 1)
        .unwrap()
        .identity()
        .clone();
    let restarted = DataFolder::open(folder.path(), &daemon, 2)
        .unwrap()
        .identity()
        .clone();
    assert_eq!(before, restarted);

    fs::remove_dir_all(folder.path()).unwrap();
    let after = DataFolder::open(folder.path(), &daemon, 3)
        .unwrap()
        .identity()
        .clone();

    assert_eq!(after.daemon, before.daemon);
    assert_ne!(after.disk, before.disk);
}

#[test]
fn a_folder_of_another_daemon_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    drop(open_folder(folder.path()).unwrap());

    let opened = DataFolder::open(folder.path(), &"control-2".parse().unwrap(), 7);

    assert!(matches!(opened, Err(StorageError::ForeignFolder { .. })));
}

// Only the identity file is gone. A new number would let one disk vote twice.
#[test]
fn journals_without_an_identity_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), &["first"]);
    fs::remove_file(folder.path().join("identity.json")).unwrap();

    assert!(matches!(
        open_folder(folder.path()),
        Err(StorageError::IdentityMissing { .. })
    ));
}

#[test]
fn a_changed_identity_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    drop(open_folder(folder.path()).unwrap());
    let file = folder.path().join("identity.json");
    let text = fs::read_to_string(&file).unwrap();
    fs::write(&file, text.replace("\"disk\": 7", "\"disk\": 8")).unwrap();

    assert!(matches!(
        open_folder(folder.path()),
        Err(StorageError::IdentityDamaged { .. })
    ));
}

/// The real file system, whose new files are on a device without room while `full`.
struct FullDevice {
    full: Arc<AtomicBool>,
}

impl Disk for FullDevice {
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        if self.full.load(Ordering::Relaxed) {
            return SystemDisk.create(Path::new("/dev/full"));
        }
        SystemDisk.create(path)
    }
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        SystemDisk.read(path)
    }
    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        SystemDisk.list(folder)
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        SystemDisk.rename(from, to)
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        SystemDisk.remove(path)
    }
    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        SystemDisk.sync_folder(folder)
    }
}

// The kernel's own "no space left" while the log is rewritten: the old records stay.
#[test]
fn a_device_without_room_is_reported_as_full() {
    let folder = tempfile::tempdir().unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let disk = Arc::new(FullDevice {
        full: Arc::clone(&full),
    });
    let daemon = "control-1".parse().unwrap();
    let data = DataFolder::open_on(disk, folder.path(), &daemon, 7).unwrap();
    let (mut journal, _) = Journal::open(&data, NAME, JournalSettings::default()).unwrap();
    journal.append(b"first").unwrap();
    journal.sync().unwrap();

    full.store(true, Ordering::Relaxed);
    let rewritten = journal.rewrite([b"summary".as_slice()]);
    assert!(matches!(rewritten, Err(StorageError::DiskFull { .. })));

    full.store(false, Ordering::Relaxed);
    journal.append(b"second").unwrap();
    journal.sync().unwrap();
    drop((journal, data));
    let (_, recovered) = open(folder.path()).unwrap();
    assert_eq!(payloads(&recovered), ["first", "second"]);
}

#[test]
fn offline_verification_shows_the_folder_and_changes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), &["first", "second"]);
    let file = segment_files(folder.path()).remove(0);
    let mut bytes = fs::read(&file).unwrap();
    bytes.extend_from_slice(b"half a rec");
    fs::write(&file, &bytes).unwrap();

    let report = verify(folder.path()).unwrap();

    assert!(!report.is_clean());
    assert_eq!(
        report.to_string(),
        "daemon control-1, disk 0x7\n\
         journal log: 2 records, 1 to 2\n  \
         log-0000000001-00000000000000000001.log\n  \
         torn tail: 10 bytes after byte 85 were never synced\n"
    );
    assert_eq!(report.journals[0].records[1].payload, b"second");
    assert_eq!(fs::read(&file).unwrap(), bytes);
}
