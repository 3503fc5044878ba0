//! The state of one request: its state machine, its attempts, and the actions of the state chart.

mod choose;
mod refuse;
mod retry;

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    caller_api::ErrorCode,
    chart::{
        RequestAction,
        RequestEvent,
        RequestState, //
    },
    claims::{
        ClaimRefusal,
        VoterAnswer, //
    },
    fleet::RoutingPolicy,
    prelude::*,
    request::{
        Permit,
        RequestLife, //
    },
    routing::{
        AnswerTiming,
        Choice,
        ReplicaId, //
    },
};
use tokio::time::Instant;

use super::{
    admission_control::Admission,
    attempt::Attempt,
    counts::Serving,
    events::LogEvent,
    exchange::Failure,
    held_claim::HeldClaim,
    policy_statistics::Outcome,
    response::Refusal,
    server::Server,
    spec::Spec, //
};

/// Number of times in a row that the rest of a response is asked for without getting any of it.
pub(super) const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 4;

/// The next step of the code that drives the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Next {
    /// Wait for the next event; there is nothing to do now.
    Wait,
    /// Request the claim that the request needs before it may run.
    Claim,
    /// Wait until a majority has recorded the release of the claim.
    Withdraw,
    /// Answer with the recorded outcome of the first request with this key, or that it still runs.
    AnswerDuplicate,
    /// Connect to the attempt's replica after a delay.
    Connect {
        /// Backoff before a retry; random, to spread the retries of requests that failed together.
        delay: Duration,
    },
    /// Handle that no replica can take the request.
    NoReplica,
    /// Pass the response on to the caller.
    Pass,
    /// Ask for the rest of a response that broke off.
    Resume,
    /// Answer that the request did not run.
    AnswerNotRun,
    /// Answer that the request may have run.
    AnswerOutcomeUnknown,
    /// End the response with an error, so that the caller sees that it is incomplete.
    AnswerBroken,
    /// Nothing more; the request's state machine has reached its end.
    Over,
}

/// A request from its arrival to the end of its response.
///
/// Dropping this earlier means that the caller left.
pub(super) struct RequestExecution {
    pub(super) server: Rc<Server>,
    pub(super) spec: Rc<Spec>,
    pub(super) attempt: Option<Attempt>,
    pub(super) admission: Option<Admission>,
    hedge: Option<Attempt>,
    policy: Option<RoutingPolicy>,
    outcome: Outcome,
    life: RequestLife,
    choice: Option<Choice>,
    tried: Vec<ReplicaId>,
    attempts: u32,
    failure: Option<Failure>,
    refusal: Option<Refusal>,
    pub(super) claim: HeldClaim,
    sent_at: Instant,
    resumes_without_progress: u32,
    can_resume: bool,
}

impl RequestExecution {
    /// Starts a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the request's state chart is invalid.
    pub(super) fn new(server: &Rc<Server>, spec: Spec) -> Result<Self, Refusal> {
        let life = RequestLife::new(spec.traits).map_err(|error| {
            // The daemon checks the charts at its start, so this is never reached.
            Refusal::new(ErrorCode::NotRun, error.to_string())
        })?;
        Ok(Self {
            server: Rc::clone(server),
            spec: Rc::new(spec),
            attempt: None,
            admission: None,
            hedge: None,
            policy: None,
            outcome: Outcome::default(),
            life,
            choice: None,
            tried: Vec::new(),
            attempts: 0,
            failure: None,
            refusal: None,
            claim: HeldClaim::default(),
            sent_at: Instant::now(),
            resumes_without_progress: 0,
            can_resume: false,
        })
    }

    /// Feeds an event to the state machine, performs its actions, and returns the next step.
    pub(super) fn apply(&mut self, event: RequestEvent) -> Next {
        let mut delay = Duration::ZERO;
        let situation = self.retry_situation();
        let may_resume = self.can_resume && self.may_resume();
        let server = Rc::clone(&self.server);
        let spec = Rc::clone(&self.spec);
        let actions = self.life.apply(event, |permit| match permit {
            Permit::Resume => may_resume,
            Permit::Retry => spec.can_replay() && retry::may_retry(&server, situation, &mut delay),
        });
        let mut next = Next::Wait;
        for action in actions {
            next = self.perform(*action, delay).unwrap_or(next);
        }
        if self.life.is_over() {
            self.finish();
        }
        if next == Next::Wait && self.life.is_over() {
            next = Next::Over;
        }
        next
    }

    /// Performs one action of the chart; returns a step that the driver must do itself, if any.
    fn perform(&mut self, action: RequestAction, delay: Duration) -> Option<Next> {
        match action {
            RequestAction::ChooseAnother => {
                self.server.counts.record_retry(self.retry_reason());
                self.choose_replica();
            }
            RequestAction::TakeSlot => self.take_slot(),
            RequestAction::FreeSlot => {
                self.attempt = None;
                self.hedge = None;
            }
            RequestAction::CancelUpstream => {
                let attempts = self.attempt.iter_mut().chain(&mut self.hedge);
                attempts.for_each(Attempt::cancel);
            }
            RequestAction::Connect => {
                return Some(match &self.attempt {
                    Some(_) => Next::Connect { delay },
                    None => Next::NoReplica,
                });
            }
            RequestAction::PassAnswer => return Some(Next::Pass),
            RequestAction::ResumeAnswer => return Some(Next::Resume),
            RequestAction::AnswerNotRun => return Some(Next::AnswerNotRun),
            RequestAction::AnswerOutcomeUnknown => return Some(Next::AnswerOutcomeUnknown),
            RequestAction::AnswerBroken => return Some(Next::AnswerBroken),
            RequestAction::RequestClaim => return Some(Next::Claim),
            RequestAction::AnswerDuplicate => return Some(Next::AnswerDuplicate),
            RequestAction::ReleaseClaim => {
                self.claim.release(&self.server.claims);
                return Some(Next::Withdraw);
            }
            RequestAction::KeepClaim => {
                let id = self.spec.caller.request_id.as_str();
                self.claim.retain_as_unknown(&self.server.claims, id);
            }
            RequestAction::CompleteClaim => self.claim.complete(&self.server.claims),
            RequestAction::SendRequest => {}
        }
        None
    }

    /// Releases the request's place in the admission queue, and adds its outcome to the statistics
    /// of its routing policy.
    fn finish(&mut self) {
        self.admission = None;
        let Some(policy) = self.policy.take() else {
            return;
        };
        let mut statistics = self.server.policy_statistics.borrow_mut();
        match self.life.state() {
            RequestState::Done => statistics.add(&self.spec.service, policy, &self.outcome),
            // A caller that leaves says nothing about the policy.
            RequestState::Cancelled => {}
            _ => {
                self.outcome.has_failed = true;
                statistics.add(&self.spec.service, policy, &self.outcome);
            }
        }
    }

    /// Stops all writing of the current attempts; returns whether any byte was written.
    pub(super) fn seal(&self) -> bool {
        let attempts = self.attempt.iter().chain(&self.hedge);
        let written = attempts.map(|attempt| attempt.sent.seal()).sum::<u64>();
        written > 0
    }

    /// Records why the current attempt failed; returns the next step.
    pub(super) fn record_failure(&mut self, failure: Failure) -> Next {
        LogEvent::debug(|| LogEvent::AttemptFailed {
            request: self.spec.caller.request_id.clone(),
            attempt: self.attempts,
            reason: failure.to_string(),
        });
        let event = match &failure {
            Failure::NothingWritten(_) => RequestEvent::ConnectFailed,
            Failure::ClaimLapsed => RequestEvent::Refused,
            Failure::NotStarted { .. } => RequestEvent::NotStarted,
            Failure::DeadlinePassed { .. } => RequestEvent::DeadlinePassed,
            Failure::Broken(_)
            | Failure::GroupChanged
            | Failure::FailedByUpstream { .. }
            | Failure::Invalid(_) => RequestEvent::UpstreamFailed,
        };
        let is_written = failure.may_have_run() || matches!(failure, Failure::NotStarted { .. });
        if let Some(attempt) = self.attempt.as_ref().filter(|_| failure.is_replica_fault()) {
            let now = self.server.clock.now();
            let mut router = self.server.router.borrow_mut();
            router.record_failure(&attempt.replica().id, now);
        }
        self.failure = Some(failure);
        if is_written {
            self.apply(RequestEvent::Connected);
        }
        self.apply(event)
    }

    /// Records that the first chunk of a response is here; returns the next step.
    pub(super) fn record_first_chunk(&mut self) -> Next {
        self.outcome.first_token = self.sent_at.elapsed();
        let first_token = self.outcome.first_token;
        let mut times = self.server.times.borrow_mut();
        times.record(&self.spec.service, first_token);
        drop(times);
        self.server.counts.record_first_token(first_token);
        self.apply(RequestEvent::Connected);
        self.apply(RequestEvent::RequestSent);
        self.apply(RequestEvent::FirstByte)
    }

    /// Records that the response broke off; returns the next step.
    ///
    /// `can_resume` says whether the rest of the response can be asked for.
    pub(super) fn record_broken_answer(&mut self, can_resume: bool, failure: Failure) -> Next {
        self.can_resume = can_resume;
        self.failure = Some(failure);
        let event = match self.life.state() {
            RequestState::Resuming => RequestEvent::ResumeFailed,
            _ => RequestEvent::AnswerBroke,
        };
        let next = self.apply(event);
        if next == Next::Resume {
            self.resumes_without_progress += 1;
            self.server.counts.count(Serving::Resumes);
        }
        next
    }

    /// Returns whether the rest of the response may be asked for once more.
    pub(super) fn may_resume(&self) -> bool {
        self.resumes_without_progress < MAX_RESUMES_WITHOUT_PROGRESS
    }

    /// Records that more of the response arrived, `since_last` after the chunk before.
    pub(super) fn record_progress(&mut self, since_last: Duration) {
        if self.life.state() == RequestState::Resuming {
            self.apply(RequestEvent::Resumed);
        }
        self.outcome.between_tokens.count(since_last);
        self.resumes_without_progress = 0;
    }

    /// Returns how often the rest was asked for since the last chunk of the response arrived.
    pub(super) fn resumes_without_progress(&self) -> u32 {
        self.resumes_without_progress
    }

    /// Records that the whole response was delivered; only the first call counts.
    pub(super) fn record_delivered(&mut self, output_tokens: u64) {
        if self.life.is_over() {
            return;
        }
        self.record_timing(output_tokens);
        if let Some(gaps) = u32::try_from(output_tokens).ok().filter(|n| *n > 1) {
            let streaming = self
                .sent_at
                .elapsed()
                .saturating_sub(self.outcome.first_token);
            self.server
                .counts
                .record_between_tokens(streaming / (gaps - 1));
        }
        self.apply(RequestEvent::AnswerEnded);
    }

    /// Records the response's times and token counts, from which the router learns.
    fn record_timing(&mut self, output_tokens: u64) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let expected_cached = attempt.choice.expected_cached_tokens.0;
        let uncached = self.spec.prompt_tokens.0.saturating_sub(expected_cached);
        let timing = AnswerTiming {
            first_token: self.outcome.first_token,
            total: self.sent_at.elapsed(),
            output_tokens: TokenCount(output_tokens),
            uncached_tokens: TokenCount(uncached),
            was_unqueued: !attempt.choice.is_saturated,
        };
        let now = self.server.clock.now();
        let replica = &attempt.replica().id;
        let prefixes = self.prefixes();
        let mut router = self.server.router.borrow_mut();
        router.record_answer(&self.spec.service, replica, &prefixes, timing, now);
    }

    /// Records that the claim was not granted, with the voters' answers; returns the next step.
    pub(super) fn record_claim_refusal(
        &mut self,
        refusal: ClaimRefusal,
        answers: &[VoterAnswer],
    ) -> Next {
        let answers: Vec<String> = answers.iter().map(VoterAnswer::to_string).collect();
        self.server.log_claim(&LogEvent::ClaimRefused {
            request: self.spec.caller.request_id.clone(),
            reason: refusal.name(),
            answers: answers.join(", "),
        });
        let event = match &refusal {
            ClaimRefusal::AlreadyCompleted(_)
            | ClaimRefusal::InProgress { .. }
            | ClaimRefusal::OutcomeUnknown
            | ClaimRefusal::KeyReused => RequestEvent::ClaimHeldByOther,
            ClaimRefusal::Contended { .. } | ClaimRefusal::NoMajority { .. } => {
                RequestEvent::ClaimUnavailable
            }
        };
        self.server.counts.record_claim_refusal(&refusal);
        self.refusal = HeldClaim::refusal(&refusal);
        self.claim.record_refusal(refusal);
        self.apply(event)
    }

    /// Records that no majority confirmed the claim's release in time; returns the next step.
    ///
    /// The request then ends with an unknown outcome: a client retry could find the claim held.
    pub(super) fn record_claim_not_withdrawn(&mut self, attempt: u64) -> Next {
        self.server.counts.count(Serving::ClaimsNotWithdrawn);
        self.server.log_claim(&LogEvent::ClaimNotWithdrawn {
            request: self.spec.caller.request_id.clone(),
            attempt,
        });
        self.refusal = Some(HeldClaim::not_withdrawn());
        self.apply(RequestEvent::ClaimNotWithdrawn)
    }

    /// Refuses the request with this error; returns the next step.
    pub(super) fn refuse(&mut self, refusal: Refusal) -> Next {
        self.refusal = Some(refusal);
        self.apply(RequestEvent::Refused)
    }
}

impl Drop for RequestExecution {
    /// Records that the caller left, if the request isn't over.
    ///
    /// hyper drops the request's future or response body when the caller closes its connection.
    fn drop(&mut self) {
        if self.life.is_over() {
            return;
        }
        if self.life.state() == RequestState::Connecting && self.seal() {
            self.apply(RequestEvent::Connected);
        }
        self.apply(RequestEvent::CallerGone);
    }
}
