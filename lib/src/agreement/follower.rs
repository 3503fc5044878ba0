//! The follower's duties: storing the leader's entries, acknowledging synced entries, and applying
//! committed ones.

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
    pub(super) fn handle_leader_message(&mut self, from: Voter, term: Term, body: MessageBody) {
        if term < self.term {
            self.refusals.add(Refusal::OldTerm);
            self.refuse_append(from, 0, LogIndex(0));
            return;
        }
        if term == self.term && matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.become_follower(term, Some(from.clone()));
        self.last_leader_contact = self.now;
        self.reset_election_timer();
        match body {
            MessageBody::Append {
                round,
                previous,
                entries,
                commit,
            } => {
                self.leader_round = self.leader_round.max(round);
                self.handle_append(from, previous, entries, commit);
            }
            MessageBody::InstallSnapshot { round, snapshot } => {
                self.leader_round = self.leader_round.max(round);
                self.handle_snapshot(from, snapshot);
            }
            _ => {}
        }
    }

    fn handle_append(
        &mut self,
        from: Voter,
        previous: Position,
        entries: Vec<Entry>,
        commit: LogIndex,
    ) {
        if !self.has_entry(previous) {
            self.refusals.add(Refusal::LogGap);
            let hint = self.rejection_hint(previous);
            self.refuse_append(from, self.leader_round, hint);
            return;
        }
        let through = LogIndex(previous.index.0 + entries.len() as u64);
        for entry in entries {
            self.store_entry(entry);
        }
        self.matched = self.matched.max(through);
        self.raise_commit(commit.min(self.matched));
        self.acknowledge(from);
    }

    /// Returns whether the log has the entry at this position; a compacted entry was committed, so
    /// it equals the leader's.
    fn has_entry(&self, position: Position) -> bool {
        position.index < self.log.first_index().previous()
            || self.log.term_at(position.index) == Some(position.term)
    }

    /// Returns the index from which the leader should continue after a rejected append.
    fn rejection_hint(&self, previous: Position) -> LogIndex {
        let last = self.log.last().index;
        if previous.index > last {
            return last.next();
        }
        // Skips a whole term at once, since the leader's log may differ in all of its entries.
        let first = self.log.first_of_term_at(previous.index);
        first.max(self.commit.next())
    }

    fn store_entry(&mut self, entry: Entry) {
        let compacted = entry.index < self.log.first_index();
        if compacted || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last().index {
            self.log.truncate_from(entry.index);
            let last_retained = entry.index.previous();
            let through = &mut self.durability.entries_through;
            *through = (*through).min(last_retained);
        }
        self.mark_unsaved_from(entry.index);
        self.log.push(entry);
    }

    pub(super) fn mark_unsaved_from(&mut self, index: LogIndex) {
        let from = self.unsaved.entries_from.get_or_insert(index);
        *from = (*from).min(index);
    }

    pub(super) fn raise_commit(&mut self, commit: LogIndex) {
        if commit > self.commit {
            self.commit = commit;
            self.unsaved.hard_state = true;
        }
    }

    fn handle_snapshot(&mut self, from: Voter, snapshot: Snapshot) {
        let position = Position {
            term: snapshot.term,
            index: snapshot.index,
        };
        self.matched = self.matched.max(snapshot.index);
        if snapshot.index > self.commit {
            if self.has_entry(position) {
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

    /// Acknowledges to the leader the last of its entries that is synced here.
    fn acknowledge(&mut self, leader: Voter) {
        let through = self.matched.min(self.durability.entries_through);
        self.acknowledged = through;
        let reply = MessageBody::AppendReply {
            round: self.leader_round,
            outcome: AppendOutcome::Matched(through),
        };
        // The reply promises not to follow leaders of older terms. The promise must survive a
        // restart, so the term must be on disk first.
        if self.durability.hard_state.term == self.term {
            self.send(leader, self.term, reply);
        } else {
            self.send_when_synced(leader, self.term, reply);
        }
    }

    /// Acknowledges entries that a sync has made durable since the last acknowledgement.
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

    /// Applies the committed entries for which this disk has both the entry and the commit index,
    /// so that a restart does not show an older state.
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

    /// Restores the state machine from a synced snapshot, if it is newer than the applied state.
    pub(super) fn restore_state_machine(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.applied {
            return;
        }
        self.applied = snapshot.index;
        for id in self.proposals.remove_through(snapshot.index) {
            let reason = ProposalFailure::Unknown;
            self.actions.push(Action::ProposalFailed { id, reason });
        }
        self.actions.push(Action::Restore(snapshot));
    }

    /// Brings the state machine to the state that was stored before the restart.
    pub(super) fn recover_state_machine(&mut self) {
        if self.snapshot.index > LogIndex(0) {
            self.restore_state_machine(self.snapshot.clone());
        }
        self.apply_committed();
    }

    /// Replaces applied entries by a snapshot of the state machine; ignored if the entries are not
    /// applied or already included in the last snapshot.
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
