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
    request::StreamTracker, //
};
use http_body::Frame;
use tokio::time::{
    Sleep,
    sleep, //
};

use super::{
    body::BodyError,
    event_source::EventSource,
    event_sources::{
        Arrival,
        EventSources, //
    },
    events::LogEvent,
    exchange::Failure,
    held_claim::Settling,
    response::Refusal,
    resume,
    run::{
        MAX_RESUMES_WITHOUT_PROGRESS,
        Next,
        RequestExecution, //
    },
    silence::Silence,
};

/// Time between the error event and the end of the connection.
///
/// hyper drops all data that it has not written yet when a body fails, so the event needs time to
/// be sent.
const ERROR_EVENT_FLUSH_MS: u64 = 20;
/// Number of time limits without any data after which a response is given up although a connection
/// is still open.
///
/// Each request for the rest has had one of them.
const MAX_SILENT_SPANS: u32 = MAX_RESUMES_WITHOUT_PROGRESS + 1;

/// The source of the next frame of the response.
enum Stage {
    /// The first events, which are in memory.
    First(Bytes),
    /// The connections to the replica.
    Live,
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
    sources: EventSources,
    run: RequestExecution,
    tracker: StreamTracker,
    silence: Silence,
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
        let mut sources = EventSources::default();
        sources.open(source);
        Self {
            stage: Stage::First(first),
            sources,
            run,
            tracker,
            silence: Silence::new(Duration::from_millis(limit_ms)),
        }
    }

    pub(super) fn poll_frame(&mut self, context: &mut Context<'_>) -> PolledFrame {
        loop {
            let polled = match std::mem::replace(&mut self.stage, Stage::Over) {
                Stage::First(first) => {
                    self.run.claim.record_body(&first);
                    self.stage = Stage::Live;
                    Some(Poll::Ready(Some(Ok(Frame::data(first)))))
                }
                Stage::Live => {
                    self.stage = Stage::Live;
                    self.poll_live(context)
                }
                Stage::ErrorSent(timer) => Some(self.poll_error_sent(timer, context)),
                Stage::Over => Some(Poll::Ready(None)),
            };
            if let Some(polled) = polled {
                return polled;
            }
        }
    }

    /// Polls the connections; returns `None` if they have changed and must be polled again.
    fn poll_live(&mut self, context: &mut Context<'_>) -> Option<PolledFrame> {
        match self.sources.poll(&mut self.tracker, context) {
            Poll::Ready(Arrival::Next(events)) => {
                let since_last = self.silence.record_data();
                self.run.record_progress(since_last);
                self.run.claim.record_body(&events);
                if self.tracker.is_done() && self.run.claim.is_held() {
                    self.run.record_delivered(self.tracker.passed());
                }
                Some(Poll::Ready(Some(Ok(Frame::data(events)))))
            }
            Poll::Ready(Arrival::Comments(comments)) => {
                self.silence.record_data();
                self.run.claim.record_body(&comments);
                Some(Poll::Ready(Some(Ok(Frame::data(comments)))))
            }
            Poll::Ready(Arrival::RestBegan) => {
                self.silence.restart();
                None
            }
            Poll::Ready(Arrival::End) => Some(self.finish()),
            // A newer request for the rest is still under way.
            Poll::Ready(Arrival::Failed {
                was_newest: false, ..
            }) => None,
            Poll::Ready(Arrival::Failed { failure, .. }) => self.handle_break(failure),
            Poll::Pending if self.silence.poll(context) => self.handle_silence(),
            Poll::Pending => Some(Poll::Pending),
        }
    }

    /// Requests the rest of the response while its connections stay open, or gives it up after the
    /// last request for it.
    fn handle_silence(&mut self) -> Option<PolledFrame> {
        if self.silence.silent_spans() >= MAX_SILENT_SPANS {
            self.sources = EventSources::default();
        }
        self.handle_break(Failure::Broken("nothing arrived for too long".to_owned()))
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
        self.stage = Stage::Over;
        self.run.record_delivered(self.tracker.passed());
        Poll::Ready(None)
    }

    /// Takes the claim whose outcome the control daemons are recording, once the response has
    /// ended.
    pub(super) fn take_settling(&mut self) -> Option<Settling> {
        self.run.claim.take_settling()
    }

    /// Requests the rest of the response; if that is not allowed and no connection is left, sends the
    /// error event.
    fn handle_break(&mut self, failure: Failure) -> Option<PolledFrame> {
        let message = failure.to_string();
        let can_resume = self.tracker.can_resume() && !matches!(failure, Failure::GroupChanged);
        let may_request = can_resume && self.run.may_resume();
        if !may_request && !self.sources.is_empty() {
            return None;
        }
        match self.run.record_broken_answer(can_resume, failure) {
            Next::Resume => {
                let position = self.tracker.passed();
                LogEvent::Resuming {
                    request: self.run.spec.caller.request_id.clone(),
                    position,
                    reason: message,
                }
                .emit();
                let Some(resuming) = resume::start(&self.run, position) else {
                    return Some(self.send_error_event("the request has no replica"));
                };
                self.silence.restart();
                self.sources.request(resuming);
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
