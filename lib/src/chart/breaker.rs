//! The state chart of the circuit breaker that a daemon has for one instance of an upstream.

use super::{
    interpreter::Chart,
    names::chart_names, //
};

/// The chart of a circuit breaker.
pub type BreakerChart = Chart<BreakerState, BreakerEvent, BreakerGuard, BreakerAction>;

chart_names! {
    /// The state of a circuit breaker.
    BreakerState {
        /// Requests are sent to the upstream.
        Closed = "closed",
        /// No request is sent until the backoff that the upstream asked for ends.
        Open = "open",
        /// A limited number of concurrent trial requests is sent.
        HalfOpen = "half_open",
        /// The upstream leaves, so this instance gets no more requests.
        Leaving = "leaving",
    }
}

chart_names! {
    /// An event of a circuit breaker: an answer of the upstream, or the end of a time.
    BreakerEvent {
        /// The upstream refused a request and asked for backoff.
        BackoffAsked = "backoff_asked",
        /// The backoff that the upstream asked for has ended.
        BackoffEnded = "backoff_ended",
        /// The upstream answered a trial request without refusing it.
        TrialAnswered = "trial_answered",
        /// An answer of the upstream said that it leaves.
        LeavingTold = "leaving_told",
    }
}

chart_names! {
    /// A condition for a transition of a circuit breaker.
    BreakerGuard {
        /// The next raise of the limit of concurrent trial requests would reach the ramp's end.
        RampIsDone = "ramp_is_done",
    }
}

chart_names! {
    /// An action of a circuit breaker.
    BreakerAction {
        /// Sends nothing until the backoff ends that the upstream asked for now, or an earlier one
        /// that lasts longer.
        StartBackoff = "start_backoff",
        /// Sets the limit of concurrent trial requests to one.
        StartRamp = "start_ramp",
        /// Raises the limit of concurrent trial requests by one.
        WidenRamp = "widen_ramp",
    }
}
