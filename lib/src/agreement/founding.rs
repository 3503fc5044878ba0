//! The founding of a new cluster: the first set of voters is created exactly once.
//!
//! An empty disk looks the same in a new cluster and after a disk loss. Therefore the
//! control daemon whose name sorts first invites all others that the settings name, and
//! founds the cluster only if every one of them answers that it is new as well. A single
//! daemon with state prevents a second founding.

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

/// The receiver's disk number in messages to a daemon whose disk number is not known.
pub const ANY_DISK: u64 = 0;

/// A new node's state during the founding of a cluster, as founder or as invited node.
#[derive(Debug)]
pub struct Founding {
    me: Voter,
    /// All configured control daemons but this one.
    others: BTreeSet<DaemonId>,
    /// A random number of this process, so that answers to an earlier process are ignored.
    nonce: u64,
    new_nodes: BTreeMap<DaemonId, Voter>,
    /// Whether this node may take part in a founding.
    is_allowed: bool,
}

impl Founding {
    /// Returns the state of a node without state that must wait until a leader adds it.
    ///
    /// A replaced disk is as empty as a disk of a new cluster. If the settings say that the
    /// cluster is not new, the node neither invites others nor answers a founder that it is new.
    pub fn not_allowed(me: Voter) -> Self {
        Self {
            is_allowed: false,
            ..Self::new(me, [], 0)
        }
    }

    /// Returns the state of a new node; `control_daemons` are all that the settings name.
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

    /// Returns whether this node invites the others: its name sorts first.
    pub fn is_founder(&self) -> bool {
        self.is_allowed && self.others.iter().all(|other| self.me.daemon < *other)
    }

    /// Returns invitations to the daemons that have not answered; the driver sends them
    /// repeatedly.
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

    /// Returns announcements to all other control daemons that this disk is new.
    pub fn joining_announcements(&self) -> Vec<Message> {
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

    /// Handles a message: returns the answer to an invitation, or records an invited node's answer.
    ///
    /// The caller calls this only while the node has no state.
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

    /// Returns the first set of voters once all invited nodes have answered; `None` before that.
    pub fn complete_voter_set(&self) -> Option<VoterSet> {
        let all_new = self.new_nodes.len() == self.others.len();
        let others = self.new_nodes.values().cloned();
        (self.is_founder() && all_new).then(|| VoterSet::of(others.chain([self.me.clone()])))
    }
}
