//! The thread `agreement`: the first set of voters, new disks and learners.

use std::sync::Arc;

use cicadabend::{
    agreement::{
        Event,
        Message,
        RoleName,
        VoterChange, //
    },
    fleet::Voter,
};

use super::{
    events::LogEvent,
    handle::Standing,
    thread::{
        AgreementThread,
        Failed, //
    },
};

impl AgreementThread {
    /// Takes part in making the first set of voters, as long as this node has no state.
    pub(super) fn found(&mut self, message: &Message) -> Result<(), Failed> {
        if !self.node.has_no_voters() {
            return Ok(());
        }
        if let Some(reply) = self.founding.receive(message) {
            self.send(&reply);
        }
        self.found_if_all_are_new()
    }

    pub(super) fn found_if_all_are_new(&mut self) -> Result<(), Failed> {
        let Some(voters) = self.founding.complete_voter_set() else {
            return Ok(());
        };
        LogEvent::Founded {
            voters: voters.voters.len(),
        }
        .emit();
        self.tell(Event::Found { voters })
    }

    pub(super) fn note_new_disk(&mut self, message: &Message) {
        let Voter { daemon, disk } = message.from.clone();
        let mut standing = Standing::clone(&self.shared.standing.load());
        if standing.new_disks.insert(daemon.clone(), disk) != Some(disk) {
            LogEvent::NewDisk { daemon, disk }.emit();
            self.shared.standing.store(Arc::new(standing));
        }
    }

    /// A learner is there to become a voter; the node refuses until it has caught up.
    pub(super) fn promote_learner(&mut self) -> Result<(), Failed> {
        let status = self.node.status();
        if status.role != RoleName::Leader {
            return Ok(());
        }
        // All in turn: one that never catches up must not hold up the others.
        for learner in status.voters.learners {
            let id = self.waiting.unawaited_proposal();
            let change = VoterChange::Promote(learner);
            self.tell(Event::ChangeVoters { id, change })?;
        }
        Ok(())
    }
}
