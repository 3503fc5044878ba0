//! Tests of several control daemons as real processes, connected by proxies that can cut links.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be built fails the test"
)]

mod fixtures;
mod test_replication;
