//! Timestamps that may lie before the start of this process.

use std::time::Duration;

use crate::prelude::*;

/// Milliseconds on this process's monotonic clock; negative before its start.
///
/// A [`Timestamp`] cannot be negative. Events that peers report to a daemon shortly after its start
/// happened before that start; clamped to zero, they would all seem to have happened at once.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SignedTimestamp(i64);

impl SignedTimestamp {
    /// Returns the point in time `age_ms` milliseconds before `now`.
    pub(crate) fn from_age(now: Timestamp, age_ms: u32) -> Self {
        Self(Self::from(now).0 - i64::from(age_ms))
    }

    /// Returns the time from `earlier` to `self`, zero if `earlier` is the later one.
    pub(crate) fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(u64::try_from(self.0 - earlier.0).unwrap_or_default())
    }

    /// Returns whether `self` lies before `later` by more than `margin`.
    pub(crate) fn precedes_by_more_than(self, later: Self, margin: Duration) -> bool {
        later.since(self) > margin
    }

    /// Returns the age in milliseconds: the time from `self` to `now`, at most `u32::MAX`.
    pub(crate) fn age_ms(self, now: Timestamp) -> u32 {
        let age = Self::from(now).since(self);
        u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns the point in time `length` after `self`.
    pub(crate) fn after(self, length: Duration) -> Self {
        let length_ms = i64::try_from(length.as_millis()).unwrap_or(i64::MAX);
        Self(self.0.saturating_add(length_ms))
    }

    /// Returns the time `length` after `self`, but at least the start of this process.
    pub(crate) fn timestamp_after(self, length: Duration) -> Timestamp {
        Timestamp(u64::try_from(self.after(length).0).unwrap_or_default())
    }
}

impl From<Timestamp> for SignedTimestamp {
    fn from(at: Timestamp) -> Self {
        Self(i64::try_from(at.0).unwrap_or(i64::MAX))
    }
}
