//! A node as metrics and operators see it.

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

/// The name of a node's role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleName {
    /// It follows a leader or waits for one.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

/// A node as metrics and operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The node.
    pub voter: Voter,
    /// What it is.
    pub role: RoleName,
    /// The highest term it has seen.
    pub term: Term,
    /// The leader it knows; itself if it leads.
    pub leader: Option<Voter>,
    /// Until when it leads unless a majority answers again; `None` if it does not lead.
    pub leads_until: Option<Timestamp>,
    /// The last entry of its log.
    pub last: LogIndex,
    /// What it knows to be committed.
    pub commit: LogIndex,
    /// What its state machine shows.
    pub applied: LogIndex,
    /// Who votes.
    pub voters: VoterSet,
}

impl Node {
    /// Returns the node as metrics and operators see it.
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
