//! The thread `claims`: stores and answers claims, by which a request runs at most once.
//!
//! [`cicadabend::claims::ClaimReplica`] makes the decisions. This thread takes all queued
//! messages from its ring, writes their records, syncs once and then sends the replies. While a
//! sync runs, the next messages queue in the ring, so a slow disk leads to larger batches rather
//! than to more queued syncs.

mod events;
mod log;
mod thread;

use std::{
    io,
    sync::Arc,
    thread::JoinHandle,
    time::Duration, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    claims::{
        ClaimRecordError,
        ClaimReplica,
        ReplicaBounds, //
    },
    peer_api::VoterSet,
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    peers::{
        Incoming,
        PeerSender, //
    },
    ring::Receiver,
    storage::{
        DataFolder,
        StorageError, //
    },
};
use displaydoc::Display;
use thiserror::Error;

pub(crate) use self::{
    log::ClaimLog,
    thread::{
        Answer,
        ClaimThread, //
    },
};

/// The shortest retention: it must be far above the time in which an entry daemon may
/// start a granted attempt (30 seconds).
const MIN_RETENTION: Duration = Duration::from_secs(300);
/// The maximum number of stored keys: 21,000 a second over the shortest retention, and a reserve.
const MAX_KEYS: usize = 6_500_000;
/// The maximum size of one stored response body.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// The maximum total size of all stored response bodies.
const MAX_TOTAL_BODY_BYTES: usize = 256 * 1024 * 1024;

/// The reason why this daemon cannot answer claims.
#[derive(Debug, Display, Error)]
pub(crate) enum ClaimsError {
    /// the claims' journals cannot be used: {0}
    Storage(StorageError),
    /// a claim's record cannot be read or written: {0}
    Record(ClaimRecordError),
    /// the thread cannot be started: {0}
    Thread(io::Error),
}

/// Opens the journals in the data folder and starts the thread.
///
/// `voters` is read for each message, so that a change takes effect at once.
///
/// # Errors
///
/// Returns [`ClaimsError`] if the journals cannot be read or the thread cannot be started.
pub(crate) fn start(
    folder: &DataFolder,
    retention: Duration,
    peers: PeerSender,
    messages: Receiver<Incoming>,
    voters: Arc<ArcSwap<VoterSet>>,
    clock: Clock,
) -> Result<JoinHandle<()>, ClaimsError> {
    let thread = open(folder, retention, voters, clock)?;
    let send = move |answer: Answer| peers.send(&answer.to, answer.message);
    duty::spawn("claims", move || thread.run(messages, send)).map_err(ClaimsError::Thread)
}

/// Opens the journals in the data folder; the returned thread is not yet started.
///
/// # Errors
///
/// Returns [`ClaimsError`] if the journals cannot be read.
pub(crate) fn open(
    folder: &DataFolder,
    retention: Duration,
    voters: Arc<ArcSwap<VoterSet>>,
    clock: Clock,
) -> Result<ClaimThread, ClaimsError> {
    let bounds = ReplicaBounds {
        retention: retention.max(MIN_RETENTION),
        max_keys: MAX_KEYS,
        max_body_bytes: MAX_BODY_BYTES,
        max_total_body_bytes: MAX_TOTAL_BODY_BYTES,
    };
    let now = clock.now();
    let (log, records) = ClaimLog::open(folder, bounds.retention, now)?;
    events::LogEvent::Recovered {
        records: records.len(),
    }
    .emit();
    let identity = folder.identity().clone();
    let replica = ClaimReplica::recover(identity, bounds, records, now);
    Ok(ClaimThread::new(replica, log, voters, clock))
}
