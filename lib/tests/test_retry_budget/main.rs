//! The retry budget that all entry daemons share.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod test_bound;
mod test_grants;
mod test_parts;
mod world;
