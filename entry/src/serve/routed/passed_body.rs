//! Response bodies that are passed on unchanged as they arrive.

use std::{
    future::Future,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use http_body::{
    Frame,
    SizeHint, //
};
use tokio::time::{
    Sleep,
    sleep_until, //
};

use super::{
    super::body::BodyError,
    body::PolledFrame,
    counts::BrokenAnswer,
    execution::RoutedExecution,
    held_answer::HeldAnswer,
    source::AnswerRest, //
};

/// An upstream's response body that is passed on unchanged until the request's deadline.
pub(super) struct PassedBody {
    execution: RoutedExecution,
    beginning: HeldAnswer,
    /// `None` once the body has ended or broken off.
    rest: Option<AnswerRest>,
    deadline: Pin<Box<Sleep>>,
}

impl PassedBody {
    pub(super) fn new(execution: RoutedExecution, beginning: HeldAnswer, rest: AnswerRest) -> Self {
        let deadline = execution.prepared.terms.deadline;
        Self {
            execution,
            beginning,
            rest: Some(rest),
            deadline: Box::pin(sleep_until(deadline)),
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }

    pub(super) fn poll_frame(&mut self, context: &mut Context<'_>) -> PolledFrame {
        if let Some(beginning) = self.beginning.next_frame() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        match rest.poll_data(context) {
            Poll::Pending if self.deadline.as_mut().poll(context).is_ready() => {
                self.break_off(BrokenAnswer::DeadlinePassed, "the deadline passed")
            }
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(data))) => {
                // hyper drops a body of known length after its last byte, without polling its end.
                if rest.is_at_end() {
                    self.end();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(why))) => {
                self.execution.record_broken_off();
                self.break_off(BrokenAnswer::UpstreamBroke, &why)
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
        }
    }

    fn end(&mut self) {
        if let Some(rest) = self.rest.take() {
            rest.return_to_pool();
        }
        self.execution.record_answer_ended("answered");
    }

    /// Ends the body with an error, which closes the caller's connection without the last HTTP
    /// chunk, so that the caller can't mistake the truncated body for a complete one.
    fn break_off(&mut self, ended_by: BrokenAnswer, why: &str) -> PolledFrame {
        self.rest = None;
        self.execution.record_answer_lost(None, ended_by, why);
        Poll::Ready(Some(Err(BodyError::AnswerBroken)))
    }
}
