//! What the daemon's other threads use of the replicated log.

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

/// How long a command may take before its outcome is called unknown.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a read waits for a majority.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a planned stop waits for another leader.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The answer to a command.
pub(super) type CommandOutcome = Result<FleetAnswer, ReplicationError>;
/// The answer to a read.
pub(super) type ReadOutcome = Result<Arc<FleetState>, ReplicationError>;

/// What handles ask of the thread `agreement`.
pub(super) enum Request {
    Propose {
        command: FleetCommand,
        answer: oneshot::Sender<CommandOutcome>,
    },
    Read {
        answer: oneshot::Sender<ReadOutcome>,
    },
    HandOver {
        done: oneshot::Sender<()>,
    },
}

/// Who leads, as far as this daemon knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicationStatus {
    /// The leader, if known.
    pub(crate) leader: Option<DaemonId>,
    /// The highest term seen.
    pub(crate) term: u64,
    /// Whether this daemon leads and a majority has answered it lately.
    pub(crate) is_leader: bool,
}

/// What the thread `agreement` publishes.
#[derive(Default)]
pub(super) struct Shared {
    pub state: ArcSwap<FleetState>,
    pub voters: Arc<ArcSwap<VoterSet>>,
    pub standing: ArcSwap<Standing>,
    /// Why the log cannot be used any more in this run.
    pub failure: ArcSwap<Option<String>>,
}

/// Who leads, and until when that is known to be so.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Standing {
    pub leader: Option<Voter>,
    pub term: u64,
    pub leads_until: Option<Timestamp>,
    /// Control daemons with an empty disk that are no voters under its number.
    pub new_disks: BTreeMap<DaemonId, u64>,
}

/// Gives commands to the log and reads the state they lead to.
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

    /// Appends a command and returns what applying it gave, once a majority has synced it.
    ///
    /// # Errors
    ///
    /// [`ReplicationError::NotLeader`] and [`ReplicationError::NoQuorum`] mean that
    /// nothing was changed and nothing will be; otherwise the outcome is unknown.
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

    /// Returns a state that holds every command acknowledged before the call.
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

    /// Returns the state that this daemon has applied, which may be old.
    ///
    /// It never goes back, not even over a restart.
    pub(crate) fn local(&self) -> Arc<FleetState> {
        self.shared.state.load_full()
    }

    /// Returns the voters that claims are counted by; it changes as the log does.
    pub(crate) fn voters(&self) -> Arc<ArcSwap<VoterSet>> {
        Arc::clone(&self.shared.voters)
    }

    /// Returns who leads.
    ///
    /// The time is compared here: a process that was stopped must not go on as leader
    /// by what it had published before.
    pub(crate) fn status(&self) -> ReplicationStatus {
        let standing = self.shared.standing.load();
        let now = self.clock.now();
        let is_leader = standing.leads_until.is_some_and(|until| now < until);
        let leader = standing.leader.as_ref().map(|leader| leader.daemon.clone());
        ReplicationStatus {
            leader: leader.filter(|leader| is_leader || *leader != self.daemon),
            term: standing.term,
            is_leader,
        }
    }

    /// Hands leadership to another voter before a planned stop, if this daemon leads.
    ///
    /// Blocks its thread until that is done or has taken too long.
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
            // Whether it succeeded or not, the stop goes on.
            let _ =
                runtime.block_on(async { tokio::time::timeout(HAND_OVER_TIMEOUT, is_done).await });
        }
    }

    /// Returns why the log cannot be used any more in this run, if that is so.
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
