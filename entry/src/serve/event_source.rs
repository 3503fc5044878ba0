//! Reads the events of a response from one connection.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};
use cicadabend::request::{
    EventVerdict,
    StreamEvent,
    StreamFault,
    StreamTracker,
    first_event_len, //
};
use displaydoc::Display;
use http_body::Body;
use hyper::body::Incoming;
use thiserror::Error;

use super::upstream::{
    Lease,
    error_with_causes, //
};

/// Largest size of an event in bytes; more bytes without a blank line are no valid event stream.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Why no more events can be read from a connection.
#[derive(Debug, Display, Error)]
pub(super) enum AnswerFault {
    /// the connection broke: {0}
    Broken(String),
    /// the stream ended before its last event
    EndedEarly,
    /// {0}
    Stream(#[from] StreamFault),
    /// an event is not text
    NotText,
    /// an event is too large
    TooLarge,
}

/// The next item of the stream.
pub(super) enum Batch {
    /// Complete events that may be passed on.
    Events(Bytes),
    /// The end of the response body.
    End,
}

/// The connection, and the received bytes of an event that is still incomplete.
pub(super) struct EventSource {
    incoming: Incoming,
    lease: Lease,
    buffer: BytesMut,
}

impl EventSource {
    pub(super) fn new(incoming: Incoming, lease: Lease) -> Self {
        Self {
            incoming,
            lease,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the connection to the pool; the response must have ended.
    pub(super) fn return_to_pool(self) {
        self.lease.return_to_pool();
    }

    /// Waits for complete events that the tracker lets pass.
    pub(super) fn poll_events(
        &mut self,
        tracker: &mut StreamTracker,
        context: &mut Context<'_>,
    ) -> Poll<Result<Batch, AnswerFault>> {
        loop {
            let frame = match ready!(Pin::new(&mut self.incoming).poll_frame(context)) {
                None => return Poll::Ready(Ok(Batch::End)),
                Some(Err(error)) => {
                    return Poll::Ready(Err(AnswerFault::Broken(error_with_causes(&error))));
                }
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.buffer.extend_from_slice(&data);
            let events = self.take_events(tracker)?;
            if !events.is_empty() {
                return Poll::Ready(Ok(Batch::Events(events)));
            }
        }
    }

    /// Takes all complete events out of the buffer and drops duplicates.
    ///
    /// The events before an invalid one are returned first. The invalid event stays in the buffer,
    /// so that the next call returns its error.
    fn take_events(&mut self, tracker: &mut StreamTracker) -> Result<Bytes, AnswerFault> {
        let mut taken = BytesMut::new();
        while let Some(length) = first_event_len(&self.buffer) {
            let event = StreamEvent::parse(&self.buffer[..length]);
            let event = event.ok_or(AnswerFault::NotText);
            let verdict = event.and_then(|event| Ok(tracker.accept(&event)?));
            match verdict {
                Ok(EventVerdict::Pass | EventVerdict::Last) => {
                    taken.unsplit(self.buffer.split_to(length));
                }
                Ok(EventVerdict::Duplicate) => drop(self.buffer.split_to(length)),
                Err(_) if !taken.is_empty() => break,
                Err(fault) => return Err(fault),
            }
        }
        if self.buffer.len() > EVENT_LIMIT_BYTES {
            return Err(AnswerFault::TooLarge);
        }
        Ok(taken.freeze())
    }
}
