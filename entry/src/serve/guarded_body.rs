//! Response bodies that keep something until they have ended.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use http_body::{
    Body,
    Frame,
    SizeHint, //
};

/// A body that keeps a guard until it is dropped.
pub(super) struct GuardedBody<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    pub(super) fn new(body: B, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body + Unpin,
    G: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
