//! Permits to send to upstreams that name the rate of requests which they take.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod test_bound;
mod test_rate_updates;
mod test_shares;
mod world;
