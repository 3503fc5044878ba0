//! Several control daemons as real processes, behind proxies that cut them off.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be built fails the test"
)]

mod fixtures;
mod test_replication;
