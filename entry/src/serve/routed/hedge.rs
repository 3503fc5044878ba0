//! A late attempt and a second one beside it: the first good answer is passed on.

use std::{
    future::Future,
    pin::{
        Pin,
        pin, //
    },
    rc::Rc,
};

use cicadabend::dispatch::{
    Chosen,
    Outcome,
    RepeatReason, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    super::upstream::SentBytes,
    counts::RoutedRetry,
    exchange::{
        Answered,
        exchange, //
    },
    failure::Failure,
    reservation::Reservation,
    run::RoutedRun,
};

/// One of two attempts that are waited for together.
pub(super) struct Runner {
    reservation: Reservation,
    chosen: Chosen,
    began: Instant,
}

/// How one of them ended.
enum Ended {
    First(Result<Answered, Failure>),
    Second(Result<Answered, Failure>),
}

impl RoutedRun {
    /// Chooses a second replica for an attempt that is late, if one may be asked; returns the
    /// first.
    pub(super) fn begin_hedge(&mut self, began: Instant) -> Option<Runner> {
        let is_full = self.best(&self.server.view.load())?.1.is_full;
        if is_full || !self.pay_for_another(self.attempts + 1, RepeatReason::Late) {
            return None;
        }
        let first = Runner {
            reservation: self.reservation.take()?,
            chosen: self.chosen,
            began,
        };
        if !self.choose() {
            self.make_present(first);
            return None;
        }
        self.attempts += 1;
        self.log_again(RoutedRetry::Late);
        Some(first)
    }

    /// Waits for the first good answer of two attempts; the other one is let go.
    pub(super) async fn race<W>(
        &mut self,
        first: Runner,
        mut work: Pin<&mut W>,
        sent: &SentBytes,
    ) -> Result<Answered, Failure>
    where
        W: Future<Output = Result<Answered, Failure>>,
    {
        let Some(second) = self.take_present() else {
            return work.await;
        };
        let replica = second.reservation.replica.clone();
        let second_sent = SentBytes::default();
        let (server, plan) = (Rc::clone(&self.server), Rc::clone(&self.plan));
        let mut second_work = pin!(exchange(&server, &plan, &replica, &second_sent, None));
        let deadline = self.plan.terms.deadline;
        let time_over = || {
            let was_first_written = sent.seal() > 0;
            let is_written = second_sent.seal() > 0 || was_first_written;
            Err(Failure::TimeOver { is_written })
        };
        let one_ends = async {
            tokio::select! {
                outcome = work.as_mut() => Ended::First(outcome),
                outcome = second_work.as_mut() => Ended::Second(outcome),
            }
        };
        let Ok(ended) = timeout_at(deadline, one_ends).await else {
            self.make_present(second);
            return time_over();
        };
        match ended {
            Ended::First(outcome) if is_good(&outcome) => self.won(first, second, outcome),
            Ended::Second(outcome) if is_good(&outcome) => self.won(second, first, outcome),
            Ended::First(outcome) => {
                let other = timeout_at(deadline, second_work).await;
                self.settle(
                    (first, outcome),
                    (second, other.unwrap_or_else(|_| time_over())),
                )
            }
            Ended::Second(outcome) => {
                let other = timeout_at(deadline, work).await;
                self.settle(
                    (second, outcome),
                    (first, other.unwrap_or_else(|_| time_over())),
                )
            }
        }
    }

    /// Passes a good answer on; what the other attempt was waited for is learnt from.
    fn won(
        &mut self,
        winner: Runner,
        other: Runner,
        outcome: Result<Answered, Failure>,
    ) -> Result<Answered, Failure> {
        self.learn(&other.reservation, other.began);
        let began = winner.began;
        self.make_present(winner);
        self.note_first_part(began);
        outcome
    }

    /// Decides between an attempt that ended without a good answer and the other one's end.
    fn settle(
        &mut self,
        (failed, outcome): (Runner, Result<Answered, Failure>),
        (other, other_outcome): (Runner, Result<Answered, Failure>),
    ) -> Result<Answered, Failure> {
        if is_good(&other_outcome) {
            self.note_failed(failed, &outcome);
            let began = other.began;
            self.make_present(other);
            self.note_first_part(began);
            return other_outcome;
        }
        match (outcome, other_outcome) {
            // An upstream's own failure says more than none.
            (Ok(answered), failure) => {
                self.note_failed(other, &failure);
                let began = failed.began;
                self.make_present(failed);
                self.note_first_part(began);
                Ok(answered)
            }
            // What may have run decides what the caller is told.
            (Err(failure), Err(last)) if failure.may_have_run() && !last.may_have_run() => {
                self.note_failed(other, &Err(last));
                self.make_present(failed);
                Err(failure)
            }
            (outcome, other_outcome) => {
                self.note_failed(failed, &outcome);
                let began = other.began;
                self.make_present(other);
                if other_outcome.is_ok() {
                    self.note_first_part(began);
                }
                other_outcome
            }
        }
    }

    /// Tells that one of two attempts failed, and what that says of its replica.
    fn note_failed(&mut self, runner: Runner, outcome: &Result<Answered, Failure>) {
        let present = self.take_present();
        self.make_present(runner);
        match outcome {
            Ok(_) => {
                if let Some(reservation) = &self.reservation {
                    reservation.outcome(Outcome::Failed);
                }
            }
            Err(failure) => self.note_failure(failure),
        }
        self.reservation = None;
        if let Some(present) = present {
            self.make_present(present);
        }
    }

    fn take_present(&mut self) -> Option<Runner> {
        Some(Runner {
            reservation: self.reservation.take()?,
            chosen: self.chosen,
            began: Instant::now(),
        })
    }

    fn make_present(&mut self, runner: Runner) {
        self.reservation = Some(runner.reservation);
        self.chosen = runner.chosen;
    }
}

/// Returns whether an attempt gave an answer that is no failure of its upstream's own.
fn is_good(outcome: &Result<Answered, Failure>) -> bool {
    outcome
        .as_ref()
        .is_ok_and(|answered| !answered.status().is_server_error())
}
