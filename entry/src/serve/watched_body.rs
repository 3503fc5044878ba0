//! Cancels responses whose caller has stopped reading.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::{
        Rc,
        Weak, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use tokio::time::Instant;

use super::body::{
    BodyError,
    ResponseBody, //
};

/// A response, and the time at which hyper got its last frame.
///
/// The time is `None` while hyper waits for the next frame, since then the caller is not the cause
/// of the pause.
struct Watched {
    /// `None` once the response is cancelled.
    body: Option<ResponseBody>,
    last_frame_at: Option<Instant>,
}

/// All responses that are being sent to callers.
#[derive(Clone, Default)]
pub(super) struct BodyWatch {
    bodies: Rc<RefCell<Vec<Weak<RefCell<Watched>>>>>,
}

impl BodyWatch {
    /// Adds a response to the watched ones.
    pub(super) fn watch(&self, body: ResponseBody) -> WatchedBody {
        let watched = Rc::new(RefCell::new(Watched {
            body: Some(body),
            last_frame_at: None,
        }));
        self.bodies.borrow_mut().push(Rc::downgrade(&watched));
        WatchedBody(watched)
    }

    /// Cancels the responses of which hyper has requested no frame for the limit.
    ///
    /// One stalled stream of an HTTP/2 connection is not visible at the socket, since the other
    /// streams continue. Its request would keep its slot for as long as the connection is open.
    pub(super) fn cancel_stalled(&self, limit: Duration) {
        let now = Instant::now();
        let mut stalled = Vec::new();
        self.bodies.borrow_mut().retain(|body| {
            let Some(watched) = body.upgrade() else {
                return false;
            };
            let mut watched = watched.borrow_mut();
            let is_stalled = watched.last_frame_at.is_some_and(|at| now - at >= limit);
            if is_stalled {
                stalled.push(watched.body.take());
            }
            !is_stalled
        });
        // Dropped last, after the borrow: the end of a request may admit others.
        drop(stalled);
    }
}

/// A response body that the watch can cancel.
pub(super) struct WatchedBody(Rc<RefCell<Watched>>);

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut watched = self.0.borrow_mut();
        let Some(body) = &mut watched.body else {
            return Poll::Ready(Some(Err(BodyError::AnswerBroken)));
        };
        let polled = Pin::new(body).poll_frame(context);
        watched.last_frame_at = polled.is_ready().then(Instant::now);
        polled
    }

    fn is_end_stream(&self) -> bool {
        let watched = self.0.borrow();
        watched.body.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let watched = self.0.borrow();
        watched
            .body
            .as_ref()
            .map(Body::size_hint)
            .unwrap_or_default()
    }
}
