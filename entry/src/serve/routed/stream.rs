//! Response bodies that are passed on as they arrive; broken streams are resumed elsewhere.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use cicadabend::{
    reach::SilenceCheck,
    retry_budget::RoutedRetryReason, //
};
use http_body::{
    Frame,
    SizeHint, //
};
use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};

use super::{
    super::{
        body::BodyError,
        upstream::SentBytes, //
    },
    account::PauseCause,
    counts::{
        BrokenAnswer,
        Routed,
        RoutedRetry, //
    },
    exchange::{
        Answered,
        exchange, //
    },
    execution::{
        RoutedExecution,
        StreamBreak, //
    },
    failure::Failure,
    source::{
        AnswerRest,
        EventSource, //
    },
};
use crate::members::GrantWait;

/// Shortest pause between events after which another replica is asked for the rest of a stream.
const MIN_PAUSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Multiple of the route's objective for pauses; a longer pause counts as a broken stream.
const PAUSE_TIMEOUT_FACTOR: f64 = 2.0;
/// Factor that prolongs the pause timeout if only this stream of its replica pauses.
///
/// The replica still works then, so waiting is better than moving the stream elsewhere.
const SINGLE_STREAM_FACTOR: u32 = 3;
/// Longest time for another replica to send the next event of a stream.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which a stream without its link looks for a retry.
const GRANT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

type PolledFrame = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// An upstream's response body that is passed on unchanged.
pub(super) struct PassedBody {
    execution: RoutedExecution,
    beginning: Option<Bytes>,
    rest: Option<AnswerRest>,
}

impl PassedBody {
    pub(super) fn new(execution: RoutedExecution, beginning: Bytes, rest: AnswerRest) -> Self {
        Self {
            execution,
            beginning: Some(beginning),
            rest: Some(rest),
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }

    pub(super) fn poll_frame(&mut self, context: &mut Context<'_>) -> PolledFrame {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        match rest.poll_data(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(Err(why))) => {
                self.rest = None;
                self.execution.record_broken_off();
                let ended_by = BrokenAnswer::UpstreamBroke;
                self.execution.record_answer_lost(None, ended_by, &why);
                // The error closes the caller's connection without the last HTTP chunk, so the
                // caller can't mistake the truncated body for a complete one.
                Poll::Ready(Some(Err(BodyError::AnswerBroken)))
            }
            Poll::Ready(None) => {
                if let Some(rest) = self.rest.take() {
                    rest.return_to_pool();
                }
                self.execution.record_answer_ended("answered");
                Poll::Ready(None)
            }
        }
    }
}

/// The first events of a resumed stream, and the source of the rest; `None` if it ends there.
type ResumedStream = (Bytes, Option<EventSource>);

/// Why a stream was not resumed, and the reason by which it counts if it is lost.
struct NotResumed {
    reason: BrokenAnswer,
    why: String,
}

impl NotResumed {
    fn new(reason: BrokenAnswer, why: impl Into<String>) -> Self {
        Self {
            reason,
            why: why.into(),
        }
    }
}

type Resuming = Pin<Box<dyn Future<Output = (RoutedExecution, Result<ResumedStream, NotResumed>)>>>;

/// Source of a stream's next events.
enum Stage {
    /// A replica's stream whose first events are already in memory.
    First(RoutedExecution, Bytes, EventSource),
    /// A replica's stream, read from its connection.
    Live(RoutedExecution, EventSource),
    /// None yet: another replica is being asked for the events after the last one passed on, whose
    /// number stands here.
    Resuming(Resuming, Option<u64>),
    /// None; the stream was passed on to its end.
    Over,
    /// None; the stream broke off for good.
    Broken,
}

/// An event stream's body with the request that it answers.
///
/// Dropping this before its end means that the caller left.
pub(super) struct StreamBody {
    stage: Stage,
    deadline: Instant,
    pause_timeout: Option<Duration>,
    last_event_at: Instant,
    /// Whether this stream paused while other streams of its replica progressed.
    waits_alone: bool,
    /// Asks for a retry while the stream's link is lost and none is at hand.
    grant_wait: Option<GrantWait>,
    timer: Pin<Box<Sleep>>,
    silence: SilenceCheck,
}

impl StreamBody {
    pub(super) fn new(execution: RoutedExecution, first: Bytes, source: EventSource) -> Self {
        let deadline = execution.prepared.terms.deadline;
        let objective = execution
            .prepared
            .terms
            .route
            .gap_objective_ms
            .unwrap_or_default();
        let objective = Duration::from_millis(objective);
        let is_idempotent = execution.prepared.terms.route.kind.is_repeatable();
        let pause_timeout = is_idempotent.then(|| {
            let objective_timeout = objective.mul_f64(PAUSE_TIMEOUT_FACTOR);
            MIN_PAUSE_TIMEOUT.max(objective_timeout)
        });
        let last_event_at = Instant::now();
        let due = pause_timeout.map_or(deadline, |pause_timeout| {
            deadline.min(last_event_at + pause_timeout)
        });
        Self {
            stage: Stage::First(execution, first, source),
            deadline,
            pause_timeout,
            last_event_at,
            waits_alone: false,
            grant_wait: None,
            timer: Box::pin(sleep_until(due)),
            silence: SilenceCheck::default(),
        }
    }

    pub(super) fn poll_frame(&mut self, context: &mut Context<'_>) -> PolledFrame {
        loop {
            let polled = match std::mem::replace(&mut self.stage, Stage::Broken) {
                Stage::First(execution, first, source) => {
                    self.stage = Stage::Live(execution, source);
                    Some(Poll::Ready(Some(Ok(Frame::data(first)))))
                }
                Stage::Live(execution, source) => self.poll_live(execution, source, context),
                Stage::Resuming(resuming, last_event) => {
                    self.poll_resuming(resuming, last_event, context)
                }
                Stage::Over => {
                    self.stage = Stage::Over;
                    Some(Poll::Ready(None))
                }
                Stage::Broken => Some(Poll::Ready(Some(Err(BodyError::AnswerBroken)))),
            };
            if let Some(polled) = polled {
                return polled;
            }
        }
    }

    fn poll_live(
        &mut self,
        mut execution: RoutedExecution,
        mut source: EventSource,
        context: &mut Context<'_>,
    ) -> Option<PolledFrame> {
        match source.poll_events(context) {
            Poll::Ready(Some(Ok(events))) => {
                self.last_event_at = Instant::now();
                execution.record_progress(source.relay());
                self.stage = Stage::Live(execution, source);
                Some(Poll::Ready(Some(Ok(Frame::data(events)))))
            }
            Poll::Ready(None) => {
                source.return_to_pool();
                execution.server.counts.count(Routed::StreamsWhole);
                execution.record_answer_ended("streamed");
                self.stage = Stage::Over;
                Some(Poll::Ready(None))
            }
            Poll::Ready(Some(Err(why))) => {
                execution.record_broken_off();
                let failure = NotResumed::new(BrokenAnswer::UpstreamBroke, why);
                self.resume_or_break(execution, source.last_event(), failure)
            }
            Poll::Pending => match self.poll_lateness(context) {
                Lateness::No => {
                    self.stage = Stage::Live(execution, source);
                    Some(Poll::Pending)
                }
                Lateness::Pause(timer_delay) => {
                    self.handle_pause(execution, source, timer_delay);
                    None
                }
                Lateness::DeadlinePassed => {
                    let ended_by = BrokenAnswer::DeadlinePassed;
                    let why = "the deadline passed";
                    execution.record_answer_lost(source.last_event(), ended_by, why);
                    Some(Poll::Ready(Some(Err(BodyError::AnswerBroken))))
                }
            },
        }
    }

    /// Moves a stream that pauses elsewhere, or decides how long to wait for its next event.
    ///
    /// `timer_delay` is by how much the pause was noticed too late.
    fn handle_pause(
        &mut self,
        mut execution: RoutedExecution,
        source: EventSource,
        timer_delay: Duration,
    ) {
        let pause = self.last_event_at.elapsed();
        let cause = execution.report_pause(pause, source.relay());
        if cause == PauseCause::StreamAlone && !self.waits_alone {
            // Other streams of the replica progress, so the replica still works.
            self.waits_alone = true;
            self.pause_timeout = self
                .pause_timeout
                .map(|timeout| timeout * SINGLE_STREAM_FACTOR);
        } else if execution.withdraw_resume() {
            let why = "no event arrived within the pause timeout";
            self.resume(execution, source.last_event(), timer_delay, why);
            return;
        } else if cause == PauseCause::LinkLost && execution.may_resume() {
            // Nothing more will come by the lost link, so the stream asks for a retry meanwhile.
            let service = &execution.prepared.terms.service;
            self.grant_wait = execution.server.request_grant(service);
            self.pause_timeout = Some(pause + GRANT_CHECK_INTERVAL);
        } else {
            // No other replica may resume the stream, but its own may still continue.
            self.pause_timeout = None;
        }
        self.stage = Stage::Live(execution, source);
    }

    /// Returns whether the stream is late.
    ///
    /// The timer is reset only when it fires, not at each event.
    fn poll_lateness(&mut self, context: &mut Context<'_>) -> Lateness {
        loop {
            if self.timer.as_mut().poll(context).is_pending() {
                return Lateness::No;
            }
            let now = Instant::now();
            if now >= self.deadline {
                return Lateness::DeadlinePassed;
            }
            let pause_ends = self
                .pause_timeout
                .map(|pause_timeout| self.last_event_at + pause_timeout);
            if pause_ends.is_some_and(|ends| now >= ends) {
                let timer_delay = now.duration_since(self.timer.deadline());
                let Some(time_to_read) = self.silence.record_timer(timer_delay) else {
                    return Lateness::Pause(timer_delay);
                };
                self.timer.as_mut().reset(now + time_to_read);
                continue;
            }
            let due = pause_ends.map_or(self.deadline, |ends| ends.min(self.deadline));
            self.timer.as_mut().reset(due);
        }
    }

    /// Asks another replica for the rest, or ends the response with an error that the caller sees.
    fn resume_or_break(
        &mut self,
        mut execution: RoutedExecution,
        last_event: Option<u64>,
        failure: NotResumed,
    ) -> Option<PolledFrame> {
        if execution.may_resume() {
            self.resume(execution, last_event, Duration::ZERO, &failure.why);
            return None;
        }
        execution.record_answer_lost(last_event, failure.reason, &failure.why);
        Some(Poll::Ready(Some(Err(BodyError::AnswerBroken))))
    }

    fn resume(
        &mut self,
        mut execution: RoutedExecution,
        last_event: Option<u64>,
        timer_delay: Duration,
        why: &str,
    ) {
        execution.record_stream_broken(StreamBreak {
            replica: execution.current_replica_name(),
            after_event: last_event,
            pause: self.last_event_at.elapsed(),
            timer_delay,
            why: why.to_owned(),
        });
        self.grant_wait = None;
        let why = why.to_owned();
        self.stage = Stage::Resuming(Box::pin(resume(execution, last_event, why)), last_event);
    }

    fn poll_resuming(
        &mut self,
        mut resuming: Resuming,
        last_event: Option<u64>,
        context: &mut Context<'_>,
    ) -> Option<PolledFrame> {
        match resuming.as_mut().poll(context) {
            Poll::Pending => {
                self.stage = Stage::Resuming(resuming, last_event);
                Some(Poll::Pending)
            }
            Poll::Ready((mut execution, Ok((first, source)))) => {
                self.last_event_at = Instant::now();
                match source {
                    Some(source) => {
                        self.stage = Stage::First(execution, first, source);
                        None
                    }
                    None => {
                        execution.record_answer_ended("streamed");
                        self.stage = Stage::Over;
                        None
                    }
                }
            }
            // The next replica must continue after the same event: the caller has those before.
            Poll::Ready((mut execution, Err(failure))) => match failure.reason {
                BrokenAnswer::NoRetry => {
                    execution.record_answer_lost(last_event, failure.reason, &failure.why);
                    Some(Poll::Ready(Some(Err(BodyError::AnswerBroken))))
                }
                _ => self.resume_or_break(execution, last_event, failure),
            },
        }
    }
}

/// Why a stream is late, if it is.
enum Lateness {
    /// The stream isn't late.
    No,
    /// No event arrived within the pause timeout, whose timer fired this much too late.
    Pause(Duration),
    /// The request's deadline has passed.
    DeadlinePassed,
}

/// Asks another replica for the events after `last_event`, once the retry budget allows it; `why` is
/// why the stream broke off.
async fn resume(
    mut execution: RoutedExecution,
    last_event: Option<u64>,
    why: String,
) -> (RoutedExecution, Result<ResumedStream, NotResumed>) {
    if !execution.obtain_retry(RoutedRetryReason::Broken).await {
        let failure = NotResumed::new(BrokenAnswer::NoRetry, why);
        return (execution, Err(failure));
    }
    execution
        .server
        .counts
        .count_retry(RoutedRetry::StreamBroke);
    execution.attempts += 1;
    let outcome = ask_for_rest(&mut execution, last_event).await;
    (execution, outcome)
}

/// Asks a replica that was not tried for the events after `last_event`.
async fn ask_for_rest(
    execution: &mut RoutedExecution,
    last_event: Option<u64>,
) -> Result<ResumedStream, NotResumed> {
    let is_chosen = execution.choose_or_request_permit().await;
    let reservation = execution.reservation.as_ref().filter(|_| is_chosen);
    let Some(replica) = reservation.map(|reservation| reservation.replica.clone()) else {
        let why = "no other replica can resume the stream";
        return Err(NotResumed::new(BrokenAnswer::NoReplica, why));
    };
    let sent = SentBytes::default();
    let prepared = Rc::clone(&execution.prepared);
    let server = Rc::clone(&execution.server);
    let until = prepared.terms.deadline.min(Instant::now() + RESUME_TIMEOUT);
    let work = exchange(&server, &prepared, &replica, &sent, last_event);
    match tokio::time::timeout_at(until, work).await {
        Ok(Ok(Answered::Stream { first, source, .. })) => {
            execution.record_resumed(last_event);
            Ok((first, Some(source)))
        }
        // An empty success means that the stream's last event has already been passed on.
        Ok(Ok(Answered::Whole { parts, body })) if parts.status.is_success() && body.is_empty() => {
            execution.record_resumed(last_event);
            Ok((body, None))
        }
        Ok(Ok(_)) => {
            let why = "another replica could not resume the stream";
            Err(NotResumed::new(BrokenAnswer::ResumeFailed, why))
        }
        Ok(Err(failure)) => {
            if !failure.is_sent() {
                execution.take_back_retry();
            }
            if matches!(failure, Failure::Broken(_)) {
                execution.record_broken_off();
            }
            let why = failure.to_string();
            Err(NotResumed::new(BrokenAnswer::ResumeFailed, why))
        }
        Err(_) => {
            let why = "another replica did not resume the stream in time";
            Err(NotResumed::new(BrokenAnswer::ResumeLate, why))
        }
    }
}
