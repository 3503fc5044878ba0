//! The journals of claims on disk.

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

/// How many journals take turns.
///
/// Each is written for a third of the retention and emptied when it was closed for the
/// whole of it. Expired claims so leave the disk without rewriting those that count,
/// which would stop all answers for as long as the writing takes.
const JOURNAL_NAMES: [&str; 4] = ["claimsa", "claimsb", "claimsc", "claimsd"];

/// The records of one disk.
pub(crate) struct ClaimLog {
    journals: Vec<Generation>,
    current: usize,
    opened_at: Timestamp,
    retention: Duration,
}

struct Generation {
    journal: Journal,
    /// `None` while it is written, or has no records.
    closed_at: Option<Timestamp>,
}

impl ClaimLog {
    /// Opens the journals and returns the records in them, in no order.
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
            // When it was closed is not known any more; from now is late enough.
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

    /// Takes a record; [`Self::sync`] makes it durable.
    pub(crate) fn append(&mut self, record: &NumberedRecord) -> Result<(), ClaimsError> {
        let bytes = record.to_bytes().map_err(ClaimsError::Record)?;
        let journal = &mut self.journals[self.current].journal;
        journal.append(&bytes).map_err(ClaimsError::Storage)?;
        Ok(())
    }

    /// Writes and syncs what was taken.
    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        self.journals[self.current].journal.sync()?;
        Ok(())
    }

    /// Goes over to the next journal if it is time; returns which one was emptied for it.
    ///
    /// To be called with nothing taken and not synced.
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
