//! Checks that the events passed on to a caller are the complete answer to one request, in order.

use displaydoc::Display;
use thiserror::Error;

use super::event::StreamEvent;
use crate::prelude::*;

/// Decision on one event of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// The event is passed on: the next one of the answer, or a comment.
    Pass,
    /// The event was passed on before, and is dropped.
    Duplicate,
    /// The event ends the answer, which is then complete.
    Last,
}

/// Error for an event that cannot belong to the answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StreamFault {
    /// expected the event at position {expected}, but got position {found}
    Gap {
        /// Position that comes next in the answer.
        expected: u64,
        /// Position of the event.
        found: u64,
    },
    /// got an event without a position in a stream with positions
    Unpositioned,
    /// the event answers another request, {found:?}
    OtherRequest {
        /// Id of the request that the event answers.
        found: String,
    },
    /// the event belongs to another generation, {found:?}
    OtherGeneration {
        /// Id of the generation that the event belongs to.
        found: String,
    },
    /// got an event after the end of the answer
    AfterEnd,
    /// the event's data is not a completion in JSON
    Malformed,
}

/// Checks the events of one answer, over all connections on which the answer arrives.
///
/// INVARIANT: all events passed on belong to `request` and to one generation, and their
/// positions, if the stream has any, start at zero without a gap.
#[derive(Clone, Debug)]
pub struct StreamTracker {
    request: RequestId,
    generation: Option<String>,
    /// Number of events with data that were passed on.
    passed: u64,
    /// Whether the stream's events have positions; `None` before the first event.
    has_positions: Option<bool>,
    is_done: bool,
}

impl StreamTracker {
    /// Returns a tracker for the answer to a request, before its first event.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            generation: None,
            passed: 0,
            has_positions: None,
            is_done: false,
        }
    }

    /// Checks the next event, and returns whether to pass the event on.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFault`] if the caller would otherwise get an answer with a gap, or with
    /// events of another request or generation.
    pub fn accept(&mut self, event: &StreamEvent<'_>) -> Result<EventVerdict, StreamFault> {
        let Some(_) = &event.data else {
            return Ok(EventVerdict::Pass);
        };
        if self.is_done {
            return Err(StreamFault::AfterEnd);
        }
        if event.is_done() {
            self.is_done = true;
            return Ok(EventVerdict::Last);
        }
        self.check_identity(event)?;
        self.check_position(event.position)
    }

    /// Returns the number of events with data that were passed on, which is also the next position.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Returns whether the answer is complete.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns whether an engine could resume the answer at the next position after a broken
    /// connection.
    pub fn can_resume(&self) -> bool {
        self.has_positions == Some(true) && !self.is_done
    }

    /// Returns the id of the generation that the answer belongs to, or `None` before an event names
    /// one.
    pub fn generation(&self) -> Option<&str> {
        self.generation.as_deref()
    }

    fn check_identity(&mut self, event: &StreamEvent<'_>) -> Result<(), StreamFault> {
        let identity = event.identity().ok_or(StreamFault::Malformed)?;
        if let Some(found) = identity.request_id
            && found != self.request.as_str()
        {
            let found = found.into_owned();
            return Err(StreamFault::OtherRequest { found });
        }
        match (&self.generation, identity.id) {
            (Some(known), Some(found)) if *known != found => {
                let found = found.into_owned();
                Err(StreamFault::OtherGeneration { found })
            }
            (None, Some(found)) => {
                self.generation = Some(found.into_owned());
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn check_position(&mut self, position: Option<u64>) -> Result<EventVerdict, StreamFault> {
        let has_positions = *self.has_positions.get_or_insert(position.is_some());
        match position {
            None if has_positions => return Err(StreamFault::Unpositioned),
            Some(found) if has_positions && found < self.passed => {
                return Ok(EventVerdict::Duplicate);
            }
            Some(found) if has_positions && found > self.passed => {
                let expected = self.passed;
                return Err(StreamFault::Gap { expected, found });
            }
            _ => {}
        }
        self.passed += 1;
        Ok(EventVerdict::Pass)
    }
}
