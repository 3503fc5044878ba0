//! The replicated log among control daemons: a Raft-family state machine.
//!
//! A [`Node`] is told what happens ([`Event`]) and when ([`Timestamp`]), and answers
//! with what is to be done ([`Action`]). It opens no socket and no file; randomness
//! is a seed. Rules that its driver relies on and keeps:
//!
//! - [`Action::Persist`] is written and synced in order; [`Event::Synced`] is told
//!   only afterwards. The node keeps back whatever must not be sent before.
//! - Actions are carried out in the order given.
//! - A proposal that was appended ends with [`Action::Apply`] or
//!   [`Action::ProposalFailed`], but that may take as long as there is no majority;
//!   a driver that stops waiting must call the outcome unknown.
//! - A node's [`Voter`](crate::fleet::Voter) names its disk, so a node that has lost
//!   its disk is another one, and neither its votes nor its acknowledgements count
//!   as those of the old one.
//!
//! The design and what was given up stand in `docs/design/agreement.md`.
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
