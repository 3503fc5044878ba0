//! Who is there, found out from a few seeds.
//!
//! Every daemon says hello to the seeds and to each control daemon it has heard of. A
//! control daemon answers with the control daemons that it hears, so one living seed is
//! enough to find all. Nothing here is durable, and nothing is decided by it but whom
//! to talk to; who votes is decided by the leader in the agreed log ([`next_voters`]).

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
