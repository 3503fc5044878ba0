//! Permits for upstreams that name the rate of requests that they accept.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod test_bound;
mod test_rate_updates;
mod test_shares;
mod test_terms;
mod world;
