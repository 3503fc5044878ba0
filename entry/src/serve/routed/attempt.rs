//! One attempt at a replica: how long it is waited for, and what a further one costs.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    super::upstream::SentBytes,
    exchange::{
        Answered,
        Failure,
        exchange, //
    },
    run::RoutedRun,
};

/// The shortest time after which a first event counts as unusually late.
const LEAST_PATIENCE: Duration = Duration::from_millis(900);
/// The same for an answer that is no stream.
const LEAST_PATIENCE_WHOLE: Duration = Duration::from_millis(150);
/// How much more than expected a first event may take before it is unusually late.
const PATIENCE_FACTOR: f64 = 4.0;
/// How often a connection may fail before the request is given up.
const MOST_CONNECTS: u32 = 4;
/// A repeat with less time than this could not be answered.
const LEAST_LEFT: Duration = Duration::from_millis(30);

impl RoutedRun {
    /// Makes one attempt, bounded by the request's time and by patience.
    pub(super) async fn attempt(&mut self, sent: &Rc<SentBytes>) -> Result<Answered, Failure> {
        let Some(reservation) = &self.reservation else {
            return Err(Failure::TimeOver { is_written: false });
        };
        let replica = reservation.replica.clone();
        let began = Instant::now();
        let patience = self.patience();
        let deadline = self.plan.terms.deadline;
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
    pub(super) fn patience(&self) -> Option<Duration> {
        let kind = self.plan.terms.route.kind;
        if !kind.is_repeatable() || self.attempts + 1 >= self.plan.terms.route.most_attempts {
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
    pub(super) fn pay_repeat(&mut self) -> bool {
        self.is_paid = self.pay_for_another(self.attempts + 1);
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
            Failure::Broken(_) | Failure::Status(_) | Failure::Slow(_)
                if !self.plan.terms.route.kind.is_repeatable() =>
            {
                false
            }
            _ => self.may_find_another() && self.pay(self.attempts),
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

    fn has_time(&self) -> bool {
        self.plan.time_left() >= LEAST_LEFT
    }

    /// Pays for an attempt after so many, if one is allowed and a replica is at hand.
    fn pay_for_another(&self, made: u32) -> bool {
        self.can_go_elsewhere() && self.pay(made)
    }

    fn pay(&self, made: u32) -> bool {
        made < self.plan.terms.route.most_attempts
            && self.may_be_repeated()
            && self.server.withdraw_repeat(&self.plan.terms.service)
    }

    /// Decides, and pays, for asking another replica for the rest of a stream.
    pub(super) fn may_resume(&self) -> bool {
        self.plan.terms.route.kind.is_repeatable()
            && self.may_find_another()
            && self.pay(self.attempts)
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
        let took_ms = began.elapsed().as_secs_f64() * 1_000.0;
        let usual_ms = self.expected_ms / self.slowness.max(0.01);
        let id = reservation.replica.id.clone();
        let mut loads = self.server.loads.borrow_mut();
        loads.measured(&id, took_ms, usual_ms, self.server.clock.now());
    }
}
