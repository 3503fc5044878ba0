//! The thread `agreement`: what handles ask of it.

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

/// A daemon that has just started does not know yet whether anyone leads.
pub(super) struct Starting {
    /// When it is certain that there was time for an election.
    pub until: Timestamp,
    /// What came meanwhile; "no majority" would be an untrue answer to it.
    pub requests: Vec<Request>,
}

impl AgreementThread {
    /// Takes the requests that came before this daemon knew a leader.
    pub(super) fn end_start(&mut self) -> Result<(), Failed> {
        let now = self.clock.now();
        let has_leader = self.node.status().leader.is_some();
        let ended = self
            .starting
            .take_if(|starting| has_leader || now >= starting.until);
        for request in ended.into_iter().flat_map(|starting| starting.requests) {
            self.take_request(request)?;
        }
        Ok(())
    }

    pub(super) fn take_request(&mut self, request: Request) -> Result<(), Failed> {
        if let Some(starting) = &mut self.starting {
            starting.requests.push(request);
            return Ok(());
        }
        match request {
            Request::Propose { answer, .. } if self.disk_is_full => {
                let reason = "the disk is full; nothing was changed".to_owned();
                let _ = answer.send(Err(ReplicationError::Storage(reason)));
                Ok(())
            }
            Request::Propose { command, answer } => {
                let id = self.waiting.add_proposal(answer);
                self.propose(id, command)
            }
            Request::Read { answer } => {
                let id = self.waiting.add_read(answer);
                self.tell(Event::Read { id })
            }
            Request::HandOver { done } => {
                let has_others = self.node.status().voters.voters.len() > 1;
                if has_others {
                    self.waiting.add_hand_over(done);
                }
                self.tell(Event::Transfer)
            }
        }
    }

    fn propose(&mut self, id: ProposalId, command: FleetCommand) -> Result<(), Failed> {
        if let FleetCommand::ChangeVoters { voters } = &command {
            return match voter_change(&self.node.status(), voters) {
                Some(change) => self.tell(Event::ChangeVoters { id, change }),
                None => {
                    self.waiting.decide(id, Ok(FleetAnswer::VotersRefused));
                    Ok(())
                }
            };
        }
        match postcard::to_stdvec(&command) {
            Ok(command) => self.tell(Event::Propose { id, command }),
            Err(error) => {
                let outcome = Err(ReplicationError::Storage(error.to_string()));
                self.waiting.decide(id, outcome);
                Ok(())
            }
        }
    }
}

/// Returns the change by one voter that leads to a set, if there is one.
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
