//! The error response for a request that failed, by the state that it reached.

use cicadabend::{
    caller_api::ErrorCode,
    chart::RequestState, //
};

use super::{
    super::{
        exchange::Failure,
        response::Refusal, //
    },
    RequestExecution,
};

/// Retry delay that a caller gets when its request did not run.
const NOT_RUN_RETRY_MS: u64 = 1_000;

impl RequestExecution {
    /// Returns the error for the request's state, and marks whether a client retry is safe.
    pub(in super::super) fn refusal(&mut self) -> Refusal {
        let mut refusal = match self.life.state() {
            RequestState::RefusedNotRun => self.not_run_refusal(),
            _ => self.outcome_unknown_refusal(),
        };
        let traits = self.spec.traits;
        refusal.retry_is_safe |= traits.is_repeatable || traits.needs_claim;
        refusal
    }

    fn not_run_refusal(&mut self) -> Refusal {
        if let Some(refusal) = self.refusal.take() {
            return refusal;
        }
        let why = self.failure_text();
        let code = match self.failure {
            Some(Failure::DeadlinePassed { .. }) => ErrorCode::DeadlineCannotBeMet,
            _ => ErrorCode::NotRun,
        };
        Refusal::new(code, format!("The request did not run: {why}."))
            .retry_after_ms(NOT_RUN_RETRY_MS)
    }

    fn outcome_unknown_refusal(&mut self) -> Refusal {
        if let Some(refusal) = self.refusal.take() {
            return refusal;
        }
        let why = self.failure_text();
        let code = match self.failure {
            Some(Failure::Invalid(_) | Failure::FailedByUpstream { .. }) => {
                ErrorCode::UpstreamInvalid
            }
            _ => ErrorCode::OutcomeUnknown,
        };
        Refusal::new(code, format!("The request may have run: {why}."))
    }

    fn failure_text(&self) -> String {
        match &self.failure {
            Some(failure) => failure.to_string(),
            None => "no whole replica can take the request now".to_owned(),
        }
    }
}
