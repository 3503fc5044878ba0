//! The error that fits where a request stands.

use cicadabend::{
    caller_api::ErrorCode,
    chart::RequestState, //
};

use super::{
    super::{
        answer::Refusal,
        exchange::Failure, //
    },
    RequestExecution,
};

/// When to come back if no replica can take a request.
const NO_REPLICA_RETRY_MS: u64 = 1_000;

impl RequestExecution {
    /// Returns the error that fits where the request stands.
    pub(in super::super) fn refusal(&mut self) -> Refusal {
        let mut refusal = match self.life.state() {
            RequestState::RefusedNotRun => self.not_run(),
            _ => self.outcome_unknown(),
        };
        let traits = self.spec.traits;
        refusal.retry_is_safe |= traits.is_repeatable || traits.needs_claim;
        refusal
    }

    fn not_run(&mut self) -> Refusal {
        if let Some(refusal) = self.refusal.take() {
            return refusal;
        }
        let why = self.failure_text();
        let code = match self.failure {
            Some(Failure::DeadlinePassed { .. }) => ErrorCode::DeadlineCannotBeMet,
            _ => ErrorCode::NotRun,
        };
        Refusal::new(code, format!("The request did not run: {why}."))
            .retry_after_ms(NO_REPLICA_RETRY_MS)
    }

    fn outcome_unknown(&mut self) -> Refusal {
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
            None => "no whole replica can take it now".to_owned(),
        }
    }
}
