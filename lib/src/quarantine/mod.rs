//! Requests that end the upstreams which run them.
//!
//! A [`Fingerprint`] knows a request again that comes under another id or at another daemon.

mod fingerprint;

pub use fingerprint::Fingerprint;
