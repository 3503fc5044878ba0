//! The response bodies of routed requests.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use http_body_util::Full;

use super::{
    super::body::{BodyError, poll_whole},
    held_answer::HeldAnswer,
    passed_body::PassedBody,
    stream::StreamBody,
};

/// What polling a response body for its next frame returns.
pub(super) type PolledFrame = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// A response body that is being sent to a caller.
pub(super) enum RoutedBody {
    /// The body of a response of the daemon's own.
    Own(Full<Bytes>),
    /// An upstream's body that is completely in memory.
    Held(HeldAnswer),
    /// A body that is passed on unchanged as the upstream sends it.
    Passed(Box<PassedBody>),
    /// An event stream, which is resumed at another replica if it breaks off.
    Stream(Box<StreamBody>),
}

impl RoutedBody {
    pub(super) fn from_bytes(bytes: Bytes) -> Self {
        RoutedBody::Own(Full::new(bytes))
    }
}

impl Body for RoutedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RoutedBody::Own(own) => poll_whole(own, context),
            RoutedBody::Held(held) => Poll::Ready(held.next_frame().map(Frame::data).map(Ok)),
            RoutedBody::Passed(body) => body.poll_frame(context),
            RoutedBody::Stream(body) => body.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RoutedBody::Own(own) => own.is_end_stream(),
            RoutedBody::Held(held) => held.is_empty(),
            // The end must be polled, since polling it ends the request's state machine.
            RoutedBody::Passed(_) | RoutedBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RoutedBody::Own(own) => own.size_hint(),
            RoutedBody::Held(held) => SizeHint::with_exact(held.len() as u64),
            RoutedBody::Passed(body) => body.size_hint(),
            RoutedBody::Stream(_) => SizeHint::default(),
        }
    }
}
