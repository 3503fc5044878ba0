//! The events that a node handles, and the actions that its driver performs.

use super::{
    message::Message,
    types::{
        Entry,
        HardState,
        LogIndex,
        ProposalId,
        ReadId,
        Snapshot,
        VoterSet, //
    },
};
use crate::fleet::Voter;

/// An event that the driver passes to a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time has passed; the driver sends several ticks in each heartbeat interval.
    Tick,
    /// A message has arrived.
    Message(Message),
    /// A client proposes a command.
    Propose {
        /// The proposal's number in the actions that answer it.
        id: ProposalId,
        /// The encoded command.
        command: Vec<u8>,
    },
    /// A client proposes a change of the set of voters by one node.
    ChangeVoters {
        /// The proposal's number in the actions that answer it.
        id: ProposalId,
        /// The proposed change.
        change: VoterChange,
    },
    /// All persists up to a ticket are synced.
    Synced {
        /// The ticket of the last synced persist.
        through: PersistTicket,
    },
    /// A client requests a read that shows everything committed before.
    Read {
        /// The read's number in the actions that answer it.
        id: ReadId,
    },
    /// The driver provides a snapshot of the state machine, which replaces the entries it
    /// includes.
    Compact {
        /// The last applied entry that the snapshot includes.
        through: LogIndex,
        /// The encoded state.
        data: Vec<u8>,
    },
    /// This process is about to stop and transfers its leadership to another voter.
    Transfer,
    /// A new cluster is founded on this node, which has no state.
    Found {
        /// The first set of voters.
        voters: VoterSet,
    },
}

/// A change of the set of voters by one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoterChange {
    /// Adds a node that receives the log but does not vote.
    AddLearner(Voter),
    /// Makes a learner that has caught up a voter.
    Promote(Voter),
    /// Removes a voter or learner.
    Remove(Voter),
}

/// The sequence number of a persist; tickets grow in the order of the requests.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PersistTicket(pub u64);

/// An action for the driver, which performs actions in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message; the message may be lost.
    Send(Message),
    /// Write and sync, then pass [`Event::Synced`].
    Persist(Persist),
    /// Apply a committed entry to the state machine.
    Apply {
        /// The committed entry.
        entry: Entry,
        /// The proposal of this process that succeeds with this entry, if any.
        proposal: Option<ProposalId>,
    },
    /// Replace the state machine's state by a snapshot.
    Restore(Snapshot),
    /// A proposal of this process has ended without being applied here.
    ProposalFailed {
        /// The proposal's number.
        id: ProposalId,
        /// The reason, which tells whether the proposal can still take effect.
        reason: ProposalFailure,
    },
    /// The state machine now shows everything that was committed before the read was requested.
    ReadReady {
        /// The read's number.
        id: ReadId,
    },
    /// The read cannot be served on this node.
    ReadFailed {
        /// The read's number.
        id: ReadId,
        /// The reason, which may name the leader.
        reason: Unavailable,
    },
}

/// State that must be on disk before any message that depends on it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Persist {
    /// The sequence number of this persist.
    pub ticket: PersistTicket,
    /// A snapshot that atomically replaces everything stored before; `None` if unchanged.
    pub snapshot: Option<Snapshot>,
    /// The current hard state.
    pub hard_state: HardState,
    /// The entries to store; they replace stored entries from the first one's index on.
    pub entries: Vec<Entry>,
}

/// The reason why this node cannot accept proposals and reads at present.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Unavailable {
    /// Another node leads.
    NotLeader {
        /// The node that leads, as far as this node knows.
        leader: Voter,
    },
    /// No leader with a majority is known.
    NoQuorum,
}

/// The reason why a proposal ended without being applied on this node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalFailure {
    /// The proposal was not appended and has no effect, now or later.
    NotAppended(Unavailable),
    /// Another entry was committed at its index; the proposal has no effect, now or later.
    Superseded,
    /// The proposal may have been committed: a snapshot replaced the entry at its index.
    Unknown,
    /// The proposed change of voters is not allowed at present.
    ChangeRefused(ChangeRefusal),
}

/// The reason why a change of voters is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeRefusal {
    /// An earlier change of voters, or the first entry of the leader's term, is not committed yet.
    NotSettled,
    /// The node is already a voter or learner.
    AlreadyMember,
    /// The node to promote is not a learner, or the node to remove is not a member.
    NotMember,
    /// The learner lacks more than `promotion_lag_entries` entries.
    NotCaughtUp,
    /// The node to remove is the only voter.
    LastVoter,
}
