//! State that survives: one data folder, journals in it, and who the disk is.
//!
//! Use, for a duty that must remember something before it answers:
//!
//! ```no_run
//! use cicadabend_daemon::storage::{DataFolder, Journal, JournalSettings};
//! # fn main() -> Result<(), cicadabend_daemon::storage::StorageError> {
//! # let daemon = "control-1".parse().unwrap();
//! // Once in a process; the folder stays locked while any clone or journal lives.
//! let folder = DataFolder::open("/var/lib/cicadabend".as_ref(), &daemon, 0x5eed)?;
//! // Once for each duty; names are independent of each other.
//! let (mut journal, recovered) = Journal::open(&folder, "claims", JournalSettings::default())?;
//! for record in &recovered.records { /* rebuild the state from record.payload */ }
//! journal.append(b"something to remember")?;
//! journal.append(b"something else")?;
//! journal.sync()?; // only after this may anything be answered
//! // When the journal has grown: replace its records by the few that still matter.
//! journal.rewrite([b"what still matters".as_slice()])?;
//! # Ok(()) }
//! ```
//!
//! What callers rely on:
//!
//! - [`Journal::append`] only takes the record into memory; [`Journal::sync`] writes
//!   and syncs all of them at once, so one sync covers many records.
//! - [`StorageError::DiskFull`] means: none of the records since the last successful
//!   sync are stored, and the journal can be used again (append them anew or drop them).
//! - After any other error of `sync` or `rewrite` the journal is poisoned: each further
//!   call returns [`StorageError::Poisoned`]. The process should stop and be started
//!   anew, since only reading the files again shows what is on the disk.
//! - A record may come back although its `sync` failed; it was then never answered,
//!   so the caller treats it as one that may or may not have happened.

mod disk;
mod error;
mod folder;
mod inspect;
mod journal;
mod record;
mod segments;

pub use disk::{
    Disk,
    DiskFile,
    SystemDisk, //
};
pub use error::StorageError;
pub use folder::DataFolder;
pub use inspect::{
    FolderReport,
    JournalReport,
    SegmentReport,
    verify, //
};
pub use journal::{
    Journal,
    JournalSettings,
    Recovered, //
};
pub use record::{
    Damage,
    Record,
    TornTail, //
};
