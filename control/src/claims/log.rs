//! The journals that store claims on disk.

use std::time::Duration;

use cicadabend::{
    claims::NumberedRecord,
    prelude::*, //
};
use cicadabend_daemon::storage::{
    DataFolder,
    Journal,
    JournalSettings,
    StorageError, //
};

use super::ClaimsError;

/// The names of the journals, which are written in rotation.
///
/// Each journal is written for a third of the retention and emptied after it has been closed for
/// the whole retention. So expired claims leave the disk although valid ones are never rewritten;
/// rewriting them would delay all replies for as long as it takes.
const JOURNAL_NAMES: [&str; 4] = ["claimsa", "claimsb", "claimsc", "claimsd"];

/// The claim records on this daemon's disk.
pub(crate) struct ClaimLog {
    journals: Vec<Generation>,
    /// The index of the journal that is being written.
    current: usize,
    /// When writing to the current journal began.
    opened_at: Timestamp,
    retention: Duration,
}

/// One journal of the rotation.
struct Generation {
    journal: Journal,
    /// When writing moved on from this journal; if that was before the daemon's start, the time of
    /// the start. `None` while the journal is being written, or if it had no records at the start
    /// and has not been written since.
    closed_at: Option<Timestamp>,
}

impl ClaimLog {
    /// Opens the journals and returns their records in no particular order.
    ///
    /// Writing continues in the journal that holds the record with the highest number.
    pub(crate) fn open(
        folder: &DataFolder,
        retention: Duration,
        now: Timestamp,
    ) -> Result<(Self, Vec<NumberedRecord>), ClaimsError> {
        let mut journals = Vec::new();
        let mut records = Vec::new();
        let mut current = 0;
        let mut highest = None;
        for (index, name) in JOURNAL_NAMES.into_iter().enumerate() {
            let (journal, recovered) = Journal::open(folder, name, JournalSettings::default())
                .map_err(ClaimsError::Storage)?;
            // The time of the journal's last write is not stored. Counting from now keeps its
            // records long enough.
            let closed_at = (!recovered.records.is_empty()).then_some(now);
            for record in recovered.records {
                let record =
                    NumberedRecord::from_bytes(&record.payload).map_err(ClaimsError::Record)?;
                if highest.is_none_or(|number| record.number > number) {
                    highest = Some(record.number);
                    current = index;
                }
                records.push(record);
            }
            journals.push(Generation { journal, closed_at });
        }
        let mut log = Self {
            journals,
            current,
            opened_at: now,
            retention,
        };
        log.journals[current].closed_at = None;
        Ok((log, records))
    }

    /// Appends a record; [`Self::sync`] makes it durable.
    pub(crate) fn append(&mut self, record: &NumberedRecord) -> Result<(), ClaimsError> {
        let bytes = record.to_bytes().map_err(ClaimsError::Record)?;
        let journal = &mut self.journals[self.current].journal;
        journal.append(&bytes).map_err(ClaimsError::Storage)?;
        Ok(())
    }

    /// Writes and syncs the appended records.
    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        self.journals[self.current].journal.sync()?;
        Ok(())
    }

    /// Switches to the next journal if that is due; returns its index after emptying it.
    ///
    /// All appended records must have been synced before the call.
    pub(crate) fn rotate(&mut self, now: Timestamp) -> Result<Option<usize>, StorageError> {
        if now.since(self.opened_at) < self.retention / (JOURNAL_NAMES.len() as u32 - 1) {
            return Ok(None);
        }
        let next = (self.current + 1) % JOURNAL_NAMES.len();
        let generation = &mut self.journals[next];
        let closed_for = generation.closed_at.map(|at| now.since(at));
        if closed_for.is_some_and(|length| length < self.retention) {
            return Ok(None);
        }
        generation.journal.rewrite([])?;
        generation.closed_at = None;
        self.journals[self.current].closed_at = Some(now);
        self.current = next;
        self.opened_at = now;
        Ok(Some(next))
    }
}
