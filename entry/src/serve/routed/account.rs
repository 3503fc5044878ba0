//! What a request tells while it is on its way: lines of the log, counters, loads.

use std::time::Duration;

use cicadabend::{
    chart::RequestEvent,
    dispatch::Outcome,
    prelude::*, //
};

use super::{
    counts::{
        Routed,
        RoutedRefusal,
        RoutedRetry, //
    },
    events::LogEvent,
    failure::Failure,
    reservation::replica_name,
    run::RoutedRun, //
};

impl RoutedRun {
    /// Notes that the whole answer was passed on.
    pub(super) fn ended(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        self.life.apply(RequestEvent::AnswerEnded, |_| false);
        if self.is_success {
            self.survived();
        }
        self.server.counts.whole(self.plan.terms.arrived.elapsed());
        let first_ms = self.first_part.unwrap_or_default().as_millis();
        self.server.log(&LogEvent::RequestEnded {
            request: self.plan.id().to_owned(),
            route: self.plan.terms.route.name.clone(),
            team: self
                .plan
                .terms
                .team
                .as_ref()
                .map_or(String::new(), ToString::to_string),
            replica: self.replica(),
            outcome,
            attempts: self.attempts,
            expected_ms: self.chosen.expected_ms as u64,
            outstanding: self.chosen.outstanding as u64,
            rate: RequestRate::text(self.rate),
            first_ms: u64::try_from(first_ms).unwrap_or(u64::MAX),
            took_ms: self.took_ms(),
            routes: self.plan.terms.routes,
        });
        self.reservation = None;
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
        self.reservation = None;
    }

    /// Notes that a stream goes on elsewhere: the chart's `resuming`.
    pub(super) fn broke_off(&mut self, after_event: Option<u64>, why: &str) {
        self.life.apply(RequestEvent::AnswerBroke, |_| true);
        self.server.counts.retry(RoutedRetry::StreamBroke);
        if let Some(reservation) = &self.reservation {
            reservation.outcome(Outcome::Broken);
        }
        self.server.log(&LogEvent::StreamBroke {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            after_event: after_event.unwrap_or_default(),
            why: why.to_owned(),
        });
        self.reservation = None;
    }

    /// Notes that another replica goes on with the stream.
    pub(super) fn resumed(&mut self, after_event: Option<u64>) {
        self.life.apply(RequestEvent::Resumed, |_| true);
        self.server.counts.count(Routed::Resumed);
        if let Some(reservation) = &mut self.reservation {
            reservation.read();
            reservation.end_trial(true);
        }
        self.server.log(&LogEvent::StreamResumed {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            after_event: after_event.unwrap_or_default(),
        });
    }

    /// Notes that something of the answer has come.
    pub(super) fn progressed(&self) {
        if let Some(reservation) = &self.reservation {
            let now = self.server.clock.now();
            let mut loads = self.server.loads.borrow_mut();
            loads.record_progress(&reservation.replica.id, now);
        }
    }

    /// Returns whether all streams of the replica stand still, and tells so.
    pub(super) fn stands_still(&self, pause: Duration) -> bool {
        let Some(reservation) = &self.reservation else {
            return false;
        };
        let now = self.server.clock.now();
        let id = &reservation.replica.id;
        let stands_still = self.server.loads.borrow_mut().record_stall(id, pause, now);
        if stands_still {
            // A full ring loses the notice; the next stream that waits gives another.
            let _ = self.server.stalls.push(id.clone());
        }
        stands_still
    }

    /// Returns the name of the present replica for logs.
    pub(super) fn replica(&self) -> String {
        self.reservation
            .as_ref()
            .map_or(String::new(), |reservation| {
                replica_name(&reservation.replica.id, reservation.replica.group.as_ref())
            })
    }

    pub(super) fn took_ms(&self) -> u64 {
        u64::try_from(self.plan.terms.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Tells how the present attempt failed, and what that says of its replica.
    pub(super) fn note_failure(&mut self, failure: &Failure) {
        self.log_failure(failure);
        self.note_outcome(failure);
        match failure {
            Failure::Broken(_) => self.suspect(),
            Failure::NotConnected(_) => self.trail.found_none = true,
            _ => {}
        }
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

    pub(super) fn log_again(&self, reason: RoutedRetry) {
        self.server.counts.retry(reason);
        let model = self.reservation.as_ref();
        let model = model.and_then(|reservation| reservation.replica.model.as_ref());
        let usual = self.usual(model);
        self.server.log(&LogEvent::SentAgain {
            request: self.plan.id().to_owned(),
            replica: self.replica(),
            attempt: self.attempts + 1,
            reason: format!("{reason:?}"),
            typical_ms: usual.map_or(0, |usual| usual.typical_ms as u64),
            late_ms: usual.map_or(0, |usual| usual.late_ms as u64),
            answers: usual.map_or(0, |usual| usual.answers),
            learnt_ms_ago: usual.map_or(0, |usual| usual.age.as_millis()),
            window_left: self.server.repeats_left(&self.plan.terms.service),
        });
    }

    fn note_outcome(&self, failure: &Failure) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        let outcome = match failure {
            Failure::NotStarted { at_fault, .. } if at_fault.is_empty() => {
                match reservation.seems_full() {
                    true => Outcome::Full,
                    false => Outcome::Refused,
                }
            }
            Failure::Status(_)
            | Failure::NotAdmitted(_)
            | Failure::TimeOver { is_written: false } => return,
            _ => Outcome::Broken,
        };
        reservation.outcome(outcome);
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
