//! The main loop of the thread `agreement`: passes inputs to the node of the agreement protocol
//! and performs the actions that the node returns.

use std::{
    collections::VecDeque,
    sync::Arc,
    thread::JoinHandle,
    time::Duration, //
};

use cicadabend::{
    agreement::{
        Action,
        Event,
        Founding,
        Message,
        MessageBody,
        Node,
        Persist,
        Refusal,
        RefusalCounts,
        RoleName,
        Status,
        decode_message,
        encode_message, //
    },
    fleet::FleetAnswer,
    peer_api::PeerMessage,
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    metrics::Metrics,
    peers::{
        Incoming,
        PeerSender, //
    },
    ring::{
        Receiver,
        Sender, //
    },
    stop::StopRequester,
};

use super::{
    events::LogEvent,
    handle::{
        Leadership,
        Request,
        Shared, //
    },
    pending::PendingRequests,
    requests::StartupPhase,
    state_machine::StateMachine,
    storage::Persisted,
};

/// How often the node gets a tick, by which it notices that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// How often founding messages are sent again and learners are checked for promotion.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of items handled from one ring before the other inputs are checked.
const MAX_ITEMS_PER_BATCH: usize = 64;

/// The maximum size of a snapshot that can be sent: a peer message's limit of 8 MiB, less 64 KiB
/// for the rest of the message.
const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024 - 64 * 1024;

/// The rings from which the thread receives, and the thread `storage`.
pub(super) struct Inputs {
    pub requests: Receiver<Request>,
    pub messages: Receiver<Incoming>,
    pub persisted: Receiver<Persisted>,
    pub storage: JoinHandle<()>,
}

/// The state of the thread `agreement`.
pub(super) struct AgreementThread {
    pub node: Node,
    pub founding: Founding,
    pub state_machine: StateMachine,
    pub pending: PendingRequests,
    pub persists: Sender<Persist>,
    /// The persists that did not fit into the ring; none may be lost or reordered.
    pub backlog: VecDeque<Persist>,
    pub peers: PeerSender,
    pub shared: Arc<Shared>,
    pub clock: Clock,
    pub metrics: Metrics,
    pub stop_requester: StopRequester,
    pub compact_after_entries: u64,
    pub disk_is_full: bool,
    /// When the next maintenance is due; the first one is due at the start.
    pub maintenance_due: Timestamp,
    /// `None` once the start-up phase has ended.
    pub startup: Option<StartupPhase>,
    /// The node's refusals that the metrics already include.
    pub counted_refusals: RefusalCounts,
    /// The role that was last written to the log.
    pub role: Option<RoleName>,
}

/// The reason why the thread must end.
pub(super) struct Failed(pub String);

impl AgreementThread {
    /// Runs until the ring of peer messages is closed or the log cannot be used any more.
    pub(super) async fn run(mut self, mut inputs: Inputs) {
        let ended = self.handle_inputs(&mut inputs).await;
        if let Err(Failed(reason)) = ended {
            LogEvent::StorageFailed {
                reason: reason.clone(),
            }
            .emit();
            self.shared.failure.store(Arc::new(Some(reason)));
            self.shared.leadership.store(Arc::default());
            self.stop_requester.request();
        }
        let Self { persists, .. } = self;
        // This closes the ring, so that the thread `storage` ends once it has stored the rest.
        drop(persists);
        // A panic of that thread was already reported by its own hook.
        let _ = inputs.storage.join();
    }

    async fn handle_inputs(&mut self, inputs: &mut Inputs) -> Result<(), Failed> {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        loop {
            // While persists wait for the disk, inputs that would add persists stay in their rings.
            let has_backlog = !self.backlog.is_empty();
            tokio::select! {
                report = inputs.persisted.next() => match report {
                    Some(report) => self.handle_report(report)?,
                    None => return Err(Failed("the thread `storage` has ended".to_owned())),
                },
                incoming = inputs.messages.next(), if !has_backlog => match incoming {
                    Some(incoming) => self.handle_message(incoming)?,
                    None => return Ok(()),
                },
                Some(request) = inputs.requests.next(), if !has_backlog => {
                    self.handle_request(request)?;
                }
                _ = tick.tick() => self.pass_to_node(Event::Tick)?,
            }
            self.handle_queued(inputs)?;
            self.end_startup()?;
            self.run_maintenance()?;
            self.publish();
        }
    }

    /// Handles the inputs that have queued up, so that one sync and one message cover many
    /// requests.
    fn handle_queued(&mut self, inputs: &mut Inputs) -> Result<(), Failed> {
        for _ in 0..MAX_ITEMS_PER_BATCH {
            let Some(report) = inputs.persisted.try_next() else {
                break;
            };
            self.handle_report(report)?;
        }
        for _ in 0..MAX_ITEMS_PER_BATCH {
            if !self.backlog.is_empty() {
                break;
            }
            let message = inputs.messages.try_next();
            let request = inputs.requests.try_next();
            if message.is_none() && request.is_none() {
                break;
            }
            if let Some(message) = message {
                self.handle_message(message)?;
            }
            if let Some(request) = request {
                self.handle_request(request)?;
            }
        }
        Ok(())
    }

    /// Passes an event to the node and performs the actions that the node returns.
    pub(super) fn pass_to_node(&mut self, event: Event) -> Result<(), Failed> {
        let actions = self.node.handle(event, self.clock.now());
        for action in actions {
            self.perform_action(action)?;
        }
        self.flush_backlog();
        Ok(())
    }

    fn perform_action(&mut self, action: Action) -> Result<(), Failed> {
        match action {
            Action::Send(message) => self.send(&message),
            Action::Persist(persist) => self.backlog.push_back(persist),
            Action::Apply { entry, proposal } => {
                let index = entry.index;
                let applied = self.state_machine.apply(entry);
                let answer = applied.map_err(|reason| log_unreadable(index, reason))?;
                if let (Some(id), Some(answer)) = (proposal, answer) {
                    self.pending.complete_proposal(id, Ok(answer));
                }
            }
            Action::Restore(snapshot) => {
                let index = snapshot.index;
                let restored = self.state_machine.restore(snapshot);
                restored.map_err(|reason| log_unreadable(index, reason))?;
            }
            Action::ProposalFailed { id, reason } => {
                use cicadabend::agreement::ProposalFailure::ChangeRefused;
                let outcome = match reason {
                    ChangeRefused(_) => Ok(FleetAnswer::VotersRefused),
                    reason => Err(reason.into()),
                };
                self.pending.complete_proposal(id, outcome);
            }
            Action::ReadReady { id } => self.pending.mark_read_ready(id),
            Action::ReadFailed { id, reason } => self.pending.fail_read(id, Err(reason.into())),
        }
        Ok(())
    }

    pub(super) fn send(&self, message: &Message) {
        // Encoding these types cannot fail, and the node would retransmit a lost message anyway.
        if let Ok(bytes) = encode_message(message) {
            let to = &message.to.daemon;
            self.peers.send(to, PeerMessage::Agreement(bytes));
        }
    }

    /// Passes the backlog to the thread `storage`, as far as the ring has room.
    fn flush_backlog(&mut self) {
        while let Some(persist) = self.backlog.pop_front() {
            if let Err(persist) = self.persists.push(persist) {
                self.backlog.push_front(persist);
                return;
            }
        }
    }

    fn handle_report(&mut self, report: Persisted) -> Result<(), Failed> {
        match report {
            Persisted::Through(through) => {
                if std::mem::take(&mut self.disk_is_full) {
                    LogEvent::DiskHasRoom {}.emit();
                }
                self.pass_to_node(Event::Synced { through })
            }
            Persisted::DiskFull(reason) => {
                if !std::mem::replace(&mut self.disk_is_full, true) {
                    LogEvent::DiskFull { reason }.emit();
                }
                // A leader with a full disk can commit on the other daemons' disks, but cannot
                // apply the commands; so it hands leadership over.
                self.pass_to_node(Event::Transfer)
            }
            Persisted::Failed(reason) => Err(Failed(reason)),
        }
    }

    fn handle_message(&mut self, incoming: Incoming) -> Result<(), Failed> {
        let PeerMessage::Agreement(bytes) = incoming.message else {
            return Ok(());
        };
        let Ok(message) = decode_message(&bytes) else {
            return Ok(());
        };
        if message.from.daemon != incoming.from {
            return Ok(());
        }
        match message.body {
            MessageBody::Invite { .. } | MessageBody::Fresh { .. } => {
                self.handle_founding_message(&message)
            }
            MessageBody::Joining => {
                self.record_new_disk(&message);
                Ok(())
            }
            _ => self.pass_to_node(Event::Message(message)),
        }
    }

    /// Takes a snapshot if one is due and, every [`MAINTENANCE_INTERVAL`], updates counters,
    /// sends founding messages and promotes learners.
    fn run_maintenance(&mut self) -> Result<(), Failed> {
        if let Some((through, data)) = self
            .state_machine
            .snapshot_if_due(self.compact_after_entries)
        {
            LogEvent::Compacted { through }.emit();
            let bytes = data.len();
            if bytes > MAX_SNAPSHOT_BYTES {
                LogEvent::SnapshotTooLarge { bytes }.emit();
            }
            self.pass_to_node(Event::Compact { through, data })?;
        }
        let now = self.clock.now();
        if now < self.maintenance_due {
            return Ok(());
        }
        self.maintenance_due = now + MAINTENANCE_INTERVAL;
        self.count_new_refusals();
        if self.node.has_no_voters() {
            for message in self.founding.invitations() {
                self.send(&message);
            }
            for message in self.founding.joining_announcements() {
                self.send(&message);
            }
            return self.found_if_all_are_new();
        }
        self.promote_learners()
    }

    /// Adds the node's refusals since the last call to the metrics.
    fn count_new_refusals(&mut self) {
        let counts = *self.node.refusals();
        for reason in Refusal::ALL {
            for _ in self.counted_refusals.of(reason)..counts.of(reason) {
                self.metrics.count_reason("agreement_refusals", reason);
            }
        }
        self.counted_refusals = counts;
    }

    /// Publishes the state, then sends the answers that depend on it, then publishes the leader.
    fn publish(&mut self) {
        self.state_machine.publish();
        let shared = &self.shared;
        self.pending.send_answers(|| Ok(shared.state.load_full()));
        let status = self.node.status();
        self.log_leadership_change(&status);
        if status.role != RoleName::Leader {
            self.pending.complete_hand_overs();
        }
        let known = self.shared.leadership.load();
        let leadership = Leadership {
            leader: status.leader,
            term: status.term.0,
            leads_until: status.leads_until,
            new_disks: known.new_disks.clone(),
        };
        if **known != leadership {
            self.shared.leadership.store(Arc::new(leadership));
        }
    }

    fn log_leadership_change(&mut self, status: &Status) {
        let term = status.term;
        let was_leader = self.role.replace(status.role) == Some(RoleName::Leader);
        match (was_leader, status.role == RoleName::Leader) {
            (false, true) => LogEvent::Leads { term }.emit(),
            (true, false) => LogEvent::LeadsNoMore { term }.emit(),
            (true, true) | (false, false) => {}
        }
    }
}

/// Logs that a committed command or a snapshot cannot be decoded and returns that reason.
fn log_unreadable(index: cicadabend::agreement::LogIndex, reason: String) -> Failed {
    LogEvent::CommandUnreadable {
        index,
        reason: reason.clone(),
    }
    .emit();
    Failed(reason)
}
