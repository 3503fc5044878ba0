//! The thread `agreement`: carries out what the node decides.

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
        Request,
        Shared,
        Standing, //
    },
    machine::Machine,
    requests::Starting,
    storage::Persisted,
    waiting::Waiting,
};

/// How often the node is told that time has passed.
const TICK: Duration = Duration::from_millis(25);
/// How often invitations are repeated and learners are looked at.
const UPKEEP: Duration = Duration::from_millis(500);
/// The most items taken from one ring before the others get their turn.
const MOST_PER_TURN: usize = 64;

/// What of a peer message's limit of 8 MiB is left for a snapshot's state.
const SNAPSHOT_LIMIT_BYTES: usize = 8 * 1024 * 1024 - 64 * 1024;

/// What the thread takes from.
pub(super) struct Inputs {
    pub requests: Receiver<Request>,
    pub messages: Receiver<Incoming>,
    pub persisted: Receiver<Persisted>,
    pub storage: JoinHandle<()>,
}

/// The duty of the thread `agreement`.
pub(super) struct AgreementThread {
    pub node: Node,
    pub founding: Founding,
    pub machine: Machine,
    pub waiting: Waiting,
    pub persists: Sender<Persist>,
    /// Persists that did not fit into the ring; none may be lost or overtaken.
    pub backlog: VecDeque<Persist>,
    pub peers: PeerSender,
    pub shared: Arc<Shared>,
    pub clock: Clock,
    pub metrics: Metrics,
    pub stop_requester: StopRequester,
    pub compact_after_entries: u64,
    pub disk_is_full: bool,
    /// When upkeep is due; at once after the start.
    pub upkeep_due: Timestamp,
    pub starting: Option<Starting>,
    pub counted: RefusalCounts,
    /// The role that was last written to the log.
    pub role: Option<RoleName>,
}

/// Why the thread cannot go on.
pub(super) struct Failed(pub String);

impl AgreementThread {
    /// Runs until the peers' ring is closed or the disk fails.
    pub(super) async fn run(mut self, mut inputs: Inputs) {
        let ended = self.take_all(&mut inputs).await;
        if let Err(Failed(reason)) = ended {
            LogEvent::StorageFailed {
                reason: reason.clone(),
            }
            .emit();
            self.shared.failure.store(Arc::new(Some(reason)));
            self.shared.standing.store(Arc::default());
            self.stop_requester.request();
        }
        let Self { persists, .. } = self;
        // Closes the ring, so that the thread ends once it has stored the rest.
        drop(persists);
        // A panic of that thread was already reported by its own hook.
        let _ = inputs.storage.join();
    }

    async fn take_all(&mut self, inputs: &mut Inputs) -> Result<(), Failed> {
        let mut tick = tokio::time::interval(TICK);
        loop {
            // While the disk is behind, nothing is taken that would need it further.
            let is_behind = !self.backlog.is_empty();
            tokio::select! {
                report = inputs.persisted.next() => match report {
                    Some(report) => self.take_report(report)?,
                    None => return Err(Failed("the thread `storage` has ended".to_owned())),
                },
                incoming = inputs.messages.next(), if !is_behind => match incoming {
                    Some(incoming) => self.take_message(incoming)?,
                    None => return Ok(()),
                },
                Some(request) = inputs.requests.next(), if !is_behind => {
                    self.take_request(request)?;
                }
                _ = tick.tick() => self.tell(Event::Tick)?,
            }
            self.take_queued(inputs)?;
            self.end_start()?;
            self.upkeep()?;
            self.publish();
        }
    }

    /// Takes what has queued up, so that one sync and one message cover many requests.
    fn take_queued(&mut self, inputs: &mut Inputs) -> Result<(), Failed> {
        for _ in 0..MOST_PER_TURN {
            let Some(report) = inputs.persisted.try_next() else {
                break;
            };
            self.take_report(report)?;
        }
        for _ in 0..MOST_PER_TURN {
            if !self.backlog.is_empty() {
                break;
            }
            let message = inputs.messages.try_next();
            let request = inputs.requests.try_next();
            if message.is_none() && request.is_none() {
                break;
            }
            if let Some(message) = message {
                self.take_message(message)?;
            }
            if let Some(request) = request {
                self.take_request(request)?;
            }
        }
        Ok(())
    }

    pub(super) fn tell(&mut self, event: Event) -> Result<(), Failed> {
        let actions = self.node.handle(event, self.clock.now());
        for action in actions {
            self.carry_out(action)?;
        }
        self.hand_on_backlog();
        Ok(())
    }

    fn carry_out(&mut self, action: Action) -> Result<(), Failed> {
        match action {
            Action::Send(message) => self.send(&message),
            Action::Persist(persist) => self.backlog.push_back(persist),
            Action::Apply { entry, proposal } => {
                let index = entry.index;
                let applied = self.machine.apply(entry);
                let answer = applied.map_err(|reason| unreadable(index, reason))?;
                if let (Some(id), Some(answer)) = (proposal, answer) {
                    self.waiting.decide(id, Ok(answer));
                }
            }
            Action::Restore(snapshot) => {
                let index = snapshot.index;
                let restored = self.machine.restore(snapshot);
                restored.map_err(|reason| unreadable(index, reason))?;
            }
            Action::ProposalFailed { id, reason } => {
                use cicadabend::agreement::ProposalFailure::ChangeRefused;
                let outcome = match reason {
                    ChangeRefused(_) => Ok(FleetAnswer::VotersRefused),
                    reason => Err(reason.into()),
                };
                self.waiting.decide(id, outcome);
            }
            Action::ReadReady { id } => self.waiting.read_is_ready(id),
            Action::ReadFailed { id, reason } => self.waiting.fail_read(id, Err(reason.into())),
        }
        Ok(())
    }

    pub(super) fn send(&self, message: &Message) {
        // Encoding these types cannot fail; a lost message would be repeated anyway.
        if let Ok(bytes) = encode_message(message) {
            let to = &message.to.daemon;
            self.peers.send(to, PeerMessage::Agreement(bytes));
        }
    }

    fn hand_on_backlog(&mut self) {
        while let Some(persist) = self.backlog.pop_front() {
            if let Err(persist) = self.persists.push(persist) {
                self.backlog.push_front(persist);
                return;
            }
        }
    }

    fn take_report(&mut self, report: Persisted) -> Result<(), Failed> {
        match report {
            Persisted::Through(through) => {
                if std::mem::take(&mut self.disk_is_full) {
                    LogEvent::DiskHasRoom {}.emit();
                }
                self.tell(Event::Synced { through })
            }
            Persisted::DiskFull(reason) => {
                if !std::mem::replace(&mut self.disk_is_full, true) {
                    LogEvent::DiskFull { reason }.emit();
                }
                // A leader without room can commit by the others' disks, but not apply.
                self.tell(Event::Transfer)
            }
            Persisted::Failed(reason) => Err(Failed(reason)),
        }
    }

    fn take_message(&mut self, incoming: Incoming) -> Result<(), Failed> {
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
            MessageBody::Invite { .. } | MessageBody::Fresh { .. } => self.found(&message),
            MessageBody::Joining => {
                self.note_new_disk(&message);
                Ok(())
            }
            _ => self.tell(Event::Message(message)),
        }
    }

    /// What is done now and then: founding, learners, snapshots, counters.
    fn upkeep(&mut self) -> Result<(), Failed> {
        if let Some((through, data)) = self.machine.snapshot_if_due(self.compact_after_entries) {
            LogEvent::Compacted { through }.emit();
            let bytes = data.len();
            if bytes > SNAPSHOT_LIMIT_BYTES {
                LogEvent::SnapshotTooLarge { bytes }.emit();
            }
            self.tell(Event::Compact { through, data })?;
        }
        let now = self.clock.now();
        if now < self.upkeep_due {
            return Ok(());
        }
        self.upkeep_due = now + UPKEEP;
        self.count_refusals();
        if self.node.has_no_voters() {
            for message in self.founding.invitations() {
                self.send(&message);
            }
            for message in self.founding.joining_announcements() {
                self.send(&message);
            }
            return self.found_if_all_are_new();
        }
        self.promote_learner()
    }

    fn count_refusals(&mut self) {
        let counts = *self.node.refusals();
        for reason in Refusal::ALL {
            for _ in self.counted.of(reason)..counts.of(reason) {
                self.metrics.count_reason("agreement_refusals", reason);
            }
        }
        self.counted = counts;
    }

    /// Publishes the state first, then the answers that depend on it.
    fn publish(&mut self) {
        self.machine.publish();
        let shared = &self.shared;
        self.waiting.send_answers(|| Ok(shared.state.load_full()));
        let status = self.node.status();
        self.log_role(&status);
        if status.role != RoleName::Leader {
            self.waiting.handed_over();
        }
        let known = self.shared.standing.load();
        let standing = Standing {
            leader: status.leader,
            term: status.term.0,
            leads_until: status.leads_until,
            new_disks: known.new_disks.clone(),
        };
        if **known != standing {
            self.shared.standing.store(Arc::new(standing));
        }
    }

    fn log_role(&mut self, status: &Status) {
        let term = status.term;
        let led = self.role.replace(status.role) == Some(RoleName::Leader);
        match (led, status.role == RoleName::Leader) {
            (false, true) => LogEvent::Leads { term }.emit(),
            (true, false) => LogEvent::LeadsNoMore { term }.emit(),
            (true, true) | (false, false) => {}
        }
    }
}

fn unreadable(index: cicadabend::agreement::LogIndex, reason: String) -> Failed {
    LogEvent::CommandUnreadable {
        index,
        reason: reason.clone(),
    }
    .emit();
    Failed(reason)
}
