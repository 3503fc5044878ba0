//! What entry daemons know of upstreams while control daemons are apart from each other.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod test_cuts;
mod world;
