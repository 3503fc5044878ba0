//! The part of the thread `agreement` that handles the requests of [`super::ReplicationHandle`]s.

use std::collections::BTreeSet;

use cicadabend::{
    agreement::{
        Event,
        ProposalId,
        Status,
        VoterChange, //
    },
    fleet::{
        FleetAnswer,
        FleetCommand,
        Voter, //
    },
    prelude::*,
};

use super::{
    error::ReplicationError,
    handle::Request,
    thread::{
        AgreementThread,
        Failed, //
    },
};

/// The time after a start in which this daemon does not know yet whether there is a leader.
pub(super) struct StartupPhase {
    /// The time by which an election must have had enough time to finish.
    pub until: Timestamp,
    /// The requests that arrived meanwhile. Refusing them with "no majority" could be wrong.
    pub requests: Vec<Request>,
}

impl AgreementThread {
    /// Ends the start-up phase if a leader is known or its time has passed, and handles the
    /// requests that arrived during the phase.
    pub(super) fn end_startup(&mut self) -> Result<(), Failed> {
        let now = self.clock.now();
        let has_leader = self.node.status().leader.is_some();
        let ended = self
            .startup
            .take_if(|startup| has_leader || now >= startup.until);
        for request in ended.into_iter().flat_map(|startup| startup.requests) {
            self.handle_request(request)?;
        }
        Ok(())
    }

    /// Handles a request, or defers it during the start-up phase.
    pub(super) fn handle_request(&mut self, request: Request) -> Result<(), Failed> {
        if let Some(startup) = &mut self.startup {
            startup.requests.push(request);
            return Ok(());
        }
        match request {
            Request::Propose { answer, .. } if self.disk_is_full => {
                let reason = "the disk is full; nothing was changed".to_owned();
                let _ = answer.send(Err(ReplicationError::Storage(reason)));
                Ok(())
            }
            Request::Propose { command, answer } => {
                let id = self.pending.add_proposal(answer);
                self.propose(id, command)
            }
            Request::Read { answer } => {
                let id = self.pending.add_read(answer);
                self.pass_to_node(Event::Read { id })
            }
            Request::HandOver { done } => {
                let has_others = self.node.status().voters.voters.len() > 1;
                if has_others {
                    self.pending.add_hand_over(done);
                }
                self.pass_to_node(Event::Transfer)
            }
        }
    }

    fn propose(&mut self, id: ProposalId, command: FleetCommand) -> Result<(), Failed> {
        if let FleetCommand::ChangeVoters { voters } = &command {
            return match voter_change(&self.node.status(), voters) {
                Some(change) => self.pass_to_node(Event::ChangeVoters { id, change }),
                None => {
                    self.pending
                        .complete_proposal(id, Ok(FleetAnswer::VotersRefused));
                    Ok(())
                }
            };
        }
        match postcard::to_stdvec(&command) {
            Ok(command) => self.pass_to_node(Event::Propose { id, command }),
            Err(error) => {
                let outcome = Err(ReplicationError::Storage(error.to_string()));
                self.pending.complete_proposal(id, outcome);
                Ok(())
            }
        }
    }
}

/// Returns the change that turns the current set of voters into the wanted one.
///
/// Returns `None` unless the two sets differ by exactly one voter.
fn voter_change(status: &Status, wanted: &BTreeSet<Voter>) -> Option<VoterChange> {
    let current = &status.voters.voters;
    let added: Vec<&Voter> = wanted.difference(current).collect();
    let removed: Vec<&Voter> = current.difference(wanted).collect();
    match (added.as_slice(), removed.as_slice()) {
        ([voter], []) => Some(VoterChange::AddLearner((*voter).clone())),
        ([], [voter]) => Some(VoterChange::Remove((*voter).clone())),
        _ => None,
    }
}
