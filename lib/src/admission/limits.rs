//! One team's limits at this daemon: a token bucket for the rate, and a count of running requests.

use std::time::Duration;

use crate::{
    peer_api::TeamShare,
    time::Timestamp, //
};

/// Bucket units that one request takes.
///
/// With this unit, a rate in requests per 1,000 s is the same number in units per ms.
const UNITS_PER_REQUEST: u64 = 1_000_000;
/// Time over which a team may save up unused rate for a burst.
const MAX_BURST_MS: u64 = 1_000;
/// Longest time after which a refused request is asked to retry, unless the bucket needs longer.
const MAX_RETRY_AFTER_MS: u64 = 5_000;

/// One team's limits at this daemon, with its use of them.
#[derive(Clone, Debug)]
pub(super) struct TeamLimits {
    /// Weight in fair queueing, at least 1.
    pub weight: u32,
    share: TeamShare,
    bucket_units: u64,
    filled_at: Timestamp,
    last_retry_at: Timestamp,
    /// Number of the team's requests that run now.
    pub running: u32,
    offered_requests: u64,
    demand_since: Timestamp,
    peak_concurrency: u32,
}

impl TeamLimits {
    pub fn new(weight: u32, share: TeamShare, now: Timestamp) -> Self {
        let mut limits = Self {
            weight: weight.max(1),
            share,
            bucket_units: 0,
            filled_at: now,
            last_retry_at: now,
            running: 0,
            offered_requests: 0,
            demand_since: now,
            peak_concurrency: 0,
        };
        limits.bucket_units = limits.capacity_units();
        limits
    }

    /// Replaces the weight and the share; the saved-up rate is cut to the new bucket capacity.
    pub fn set_share(&mut self, weight: u32, share: TeamShare, now: Timestamp) {
        self.refill(now);
        self.weight = weight.max(1);
        self.share = share;
        self.bucket_units = self.bucket_units.min(self.capacity_units());
    }

    /// Takes one request out of the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry, or `None` if the rate is zero.
    pub fn take_request(&mut self, now: Timestamp) -> Result<(), Option<Duration>> {
        self.offered_requests = self.offered_requests.saturating_add(1);
        self.refill(now);
        if self.bucket_units >= UNITS_PER_REQUEST {
            self.bucket_units -= UNITS_PER_REQUEST;
            return Ok(());
        }
        let missing_units = UNITS_PER_REQUEST - self.bucket_units;
        let units_per_ms = self.share.requests_per_1000_s;
        if units_per_ms == 0 {
            return Err(None);
        }
        Err(Some(self.next_retry_after(
            missing_units.div_ceil(units_per_ms),
            now,
        )))
    }

    /// Returns the time after which a refused request should be retried.
    ///
    /// Each refused request gets a later time than the one refused before, up to
    /// [`MAX_RETRY_AFTER_MS`]. With one common time, all refused requests would return
    /// together, and all but one would be refused again.
    fn next_retry_after(&mut self, first_free_ms: u64, now: Timestamp) -> Duration {
        let first_free = now + Duration::from_millis(first_free_ms);
        let per_request_ms = UNITS_PER_REQUEST.div_ceil(self.share.requests_per_1000_s);
        let after_last = self.last_retry_at + Duration::from_millis(per_request_ms);
        let latest = now + Duration::from_millis(MAX_RETRY_AFTER_MS);
        self.last_retry_at = first_free.max(after_last).min(latest.max(first_free));
        self.last_retry_at.since(now)
    }

    /// Puts one request back into the bucket, for a request that was refused for another reason.
    pub fn refund(&mut self) {
        self.bucket_units = self
            .bucket_units
            .saturating_add(UNITS_PER_REQUEST)
            .min(self.capacity_units());
    }

    /// Returns whether one more request may run under the team's concurrency limit.
    pub fn has_room(&self) -> bool {
        self.running < self.share.concurrent_requests
    }

    /// Returns how many of the team's requests may run at once.
    pub fn concurrent_limit(&self) -> u32 {
        self.share.concurrent_requests
    }

    /// Records the peak of the team's waiting and running requests together.
    pub fn record_concurrency(&mut self, waiting: usize) {
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let concurrency = self.running.saturating_add(waiting);
        self.peak_concurrency = self.peak_concurrency.max(concurrency);
    }

    /// Returns the team's demand since the last call, and resets the measurement.
    ///
    /// Demand is the rate of all offered requests, refused ones too, and the peak number of
    /// requests that waited or ran at once.
    pub fn take_demand(&mut self, now: Timestamp) -> TeamShare {
        let length_ms = now.since(self.demand_since).as_millis().max(1) as u64;
        let demand = TeamShare {
            requests_per_1000_s: self.offered_requests.saturating_mul(UNITS_PER_REQUEST)
                / length_ms,
            concurrent_requests: self.peak_concurrency,
        };
        self.offered_requests = 0;
        self.demand_since = now;
        self.peak_concurrency = self.running;
        demand
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = now.since(self.filled_at).as_millis() as u64;
        let added_units = elapsed_ms.saturating_mul(self.share.requests_per_1000_s);
        self.bucket_units = self
            .bucket_units
            .saturating_add(added_units)
            .min(self.capacity_units());
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the most units that the bucket holds.
    ///
    /// A rate below one request per second still saves up one whole request; otherwise no
    /// request would ever fit.
    fn capacity_units(&self) -> u64 {
        match self.share.requests_per_1000_s {
            0 => 0,
            rate => rate.saturating_mul(MAX_BURST_MS).max(UNITS_PER_REQUEST),
        }
    }
}
