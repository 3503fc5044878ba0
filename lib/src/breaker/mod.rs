//! Circuit breakers: whether one daemon may send requests to an upstream, by what the upstream's
//! own answers to this daemon said.
//!
//! - [`Breakers`]: one for each run of an upstream that asked for backoff or said that it leaves.
//! - [`Admission`]: the answer to "may a request be sent there now?".
//!
//! The states stand in `lib/charts/breaker.json`.

mod one;
mod table;

pub use one::Admission;
pub use table::{
    Asked,
    Breakers,
    TrialTicket, //
};
