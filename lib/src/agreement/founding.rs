//! Making the first set of voters, exactly once.
//!
//! Nothing but an empty disk tells a new fleet from one that has lost its disks. The
//! control daemon whose name sorts first invites all others that the settings name,
//! and founds the set only if every one of them answers that it is new as well. A
//! single daemon with state is enough to stop a second founding.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    message::{
        Message,
        MessageBody, //
    },
    types::{
        Term,
        VoterSet, //
    },
};
use crate::{
    fleet::Voter,
    prelude::*, //
};

/// The disk number in invitations, before the invited disk's number is known.
pub const ANY_DISK: u64 = 0;

/// The part of a new node in making the first set of voters.
#[derive(Debug)]
pub struct Founding {
    me: Voter,
    /// All control daemons but this one.
    others: BTreeSet<DaemonId>,
    /// Drawn for this run, so that answers to an earlier run do not count.
    nonce: u64,
    new_nodes: BTreeMap<DaemonId, Voter>,
    /// Whether this node may take part in a founding.
    is_allowed: bool,
}

impl Founding {
    /// Starts for a node without state that must wait to be taken in by others.
    ///
    /// A disk that was lost is as empty as one of a new fleet. Where the settings say
    /// which of the two it is, a node that is not of a new fleet neither invites nor
    /// tells a founder that it is new.
    pub fn not_allowed(me: Voter) -> Self {
        Self {
            is_allowed: false,
            ..Self::new(me, [], 0)
        }
    }

    /// Starts for a node without state; `control_daemons` are all that the settings name.
    pub fn new(me: Voter, control_daemons: impl IntoIterator<Item = DaemonId>, nonce: u64) -> Self {
        let mut others: BTreeSet<DaemonId> = control_daemons.into_iter().collect();
        others.remove(&me.daemon);
        Self {
            me,
            others,
            nonce,
            new_nodes: BTreeMap::new(),
            is_allowed: true,
        }
    }

    /// Returns whether this node is the one that invites.
    pub fn is_founder(&self) -> bool {
        self.is_allowed && self.others.iter().all(|other| self.me.daemon < *other)
    }

    /// Returns the invitations to send now; they are repeated until all have answered.
    pub fn invitations(&self) -> Vec<Message> {
        if !self.is_founder() {
            return Vec::new();
        }
        let open = self.others.iter();
        let open = open.filter(|daemon| !self.new_nodes.contains_key(*daemon));
        let invite = MessageBody::Invite { nonce: self.nonce };
        open.map(|daemon| self.message(daemon, invite.clone()))
            .collect()
    }

    /// Returns what tells all other control daemons that this disk is new.
    pub fn joining(&self) -> Vec<Message> {
        let others = self.others.iter();
        others
            .map(|daemon| self.message(daemon, MessageBody::Joining))
            .collect()
    }

    fn message(&self, daemon: &DaemonId, body: MessageBody) -> Message {
        Message {
            from: self.me.clone(),
            to: Voter {
                daemon: daemon.clone(),
                disk: ANY_DISK,
            },
            term: Term(0),
            body,
        }
    }

    /// Answers an invitation, or takes note of an answer; only while the node is new.
    pub fn receive(&mut self, message: &Message) -> Option<Message> {
        if !self.is_allowed {
            return None;
        }
        match message.body {
            MessageBody::Invite { nonce } => Some(Message {
                from: self.me.clone(),
                to: message.from.clone(),
                term: Term(0),
                body: MessageBody::Fresh { nonce },
            }),
            MessageBody::Fresh { nonce } => {
                if nonce == self.nonce && self.others.contains(&message.from.daemon) {
                    let daemon = message.from.daemon.clone();
                    self.new_nodes.insert(daemon, message.from.clone());
                }
                None
            }
            _ => None,
        }
    }

    /// Returns the first set of voters once all have answered.
    pub fn founded(&self) -> Option<VoterSet> {
        let all_new = self.new_nodes.len() == self.others.len();
        let others = self.new_nodes.values().cloned();
        (self.is_founder() && all_new).then(|| VoterSet::of(others.chain([self.me.clone()])))
    }
}
