//! Runs a request's attempts until the status and headers of its response are known.

use std::rc::Rc;

use cicadabend::{
    chart::{
        RequestAction,
        RequestEvent, //
    },
    dispatch::Outcome,
    request::Permit,
    retry_budget::RoutedRetryReason, //
};
use http::{
    Response,
    StatusCode,
    response::Parts, //
};

use super::{
    super::{
        headers,
        upstream::SentBytes, //
    },
    body::RoutedBody,
    counts::{
        Routed,
        RoutedRefusal, //
    },
    exchange::Answered,
    execution::RoutedExecution,
    failure::Failure,
    held_answer::HeldAnswer,
    passed_body::PassedBody,
    stream::StreamBody,
};

/// An upstream's response with a server error, while another attempt is made.
struct ErrorAnswer {
    parts: Parts,
    body: HeldAnswer,
}

impl ErrorAnswer {
    /// Keeps a response that was read whole; a longer one would hold its connection.
    fn keep(answered: Answered) -> Option<Self> {
        match answered {
            Answered::Whole { parts, body } => Some(Self { parts, body }),
            Answered::Passed { .. } | Answered::Stream { .. } => None,
        }
    }
}

impl RoutedExecution {
    /// Makes attempts until one succeeds or no further one is allowed; returns the response.
    pub(super) async fn drive(mut self) -> Response<RoutedBody> {
        self.server.record_request(&self.prepared.terms.service);
        if !self.passes_quarantine() {
            return self.refuse_quarantined();
        }
        self.record_permit_demand();
        if !self.choose_or_request_permit().await {
            if self.is_quarantined() {
                return self.refuse_quarantined();
            }
            let (reason, why) = self.refusal_without_replica();
            return self.refuse(reason, why);
        }
        // While all replicas are full, another request would delay all others too. Refusing it
        // keeps the admitted ones in time, and its caller can retry later.
        if self.chosen.is_full {
            if let Some(reservation) = self.reservation.take()
                && let Some(model) = &reservation.replica.model
            {
                let mut counts = self.server.demand.counts();
                counts.record_refused(&reservation.replica.service, model);
            }
            return self.refuse(RoutedRefusal::NoRoom, "all replicas are full");
        }
        self.life.apply(RequestEvent::Admitted, |_| false);
        let mut error_answer = None;
        loop {
            let sent = Rc::new(SentBytes::default());
            let outcome = self.attempt(&sent).await;
            let failure = match outcome {
                Ok(answered) => match self.accept_answer(answered, &mut error_answer).await {
                    Ok(response) => return response,
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if !self.handle_failure(&failure, &sent).await || !self.choose_or_request_permit().await
            {
                // The upstream's error tells the caller more than a response made by this daemon.
                if let Some(ErrorAnswer { parts, body }) = error_answer {
                    return self.pass_on(parts.status, Answered::Whole { parts, body });
                }
                let reason = self.refusal_for(&failure);
                return self.refuse(reason, &failure.to_string());
            }
            self.log_retry(failure.retry_reason());
        }
    }

    /// Turns an upstream's response into the caller's, or returns its server error for a retry.
    ///
    /// The response with that error is kept in `error_answer`, since the retry may get none.
    async fn accept_answer(
        &mut self,
        answered: Answered,
        error_answer: &mut Option<ErrorAnswer>,
    ) -> Result<Response<RoutedBody>, Failure> {
        let status = answered.status();
        let is_failure = status.is_server_error();
        if let Some(reservation) = &self.reservation {
            reservation.record_outcome(match is_failure {
                true => Outcome::Failed,
                false => Outcome::Answered,
            });
        }
        if is_failure && self.prepared.terms.route.kind.is_repeatable() {
            // Without a retry, the upstream's error response is passed on unchanged.
            if self.has_other_replica() && self.obtain_retry(RoutedRetryReason::Broken).await {
                self.attempts -= 1;
                *error_answer = ErrorAnswer::keep(answered).or(error_answer.take());
                return Err(Failure::Status(status));
            }
        }
        self.life.apply(RequestEvent::Connected, |_| false);
        self.life.apply(RequestEvent::RequestSent, |_| false);
        self.life.apply(RequestEvent::FirstByte, |_| false);
        Ok(self.pass_on(status, answered))
    }

    fn pass_on(&mut self, status: StatusCode, answered: Answered) -> Response<RoutedBody> {
        self.server.counts.count(Routed::Answered);
        self.is_success = status.is_success();
        match answered {
            Answered::Whole { parts, body } => {
                self.record_answer_ended("answered");
                build_response(parts, RoutedBody::Held(body))
            }
            Answered::Passed {
                parts,
                beginning,
                rest,
            } => {
                let body = PassedBody::new(self.move_into_body(), beginning, rest);
                build_response(parts, RoutedBody::Passed(Box::new(body)))
            }
            Answered::Stream {
                parts,
                first,
                source,
            } => {
                let mut parts = parts;
                // The events may come from several replicas, so their total length is unknown.
                parts.headers.remove(http::header::CONTENT_LENGTH);
                let body = StreamBody::new(self.move_into_body(), first, source);
                build_response(parts, RoutedBody::Stream(Box::new(body)))
            }
        }
    }

    /// Moves the request's state into the response body, which then completes the request.
    fn move_into_body(&mut self) -> RoutedExecution {
        let left = RoutedExecution {
            server: Rc::clone(&self.server),
            prepared: Rc::clone(&self.prepared),
            reservation: self.reservation.take(),
            life: self.life.clone(),
            tried: std::mem::take(&mut self.tried),
            attempts: self.attempts,
            connect_failures: self.connect_failures,
            chosen: self.chosen,
            first_chunk: self.first_chunk,
            ticket: self.ticket.take(),
            is_over: false,
            crash_history: std::mem::take(&mut self.crash_history),
            is_success: self.is_success,
            trial: self.trial.take(),
            is_writing_proven: self.is_writing_proven,
            verdict: self.verdict,
            rate: self.rate,
            first_break: self.first_break.take(),
        };
        self.is_over = true;
        left
    }

    /// Records a failed attempt; returns whether another one is to be made.
    async fn handle_failure(&mut self, failure: &Failure, sent: &SentBytes) -> bool {
        // No more bytes of the failed attempt may be written.
        sent.seal();
        self.record_failure(failure);
        let event = match failure {
            Failure::NotConnected(_) | Failure::NotAdmitted(_) => {
                self.connect_failures += 1;
                self.take_back_retry();
                RequestEvent::ConnectFailed
            }
            Failure::DeadlinePassed { is_written } => {
                if *is_written {
                    self.apply_request_sent();
                    self.attempts += 1;
                }
                RequestEvent::DeadlinePassed
            }
            Failure::NotStarted { .. } => {
                self.apply_request_sent();
                self.attempts += 1;
                RequestEvent::NotStarted
            }
            Failure::Broken(_) | Failure::Status(_) => {
                self.apply_request_sent();
                self.attempts += 1;
                RequestEvent::UpstreamFailed
            }
        };
        self.reservation = None;
        let may_again = self.may_retry(failure).await;
        let actions = self
            .life
            .apply(event, |permit| permit == Permit::Retry && may_again);
        actions.contains(&RequestAction::Connect)
    }

    fn apply_request_sent(&mut self) {
        self.life.apply(RequestEvent::Connected, |_| false);
        self.life.apply(RequestEvent::RequestSent, |_| false);
    }
}

/// Builds the caller's response from the upstream's status and headers, without hop-by-hop headers.
fn build_response(mut parts: Parts, body: RoutedBody) -> Response<RoutedBody> {
    headers::remove_hop_by_hop(&mut parts.headers);
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}
