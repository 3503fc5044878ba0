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
use tokio::time::Instant;

use super::{
    super::body::{
        BodyError,
        poll_whole, //
    },
    counts::BrokenRelayedAnswer,
    events::LogEvent,
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
    /// `None` once the body has ended or broken off.
    rest: Option<AnswerRest>,
    request_id: String,
    began_at: Instant,
    passed_bytes: u64,
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
        request_id: &str,
        rest: AnswerRest,
        reservation: Reservation,
        counted: RelayedRequest,
    ) -> Self {
        let mut answer = Self {
            rest: Some(rest),
            request_id: request_id.to_owned(),
            began_at: Instant::now(),
            passed_bytes: 0,
            server: Rc::clone(server),
            reservation,
            _counted: counted,
        };
        answer.end_if_complete();
        answer
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
                self.passed_bytes += data.len() as u64;
                self.end_if_complete();
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(why))) => {
                self.rest = None;
                self.record_broken(BrokenRelayedAnswer::UpstreamBroke, why);
                // The error closes the connection before the body's end, so that the daemon that
                // asked can't mistake it for complete.
                Poll::Ready(Some(Err(BodyError::AnswerBroken)))
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
        }
    }

    /// Ends the body after its last byte if its length is known: hyper drops it then without polling
    /// its end.
    fn end_if_complete(&mut self) {
        if self.rest.as_ref().is_some_and(AnswerRest::is_at_end) {
            self.end();
        }
    }

    fn end(&mut self) {
        if let Some(rest) = self.rest.take() {
            rest.return_to_pool();
        }
    }

    fn record_broken(&self, ended_by: BrokenRelayedAnswer, why: String) {
        self.server.counts.count_broken_relayed_answer(ended_by);
        self.server.log(&LogEvent::RelayedAnswerBroke {
            request: self.request_id.clone(),
            instance: self.reservation.replica.id.clone(),
            passed_bytes: self.passed_bytes,
            took_ms: self.began_at.elapsed().as_millis(),
            ended_by: format!("{ended_by:?}"),
            why,
        });
    }

    fn record_left(&self) {
        let ended_by = BrokenRelayedAnswer::DaemonLeft;
        self.server.counts.count_broken_relayed_answer(ended_by);
        self.server.log(&LogEvent::RelayedAnswerLeft {
            request: self.request_id.clone(),
            instance: self.reservation.replica.id.clone(),
            passed_bytes: self.passed_bytes,
            took_ms: self.began_at.elapsed().as_millis(),
        });
    }
}

impl Drop for PassedAnswer {
    /// Records why the connection to the daemon that asked ended, if the body isn't over.
    fn drop(&mut self) {
        if self.rest.is_none() {
            return;
        }
        match self.server.stop.is_cut_off() {
            true => {
                let why = "the drain timeout passed".to_owned();
                self.record_broken(BrokenRelayedAnswer::Stopped, why);
            }
            false => self.record_left(),
        }
    }
}
