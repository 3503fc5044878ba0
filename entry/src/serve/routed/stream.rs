//! Event streams that are passed on as they arrive, and resumed at another replica if they break off
//! or pause.

use std::{
    future::Future,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use cicadabend::reach::SilenceCheck;
use http_body::Frame;
use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};

use super::{
    super::body::BodyError,
    account::PauseCause,
    body::PolledFrame,
    counts::{
        BrokenAnswer,
        Routed, //
    },
    execution::{
        RoutedExecution,
        StreamBreak, //
    },
    resume::{
        Continuation,
        NotResumed,
        PausedStream,
        Resuming,
        resume, //
    },
    source::EventSource,
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
/// Interval at which a stream without its link looks for a retry.
const GRANT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Source of a stream's next events.
enum Stage {
    /// A replica's stream whose first events are already in memory.
    First(RoutedExecution, Bytes, EventSource),
    /// A replica's stream, read from its connection.
    Live(RoutedExecution, EventSource),
    /// The replica that pauses, or another one that is being asked for the events after the last one
    /// passed on, whose number stands here.
    Resuming(Resuming, Option<u64>),
    /// None; the stream was passed on to its end.
    Over,
    /// None; the stream broke off for good.
    Broken,
}

/// An event stream's body with the request that it answers.
///
/// Dropping this before its end ends the request early, as dropping its execution does.
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
                self.silence = SilenceCheck::default();
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
            self.resume_beside(execution, source, timer_delay, why);
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
            self.record_break(&mut execution, last_event, Duration::ZERO, &failure.why);
            execution.reservation = None;
            self.resume(execution, None, last_event, failure.why);
            return None;
        }
        execution.record_answer_lost(last_event, failure.reason, &failure.why);
        Some(Poll::Ready(Some(Err(BodyError::AnswerBroken))))
    }

    /// Asks another replica for the rest of a stream that pauses, and listens to its own meanwhile.
    fn resume_beside(
        &mut self,
        mut execution: RoutedExecution,
        source: EventSource,
        timer_delay: Duration,
        why: &str,
    ) {
        let last_event = source.last_event();
        self.record_break(&mut execution, last_event, timer_delay, why);
        let paused = PausedStream::take(&mut execution, source, self.last_event_at);
        self.resume(execution, paused, last_event, why.to_owned());
    }

    fn record_break(
        &self,
        execution: &mut RoutedExecution,
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
    }

    fn resume(
        &mut self,
        execution: RoutedExecution,
        paused: Option<PausedStream>,
        last_event: Option<u64>,
        why: String,
    ) {
        self.grant_wait = None;
        let resuming = resume(execution, paused, last_event, why);
        self.stage = Stage::Resuming(Box::pin(resuming), last_event);
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
            Poll::Ready((execution, continuation)) => {
                self.handle_continuation(execution, continuation, last_event)
            }
        }
    }

    fn handle_continuation(
        &mut self,
        mut execution: RoutedExecution,
        continuation: Continuation,
        last_event: Option<u64>,
    ) -> Option<PolledFrame> {
        match continuation {
            Continuation::Events(first, Some(source)) => {
                self.last_event_at = Instant::now();
                self.stage = Stage::First(execution, first, source);
                None
            }
            Continuation::Events(_, None) => {
                execution.server.counts.count(Routed::StreamsWhole);
                execution.record_answer_ended("streamed");
                self.stage = Stage::Over;
                None
            }
            Continuation::Waiting(source, failure) => {
                self.wait_on(execution, source, &failure);
                None
            }
            // The next replica must continue after the same event: the caller has those before.
            Continuation::Lost(failure) => match failure.reason {
                BrokenAnswer::NoRetry => {
                    execution.record_answer_lost(last_event, failure.reason, &failure.why);
                    Some(Poll::Ready(Some(Err(BodyError::AnswerBroken))))
                }
                _ => self.resume_or_break(execution, last_event, failure),
            },
        }
    }

    /// Waits on for a replica that pauses, after another one has not taken its stream over; asks a
    /// further one if that is allowed.
    fn wait_on(
        &mut self,
        mut execution: RoutedExecution,
        source: EventSource,
        failure: &NotResumed,
    ) {
        let has_retry = failure.reason != BrokenAnswer::NoRetry;
        if has_retry && execution.may_resume() {
            self.resume_beside(execution, source, Duration::ZERO, &failure.why);
            return;
        }
        execution.ticket = None;
        self.pause_timeout = None;
        self.stage = Stage::Live(execution, source);
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
