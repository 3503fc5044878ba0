//! Answers whose caller stopped reading.

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
    BodyError, //
    ResponseBody,
};

/// An answer, and since when hyper has had a part of it without asking for the next.
struct Watched {
    body: Option<ResponseBody>,
    handed_at: Option<Instant>,
}

/// All answers that are being passed on.
#[derive(Clone, Default)]
pub(super) struct BodyWatch {
    bodies: Rc<RefCell<Vec<Weak<RefCell<Watched>>>>>,
}

impl BodyWatch {
    /// Watches an answer from now on.
    pub(super) fn watch(&self, body: ResponseBody) -> WatchedBody {
        let watched = Rc::new(RefCell::new(Watched {
            body: Some(body),
            handed_at: None,
        }));
        self.bodies.borrow_mut().push(Rc::downgrade(&watched));
        WatchedBody(watched)
    }

    /// Gives up the answers of which nothing was taken for the limit.
    ///
    /// One stopped stream of an HTTP/2 connection is not seen at the socket: the
    /// others go on. Its request would keep its slot as long as the connection stands.
    pub(super) fn cancel_stalled(&self, limit: Duration) {
        let now = Instant::now();
        let mut stopped = Vec::new();
        self.bodies.borrow_mut().retain(|body| {
            let Some(watched) = body.upgrade() else {
                return false;
            };
            let mut watched = watched.borrow_mut();
            let is_stopped = watched.handed_at.is_some_and(|at| now - at >= limit);
            if is_stopped {
                stopped.push(watched.body.take());
            }
            !is_stopped
        });
        // Dropped last: the end of a request may start others.
        drop(stopped);
    }
}

/// A body that can be given up from outside.
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
        watched.handed_at = polled.is_ready().then(Instant::now);
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
