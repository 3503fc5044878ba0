//! Responses that are held in memory until they are whole, all together within a limit.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use cicadabend_daemon::settings::memory_share;

/// Largest response that is held until it is whole, before any of it is passed on.
///
/// If such a response breaks off, the request can still be retried at another replica.
const MAX_HELD_BYTES: usize = 256 * 1024;
/// Ratio of a process's memory to the memory that held responses may take.
const MEMORY_RATIO: u64 = 8;
/// Bytes that are given to a caller's connection at once; it holds them until they are written.
const FRAME_BYTES: usize = 16 * 1024;

/// Counts the bytes of all responses that are held.
pub(super) struct HeldAnswers {
    bytes: Cell<u64>,
    limit_bytes: u64,
}

impl HeldAnswers {
    pub(super) fn new(memory_mb: u64) -> Self {
        Self {
            bytes: Cell::new(0),
            limit_bytes: memory_share(memory_mb, MEMORY_RATIO).0,
        }
    }
}

/// The bytes of a response that have come, and that its caller has not been given yet.
pub(super) struct HeldAnswer {
    answers: Rc<HeldAnswers>,
    bytes: BytesMut,
    /// Bytes that this response has added to the count.
    counted: u64,
}

impl HeldAnswer {
    pub(super) fn new(answers: &Rc<HeldAnswers>) -> Self {
        Self {
            answers: Rc::clone(answers),
            bytes: BytesMut::new(),
            counted: 0,
        }
    }

    /// Adds bytes that have come.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
        let capacity = self.bytes.capacity() as u64;
        let all = &self.answers.bytes;
        all.set(all.get() + capacity - self.counted);
        self.counted = capacity;
    }

    /// Returns whether the response is to be held until more of it has come.
    pub(super) fn may_grow(&self) -> bool {
        self.bytes.len() <= MAX_HELD_BYTES && self.answers.bytes.get() <= self.answers.limit_bytes
    }

    /// Returns the number of bytes that are left.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes the next bytes for the caller; `None` if none are left.
    pub(super) fn next_frame(&mut self) -> Option<Bytes> {
        let length = self.bytes.len().min(FRAME_BYTES);
        (length > 0).then(|| self.bytes.split_to(length).freeze())
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        let all = &self.answers.bytes;
        all.set(all.get() - self.counted);
    }
}
