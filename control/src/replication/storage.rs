//! The thread `storage`, the only thread that accesses the log's files.

use std::time::Duration;

use cicadabend::agreement::{
    DurableRecord,
    Persist,
    PersistTicket, //
};
use cicadabend_daemon::{
    ring::{
        Receiver,
        Sender, //
    },
    storage::{
        Journal,
        StorageError, //
    },
};

/// How long the thread waits before it writes again to a disk that was full.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(500);
/// The maximum number of [`Persist`]s that one sync covers.
const MAX_PERSISTS_PER_SYNC: usize = 256;

/// A report of the thread `storage` to the thread `agreement`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Persisted {
    /// All persists up to and including this ticket are synced.
    Through(PersistTicket),
    /// The disk is full; the thread retries the write until there is room.
    DiskFull(String),
    /// A write or sync failed; this process stores nothing more.
    Failed(String),
}

/// Writes and syncs [`Persist`]s; those that have queued up share one sync.
pub(super) struct StorageThread {
    journal: Journal,
    reports: Sender<Persisted>,
    /// The report that waits for room in the ring.
    unreported: Option<Persisted>,
}

impl StorageThread {
    pub(super) fn new(journal: Journal, reports: Sender<Persisted>) -> Self {
        Self {
            journal,
            reports,
            unreported: None,
        }
    }

    /// Stores the [`Persist`]s of the ring until the ring is closed or the disk fails.
    pub(super) async fn run(mut self, mut persists: Receiver<Persist>) {
        while let Some(first) = persists.next().await {
            let mut batch = vec![first];
            while batch.len() < MAX_PERSISTS_PER_SYNC
                && let Some(next) = persists.try_next()
            {
                batch.push(next);
            }
            if let Err(reason) = self.store_with_retry(&batch).await {
                self.report(Persisted::Failed(reason)).await;
                return;
            }
        }
    }

    /// Stores a batch and reports it; retries for as long as the disk is full.
    async fn store_with_retry(&mut self, batch: &[Persist]) -> Result<(), String> {
        let Some(last) = batch.last() else {
            return Ok(());
        };
        loop {
            match self.store(batch) {
                Ok(()) => break,
                // The journal has discarded the whole batch, so all of it is written again.
                Err(error @ StorageError::DiskFull { .. }) => {
                    self.report(Persisted::DiskFull(error.to_string())).await;
                    tokio::time::sleep(FULL_DISK_PAUSE).await;
                }
                Err(error) => return Err(error.to_string()),
            }
        }
        self.report(Persisted::Through(last.ticket)).await;
        Ok(())
    }

    /// Writes and syncs a batch.
    fn store(&mut self, batch: &[Persist]) -> Result<(), StorageError> {
        // A persist with a snapshot replaces everything stored before, so the persists before it
        // need not be written.
        let newest = batch.iter().rposition(|persist| persist.snapshot.is_some());
        let (rewritten, appended) = match newest {
            Some(at) => (Some(&batch[at]), &batch[at + 1..]),
            None => (None, batch),
        };
        if let Some(persist) = rewritten {
            let records = encode(persist)?;
            self.journal.rewrite(records.iter().map(Vec::as_slice))?;
        }
        for persist in appended {
            for record in encode(persist)? {
                self.journal.append(&record)?;
            }
        }
        self.journal.sync()?;
        Ok(())
    }

    /// Reports to the thread `agreement`; waits for room in the ring, because a lost report would
    /// delay acknowledgements.
    async fn report(&mut self, report: Persisted) {
        self.unreported = Some(report);
        while let Some(report) = self.unreported.take() {
            if let Err(report) = self.reports.push(report) {
                self.unreported = Some(report);
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

fn encode(persist: &Persist) -> Result<Vec<Vec<u8>>, StorageError> {
    let records = persist.clone().into_records();
    let encoded: Result<_, postcard::Error> = records.iter().map(DurableRecord::encode).collect();
    encoded.map_err(|error| StorageError::Io {
        action: "encode a record for",
        path: "the log".into(),
        source: std::io::Error::other(error),
    })
}
