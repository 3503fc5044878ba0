//! Tests of the replicated log among simulated nodes: named scenarios and random schedules.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should end its test"
)]

mod cluster;
mod random;
mod situations;
