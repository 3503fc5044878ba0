//! Points in time that may lie before the daemon's start.

use std::time::Duration;

use crate::prelude::*;

/// Milliseconds on this daemon's clock; negative before its start.
///
/// A [`Timestamp`] begins with the process. What others tell a daemon that has just started lies
/// before that, and would all seem to have happened at one moment.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SignedTimestamp(i64);

impl SignedTimestamp {
    /// Returns the moment that lies so many milliseconds back.
    pub(crate) fn from_age(now: Timestamp, age_ms: u32) -> Self {
        Self(Self::from(now).0 - i64::from(age_ms))
    }

    /// Returns how long `earlier` lies back, zero if it does not.
    pub(crate) fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(u64::try_from(self.0 - earlier.0).unwrap_or_default())
    }

    /// Returns whether `later` lies more than a margin behind this.
    pub(crate) fn precedes_by_more_than(self, later: Self, margin: Duration) -> bool {
        later.since(self) > margin
    }

    /// Returns how many milliseconds ago it was.
    pub(crate) fn age_ms(self, now: Timestamp) -> u32 {
        let age = Self::from(now).since(self);
        u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns the time so much later, the daemon's start if that is earlier.
    pub(crate) fn timestamp_after(self, length: Duration) -> Timestamp {
        let length_ms = i64::try_from(length.as_millis()).unwrap_or(i64::MAX);
        let at_ms = self.0.saturating_add(length_ms);
        Timestamp(u64::try_from(at_ms).unwrap_or_default())
    }
}

impl From<Timestamp> for SignedTimestamp {
    fn from(at: Timestamp) -> Self {
        Self(i64::try_from(at.0).unwrap_or(i64::MAX))
    }
}
