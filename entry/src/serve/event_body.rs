//! The body of a streamed response.
//!
//! The caller gets all events in order and from one generation, or else an error event and a
//! broken connection.

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
use cicadabend::{
    caller_api::ErrorCode,
    chart::RequestEvent,
    request::StreamTracker, //
};
use http_body::Frame;
use tokio::time::{
    Instant,
    Sleep,
    sleep, //
};

use super::{
    body::BodyError,
    event_source::{
        AnswerFault,
        Batch,
        EventSource, //
    },
    events::LogEvent,
    exchange::Failure,
    held_claim::Settling,
    response::Refusal,
    resume::{
        self,
        Resuming, //
    },
    run::{
        Next,
        RequestExecution, //
    },
};

/// Time between the error event and the end of the connection.
///
/// hyper drops all data that it has not written yet when a body fails, so the event needs time to
/// be sent.
const ERROR_EVENT_FLUSH_MS: u64 = 20;

/// The source of the next frame of the response.
enum Stage {
    /// The first events, which are in memory, and the source of the others.
    First(Bytes, EventSource),
    /// The connection to the replica.
    Live(EventSource),
    /// None yet: the rest has been requested from the replica.
    Resuming(Resuming),
    /// None: the error event was sent, and the body fails when the timer ends.
    ErrorSent(Pin<Box<Sleep>>),
    /// None: the response has ended or failed.
    Over,
}

/// The body, and the request that it answers.
///
/// Dropping it before its end means that the caller disconnected.
pub(super) struct EventBody {
    stage: Stage,
    run: RequestExecution,
    tracker: StreamTracker,
    silence: Silence,
}

/// Detects that the upstream sent nothing for too long.
///
/// The timer is moved only when it fires, so that each event costs a clock read but no timer
/// update.
struct Silence {
    limit: Duration,
    last: Instant,
    timer: Pin<Box<Sleep>>,
}

impl Silence {
    fn new(limit: Duration) -> Self {
        Self {
            limit,
            last: Instant::now(),
            timer: Box::pin(sleep(limit)),
        }
    }

    /// Records that data arrived; returns the time since the data before.
    fn record_data(&mut self) -> Duration {
        let now = Instant::now();
        let since_last = now.duration_since(self.last);
        self.last = now;
        since_last
    }

    /// Returns whether nothing arrived for the limit.
    fn poll(&mut self, context: &mut Context<'_>) -> bool {
        while self.timer.as_mut().poll(context).is_ready() {
            let end = self.last + self.limit;
            if end <= Instant::now() {
                self.last = Instant::now();
                return true;
            }
            self.timer.as_mut().reset(end);
        }
        false
    }
}

type PolledFrame = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

impl EventBody {
    pub(super) fn new(
        run: RequestExecution,
        first: Bytes,
        source: EventSource,
        tracker: StreamTracker,
    ) -> Self {
        let limit_ms = run.server.settings.callers.first_byte_timeout_ms;
        Self {
            stage: Stage::First(first, source),
            run,
            tracker,
            silence: Silence::new(Duration::from_millis(limit_ms)),
        }
    }

    pub(super) fn poll_frame(&mut self, context: &mut Context<'_>) -> PolledFrame {
        loop {
            let polled = match std::mem::replace(&mut self.stage, Stage::Over) {
                Stage::First(first, source) => {
                    self.run.claim.record_body(&first);
                    self.stage = Stage::Live(source);
                    Some(Poll::Ready(Some(Ok(Frame::data(first)))))
                }
                Stage::Live(source) => self.poll_live(source, context),
                Stage::Resuming(resuming) => self.poll_resuming(resuming, context),
                Stage::ErrorSent(timer) => Some(self.poll_error_sent(timer, context)),
                Stage::Over => Some(Poll::Ready(None)),
            };
            if let Some(polled) = polled {
                return polled;
            }
        }
    }

    /// Polls the connection; returns `None` if the stage has changed and must be polled again.
    fn poll_live(
        &mut self,
        mut source: EventSource,
        context: &mut Context<'_>,
    ) -> Option<PolledFrame> {
        match source.poll_events(&mut self.tracker, context) {
            Poll::Ready(Ok(Batch::Events(events))) => {
                let since_last = self.silence.record_data();
                self.run.record_progress(since_last);
                self.run.claim.record_body(&events);
                if self.tracker.is_done() && self.run.claim.is_held() {
                    self.run.record_delivered(self.tracker.passed());
                }
                self.stage = Stage::Live(source);
                Some(Poll::Ready(Some(Ok(Frame::data(events)))))
            }
            Poll::Ready(Ok(Batch::End)) if self.tracker.is_done() => {
                source.return_to_pool();
                Some(self.finish())
            }
            Poll::Ready(_) if self.tracker.is_done() => Some(self.finish()),
            Poll::Ready(Ok(Batch::End)) => self.handle_break(AnswerFault::EndedEarly.into()),
            Poll::Ready(Err(fault)) => self.handle_break(fault.into()),
            Poll::Pending if self.silence.poll(context) => {
                self.handle_break(Failure::Broken("nothing arrived for too long".to_owned()))
            }
            Poll::Pending => {
                self.stage = Stage::Live(source);
                Some(Poll::Pending)
            }
        }
    }

    fn poll_resuming(
        &mut self,
        mut resuming: Resuming,
        context: &mut Context<'_>,
    ) -> Option<PolledFrame> {
        match resuming.as_mut().poll(context) {
            Poll::Pending => {
                self.stage = Stage::Resuming(resuming);
                Some(Poll::Pending)
            }
            Poll::Ready(Ok(source)) => {
                self.run.apply(RequestEvent::Resumed);
                self.silence.record_data();
                self.stage = Stage::Live(source);
                None
            }
            Poll::Ready(Err(failure)) => self.handle_break(failure),
        }
    }

    fn poll_error_sent(
        &mut self,
        mut timer: Pin<Box<Sleep>>,
        context: &mut Context<'_>,
    ) -> PolledFrame {
        if timer.as_mut().poll(context).is_pending() {
            self.stage = Stage::ErrorSent(timer);
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(BodyError::AnswerBroken)))
    }

    /// Records that the whole response was delivered, and ends the body.
    fn finish(&mut self) -> PolledFrame {
        self.run.record_delivered(self.tracker.passed());
        Poll::Ready(None)
    }

    /// Takes the claim whose outcome the control daemons are recording, once the response has
    /// ended.
    pub(super) fn take_settling(&mut self) -> Option<Settling> {
        self.run.claim.take_settling()
    }

    /// Requests the rest of the response; if that is not allowed, sends the error event.
    fn handle_break(&mut self, failure: Failure) -> Option<PolledFrame> {
        let message = failure.to_string();
        let can_resume = self.tracker.can_resume() && !matches!(failure, Failure::GroupChanged);
        match self.run.record_broken_answer(can_resume, failure) {
            Next::Resume => {
                let position = self.tracker.passed();
                LogEvent::Resuming {
                    request: self.run.spec.caller.request_id.clone(),
                    position,
                    reason: message,
                }
                .emit();
                self.stage = Stage::Resuming(resume::start(&self.run, position)?);
                None
            }
            _ => Some(self.send_error_event(&message)),
        }
    }

    /// Returns the frame with the error event, after which the body fails.
    fn send_error_event(&mut self, message: &str) -> PolledFrame {
        let traits = self.run.spec.traits;
        let message = format!("The response broke off: {message}.");
        let mut refusal = Refusal::new(ErrorCode::AnswerBroken, message);
        refusal.retry_is_safe = traits.is_repeatable || traits.needs_claim;
        refusal.delivered_positions = Some(self.tracker.passed());
        LogEvent::AnswerBroken {
            request: self.run.spec.caller.request_id.clone(),
            delivered: self.tracker.passed(),
            reason: refusal.message.clone(),
        }
        .emit();
        self.run.server.counts.record_refusal(refusal.code);
        let id = self.run.spec.caller.request_id.as_str();
        let body = serde_json::to_string(&refusal.body(id)).unwrap_or_default();
        let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
        let flush = Duration::from_millis(ERROR_EVENT_FLUSH_MS);
        self.stage = Stage::ErrorSent(Box::pin(sleep(flush)));
        Poll::Ready(Some(Ok(Frame::data(event))))
    }
}
