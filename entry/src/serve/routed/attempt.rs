//! One attempt at a replica: its time limits, and the retry budget that a further attempt uses.

use std::{
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    dispatch::{
        Chosen,
        LatencyBaseline, //
    },
    prelude::*,
    retry_budget::RoutedRetryReason, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    super::{
        upstream::SentBytes,
        wait::wait_until, //
    },
    exchange::{
        Answered,
        exchange, //
    },
    execution::RoutedExecution,
    failure::Failure,
    hedge::HedgeStart,
    reservation::Reservation,
};

/// Number of attempts that failed before the request was sent, after which it is refused.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Least time until the deadline for another attempt; a retry with less could not be answered.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

impl RoutedExecution {
    /// Makes one attempt that ends at the request's deadline; hedges the attempt if it is late.
    pub(super) async fn attempt(&mut self, sent: &Rc<SentBytes>) -> Result<Answered, Failure> {
        let Some(reservation) = &self.reservation else {
            return Err(Failure::DeadlinePassed { is_written: false });
        };
        let replica = reservation.replica.clone();
        let started_at = Instant::now();
        let deadline = self.prepared.terms.deadline;
        let late_at = self.late_after().map(|after| started_at + after);
        let late_at = late_at.filter(|late_at| *late_at < deadline);
        let (server, prepared) = (Rc::clone(&self.server), Rc::clone(&self.prepared));
        let mut work = pin!(exchange(&server, &prepared, &replica, sent, None));
        let in_time = match late_at {
            Some(late_at) => wait_until(late_at, work.as_mut()).await,
            None => Ok(wait_until_deadline(deadline, sent, work.as_mut()).await),
        };
        let outcome = match in_time {
            Ok(outcome) => outcome,
            Err(_) => {
                self.record_late(started_at);
                match self.answer_or_hedge(work.as_mut(), started_at).await {
                    HedgeStart::Answered(outcome) => outcome,
                    HedgeStart::Hedged(first) => return self.race(first, work, sent).await,
                    HedgeStart::Alone => wait_until_deadline(deadline, sent, work).await,
                }
            }
        };
        if outcome.is_ok() {
            self.record_first_chunk(started_at);
        }
        outcome
    }

    /// Returns the baseline latency of such requests; `None` if too few responses were seen.
    pub(super) fn latency_baseline(&self, model: Option<&ModelName>) -> Option<LatencyBaseline> {
        self.server
            .latency_baseline(&self.prepared.answer_class(model))
    }

    /// Returns the time after which a missing first chunk counts as late.
    ///
    /// `None` means that the attempt is never late: no further attempt may follow, or no baseline
    /// is known.
    fn late_after(&self) -> Option<Duration> {
        let route = &self.prepared.terms.route;
        if !route.kind.is_repeatable() || self.attempts + 1 >= route.most_attempts {
            return None;
        }
        let model = self.reservation.as_ref()?.replica.model.as_ref();
        let usual = self.latency_baseline(model)?;
        let retries = &self.server.settings.retries;
        let learnt_ms = usual.late_ms * retries.late_factor + retries.late_margin_ms as f64;
        // An engine's latency depends on the prompt's size and on the other requests there.
        let expected_ms = match model {
            Some(_) => self.chosen.expected_ms * retries.expected_factor,
            None => 0.0,
        };
        let after_ms = learnt_ms.max(expected_ms);
        Some(Duration::from_secs_f64(after_ms / 1_000.0))
    }

    /// Records that the current replica is slow, before its response is here.
    ///
    /// A stalled upstream sends no responses, so their times alone would never show its slowness.
    fn record_late(&self, started_at: Instant) {
        if let Some(reservation) = &self.reservation {
            self.record_response_time(reservation, &self.chosen, started_at);
        }
    }

    /// Records the time since the attempt's start as a measure of the replica's slowness.
    pub(super) fn record_response_time(
        &self,
        reservation: &Reservation,
        chosen: &Chosen,
        started_at: Instant,
    ) {
        let took_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
        let usual_ms = chosen.expected_ms / chosen.slowness.max(0.01);
        let now = self.server.clock.now();
        let mut loads = self.server.loads.borrow_mut();
        loads.record_first_event_time(&reservation.replica.id, took_ms, usual_ms, now);
    }

    /// Adds the time since the attempt's start to the latency baseline.
    pub(super) fn record_baseline(&self, reservation: &Reservation, started_at: Instant) {
        let now = self.server.clock.now();
        let replica = &reservation.replica;
        let slowness = self.server.loads.borrow().slowness(&replica.id, now);
        let class = self.prepared.answer_class(replica.model.as_ref());
        let mut latency_baselines = self.server.latency_baselines.borrow_mut();
        latency_baselines.record_latency(&class, started_at.elapsed(), slowness, now);
    }

    /// Returns whether another attempt may follow; withdraws it from the retry budget if it is a
    /// retry.
    pub(super) async fn may_retry(&mut self, failure: &Failure) -> bool {
        match failure {
            // The request was not sent, so a further attempt needs no other retry.
            Failure::NotConnected(_) | Failure::NotAdmitted(_) => {
                self.connect_failures < MAX_CONNECT_FAILURES
                    && !self.is_quarantined()
                    && self.may_get_other_replica()
            }
            Failure::DeadlinePassed { .. } => false,
            Failure::Broken(_) | Failure::Status(_)
                if !self.prepared.terms.route.kind.is_repeatable() =>
            {
                false
            }
            Failure::NotStarted { .. } => {
                self.may_get_other_replica() && self.obtain_retry(RoutedRetryReason::NotRun).await
            }
            Failure::Broken(_) | Failure::Status(_) => {
                self.may_get_other_replica() && self.obtain_retry(RoutedRetryReason::Broken).await
            }
        }
    }

    /// Returns whether enough time is left, and a replica that was not tried can take the request.
    pub(super) fn has_other_replica(&self) -> bool {
        self.has_time() && self.best_replica(&self.server.view.load()).is_some()
    }

    /// Returns whether enough time is left, and another replica is free or may be had by a permit.
    ///
    /// Only for a failed attempt: a late one must not be given up for a permit that may never come.
    fn may_get_other_replica(&self) -> bool {
        self.has_other_replica() || (self.has_time() && self.may_request_permit())
    }

    pub(super) fn has_time(&self) -> bool {
        self.prepared.time_left() >= MIN_TIME_LEFT
    }

    /// Withdraws the next attempt from the retry budget; returns whether it is allowed.
    pub(super) async fn obtain_retry(&mut self, reason: RoutedRetryReason) -> bool {
        if self.ticket.is_none() && self.may_be_retried(self.attempts) {
            let terms = &self.prepared.terms;
            let obtained = self
                .server
                .obtain_retry(&terms.service, reason, terms.deadline);
            self.ticket = obtained.await;
        }
        self.ticket.is_some()
    }

    /// Returns whether the request may be retried after `made` attempts, for all but its budget.
    pub(super) fn may_be_retried(&self, made: u32) -> bool {
        made < self.prepared.terms.route.most_attempts && self.may_run_on_second_upstream()
    }

    /// Keeps the current attempt's retry for the next one: the attempt was not sent.
    pub(super) fn take_back_retry(&mut self) {
        let reservation = self.reservation.as_mut();
        if let Some(ticket) = reservation.and_then(Reservation::take_back_retry) {
            self.ticket = Some(ticket);
        }
    }

    /// Returns whether another replica may be asked for the rest of a stream, if the retry budget
    /// allows it.
    pub(super) fn may_resume(&self) -> bool {
        self.prepared.terms.route.kind.is_repeatable()
            && self.may_get_other_replica()
            && self.may_be_retried(self.attempts)
    }

    /// Withdraws an attempt to resume a stream from the retry budget, if one is at hand.
    ///
    /// A stream that only pauses doesn't wait for a grant: it may go on meanwhile.
    pub(super) fn withdraw_resume(&mut self) -> bool {
        if self.may_resume() {
            let service = &self.prepared.terms.service;
            let reason = RoutedRetryReason::Broken;
            self.ticket = self.server.withdraw_retry(service, reason);
        }
        self.ticket.is_some()
    }

    pub(super) fn record_first_chunk(&mut self, started_at: Instant) {
        self.attempts += 1;
        self.first_chunk = Some(self.prepared.terms.arrived.elapsed());
        self.server
            .counts
            .record_first_chunk(self.prepared.terms.arrived.elapsed());
        let Some(reservation) = &mut self.reservation else {
            return;
        };
        reservation.read();
        reservation.end_trial(true);
        reservation.end_retry();
        if let Some(reservation) = &self.reservation {
            self.record_response_time(reservation, &self.chosen, started_at);
            self.record_baseline(reservation, started_at);
        }
    }
}

/// Waits for an attempt's outcome until the deadline.
pub(super) async fn wait_until_deadline(
    deadline: Instant,
    sent: &SentBytes,
    work: impl Future<Output = Result<Answered, Failure>>,
) -> Result<Answered, Failure> {
    match timeout_at(deadline, work).await {
        Ok(outcome) => outcome,
        Err(_) => {
            let is_written = sent.seal() > 0;
            Err(Failure::DeadlinePassed { is_written })
        }
    }
}
