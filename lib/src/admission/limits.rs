//! One team's limits at this daemon: a token bucket and a count.

use std::time::Duration;

use crate::{
    peer_api::TeamShare,
    time::Timestamp, //
};

/// One request, in the bucket's unit of a millionth of a request.
const REQUEST: u64 = 1_000_000;
/// For how long a team may save up its rate.
const BURST_MS: u64 = 1_000;
/// The longest time that a refused request is told to stay away.
const LONGEST_RETRY_AFTER_MS: u64 = 5_000;

/// What one team may do at this daemon, and what it does.
#[derive(Clone, Debug)]
pub(super) struct TeamLimits {
    pub weight: u32,
    share: TeamShare,
    bucket: u64,
    filled_at: Timestamp,
    promised_until: Timestamp,
    pub running: u32,
    offered: u64,
    offered_since: Timestamp,
    most_wanted_at_once: u32,
}

impl TeamLimits {
    pub fn new(weight: u32, share: TeamShare, now: Timestamp) -> Self {
        let mut limits = Self {
            weight: weight.max(1),
            share,
            bucket: 0,
            filled_at: now,
            promised_until: now,
            running: 0,
            offered: 0,
            offered_since: now,
            most_wanted_at_once: 0,
        };
        limits.bucket = limits.burst();
        limits
    }

    /// Replaces the share; what was saved up is kept as far as the new one allows.
    pub fn set_share(&mut self, weight: u32, share: TeamShare, now: Timestamp) {
        self.fill(now);
        self.weight = weight.max(1);
        self.share = share;
        self.bucket = self.bucket.min(self.burst());
    }

    /// Takes one request out of the bucket, or tells when there will be one.
    pub fn take(&mut self, now: Timestamp) -> Result<(), Option<Duration>> {
        self.offered = self.offered.saturating_add(1);
        self.fill(now);
        if self.bucket >= REQUEST {
            self.bucket -= REQUEST;
            return Ok(());
        }
        let missing = REQUEST - self.bucket;
        let per_ms = self.share.requests_per_1000_s;
        if per_ms == 0 {
            return Err(None);
        }
        Err(Some(self.promise(missing.div_ceil(per_ms), now)))
    }

    /// Returns when a refused request should come back, each one behind those told before.
    ///
    /// Telling all of them the same time would bring them back together, and all but
    /// one would be refused again.
    fn promise(&mut self, first_free_ms: u64, now: Timestamp) -> Duration {
        let first_free = now + Duration::from_millis(first_free_ms);
        let per_request_ms = REQUEST.div_ceil(self.share.requests_per_1000_s);
        let next = self.promised_until + Duration::from_millis(per_request_ms);
        let latest = now + Duration::from_millis(LONGEST_RETRY_AFTER_MS);
        self.promised_until = first_free.max(next).min(latest.max(first_free));
        self.promised_until.since(now)
    }

    /// Puts back what a request took that was refused for another reason.
    pub fn give_back(&mut self) {
        self.bucket = self.bucket.saturating_add(REQUEST).min(self.burst());
    }

    /// Returns whether one more request may run.
    pub fn has_room(&self) -> bool {
        self.running < self.share.concurrent_requests
    }

    /// Returns how many requests may run at once.
    pub fn concurrent_limit(&self) -> u32 {
        self.share.concurrent_requests
    }

    /// Notes how many requests the team has waiting and running.
    pub fn note_wanted(&mut self, waiting: usize) {
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let wanted = self.running.saturating_add(waiting);
        self.most_wanted_at_once = self.most_wanted_at_once.max(wanted);
    }

    /// Returns what the team wanted since the last call, and starts anew.
    pub fn take_demand(&mut self, now: Timestamp) -> TeamShare {
        let length_ms = now.since(self.offered_since).as_millis().max(1) as u64;
        let demand = TeamShare {
            requests_per_1000_s: self.offered.saturating_mul(REQUEST) / length_ms,
            concurrent_requests: self.most_wanted_at_once,
        };
        self.offered = 0;
        self.offered_since = now;
        self.most_wanted_at_once = self.running;
        demand
    }

    fn fill(&mut self, now: Timestamp) {
        let elapsed_ms = now.since(self.filled_at).as_millis() as u64;
        let added = elapsed_ms.saturating_mul(self.share.requests_per_1000_s);
        self.bucket = self.bucket.saturating_add(added).min(self.burst());
        self.filled_at = self.filled_at.max(now);
    }

    /// A share below one request a second may still save up one whole request.
    fn burst(&self) -> u64 {
        match self.share.requests_per_1000_s {
            0 => 0,
            rate => rate.saturating_mul(BURST_MS).max(REQUEST),
        }
    }
}
