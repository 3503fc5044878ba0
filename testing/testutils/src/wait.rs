//! Waiting on a condition with a deadline, never on time alone.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// How often a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the first value the condition gives.
///
/// # Panics
///
/// Panics with `what` if the condition gives none before the deadline.
pub fn eventually<T>(what: &str, limit: Duration, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "not within {} s: {what}",
            limit.as_secs_f32()
        );
        thread::sleep(POLL_INTERVAL);
    }
}
