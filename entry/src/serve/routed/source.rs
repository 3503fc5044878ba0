//! The remainder of a response: its bytes, or the events of a stream.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use cicadabend::{
    prelude::*,
    request::first_event_len, //
};
use http_body::Body;
use hyper::body::Incoming;

use super::{
    super::upstream::{
        Lease,
        error_with_causes, //
    },
    links::RelayUse,
};

/// Time for which an idle connection stays pooled if the upstream names none.
pub(super) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Largest size of an event; more bytes without a blank line are no event stream.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;
/// The unread rest of a response body, and the connection that it arrives on.
pub(super) struct AnswerRest {
    incoming: Incoming,
    lease: Lease,
    keep_for: Duration,
    /// The relay that the response comes through, if any.
    relay: Option<RelayUse>,
}

impl AnswerRest {
    pub(super) fn new(incoming: Incoming, lease: Lease, keep_for: Duration) -> Self {
        Self {
            incoming,
            lease,
            keep_for,
            relay: None,
        }
    }

    /// Names the relay that the response comes through.
    pub(super) fn through(self, relay: Option<RelayUse>) -> Self {
        Self { relay, ..self }
    }

    /// Returns the relay that the response comes through, if any.
    pub(super) fn relay(&self) -> Option<&DaemonId> {
        self.relay.as_ref().map(RelayUse::daemon)
    }

    /// Returns whether the body's length is known and all of its bytes were read.
    pub(super) fn is_at_end(&self) -> bool {
        self.incoming.is_end_stream()
    }

    /// Polls for more bytes of the body; `None` is its end.
    pub(super) fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, String>>> {
        loop {
            let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
            return Poll::Ready(match frame {
                None => None,
                Some(Err(error)) => Some(Err(error_with_causes(&error))),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Some(Ok(data)),
                    Err(_) => continue,
                },
            });
        }
    }

    /// Returns the connection to the pool; the response must have been read to its end.
    pub(super) fn return_to_pool(self) {
        self.lease.return_to_pool_for(self.keep_for);
    }

    /// Reads the rest of a short response in the background, and pools the connection afterwards.
    pub(super) fn drain(mut self) {
        tokio::task::spawn_local(async move {
            let read = async {
                while let Some(data) = std::future::poll_fn(|context| self.poll_data(context)).await
                {
                    if data.is_err() {
                        return;
                    }
                }
                self.return_to_pool();
            };
            // A response that doesn't end soon costs more than a new connection.
            let _ = tokio::time::timeout(Duration::from_millis(200), read).await;
        });
    }
}

/// The events of a stream that arrive on one connection.
pub(super) struct EventSource {
    rest: AnswerRest,
    buffer: BytesMut,
    /// Number of the last event that was passed on; `None` if no event had a number.
    last_event: Option<u64>,
    /// Whether the next event's number must be exactly one above the last one's.
    must_follow: bool,
    /// Error to return after the events that were already handed out.
    fault: Option<String>,
}

impl EventSource {
    pub(super) fn new(rest: AnswerRest, last_event: Option<u64>) -> Self {
        Self {
            rest,
            buffer: BytesMut::new(),
            last_event,
            must_follow: last_event.is_some(),
            fault: None,
        }
    }

    /// Returns the number of the last event that was handed out here or before.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns the relay that the events come through, if any.
    pub(super) fn relay(&self) -> Option<&DaemonId> {
        self.rest.relay()
    }

    /// Returns the connection to the pool; the stream must have ended.
    pub(super) fn return_to_pool(self) {
        self.rest.return_to_pool();
    }

    /// Polls for complete events; `None` is the regular end of the stream.
    pub(super) fn poll_events(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, String>>> {
        if let Some(fault) = self.fault.take() {
            return Poll::Ready(Some(Err(fault)));
        }
        loop {
            match ready!(self.rest.poll_data(context)) {
                None if self.buffer.is_empty() => return Poll::Ready(None),
                None => {
                    let reason = "the stream ended in the middle of an event".to_owned();
                    return Poll::Ready(Some(Err(reason)));
                }
                Some(Err(reason)) => return Poll::Ready(Some(Err(reason))),
                Some(Ok(data)) => self.buffer.extend_from_slice(&data),
            }
            match self.take_events() {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Poll::Ready(Some(Ok(events))),
                Err(reason) => return Poll::Ready(Some(Err(reason))),
            }
        }
    }

    /// Removes all complete events from the buffer; drops those that were passed on before.
    fn take_events(&mut self) -> Result<Bytes, String> {
        let mut taken = BytesMut::new();
        while let Some(length) = first_event_len(&self.buffer) {
            let number = event_number(&self.buffer[..length]);
            let event = self.buffer.split_to(length);
            let Some(number) = number else {
                taken.unsplit(event);
                continue;
            };
            match self.last_event {
                Some(last) if number <= last => continue,
                Some(last) if number > last + 1 && self.must_follow => {
                    let fault = format!("event {number} came after event {last}");
                    if taken.is_empty() {
                        return Err(fault);
                    }
                    self.fault = Some(fault);
                    return Ok(taken.freeze());
                }
                _ => {}
            }
            self.last_event = Some(number);
            self.must_follow = true;
            taken.unsplit(event);
        }
        match self.buffer.len() > EVENT_LIMIT_BYTES {
            true => Err("an event is too large".to_owned()),
            false => Ok(taken.freeze()),
        }
    }
}

/// Returns the number in an event's `id` field.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
