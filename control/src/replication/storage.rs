//! The thread `storage`: the only one that touches the log's files.

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

/// How long to wait before writing again to a disk that was full.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(500);
/// The most persists that one sync covers.
const MOST_PER_SYNC: usize = 256;

/// What the thread `storage` tells the thread `agreement`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Persisted {
    /// Everything up to this ticket is synced.
    Through(PersistTicket),
    /// The disk is full; writing is tried again until there is room.
    DiskFull(String),
    /// A write or sync failed; nothing more is stored in this run.
    Failed(String),
}

/// Writes and syncs persists, several with one sync if they have queued up.
pub(super) struct StorageThread {
    journal: Journal,
    reports: Sender<Persisted>,
    /// A report that did not fit into the ring; a later one replaces it.
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

    /// Stores until the ring is closed or the disk fails.
    pub(super) async fn run(mut self, mut persists: Receiver<Persist>) {
        while let Some(first) = persists.next().await {
            let mut batch = vec![first];
            while batch.len() < MOST_PER_SYNC
                && let Some(next) = persists.try_next()
            {
                batch.push(next);
            }
            if let Err(reason) = self.store_all(&batch).await {
                self.report(Persisted::Failed(reason)).await;
                return;
            }
        }
    }

    /// Stores a batch, however long the disk stays full.
    async fn store_all(&mut self, batch: &[Persist]) -> Result<(), String> {
        let Some(last) = batch.last() else {
            return Ok(());
        };
        loop {
            match self.store(batch) {
                Ok(()) => break,
                // The journal has dropped the whole batch, so all of it is written again.
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

    fn store(&mut self, batch: &[Persist]) -> Result<(), StorageError> {
        // A snapshot comes with all that must stay, so what is before it is left out.
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

    /// Waits for room in the ring, because a lost report would hold back acknowledgements.
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
