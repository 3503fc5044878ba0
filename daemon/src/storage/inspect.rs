//! Reading a data folder offline, without changing it.

use std::{
    collections::BTreeSet,
    fmt,
    path::Path, //
};

use cicadabend::fleet::Voter;

use super::{
    disk::{
        Disk,
        SystemDisk, //
    },
    error::StorageError,
    folder::{
        io_error,
        lock_existing_folder,
        read_identity, //
    },
    record::{
        Record,
        TornTail, //
    },
    segments::{
        list_segments,
        parse_file_name,
        read_generation, //
    },
};

/// What a data folder holds.
#[derive(Clone, Debug)]
pub struct FolderReport {
    /// Whose it is.
    pub identity: Option<Voter>,
    /// Its journals.
    pub journals: Vec<JournalReport>,
}

/// One journal of a folder.
#[derive(Clone, Debug)]
pub struct JournalReport {
    /// Its name.
    pub name: String,
    /// Its segments of the newest generation.
    pub segments: Vec<SegmentReport>,
    /// Its records, oldest first.
    pub records: Vec<Record>,
    /// A tail that the next start will cut.
    pub torn_tail: Option<TornTail>,
}

/// One segment file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentReport {
    /// The file's name.
    pub file_name: String,
    /// Grows by one with each rewrite.
    pub generation: u64,
    /// The number of its first record.
    pub first_sequence: u64,
}

impl FolderReport {
    /// Returns whether every journal is whole to its last byte.
    pub fn is_clean(&self) -> bool {
        let mut journals = self.journals.iter();
        self.identity.is_some() && journals.all(|journal| journal.torn_tail.is_none())
    }
}

impl fmt::Display for FolderReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.identity {
            Some(voter) => writeln!(f, "daemon {}, disk {:#x}", voter.daemon, voter.disk)?,
            None => writeln!(f, "no identity: the folder is new")?,
        }
        for journal in &self.journals {
            journal.fmt(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for JournalReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.records.first().map_or(0, |record| record.sequence);
        let last = self.records.last().map_or(0, |record| record.sequence);
        let count = self.records.len();
        writeln!(
            f,
            "journal {}: {count} records, {first} to {last}",
            self.name
        )?;
        for segment in &self.segments {
            writeln!(f, "  {}", segment.file_name)?;
        }
        if let Some(torn) = self.torn_tail {
            let (cut, kept) = (torn.cut_bytes, torn.kept_bytes);
            writeln!(
                f,
                "  torn tail: {cut} bytes after byte {kept} were never synced"
            )?;
        }
        Ok(())
    }
}

/// Reads and checks every journal of a folder that no process has open.
///
/// # Errors
///
/// Returns the first damage found, or [`StorageError::FolderInUse`].
pub fn verify(folder: &Path) -> Result<FolderReport, StorageError> {
    let _lock = lock_existing_folder(folder)?;
    let disk = SystemDisk;
    let mut report = FolderReport {
        identity: read_identity(&disk, folder)?,
        journals: Vec::new(),
    };
    for name in journal_names(&disk, folder)? {
        report.journals.push(verify_journal(&disk, folder, name)?);
    }
    Ok(report)
}

fn journal_names(disk: &dyn Disk, folder: &Path) -> Result<BTreeSet<String>, StorageError> {
    let files = disk
        .list(folder)
        .map_err(|source| io_error("list", folder, source))?;
    let parsed = files.iter().filter_map(|file| parse_file_name(file));
    Ok(parsed.map(|(journal, _)| journal.to_owned()).collect())
}

fn verify_journal(
    disk: &dyn Disk,
    folder: &Path,
    name: String,
) -> Result<JournalReport, StorageError> {
    let listed = list_segments(disk, folder, &name)?;
    let read = read_generation(disk, folder, &name, &listed)?;
    let newest = listed.segments.last().map_or(0, |last| last.generation);
    let current = listed.segments.iter();
    let segments = current
        .filter(|segment| segment.generation == newest)
        .map(|segment| SegmentReport {
            file_name: segment.file_name(&name),
            generation: segment.generation,
            first_sequence: segment.first_sequence,
        })
        .collect();
    Ok(JournalReport {
        name,
        segments,
        records: read.records,
        torn_tail: read.torn_tail,
    })
}
