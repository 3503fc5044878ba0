//! A node's status, for metrics and operators.

use super::{
    node::{
        Node,
        Role, //
    },
    types::{
        LogIndex,
        Term,
        VoterSet, //
    },
};
use crate::{
    fleet::Voter,
    time::Timestamp, //
};

/// The role of a node in its current term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleName {
    /// The node follows a leader or waits for one.
    Follower,
    /// The node asks the voters whether they would elect it.
    PreCandidate,
    /// The node requests votes in a new term.
    Candidate,
    /// The node leads, possibly without answers of a majority for up to an election timeout.
    Leader,
}

/// A node's status, for metrics and operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The node's daemon and disk number.
    pub voter: Voter,
    /// The node's current role.
    pub role: RoleName,
    /// The highest term that the node has seen.
    pub term: Term,
    /// The leader that the node knows; the node itself if it leads.
    pub leader: Option<Voter>,
    /// The time until which the leader accepts proposals unless a majority answers again; `None` if
    /// the node does not lead.
    pub leads_until: Option<Timestamp>,
    /// The index of the last entry of the node's log.
    pub last: LogIndex,
    /// The last entry that the node knows to be committed.
    pub commit: LogIndex,
    /// The last entry that the state machine has applied.
    pub applied: LogIndex,
    /// The newest set of voters in the node's log.
    pub voters: VoterSet,
}

impl Node {
    /// Returns the node's current status.
    pub fn status(&self) -> Status {
        Status {
            voter: self.me.clone(),
            role: self.role_name(),
            term: self.term,
            leader: self.leader().cloned(),
            leads_until: self.leads_until(),
            last: self.log.last().index,
            commit: self.commit,
            applied: self.applied,
            voters: self.log.voters().clone(),
        }
    }

    fn role_name(&self) -> RoleName {
        match self.role {
            Role::Follower { .. } => RoleName::Follower,
            Role::PreCandidate { .. } => RoleName::PreCandidate,
            Role::Candidate { .. } => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }
}
