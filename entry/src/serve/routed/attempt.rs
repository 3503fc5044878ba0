//! One attempt at a replica: how long it is waited for, and what a further one costs.

use std::{
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    dispatch::{
        AnswerClass,
        Chosen,
        LatencyBaseline,
        RoutedRetryReason, //
    },
    prelude::*,
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    super::upstream::SentBytes,
    exchange::{
        Answered,
        exchange, //
    },
    failure::Failure,
    reservation::Reservation,
    run::RoutedRun,
};

/// How often a connection may fail before the request is given up.
const MOST_CONNECTS: u32 = 4;
/// A repeat with less time than this could not be answered.
const LEAST_LEFT: Duration = Duration::from_millis(30);

impl RoutedRun {
    /// Makes one attempt, bounded by the request's time; one that is late gets a second beside it.
    pub(super) async fn attempt(&mut self, sent: &Rc<SentBytes>) -> Result<Answered, Failure> {
        let Some(reservation) = &self.reservation else {
            return Err(Failure::TimeOver { is_written: false });
        };
        let replica = reservation.replica.clone();
        let began = Instant::now();
        let deadline = self.plan.terms.deadline;
        let late_at = self.late_after().map(|after| began + after);
        let (server, plan) = (Rc::clone(&self.server), Rc::clone(&self.plan));
        let mut work = pin!(exchange(&server, &plan, &replica, sent, None));
        let until = late_at.map_or(deadline, |late_at| late_at.min(deadline));
        let outcome = match timeout_at(until, work.as_mut()).await {
            Ok(outcome) => outcome,
            Err(_) if until < deadline => {
                self.note_late(began);
                match self.begin_hedge(began) {
                    Some(first) => return self.race(first, work, sent).await,
                    None => within(deadline, sent, work).await,
                }
            }
            Err(_) => Err(time_over(sent)),
        };
        if outcome.is_ok() {
            self.note_first_part(began);
        }
        outcome
    }

    /// Returns the class of the request's answers at replicas of a model.
    fn class(&self, model: Option<&ModelName>) -> AnswerClass {
        AnswerClass {
            service: self.plan.terms.service.clone(),
            model: model.cloned(),
            is_stream: self.plan.terms.route.kind.is_stream(),
        }
    }

    /// Returns how long answers to such requests usually take, if that was learnt.
    pub(super) fn usual(&self, model: Option<&ModelName>) -> Option<LatencyBaseline> {
        self.server.usual(&self.class(model))
    }

    /// Returns after what time a first part is late; `None` to wait for it.
    fn late_after(&self) -> Option<Duration> {
        let route = &self.plan.terms.route;
        if !route.kind.is_repeatable() || self.attempts + 1 >= route.most_attempts {
            return None;
        }
        let model = self.reservation.as_ref()?.replica.model.as_ref();
        let usual = self.usual(model)?;
        let retries = &self.server.settings.retries;
        let learnt_ms = usual.late_ms * retries.late_factor + retries.late_margin_ms as f64;
        // What an engine takes goes by the request's size and by what else runs there.
        let expected_ms = match model {
            Some(_) => self.chosen.expected_ms * retries.expected_factor,
            None => 0.0,
        };
        let after_ms = learnt_ms.max(expected_ms);
        Some(Duration::from_secs_f64(after_ms / 1_000.0))
    }

    /// Takes in that the present replica has not answered for unusually long.
    ///
    /// An upstream that stands still tells nothing by answers, since it gives none.
    fn note_late(&self, began: Instant) {
        if let Some(reservation) = &self.reservation {
            self.measured(reservation, &self.chosen, began);
        }
    }

    /// Takes in how long a replica took, or has taken so far.
    pub(super) fn measured(&self, reservation: &Reservation, chosen: &Chosen, began: Instant) {
        let took_ms = began.elapsed().as_secs_f64() * 1_000.0;
        let usual_ms = chosen.expected_ms / chosen.slowness.max(0.01);
        let now = self.server.clock.now();
        let mut loads = self.server.loads.borrow_mut();
        loads.record_first_event_time(&reservation.replica.id, took_ms, usual_ms, now);
    }

    /// Learns from how long a replica took, or was waited for.
    pub(super) fn learn(&self, reservation: &Reservation, began: Instant) {
        let now = self.server.clock.now();
        let replica = &reservation.replica;
        let slowness = self.server.loads.borrow().slowness(&replica.id, now);
        let class = self.class(replica.model.as_ref());
        let mut usual_times = self.server.usual_times.borrow_mut();
        usual_times.record_latency(&class, began.elapsed(), slowness, now);
    }

    /// Pays for another attempt at another replica, if one is allowed.
    ///
    /// What is paid here is not paid again when the attempt is given up.
    pub(super) fn pay_repeat(&mut self, reason: RoutedRetryReason) -> bool {
        self.is_paid = self.can_go_elsewhere() && self.pay(self.attempts + 1, reason);
        self.is_paid
    }

    /// Decides, and pays, for another attempt.
    pub(super) fn may_go_again(&mut self, failure: &Failure) -> bool {
        if std::mem::take(&mut self.is_paid) {
            return true;
        }
        match failure {
            // Nothing arrived anywhere, so nothing is repeated.
            Failure::NotConnected(_) | Failure::NotAdmitted(_) => {
                self.connects < MOST_CONNECTS && !self.is_quarantined() && self.may_find_another()
            }
            Failure::TimeOver { .. } => false,
            Failure::Broken(_) | Failure::Status(_)
                if !self.plan.terms.route.kind.is_repeatable() =>
            {
                false
            }
            Failure::NotStarted { .. } => {
                self.may_find_another() && self.pay(self.attempts, RoutedRetryReason::NotRun)
            }
            Failure::Broken(_) | Failure::Status(_) => {
                self.may_find_another() && self.pay(self.attempts, RoutedRetryReason::Broken)
            }
        }
    }

    /// Returns whether there is time, and another replica, for a further attempt.
    fn can_go_elsewhere(&self) -> bool {
        self.has_time() && self.best(&self.server.view.load()).is_some()
    }

    /// Returns whether there is time, and another replica at hand or to be had by a permit.
    ///
    /// Only for an attempt that is lost: one that is merely late must not be given up for a
    /// permit that may not come.
    fn may_find_another(&self) -> bool {
        self.can_go_elsewhere() || (self.has_time() && self.may_ask())
    }

    pub(super) fn has_time(&self) -> bool {
        self.plan.time_left() >= LEAST_LEFT
    }

    /// Pays for an attempt after so many, if one is allowed.
    pub(super) fn pay(&self, made: u32, reason: RoutedRetryReason) -> bool {
        made < self.plan.terms.route.most_attempts
            && self.may_be_repeated()
            && self
                .server
                .withdraw_repeat(&self.plan.terms.service, reason)
    }

    /// Decides, and pays, for asking another replica for the rest of a stream.
    pub(super) fn may_resume(&self) -> bool {
        self.plan.terms.route.kind.is_repeatable()
            && self.may_find_another()
            && self.pay(self.attempts, RoutedRetryReason::Broken)
    }

    pub(super) fn note_first_part(&mut self, began: Instant) {
        self.attempts += 1;
        self.first_part = Some(self.plan.terms.arrived.elapsed());
        self.server
            .counts
            .first_part(self.plan.terms.arrived.elapsed());
        let Some(reservation) = &mut self.reservation else {
            return;
        };
        reservation.read();
        reservation.end_trial(true);
        if let Some(reservation) = &self.reservation {
            self.measured(reservation, &self.chosen, began);
            self.learn(reservation, began);
        }
    }
}

/// Waits for an attempt's outcome until the request's time is over.
pub(super) async fn within(
    deadline: Instant,
    sent: &SentBytes,
    work: impl Future<Output = Result<Answered, Failure>>,
) -> Result<Answered, Failure> {
    match timeout_at(deadline, work).await {
        Ok(outcome) => outcome,
        Err(_) => Err(time_over(sent)),
    }
}

fn time_over(sent: &SentBytes) -> Failure {
    let is_written = sent.seal() > 0;
    Failure::TimeOver { is_written }
}
