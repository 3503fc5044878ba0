//! Failure domains of coordinators and simulated engines under random schedules of faults.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be set up ends its test"
)]

mod engine;
mod invariants;
mod network;
mod schedule;
mod test_schedules;
mod world;
