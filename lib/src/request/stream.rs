//! Whether the events of an answer are the whole answer to one request, in order.

use displaydoc::Display;
use thiserror::Error;

use super::event::StreamEvent;
use crate::prelude::*;

/// What becomes of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventVerdict {
    /// It is the next part of the answer.
    Pass,
    /// It was delivered already.
    Duplicate,
    /// It ends the answer, which is whole.
    Last,
}

/// Why an event cannot be part of the answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StreamFault {
    /// position {expected} was due, but {found} came
    Gap {
        /// The position due.
        expected: u64,
        /// The position found.
        found: u64,
    },
    /// an event without a position came in a stream with positions
    Unpositioned,
    /// the event answers the request {found:?}
    OtherRequest {
        /// The request found.
        found: String,
    },
    /// the event belongs to the generation {found:?}
    OtherGeneration {
        /// The generation found.
        found: String,
    },
    /// an event came after the end
    AfterEnd,
    /// the event could not be understood
    Malformed,
}

/// Follows one answer through all connections that it comes over.
///
/// INVARIANT: every event that was passed belongs to `request` and to one
/// generation, and positions were passed from zero without a gap.
#[derive(Clone, Debug)]
pub struct StreamTracker {
    request: RequestId,
    generation: Option<String>,
    passed: u64,
    has_positions: Option<bool>,
    is_done: bool,
}

impl StreamTracker {
    /// Starts to follow the answer to a request.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            generation: None,
            passed: 0,
            has_positions: None,
            is_done: false,
        }
    }

    /// Takes the next event.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFault`] if passing the event on would make the answer
    /// something else than the whole answer to its request.
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

    /// Returns how many events with data were passed; also the next position due.
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Returns whether the answer is whole.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns whether an engine could go on where the answer broke off.
    pub fn can_resume(&self) -> bool {
        self.has_positions == Some(true) && !self.is_done
    }

    /// Returns the generation that the answer comes from, once known.
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
