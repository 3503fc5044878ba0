//! One test program for the command, so that its fixtures are built once.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;
mod test_explain;
mod test_plans;
mod test_real_processes;
mod test_verify_data;
mod test_viewing;
