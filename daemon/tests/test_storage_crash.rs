//! Journals whose disk loses power, fills up or fails to sync, at every operation.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should end its test"
)]

mod memory_disk;

use std::{
    path::Path,
    sync::Arc, //
};

use cicadabend_daemon::storage::{
    DataFolder,
    Journal,
    JournalSettings,
    Recovered,
    StorageError, //
};
use memory_disk::{
    Fault,
    MemoryDisk, //
};
use rstest::rstest;

/// Small, so that the workload begins several segments.
const SETTINGS: JournalSettings = JournalSettings { segment_bytes: 256 };
const CHANGES: u64 = 24;
const CHANGES_PER_REWRITE: u64 = 10;

fn open(disk: &MemoryDisk, lock_folder: &Path) -> Result<(Journal, Recovered), StorageError> {
    let daemon = "control-1".parse().unwrap();
    let folder = DataFolder::open_on(Arc::new(disk.clone()), lock_folder, &daemon, 7)?;
    Journal::open(&folder, "log", SETTINGS)
}

fn change(number: u64) -> Vec<u8> {
    format!("change {number} {}", "x".repeat(number as usize % 40)).into_bytes()
}

/// Returns the last change whose sync succeeded, and the last one that was taken.
fn run_changes(journal: &mut Journal) -> (u64, u64) {
    let mut synced = 0;
    for number in 1..=CHANGES {
        if journal.append(&change(number)).is_err() || journal.sync().is_err() {
            return (synced, number);
        }
        synced = number;
        if number % CHANGES_PER_REWRITE == 0 && rewrite_as(journal, number).is_err() {
            return (synced, number);
        }
    }
    (synced, CHANGES)
}

/// Replaces the journal by one record that stands for all changes so far.
fn rewrite_as(journal: &mut Journal, through: u64) -> Result<u64, StorageError> {
    let summary = format!("through {through}").into_bytes();
    journal.rewrite([summary.as_slice()])
}

/// Returns the last change that the records stand for; fails if one is missing between.
fn last_change(recovered: &Recovered) -> u64 {
    let mut last = 0;
    for record in &recovered.records {
        let text = String::from_utf8(record.payload.clone()).unwrap();
        let number = text.split(' ').nth(1).unwrap().parse().unwrap();
        if text.starts_with("change") {
            assert_eq!(number, last + 1, "a change is missing or doubled");
            assert_eq!(record.payload, change(number));
        }
        last = number;
    }
    last
}

// The power goes before any one operation of the disk: a write, a sync, a rename,
// a removal. Of what was not synced, nothing, a part or all reaches the disk.
// After the restart every change that was answered must be there, in order.
#[rstest]
#[case::nothing_unsynced_kept(0, false)]
#[case::part_kept(40, true)]
#[case::part_kept_without_names(70, false)]
#[case::all_kept(100, true)]
fn power_cut_at_every_operation(#[case] kept_percent: usize, #[case] names_kept: bool) {
    let lock_folder = tempfile::tempdir().unwrap();
    let rehearsal = MemoryDisk::default();
    run_changes(&mut open(&rehearsal, lock_folder.path()).unwrap().0);
    assert!(rehearsal.operations() > 100);

    for operation in 0..rehearsal.operations() {
        let disk = MemoryDisk::default();
        disk.plan_fault(operation, Fault::PowerCut);
        let (synced, taken) = match open(&disk, lock_folder.path()) {
            Ok((mut journal, _)) => run_changes(&mut journal),
            Err(_) => (0, 0),
        };

        let after = disk.after_power_cut(kept_percent, names_kept);
        let (mut journal, recovered) = open(&after, lock_folder.path())
            .unwrap_or_else(|error| panic!("cut at {operation}: {error}"));

        let last = last_change(&recovered);
        assert!(
            synced <= last && last <= taken,
            "cut at {operation}: {synced} {last} {taken}"
        );
        journal.append(&change(last + 1)).unwrap();
        journal.sync().unwrap();
        drop(journal);
        let (_, again) = open(&after, lock_folder.path()).unwrap();
        assert_eq!(last_change(&again), last + 1);
    }
}

// A sync fails once, and the next one would report success although the kernel has
// dropped the pages. The journal must never say "synced" again in this run; after
// the restart all that was answered is there.
#[test]
fn failed_sync_poisons_for_good() {
    let lock_folder = tempfile::tempdir().unwrap();
    let rehearsal = MemoryDisk::default();
    run_changes(&mut open(&rehearsal, lock_folder.path()).unwrap().0);

    for operation in 0..rehearsal.operations() {
        let disk = MemoryDisk::default();
        disk.plan_fault(operation, Fault::SyncFails);
        let Ok((mut journal, _)) = open(&disk, lock_folder.path()) else {
            continue;
        };
        let (synced, taken) = run_changes(&mut journal);
        let met_fault = taken < CHANGES || journal.is_poisoned();

        if met_fault {
            assert!(journal.is_poisoned(), "sync {operation} failed unnoticed");
            assert!(matches!(journal.sync(), Err(StorageError::Poisoned { .. })));
            assert!(matches!(
                journal.append(b"x"),
                Err(StorageError::Poisoned { .. })
            ));
            assert!(matches!(
                rewrite_as(&mut journal, 1),
                Err(StorageError::Poisoned { .. })
            ));
        }
        drop(journal);
        let after = disk.after_power_cut(0, false);
        let (_, recovered) = open(&after, lock_folder.path()).unwrap();
        assert!(last_change(&recovered) >= synced);
    }
}

// The disk has room for a part of a record only. The caller is told, nothing of the
// record stays, and once there is room again the same journal goes on.
#[test]
fn full_disk_refuses_and_recovers() {
    let lock_folder = tempfile::tempdir().unwrap();
    for room_bytes in 0..change(2).len() + 20 {
        let disk = MemoryDisk::default();
        let (mut journal, _) = open(&disk, lock_folder.path()).unwrap();
        journal.append(&change(1)).unwrap();
        journal.sync().unwrap();

        disk.limit_room(Some(room_bytes));
        journal.append(&change(2)).unwrap();
        let refused = journal.sync();
        assert!(
            matches!(refused, Err(StorageError::DiskFull { .. })),
            "room {room_bytes}"
        );
        assert!(!journal.is_poisoned());
        assert_eq!(journal.synced_sequence(), 1);

        disk.limit_room(None);
        assert_eq!(journal.append(&change(2)).unwrap(), 2);
        journal.sync().unwrap();
        drop(journal);
        let (_, recovered) = open(&disk, lock_folder.path()).unwrap();
        assert_eq!(last_change(&recovered), 2);
    }
}

// A rewrite does not fit: the old records stay, and the journal goes on.
#[test]
fn full_disk_during_a_rewrite_keeps_the_old_records() {
    let lock_folder = tempfile::tempdir().unwrap();
    let disk = MemoryDisk::default();
    let (mut journal, _) = open(&disk, lock_folder.path()).unwrap();
    journal.append(&change(1)).unwrap();
    journal.sync().unwrap();

    disk.limit_room(Some(40));
    assert!(matches!(
        rewrite_as(&mut journal, 1),
        Err(StorageError::DiskFull { .. })
    ));
    disk.limit_room(None);
    journal.append(&change(2)).unwrap();
    journal.sync().unwrap();

    drop(journal);
    let (_, recovered) = open(&disk, lock_folder.path()).unwrap();
    assert_eq!(last_change(&recovered), 2);
    assert_eq!(recovered.records.len(), 2);
}
