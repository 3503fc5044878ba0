//! Circuit breakers: decide whether a daemon may send requests to an upstream, by the signals in
//! the upstream's own answers to this daemon.
//!
//! - [`Breakers`]: holds a breaker for each upstream instance that requested backoff or announced
//!   that it leaves.
//! - [`Admission`]: the decision whether a request may be sent to an upstream now.
//!
//! The states are defined in `lib/charts/breaker.json`.

mod instance_breaker;
mod table;

pub use instance_breaker::Admission;
pub use table::{
    BackoffRequest,
    Breakers,
    TrialTicket, //
};
