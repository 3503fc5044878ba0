//! One request on its way: its life, its attempt, and the actions that the chart asks for.

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
    admission_desk::Admission,
    answer::Refusal,
    attempt::Attempt,
    counts::Serving,
    events::LogEvent,
    exchange::Failure,
    figures::Outcome,
    held_claim::HeldClaim,
    server::Server,
    spec::Spec, //
};

/// How often the rest of an answer is asked for without getting any of it.
const RESUME_LIMIT: u32 = 4;

/// What the driver of the request has to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Next {
    /// Nothing; the request is where it was.
    Wait,
    /// Ask for the claim that lets the request run.
    Claim,
    /// Wait until the claim is given back.
    Withdraw,
    /// Answer what the first copy of the request got, or that it runs.
    AnswerDuplicate,
    /// Connect to the attempt's replica after a delay.
    Connect {
        /// Spreads the retries of requests that failed together.
        delay: Duration,
    },
    /// No replica can take the request.
    NoReplica,
    /// Pass the answer on.
    Pass,
    /// Ask for the rest of the answer.
    Resume,
    /// Answer that the request did not run.
    AnswerNotRun,
    /// Answer that the request may have run.
    AnswerOutcomeUnknown,
    /// End the answer so that the caller sees that it is not whole.
    AnswerBroken,
    /// The request's life is over.
    Over,
}

/// A request from its admission to its end; dropping it earlier means that its caller left.
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
    /// Takes a request in.
    pub(super) fn new(server: &Rc<Server>, spec: Spec) -> Result<Self, Refusal> {
        let life = RequestLife::new(spec.traits).map_err(|error| {
            // The charts are checked when the daemon starts, so this is never reached.
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

    /// Takes an event, does what can be done at once, and returns the rest.
    pub(super) fn apply(&mut self, event: RequestEvent) -> Next {
        let mut delay = Duration::ZERO;
        let situation = self.retry_situation();
        let resume = self.can_resume && self.resumes_without_progress < RESUME_LIMIT;
        let server = Rc::clone(&self.server);
        let spec = Rc::clone(&self.spec);
        let actions = self.life.apply(event, |permit| match permit {
            Permit::Resume => resume,
            Permit::Retry => spec.can_replay() && retry::may_retry(&server, situation, &mut delay),
        });
        let mut next = Next::Wait;
        for action in actions {
            next = self.act(*action, delay).unwrap_or(next);
        }
        if self.life.is_over() {
            self.finish();
        }
        if next == Next::Wait && self.life.is_over() {
            next = Next::Over;
        }
        next
    }

    /// Carries out one action; returns what is left for the driver.
    fn act(&mut self, action: RequestAction, delay: Duration) -> Option<Next> {
        match action {
            RequestAction::ChooseAnother => {
                self.server.counts.retry(self.retry_reason());
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
                self.claim.keep(&self.server.claims, id);
            }
            RequestAction::CompleteClaim => self.claim.complete(&self.server.claims),
            RequestAction::SendRequest => {}
        }
        None
    }

    /// Gives the request's place back, and adds it to the figures of its policy.
    fn finish(&mut self) {
        self.admission = None;
        let Some(policy) = self.policy.take() else {
            return;
        };
        let mut figures = self.server.figures.borrow_mut();
        match self.life.state() {
            RequestState::Done => figures.add(&self.spec.service, policy, &self.outcome),
            // That the caller left says nothing of the policy.
            RequestState::Cancelled => {}
            _ => {
                self.outcome.has_failed = true;
                figures.add(&self.spec.service, policy, &self.outcome);
            }
        }
    }

    /// Ends all writing of the present attempts; returns whether any byte was written.
    pub(super) fn seal(&self) -> bool {
        let attempts = self.attempt.iter().chain(&self.hedge);
        let written = attempts.map(|attempt| attempt.sent.seal()).sum::<u64>();
        written > 0
    }

    /// Notes why the attempt failed and what that means for the request.
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
            | Failure::GroupGone
            | Failure::FailedByUpstream { .. }
            | Failure::Invalid(_) => RequestEvent::UpstreamFailed,
        };
        let is_written = failure.may_have_run() || matches!(failure, Failure::NotStarted { .. });
        if let Some(attempt) = self.attempt.as_ref().filter(|_| failure.is_by_replica()) {
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

    /// Notes that the first part of an answer is here.
    pub(super) fn record_first_chunk(&mut self) -> Next {
        self.outcome.first_token = self.sent_at.elapsed();
        let first_token = self.outcome.first_token;
        let mut times = self.server.times.borrow_mut();
        times.record(&self.spec.service, first_token);
        drop(times);
        self.server.counts.first_token(first_token);
        self.apply(RequestEvent::Connected);
        self.apply(RequestEvent::RequestSent);
        self.apply(RequestEvent::FirstByte)
    }

    /// Notes that the answer broke off; `can_resume` says whether its rest can be asked for.
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

    /// Notes that part of the answer came, so long after the part before.
    pub(super) fn record_progress(&mut self, since_last: Duration) {
        self.outcome.between_tokens.count(since_last);
        self.resumes_without_progress = 0;
    }

    /// Returns how often the rest was asked for since something last came.
    pub(super) fn resumes_without_progress(&self) -> u32 {
        self.resumes_without_progress
    }

    /// Notes that the whole answer was delivered; once, however often it is told.
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
            self.server.counts.between_tokens(streaming / (gaps - 1));
        }
        self.apply(RequestEvent::AnswerEnded);
    }

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

    /// Notes that the claim was not granted.
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
        self.server.counts.claim_refusal(&refusal);
        self.refusal = HeldClaim::refusal(&refusal);
        self.claim.refused(refusal);
        self.apply(event)
    }

    /// Notes that no majority could be told that the claim was given back.
    pub(super) fn record_claim_not_withdrawn(&mut self, attempt: u64) -> Next {
        self.server.counts.count(Serving::ClaimsNotWithdrawn);
        self.server.log_claim(&LogEvent::ClaimNotWithdrawn {
            request: self.spec.caller.request_id.clone(),
            attempt,
        });
        self.refusal = Some(HeldClaim::not_withdrawn());
        self.apply(RequestEvent::ClaimNotWithdrawn)
    }

    /// Refuses the request with this error.
    pub(super) fn refuse(&mut self, refusal: Refusal) -> Next {
        self.refusal = Some(refusal);
        self.apply(RequestEvent::Refused)
    }
}

impl Drop for RequestExecution {
    /// The caller left: hyper drops the request's future or its answer's body.
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
