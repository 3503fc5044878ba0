//! What a node is told, and what it asks its driver to do.

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

/// What a node is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time has passed; several in each heartbeat interval are enough.
    Tick,
    /// A message has come.
    Message(Message),
    /// A command shall be appended.
    Propose {
        /// Names the proposal in the actions that answer it.
        id: ProposalId,
        /// The command.
        command: Vec<u8>,
    },
    /// The set of voters shall change by one.
    ChangeVoters {
        /// Names the proposal in the actions that answer it.
        id: ProposalId,
        /// The change.
        change: VoterChange,
    },
    /// All persists up to this ticket are synced.
    Synced {
        /// The ticket.
        through: PersistTicket,
    },
    /// A read wants to know when the state machine shows all that was committed before.
    Read {
        /// Names the read in the actions that answer it.
        id: ReadId,
    },
    /// The state machine's state up to an applied entry, in place of these entries.
    Compact {
        /// The last entry it includes.
        through: LogIndex,
        /// The state.
        data: Vec<u8>,
    },
    /// Leadership shall go to another voter, because this process stops.
    Transfer,
    /// The first set of voters, on a node without state.
    Found {
        /// The voters.
        voters: VoterSet,
    },
}

/// A change of the set of voters by one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoterChange {
    /// Sends the log to a node that does not vote yet.
    AddLearner(Voter),
    /// Lets a learner that has caught up vote.
    Promote(Voter),
    /// Takes a voter or learner out.
    Remove(Voter),
}

/// Numbers persists in the order in which they are asked for.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PersistTicket(pub u64);

/// What the driver is to do, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message; losing it does no harm.
    Send(Message),
    /// Write and sync, then tell [`Event::Synced`].
    Persist(Persist),
    /// Apply a committed entry to the state machine.
    Apply {
        /// The entry.
        entry: Entry,
        /// The proposal of this process that it answers.
        proposal: Option<ProposalId>,
    },
    /// Replace the state machine's state.
    Restore(Snapshot),
    /// A proposal of this process has ended without being applied here.
    ProposalFailed {
        /// The proposal.
        id: ProposalId,
        /// Why.
        reason: ProposalFailure,
    },
    /// The state machine now shows all that was committed before the read was asked for.
    ReadReady {
        /// The read.
        id: ReadId,
    },
    /// The read cannot be served here.
    ReadFailed {
        /// The read.
        id: ReadId,
        /// Why.
        reason: Unavailable,
    },
}

/// What must be on the disk before anything that depends on it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Persist {
    /// Its number.
    pub ticket: PersistTicket,
    /// If given, all that was stored before is replaced, at once or not at all.
    pub snapshot: Option<Snapshot>,
    /// The hard state.
    pub hard_state: HardState,
    /// Entries; stored entries from the first one's place on are replaced.
    pub entries: Vec<Entry>,
}

/// Why this node cannot take proposals and reads now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Unavailable {
    /// Another node leads.
    NotLeader {
        /// Which one.
        leader: Voter,
    },
    /// No node is known to lead with a majority behind it.
    NoQuorum,
}

/// Why a proposal ended without being applied here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposalFailure {
    /// It was never appended; nothing has changed or will.
    NotAppended(Unavailable),
    /// Another entry was committed in its place; nothing has changed or will.
    Superseded,
    /// It may have been committed: a snapshot took the place of the entries around it.
    Unknown,
    /// The change of voters is not allowed now.
    ChangeRefused(ChangeRefusal),
}

/// Why a change of voters is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeRefusal {
    /// An earlier change, or the leader's first entry, is not committed yet.
    NotSettled,
    /// The node is a member already.
    AlreadyMember,
    /// The node is not a learner, or not a member.
    NotMember,
    /// The learner lacks too many entries.
    NotCaughtUp,
    /// It is the only voter.
    LastVoter,
}
