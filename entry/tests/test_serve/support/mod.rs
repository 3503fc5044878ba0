//! A serving thread in this process, scripted upstreams, and callers on TCP sockets.

mod caller;
mod claims;
mod serving;
mod upstream;

pub use caller::{
    Answer,
    RawCaller, //
};
pub use claims::ClaimVoters;
pub use serving::{
    API_KEY,
    Fixture,
    MODEL, //
};
pub use upstream::{
    ReceivedRequest,
    ScriptedUpstream,
    Step, //
};
