//! A request's way from its arrival to the head of its answer.

use std::rc::Rc;

use cicadabend::{
    chart::{
        RequestAction,
        RequestEvent, //
    },
    dispatch::{
        Outcome,
        RoutedRetryReason, //
    },
    request::Permit,
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
    failure::Failure,
    run::RoutedRun,
    stream::{
        PassedBody,
        StreamBody, //
    },
};

impl RoutedRun {
    /// Drives the request to the head of its answer.
    pub(super) async fn drive(mut self) -> Response<RoutedBody> {
        self.server.note_request(&self.plan.terms.service);
        if !self.passes_quarantine() {
            return self.refuse_quarantined();
        }
        self.note_wish();
        if !self.choose_or_ask().await {
            let (reason, why) = self.refusal_without_replica();
            return self.refuse(reason, why);
        }
        // Where all are full, a request would make every other one late as well. Those
        // that are let in are answered in time, and this one can come back.
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
        loop {
            let sent = Rc::new(SentBytes::default());
            let outcome = self.attempt(&sent).await;
            let failure = match outcome {
                Ok(answered) => match self.take(answered) {
                    Ok(response) => return response,
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if !self.failed(&failure, &sent) || !self.choose_or_ask().await {
                let reason = self.refusal_for(&failure);
                return self.refuse(reason, &failure.to_string());
            }
            self.log_again(failure.retry_reason());
        }
    }

    /// Turns an upstream's answer into the caller's, unless another attempt is better.
    fn take(&mut self, answered: Answered) -> Result<Response<RoutedBody>, Failure> {
        let status = answered.status();
        let is_failure = status.is_server_error();
        if let Some(reservation) = &self.reservation {
            reservation.outcome(match is_failure {
                true => Outcome::Failed,
                false => Outcome::Answered,
            });
        }
        if is_failure && self.plan.terms.route.kind.is_repeatable() {
            // The failure is passed on as it is if no repeat is allowed.
            self.attempts -= 1;
            if self.pay_repeat(RoutedRetryReason::Broken) {
                return Err(Failure::Status(status));
            }
            self.attempts += 1;
        }
        self.life.apply(RequestEvent::Connected, |_| false);
        self.life.apply(RequestEvent::RequestSent, |_| false);
        self.life.apply(RequestEvent::FirstByte, |_| false);
        Ok(self.pass(status, answered))
    }

    fn pass(&mut self, status: StatusCode, answered: Answered) -> Response<RoutedBody> {
        self.server.counts.count(Routed::Answered);
        self.is_success = status.is_success();
        match answered {
            Answered::Whole { head, body } => {
                self.ended("answered");
                respond(head, RoutedBody::whole(body))
            }
            Answered::Passed {
                head,
                beginning,
                rest,
            } => {
                let body = PassedBody::new(self.hand_over(), beginning, rest);
                respond(head, RoutedBody::Passed(Box::new(body)))
            }
            Answered::Stream {
                head,
                first,
                source,
            } => {
                let mut head = head;
                // What is passed on may come from several replicas.
                head.headers.remove(http::header::CONTENT_LENGTH);
                let body = StreamBody::new(self.hand_over(), first, source);
                respond(head, RoutedBody::Stream(Box::new(body)))
            }
        }
    }

    /// Moves the request into the body that answers it.
    fn hand_over(&mut self) -> RoutedRun {
        let left = RoutedRun {
            server: Rc::clone(&self.server),
            plan: Rc::clone(&self.plan),
            reservation: self.reservation.take(),
            life: self.life.clone(),
            tried: std::mem::take(&mut self.tried),
            attempts: self.attempts,
            connects: self.connects,
            chosen: self.chosen,
            first_part: self.first_part,
            is_paid: false,
            is_over: false,
            trail: std::mem::take(&mut self.trail),
            is_success: self.is_success,
            trial: self.trial.take(),
            verdict: self.verdict,
            rate: self.rate,
        };
        self.is_over = true;
        left
    }

    /// Takes note of a failed attempt; returns whether another one may follow.
    fn failed(&mut self, failure: &Failure, sent: &SentBytes) -> bool {
        // Whatever is still to be written to the failed attempt must not go out.
        sent.seal();
        self.note_failure(failure);
        let event = match failure {
            Failure::NotConnected(_) | Failure::NotAdmitted(_) => {
                self.connects += 1;
                RequestEvent::ConnectFailed
            }
            Failure::TimeOver { is_written } => {
                if *is_written {
                    self.connected();
                    self.attempts += 1;
                }
                RequestEvent::DeadlinePassed
            }
            Failure::NotStarted { .. } => {
                self.connected();
                self.attempts += 1;
                RequestEvent::NotStarted
            }
            Failure::Broken(_) | Failure::Status(_) => {
                self.connected();
                self.attempts += 1;
                RequestEvent::UpstreamFailed
            }
        };
        self.reservation = None;
        let may_again = self.may_go_again(failure);
        let actions = self
            .life
            .apply(event, |permit| permit == Permit::Retry && may_again);
        actions.contains(&RequestAction::Connect)
    }

    fn connected(&mut self) {
        self.life.apply(RequestEvent::Connected, |_| false);
        self.life.apply(RequestEvent::RequestSent, |_| false);
    }
}

/// Puts an upstream's head before a body; what concerns one connection only is left out.
fn respond(mut head: Parts, body: RoutedBody) -> Response<RoutedBody> {
    headers::remove_hop_by_hop(&mut head.headers);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
