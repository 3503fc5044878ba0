//! Counters and timers of routed requests.

use std::time::Duration;

use cicadabend::retry_budget::{
    RetrySource,
    RoutedRetryReason, //
};
use cicadabend_daemon::metrics::Metrics;

cicadabend_daemon::counters! {
    /// Events of routed requests.
    pub enum Routed = "routed" {
        /// Requests whose route and caller are known.
        Requests,
        /// Requests answered by an upstream.
        Answered,
        /// Streams that were passed on to their end.
        StreamsWhole,
        /// Streams that broke off and were continued by another replica.
        Resumed,
        /// Streams that paused and were continued by their own replica while another was asked.
        Continued,
        /// Callers that closed their connection before the end of the response.
        CallersLeft,
        /// Upstreams that crashed while they had requests of this daemon.
        UpstreamsCrashed,
        /// Requests sent with a permit, to an upstream that limits its request rate.
        PermitsUsed,
        /// Permits that expired unused.
        PermitsEnded,
        /// Upstream responses that refused a request and asked for backoff.
        BackoffsAsked,
        /// Trial requests sent to upstreams after their backoff.
        TrialsSent,
        /// Links to upstreams that were found lost.
        LinksLost,
        /// Requests that were given to a relay, because this daemon's own link is lost.
        SentToRelays,
        /// Requests of other entry daemons that were to be sent on.
        Relayed,
        /// Requests of other daemons without a valid relay key.
        RelayStrangers,
        /// Callers' connections that were closed unread: the daemon was overloaded or had too many.
        ConnectionsShed,
        /// Connections of other entry daemons that were closed because there are too many.
        RelayConnectionsRefused,
    }
}

cicadabend_daemon::counters! {
    /// Routed requests that the daemon answered itself, by reason.
    pub enum RoutedRefusal = "routed_refusals" {
        /// The daemon has no table of routes yet.
        NoRoutes,
        /// No route matches, but the daemon's table of routes may be out of date.
        RouteUncertain,
        /// No route matches.
        UnknownRoute,
        /// The API key is unknown, but the daemon's table of routes may be out of date.
        KeyUncertain,
        /// The API key is unknown.
        UnknownKey,
        /// The path and headers of the request are together larger than allowed.
        HeadTooLarge,
        /// The request body is larger than allowed.
        BodyTooLarge,
        /// There is no room for the request body beside the others that are in memory.
        NoBodyMemory,
        /// The request body arrived too slowly or broke off.
        BodyIncomplete,
        /// The daemon is stopping, and would cut the request off before its deadline.
        Stopping,
        /// No upstream can take the request now.
        NoReplica,
        /// The request is quarantined because several upstreams crashed with it.
        Quarantined,
        /// Several upstreams crashed with a part of the request's prompt, which is quarantined.
        PartQuarantined,
        /// Every upstream is full, so the request would have had to wait for others there.
        NoRoom,
        /// Every upstream limits its request rate, and the rate is used up.
        RateUsedUp,
        /// Every upstream asks for backoff or is shutting down.
        BackoffAsked,
        /// Every upstream that was tried said that it did not run the request.
        NotStarted,
        /// No upstream could be reached.
        NotConnected,
        /// All links to upstreams are lost, and no relay reaches any.
        OutOfReach,
        /// The deadline passed before the request was sent.
        TooLate,
        /// The deadline passed after the request was sent.
        TimedOut,
        /// The request was sent, but no complete response came.
        OutcomeUnknown,
        /// The response broke off for good after its beginning had been passed on.
        StreamBroken,
    }
}

cicadabend_daemon::counters! {
    /// Responses that ended before their end was passed on, by the reason.
    pub enum BrokenAnswer = "routed_broken_answers" {
        /// The request's deadline passed while the response was being passed on.
        DeadlinePassed,
        /// The upstream broke off, and no other one may be asked for the rest.
        UpstreamBroke,
        /// Another upstream was to be asked for the rest, but the retry budget was used up.
        NoRetry,
        /// Another upstream was to be asked for the rest, but none could take the request.
        NoReplica,
        /// Another upstream was asked for the rest, and sent nothing in time.
        ResumeLate,
        /// Another upstream was asked for the rest, and refused or broke off.
        ResumeFailed,
        /// The daemon was stopping and its drain timeout passed.
        Stopped,
        /// The caller read nothing for the read timeout.
        CallerStalled,
    }
}

cicadabend_daemon::counters! {
    /// Responses passed on to another entry daemon that ended before their end, by the reason.
    pub enum BrokenRelayedAnswer = "routed_broken_relayed_answers" {
        /// The upstream broke off.
        UpstreamBroke,
        /// The daemon that had asked closed its connection.
        DaemonLeft,
        /// The relay was stopping and its drain timeout passed.
        Stopped,
    }
}

cicadabend_daemon::counters! {
    /// Further attempts for routed requests, by the reason for them.
    pub enum RoutedRetry = "routed_retries" {
        /// The connection failed; nothing had been sent.
        NotConnected,
        /// The upstream said that it did not run the request.
        NotStarted,
        /// The upstream asked for backoff or announced its shutdown before the request was sent.
        NotAdmitted,
        /// The upstream failed, or its response broke off, before anything was passed on.
        Failed,
        /// The first attempt was unusually slow; a hedge was sent beside it.
        Late,
        /// A stream broke off after its beginning had been passed on.
        StreamBroke,
    }
}

cicadabend_daemon::counters! {
    /// Retries that were to be withdrawn from a retry budget.
    pub enum RetryBudgetUse = "routed_retry_budget" {
        /// A retry was withdrawn that the daemon's own requests pay for.
        Own,
        /// A retry was withdrawn from the daemon's equal part of the slack.
        Equal,
        /// A retry was withdrawn that the leader granted.
        Granted,
        /// A retry after a failure was refused because the budget was used up.
        RefusedBroken,
        /// A retry of a request that its upstream did not run was refused.
        RefusedNotRun,
        /// A hedge or a retry of a late request was refused.
        RefusedLate,
    }
}

impl RetryBudgetUse {
    /// Returns the counter of withdrawn retries that a part of the budget pays for.
    pub(super) fn withdrawn(source: RetrySource) -> Self {
        match source {
            RetrySource::Own => RetryBudgetUse::Own,
            RetrySource::Equal => RetryBudgetUse::Equal,
            RetrySource::Granted(_) => RetryBudgetUse::Granted,
        }
    }

    /// Returns the counter of refused retries for a reason.
    pub(super) fn refused(reason: RoutedRetryReason) -> Self {
        match reason {
            RoutedRetryReason::Broken => RetryBudgetUse::RefusedBroken,
            RoutedRetryReason::NotRun => RetryBudgetUse::RefusedNotRun,
            RoutedRetryReason::Late => RetryBudgetUse::RefusedLate,
        }
    }
}

/// Counts and times routed requests in the process's metrics.
pub(super) struct Counts {
    metrics: Metrics,
}

impl Counts {
    pub(super) fn new(metrics: Metrics) -> Self {
        metrics.declare::<Routed>();
        metrics.declare::<RoutedRefusal>();
        metrics.declare::<BrokenAnswer>();
        metrics.declare::<BrokenRelayedAnswer>();
        metrics.declare::<RoutedRetry>();
        metrics.declare::<RetryBudgetUse>();
        Self { metrics }
    }

    pub(super) fn count(&self, event: Routed) {
        self.metrics.count(event);
    }

    pub(super) fn count_many(&self, event: Routed, events: u64) {
        self.metrics.count_many(event, events);
    }

    pub(super) fn count_refusal(&self, reason: RoutedRefusal) {
        self.metrics.count(reason);
    }

    pub(super) fn count_broken_answer(&self, reason: BrokenAnswer) {
        self.metrics.count(reason);
    }

    pub(super) fn count_broken_relayed_answer(&self, reason: BrokenRelayedAnswer) {
        self.metrics.count(reason);
    }

    pub(super) fn count_retry(&self, reason: RoutedRetry) {
        self.metrics.count(reason);
    }

    pub(super) fn count_budget_use(&self, used: RetryBudgetUse) {
        self.metrics.count(used);
    }

    /// Records the time from a request's arrival to the first chunk of its response.
    pub(super) fn record_first_chunk(&self, time: Duration) {
        self.metrics.time("routed_first_part", time);
    }

    /// Records the time from a request's arrival to the end of its response.
    pub(super) fn record_total_time(&self, time: Duration) {
        self.metrics.time("routed_whole", time);
    }
}
