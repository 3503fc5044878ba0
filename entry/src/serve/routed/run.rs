//! One request on its way: where it goes, and what follows a failed attempt.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::{
    chart::{
        RequestAction,
        RequestEvent, //
    },
    dispatch::{
        Candidate,
        Chosen,
        Outcome,
        Wanted,
        choose, //
    },
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
use tokio::time::{
    Instant,
    timeout_at, //
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
    events::LogEvent,
    exchange::{
        Answered,
        Failure,
        Place,
        exchange,
        replica_name, //
    },
    plan::Plan,
    server::Server,
    stream::{
        PassedBody,
        StreamBody, //
    },
};
use crate::{
    edge::OwnAnswer,
    members::{
        RoutedReplica,
        RoutedView, //
    },
};

/// How often a connection may fail before the request is given up.
const MOST_CONNECTS: u32 = 4;
/// A repeat with less time than this could not be answered.
const LEAST_LEFT: Duration = Duration::from_millis(30);
/// The soonest to come back to a daemon that has no routes yet.
///
/// A whole fleet that starts at once takes 0.9 s until its entries have routes (measured with
/// every VM without power); a caller told to come sooner is only refused again.
const RETRY_NO_ROUTES: Duration = Duration::from_millis(800);
/// How much later others are told to come, so that they do not all come at once.
const RETRY_NO_ROUTES_SPREAD: Duration = Duration::from_millis(500);
/// The part of the time left after which a refused caller should come back.
const RETRY_SHARE: f64 = 0.33;
/// By what part of that the time varies between callers.
const RETRY_SPREAD: f64 = 0.5;
/// The soonest that a refused caller should come back.
const RETRY_LEAST: Duration = Duration::from_millis(60);
/// The shortest time after which a first event counts as unusually late.
const LEAST_PATIENCE: Duration = Duration::from_millis(900);
/// The same for an answer that is no stream.
const LEAST_PATIENCE_WHOLE: Duration = Duration::from_millis(150);
/// How much more than expected a first event may take before it is unusually late.
const PATIENCE_FACTOR: f64 = 4.0;

/// A request from its arrival to its end; dropping it earlier means that its caller left.
pub(super) struct RoutedRun {
    pub(super) server: Rc<Server>,
    pub(super) plan: Rc<Plan>,
    pub(super) place: Option<Place>,
    life: RequestLife,
    tried: Vec<InstanceId>,
    /// Attempts that reached an upstream, the present one included.
    pub(super) attempts: u32,
    connects: u32,
    expected_ms: f64,
    outstanding: f64,
    is_full: bool,
    slowness: f64,
    first_part: Option<Duration>,
    /// Whether the next attempt has been paid for.
    is_paid: bool,
    is_over: bool,
}

/// What is left to do after a failed attempt.
enum Next {
    Again,
    Refuse(RoutedRefusal),
}

impl RoutedRun {
    /// Takes a request in; the charts were checked when the daemon started.
    pub(super) fn new(server: &Rc<Server>, plan: Plan) -> Option<Self> {
        let traits = RequestTraits {
            needs_claim: false,
            is_repeatable: plan.route.kind.is_repeatable(),
        };
        Some(Self {
            server: Rc::clone(server),
            plan: Rc::new(plan),
            place: None,
            life: RequestLife::new(traits).ok()?,
            tried: Vec::new(),
            attempts: 0,
            connects: 0,
            expected_ms: 0.0,
            outstanding: 0.0,
            is_full: false,
            slowness: 1.0,
            first_part: None,
            is_paid: false,
            is_over: false,
        })
    }

    /// Drives the request to the head of its answer.
    pub(super) async fn drive(mut self) -> Response<RoutedBody> {
        self.server.note_request(&self.plan.service);
        if !self.choose() {
            return self.refuse(RoutedRefusal::NoReplica, "no replica can take it now");
        }
        // Where all are full, a request would make every other one late as well. Those
        // that are let in are answered in time, and this one can come back.
        if self.is_full {
            if let Some(place) = self.place.take()
                && let Some(model) = &place.replica.model
            {
                let demand = &self.server.demand;
                demand.refused(&place.replica.service, model);
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
            if let Next::Refuse(reason) = self.failed(&failure, &sent) {
                return self.refuse(reason, &failure.to_string());
            }
        }
    }

    /// Chooses a replica that was not tried, and counts the request there.
    pub(super) fn choose(&mut self) -> bool {
        let view = self.server.view.load_full();
        let Some((replica, chosen)) = self.best(&view) else {
            return false;
        };
        let id = replica.id.clone();
        let now = self.server.clock.now();
        self.slowness = self.server.loads.borrow().slowness(&id, now);
        self.expected_ms = chosen.expected_ms;
        self.outstanding = chosen.outstanding;
        self.is_full = chosen.is_full;
        self.tried.push(id);
        let tokens = self.plan.prompt_tokens();
        self.place = Some(Place::take(&self.server, replica, tokens));
        true
    }

    fn best(&self, view: &RoutedView) -> Option<(RoutedReplica, Chosen)> {
        let plan = &self.plan;
        let table = view.routes.as_ref()?.table();
        let engine = table.engine(&plan.service);
        let model = plan.words.model.as_deref();
        let replicas: Vec<&RoutedReplica> = view
            .replicas_of(&plan.service, model)
            .filter(|replica| !self.tried.contains(&replica.id))
            .collect();
        let candidates: Vec<Candidate<'_>> = replicas
            .iter()
            .map(|replica| Candidate {
                id: &replica.id,
                failure_domain: &replica.failure_domain,
                slots: replica.slots,
                model: engine.and_then(|engine| engine.model(replica.model.as_ref()?)),
                is_suspect: replica.is_suspect,
            })
            .collect();
        let wanted = Wanted {
            home: &self.server.settings.failure_domain,
            prompt_tokens: plan.prompt_tokens(),
            timing: engine.map(|engine| &engine.timing),
            daemons: view.entries,
        };
        let now = self.server.clock.now();
        let mut loads = self.server.loads.borrow_mut();
        loads.told(&view.others_load, view.entries);
        let chosen = choose(&candidates, &wanted, &loads, now, self.server.random())?;
        let replica = (*replicas.get(chosen.index)?).clone();
        Some((replica, chosen))
    }

    /// Makes one attempt, bounded by the request's time and by patience.
    async fn attempt(&mut self, sent: &Rc<SentBytes>) -> Result<Answered, Failure> {
        let Some(place) = &self.place else {
            return Err(Failure::TimeOver { is_written: false });
        };
        let replica = place.replica.clone();
        let began = Instant::now();
        let patience = self.patience();
        let deadline = self.plan.deadline;
        let until = match patience {
            Some(patience) => deadline.min(began + patience),
            None => deadline,
        };
        let (server, plan) = (Rc::clone(&self.server), Rc::clone(&self.plan));
        let work = exchange(&server, &plan, &replica, sent, None);
        let mut work = std::pin::pin!(work);
        let timed = timeout_at(until, work.as_mut()).await;
        let outcome = match timed {
            Ok(outcome) => outcome,
            // Unusually late; given up only for a second attempt that is paid for.
            Err(_) if until < deadline => match self.pay_repeat() {
                true => Err(Failure::Slow(began.elapsed().as_millis())),
                false => match timeout_at(deadline, work).await {
                    Ok(outcome) => outcome,
                    Err(_) => Err(Failure::TimeOver {
                        is_written: sent.seal() > 0,
                    }),
                },
            },
            Err(_) => Err(Failure::TimeOver {
                is_written: sent.seal() > 0,
            }),
        };
        if outcome.is_ok() {
            self.note_first_part(began);
        }
        outcome
    }

    /// Returns after which time a first part is unusually late; `None` to wait for it.
    fn patience(&self) -> Option<Duration> {
        let kind = self.plan.route.kind;
        if !kind.is_repeatable() || self.attempts + 1 >= self.plan.route.most_attempts {
            return None;
        }
        let least = match kind.is_stream() {
            true => LEAST_PATIENCE,
            false => LEAST_PATIENCE_WHOLE,
        };
        let expected = Duration::from_secs_f64(self.expected_ms.max(0.0) / 1_000.0);
        Some(least.max(expected.mul_f64(PATIENCE_FACTOR)))
    }

    /// Pays for another attempt at another replica, if one is allowed.
    ///
    /// What is paid here is not paid again when the attempt is given up.
    fn pay_repeat(&mut self) -> bool {
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        self.is_paid = left >= LEAST_LEFT
            && self.attempts + 1 < self.plan.route.most_attempts
            && self.best(&self.server.view.load()).is_some()
            && self.server.withdraw_repeat(&self.plan.service);
        self.is_paid
    }

    fn note_first_part(&mut self, began: Instant) {
        self.attempts += 1;
        self.first_part = Some(self.plan.arrived.elapsed());
        self.server.counts.first_part(self.plan.arrived.elapsed());
        let Some(place) = &mut self.place else {
            return;
        };
        place.read();
        let took_ms = began.elapsed().as_secs_f64() * 1_000.0;
        let usual_ms = self.expected_ms / self.slowness.max(0.01);
        let id = place.replica.id.clone();
        let mut loads = self.server.loads.borrow_mut();
        loads.measured(&id, took_ms, usual_ms, self.server.clock.now());
    }

    /// Turns an upstream's answer into the caller's, unless another attempt is better.
    fn take(&mut self, answered: Answered) -> Result<Response<RoutedBody>, Failure> {
        let status = match &answered {
            Answered::Whole { head, .. }
            | Answered::Passed { head, .. }
            | Answered::Stream { head, .. } => head.status,
        };
        let is_failure = status.is_server_error();
        if let Some(place) = &self.place {
            place.outcome(match is_failure {
                true => Outcome::Failed,
                false => Outcome::Answered,
            });
        }
        if is_failure && self.plan.route.kind.is_repeatable() {
            // The failure is passed on as it is if no repeat is allowed.
            self.attempts -= 1;
            if self.pay_repeat() {
                return Err(Failure::Status(status));
            }
            self.attempts += 1;
        }
        self.life.apply(RequestEvent::Connected, |_| false);
        self.life.apply(RequestEvent::RequestSent, |_| false);
        self.life.apply(RequestEvent::FirstByte, |_| false);
        Ok(self.pass(answered))
    }

    fn pass(&mut self, answered: Answered) -> Response<RoutedBody> {
        self.server.counts.count(Routed::Answered);
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
            place: self.place.take(),
            life: self.life.clone(),
            tried: std::mem::take(&mut self.tried),
            attempts: self.attempts,
            connects: self.connects,
            expected_ms: self.expected_ms,
            outstanding: self.outstanding,
            is_full: self.is_full,
            slowness: self.slowness,
            first_part: self.first_part,
            is_paid: false,
            is_over: false,
        };
        self.is_over = true;
        left
    }

    /// Takes note of a failed attempt and decides what follows.
    fn failed(&mut self, failure: &Failure, sent: &SentBytes) -> Next {
        // Whatever is still to be written to the failed attempt must not go out.
        let is_written = sent.seal() > 0;
        self.log_failure(failure);
        self.note_outcome(failure);
        let event = match failure {
            Failure::NotConnected(_) => {
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
            Failure::Broken(_) | Failure::Status(_) | Failure::Slow(_) => {
                debug_assert!(is_written || matches!(failure, Failure::Slow(_)));
                self.connected();
                self.attempts += 1;
                RequestEvent::UpstreamFailed
            }
        };
        self.place = None;
        let may_again = self.may_go_again(failure);
        let actions = self
            .life
            .apply(event, |permit| permit == Permit::Retry && may_again);
        if actions.contains(&RequestAction::Connect) && self.choose() {
            self.log_again(failure);
            return Next::Again;
        }
        Next::Refuse(self.refusal_for(failure))
    }

    fn connected(&mut self) {
        self.life.apply(RequestEvent::Connected, |_| false);
        self.life.apply(RequestEvent::RequestSent, |_| false);
    }

    /// Decides, and pays, for another attempt.
    fn may_go_again(&mut self, failure: &Failure) -> bool {
        if std::mem::take(&mut self.is_paid) {
            return true;
        }
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        if left < LEAST_LEFT || self.best(&self.server.view.load()).is_none() {
            return false;
        }
        match failure {
            // Nothing arrived anywhere, so nothing is repeated.
            Failure::NotConnected(_) => self.connects < MOST_CONNECTS,
            Failure::TimeOver { .. } => false,
            Failure::Broken(_) | Failure::Status(_) | Failure::Slow(_)
                if !self.plan.route.kind.is_repeatable() =>
            {
                false
            }
            _ => {
                self.attempts < self.plan.route.most_attempts
                    && self.server.withdraw_repeat(&self.plan.service)
            }
        }
    }

    /// Decides, and pays, for asking another replica for the rest of a stream.
    pub(super) fn may_resume(&self) -> bool {
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        self.plan.route.kind.is_repeatable()
            && left >= LEAST_LEFT
            && self.attempts < self.plan.route.most_attempts
            && self.best(&self.server.view.load()).is_some()
            && self.server.withdraw_repeat(&self.plan.service)
    }

    fn note_outcome(&self, failure: &Failure) {
        let Some(place) = &self.place else {
            return;
        };
        let outcome = match failure {
            Failure::NotStarted { at_fault, .. } if at_fault.is_empty() => Outcome::Full,
            Failure::Status(_) => return,
            Failure::TimeOver { is_written: false } => return,
            _ => Outcome::Broken,
        };
        place.outcome(outcome);
    }

    fn refusal_for(&self, failure: &Failure) -> RoutedRefusal {
        use cicadabend::chart::RequestState;
        match (self.life.state(), failure) {
            (RequestState::RefusedNotRun, Failure::NotConnected(_)) => RoutedRefusal::NotConnected,
            (RequestState::RefusedNotRun, Failure::TimeOver { .. }) => RoutedRefusal::TooLate,
            (RequestState::RefusedNotRun, _) => RoutedRefusal::NotStarted,
            (_, Failure::TimeOver { .. }) => RoutedRefusal::TimedOut,
            _ => RoutedRefusal::OutcomeUnknown,
        }
    }

    /// Answers with an answer of the daemon's own.
    fn refuse(mut self, reason: RoutedRefusal, why: &str) -> Response<RoutedBody> {
        let (status, retry_after) = match reason {
            RoutedRefusal::NoReplica
            | RoutedRefusal::NotConnected
            | RoutedRefusal::NoRoom
            | RoutedRefusal::NotStarted => (
                StatusCode::SERVICE_UNAVAILABLE,
                Some(self.come_back_after()),
            ),
            RoutedRefusal::TooLate => (StatusCode::SERVICE_UNAVAILABLE, None),
            RoutedRefusal::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
            _ => (StatusCode::BAD_GATEWAY, None),
        };
        self.is_over = true;
        self.server.counts.refusal(reason);
        let promises = status == StatusCode::SERVICE_UNAVAILABLE;
        self.server.log(&LogEvent::RequestRefused {
            request: self.plan.id().to_owned(),
            route: self.plan.route.name.clone(),
            reason: format!("{reason:?}"),
            status: status.as_u16(),
            may_have_run: !promises,
            attempts: self.attempts,
            took_ms: self.took_ms(),
            routes: self.plan.routes,
            why: why.to_owned(),
        });
        let answer = OwnAnswer {
            status,
            request_id: self.plan.words.request_id.as_deref(),
            retry_after,
            code: match promises {
                true => "not_run",
                false => "outcome_unknown",
            },
            message: why,
        };
        self.server.edge.own_answer(&answer).map(RoutedBody::whole)
    }

    /// Returns when the caller should come back.
    ///
    /// A caller comes back a few times at the most, so each time should find room: it is
    /// told to use the time that it has, spread so that not all come back at once.
    fn come_back_after(&self) -> Duration {
        let left = self.plan.deadline.saturating_duration_since(Instant::now());
        let spread = (self.server.random() % 1_000) as f64 / 1_000.0;
        let share = RETRY_SHARE * (1.0 - RETRY_SPREAD * spread);
        left.mul_f64(share).max(RETRY_LEAST)
    }

    /// Notes that the whole answer was passed on.
    pub(super) fn ended(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        self.life.apply(RequestEvent::AnswerEnded, |_| false);
        self.server.counts.whole(self.plan.arrived.elapsed());
        let first_ms = self.first_part.unwrap_or_default().as_millis();
        self.server.log(&LogEvent::RequestEnded {
            request: self.plan.id().to_owned(),
            route: self.plan.route.name.clone(),
            team: self
                .plan
                .team
                .as_ref()
                .map_or(String::new(), ToString::to_string),
            replica: self.replica(),
            outcome,
            attempts: self.attempts,
            expected_ms: self.expected_ms as u64,
            outstanding: self.outstanding as u64,
            first_ms: u64::try_from(first_ms).unwrap_or(u64::MAX),
            took_ms: self.took_ms(),
            routes: self.plan.routes,
        });
        self.place = None;
    }

    /// Notes that the answer is lost; the caller sees that it is not whole.
    pub(super) fn lost(&mut self, after_event: Option<u64>, why: &str) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        self.life.apply(RequestEvent::AnswerBroke, |_| false);
        self.server.counts.refusal(RoutedRefusal::StreamBroken);
        self.server.log(&LogEvent::StreamLost {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            after_event: after_event.unwrap_or_default(),
            attempts: self.attempts,
            took_ms: self.took_ms(),
            why: why.to_owned(),
        });
        self.place = None;
    }

    /// Notes that a stream goes on elsewhere: the chart's `resuming`.
    pub(super) fn broke_off(&mut self, after_event: Option<u64>, why: &str) {
        self.life.apply(RequestEvent::AnswerBroke, |_| true);
        self.server.counts.retry(RoutedRetry::StreamBroke);
        if let Some(place) = &self.place {
            place.outcome(Outcome::Broken);
        }
        self.server.log(&LogEvent::StreamBroke {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            after_event: after_event.unwrap_or_default(),
            why: why.to_owned(),
        });
        self.place = None;
    }

    /// Notes that another replica goes on with the stream.
    pub(super) fn resumed(&mut self, after_event: Option<u64>) {
        self.life.apply(RequestEvent::Resumed, |_| true);
        self.server.counts.count(Routed::Resumed);
        if let Some(place) = &mut self.place {
            place.read();
        }
        self.server.log(&LogEvent::StreamResumed {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            after_event: after_event.unwrap_or_default(),
        });
    }

    /// Notes that something of the answer has come.
    pub(super) fn progressed(&self) {
        if let Some(place) = &self.place {
            let now = self.server.clock.now();
            let mut loads = self.server.loads.borrow_mut();
            loads.progressed(&place.replica.id, now);
        }
    }

    /// Returns whether all streams of the replica stand still, and tells so.
    pub(super) fn stands_still(&self, pause: Duration) -> bool {
        let Some(place) = &self.place else {
            return false;
        };
        let now = self.server.clock.now();
        let id = &place.replica.id;
        let stands_still = self.server.loads.borrow_mut().stalled(id, pause, now);
        if stands_still {
            // A full ring loses the notice; the next stream that waits gives another.
            let _ = self.server.stalls.push(id.clone());
        }
        stands_still
    }

    /// Returns the name of the present replica for logs.
    pub(super) fn replica(&self) -> String {
        self.place.as_ref().map_or(String::new(), |place| {
            replica_name(&place.replica.id, place.replica.group.as_ref())
        })
    }

    fn took_ms(&self) -> u64 {
        u64::try_from(self.plan.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn log_failure(&self, failure: &Failure) {
        self.server.log(&LogEvent::AttemptFailed {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            attempt: self.attempts + 1,
            may_have_run: failure.may_have_run(),
            age_ms: self.took_ms(),
            why: failure.to_string(),
        });
    }

    fn log_again(&self, failure: &Failure) {
        let reason = match failure {
            Failure::NotConnected(_) => RoutedRetry::NotConnected,
            Failure::NotStarted { .. } => RoutedRetry::NotStarted,
            Failure::Slow(_) => RoutedRetry::Slow,
            _ => RoutedRetry::Failed,
        };
        self.server.counts.retry(reason);
        self.server.log(&LogEvent::SentAgain {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            attempt: self.attempts + 1,
            reason: format!("{reason:?}"),
        });
    }
}

impl Drop for RoutedRun {
    /// The caller left: hyper drops the request's future or its answer's body.
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.server.counts.count(Routed::CallersLeft);
        self.server.log(&LogEvent::CallerLeft {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            took_ms: self.took_ms(),
        });
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

/// Answers with an answer of the daemon's own to a request that has no plan yet.
pub(super) fn refuse_early(
    server: &Server,
    reason: RoutedRefusal,
    status: StatusCode,
    request_id: Option<&str>,
    message: &str,
) -> Response<RoutedBody> {
    server.counts.refusal(reason);
    server.log(&LogEvent::RequestRefused {
        request: request_id.unwrap_or_default().to_owned(),
        route: String::new(),
        reason: format!("{reason:?}"),
        status: status.as_u16(),
        may_have_run: false,
        attempts: 0,
        took_ms: 0,
        routes: server
            .view
            .load()
            .routes
            .as_ref()
            .map_or(0, |routes| routes.version().0),
        why: message.to_owned(),
    });
    let spread = (server.random() % 1_000) as f64 / 1_000.0;
    let retry_after = RETRY_NO_ROUTES + RETRY_NO_ROUTES_SPREAD.mul_f64(spread);
    let answer = OwnAnswer {
        status,
        request_id,
        retry_after: (status == StatusCode::SERVICE_UNAVAILABLE).then_some(retry_after),
        code: "not_run",
        message,
    };
    let response: Response<Bytes> = server.edge.own_answer(&answer);
    response.map(RoutedBody::whole)
}
