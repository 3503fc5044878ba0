//! The messages between nodes; each may be lost, duplicated, delayed or reordered.

use serde::{
    Deserialize,
    Serialize, //
};

use super::types::{
    Entry,
    LogIndex,
    Snapshot,
    Term, //
};
use crate::fleet::Voter;

/// A message between two nodes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Voter,
    /// The receiver; a node of the same daemon with another disk drops the message.
    pub to: Voter,
    /// The sender's term; in a pre-vote and its granted reply, the term of the possible
    /// candidacy.
    pub term: Term,
    /// The content.
    pub body: MessageBody,
}

/// The content of a [`Message`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks whether a vote would be granted; changes no state at the receiver.
    PreVote {
        /// The position of the candidate's last entry.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The position of the candidate's last entry.
        last: Position,
        /// Whether the candidate campaigns because the leader transfers its leadership.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// From the leader to all members: entries, or none as a heartbeat.
    Append {
        /// The number of the leader's heartbeat round in this term.
        round: u64,
        /// The position of the entry before the first one sent.
        previous: Position,
        /// The entries, in order and without gaps.
        entries: Vec<Entry>,
        /// The last entry that the leader knows to be committed.
        commit: LogIndex,
    },
    /// From the leader to a node that lacks entries which the leader has compacted.
    InstallSnapshot {
        /// The number of the leader's heartbeat round in this term.
        round: u64,
        /// The leader's latest snapshot.
        snapshot: Snapshot,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// The last round that the sender has received in this term; zero if it rejects a leader of
        /// an older term.
        round: u64,
        /// Whether the sender's log matches, and up to which index.
        outcome: AppendOutcome,
    },
    /// From the leader to the target of a leadership transfer: the receiver campaigns at once.
    TimeoutNow,
    /// From the founder of a new cluster to a configured node: asks whether it is new as well.
    Invite {
        /// A random number of the founder's process; answers to its earlier processes are ignored.
        nonce: u64,
    },
    /// From a node without state to all control daemons: announces a disk that operators may
    /// add to the cluster.
    Joining,
    /// From a node without state to the founder: confirms that it is new.
    Fresh {
        /// The nonce of the invitation that is answered.
        nonce: u64,
    },
}

/// An entry's term and index; logs that share a position are equal up to it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The entry's term; compared before the index, as elections require.
    pub term: Term,
    /// The entry's index.
    pub index: LogIndex,
}

/// The result of an append at its receiver.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The receiver has synced the leader's entries up to this index.
    Matched(LogIndex),
    /// The receiver does not have the previous entry; the leader should continue from this
    /// index.
    Rejected(LogIndex),
}

/// Encodes a message for the wire.
///
/// # Errors
///
/// Returns postcard's error; no message is known to cause one.
pub fn encode_message(message: &Message) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Decodes a message from the wire.
///
/// # Errors
///
/// Returns postcard's error if the bytes are not a message.
pub fn decode_message(bytes: &[u8]) -> Result<Message, postcard::Error> {
    postcard::from_bytes(bytes)
}
