//! A retry budget over a sliding window that daemons share without messages for each request.
//!
//! Each daemon allows retries in proportion to its own requests, plus its equal part of a number
//! that is free for all daemons together. The sum over all daemons then stays within the bound,
//! however the requests are distributed among them.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::time::Timestamp;

/// Number of buckets into which the window is divided.
const BUCKETS: u64 = 10;
/// Share of the bound that daemons use. The rest allows for arrivals being counted elsewhere, at
/// slightly different times.
const USED_SHARE: f64 = 0.8;

/// Why a request is retried.
///
/// Without a retry, a late request is still answered, a request that was not executed can be sent
/// again by its caller, and a broken one is lost. Each of these reasons therefore leaves a share of
/// the budget to the next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutedRetryReason {
    /// The answer takes unusually long.
    Late,
    /// The upstream stated that it did not execute the request.
    NotRun,
    /// The answer broke off or failed.
    Broken,
}

impl RoutedRetryReason {
    /// Returns the share of the budget that all retries together may use for a retry for this
    /// reason.
    fn max_share(self) -> f64 {
        match self {
            RoutedRetryReason::Late => 0.5,
            RoutedRetryReason::NotRun => 0.9,
            RoutedRetryReason::Broken => 1.0,
        }
    }
}

/// Share of the budget that retries of late requests may use.
const LATE_SHARE: f64 = 0.25;

/// The bound on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window in addition, for all daemons together.
    pub slack: u32,
    /// Length of the sliding window.
    pub window: Duration,
}

/// The counts of one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the slice on the daemon's clock.
    number: u64,
    requests: u32,
    retries: u32,
    /// Retries of late requests, which are included in `retries`.
    late: u32,
}

/// What a window holds, as it is logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Callers' requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub retries: u32,
    /// Retries that this daemon may have in the window.
    pub allowed: f64,
}

/// The retry budget of one service at one daemon.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    settings: BudgetSettings,
    buckets: VecDeque<Bucket>,
}

impl WindowBudget {
    /// Returns a budget with nothing counted.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Timestamp) {
        if let Some(bucket) = self.current_bucket(now) {
            bucket.requests += 1;
        }
    }

    /// Counts a retry if the budget allows one, and returns whether it does; `daemons` is the
    /// number of daemons that share the slack.
    pub fn withdraw(&mut self, reason: RoutedRetryReason, daemons: u32, now: Timestamp) -> bool {
        let allowed = self.allowed(daemons, now);
        let is_late = reason == RoutedRetryReason::Late;
        let late: u32 = self.buckets.iter().map(|bucket| bucket.late).sum();
        let too_many = f64::from(self.retries() + 1) > allowed * reason.max_share();
        if too_many || (is_late && f64::from(late + 1) > allowed * LATE_SHARE) {
            return false;
        }
        if let Some(bucket) = self.current_bucket(now) {
            bucket.retries += 1;
            bucket.late += u32::from(is_late);
        }
        true
    }

    /// Returns how many retries of broken requests the budget still allows.
    pub fn retries_left(&mut self, daemons: u32, now: Timestamp) -> u32 {
        let allowed = self.allowed(daemons, now) as u32;
        allowed.saturating_sub(self.retries())
    }

    /// Returns what the window holds now.
    pub fn usage(&mut self, daemons: u32, now: Timestamp) -> BudgetUsage {
        let allowed = self.allowed(daemons, now);
        BudgetUsage {
            requests: self.requests(),
            retries: self.retries(),
            allowed,
        }
    }

    /// Returns how many retries this daemon may have in the window.
    fn allowed(&mut self, daemons: u32, now: Timestamp) -> f64 {
        let share = f64::from(self.settings.slack) / f64::from(daemons.max(1));
        self.current_bucket(now);
        (f64::from(self.requests()) * self.settings.ratio + share) * USED_SHARE
    }

    fn requests(&self) -> u32 {
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }

    fn retries(&self) -> u32 {
        self.buckets.iter().map(|bucket| bucket.retries).sum()
    }

    /// Drops buckets that have left the window; returns the bucket of `now`.
    fn current_bucket(&mut self, now: Timestamp) -> Option<&mut Bucket> {
        let window_ms = u64::try_from(self.settings.window.as_millis()).unwrap_or(u64::MAX);
        let number = now.0 / (window_ms / BUCKETS).max(1);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number + BUCKETS <= number)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number != number)
        {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        self.buckets.back_mut()
    }
}
