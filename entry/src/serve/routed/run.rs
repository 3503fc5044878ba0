//! One request on its way: where it goes, and what follows a failed attempt.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    chart::{
        RequestAction,
        RequestEvent, //
    },
    dispatch::{
        Candidate,
        Chosen,
        Outcome,
        RepeatReason,
        Wanted,
        choose, //
    },
    prelude::*,
    quarantine::Standing,
    rates::Verdict,
    registry::InstanceId,
    request::{
        Permit,
        RequestLife,
        RequestTraits, //
    },
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
        RoutedRefusal,
        RoutedRetry, //
    },
    exchange::{
        Answered,
        Failure,
        Reservation, //
    },
    plan::Plan,
    quarantine::{
        CrashTrail,
        Trial, //
    },
    server::Server,
    stream::{
        PassedBody,
        StreamBody, //
    },
};
use crate::members::{
    RoutedReplica,
    RoutedView, //
};

/// A request from its arrival to its end; dropping it earlier means that its caller left.
pub(super) struct RoutedRun {
    pub(super) server: Rc<Server>,
    pub(super) plan: Rc<Plan>,
    pub(super) reservation: Option<Reservation>,
    pub(super) life: RequestLife,
    pub(super) tried: Vec<InstanceId>,
    /// Attempts that reached an upstream, the present one included.
    pub(super) attempts: u32,
    pub(super) connects: u32,
    /// What decided for the present replica.
    pub(super) chosen: Chosen,
    pub(super) first_part: Option<Duration>,
    /// Whether the next attempt has been paid for.
    pub(super) is_paid: bool,
    pub(super) is_over: bool,
    pub(super) trail: CrashTrail,
    /// Whether the answer that is passed on is a success.
    pub(super) is_success: bool,
    pub(super) trial: Option<Trial>,
    /// Whether it may use a permit to send to an upstream that names a rate.
    pub(super) verdict: Verdict,
    /// The rate that the present replica names.
    pub(super) rate: Option<RequestRate>,
}

impl RoutedRun {
    /// Takes a request in; the charts were checked when the daemon started.
    pub(super) fn new(server: &Rc<Server>, plan: Plan) -> Option<Self> {
        let traits = RequestTraits {
            needs_claim: false,
            is_repeatable: plan.terms.route.kind.is_repeatable(),
        };
        Some(Self {
            server: Rc::clone(server),
            plan: Rc::new(plan),
            reservation: None,
            life: RequestLife::new(traits).ok()?,
            tried: Vec::new(),
            attempts: 0,
            connects: 0,
            chosen: Chosen::default(),
            first_part: None,
            is_paid: false,
            is_over: false,
            trail: CrashTrail::default(),
            is_success: false,
            trial: None,
            verdict: Verdict::MayUse,
            rate: None,
        })
    }

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
                counts.refused(&reservation.replica.service, model);
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
            self.log_again(RoutedRetry::after(&failure));
        }
    }

    /// Chooses a replica that was not tried, and counts the request there.
    pub(super) fn choose(&mut self) -> bool {
        let view = self.server.view.load_full();
        let Some((replica, chosen)) = self.best(&view) else {
            return false;
        };
        let id = replica.id.clone();
        self.chosen = chosen;
        let known_crashes = self.known_crashes();
        self.trail.sent(known_crashes, self.tried.is_empty());
        if !self.use_permit(&id, &view) {
            return false;
        }
        self.tried.push(id);
        let tokens = self.plan.prompt_tokens();
        let reservation = Reservation::make(&self.server, replica, tokens);
        self.note_trial(&reservation);
        self.reservation = Some(reservation);
        true
    }

    pub(super) fn best(&self, view: &RoutedView) -> Option<(RoutedReplica, Chosen)> {
        let plan = &self.plan;
        let table = view.routes.as_ref()?.table();
        let engine = table.engine(&plan.terms.service);
        let model = plan.words.model.as_deref();
        let replicas = view
            .replicas_of(&plan.terms.service, model)
            .filter(|replica| !self.tried.contains(&replica.id))
            .filter(|replica| self.is_permitted(replica, view))
            .collect();
        let replicas: Vec<&RoutedReplica> = self.admitted(replicas);
        let candidates: Vec<Candidate<'_>> = replicas
            .iter()
            .map(|replica| Candidate {
                id: &replica.id,
                failure_domain: &replica.failure_domain,
                slots: replica.slots,
                model: engine.and_then(|engine| engine.model(replica.model.as_ref()?)),
                is_suspect: replica.is_suspect,
                uses_permit: view.rates.contains_key(&replica.id),
            })
            .collect();
        let wanted = Wanted {
            home: &self.server.settings.failure_domain,
            prompt_tokens: plan.prompt_tokens(),
            timing: engine.map(|engine| &engine.timing),
            typical_ms: self.usual(None).map(|usual| usual.typical_ms),
            daemons: view.entries,
            keeps_apart: self.trail.is_broken() || self.standing() != Standing::Trusted,
        };
        let now = self.server.clock.now();
        let loads = self.server.loads.borrow();
        let chosen = choose(&candidates, &wanted, &loads, now, self.server.random())?;
        let replica = (*replicas.get(chosen.index)?).clone();
        Some((replica, chosen))
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
            if self.pay_repeat(RepeatReason::Broken) {
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
