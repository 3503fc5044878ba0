//! The requests whose outcome is not known yet.

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

/// Who waits for which proposal or read, and answers that go out once the state is published.
#[derive(Default)]
pub(super) struct Waiting {
    last_number: u64,
    proposals: HashMap<ProposalId, oneshot::Sender<CommandOutcome>>,
    reads: HashMap<ReadId, oneshot::Sender<ReadOutcome>>,
    hand_overs: Vec<oneshot::Sender<()>>,
    answers: Vec<(oneshot::Sender<CommandOutcome>, CommandOutcome)>,
    ready_reads: Vec<oneshot::Sender<ReadOutcome>>,
}

impl Waiting {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn add_proposal(&mut self, answer: oneshot::Sender<CommandOutcome>) -> ProposalId {
        let id = self.unawaited_proposal();
        self.proposals.insert(id, answer);
        id
    }

    /// Numbers a proposal that nobody waits for.
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

    pub(super) fn decide(&mut self, id: ProposalId, outcome: CommandOutcome) {
        if let Some(answer) = self.proposals.remove(&id) {
            self.answers.push((answer, outcome));
        }
    }

    pub(super) fn read_is_ready(&mut self, id: ReadId) {
        self.ready_reads.extend(self.reads.remove(&id));
    }

    pub(super) fn fail_read(&mut self, id: ReadId, outcome: ReadOutcome) {
        if let Some(answer) = self.reads.remove(&id) {
            // The operator may have gone.
            let _ = answer.send(outcome);
        }
    }

    /// Sends the answers that depend on the state which has just been published.
    pub(super) fn send_answers(&mut self, state: impl Fn() -> ReadOutcome) {
        for (answer, outcome) in self.answers.drain(..) {
            // The operator may have gone; the command stands all the same.
            let _ = answer.send(outcome);
        }
        for answer in self.ready_reads.drain(..) {
            let _ = answer.send(state());
        }
    }

    /// Tells those who wait for another leader that there is one.
    pub(super) fn handed_over(&mut self) {
        for done in self.hand_overs.drain(..) {
            let _ = done.send(());
        }
    }
}
