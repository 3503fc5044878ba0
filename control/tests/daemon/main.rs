//! Tests of the control daemon as a real process.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be built fails the test"
)]

mod fixtures;
mod test_thin_path;
