//! The bodies of a relay's responses.

use std::{
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame, //
};
use http_body_util::Full;

use super::{
    super::body::{
        BodyError,
        poll_whole, //
    },
    relay_state::RelayedRequest,
    reservation::Reservation,
    server::Server,
    source::AnswerRest, //
};

/// The body of a relay's response.
pub(super) enum RelayBody {
    /// Nothing: the response is the relay's own.
    Empty(Full<Bytes>),
    /// The upstream's response body.
    Passed(Box<PassedAnswer>),
}

/// An upstream's response body that is passed on unchanged.
pub(super) struct PassedAnswer {
    rest: Option<AnswerRest>,
    server: Rc<Server>,
    reservation: Reservation,
    _counted: RelayedRequest,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RelayBody::Empty(empty) => poll_whole(empty, context),
            RelayBody::Passed(passed) => passed.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, RelayBody::Empty(_))
    }
}

impl PassedAnswer {
    pub(super) fn new(
        server: &Rc<Server>,
        rest: AnswerRest,
        reservation: Reservation,
        counted: RelayedRequest,
    ) -> Self {
        Self {
            rest: Some(rest),
            server: Rc::clone(server),
            reservation,
            _counted: counted,
        }
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        match rest.poll_data(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(data))) => {
                self.server.record_heard(&self.reservation.replica);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(_))) => {
                self.rest = None;
                // The error closes the connection before the body's end, so that the daemon that
                // asked can't mistake it for complete.
                Poll::Ready(Some(Err(BodyError::AnswerBroken)))
            }
            Poll::Ready(None) => {
                if let Some(rest) = self.rest.take() {
                    rest.return_to_pool();
                }
                Poll::Ready(None)
            }
        }
    }
}
