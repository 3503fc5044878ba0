//! Where one request stands, and what an event means for it.

use crate::chart::{
    ChartError,
    Charts,
    RequestAction,
    RequestChart,
    RequestEvent,
    RequestGuard,
    RequestState, //
};

/// What a request allows; fixed when it is received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTraits {
    /// It must run at most once, over all entry daemons.
    pub needs_claim: bool,
    /// It may run twice if nothing of an answer was passed on.
    pub is_repeatable: bool,
}

/// What only the surroundings can allow, such as the retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Another attempt, on this replica or another one.
    Retry,
    /// Asking the same replica for the rest of the answer.
    Resume,
}

/// The life of one request, by the chart in `lib/charts/request.json`.
///
/// INVARIANT: "not run" is only answered while no byte of any attempt can have
/// reached an upstream that did not deny having started it. The chart is checked
/// for that when it is loaded; `earlier_may_have_run` is the fact it relies on.
#[derive(Clone, Debug)]
pub struct RequestLife {
    chart: &'static RequestChart,
    state: RequestState,
    traits: RequestTraits,
    earlier_may_have_run: bool,
    is_delivered: bool,
}

impl RequestLife {
    /// Starts the life of a request that was just received.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError`] if the charts are faulty, which stops the daemon at its start.
    pub fn new(traits: RequestTraits) -> Result<Self, ChartError> {
        let chart = &Charts::shared()?.request;
        Ok(Self {
            chart,
            state: chart.initial(),
            traits,
            earlier_may_have_run: false,
            is_delivered: false,
        })
    }

    /// Returns where the request stands.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Returns whether nothing more can happen to the request.
    pub fn is_over(&self) -> bool {
        self.chart.is_final(self.state)
    }

    /// Takes an event and returns what is to be done, in order.
    ///
    /// `permits` is asked at most once for each permit, and only if it decides.
    pub fn apply(
        &mut self,
        event: RequestEvent,
        mut permits: impl FnMut(Permit) -> bool,
    ) -> &'static [RequestAction] {
        let traits = self.traits;
        let earlier_may_have_run = self.earlier_may_have_run;
        let is_delivered = self.is_delivered;
        let step = self.chart.step(self.state, event, |guard| match guard {
            RequestGuard::NeedsClaim => traits.needs_claim,
            RequestGuard::EarlierAttemptMayHaveRun => earlier_may_have_run,
            RequestGuard::MayTryAnother => permits(Permit::Retry),
            RequestGuard::MayRepeat => {
                traits.is_repeatable && !is_delivered && permits(Permit::Retry)
            }
            RequestGuard::MayResume => permits(Permit::Resume),
        });
        self.note(event, step.state);
        self.state = step.state;
        step.actions
    }

    fn note(&mut self, event: RequestEvent, to: RequestState) {
        let is_abandoned = matches!(
            event,
            RequestEvent::UpstreamFailed | RequestEvent::AnswerBroke
        );
        if is_abandoned && to == RequestState::Connecting {
            self.earlier_may_have_run = true;
        }
        if event == RequestEvent::FirstByte && to == RequestState::Streaming {
            self.is_delivered = true;
        }
    }
}
