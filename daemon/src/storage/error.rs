//! Why state cannot be read or kept.

use std::{
    io,
    path::PathBuf, //
};

use displaydoc::Display;
use thiserror::Error;

use super::record::Damage;

/// Why state cannot be read or kept.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// cannot {action} {path}: {source}
    Io {
        /// What was tried, as a verb.
        action: &'static str,
        /// On what.
        path: PathBuf,
        /// What the operating system says.
        source: io::Error,
    },
    /// the disk of {path} is full; the records since the last sync are not stored
    DiskFull {
        /// The file that could not grow.
        path: PathBuf,
    },
    /// the data folder {path} is in use by another process
    FolderInUse {
        /// The folder.
        path: PathBuf,
    },
    /// the journal {name} is already open in this process
    JournalInUse {
        /// The journal.
        name: String,
    },
    /// {name:?} cannot name a journal; use lower-case letters
    JournalName {
        /// The name given.
        name: String,
    },
    /// {path} is damaged at byte {offset}: {damage}; the disk counts as lost
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /// a segment of the journal {name} is missing: record {expected} was expected, {path} begins with {found}
    SegmentMissing {
        /// The journal.
        name: String,
        /// The record that should follow.
        expected: u64,
        /// The record that the next file begins with.
        found: u64,
        /// That file.
        path: PathBuf,
    },
    /// {path} has format version {found}; this program reads version {known}
    FormatVersion {
        /// The file.
        path: PathBuf,
        /// Its version.
        found: u16,
        /// The version this program writes.
        known: u16,
    },
    /// the identity file {path} is damaged; the disk counts as lost
    IdentityDamaged {
        /// The file.
        path: PathBuf,
    },
    /// {path} has journals but no identity file; the disk counts as lost
    IdentityMissing {
        /// The folder.
        path: PathBuf,
    },
    /// the data folder {path} belongs to the daemon {found}, not to {expected}
    ForeignFolder {
        /// The folder.
        path: PathBuf,
        /// Whose it is.
        found: String,
        /// Who opened it.
        expected: String,
    },
    /// a record of {length} bytes is larger than the limit of {limit}
    RecordTooLarge {
        /// The record's length.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// the journal {name} failed before and is not used any more in this run
    Poisoned {
        /// The journal.
        name: String,
    },
}
