//! Reads that show everything committed before they were asked for.

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

/// The reads that wait.
#[derive(Debug, Default)]
pub(super) struct Reads {
    /// Those that came after the current round was begun.
    waiting: Vec<ReadId>,
    /// Those that the current round is for.
    in_round: Option<ReadRound>,
}

#[derive(Debug)]
struct ReadRound {
    round: u64,
    /// What was committed when the round was begun.
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

    /// Returns whether no other node can have committed anything since this one last looked.
    fn lease_covers_reads(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let holds = leadership
            .lease_begun()
            .is_some_and(|begun| self.now < begun + self.settings.lease());
        let knows_all = self.commit >= leadership.term_start && self.applied == self.commit;
        self.settings.read_mode == ReadMode::Lease && holds && knows_all
    }

    /// Begins a round for the waiting reads; one round at a time serves many reads.
    pub(super) fn begin_read_round(&mut self) {
        let commit = self.commit;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        // Before its first entry is committed, a leader does not know what is.
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

    /// Answers the reads whose round a majority has answered and whose entries are applied.
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

    /// Ends all reads because this node leads no more; called before the role changes.
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
