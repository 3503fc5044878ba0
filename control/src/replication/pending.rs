//! The proposals, reads and hand-overs that have not been answered yet.

use std::collections::HashMap;

use cicadabend::agreement::{
    ProposalId,
    ReadId, //
};
use tokio::sync::oneshot;

use super::handle::{
    CommandOutcome,
    ReadOutcome, //
};

/// The requests without an answer, and the answers that may be sent once the state is published.
#[derive(Default)]
pub(super) struct PendingRequests {
    last_number: u64,
    proposals: HashMap<ProposalId, oneshot::Sender<CommandOutcome>>,
    reads: HashMap<ReadId, oneshot::Sender<ReadOutcome>>,
    hand_overs: Vec<oneshot::Sender<()>>,
    /// Outcomes of proposals that wait until the state is published.
    answers: Vec<(oneshot::Sender<CommandOutcome>, CommandOutcome)>,
    /// Confirmed reads that wait until the state is published.
    ready_reads: Vec<oneshot::Sender<ReadOutcome>>,
}

impl PendingRequests {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn add_proposal(&mut self, answer: oneshot::Sender<CommandOutcome>) -> ProposalId {
        let id = self.unawaited_proposal();
        self.proposals.insert(id, answer);
        id
    }

    /// Returns a new number for a proposal whose outcome nobody waits for.
    pub(super) fn unawaited_proposal(&mut self) -> ProposalId {
        ProposalId(self.next_number())
    }

    pub(super) fn add_read(&mut self, answer: oneshot::Sender<ReadOutcome>) -> ReadId {
        let id = ReadId(self.next_number());
        self.reads.insert(id, answer);
        id
    }

    pub(super) fn add_hand_over(&mut self, done: oneshot::Sender<()>) {
        self.hand_overs.push(done);
    }

    /// Stores the outcome of a proposal; [`Self::send_answers`] sends it.
    pub(super) fn complete_proposal(&mut self, id: ProposalId, outcome: CommandOutcome) {
        if let Some(answer) = self.proposals.remove(&id) {
            self.answers.push((answer, outcome));
        }
    }

    /// Marks a read as confirmed; [`Self::send_answers`] answers it.
    pub(super) fn mark_read_ready(&mut self, id: ReadId) {
        self.ready_reads.extend(self.reads.remove(&id));
    }

    pub(super) fn fail_read(&mut self, id: ReadId, outcome: ReadOutcome) {
        if let Some(answer) = self.reads.remove(&id) {
            // The caller may no longer be waiting.
            let _ = answer.send(outcome);
        }
    }

    /// Sends the answers that depend on the state which has just been published.
    pub(super) fn send_answers(&mut self, state: impl Fn() -> ReadOutcome) {
        for (answer, outcome) in self.answers.drain(..) {
            // The caller may no longer be waiting; the command stays applied all the same.
            let _ = answer.send(outcome);
        }
        for answer in self.ready_reads.drain(..) {
            let _ = answer.send(state());
        }
    }

    /// Answers all hand-overs, once this daemon does not lead any more.
    pub(super) fn complete_hand_overs(&mut self) {
        for done in self.hand_overs.drain(..) {
            let _ = done.send(());
        }
    }
}
