//! Bodies of requests to upstreams and of responses to callers.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use bytes::Bytes;
use cicadabend_daemon::bodies::HeldBody;
use displaydoc::Display;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::{
    sync::mpsc,
    time::{
        Instant,
        Sleep,
        sleep, //
    },
};

use super::{
    event_body::EventBody,
    held_claim::Settling,
    passed_body::PassedBody,
    replay::ReplayReader, //
};

/// Why a body is incomplete.
#[derive(Debug, Display, Error)]
pub(super) enum BodyError {
    /// the sender of the body broke off: {0}
    Broken(#[from] hyper::Error),
    /// the sender of the body paused for too long
    TooSlow,
    /// the body is larger than allowed
    TooLarge,
    /// the response broke off and its rest is lost
    AnswerBroken,
}

/// A body from a caller, passed on without a buffer; its size and its pauses are limited.
pub(super) struct CallerBody {
    incoming: Incoming,
    /// Longest time that the caller may send nothing.
    pause_limit: Duration,
    pause: Pin<Box<Sleep>>,
    /// Bytes that the caller may still send.
    bytes_left: u64,
}

impl CallerBody {
    pub(super) fn new(incoming: Incoming, pause_limit: Duration, limit_bytes: u64) -> Self {
        Self {
            incoming,
            pause_limit,
            pause: Box::pin(sleep(pause_limit)),
            bytes_left: limit_bytes,
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let Poll::Ready(frame) = Pin::new(&mut this.incoming).poll_frame(context) else {
            ready!(this.pause.as_mut().poll(context));
            return Poll::Ready(Some(Err(BodyError::TooSlow)));
        };
        let Some(frame) = frame else {
            return Poll::Ready(None);
        };
        let frame = frame?;
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(left) = this.bytes_left.checked_sub(length) else {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        };
        this.bytes_left = left;
        this.pause.as_mut().reset(Instant::now() + this.pause_limit);
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Polls a body that is completely in memory, and so cannot fail.
pub(super) fn poll_whole(
    whole: &mut Full<Bytes>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let polled = Pin::new(whole).poll_frame(context);
    polled.map_err(|never| match never {})
}

/// A request body that is being sent to an upstream.
pub(super) enum RequestBody {
    /// No body.
    Empty(Full<Bytes>),
    /// A body that is completely in memory.
    Held(HeldReader),
    /// A body that is passed on as the caller sends it; its first bytes can be sent again.
    Replayed(ReplayReader),
}

impl RequestBody {
    pub(super) fn empty() -> Self {
        RequestBody::Empty(Full::default())
    }

    pub(super) fn held(body: &Rc<HeldBody>) -> Self {
        match body.length() {
            0 => Self::empty(),
            length => RequestBody::Held(HeldReader {
                body: Rc::clone(body),
                next: 0,
                left: length,
            }),
        }
    }
}

/// A reader of a body that is in memory, which keeps its room there meanwhile.
pub(super) struct HeldReader {
    body: Rc<HeldBody>,
    /// The index of the next segment.
    next: usize,
    /// Bytes of the segments that are left.
    left: u64,
}

impl HeldReader {
    fn next_frame(&mut self) -> Option<Frame<Bytes>> {
        let segment = self.body.segments().get(self.next)?.clone();
        self.next += 1;
        self.left -= segment.len() as u64;
        Some(Frame::data(segment))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RequestBody::Empty(empty) => poll_whole(empty, context),
            RequestBody::Held(reader) => Poll::Ready(reader.next_frame().map(Ok)),
            RequestBody::Replayed(reader) => Pin::new(reader).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Empty(empty) => empty.is_end_stream(),
            RequestBody::Held(reader) => reader.left == 0,
            RequestBody::Replayed(reader) => reader.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Empty(empty) => empty.size_hint(),
            RequestBody::Held(reader) => SizeHint::with_exact(reader.left),
            RequestBody::Replayed(reader) => reader.size_hint(),
        }
    }
}

/// A response body that is being sent to a caller.
pub(super) enum ResponseBody {
    /// A body that is completely in memory.
    Whole(Full<Bytes>),
    /// A body that is passed on unchanged as the upstream sends it.
    Passed(Box<PassedBody>),
    /// An event stream of which each event is checked, and which is resumed if it breaks off.
    Events(Box<EventBody>),
    /// A body that the task of a detached request relays.
    Relayed(mpsc::Receiver<Result<Frame<Bytes>, BodyError>>),
}

impl ResponseBody {
    pub(super) fn whole(bytes: Bytes) -> Self {
        ResponseBody::Whole(Full::new(bytes))
    }

    /// Takes the claim whose outcome the control daemons are recording, if the last frame started
    /// that.
    pub(super) fn take_settling(&mut self) -> Option<Settling> {
        match self {
            ResponseBody::Passed(body) => body.take_settling(),
            ResponseBody::Events(body) => body.take_settling(),
            ResponseBody::Whole(_) | ResponseBody::Relayed(_) => None,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ResponseBody::Whole(whole) => poll_whole(whole, context),
            ResponseBody::Passed(body) => body.poll_frame(context),
            ResponseBody::Events(body) => body.poll_frame(context),
            ResponseBody::Relayed(frames) => frames.poll_recv(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(whole) => whole.is_end_stream(),
            // The end must be polled: the request's state machine reaches its end by that poll.
            ResponseBody::Passed(_) | ResponseBody::Events(_) | ResponseBody::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(whole) => whole.size_hint(),
            ResponseBody::Passed(body) => body.size_hint(),
            ResponseBody::Events(_) | ResponseBody::Relayed(_) => SizeHint::default(),
        }
    }
}
