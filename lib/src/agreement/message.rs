//! What nodes tell each other; each message may be lost, doubled, late or out of order.

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
    /// The receiver; another disk under the same daemon's name drops it.
    pub to: Voter,
    /// The sender's term, or in a pre-vote the term it would campaign in.
    pub term: Term,
    /// The content.
    pub body: MessageBody,
}

/// The content of a [`Message`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks whether a vote would be granted; changes nothing.
    PreVote {
        /// The candidate's last entry.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The candidate's last entry.
        last: Position,
        /// Whether the leader asked the candidate to take over.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Leader to all: entries, or none as a heartbeat.
    Append {
        /// The number of the leader's round in this term.
        round: u64,
        /// The entry before the first one sent.
        previous: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// What the leader knows to be committed.
        commit: LogIndex,
    },
    /// Leader to a node that lacks entries which the leader no longer has.
    InstallSnapshot {
        /// The number of the leader's round in this term.
        round: u64,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Answers both.
    AppendReply {
        /// The round answered.
        round: u64,
        /// What became of it.
        outcome: AppendOutcome,
    },
    /// Leader to the node that shall take over: campaign at once.
    TimeoutNow,
    /// Founder to a node without state: are you new?
    Invite {
        /// Drawn by this run of the founder; answers to earlier runs do not count.
        nonce: u64,
    },
    /// A node without state to all: operators may let this disk take part.
    Joining,
    /// A node without state answers an invitation.
    Fresh {
        /// The invitation's nonce.
        nonce: u64,
    },
}

/// An entry's place and term; equal positions mean equal logs up to there.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The term; compared first, as elections do.
    pub term: Term,
    /// The place.
    pub index: LogIndex,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendOutcome {
    /// The receiver has synced everything up to here as the leader has it.
    Matched(LogIndex),
    /// The receiver does not have the previous entry; try from here.
    Rejected(LogIndex),
}

/// Encodes a message for the wire.
///
/// # Errors
///
/// Returns postcard's error; none is known for these types.
pub fn encode_message(message: &Message) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Decodes a message from the wire.
///
/// # Errors
///
/// Returns postcard's error if the bytes are no message.
pub fn decode_message(bytes: &[u8]) -> Result<Message, postcard::Error> {
    postcard::from_bytes(bytes)
}
