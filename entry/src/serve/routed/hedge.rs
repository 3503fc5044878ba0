//! A slow attempt and a hedge beside it: the first good response is passed on.

use std::{
    future::Future,
    pin::{
        Pin,
        pin, //
    },
    rc::Rc,
};

use cicadabend::{
    dispatch::{
        Chosen,
        Outcome, //
    },
    retry_budget::RoutedRetryReason,
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    super::upstream::SentBytes,
    attempt::wait_until_deadline,
    counts::RoutedRetry,
    exchange::{
        Answered,
        exchange, //
    },
    execution::RoutedExecution,
    failure::Failure,
    reservation::Reservation,
};
use crate::members::RoutedReplica;

/// One of two attempts that run at the same time.
pub(super) struct HedgedAttempt {
    reservation: Reservation,
    chosen: Chosen,
    started_at: Instant,
}

impl HedgedAttempt {
    pub(super) fn replica(&self) -> &RoutedReplica {
        &self.reservation.replica
    }
}

/// The attempt that finished first, with its outcome.
enum FinishedFirst {
    First(Result<Answered, Failure>),
    Second(Result<Answered, Failure>),
}

/// What follows an attempt that has become late.
pub(super) enum HedgeStart {
    /// The attempt has ended before a hedge could begin.
    Answered(Result<Answered, Failure>),
    /// A hedge has begun beside this attempt.
    Hedged(HedgedAttempt),
    /// No hedge may begin.
    Alone,
}

impl RoutedExecution {
    /// Begins a hedge beside a late attempt, unless that ends first.
    pub(super) async fn answer_or_hedge<W>(
        &mut self,
        work: Pin<&mut W>,
        started_at: Instant,
    ) -> HedgeStart
    where
        W: Future<Output = Result<Answered, Failure>>,
    {
        if !self.may_hedge() {
            return HedgeStart::Alone;
        }
        let (server, prepared) = (Rc::clone(&self.server), Rc::clone(&self.prepared));
        let terms = &prepared.terms;
        self.ticket = tokio::select! {
            biased;
            outcome = work => return HedgeStart::Answered(outcome),
            ticket = server.obtain_retry(&terms.service, RoutedRetryReason::Late, terms.deadline)
                => ticket,
        };
        match self.begin_hedge(started_at) {
            Some(first) => HedgeStart::Hedged(first),
            None => HedgeStart::Alone,
        }
    }

    /// Returns whether a hedge may begin if the retry budget allows it.
    ///
    /// No hedge may begin if no other replica has room or a permit, the time or the attempts are used
    /// up, or the request is suspected of several crashes.
    fn may_hedge(&self) -> bool {
        let best = self.best_replica(&self.server.view.load());
        let has_room = best.is_some_and(|(_, chosen)| !chosen.is_full);
        has_room && self.has_time() && self.may_be_retried(self.attempts + 1)
    }

    /// Chooses a replica for a hedge beside a slow attempt; returns the slow attempt, or `None` for
    /// no hedge.
    fn begin_hedge(&mut self, started_at: Instant) -> Option<HedgedAttempt> {
        self.ticket.as_ref()?;
        let first = self.take_current(started_at)?;
        if !self.choose_replica() {
            self.ticket = None;
            self.set_current(first);
            return None;
        }
        self.attempts += 1;
        self.log_retry(RoutedRetry::Late);
        Some(first)
    }

    /// Waits for the first good response of two attempts, and drops the other attempt, which closes
    /// its connection.
    pub(super) async fn race<W>(
        &mut self,
        first: HedgedAttempt,
        mut work: Pin<&mut W>,
        sent: &SentBytes,
    ) -> Result<Answered, Failure>
    where
        W: Future<Output = Result<Answered, Failure>>,
    {
        let Some(second) = self.take_current(Instant::now()) else {
            return work.await;
        };
        let replica = second.reservation.replica.clone();
        let second_sent = SentBytes::default();
        let (server, prepared) = (Rc::clone(&self.server), Rc::clone(&self.prepared));
        let mut second_work = pin!(exchange(&server, &prepared, &replica, &second_sent, None));
        let deadline = self.prepared.terms.deadline;
        let first_to_finish = async {
            tokio::select! {
                outcome = work.as_mut() => FinishedFirst::First(outcome),
                outcome = second_work.as_mut() => FinishedFirst::Second(outcome),
            }
        };
        let Ok(ended) = timeout_at(deadline, first_to_finish).await else {
            self.set_current(second);
            let was_first_written = sent.seal() > 0;
            let is_written = second_sent.seal() > 0 || was_first_written;
            return Err(Failure::DeadlinePassed { is_written });
        };
        match ended {
            FinishedFirst::First(outcome) if is_good_answer(&outcome) => {
                self.accept_winner(first, second, outcome)
            }
            FinishedFirst::Second(outcome) if is_good_answer(&outcome) => {
                self.accept_winner(second, first, outcome)
            }
            FinishedFirst::First(outcome) => {
                let other = wait_until_deadline(deadline, &second_sent, second_work).await;
                self.choose_outcome((first, outcome), (second, other))
            }
            FinishedFirst::Second(outcome) => {
                let other = wait_until_deadline(deadline, sent, work).await;
                self.choose_outcome((second, outcome), (first, other))
            }
        }
    }

    /// Continues with the attempt that has a good response, and drops the other one.
    fn accept_winner(
        &mut self,
        winner: HedgedAttempt,
        other: HedgedAttempt,
        outcome: Result<Answered, Failure>,
    ) -> Result<Answered, Failure> {
        // A slow first attempt counts for the latency baseline; a hedge that was started later ran
        // too briefly to tell anything.
        if other.started_at < winner.started_at {
            self.record_baseline(&other.reservation, other.started_at);
        }
        self.continue_with(winner, outcome)
    }

    /// Chooses which of two finished attempts to continue with; the first one got no good response.
    fn choose_outcome(
        &mut self,
        failed: (HedgedAttempt, Result<Answered, Failure>),
        other: (HedgedAttempt, Result<Answered, Failure>),
    ) -> Result<Answered, Failure> {
        let prefers_failed = match (&failed.1, &other.1) {
            (_, outcome) if is_good_answer(outcome) => false,
            // An upstream's error response tells the caller more than no response.
            (Ok(_), _) => true,
            (Err(_), Ok(_)) => false,
            // If either attempt may have run, the caller must learn that.
            (Err(failure), Err(last)) => failure.may_have_run() && !last.may_have_run(),
        };
        let (preferred, lost) = match prefers_failed {
            true => (failed, other),
            false => (other, failed),
        };
        self.record_failed_attempt(lost);
        self.continue_with(preferred.0, preferred.1)
    }

    /// Records the failure of the attempt that is not continued with.
    fn record_failed_attempt(
        &mut self,
        (attempt, outcome): (HedgedAttempt, Result<Answered, Failure>),
    ) {
        match outcome {
            Ok(_) => attempt.reservation.record_outcome(Outcome::Failed),
            Err(failure) => {
                self.set_current(attempt);
                self.record_failure(&failure);
                if !failure.is_sent() {
                    self.take_back_retry();
                }
                self.reservation = None;
            }
        }
    }

    /// Makes one of the two attempts the request's current one, and returns its outcome.
    fn continue_with(
        &mut self,
        attempt: HedgedAttempt,
        outcome: Result<Answered, Failure>,
    ) -> Result<Answered, Failure> {
        let started_at = attempt.started_at;
        self.set_current(attempt);
        if outcome.is_ok() {
            self.record_first_chunk(started_at);
        }
        outcome
    }

    pub(super) fn take_current(&mut self, started_at: Instant) -> Option<HedgedAttempt> {
        Some(HedgedAttempt {
            reservation: self.reservation.take()?,
            chosen: self.chosen,
            started_at,
        })
    }

    pub(super) fn set_current(&mut self, attempt: HedgedAttempt) {
        self.reservation = Some(attempt.reservation);
        self.chosen = attempt.chosen;
    }
}

/// Returns whether an attempt got a response other than a server error.
fn is_good_answer(outcome: &Result<Answered, Failure>) -> bool {
    outcome
        .as_ref()
        .is_ok_and(|answered| !answered.status().is_server_error())
}
