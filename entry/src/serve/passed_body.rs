//! A response body that is passed on unchanged from the upstream.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use hyper::body::Incoming;

use super::{
    body::BodyError,
    exchange::Failure,
    held_claim::Settling,
    run::RequestExecution,
    upstream::{
        Lease,
        error_with_causes, //
    },
};

/// The body, and the request that it answers.
///
/// Dropping it before its end means that the caller disconnected.
pub(super) struct PassedBody {
    run: RequestExecution,
    incoming: Incoming,
    lease: Option<Lease>,
}

impl PassedBody {
    pub(super) fn new(run: RequestExecution, incoming: Incoming, lease: Lease) -> Self {
        Self {
            run,
            incoming,
            lease: Some(lease),
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }

    pub(super) fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match ready!(Pin::new(&mut self.incoming).poll_frame(context)) {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.run.claim.record_body(data);
                }
                if self.incoming.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.lease = None;
                self.run
                    .record_broken_answer(false, Failure::Broken(error_with_causes(&error)));
                // The error ends the caller's connection before the response's last byte or last
                // HTTP chunk, so that the caller sees that the response is incomplete.
                Poll::Ready(Some(Err(BodyError::AnswerBroken)))
            }
            None => {
                self.finish();
                Poll::Ready(None)
            }
        }
    }

    /// Takes the claim whose outcome the control daemons are recording, once the response has
    /// ended.
    pub(super) fn take_settling(&mut self) -> Option<Settling> {
        self.run.claim.take_settling()
    }

    /// Records that the whole response was delivered, and returns the connection to the pool.
    fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.run.record_delivered(1);
            lease.return_to_pool();
        }
    }
}
