//! Counters, gauges and timers of the serving thread.

use std::{
    cell::Cell,
    time::Duration, //
};

use cicadabend::{
    admission::RetryReason,
    caller_api::ErrorCode,
    claims::ClaimRefusal,
    routing::ChoiceReason, //
};
use cicadabend_daemon::metrics::Metrics;

cicadabend_daemon::counters! {
    /// What happened to requests.
    pub enum Serving = "serving" {
        /// Requests of known teams.
        Requests,
        /// Broken streams whose rest was asked for.
        Resumes,
        /// Requests that an engine was told to stop.
        Cancels,
        /// Second copies of slow repeatable requests.
        Hedges,
        /// Answers to resends that were the first answer.
        Replays,
        /// Requests that did not run, which no majority of the control daemons could be told.
        ClaimsNotWithdrawn,
        /// Answers given before a majority of the control daemons had recorded them.
        OutcomesNotRecorded,
        /// Connections closed because there were too many.
        ConnectionsRefused,
    }
}

/// The serving thread's way to the process's metrics.
pub(super) struct Counts {
    metrics: Metrics,
    attempts_running: Cell<u64>,
}

impl Counts {
    pub(super) fn new(metrics: Metrics) -> Self {
        metrics.declare::<Serving>();
        Self {
            metrics,
            attempts_running: Cell::new(0),
        }
    }

    /// Counts one event.
    pub(super) fn count(&self, event: Serving) {
        self.metrics.count(event);
    }

    /// Counts an error answered to a caller.
    pub(super) fn record_refusal(&self, code: ErrorCode) {
        self.metrics.count_reason("refusals", code);
    }

    /// Counts an attempt that is repeated.
    pub(super) fn record_retry(&self, reason: RetryReason) {
        self.metrics.count_reason("retries", reason);
    }

    /// Counts a claim that was not granted.
    pub(super) fn record_claim_refusal(&self, refusal: &ClaimRefusal) {
        self.metrics.count_reason("claim_refusals", refusal);
    }

    /// Counts a routing decision.
    pub(super) fn record_choice(&self, reason: ChoiceReason) {
        self.metrics.count_reason("choices", reason);
    }

    /// Notes an attempt that is counted at its replica from now on.
    pub(super) fn add_attempt(&self) {
        self.change_attempts(|count| count + 1);
    }

    /// Notes an attempt that is no longer counted at its replica.
    pub(super) fn remove_attempt(&self) {
        self.change_attempts(|count| count.saturating_sub(1));
    }

    /// Sets how many requests wait for their turn.
    pub(super) fn set_requests_waiting(&self, count: u64) {
        self.metrics.gauge("requests_waiting", count);
    }

    /// Records how long a request waited for its turn.
    pub(super) fn record_queueing_time(&self, waited: Duration) {
        self.metrics.time("queueing", waited);
    }

    /// Records the time from sending a request to the first part of its answer.
    pub(super) fn record_first_token(&self, time: Duration) {
        self.metrics.time("time_to_first_token", time);
    }

    /// Records the mean time between the parts of one answer.
    pub(super) fn record_between_tokens(&self, time: Duration) {
        self.metrics.time("time_between_tokens", time);
    }

    fn change_attempts(&self, change: impl Fn(u64) -> u64) {
        let count = change(self.attempts_running.get());
        self.attempts_running.set(count);
        self.metrics.gauge("attempts_running", count);
    }
}
