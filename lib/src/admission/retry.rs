//! Decides whether and when a failed attempt is retried.
//!
//! The entry daemon is the only layer that retries.

use std::time::Duration;

use crate::{
    time::Timestamp,
    units::Percent, //
};

/// Failure for which an attempt is retried; a closed set, so that each has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// No connection could be made, so no byte of the request was sent.
    ConnectFailed,
    /// The upstream answered that the request did not start.
    RefusedByUpstream,
    /// The fencing token sent was outdated: the engine refused the request before starting it.
    StaleToken,
    /// The connection broke before any byte of the answer was passed on to the caller.
    BrokenBeforeAnswer,
    /// No first byte arrived before the request's deadline.
    TimedOutBeforeAnswer,
    /// The upstream answered with an error of its own, and no byte was passed on to the caller.
    FailedByUpstream,
}

impl RetryReason {
    /// All reasons; a counter is registered for each.
    pub const ALL: [RetryReason; 6] = [
        RetryReason::ConnectFailed,
        RetryReason::RefusedByUpstream,
        RetryReason::StaleToken,
        RetryReason::BrokenBeforeAnswer,
        RetryReason::TimedOutBeforeAnswer,
        RetryReason::FailedByUpstream,
    ];

    /// Returns the reason's label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::RefusedByUpstream => "refused_by_upstream",
            RetryReason::StaleToken => "stale_token",
            RetryReason::BrokenBeforeAnswer => "broken_before_answer",
            RetryReason::TimedOutBeforeAnswer => "timed_out_before_answer",
            RetryReason::FailedByUpstream => "failed_by_upstream",
        }
    }

    /// Returns whether this failure proves that the attempt did not run on the upstream.
    pub fn proves_not_run(self) -> bool {
        match self {
            RetryReason::ConnectFailed
            | RetryReason::RefusedByUpstream
            | RetryReason::StaleToken => true,
            RetryReason::BrokenBeforeAnswer
            | RetryReason::TimedOutBeforeAnswer
            | RetryReason::FailedByUpstream => false,
        }
    }
}

/// Cause for which a failed attempt is not retried; a closed set, so that each has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryRefusal {
    /// The attempt may have run, and the request is not idempotent.
    NotRepeatable,
    /// The retry budget is used up.
    BudgetSpent,
    /// The request has reached [`Backoff::most_attempts`].
    TooManyAttempts,
    /// The next attempt would start at the deadline or after it.
    DeadlineTooClose,
}

impl RetryRefusal {
    /// All refusals; a counter is registered for each.
    pub const ALL: [RetryRefusal; 4] = [
        RetryRefusal::NotRepeatable,
        RetryRefusal::BudgetSpent,
        RetryRefusal::TooManyAttempts,
        RetryRefusal::DeadlineTooClose,
    ];

    /// Returns the refusal's label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryRefusal::NotRepeatable => "not_repeatable",
            RetryRefusal::BudgetSpent => "budget_spent",
            RetryRefusal::TooManyAttempts => "too_many_attempts",
            RetryRefusal::DeadlineTooClose => "deadline_too_close",
        }
    }
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry after this delay.
    After(Duration),
    /// Give up now, for this cause.
    GiveUp(RetryRefusal),
}

/// A failed attempt, for which a retry is decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetrySituation {
    /// Cause of the failure.
    pub reason: RetryReason,
    /// Whether the request is idempotent, so that it may run more than once.
    pub is_repeatable: bool,
    /// Number of attempts made so far, at least one.
    pub attempts: u32,
    /// Deadline set by the caller.
    pub deadline: Option<Timestamp>,
}

/// Delays between attempts: exponential with full jitter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    /// Upper bound of the delay before the second attempt.
    pub first: Duration,
    /// Upper bound of the delay before any attempt.
    pub longest: Duration,
    /// Largest number of attempts for one request, the first included.
    pub most_attempts: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(10),
            longest: Duration::from_millis(500),
            most_attempts: 4,
        }
    }
}

impl Backoff {
    /// Returns the delay before the next attempt, after `attempts` attempts.
    ///
    /// `random`, an evenly distributed number, picks the delay between zero and the
    /// exponential bound. Picking from zero on spreads the retries of requests that failed
    /// together over the whole interval; a common minimum would bring them back together.
    pub fn delay(&self, attempts: u32, random: u64) -> Duration {
        let doublings = attempts.saturating_sub(1).min(20);
        let ceiling = self.first.saturating_mul(1 << doublings).min(self.longest);
        let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
        ceiling.mul_f64(fraction)
    }
}

/// Limits retries and hedges to a share of the first attempts.
///
/// Each first attempt adds that share of a retry to the balance, and each retry takes one
/// from the balance. When all upstreams fail, retries therefore add no more than that
/// share to the load, where a limit per request would multiply the load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
    refill_per_request: f64,
    max_balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(Percent(10), 20)
    }
}

impl RetryBudget {
    /// Returns a budget that adds `refill_per_request` of a retry for each first attempt.
    ///
    /// The balance starts at `most_saved` retries, and never exceeds that number.
    pub fn new(refill_per_request: Percent, most_saved: u32) -> Self {
        Self {
            balance: f64::from(most_saved),
            refill_per_request: f64::from(refill_per_request.0) / 100.0,
            max_balance: f64::from(most_saved),
        }
    }

    /// Adds the share of one first attempt to the balance.
    pub fn note_request(&mut self) {
        self.balance = (self.balance + self.refill_per_request).min(self.max_balance);
    }

    /// Takes one retry from the balance; returns `false` if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        let is_enough = self.balance >= 1.0;
        if is_enough {
            self.balance -= 1.0;
        }
        is_enough
    }

    /// Decides whether a failed attempt is retried; a retry is withdrawn from the balance.
    pub fn decide(
        &mut self,
        situation: RetrySituation,
        backoff: &Backoff,
        now: Timestamp,
        random: u64,
    ) -> RetryDecision {
        if !situation.is_repeatable && !situation.reason.proves_not_run() {
            return RetryDecision::GiveUp(RetryRefusal::NotRepeatable);
        }
        if situation.attempts >= backoff.most_attempts {
            return RetryDecision::GiveUp(RetryRefusal::TooManyAttempts);
        }
        let delay = backoff.delay(situation.attempts, random);
        if situation
            .deadline
            .is_some_and(|deadline| now + delay >= deadline)
        {
            return RetryDecision::GiveUp(RetryRefusal::DeadlineTooClose);
        }
        if !self.withdraw() {
            return RetryDecision::GiveUp(RetryRefusal::BudgetSpent);
        }
        RetryDecision::After(delay)
    }
}
