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
    RoutedRetryReason, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    super::upstream::SentBytes,
    attempt::within,
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
        if is_full || !self.has_time() || !self.pay(self.attempts + 1, RoutedRetryReason::Late) {
            return None;
        }
        let first = self.take_present(began)?;
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
        let Some(second) = self.take_present(Instant::now()) else {
            return work.await;
        };
        let replica = second.reservation.replica.clone();
        let second_sent = SentBytes::default();
        let (server, plan) = (Rc::clone(&self.server), Rc::clone(&self.plan));
        let mut second_work = pin!(exchange(&server, &plan, &replica, &second_sent, None));
        let deadline = self.plan.terms.deadline;
        let one_ends = async {
            tokio::select! {
                outcome = work.as_mut() => Ended::First(outcome),
                outcome = second_work.as_mut() => Ended::Second(outcome),
            }
        };
        let Ok(ended) = timeout_at(deadline, one_ends).await else {
            self.make_present(second);
            let was_first_written = sent.seal() > 0;
            let is_written = second_sent.seal() > 0 || was_first_written;
            return Err(Failure::TimeOver { is_written });
        };
        match ended {
            Ended::First(outcome) if is_good(&outcome) => self.won(first, second, outcome),
            Ended::Second(outcome) if is_good(&outcome) => self.won(second, first, outcome),
            Ended::First(outcome) => {
                let other = within(deadline, &second_sent, second_work).await;
                self.settle((first, outcome), (second, other))
            }
            Ended::Second(outcome) => {
                let other = within(deadline, sent, work).await;
                self.settle((second, outcome), (first, other))
            }
        }
    }

    /// Passes a good answer on and lets the other attempt go.
    fn won(
        &mut self,
        winner: Runner,
        other: Runner,
        outcome: Result<Answered, Failure>,
    ) -> Result<Answered, Failure> {
        // The second one was waited for too briefly to tell anything.
        if other.began < winner.began {
            self.learn(&other.reservation, other.began);
        }
        self.conclude(winner, outcome)
    }

    /// Decides between an attempt that ended without a good answer and the other one's end.
    fn settle(
        &mut self,
        failed: (Runner, Result<Answered, Failure>),
        other: (Runner, Result<Answered, Failure>),
    ) -> Result<Answered, Failure> {
        let prefers_failed = match (&failed.1, &other.1) {
            (_, outcome) if is_good(outcome) => false,
            // An upstream's own failure says more than none.
            (Ok(_), _) => true,
            (Err(_), Ok(_)) => false,
            // What may have run decides what the caller is told.
            (Err(failure), Err(last)) => failure.may_have_run() && !last.may_have_run(),
        };
        let (kept, lost) = match prefers_failed {
            true => (failed, other),
            false => (other, failed),
        };
        self.note_lost(lost);
        self.conclude(kept.0, kept.1)
    }

    /// Tells that one of two attempts failed, and what that says of its replica.
    fn note_lost(&mut self, (runner, outcome): (Runner, Result<Answered, Failure>)) {
        match outcome {
            Ok(_) => runner.reservation.outcome(Outcome::Failed),
            Err(failure) => {
                self.make_present(runner);
                self.note_failure(&failure);
                self.reservation = None;
            }
        }
    }

    /// Goes on with one of two attempts.
    fn conclude(
        &mut self,
        runner: Runner,
        outcome: Result<Answered, Failure>,
    ) -> Result<Answered, Failure> {
        let began = runner.began;
        self.make_present(runner);
        if outcome.is_ok() {
            self.note_first_part(began);
        }
        outcome
    }

    fn take_present(&mut self, began: Instant) -> Option<Runner> {
        Some(Runner {
            reservation: self.reservation.take()?,
            chosen: self.chosen,
            began,
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
