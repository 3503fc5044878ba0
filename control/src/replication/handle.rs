//! The interface of the replicated log for the daemon's other threads.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    fleet::{
        FleetAnswer,
        FleetCommand,
        FleetState,
        Voter, //
    },
    peer_api::VoterSet,
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    ring::Sender, //
};
use tokio::sync::oneshot;

use super::error::ReplicationError;

/// How long a command may take before its outcome is reported as unknown.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a read waits for the answers of a majority.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a planned stop waits until this daemon no longer leads.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The answer of the fleet's state to a command.
pub(super) type CommandOutcome = Result<FleetAnswer, ReplicationError>;
/// The fleet's state that a read returns.
pub(super) type ReadOutcome = Result<Arc<FleetState>, ReplicationError>;

/// A request of a handle to the thread `agreement`.
pub(super) enum Request {
    /// Append a command to the log.
    Propose {
        command: FleetCommand,
        answer: oneshot::Sender<CommandOutcome>,
    },
    /// Read a state that holds every command acknowledged before the request.
    Read {
        answer: oneshot::Sender<ReadOutcome>,
    },
    /// Hand leadership to another voter.
    HandOver {
        /// Receives a message once this daemon does not lead.
        done: oneshot::Sender<()>,
    },
}

/// The leader and the term, as far as this daemon knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicationStatus {
    /// The leader, if known; this daemon only while its lease is valid.
    pub(crate) leader: Option<DaemonId>,
    /// The highest term seen.
    pub(crate) term: u64,
    /// Whether this daemon leads and its lease, which a majority grants, is valid.
    pub(crate) is_leader: bool,
}

/// The values that the thread `agreement` publishes to the other threads.
#[derive(Default)]
pub(super) struct Shared {
    pub state: ArcSwap<FleetState>,
    pub voters: Arc<ArcSwap<VoterSet>>,
    pub leadership: ArcSwap<Leadership>,
    /// Why this process can no longer use the log; `None` while the log is usable.
    pub failure: ArcSwap<Option<String>>,
}

/// The leader and the term as the node last reported them, and the end of this daemon's lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Leadership {
    pub leader: Option<Voter>,
    pub term: u64,
    /// When this daemon's leader lease ends; `None` if it does not lead.
    pub leads_until: Option<Timestamp>,
    /// The disk numbers of control daemons that have announced an empty disk.
    pub new_disks: BTreeMap<DaemonId, u64>,
}

/// Proposes commands to the replicated log and reads the resulting state.
#[derive(Clone)]
pub(crate) struct ReplicationHandle {
    requests: Sender<Request>,
    shared: Arc<Shared>,
    clock: Clock,
    daemon: DaemonId,
}

impl ReplicationHandle {
    pub(super) fn new(requests: Sender<Request>, clock: Clock, daemon: &DaemonId) -> Self {
        Self {
            requests,
            shared: Arc::default(),
            clock,
            daemon: daemon.clone(),
        }
    }

    pub(super) fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Appends a command and, once a majority has synced it, returns the answer of applying it.
    ///
    /// # Errors
    ///
    /// [`ReplicationError::NotLeader`] and [`ReplicationError::NoQuorum`] mean that
    /// the command is not and will not be applied. After [`ReplicationError::OutcomeUnknown`]
    /// the command may have been applied or may still be.
    pub(crate) async fn propose(&self, command: FleetCommand) -> CommandOutcome {
        self.refuse_if_failed()?;
        let (answer, answered) = oneshot::channel();
        self.requests
            .push(Request::Propose { command, answer })
            .map_err(|_| ReplicationError::NoQuorum)?;
        match tokio::time::timeout(PROPOSAL_TIMEOUT, answered).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(ReplicationError::OutcomeUnknown),
        }
    }

    /// Returns a state that includes every command acknowledged before the call.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicationError::NotLeader`] or [`ReplicationError::NoQuorum`].
    pub(crate) async fn read(&self) -> ReadOutcome {
        self.refuse_if_failed()?;
        let (answer, answered) = oneshot::channel();
        self.requests
            .push(Request::Read { answer })
            .map_err(|_| ReplicationError::NoQuorum)?;
        match tokio::time::timeout(READ_TIMEOUT, answered).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(ReplicationError::NoQuorum),
        }
    }

    /// Returns the state that this daemon has applied, which may lag behind the leader's.
    ///
    /// A later call never returns an older state, not even after a restart.
    pub(crate) fn local(&self) -> Arc<FleetState> {
        self.shared.state.load_full()
    }

    /// Returns the pointer to the current set of voters, whose majority decides about claims.
    ///
    /// The set behind the pointer changes with the log.
    pub(crate) fn voters(&self) -> Arc<ArcSwap<VoterSet>> {
        Arc::clone(&self.shared.voters)
    }

    /// Returns the leader and the term.
    ///
    /// Each call compares the end of the lease with the current time: after a pause of the
    /// process, the published value may still name this daemon although its lease has ended.
    pub(crate) fn status(&self) -> ReplicationStatus {
        let leadership = self.shared.leadership.load();
        let now = self.clock.now();
        let is_leader = leadership.leads_until.is_some_and(|until| now < until);
        let leader = leadership
            .leader
            .as_ref()
            .map(|leader| leader.daemon.clone());
        ReplicationStatus {
            leader: leader.filter(|leader| is_leader || *leader != self.daemon),
            term: leadership.term,
            is_leader,
        }
    }

    /// Hands leadership to another voter before a planned stop, if this daemon leads.
    ///
    /// Blocks the calling thread until this daemon no longer leads, at most for two seconds.
    pub(crate) fn hand_over(&self) {
        if !self.status().is_leader {
            return;
        }
        let (done, is_done) = oneshot::channel();
        if self.requests.push(Request::HandOver { done }).is_err() {
            return;
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build();
        if let Ok(runtime) = runtime {
            // The stop continues whether the hand-over succeeded or not.
            let _ =
                runtime.block_on(async { tokio::time::timeout(HAND_OVER_TIMEOUT, is_done).await });
        }
    }

    /// Returns why this process can no longer use the log; `None` while the log is usable.
    pub(crate) fn failure(&self) -> Option<String> {
        self.shared.failure.load().as_ref().clone()
    }

    fn refuse_if_failed(&self) -> Result<(), ReplicationError> {
        match self.failure() {
            Some(reason) => Err(ReplicationError::Storage(reason)),
            None => Ok(()),
        }
    }
}
