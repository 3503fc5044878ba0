//! Counters and timers of routed requests.

use std::time::Duration;

use cicadabend_daemon::metrics::Metrics;

cicadabend_daemon::counters! {
    /// What happened to routed requests.
    pub enum Routed = "routed" {
        /// Requests whose route and caller are known.
        Requests,
        /// Requests answered by an upstream.
        Answered,
        /// Streams that ended whole.
        StreamsWhole,
        /// Streams that broke off and went on elsewhere.
        Resumed,
        /// Callers that left before the end of their answer.
        CallersLeft,
        /// Upstreams that were seen to end with requests that they had.
        UpstreamsCrashed,
        /// Requests sent with a permit, to an upstream that names a rate.
        PermitsUsed,
        /// Permits that ended before a request used them.
        PermitsEnded,
        /// Refusals by upstreams that asked for backoff.
        BackoffsAsked,
        /// Requests that found out whether an upstream takes requests again.
        TrialsSent,
    }
}

cicadabend_daemon::counters! {
    /// Routed requests that got an answer of the daemon's own, by reason.
    pub enum RoutedRefusal = "routed_refusals" {
        /// No table of routes is known yet.
        NoRoutes,
        /// No route fits, and the table may not be the newest.
        RouteUncertain,
        /// No route fits.
        UnknownRoute,
        /// The key is unknown, and the table may not be the newest.
        KeyUncertain,
        /// The key is unknown.
        UnknownKey,
        /// The head is larger than allowed.
        HeadTooLarge,
        /// The body is larger than allowed.
        BodyTooLarge,
        /// The body came too slowly or broke off.
        BodyIncomplete,
        /// No upstream can take it now.
        NoReplica,
        /// It ended several upstreams that ran it.
        Quarantined,
        /// Every upstream is full.
        NoRoom,
        /// Every upstream names a rate of requests, which is used up.
        RateUsedUp,
        /// Every upstream asks for backoff or leaves.
        BackoffAsked,
        /// Every upstream that was asked said that it did not run it.
        NotStarted,
        /// No upstream could be reached.
        NotConnected,
        /// Its time was over before it was sent.
        TooLate,
        /// Its time was over after it was sent.
        TimedOut,
        /// It was sent and no whole answer came.
        OutcomeUnknown,
        /// Its stream broke off for good.
        StreamBroken,
    }
}

cicadabend_daemon::counters! {
    /// Routed requests that were sent once more, by what went wrong before.
    pub enum RoutedRetry = "routed_retries" {
        /// No connection could be made; nothing had been sent.
        NotConnected,
        /// The upstream said that it did not run it.
        NotStarted,
        /// The upstream asked for backoff, or said that it leaves, before the request was sent.
        NotAdmitted,
        /// The upstream failed, or its answer broke off, before anything was passed on.
        Failed,
        /// Nothing came for unusually long; the first upstream is still waited for.
        Late,
        /// A stream broke off after part of it was passed on.
        StreamBroke,
    }
}

/// The serving thread's way to the process's metrics.
pub(super) struct Counts {
    metrics: Metrics,
}

impl Counts {
    pub(super) fn new(metrics: Metrics) -> Self {
        metrics.declare::<Routed>();
        metrics.declare::<RoutedRefusal>();
        metrics.declare::<RoutedRetry>();
        Self { metrics }
    }

    pub(super) fn count(&self, event: Routed) {
        self.metrics.count(event);
    }

    pub(super) fn count_many(&self, event: Routed, events: u64) {
        self.metrics.count_many(event, events);
    }

    pub(super) fn refusal(&self, reason: RoutedRefusal) {
        self.metrics.count(reason);
    }

    pub(super) fn retry(&self, reason: RoutedRetry) {
        self.metrics.count(reason);
    }

    /// Records the time from a request's arrival to the first part of its answer.
    pub(super) fn first_part(&self, time: Duration) {
        self.metrics.time("routed_first_part", time);
    }

    /// Records the time from a request's arrival to the end of its answer.
    pub(super) fn whole(&self, time: Duration) {
        self.metrics.time("routed_whole", time);
    }
}
