//! One service's retry budget at one entry daemon.

use super::{
    BudgetSettings,
    EqualPart,
    OwnPart,
    RoutedRetryReason, //
};
use crate::time::Timestamp;

/// The part of the budget that pays for a retry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetrySource {
    /// The daemon's own requests.
    Own,
    /// The daemon's equal part of the slack.
    Equal,
    /// A grant of the leader, which is valid until then.
    Granted(Timestamp),
}

/// What a budget holds, as it is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetUsage {
    /// Callers' requests in the window.
    pub requests: u32,
    /// Retries in the window that the daemon's own requests pay for.
    pub retries: u32,
    /// Further retries that they pay for now.
    pub left: u32,
    /// Number of daemons that share the slack; `None` until a leader has told it.
    pub daemons: Option<u32>,
}

/// The retry budget of one service at one entry daemon, without the leader's grants.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    own: OwnPart,
    equal: EqualPart,
}

impl RetryBudget {
    /// Returns a budget with nothing counted.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            own: OwnPart::new(settings),
            equal: EqualPart::new(settings),
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.own.record_request(now);
    }

    /// Sets the number of daemons that share the slack, as a leader has told it.
    pub fn set_daemons(&mut self, daemons: u32, now: Timestamp) {
        self.equal.set_daemons(daemons, now);
    }

    /// Withdraws a retry; returns the part that pays for it, or `None` if only a grant could.
    pub fn withdraw(&mut self, reason: RoutedRetryReason, now: Timestamp) -> Option<RetrySource> {
        if self.own.withdraw(reason, now) {
            return Some(RetrySource::Own);
        }
        // The equal part is too small to be shared with requests that are answered anyway.
        let may_use_equal = reason != RoutedRetryReason::Late;
        let is_withdrawn = may_use_equal && self.equal.withdraw(now);
        is_withdrawn.then_some(RetrySource::Equal)
    }

    /// Ends a withdrawn retry; `is_used` says whether it may have arrived at an upstream.
    pub fn settle(
        &mut self,
        source: RetrySource,
        reason: RoutedRetryReason,
        is_used: bool,
        now: Timestamp,
    ) {
        match source {
            RetrySource::Own => self.own.settle(reason, is_used, now),
            RetrySource::Equal if !is_used => self.equal.put_back(),
            RetrySource::Equal | RetrySource::Granted(_) => {}
        }
    }

    /// Returns how many retries of broken requests the daemon's own requests still pay for.
    pub fn retries_left(&mut self, now: Timestamp) -> u32 {
        self.own.retries_left(now)
    }

    /// Returns what the budget holds now.
    pub fn usage(&mut self, now: Timestamp) -> BudgetUsage {
        let (requests, retries) = self.own.counts(now);
        BudgetUsage {
            requests,
            retries,
            left: self.own.retries_left(now),
            daemons: self.equal.daemons(),
        }
    }
}
