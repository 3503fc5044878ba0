//! Whether a failed attempt is repeated, and when.
//!
//! The entry daemon is the only layer that retries.

use std::time::Duration;

use crate::{
    time::Timestamp,
    units::Percent, //
};

/// Why an attempt is repeated; closed, so that each has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// No connection could be made: no byte was sent.
    ConnectFailed,
    /// The upstream said that the request did not start.
    RefusedByUpstream,
    /// The group's token was outdated: the engine refused before starting.
    StaleToken,
    /// The connection broke before anything of the answer was passed on.
    BrokenBeforeAnswer,
    /// No first byte came in the time that nearly all need.
    TimedOutBeforeAnswer,
    /// The upstream answered with an error of its own and nothing was passed on.
    FailedByUpstream,
}

impl RetryReason {
    /// Every reason, for counters.
    pub const ALL: [RetryReason; 6] = [
        RetryReason::ConnectFailed,
        RetryReason::RefusedByUpstream,
        RetryReason::StaleToken,
        RetryReason::BrokenBeforeAnswer,
        RetryReason::TimedOutBeforeAnswer,
        RetryReason::FailedByUpstream,
    ];

    /// Returns the reason as it stands in counters.
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

    /// Returns whether the failed attempt certainly did not run.
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

/// Why an attempt is not repeated; closed, so that each has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryRefusal {
    /// The attempt may have run, and the request must run at most once.
    NotRepeatable,
    /// Retries have used up their share of the traffic.
    BudgetSpent,
    /// The request has had as many attempts as one may have.
    TooManyAttempts,
    /// The deadline comes before the next attempt could start.
    DeadlineTooClose,
}

impl RetryRefusal {
    /// Every refusal, for counters.
    pub const ALL: [RetryRefusal; 4] = [
        RetryRefusal::NotRepeatable,
        RetryRefusal::BudgetSpent,
        RetryRefusal::TooManyAttempts,
        RetryRefusal::DeadlineTooClose,
    ];

    /// Returns the refusal as it stands in counters.
    pub fn name(self) -> &'static str {
        match self {
            RetryRefusal::NotRepeatable => "not_repeatable",
            RetryRefusal::BudgetSpent => "budget_spent",
            RetryRefusal::TooManyAttempts => "too_many_attempts",
            RetryRefusal::DeadlineTooClose => "deadline_too_close",
        }
    }
}

/// What is to be done after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try again after this time.
    After(Duration),
    /// Give up, now.
    GiveUp(RetryRefusal),
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetrySituation {
    /// Why it failed.
    pub reason: RetryReason,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// How many attempts were made, at least one.
    pub attempts: u32,
    /// The caller's deadline.
    pub deadline: Option<Timestamp>,
}

/// Delays between attempts: exponential with full jitter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    /// The longest delay before the second attempt.
    pub first: Duration,
    /// The longest delay of all.
    pub longest: Duration,
    /// How many attempts a request may have.
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
    /// Returns the delay after so many attempts, drawn evenly by `random`.
    ///
    /// Drawing from zero spreads the retries of requests that failed together over
    /// the whole interval; a shared minimum would bring them back together.
    pub fn delay(&self, attempts: u32, random: u64) -> Duration {
        let doublings = attempts.saturating_sub(1).min(20);
        let ceiling = self.first.saturating_mul(1 << doublings).min(self.longest);
        let share = (random >> 11) as f64 / (1_u64 << 53) as f64;
        ceiling.mul_f64(share)
    }
}

/// Bounds retries by a share of the requests sent.
///
/// Each first attempt pays in a part of a retry and each retry takes a whole one.
/// When all upstreams fail, retries therefore add that share to the load and no
/// more, where a limit for each request would multiply it.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
    share: f64,
    most: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(Percent(10), 20)
    }
}

impl RetryBudget {
    /// Makes a budget of a share of the traffic that can save up `most_saved` retries.
    pub fn new(share: Percent, most_saved: u32) -> Self {
        Self {
            balance: f64::from(most_saved),
            share: f64::from(share.0) / 100.0,
            most: f64::from(most_saved),
        }
    }

    /// Pays in for a first attempt.
    pub fn note_request(&mut self) {
        self.balance = (self.balance + self.share).min(self.most);
    }

    /// Takes out one retry; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let is_enough = self.balance >= 1.0;
        if is_enough {
            self.balance -= 1.0;
        }
        is_enough
    }

    /// Decides what is done after a failed attempt; a retry is paid for here.
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
