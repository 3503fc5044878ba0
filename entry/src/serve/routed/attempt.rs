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
        let took_ms = began.elapsed().as_secs_f64() * 1_000.0;
        let usual_ms = self.expected_ms / self.slowness.max(0.01);
        let id = reservation.replica.id.clone();
        let mut loads = self.server.loads.borrow_mut();
        loads.measured(&id, took_ms, usual_ms, self.server.clock.now());
    }
}
