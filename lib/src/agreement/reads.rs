//! Linearizable reads, which show everything committed before they were requested.

use super::{
    event::Action,
    node::{
        Node,
        Role, //
    },
    settings::ReadMode,
    types::{
        LogIndex,
        ReadId, //
    },
};

/// The reads that wait for confirmation by a majority.
#[derive(Debug, Default)]
pub(super) struct Reads {
    /// The reads that were requested after the current read round began.
    waiting: Vec<ReadId>,
    /// The current read round with its reads.
    in_round: Option<ReadRound>,
}

#[derive(Debug)]
struct ReadRound {
    round: u64,
    /// The commit index at the start of the round.
    commit: LogIndex,
    reads: Vec<ReadId>,
}

impl Node {
    pub(super) fn read(&mut self, id: ReadId) {
        if self.lease_covers_reads() {
            self.actions.push(Action::ReadReady { id });
            return;
        }
        let Role::Leader(leadership) = &mut self.role else {
            let reason = self.unavailable();
            self.actions.push(Action::ReadFailed { id, reason });
            return;
        };
        leadership.reads.waiting.push(id);
        self.begin_read_round();
    }

    /// Returns whether reads can be served from the lease: it is valid, so that no other node can
    /// have committed entries, and this node has applied all committed entries.
    fn lease_covers_reads(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let holds = leadership
            .lease_start()
            .is_some_and(|starts| self.now < starts + self.settings.lease());
        let has_applied_all_committed =
            self.commit >= leadership.term_start && self.applied == self.commit;
        self.settings.read_mode == ReadMode::Lease && holds && has_applied_all_committed
    }

    /// Begins a heartbeat round for all waiting reads, unless a read round is in progress.
    pub(super) fn begin_read_round(&mut self) {
        let commit = self.commit;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        // Before the first entry of its term is committed, a leader does not know the commit index.
        let knows_commit = commit >= leadership.term_start;
        let reads = &mut leadership.reads;
        if !knows_commit || reads.in_round.is_some() || reads.waiting.is_empty() {
            return;
        }
        reads.in_round = Some(ReadRound {
            round: leadership.round + 1,
            commit,
            reads: std::mem::take(&mut reads.waiting),
        });
        self.begin_round();
    }

    /// Answers the reads of the current round once a majority has answered it and the entries
    /// committed at its start are applied.
    pub(super) fn finish_reads(&mut self) {
        let applied = self.applied;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let confirmed = leadership.confirmed_round;
        let done = leadership
            .reads
            .in_round
            .take_if(|read| read.round <= confirmed && read.commit <= applied);
        let Some(done) = done else {
            return;
        };
        let ready = done.reads.into_iter().map(|id| Action::ReadReady { id });
        self.actions.extend(ready);
        self.begin_read_round();
    }

    /// Fails all waiting reads because this node ceases to lead; called before the role changes.
    pub(super) fn fail_reads(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Reads { waiting, in_round } = std::mem::take(&mut leadership.reads);
        let in_round = in_round.map(|read| read.reads).unwrap_or_default();
        let reason = super::event::Unavailable::NoQuorum;
        for id in in_round.into_iter().chain(waiting) {
            let reason = reason.clone();
            self.actions.push(Action::ReadFailed { id, reason });
        }
    }
}
