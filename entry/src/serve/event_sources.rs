//! The connections on which the next event of a response may arrive.
//!
//! A replica that has been silent is asked for the rest on another connection. It may send nothing
//! there either, or refuse, while the first connection still works. So none is closed before
//! another one has delivered the next event.

use std::task::{
    Context,
    Poll,
    ready, //
};

use bytes::Bytes;
use cicadabend::request::StreamTracker;

use super::{
    event_source::{
        AnswerFault,
        Batch,
        EventSource, //
    },
    exchange::Failure,
    resume::Resuming, //
};

/// A connection on which events arrive or have been requested.
enum Candidate {
    Requested(Resuming),
    Open(EventSource),
}

/// What came from one of the connections.
pub(super) enum Arrival {
    /// The next events of the response; all other connections are closed.
    Next(Bytes),
    /// Comments, which do not tell where the response goes on.
    Comments(Bytes),
    /// The head of the rest of the response.
    RestBegan,
    /// The end of the complete response.
    End,
    /// One connection failed and is closed.
    Failed {
        failure: Failure,
        /// Whether the connection was the last one to be opened.
        was_newest: bool,
    },
}

/// The connections, the newest last.
#[derive(Default)]
pub(super) struct EventSources {
    candidates: Vec<Candidate>,
}

impl EventSources {
    /// Adds the first connection.
    pub(super) fn open(&mut self, source: EventSource) {
        self.candidates.push(Candidate::Open(source));
    }

    /// Adds a request for the rest.
    pub(super) fn request(&mut self, resuming: Resuming) {
        self.candidates.push(Candidate::Requested(resuming));
    }

    /// Returns whether no event can arrive any more.
    pub(super) fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Waits for something to arrive on any connection.
    pub(super) fn poll(
        &mut self,
        tracker: &mut StreamTracker,
        context: &mut Context<'_>,
    ) -> Poll<Arrival> {
        for index in 0..self.candidates.len() {
            if let Poll::Ready(arrival) = self.poll_candidate(index, tracker, context) {
                return Poll::Ready(arrival);
            }
        }
        Poll::Pending
    }

    fn poll_candidate(
        &mut self,
        index: usize,
        tracker: &mut StreamTracker,
        context: &mut Context<'_>,
    ) -> Poll<Arrival> {
        let arrival = match &mut self.candidates[index] {
            Candidate::Requested(resuming) => match ready!(resuming.as_mut().poll(context)) {
                Ok(source) => {
                    self.candidates[index] = Candidate::Open(source);
                    Arrival::RestBegan
                }
                Err(failure) => self.close(index, failure),
            },
            Candidate::Open(source) => {
                let passed = tracker.passed();
                match ready!(source.poll_events(tracker, context)) {
                    Ok(Batch::Events(events)) if tracker.passed() > passed || tracker.is_done() => {
                        self.keep_only(index);
                        Arrival::Next(events)
                    }
                    Ok(Batch::Events(comments)) => Arrival::Comments(comments),
                    Ok(Batch::End) if tracker.is_done() => {
                        self.return_to_pool();
                        Arrival::End
                    }
                    Err(_) if tracker.is_done() => Arrival::End,
                    Ok(Batch::End) => self.close(index, AnswerFault::EndedEarly.into()),
                    Err(fault) => self.close(index, fault.into()),
                }
            }
        };
        Poll::Ready(arrival)
    }

    /// Closes a failed connection.
    fn close(&mut self, index: usize, failure: Failure) -> Arrival {
        drop(self.candidates.remove(index));
        Arrival::Failed {
            failure,
            was_newest: index == self.candidates.len(),
        }
    }

    /// Closes all connections but one.
    fn keep_only(&mut self, index: usize) {
        let kept = self.candidates.swap_remove(index);
        self.candidates.clear();
        self.candidates.push(kept);
    }

    /// Returns the only connection to the pool; its response must have ended.
    fn return_to_pool(&mut self) {
        if let Some(Candidate::Open(source)) = self.candidates.pop() {
            source.return_to_pool();
        }
    }
}
