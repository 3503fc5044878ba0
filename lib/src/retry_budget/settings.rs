//! The bound on retries, and how it is divided.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Share of the slack that is used.
///
/// The rest allows for requests that a slow daemon reads late, and so counts in a later window than
/// that in which their callers sent them.
const USED_SHARE: f64 = 0.9;
/// Share of the used slack that is divided equally, for daemons that reach no leader.
const EQUAL_SHARE: f64 = 0.2;
/// Longest time that a retry is under way from its daemon to its upstream.
pub(super) const ARRIVAL_DELAY: Duration = Duration::from_millis(1_000);

/// Why a request is retried.
///
/// Without a retry, a late request is still answered, a request that was not executed can be sent
/// again by its caller, and a broken one is lost. Each of these reasons therefore leaves a share of
/// the budget to the next.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RoutedRetryReason {
    /// The answer takes unusually long.
    Late,
    /// The upstream stated that it did not execute the request.
    NotRun,
    /// The answer broke off or failed.
    Broken,
}

impl RoutedRetryReason {
    /// Returns the share of a budget that all retries together may use for a retry for this reason.
    pub(super) fn max_share(self) -> f64 {
        match self {
            RoutedRetryReason::Late => 0.5,
            RoutedRetryReason::NotRun => 0.9,
            RoutedRetryReason::Broken => 1.0,
        }
    }

    /// Returns the share of a budget that retries for this reason alone may use.
    pub(super) fn max_own_share(self) -> f64 {
        match self {
            RoutedRetryReason::Late => 0.25,
            RoutedRetryReason::NotRun | RoutedRetryReason::Broken => 1.0,
        }
    }
}

/// The bound on the retries of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in the window in addition, for all daemons together.
    pub slack: u32,
    /// Length of the sliding window.
    pub window: Duration,
}

impl BudgetSettings {
    /// Returns the retries per window that are divided equally among all daemons.
    pub(super) fn equal_slack(self) -> f64 {
        f64::from(self.slack) * USED_SHARE * EQUAL_SHARE
    }
}

/// Returns the retries per window that the leader grants.
pub(super) fn granted_slack(slack: u32) -> u32 {
    (f64::from(slack) * USED_SHARE * (1.0 - EQUAL_SHARE)) as u32
}
