//! The part of the thread `agreement` that founds the first set of voters, records new disks
//! and promotes learners.

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
    handle::Leadership,
    thread::{
        AgreementThread,
        Failed, //
    },
};

impl AgreementThread {
    /// Handles a message about founding the first set of voters; ignored once there are voters.
    pub(super) fn handle_founding_message(&mut self, message: &Message) -> Result<(), Failed> {
        if !self.node.has_no_voters() {
            return Ok(());
        }
        if let Some(reply) = self.founding.receive(message) {
            self.send(&reply);
        }
        self.found_if_all_are_new()
    }

    /// Creates the first set of voters if every invited daemon has answered that it has no state.
    pub(super) fn found_if_all_are_new(&mut self) -> Result<(), Failed> {
        let Some(voters) = self.founding.complete_voter_set() else {
            return Ok(());
        };
        LogEvent::Founded {
            voters: voters.voters.len(),
        }
        .emit();
        self.pass_to_node(Event::Found { voters })
    }

    /// Records and logs that a control daemon has announced an empty disk.
    pub(super) fn record_new_disk(&mut self, message: &Message) {
        let Voter { daemon, disk } = message.from.clone();
        let mut leadership = Leadership::clone(&self.shared.leadership.load());
        if leadership.new_disks.insert(daemon.clone(), disk) != Some(disk) {
            LogEvent::NewDisk { daemon, disk }.emit();
            self.shared.leadership.store(Arc::new(leadership));
        }
    }

    /// As leader, proposes to make each learner a voter.
    ///
    /// The node refuses a learner that has not caught up, so this is tried again later.
    pub(super) fn promote_learners(&mut self) -> Result<(), Failed> {
        let status = self.node.status();
        if status.role != RoleName::Leader {
            return Ok(());
        }
        // Every learner is tried: one that never catches up must not block the others.
        for learner in status.voters.learners {
            let id = self.pending.unawaited_proposal();
            let change = VoterChange::Promote(learner);
            self.pass_to_node(Event::ChangeVoters { id, change })?;
        }
        Ok(())
    }
}
