//! The replicated log of accepted commands and the state they lead to.
//!
//! Two threads, joined by bounded rings:
//!
//! - `agreement` decides, through [`cicadabend::agreement::Node`], and applies
//!   committed commands to the fleet's state ([`thread`], [`machine`]).
//! - `storage` writes and syncs what must not be forgotten ([`storage`]).
//!
//! | ring | from | to | if full |
//! | --- | --- | --- | --- |
//! | `replication-requests` | handles | `agreement` | the request is refused, nothing changed |
//! | `agreement` | inbox | `agreement` | the message is dropped; the sender repeats |
//! | `persists` | `agreement` | `storage` | kept in `agreement`, which takes no messages and proposals meanwhile |
//! | `persisted` | `storage` | `agreement` | `storage` reports the highest ticket later |

mod bootstrap;
mod error;
mod events;
mod handle;
mod machine;
mod membership;
mod requests;
mod storage;
mod thread;
mod waiting;

pub(crate) use error::ReplicationError;
pub(crate) use handle::ReplicationHandle;

use std::thread::JoinHandle;

use cicadabend_daemon::{
    duty,
    peers::{
        Incoming,
        PeerSender, //
    },
    program::Process,
    ring::{
        self,
        Receiver, //
    },
    settings::ControlSettings,
    storage::{
        DataFolder,
        Journal,
        JournalSettings, //
    },
};

use machine::Machine;
use storage::StorageThread;
use thread::AgreementThread;

const JOURNAL: &str = "agreement";
const REQUESTS_CAPACITY: usize = 1_024;
const PERSISTS_CAPACITY: usize = 256;
const PERSISTED_CAPACITY: usize = 256;

/// Reads the log and starts the threads; the returned one ends after both.
pub(crate) fn start(
    settings: &ControlSettings,
    folder: &DataFolder,
    process: &Process,
    peers: PeerSender,
    messages: Receiver<Incoming>,
) -> Result<(ReplicationHandle, JoinHandle<()>), ReplicationError> {
    let storage = |error| ReplicationError::Storage(format!("{error}"));
    let (journal, recovered) =
        Journal::open(folder, JOURNAL, JournalSettings::default()).map_err(storage)?;
    let recovered = bootstrap::recover(&recovered)?;
    let (requests_in, requests) = ring::bounded("replication-requests", REQUESTS_CAPACITY);
    let (persists, persists_out) = ring::bounded("persists", PERSISTS_CAPACITY);
    let (persisted_in, persisted) = ring::bounded("persisted", PERSISTED_CAPACITY);
    let handle = ReplicationHandle::new(requests_in, process.clock, &settings.daemon);
    let storage = StorageThread::new(journal, persisted_in);
    let started = |error| ReplicationError::Storage(format!("cannot start a thread: {error}"));
    let storage = duty::spawn("storage", move || storage.run(persists_out)).map_err(started)?;
    let thread = AgreementThread {
        node: bootstrap::node(settings, folder, recovered, process.clock.now()),
        founding: bootstrap::founding(settings, folder),
        machine: Machine::new(handle.shared()),
        waiting: waiting::Waiting::default(),
        persists,
        backlog: Default::default(),
        peers,
        shared: handle.shared(),
        clock: process.clock,
        metrics: process.metrics.clone(),
        stop_requester: process.stop_requester.clone(),
        compact_after_entries: settings.agreement.compact_after_entries,
        disk_is_full: false,
        upkeep_due: process.clock.now(),
        starting: Some(bootstrap::starting(settings, process.clock.now())),
        counted: Default::default(),
        role: None,
    };
    let inputs = thread::Inputs {
        requests,
        messages,
        persisted,
        storage,
    };
    let agreement = duty::spawn("agreement", move || thread.run(inputs)).map_err(started)?;
    Ok((handle, agreement))
}
