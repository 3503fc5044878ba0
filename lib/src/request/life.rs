//! The state machine of one request.

use crate::chart::{
    ChartError,
    Charts,
    RequestAction,
    RequestChart,
    RequestEvent,
    RequestGuard,
    RequestState, //
};

/// Properties of a request that limit its attempts; fixed when the request is received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTraits {
    /// Whether the request needs a claim, so that it runs at most once over all entry daemons.
    pub needs_claim: bool,
    /// Whether the request is idempotent, and may run again while no byte of an answer was passed
    /// on.
    pub is_repeatable: bool,
}

/// Permission that the state machine asks of its caller, who knows for example the retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Permits another attempt, on this replica or another one.
    Retry,
    /// Permits to request the rest of the answer from the same replica.
    Resume,
}

/// State machine of one request, by the state chart in `lib/charts/request.json`.
///
/// INVARIANT: "not run" is answered only if no upstream can have run the request: no byte of
/// any attempt was sent, or the upstream answered that the request did not start. The chart is
/// checked for this rule when it is loaded; its guards rely on `earlier_may_have_run`.
#[derive(Clone, Debug)]
pub struct RequestLife {
    chart: &'static RequestChart,
    state: RequestState,
    traits: RequestTraits,
    /// Whether an abandoned earlier attempt may have run on its upstream.
    earlier_may_have_run: bool,
    /// Whether the answer's first byte has arrived to be passed on to the caller.
    has_delivered_bytes: bool,
}

impl RequestLife {
    /// Returns the state machine of a request that was just received.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError`] if the state charts are invalid, which stops the daemon at its start.
    pub fn new(traits: RequestTraits) -> Result<Self, ChartError> {
        let chart = &Charts::shared()?.request;
        Ok(Self {
            chart,
            state: chart.initial(),
            traits,
            earlier_may_have_run: false,
            has_delivered_bytes: false,
        })
    }

    /// Returns the request's present state.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Returns whether the request is in a final state.
    pub fn is_over(&self) -> bool {
        self.chart.is_final(self.state)
    }

    /// Applies an event, and returns the actions to take, in order.
    ///
    /// `permits` is called only if its result decides the transition, and at most once for
    /// each permit.
    pub fn apply(
        &mut self,
        event: RequestEvent,
        mut permits: impl FnMut(Permit) -> bool,
    ) -> &'static [RequestAction] {
        let traits = self.traits;
        let earlier_may_have_run = self.earlier_may_have_run;
        let has_delivered_bytes = self.has_delivered_bytes;
        let step = self.chart.step(self.state, event, |guard| match guard {
            RequestGuard::NeedsClaim => traits.needs_claim,
            RequestGuard::EarlierAttemptMayHaveRun => earlier_may_have_run,
            RequestGuard::MayTryAnother => permits(Permit::Retry),
            RequestGuard::MayRepeat => {
                traits.is_repeatable && !has_delivered_bytes && permits(Permit::Retry)
            }
            RequestGuard::MayResume => permits(Permit::Resume),
        });
        self.record_event(event, step.state);
        self.state = step.state;
        step.actions
    }

    /// Updates the facts that guards of later events use.
    fn record_event(&mut self, event: RequestEvent, new_state: RequestState) {
        let is_attempt_abandoned = matches!(
            event,
            RequestEvent::UpstreamFailed | RequestEvent::AnswerBroke
        );
        if is_attempt_abandoned && new_state == RequestState::Connecting {
            self.earlier_may_have_run = true;
        }
        if event == RequestEvent::FirstByte && new_state == RequestState::Streaming {
            self.has_delivered_bytes = true;
        }
    }
}
