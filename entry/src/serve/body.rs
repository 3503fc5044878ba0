//! Bodies of requests to upstreams and of answers to callers.

use std::{
    future::Future,
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use bytes::Bytes;
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

/// Why a body ended before its end.
#[derive(Debug, Display, Error)]
pub(super) enum BodyError {
    /// the sender of the body broke off: {0}
    Broken(#[from] hyper::Error),
    /// the sender of the body paused for too long
    TooSlow,
    /// the body is larger than allowed
    TooLarge,
    /// the answer broke off and its rest is lost
    AnswerBroken,
}

/// A body from a caller; pauses and size are limited, nothing is buffered.
pub(super) struct CallerBody {
    incoming: Incoming,
    pause_limit: Duration,
    pause: Pin<Box<Sleep>>,
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

/// Polls a body that is here already, which cannot fail.
pub(super) fn poll_whole(
    whole: &mut Full<Bytes>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let polled = Pin::new(whole).poll_frame(context);
    polled.map_err(|never| match never {})
}

/// A body on its way to an upstream.
pub(super) enum RequestBody {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// It passes through as the caller sends it.
    Replayed(ReplayReader),
}

impl RequestBody {
    pub(super) fn whole(bytes: Bytes) -> Self {
        RequestBody::Whole(Full::new(bytes))
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
            RequestBody::Whole(whole) => poll_whole(whole, context),
            RequestBody::Replayed(reader) => Pin::new(reader).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Whole(whole) => whole.is_end_stream(),
            RequestBody::Replayed(reader) => reader.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Whole(whole) => whole.size_hint(),
            RequestBody::Replayed(reader) => reader.size_hint(),
        }
    }
}

/// A body on its way to a caller.
pub(super) enum ResponseBody {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// It passes through as the upstream sends it.
    Passed(Box<PassedBody>),
    /// It is a stream of events, each of which is checked.
    Events(Box<EventBody>),
    /// It comes from a request that goes on without its caller.
    Relayed(mpsc::Receiver<Result<Frame<Bytes>, BodyError>>),
}

impl ResponseBody {
    pub(super) fn whole(bytes: Bytes) -> Self {
        ResponseBody::Whole(Full::new(bytes))
    }

    /// Returns the claim that is being settled since the last frame was taken, once.
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
            // The end must be polled, so that the request's life ends with it.
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
