//! The log events of serving (CB1100 to CB1299).

cicadabend_daemon::events! {
    /// The listener for callers could not be set up; the daemon answers no callers.
    1100 Error ServingUnavailable { reason: String } "cannot serve callers";
    /// Callers can connect.
    1101 Info Serving { address: std::net::SocketAddr } "serving callers";
    /// The daemon is stopping and no longer ready; its listener stays open until the balancer has
    /// seen that.
    1102 Info Draining {} "draining";
    /// All requests have ended, or the drain timeout has passed.
    1103 Info Drained {} "drained";
    /// Requests were still running at the drain timeout; their connections are cut off.
    1104 Warn CutOff { connections: u32 } "connections cut off at the drain timeout";
    /// A request got an error response that the daemon made itself.
    1110 Debug Refused {
        request: String,
        code: &'static str,
        message: String,
    } "request refused";
    /// A request with the API key of a known team arrived.
    1111 Debug Received {
        request: cicadabend::prelude::RequestId,
        team: cicadabend::prelude::TeamName,
    } "request received";
    /// An engine did not answer a cancel request in time; it also sees that the connection of the
    /// cancelled request ends.
    1121 Debug CancelUnanswered {
        request: cicadabend::prelude::RequestId,
        replica: cicadabend::routing::ReplicaId,
    } "cancel not answered";
    /// An attempt at a replica failed.
    1122 Debug AttemptFailed {
        request: cicadabend::prelude::RequestId,
        attempt: u32,
        reason: String,
    } "attempt failed";
    /// A failed attempt is not retried.
    1123 Debug NotRetried { reason: &'static str } "not retried";
    /// A stream broke off and its rest is requested from the same group.
    1124 Info Resuming {
        request: cicadabend::prelude::RequestId,
        position: u64,
        reason: String,
    } "stream broken, requesting its rest";
    /// A request that must run at most once got no claim; answers lists the reply of each control
    /// daemon so far, with the daemon and the number of an attempt that holds the claim.
    1126 Info ClaimRefused {
        request: cicadabend::prelude::RequestId,
        reason: &'static str,
        answers: String,
    } "claim refused";
    /// A request did not run, but no majority of the control daemons confirmed the release of its
    /// claim in time, so its caller gets an unknown outcome; the release is still retransmitted.
    1128 Warn ClaimNotWithdrawn {
        request: cicadabend::prelude::RequestId,
        attempt: u64,
    } "claim not withdrawn";
    /// The response to a request that runs at most once was given before a majority of the control
    /// daemons had recorded it; the outcome is still retransmitted.
    1129 Warn OutcomeNotRecorded { attempt: u64 } "outcome not recorded";
    /// Log lines on claims were left out because there were more of them in one second than the
    /// limit.
    1127 Warn ClaimLinesLeftOut { lines: u64 } "lines on claims left out";
    /// A stream broke off and could not be resumed after part of it was delivered.
    1125 Warn AnswerBroken {
        request: cicadabend::prelude::RequestId,
        delivered: u64,
        reason: String,
    } "answer broken";
}

impl LogEvent {
    /// Writes an event of the debug level; `make` is called only if that level is enabled.
    ///
    /// There are thousands of requests, and most daemons log none of these events.
    pub(super) fn debug(make: impl FnOnce() -> LogEvent) {
        if log::log_enabled!(log::Level::Debug) {
            make().emit();
        }
    }
}
