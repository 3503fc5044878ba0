//! Timing and limits of the agreement.

use std::time::Duration;

use crate::units::Percent;

/// Timing and limits of the agreement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The shortest time without a leader's message before an election; within it
    /// no vote is granted.
    pub election_timeout_ms: u64,
    /// How often the leader sends.
    pub heartbeat_ms: u64,
    /// By how many hundredths two clocks' rates may differ.
    pub clock_rate_error_percent: Percent,
    /// How a read makes sure that no other leader has committed something newer.
    pub read_mode: ReadMode,
    /// The most bytes of commands in one message.
    pub append_limit_bytes: usize,
    /// How many unanswered appends one node may have.
    pub appends_in_flight: usize,
    /// How many entries stay in memory behind a snapshot, for nodes slightly behind.
    pub trailing_entries: u64,
    /// A learner may be promoted if it lacks at most this many entries.
    pub promotion_lag_entries: u64,
}

/// How a read makes sure that no other leader has committed something newer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadMode {
    /// A majority answers a round begun after the read; right whatever clocks do.
    Quorum,
    /// The leader's lease, if it holds, else as [`Self::Quorum`].
    ///
    /// Right only if clocks go on while the machine is suspended.
    Lease,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_timeout_ms: 1_000,
            heartbeat_ms: 150,
            clock_rate_error_percent: Percent(5),
            read_mode: ReadMode::Quorum,
            append_limit_bytes: 512 * 1024,
            appends_in_flight: 8,
            trailing_entries: 256,
            promotion_lag_entries: 64,
        }
    }
}

impl Settings {
    /// Returns how long a leader's lease lasts from when the round was sent.
    ///
    /// A follower that answers grants no vote for `election_timeout_ms` of its own
    /// clock. The leader's clock may be slower by the rate error and the follower's
    /// faster by it, so twice the error is taken off.
    pub fn lease(&self) -> Duration {
        let error = u64::from(self.clock_rate_error_percent.0);
        let percent = 100_u64.saturating_sub(2 * error);
        Duration::from_millis(self.election_timeout_ms * percent / 100)
    }

    pub(super) fn election_timeout(&self) -> Duration {
        Duration::from_millis(self.election_timeout_ms)
    }

    pub(super) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }
}
