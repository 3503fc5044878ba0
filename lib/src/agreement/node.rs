//! A node's state, and the dispatch of events to their handlers.

use std::collections::BTreeSet;

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use super::{
    durability::Durability,
    durable::Recovered,
    event::{
        Action,
        Event,
        Persist,
        PersistTicket,
        Unavailable, //
    },
    leader::Leadership,
    log::Log,
    message::{
        Message,
        MessageBody, //
    },
    proposals::Proposals,
    refusals::{
        Refusal,
        RefusalCounts, //
    },
    settings::Settings,
    types::{
        Entry,
        EntryBody,
        HardState,
        LogIndex,
        Snapshot,
        Term,
        VoterSet, //
    },
};
use crate::{
    fleet::Voter,
    time::Timestamp, //
};

/// A node of the replicated log.
#[derive(Debug)]
pub struct Node {
    pub(super) settings: Settings,
    pub(super) me: Voter,
    pub(super) rng: SmallRng,
    pub(super) now: Timestamp,
    pub(super) term: Term,
    pub(super) vote: Option<Voter>,
    pub(super) role: Role,
    pub(super) log: Log,
    /// The last snapshot, for members that lack entries which are compacted here.
    pub(super) snapshot: Snapshot,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// As a follower: the last entry known to equal the leader's.
    pub(super) matched: LogIndex,
    /// As a follower: the last entry that was acknowledged to the leader as synced.
    pub(super) acknowledged: LogIndex,
    /// As a follower: the last heartbeat round received from the leader of this term.
    pub(super) leader_round: u64,
    /// The time of a leader's last message; no vote is granted for an election timeout after it.
    pub(super) last_leader_contact: Timestamp,
    pub(super) election_due: Timestamp,
    pub(super) durability: Durability,
    pub(super) proposals: Proposals,
    pub(super) unsaved: Unsaved,
    pub(super) actions: Vec<Action>,
    /// Messages that may be sent only after this event's changes are synced.
    pub(super) deferred: Vec<Message>,
    pub(super) refusals: RefusalCounts,
}

/// A node's role in its current term.
#[derive(Debug)]
pub(super) enum Role {
    Follower { leader: Option<Voter> },
    PreCandidate { granted: BTreeSet<Voter> },
    Candidate { granted: BTreeSet<Voter> },
    Leader(Box<Leadership>),
}

/// The changes since the last persist.
#[derive(Debug, Default)]
pub(super) struct Unsaved {
    pub hard_state: bool,
    pub entries_from: Option<LogIndex>,
    pub snapshot: Option<Snapshot>,
    /// Whether the state machine is restored from the snapshot once it is synced.
    pub restore: bool,
}

impl Node {
    /// Returns a node that continues from its stored state.
    ///
    /// `voters` is used only if no snapshot was stored; with an empty set the node waits
    /// until it is invited or added by a leader. The actions that bring the state machine to
    /// its stored state are returned with those of the first event.
    pub fn new(
        settings: Settings,
        me: Voter,
        voters: VoterSet,
        recovered: Recovered,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut snapshot = recovered.snapshot;
        if snapshot.index == LogIndex(0) {
            snapshot.voters = voters;
        }
        let log = Log::new(&snapshot, recovered.entries);
        let mut hard_state = recovered.hard_state;
        hard_state.commit = hard_state.commit.clamp(snapshot.index, log.last().index);
        let mut node = Self {
            settings,
            me,
            rng: SmallRng::seed_from_u64(seed),
            now,
            term: hard_state.term,
            vote: hard_state.vote.clone(),
            role: Role::Follower { leader: None },
            commit: hard_state.commit,
            applied: LogIndex(0),
            matched: LogIndex(0),
            acknowledged: LogIndex(0),
            leader_round: 0,
            // Before the restart this node may have answered a leader, whose lease relies
            // on that answer; so the node behaves as if a leader's message had just come.
            last_leader_contact: now,
            election_due: now,
            durability: Durability::new(hard_state, log.last().index),
            proposals: Proposals::default(),
            unsaved: Unsaved::default(),
            actions: Vec::new(),
            deferred: Vec::new(),
            refusals: RefusalCounts::default(),
            log,
            snapshot,
        };
        // A single voter need not wait for a leader and campaigns at once.
        if !node.other_voters().is_empty() {
            node.reset_election_timer();
        }
        node.recover_state_machine();
        node
    }

    /// Handles an event and returns the actions to perform; an earlier `now` than the last one
    /// counts as the last one.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        self.now = self.now.max(now);
        // Comes first: a process that was paused must notice that its majority has been silent for
        // an election timeout before it acts as leader.
        self.step_down_without_quorum();
        match event {
            Event::Tick => {}
            Event::Message(message) => self.handle_message(message),
            Event::Propose { id, command } => self.propose(id, EntryBody::Command(command)),
            Event::ChangeVoters { id, change } => self.change_voters(id, change),
            Event::Synced { through } => self.handle_synced(through),
            Event::Read { id } => self.read(id),
            Event::Compact { through, data } => self.compact(through, data),
            Event::Transfer => self.start_transfer(),
            Event::Found { voters } => self.create_first_voters(voters),
        }
        self.run_due_timers();
        self.take_actions()
    }

    /// Returns the numbers of refused messages by reason.
    pub fn refusals(&self) -> &RefusalCounts {
        &self.refusals
    }

    /// Returns the entry at an index if it is in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns whether the node knows no voters, so that it can neither vote nor lead.
    pub fn has_no_voters(&self) -> bool {
        self.log.voters().voters.is_empty()
    }

    pub(super) fn leader(&self) -> Option<&Voter> {
        match &self.role {
            Role::Follower { leader } => leader.as_ref(),
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
            Role::Leader(leadership) => match leadership.transfer_target() {
                Some(target) => Some(target),
                None => Some(&self.me),
            },
        }
    }

    pub(super) fn unavailable(&self) -> Unavailable {
        match self.leader() {
            Some(leader) if *leader != self.me => Unavailable::NotLeader {
                leader: leader.clone(),
            },
            _ => Unavailable::NoQuorum,
        }
    }

    fn handle_message(&mut self, message: Message) {
        if message.to != self.me {
            self.refusals.add(Refusal::OtherVoter);
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        match body {
            MessageBody::PreVote { last } => self.handle_pre_vote(from, term, last),
            MessageBody::PreVoteReply { granted } => {
                self.handle_pre_vote_reply(from, term, granted)
            }
            MessageBody::Vote { last, transfer } => self.handle_vote(from, term, last, transfer),
            MessageBody::VoteReply { granted } => self.handle_vote_reply(from, term, granted),
            MessageBody::Append { .. } | MessageBody::InstallSnapshot { .. } => {
                self.handle_leader_message(from, term, body);
            }
            MessageBody::AppendReply { round, outcome } => {
                self.handle_append_reply(from, term, round, outcome);
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(term),
            // The driver passes these to its `Founding`; they belong to no term.
            MessageBody::Invite { .. } | MessageBody::Fresh { .. } | MessageBody::Joining => {}
        }
    }

    fn run_due_timers(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_due {
            self.start_pre_vote();
        }
    }

    pub(super) fn reset_election_timer(&mut self) {
        let shortest = self.settings.election_timeout_ms.max(1);
        let length = shortest + self.rng.random_range(0..shortest);
        self.election_due = self.now + std::time::Duration::from_millis(length);
    }

    pub(super) fn set_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.matched = LogIndex(0);
            self.acknowledged = LogIndex(0);
            self.leader_round = 0;
            self.unsaved.hard_state = true;
        }
    }

    /// Sends a message that does not depend on unsynced changes.
    pub(super) fn send(&mut self, to: Voter, term: Term, body: MessageBody) {
        let message = self.message(to, term, body);
        self.actions.push(Action::Send(message));
    }

    /// Sends a message once all changes so far are synced.
    pub(super) fn send_when_synced(&mut self, to: Voter, term: Term, body: MessageBody) {
        let message = self.message(to, term, body);
        self.deferred.push(message);
    }

    fn message(&self, to: Voter, term: Term, body: MessageBody) -> Message {
        Message {
            from: self.me.clone(),
            to,
            term,
            body,
        }
    }

    pub(super) fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote.clone(),
            commit: self.commit.min(self.log.last().index),
        }
    }

    /// Adds one persist of all changes of this event, then all messages that may be sent, and
    /// returns the actions.
    fn take_actions(&mut self) -> Vec<Action> {
        if let Some(persist) = self.take_unsaved() {
            self.actions.push(Action::Persist(persist));
        }
        for message in std::mem::take(&mut self.deferred) {
            self.durability.defer(message);
        }
        while let Some(message) = self.durability.take_sendable() {
            self.actions.push(Action::Send(message));
        }
        std::mem::take(&mut self.actions)
    }

    fn take_unsaved(&mut self) -> Option<Persist> {
        let unsaved = std::mem::take(&mut self.unsaved);
        let nothing = unsaved.entries_from.is_none() && unsaved.snapshot.is_none();
        if nothing && !unsaved.hard_state {
            return None;
        }
        let from = match &unsaved.snapshot {
            // A snapshot replaces the whole journal, so all later entries are stored again.
            Some(snapshot) => Some(snapshot.index.next()),
            None => unsaved.entries_from,
        };
        let entries = from.map(|from| self.log.all_from(from));
        let hard_state = self.hard_state();
        let restore = unsaved.snapshot.clone().filter(|_| unsaved.restore);
        let last = self.log.last();
        Some(Persist {
            ticket: self
                .durability
                .begin_persist(last, hard_state.clone(), restore),
            snapshot: unsaved.snapshot,
            hard_state,
            entries: entries.unwrap_or_default(),
        })
    }

    fn handle_synced(&mut self, through: PersistTicket) {
        for synced_persist in self.durability.record_synced(through) {
            // An entry that was replaced after it was written does not count.
            if self.log.term_at(synced_persist.last.index) == Some(synced_persist.last.term) {
                let known = self.durability.entries_through;
                self.durability.entries_through = known.max(synced_persist.last.index);
            }
            if let Some(snapshot) = synced_persist.restore {
                self.restore_state_machine(snapshot);
            }
        }
        self.acknowledge_synced();
        self.count_own_vote();
        self.advance_commit();
        self.apply_committed();
    }
}
