//! The monotonic time that callers pass to the decision types of this crate.

use std::{
    fmt,
    ops::Add,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Milliseconds on the process's own monotonic clock, from about its start; never sent to another
/// process, whose clock differs.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time from `earlier` to `self`, zero if `earlier` is the later one.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that is `length` before this one, not earlier than zero.
    pub fn before(self, length: Duration) -> Timestamp {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(length_ms))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, length: Duration) -> Timestamp {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(length_ms))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
