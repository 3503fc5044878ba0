//! Tests that run the control daemon as a real process.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be built fails the test"
)]

mod fixtures;
mod holder;
mod test_cluster;
mod test_confirmations;
mod test_graceful_stop;
mod test_refusals;
mod test_spread;
mod test_thin_path;
