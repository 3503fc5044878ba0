//! Timing and limits of the replicated log.

use std::time::Duration;

use crate::units::Percent;

/// Timing and limits of the replicated log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The shortest time in milliseconds without a leader's message after which a node starts
    /// an election; within it the node grants no vote.
    pub election_timeout_ms: u64,
    /// The interval in milliseconds between the leader's heartbeats.
    pub heartbeat_ms: u64,
    /// The largest deviation of a node's clock rate from real time, in percent.
    pub clock_rate_error_percent: Percent,
    /// The way in which a leader confirms, before a read, that no other leader has committed
    /// newer entries.
    pub read_mode: ReadMode,
    /// The most bytes of entries in one append message; a single larger entry is still sent.
    pub append_limit_bytes: usize,
    /// The most unanswered append messages with entries to one node.
    pub appends_in_flight: usize,
    /// The number of entries that stay in memory after a snapshot includes them, so that nodes
    /// slightly behind need no snapshot.
    pub trailing_entries: u64,
    /// The most entries that a learner may lack when it is promoted to voter.
    pub promotion_lag_entries: u64,
}

/// The way in which a leader confirms, before a read, that no other leader has committed newer
/// entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadMode {
    /// Waits until a majority has answered a heartbeat round that began after the read; correct
    /// independently of clocks.
    Quorum,
    /// Relies on the leader's lease if it is valid, and otherwise works as [`Self::Quorum`].
    ///
    /// Correct only if clocks continue to run while the machine is suspended.
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
    /// Returns the length of a leader's lease, counted from the time at which its heartbeat round
    /// was sent.
    ///
    /// A follower that answers the round grants no vote for `election_timeout_ms` of its own
    /// clock. The leader's clock may be slower by the rate error and the follower's clock
    /// faster by it, so the lease is shorter by twice the error.
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
