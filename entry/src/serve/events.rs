//! The log events of serving (CB1100 to CB1299).

cicadabend_daemon::events! {
    /// The listener for callers cannot be used.
    1100 Error ServingUnavailable { reason: String } "cannot serve callers";
    /// Callers can connect.
    1101 Info Serving { address: std::net::SocketAddr } "serving callers";
    /// Readiness is off; the listener stays open until the balancer has seen that.
    1102 Info Draining {} "draining";
    /// Everything that ran has ended.
    1103 Info Drained {} "drained";
    /// Requests were still running at the drain timeout; they are cut off.
    1104 Warn CutOff { connections: u32 } "connections cut off at the drain timeout";
    /// A request got an error of cicadabend's own.
    1110 Debug Refused {
        request: String,
        code: &'static str,
        message: String,
    } "request refused";
    /// A request of a known team arrived.
    1111 Debug Received {
        request: cicadabend::prelude::RequestId,
        team: cicadabend::prelude::TeamName,
    } "request received";
    /// An engine did not answer a cancel request; it also sees the end of the connection.
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
    /// A failed attempt is not repeated.
    1123 Debug NotRetried { reason: &'static str } "not tried again";
    /// A stream broke and its rest is asked for.
    1124 Info Resuming {
        request: cicadabend::prelude::RequestId,
        position: u64,
        reason: String,
    } "stream broken, asking for its rest";
    /// A request that must run at most once got no claim; answers says what each control daemon
    /// had said by then, with the daemon and the number of an attempt that holds it.
    1126 Info ClaimRefused {
        request: cicadabend::prelude::RequestId,
        reason: &'static str,
        answers: String,
    } "claim refused";
    /// A request did not run, but no majority of the control daemons could be told in time, so its
    /// caller learns that the outcome is unknown; the control daemons go on being told.
    1128 Warn ClaimNotWithdrawn {
        request: cicadabend::prelude::RequestId,
        attempt: u64,
    } "claim not withdrawn";
    /// An answer to a request that runs at most once was given before a majority of the control
    /// daemons had recorded it; they go on being told.
    1129 Warn OutcomeNotRecorded { attempt: u64 } "outcome not recorded";
    /// Lines on claims were left out because there were more than the bound in a second.
    1127 Warn ClaimLinesLeftOut { lines: u64 } "lines on claims left out";
    /// A stream broke for good after part of it was delivered.
    1125 Warn AnswerBroken {
        request: cicadabend::prelude::RequestId,
        delivered: u64,
        reason: String,
    } "answer broken";
}

impl LogEvent {
    /// Writes an event of the debug level, made only if that level is on.
    ///
    /// Requests come by the thousand, and most daemons write none of these.
    pub(super) fn debug(make: impl FnOnce() -> LogEvent) {
        if log::log_enabled!(log::Level::Debug) {
            make().emit();
        }
    }
}
