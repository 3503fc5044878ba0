//! Following a leader: taking its entries, acknowledging what is synced, applying.

use super::{
    event::{
        Action,
        ProposalFailure, //
    },
    log::Log,
    message::{
        AppendOutcome,
        MessageBody,
        Position, //
    },
    node::{
        Node,
        Role, //
    },
    refusals::Refusal,
    types::{
        Entry,
        LogIndex,
        Snapshot,
        Term, //
    },
};
use crate::fleet::Voter;

impl Node {
    pub(super) fn on_leader_message(&mut self, from: Voter, term: Term, body: MessageBody) {
        if term < self.term {
            self.refusals.add(Refusal::OldTerm);
            self.refuse_append(from, 0, LogIndex(0));
            return;
        }
        if term == self.term && matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.follow(term, Some(from.clone()));
        self.leader_heard_at = self.now;
        self.reset_election_timer();
        match body {
            MessageBody::Append {
                round,
                previous,
                entries,
                commit,
            } => {
                self.heard_round = self.heard_round.max(round);
                self.take_append(from, previous, entries, commit);
            }
            MessageBody::InstallSnapshot { round, snapshot } => {
                self.heard_round = self.heard_round.max(round);
                self.take_snapshot(from, snapshot);
            }
            _ => {}
        }
    }

    fn take_append(
        &mut self,
        from: Voter,
        previous: Position,
        entries: Vec<Entry>,
        commit: LogIndex,
    ) {
        if !self.has(previous) {
            self.refusals.add(Refusal::LogGap);
            let hint = self.place_to_go_back_to(previous);
            self.refuse_append(from, self.heard_round, hint);
            return;
        }
        let through = LogIndex(previous.index.0 + entries.len() as u64);
        for entry in entries {
            self.take_entry(entry);
        }
        self.matched = self.matched.max(through);
        self.raise_commit(commit.min(self.matched));
        self.acknowledge(from);
    }

    /// Returns whether the log has this entry; all that is compacted was committed.
    fn has(&self, position: Position) -> bool {
        position.index < self.log.first_index().previous()
            || self.log.term_at(position.index) == Some(position.term)
    }

    fn place_to_go_back_to(&self, previous: Position) -> LogIndex {
        let last = self.log.last().index;
        if previous.index > last {
            return last.next();
        }
        // A whole term at once, as the leader may differ in all of its entries.
        let first = self.log.first_of_term_at(previous.index);
        first.max(self.commit.next())
    }

    fn take_entry(&mut self, entry: Entry) {
        let compacted = entry.index < self.log.first_index();
        if compacted || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last().index {
            self.log.truncate_from(entry.index);
            let kept = entry.index.previous();
            let through = &mut self.durability.entries_through;
            *through = (*through).min(kept);
        }
        self.save_from(entry.index);
        self.log.push(entry);
    }

    pub(super) fn save_from(&mut self, index: LogIndex) {
        let from = self.unsaved.entries_from.get_or_insert(index);
        *from = (*from).min(index);
    }

    pub(super) fn raise_commit(&mut self, commit: LogIndex) {
        if commit > self.commit {
            self.commit = commit;
            self.unsaved.hard_state = true;
        }
    }

    fn take_snapshot(&mut self, from: Voter, snapshot: Snapshot) {
        let position = Position {
            term: snapshot.term,
            index: snapshot.index,
        };
        self.matched = self.matched.max(snapshot.index);
        if snapshot.index > self.commit {
            if self.has(position) {
                self.raise_commit(snapshot.index);
            } else {
                self.install(snapshot);
            }
        }
        self.acknowledge(from);
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.log = Log::new(&snapshot, Vec::new());
        self.durability.entries_through = LogIndex(0);
        self.unsaved.entries_from = None;
        self.unsaved.restore = true;
        self.unsaved.snapshot = Some(snapshot.clone());
        self.raise_commit(snapshot.index);
        self.snapshot = snapshot;
    }

    /// Tells the leader what is synced of what it has sent.
    fn acknowledge(&mut self, leader: Voter) {
        let through = self.matched.min(self.durability.entries_through);
        self.acknowledged = through;
        let reply = MessageBody::AppendReply {
            round: self.heard_round,
            outcome: AppendOutcome::Matched(through),
        };
        // The answer is a promise not to follow older terms, which a restart must keep.
        if self.durability.hard_state.term == self.term {
            self.send(leader, self.term, reply);
        } else {
            self.send_when_synced(leader, self.term, reply);
        }
    }

    /// Acknowledges what a sync has added.
    pub(super) fn acknowledge_synced(&mut self) {
        let Role::Follower {
            leader: Some(leader),
        } = &self.role
        else {
            return;
        };
        let through = self.matched.min(self.durability.entries_through);
        if through > self.acknowledged {
            self.acknowledge(leader.clone());
        }
    }

    fn refuse_append(&mut self, from: Voter, round: u64, hint: LogIndex) {
        let outcome = AppendOutcome::Rejected(hint);
        let reply = MessageBody::AppendReply { round, outcome };
        self.send_when_synced(from, self.term, reply);
    }

    /// Applies what is committed, once this disk has both the entries and the
    /// knowledge that they are committed: a restart must not show an older state.
    pub(super) fn apply_committed(&mut self) {
        let durable = &self.durability;
        let through = durable.hard_state.commit.min(durable.entries_through);
        while self.applied < through {
            let Some(entry) = self.log.get(self.applied.next()).cloned() else {
                break;
            };
            self.applied = entry.index;
            let decided = self.proposals.decide(entry.index, entry.term);
            self.actions.push(Action::Apply {
                entry,
                proposal: decided.applied,
            });
            for id in decided.superseded {
                let reason = ProposalFailure::Superseded;
                self.actions.push(Action::ProposalFailed { id, reason });
            }
        }
        self.finish_reads();
    }

    /// Gives the state machine a snapshot that is synced.
    pub(super) fn restore(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.applied {
            return;
        }
        self.applied = snapshot.index;
        for id in self.proposals.forget_through(snapshot.index) {
            let reason = ProposalFailure::Unknown;
            self.actions.push(Action::ProposalFailed { id, reason });
        }
        self.actions.push(Action::Restore(snapshot));
    }

    /// Brings the state machine to where it was before the restart.
    pub(super) fn recover_state_machine(&mut self) {
        if self.snapshot.index > LogIndex(0) {
            self.restore(self.snapshot.clone());
        }
        self.apply_committed();
    }

    /// Replaces applied entries by the state they led to.
    pub(super) fn compact(&mut self, through: LogIndex, data: Vec<u8>) {
        let known = self.log.term_at(through);
        let Some(term) = known.filter(|_| through <= self.applied) else {
            return;
        };
        if through <= self.snapshot.index {
            return;
        }
        self.snapshot = Snapshot {
            index: through,
            term,
            voters: self.log.voters_at(through).clone(),
            data,
        };
        self.unsaved.snapshot = Some(self.snapshot.clone());
        let trailing = self.settings.trailing_entries;
        self.log
            .compact(LogIndex(through.0.saturating_sub(trailing)));
    }
}
