//! The replicated log among control daemons: a Raft-family state machine.
//!
//! A [`Node`] handles an [`Event`] at a [`Timestamp`] and returns the [`Action`]s that its
//! driver must perform. It opens no socket and no file, and its randomness comes from a
//! seed. The contract between node and driver:
//!
//! - The driver writes and syncs each [`Action::Persist`] in order, and only then passes
//!   [`Event::Synced`]. The node defers all messages that must not be sent before.
//! - The driver performs actions in the order given.
//! - A proposal that was appended ends with [`Action::Apply`] or
//!   [`Action::ProposalFailed`], but not before a majority is available. A driver that
//!   stops waiting must report the outcome as unknown.
//! - A node's [`Voter`](crate::fleet::Voter) includes the number of its disk. A node that
//!   has lost its disk is therefore a new node, and neither its votes nor its
//!   acknowledgements count as those of the old one.
//!
//! The design and its trade-offs are described in `docs/design/agreement.md`.
//!
//! [`Timestamp`]: crate::time::Timestamp

mod durability;
mod durable;
mod election;
mod event;
mod follower;
mod founding;
mod leader;
mod log;
mod membership;
mod message;
mod node;
mod progress;
mod proposals;
mod reads;
mod refusals;
mod settings;
mod status;
mod types;

pub use durable::{
    DurableRecord,
    Recovered, //
};
pub use event::{
    Action,
    ChangeRefusal,
    Event,
    Persist,
    PersistTicket,
    ProposalFailure,
    Unavailable,
    VoterChange, //
};
pub use founding::Founding;
pub use message::{
    AppendOutcome,
    Message,
    MessageBody,
    Position,
    decode_message,
    encode_message, //
};
pub use node::Node;
pub use refusals::{
    Refusal,
    RefusalCounts, //
};
pub use settings::{
    ReadMode,
    Settings, //
};
pub use status::{
    RoleName,
    Status, //
};
pub use types::{
    Entry,
    EntryBody,
    HardState,
    LogIndex,
    ProposalId,
    ReadId,
    Snapshot,
    Term,
    VoterSet, //
};
