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
    /// Events of requests to model services and plain services.
    pub enum Serving = "serving" {
        /// Requests with the API key of a known team.
        Requests,
        /// Requests to an engine for the rest of a stream that broke off.
        Resumes,
        /// Requests that an engine was asked to cancel.
        Cancels,
        /// Hedges: second attempts that were sent because the first was slow.
        Hedges,
        /// Client retries that got the recorded response of the first request.
        Replays,
        /// Requests that did not run, but whose claim's release no majority of the control daemons
        /// confirmed in time.
        ClaimsNotWithdrawn,
        /// Responses that were given before a majority of the control daemons had recorded them.
        OutcomesNotRecorded,
        /// Connections of callers that were closed because the limit on connections was reached.
        ConnectionsRefused,
    }
}

/// Writes the serving thread's metrics.
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

    /// Counts an error response to a caller, by its code.
    pub(super) fn record_refusal(&self, code: ErrorCode) {
        self.metrics.count_reason("refusals", code);
    }

    /// Counts a retry, by its reason.
    pub(super) fn record_retry(&self, reason: RetryReason) {
        self.metrics.count_reason("retries", reason);
    }

    /// Counts a claim that was not granted, by the reason.
    pub(super) fn record_claim_refusal(&self, refusal: &ClaimRefusal) {
        self.metrics.count_reason("claim_refusals", refusal);
    }

    /// Counts a routing decision, by its reason.
    pub(super) fn record_choice(&self, reason: ChoiceReason) {
        self.metrics.count_reason("choices", reason);
    }

    /// Adds one to the number of running attempts.
    pub(super) fn add_attempt(&self) {
        self.change_attempts(|count| count + 1);
    }

    /// Subtracts one from the number of running attempts.
    pub(super) fn remove_attempt(&self) {
        self.change_attempts(|count| count.saturating_sub(1));
    }

    /// Sets the number of requests that wait for admission.
    pub(super) fn set_requests_waiting(&self, count: u64) {
        self.metrics.gauge("requests_waiting", count);
    }

    /// Records the time that a request waited for admission.
    pub(super) fn record_queueing_time(&self, waited: Duration) {
        self.metrics.time("queueing", waited);
    }

    /// Records the time from sending a request to the first chunk of its response.
    pub(super) fn record_first_token(&self, time: Duration) {
        self.metrics.time("time_to_first_token", time);
    }

    /// Records the mean time between the tokens of one response.
    pub(super) fn record_between_tokens(&self, time: Duration) {
        self.metrics.time("time_between_tokens", time);
    }

    fn change_attempts(&self, change: impl Fn(u64) -> u64) {
        let count = change(self.attempts_running.get());
        self.attempts_running.set(count);
        self.metrics.gauge("attempts_running", count);
    }
}
