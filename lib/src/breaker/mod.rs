//! Circuit breakers: whether one daemon may send requests to an upstream, by what the upstream's
//! own answers to this daemon said.
//!
//! - [`Breakers`]: one for each run of an upstream that asked for backoff or said that it leaves.
//! - [`Admission`]: the answer to "may a request be sent there now?".
//!
//! The states stand in `lib/charts/breaker.json`.

mod instance_breaker;
mod table;

pub use instance_breaker::Admission;
pub use table::{
    BackoffRequest,
    Breakers,
    TrialTicket, //
};
