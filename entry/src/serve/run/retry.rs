//! Decides whether a failed attempt is retried.

use std::time::Duration;

use cicadabend::{
    admission::{
        RetryDecision,
        RetryReason,
        RetrySituation, //
    },
    prelude::*,
};
use http::StatusCode;
use tokio::time::Instant;

use super::{
    super::{
        events::LogEvent,
        exchange::Failure,
        server::Server, //
    },
    RequestExecution,
};

impl RequestExecution {
    /// Returns the facts by which the retry budget decides on a retry.
    pub(super) fn retry_situation(&self) -> RetrySituation {
        RetrySituation {
            reason: self.retry_reason(),
            attempts: self.attempts,
            is_repeatable: self.spec.traits.is_repeatable,
            deadline: Some(self.deadline()),
        }
    }

    /// Returns the reason for a retry of the attempt that failed last.
    pub(super) fn retry_reason(&self) -> RetryReason {
        match &self.failure {
            None | Some(Failure::NothingWritten(_) | Failure::ClaimLapsed) => {
                RetryReason::ConnectFailed
            }
            Some(Failure::NotStarted { status }) if *status == StatusCode::CONFLICT => {
                RetryReason::StaleToken
            }
            Some(Failure::NotStarted { .. }) => RetryReason::RefusedByUpstream,
            Some(Failure::Broken(_) | Failure::GroupChanged) => RetryReason::BrokenBeforeAnswer,
            Some(Failure::DeadlinePassed { .. }) => RetryReason::TimedOutBeforeAnswer,
            Some(Failure::FailedByUpstream { .. } | Failure::Invalid(_)) => {
                RetryReason::FailedByUpstream
            }
        }
    }

    fn deadline(&self) -> Timestamp {
        let left = self.spec.options.deadline;
        self.server.clock.now() + left.saturating_duration_since(Instant::now())
    }
}

/// Returns whether a retry is allowed; if so, withdraws it from the retry budget.
///
/// Sets `delay` to the backoff before an allowed retry.
pub(super) fn may_retry(server: &Server, situation: RetrySituation, delay: &mut Duration) -> bool {
    let now = server.clock.now();
    let random = server.random();
    let mut budget = server.retry_budget.borrow_mut();
    match budget.decide(situation, &server.backoff, now, random) {
        RetryDecision::After(after) => {
            *delay = after;
            true
        }
        RetryDecision::GiveUp(reason) => {
            let reason = reason.name();
            LogEvent::debug(|| LogEvent::NotRetried { reason });
            false
        }
    }
}
