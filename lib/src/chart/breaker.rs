//! The circuit breaker that a daemon keeps for a run of an upstream.

use super::{
    interpreter::Chart,
    names::chart_names, //
};

/// The chart of a circuit breaker.
pub type BreakerChart = Chart<BreakerState, BreakerEvent, BreakerGuard, BreakerAction>;

chart_names! {
    /// Whether requests are sent to the upstream.
    BreakerState {
        /// Requests are sent.
        Closed = "closed",
        /// None is sent until the asked backoff ends.
        Open = "open",
        /// A few at once are sent on trial.
        HalfOpen = "half_open",
        /// None is sent to this run any more.
        Leaving = "leaving",
    }
}

chart_names! {
    /// What the upstream's answers, or the time, say.
    BreakerEvent {
        /// It refused a request and asked for backoff.
        BackoffAsked = "backoff_asked",
        /// The time that it asked for is over.
        BackoffEnded = "backoff_ended",
        /// It answered a request on trial without refusing it.
        TrialAnswered = "trial_answered",
        /// It said that it leaves.
        LeavingTold = "leaving_told",
    }
}

chart_names! {
    /// What must hold for a transition of a breaker.
    BreakerGuard {
        /// As many requests at once are on trial as the ramp goes up to.
        RampIsDone = "ramp_is_done",
    }
}

chart_names! {
    /// What is to be done about a breaker.
    BreakerAction {
        /// Send nothing until the asked time is over, or a longer one that was asked before.
        StartBackoff = "start_backoff",
        /// Let one request at a time be on trial.
        StartRamp = "start_ramp",
        /// Let one more request at once be on trial.
        WidenRamp = "widen_ramp",
    }
}
