//! Recovery of groups that lost a member.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a fixture that cannot be built fails its test"
)]

mod script;
mod test_properties;
mod test_repairs;
mod test_stragglers;
mod test_weights;
