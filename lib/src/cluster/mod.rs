//! Cluster membership, discovered from a few seed addresses.
//!
//! Every daemon sends a `Hello` to the seeds and to each control daemon that a peer has named to
//! it. A control daemon answers with the control daemons from which it receives messages, so one
//! live seed is enough to find all. The member list is in memory only and decides nothing but
//! which daemons to contact. The leader changes the set of voters through the replicated log
//! ([`next_voters`]).

mod members;
mod voters;

pub use members::{
    Members,
    MembersSettings, //
};
pub use voters::{
    VoterView,
    next_voters, //
};
