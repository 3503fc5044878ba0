//! One node: what it knows, and which part of the module answers an event.

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

/// One node of the agreement.
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
    /// The state that replaces entries which are gone, for nodes that lack them.
    pub(super) snapshot: Snapshot,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// As a follower: the last entry known to be the same in the leader's log.
    pub(super) matched: LogIndex,
    /// As a follower: what the leader has been told is synced here.
    pub(super) acknowledged: LogIndex,
    /// As a follower: the leader's last round.
    pub(super) heard_round: u64,
    /// When a leader was last heard; no vote is granted for a while after it.
    pub(super) leader_heard_at: Timestamp,
    pub(super) election_due: Timestamp,
    pub(super) durability: Durability,
    pub(super) proposals: Proposals,
    pub(super) unsaved: Unsaved,
    pub(super) actions: Vec<Action>,
    /// Messages that may go only after what this event changed is synced.
    pub(super) dependent: Vec<Message>,
    pub(super) refusals: RefusalCounts,
}

/// What a node is at the moment.
#[derive(Debug)]
pub(super) enum Role {
    Follower { leader: Option<Voter> },
    PreCandidate { granted: BTreeSet<Voter> },
    Candidate { granted: BTreeSet<Voter> },
    Leader(Box<Leadership>),
}

/// What has changed since the last persist.
#[derive(Debug, Default)]
pub(super) struct Unsaved {
    pub hard_state: bool,
    pub entries_from: Option<LogIndex>,
    pub snapshot: Option<Snapshot>,
    /// Whether the state machine takes the snapshot, too.
    pub restore: bool,
}

impl Node {
    /// Starts a node from what it had stored.
    ///
    /// `voters` is used only if nothing was stored and a set is known from elsewhere;
    /// an empty set makes a node that waits to be invited or brought up to date.
    /// The actions of a restored state machine come with the first event.
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
            heard_round: 0,
            // As if a leader had just been heard: before the restart this node may
            // have answered one whose lease counts on that answer.
            leader_heard_at: now,
            election_due: now,
            durability: Durability::new(hard_state, log.last().index),
            proposals: Proposals::default(),
            unsaved: Unsaved::default(),
            actions: Vec::new(),
            dependent: Vec::new(),
            refusals: RefusalCounts::default(),
            log,
            snapshot,
        };
        // A single voter has nobody to wait for.
        if !node.other_voters().is_empty() {
            node.reset_election_timer();
        }
        node.recover_state_machine();
        node
    }

    /// Answers an event; `now` never goes back.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        self.now = self.now.max(now);
        // First of all: a process that was stopped must notice before it acts.
        self.step_down_without_quorum();
        match event {
            Event::Tick => {}
            Event::Message(message) => self.receive(message),
            Event::Propose { id, command } => self.propose(id, EntryBody::Command(command)),
            Event::ChangeVoters { id, change } => self.change_voters(id, change),
            Event::Synced { through } => self.synced(through),
            Event::Read { id } => self.read(id),
            Event::Compact { through, data } => self.compact(through, data),
            Event::Transfer => self.start_transfer(),
            Event::Found { voters } => self.found(voters),
        }
        self.act_on_time();
        self.finish()
    }

    /// Returns how often messages were refused, by reason.
    pub fn refusals(&self) -> &RefusalCounts {
        &self.refusals
    }

    /// Returns the entry at a place if it is kept in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns whether the node knows of no voters, so it can neither vote nor lead.
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

    fn receive(&mut self, message: Message) {
        if message.to != self.me {
            self.refusals.add(Refusal::OtherVoter);
            return;
        }
        let Message {
            from, term, body, ..
        } = message;
        match body {
            MessageBody::PreVote { last } => self.on_pre_vote(from, term, last),
            MessageBody::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            MessageBody::Vote { last, transfer } => self.on_vote(from, term, last, transfer),
            MessageBody::VoteReply { granted } => self.on_vote_reply(from, term, granted),
            MessageBody::Append { .. } | MessageBody::InstallSnapshot { .. } => {
                self.on_leader_message(from, term, body);
            }
            MessageBody::AppendReply { round, outcome } => {
                self.on_append_reply(from, term, round, outcome);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(term),
            // The driver's founding answers these; they concern no term.
            MessageBody::Invite { .. } | MessageBody::Fresh { .. } | MessageBody::Joining => {}
        }
    }

    fn act_on_time(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.lead_on_time();
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
            self.heard_round = 0;
            self.unsaved.hard_state = true;
        }
    }

    /// Sends a message that does not depend on what is being stored.
    pub(super) fn send(&mut self, to: Voter, term: Term, body: MessageBody) {
        let message = self.message(to, term, body);
        self.actions.push(Action::Send(message));
    }

    /// Sends a message once all that the node has decided so far is synced.
    pub(super) fn send_when_synced(&mut self, to: Voter, term: Term, body: MessageBody) {
        let message = self.message(to, term, body);
        self.dependent.push(message);
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

    /// Asks for one persist of all that this event has changed, then sends what may go.
    fn finish(&mut self) -> Vec<Action> {
        if let Some(persist) = self.take_unsaved() {
            self.actions.push(Action::Persist(persist));
        }
        for message in std::mem::take(&mut self.dependent) {
            self.durability.hold(message);
        }
        while let Some(message) = self.durability.release() {
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
            // A snapshot replaces the whole journal, so all later entries go with it.
            Some(snapshot) => Some(snapshot.index.next()),
            None => unsaved.entries_from,
        };
        let entries = from.map(|from| self.log.all_from(from));
        let hard_state = self.hard_state();
        let restore = unsaved.snapshot.clone().filter(|_| unsaved.restore);
        let last = self.log.last();
        Some(Persist {
            ticket: self.durability.ask(last, hard_state.clone(), restore),
            snapshot: unsaved.snapshot,
            hard_state,
            entries: entries.unwrap_or_default(),
        })
    }

    fn synced(&mut self, through: PersistTicket) {
        for made in self.durability.synced(through) {
            // An entry that was replaced since it was written does not count.
            if self.log.term_at(made.last.index) == Some(made.last.term) {
                let known = self.durability.entries_through;
                self.durability.entries_through = known.max(made.last.index);
            }
            if let Some(snapshot) = made.restore {
                self.restore(snapshot);
            }
        }
        self.acknowledge_synced();
        self.count_own_vote();
        self.advance_commit();
        self.apply_committed();
    }
}
