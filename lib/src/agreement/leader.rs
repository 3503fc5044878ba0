//! The leader's duties: replicating entries, advancing the commit index, and stepping down when
//! the majority is lost.

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

/// The number of heartbeat intervals after which an unacknowledged append is retransmitted.
const RETRANSMIT_HEARTBEATS: u32 = 2;

/// The state of a node that it has only while it leads.
#[derive(Debug)]
pub(super) struct Leadership {
    pub progress: BTreeMap<Voter, Progress>,
    /// The number of the last heartbeat round; each message to a follower carries it.
    pub round: u64,
    /// The last heartbeat round that a majority has answered.
    pub confirmed_round: u64,
    /// The numbers and start times of the rounds that no majority has answered yet.
    pub round_starts: VecDeque<(u64, Timestamp)>,
    /// The start time of the last round that a majority has answered.
    pub quorum_round_start: Timestamp,
    /// Whether the lease is void, which it stays for the rest of the term once another node was
    /// asked to take over.
    pub lease_is_void: bool,
    /// The index of the first entry of this term.
    pub term_start: LogIndex,
    pub heartbeat_due: Timestamp,
    pub reads: Reads,
    pub transfer: Option<Transfer>,
}

/// A transfer of leadership to another voter.
#[derive(Debug)]
pub(super) struct Transfer {
    pub target: Voter,
    /// The time at which the transfer is given up.
    pub until: Timestamp,
    /// Whether the target was asked to take over.
    pub is_sent: bool,
}

impl Leadership {
    fn new(now: Timestamp, term_start: LogIndex) -> Self {
        Self {
            progress: BTreeMap::new(),
            round: 0,
            confirmed_round: 0,
            round_starts: VecDeque::new(),
            quorum_round_start: now,
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

    /// Returns the start of the lease: the start time of the last round that a majority has
    /// answered. Returns `None` if there is none or the lease is void.
    pub(super) fn lease_start(&self) -> Option<Timestamp> {
        let holds = self.confirmed_round > 0 && !self.lease_is_void;
        holds.then_some(self.quorum_round_start)
    }
}

impl Node {
    pub(super) fn become_leader(&mut self) {
        let term_start = self.log.last().index.next();
        self.role = Role::Leader(Box::new(Leadership::new(self.now, term_start)));
        self.append_entry(EntryBody::TermStart);
        self.track_members();
        self.begin_round();
    }

    /// Updates `progress` to the current members: one for each but this node.
    pub(super) fn track_members(&mut self) {
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

    pub(super) fn append_entry(&mut self, body: EntryBody) -> LogIndex {
        let index = self.log.last().index.next();
        let term = self.term;
        self.log.push(Entry { index, term, body });
        self.mark_unsaved_from(index);
        index
    }

    /// Appends a proposal, or reports that it was not appended.
    pub(super) fn propose(&mut self, id: ProposalId, body: EntryBody) {
        if !self.accepts_proposals() {
            let reason = ProposalFailure::NotAppended(self.unavailable());
            self.actions.push(Action::ProposalFailed { id, reason });
            return;
        }
        let index = self.append_entry(body);
        self.proposals.add(index, self.term, id);
        self.replicate_to_all(false);
    }

    pub(super) fn accepts_proposals(&self) -> bool {
        match &self.role {
            Role::Leader(leadership) => leadership.transfer.is_none() && self.leads_with_quorum(),
            _ => false,
        }
    }

    /// Returns whether a majority has answered a round that began within the length of the lease.
    pub(super) fn leads_with_quorum(&self) -> bool {
        self.leads_until().is_some_and(|until| self.now < until)
    }

    pub(super) fn leads_until(&self) -> Option<Timestamp> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        Some(leadership.quorum_round_start + self.settings.lease())
    }

    /// Steps down if no majority has answered for an election timeout, so that clients turn to
    /// other nodes.
    ///
    /// Answers count from the start of their round. Old answers that a paused process reads
    /// when it resumes therefore do not prolong its leadership.
    pub(super) fn step_down_without_quorum(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        if self.now >= leadership.quorum_round_start + self.settings.election_timeout() {
            self.become_follower(self.term, None);
        }
    }

    pub(super) fn tick_leader(&mut self) {
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

    /// Begins a heartbeat round: answers of a majority to it prove that no later leader was
    /// elected before the round began.
    pub(super) fn begin_round(&mut self) {
        let heartbeat_due = self.now + self.settings.heartbeat();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.round += 1;
        leadership
            .round_starts
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

    /// Sends a member the entries that it lacks, as far as its window allows; if there are none and
    /// `is_heartbeat` is set, sends a heartbeat.
    fn replicate_to(&mut self, to: &Voter, is_heartbeat: bool) {
        let mut is_due = is_heartbeat;
        while let Some(body) = self.next_append_for(to) {
            self.send(to.clone(), self.term, body);
            is_due = false;
        }
        if is_due && let Some(body) = self.heartbeat_for(to) {
            self.send(to.clone(), self.term, body);
        }
    }

    /// Returns the next append with entries, or the snapshot, that may be sent to a member now.
    fn next_append_for(&mut self, to: &Voter) -> Option<MessageBody> {
        let retransmit_at = self.retransmit_at();
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let round = leadership.round;
        let progress = leadership.progress.get_mut(to)?;
        progress.rewind_if_retransmit_due(self.now);
        let next = progress.next;
        let window = self.settings.appends_in_flight;
        if next > self.log.last().index || !progress.accepts_entries(window) {
            return None;
        }
        if next < self.log.first_index() {
            progress.installing = true;
            let snapshot = self.snapshot.clone();
            progress.record_sent(snapshot.index, round, retransmit_at);
            return Some(MessageBody::InstallSnapshot { round, snapshot });
        }
        let entries = self.log.slice(next, self.settings.append_limit_bytes);
        let through = LogIndex(next.previous().0 + entries.len() as u64);
        progress.record_sent(through, round, retransmit_at);
        Some(self.append_message(round, next.previous(), entries))
    }

    fn heartbeat_for(&self, to: &Voter) -> Option<MessageBody> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let progress = leadership.progress.get(to)?;
        // Until the member has the snapshot, it would reject any later previous entry.
        let previous = if progress.installing {
            LogIndex(0)
        } else {
            progress.next.previous()
        };
        Some(self.append_message(leadership.round, previous, Vec::new()))
    }

    fn retransmit_at(&self) -> Timestamp {
        self.now + RETRANSMIT_HEARTBEATS * self.settings.heartbeat()
    }

    fn append_message(&self, round: u64, previous: LogIndex, entries: Vec<Entry>) -> MessageBody {
        // The term of a compacted entry is not known; position zero matches every log.
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

    pub(super) fn handle_append_reply(
        &mut self,
        from: Voter,
        term: Term,
        round: u64,
        outcome: AppendOutcome,
    ) {
        if term > self.term {
            self.become_follower(term, None);
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
            AppendOutcome::Matched(index) => progress.record_matched(index, retransmit_at),
            AppendOutcome::Rejected(hint) => progress.rewind(hint),
        }
        self.confirm_rounds();
        self.advance_commit();
        self.replicate_to(&from, false);
        self.send_timeout_now_if_ready();
    }

    /// Updates the last round that a majority has answered, and its start time.
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
        let starts = &mut leadership.round_starts;
        while let Some((_, at)) = starts.pop_front_if(|(number, _)| *number <= round) {
            leadership.quorum_round_start = leadership.quorum_round_start.max(at);
        }
        self.finish_reads();
    }

    /// Commits the entries that a majority has synced, if the last of them is of this term.
    ///
    /// An entry of an older term on a majority may still be replaced by a leader that does not
    /// have it, unless a later entry of this term is on a majority as well.
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
        self.notify_idle_members();
        self.begin_read_round();
        self.step_down_if_removed();
    }

    /// Sends the commit index to the members without entries in flight, so that they apply the
    /// committed entries.
    fn notify_idle_members(&mut self) {
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
