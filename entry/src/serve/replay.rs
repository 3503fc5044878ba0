//! A caller's body that passes through, with a short beginning kept.
//!
//! A request whose pooled connection turns out to be closed has reached nobody,
//! but hyper may already have taken the first part of its body. With that part
//! kept, the request goes to another replica instead of failing.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::Bytes;
use http::HeaderMap;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};

use super::body::{
    BodyError,
    CallerBody, //
};

/// How much of a body is kept; a longer one is sent once only.
const KEPT_LIMIT_BYTES: usize = 64 * 1024;
/// How much of a body tells it apart from another one under the same key.
///
/// One frame of a caller may be as large as hyper's read buffer, so this stays well
/// below the limit: the beginning must not push itself out.
const BEGINNING_BYTES: usize = 16 * 1024;

enum Part {
    Data(Bytes),
    Trailers(HeaderMap),
}

struct Shared {
    body: CallerBody,
    size_hint: SizeHint,
    kept: Vec<Part>,
    kept_bytes: usize,
    is_all_kept: bool,
    is_ended: bool,
}

/// The body; all readers share it, one at a time.
#[derive(Clone)]
pub(super) struct Replay {
    shared: Rc<RefCell<Shared>>,
}

impl Replay {
    pub(super) fn new(body: CallerBody) -> Self {
        let shared = Shared {
            size_hint: body.size_hint(),
            is_ended: body.is_end_stream(),
            body,
            kept: Vec::new(),
            kept_bytes: 0,
            is_all_kept: true,
        };
        Self {
            shared: Rc::new(RefCell::new(shared)),
        }
    }

    /// Returns whether a new reader would see the body from its beginning.
    pub(super) fn can_replay(&self) -> bool {
        self.shared.borrow().is_all_kept
    }

    /// Returns the first bytes of the body, the same for every sending of the same body.
    ///
    /// # Errors
    ///
    /// Returns the body's error if the caller stops sending.
    pub(super) async fn beginning(&self) -> Result<Vec<u8>, BodyError> {
        std::future::poll_fn(|context| self.shared.borrow_mut().poll_beginning(context)).await?;
        let shared = self.shared.borrow();
        let mut beginning = Vec::new();
        for part in &shared.kept {
            if let Part::Data(data) = part {
                beginning.extend_from_slice(data);
            }
        }
        beginning.truncate(BEGINNING_BYTES);
        Ok(beginning)
    }

    /// Returns a reader from the beginning; earlier readers must not be read any more.
    pub(super) fn reader(&self) -> ReplayReader {
        ReplayReader {
            shared: Rc::clone(&self.shared),
            next: 0,
        }
    }
}

/// One pass over the body.
pub(super) struct ReplayReader {
    shared: Rc<RefCell<Shared>>,
    next: usize,
}

impl Shared {
    /// Reads until the beginning is kept or the body ends.
    fn poll_beginning(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        while !self.is_ended && self.kept_bytes < BEGINNING_BYTES {
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(frame) => self.keep(&frame?),
                None => self.is_ended = true,
            }
        }
        Poll::Ready(Ok(()))
    }

    fn keep(&mut self, frame: &Frame<Bytes>) {
        if let Some(data) = frame.data_ref() {
            self.kept_bytes += data.len();
            self.kept.push(Part::Data(data.clone()));
        } else if let Some(trailers) = frame.trailers_ref() {
            self.kept.push(Part::Trailers(trailers.clone()));
        }
        if self.kept_bytes > KEPT_LIMIT_BYTES {
            self.is_all_kept = false;
            self.kept.clear();
        }
    }

    fn kept_frame(&self, index: usize) -> Option<Frame<Bytes>> {
        match self.kept.get(index)? {
            Part::Data(data) => Some(Frame::data(data.clone())),
            Part::Trailers(trailers) => Some(Frame::trailers(trailers.clone())),
        }
    }
}

impl Body for ReplayReader {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let mut shared = this.shared.borrow_mut();
        if let Some(frame) = shared.kept_frame(this.next) {
            this.next += 1;
            return Poll::Ready(Some(Ok(frame)));
        }
        if shared.is_ended {
            return Poll::Ready(None);
        }
        match ready!(Pin::new(&mut shared.body).poll_frame(context)) {
            Some(Ok(frame)) => {
                if shared.is_all_kept {
                    shared.keep(&frame);
                }
                this.next = shared.kept.len();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => Poll::Ready(Some(Err(error))),
            None => {
                shared.is_ended = true;
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let shared = self.shared.borrow();
        shared.is_ended && self.next >= shared.kept.len()
    }

    fn size_hint(&self) -> SizeHint {
        self.shared.borrow().size_hint
    }
}
