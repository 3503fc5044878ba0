//! The replicated log of accepted commands and the state that results from applying them.
//!
//! The module runs two threads, which are connected by bounded rings:
//!
//! - `agreement` runs the agreement protocol ([`cicadabend::agreement::Node`]) and applies
//!   committed commands to the fleet's state ([`thread`], [`state_machine`]).
//! - `storage` writes and syncs the state that must survive a restart ([`storage`]).
//!
//! | ring | from | to | if full |
//! | --- | --- | --- | --- |
//! | `replication-requests` | handles | `agreement` | the request is refused, nothing changed |
//! | `agreement` | inbox | `agreement` | the message is dropped; the sender retransmits |
//! | `persists` | `agreement` | `storage` | the persist waits in a backlog of `agreement`, which handles no messages and requests meanwhile |
//! | `persisted` | `storage` | `agreement` | `storage` waits until there is room |

mod bootstrap;
mod error;
mod events;
mod handle;
mod membership;
mod pending;
mod requests;
mod state_machine;
mod storage;
mod thread;

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

use state_machine::StateMachine;
use storage::StorageThread;
use thread::AgreementThread;

const JOURNAL_NAME: &str = "agreement";
const REQUESTS_CAPACITY: usize = 1_024;
const PERSISTS_CAPACITY: usize = 256;
const PERSISTED_CAPACITY: usize = 256;

/// Reads the log and starts both threads.
///
/// The returned join handle is that of `agreement`, which joins `storage` before it ends.
pub(crate) fn start(
    settings: &ControlSettings,
    folder: &DataFolder,
    process: &Process,
    peers: PeerSender,
    messages: Receiver<Incoming>,
) -> Result<(ReplicationHandle, JoinHandle<()>), ReplicationError> {
    let storage_error = |error| ReplicationError::Storage(format!("{error}"));
    let (journal, recovered) =
        Journal::open(folder, JOURNAL_NAME, JournalSettings::default()).map_err(storage_error)?;
    let recovered = bootstrap::recover(&recovered)?;
    let (requests_in, requests) = ring::bounded("replication-requests", REQUESTS_CAPACITY);
    let (persists, persists_out) = ring::bounded("persists", PERSISTS_CAPACITY);
    let (persisted_in, persisted) = ring::bounded("persisted", PERSISTED_CAPACITY);
    let handle = ReplicationHandle::new(requests_in, process.clock, &settings.daemon);
    let storage = StorageThread::new(journal, persisted_in);
    let start_error = |error| ReplicationError::Storage(format!("cannot start a thread: {error}"));
    let storage = duty::spawn("storage", move || storage.run(persists_out)).map_err(start_error)?;
    let thread = AgreementThread {
        node: bootstrap::new_node(settings, folder, recovered, process.clock.now()),
        founding: bootstrap::new_founding(settings, folder),
        state_machine: StateMachine::new(handle.shared()),
        pending: pending::PendingRequests::default(),
        persists,
        backlog: Default::default(),
        peers,
        shared: handle.shared(),
        clock: process.clock,
        metrics: process.metrics.clone(),
        stop_requester: process.stop_requester.clone(),
        compact_after_entries: settings.agreement.compact_after_entries,
        disk_is_full: false,
        maintenance_due: process.clock.now(),
        startup: Some(bootstrap::startup_phase(settings, process.clock.now())),
        counted_refusals: Default::default(),
        role: None,
    };
    let inputs = thread::Inputs {
        requests,
        messages,
        persisted,
        storage,
    };
    let agreement = duty::spawn("agreement", move || thread.run(inputs)).map_err(start_error)?;
    Ok((handle, agreement))
}
