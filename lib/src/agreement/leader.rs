//! Leading: sending entries, counting what is synced, and noticing a lost majority.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use super::{
    event::{
        Action,
        ProposalFailure, //
    },
    message::{
        AppendOutcome,
        MessageBody,
        Position, //
    },
    node::{
        Node,
        Role, //
    },
    progress::Progress,
    reads::Reads,
    refusals::Refusal,
    types::{
        Entry,
        EntryBody,
        LogIndex,
        ProposalId,
        Term, //
    },
};
use crate::{
    fleet::Voter,
    time::Timestamp, //
};

/// After how many heartbeat intervals an unacknowledged append is sent again.
const RETRANSMIT_HEARTBEATS: u32 = 2;

/// What a node knows while it leads.
#[derive(Debug)]
pub(super) struct Leadership {
    pub progress: BTreeMap<Voter, Progress>,
    /// The number of the last round; each message to a follower carries it.
    pub round: u64,
    /// The last round that a majority has answered.
    pub confirmed_round: u64,
    /// When the rounds that no majority has answered yet were begun.
    pub rounds_begun: VecDeque<(u64, Timestamp)>,
    /// When the last round that a majority has answered was begun.
    pub quorum_at: Timestamp,
    /// Whether the lease counts; once another node was told to take over it never does.
    pub lease_is_void: bool,
    /// The first entry of this term.
    pub term_start: LogIndex,
    pub heartbeat_due: Timestamp,
    pub reads: Reads,
    pub transfer: Option<Transfer>,
}

/// A leadership on its way to another voter.
#[derive(Debug)]
pub(super) struct Transfer {
    pub target: Voter,
    pub until: Timestamp,
    pub told: bool,
}

impl Leadership {
    fn new(now: Timestamp, term_start: LogIndex) -> Self {
        Self {
            progress: BTreeMap::new(),
            round: 0,
            confirmed_round: 0,
            rounds_begun: VecDeque::new(),
            quorum_at: now,
            lease_is_void: false,
            term_start,
            heartbeat_due: now,
            reads: Reads::default(),
            transfer: None,
        }
    }

    pub(super) fn transfer_target(&self) -> Option<&Voter> {
        self.transfer.as_ref().map(|transfer| &transfer.target)
    }

    /// Returns when the round was begun that has last been answered by a majority.
    pub(super) fn lease_begun(&self) -> Option<Timestamp> {
        let holds = self.confirmed_round > 0 && !self.lease_is_void;
        holds.then_some(self.quorum_at)
    }
}

impl Node {
    pub(super) fn become_leader(&mut self) {
        let term_start = self.log.last().index.next();
        self.role = Role::Leader(Box::new(Leadership::new(self.now, term_start)));
        self.append_own(EntryBody::TermStart);
        self.follow_members();
        self.begin_round();
    }

    /// Keeps one progress for each member but this node.
    pub(super) fn follow_members(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let set = self.log.voters();
        let is_member = |voter: &Voter| set.voters.contains(voter) || set.learners.contains(voter);
        leadership.progress.retain(|voter, _| is_member(voter));
        for member in set.members().filter(|member| **member != self.me) {
            let progress = &mut leadership.progress;
            progress
                .entry(member.clone())
                .or_insert_with(|| Progress::new(last));
        }
    }

    pub(super) fn append_own(&mut self, body: EntryBody) -> LogIndex {
        let index = self.log.last().index.next();
        let term = self.term;
        self.log.push(Entry { index, term, body });
        self.save_from(index);
        index
    }

    /// Appends a proposal, or says that it was not appended.
    pub(super) fn propose(&mut self, id: ProposalId, body: EntryBody) {
        if !self.takes_proposals() {
            let reason = ProposalFailure::NotAppended(self.unavailable());
            self.actions.push(Action::ProposalFailed { id, reason });
            return;
        }
        let index = self.append_own(body);
        self.proposals.add(index, self.term, id);
        self.replicate_to_all(false);
    }

    pub(super) fn takes_proposals(&self) -> bool {
        match &self.role {
            Role::Leader(leadership) => leadership.transfer.is_none() && self.leads_with_quorum(),
            _ => false,
        }
    }

    /// Returns whether a majority has answered within the length of the lease.
    pub(super) fn leads_with_quorum(&self) -> bool {
        self.leads_until().is_some_and(|until| self.now < until)
    }

    pub(super) fn leads_until(&self) -> Option<Timestamp> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        Some(leadership.quorum_at + self.settings.lease())
    }

    /// Ends a leadership whose majority is silent, so that its clients turn elsewhere.
    ///
    /// Answers count from when their round was begun: what a stopped process finds
    /// in its inbox when it wakes does not prolong anything.
    pub(super) fn step_down_without_quorum(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        if self.now >= leadership.quorum_at + self.settings.election_timeout() {
            self.follow(self.term, None);
        }
    }

    pub(super) fn lead_on_time(&mut self) {
        let now = self.now;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership
            .transfer
            .take_if(|transfer| now >= transfer.until);
        if now >= leadership.heartbeat_due {
            self.begin_round();
        }
    }

    /// Sends to all, so that a majority's answers prove that no later leader was
    /// elected before now.
    pub(super) fn begin_round(&mut self) {
        let heartbeat_due = self.now + self.settings.heartbeat();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.round += 1;
        leadership
            .rounds_begun
            .push_back((leadership.round, self.now));
        leadership.heartbeat_due = heartbeat_due;
        self.replicate_to_all(true);
        self.confirm_rounds();
    }

    fn replicate_to_all(&mut self, is_heartbeat: bool) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let members: Vec<Voter> = leadership.progress.keys().cloned().collect();
        for member in members {
            self.replicate_to(&member, is_heartbeat);
        }
    }

    /// Sends what the member lacks and may be sent; a heartbeat if that is nothing.
    fn replicate_to(&mut self, to: &Voter, is_heartbeat: bool) {
        let mut is_due = is_heartbeat;
        while let Some(body) = self.next_entries_for(to) {
            self.send(to.clone(), self.term, body);
            is_due = false;
        }
        if is_due && let Some(body) = self.heartbeat_for(to) {
            self.send(to.clone(), self.term, body);
        }
    }

    /// Returns the next entries, or the snapshot, that may be sent to a member now.
    fn next_entries_for(&mut self, to: &Voter) -> Option<MessageBody> {
        let retransmit_at = self.retransmit_at();
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let round = leadership.round;
        let progress = leadership.progress.get_mut(to)?;
        progress.retransmit_if_due(self.now);
        let next = progress.next;
        let window = self.settings.appends_in_flight;
        if next > self.log.last().index || !progress.accepts_entries(window) {
            return None;
        }
        if next < self.log.first_index() {
            progress.installing = true;
            let snapshot = self.snapshot.clone();
            progress.sent(snapshot.index, round, retransmit_at);
            return Some(MessageBody::InstallSnapshot { round, snapshot });
        }
        let entries = self.log.slice(next, self.settings.append_limit_bytes);
        let through = LogIndex(next.previous().0 + entries.len() as u64);
        progress.sent(through, round, retransmit_at);
        Some(self.append(round, next.previous(), entries))
    }

    fn heartbeat_for(&self, to: &Voter) -> Option<MessageBody> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let progress = leadership.progress.get(to)?;
        // While a snapshot is on its way any other entry would be refused.
        let previous = if progress.installing {
            LogIndex(0)
        } else {
            progress.next.previous()
        };
        Some(self.append(leadership.round, previous, Vec::new()))
    }

    fn retransmit_at(&self) -> Timestamp {
        self.now + RETRANSMIT_HEARTBEATS * self.settings.heartbeat()
    }

    fn append(&self, round: u64, previous: LogIndex, entries: Vec<Entry>) -> MessageBody {
        // Of a compacted entry the term is not known; the empty log matches everyone's.
        let previous = match self.log.term_at(previous) {
            Some(term) => Position {
                term,
                index: previous,
            },
            None => Position::default(),
        };
        MessageBody::Append {
            round,
            previous,
            entries,
            commit: self.commit,
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: Voter,
        term: Term,
        round: u64,
        outcome: AppendOutcome,
    ) {
        if term > self.term {
            self.follow(term, None);
            return;
        }
        let retransmit_at = self.retransmit_at();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if term < self.term {
            self.refusals.add(Refusal::OldTerm);
            return;
        }
        let Some(progress) = leadership.progress.get_mut(&from) else {
            self.refusals.add(Refusal::NotMember);
            return;
        };
        progress.answered_round = progress.answered_round.max(round);
        match outcome {
            AppendOutcome::Matched(index) => progress.match_through(index, retransmit_at),
            AppendOutcome::Rejected(hint) => progress.go_back(hint),
        }
        self.confirm_rounds();
        self.advance_commit();
        self.replicate_to(&from, false);
        self.hand_over_if_ready();
    }

    /// Notes the last round that a majority has answered, and when it was begun.
    fn confirm_rounds(&mut self) {
        let set = self.log.voters();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let answered = |voter: &Voter| match leadership.progress.get(voter) {
            Some(progress) => progress.answered_round,
            None if *voter == self.me => leadership.round,
            None => 0,
        };
        let round = set.majority_value(answered);
        leadership.confirmed_round = leadership.confirmed_round.max(round);
        let begun = &mut leadership.rounds_begun;
        while let Some((_, at)) = begun.pop_front_if(|(number, _)| *number <= round) {
            leadership.quorum_at = leadership.quorum_at.max(at);
        }
        self.finish_reads();
    }

    /// Commits what a majority has synced, if an entry of this term is among it.
    ///
    /// An older term's entry on a majority may still be replaced by a leader that
    /// does not have it; an entry of this term before which it stands rules that out.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let synced = |voter: &Voter| match leadership.progress.get(voter) {
            Some(progress) => progress.matched,
            None if *voter == self.me => self.durability.entries_through,
            None => LogIndex(0),
        };
        let through = self.log.voters().majority_value(synced);
        if through <= self.commit || self.log.term_at(through) != Some(self.term) {
            return;
        }
        self.raise_commit(through);
        self.tell_idle_members();
        self.begin_read_round();
        self.step_down_if_removed();
    }

    /// Tells those who get no entries now what is committed, so that they apply it.
    fn tell_idle_members(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let progress = leadership.progress.iter();
        let idle = progress.filter(|(_, progress)| progress.is_idle());
        let idle: Vec<Voter> = idle.map(|(voter, _)| voter.clone()).collect();
        for member in idle {
            self.replicate_to(&member, true);
        }
    }
}
