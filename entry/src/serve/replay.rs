//! A caller's body that is passed on while its first bytes are retained.
//!
//! A request whose pooled connection turns out to be closed has reached no upstream, but hyper may
//! already have read the first bytes of its body. Since these are retained, the request can be sent
//! again instead of failing.

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

/// Largest size of a body that can be sent again; a larger one is no longer retained.
const MAX_RETAINED_BYTES: usize = 64 * 1024;
/// Number of first bytes of a body that enter the fingerprint of the request.
///
/// One frame may be as large as hyper's read buffer, so this is well below [`MAX_RETAINED_BYTES`]:
/// reading the beginning must not exceed that limit, which would discard it.
const BEGINNING_BYTES: usize = 16 * 1024;

/// A frame that was read from the caller and can be sent more than once.
enum RetainedFrame {
    Data(Bytes),
    Trailers(HeaderMap),
}

/// The caller's body, and the frames of it that are retained.
struct Shared {
    body: CallerBody,
    size_hint: SizeHint,
    retained: Vec<RetainedFrame>,
    retained_bytes: usize,
    is_all_retained: bool,
    is_ended: bool,
}

/// The body; its readers share it, and only the latest one may be read.
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
            retained: Vec::new(),
            retained_bytes: 0,
            is_all_retained: true,
        };
        Self {
            shared: Rc::new(RefCell::new(shared)),
        }
    }

    /// Returns whether a new reader gets the body from its beginning.
    pub(super) fn can_replay(&self) -> bool {
        self.shared.borrow().is_all_retained
    }

    /// Returns the first bytes of the body, which are the same for each client retry.
    ///
    /// # Errors
    ///
    /// Returns the body's error if the caller stops sending.
    pub(super) async fn beginning(&self) -> Result<Vec<u8>, BodyError> {
        std::future::poll_fn(|context| self.shared.borrow_mut().poll_beginning(context)).await?;
        let shared = self.shared.borrow();
        let mut beginning = Vec::new();
        for frame in &shared.retained {
            if let RetainedFrame::Data(data) = frame {
                beginning.extend_from_slice(data);
            }
        }
        beginning.truncate(BEGINNING_BYTES);
        Ok(beginning)
    }

    /// Returns a reader from the beginning; earlier readers must no longer be read.
    pub(super) fn reader(&self) -> ReplayReader {
        ReplayReader {
            shared: Rc::clone(&self.shared),
            next: 0,
        }
    }
}

/// Reads the body once: first the retained frames, then those that the caller still sends.
pub(super) struct ReplayReader {
    shared: Rc<RefCell<Shared>>,
    next: usize,
}

impl Shared {
    /// Reads the caller's body until its beginning is retained or the body ends.
    fn poll_beginning(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        while !self.is_ended && self.retained_bytes < BEGINNING_BYTES {
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(frame) => self.retain(&frame?),
                None => self.is_ended = true,
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Retains a frame; discards all retained ones once they exceed the limit.
    fn retain(&mut self, frame: &Frame<Bytes>) {
        if let Some(data) = frame.data_ref() {
            self.retained_bytes += data.len();
            self.retained.push(RetainedFrame::Data(data.clone()));
        } else if let Some(trailers) = frame.trailers_ref() {
            self.retained
                .push(RetainedFrame::Trailers(trailers.clone()));
        }
        if self.retained_bytes > MAX_RETAINED_BYTES {
            self.is_all_retained = false;
            self.retained.clear();
        }
    }

    /// Returns a copy of a retained frame; `None` beyond the last one.
    fn retained_frame(&self, index: usize) -> Option<Frame<Bytes>> {
        match self.retained.get(index)? {
            RetainedFrame::Data(data) => Some(Frame::data(data.clone())),
            RetainedFrame::Trailers(trailers) => Some(Frame::trailers(trailers.clone())),
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
        if let Some(frame) = shared.retained_frame(this.next) {
            this.next += 1;
            return Poll::Ready(Some(Ok(frame)));
        }
        if shared.is_ended {
            return Poll::Ready(None);
        }
        match ready!(Pin::new(&mut shared.body).poll_frame(context)) {
            Some(Ok(frame)) => {
                if shared.is_all_retained {
                    shared.retain(&frame);
                }
                this.next = shared.retained.len();
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
        shared.is_ended && self.next >= shared.retained.len()
    }

    fn size_hint(&self) -> SizeHint {
        self.shared.borrow().size_hint
    }
}
