//! Checks how the lines of a response's head end, as the bytes arrive.
//!
//! An HTTP library ends a line at a line feed alone, so one stray byte ends a head early: the rest of the
//! head, in which the body's length may stand, would then be passed on as the body.

use super::HeadFault;

/// Number of bytes of a head up to the first digit of its status, by which an interim response is known.
const FIRST_DIGIT_BYTES: usize = "HTTP/1.1 1".len();

/// Follows the bytes that arrive on a connection through the heads of one response.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadLines {
    /// Whether the next byte belongs to a head.
    is_in_head: bool,
    /// Bytes of the current line, without its end.
    line_bytes: usize,
    /// Whether the last byte was a carriage return.
    after_return: bool,
    is_first_line: bool,
    /// Whether another head follows this one.
    is_interim: bool,
}

impl HeadLines {
    /// Returns the state after a request was sent: the head of its response comes next.
    pub fn of_next_response() -> Self {
        Self {
            is_in_head: true,
            is_first_line: true,
            ..Self::default()
        }
    }

    /// Follows bytes that have arrived; those behind the head are not looked at.
    ///
    /// # Errors
    ///
    /// Returns [`HeadFault::LineEnd`] if a line of the head does not end as it must, or the first one is
    /// empty.
    pub fn follow(&mut self, bytes: &[u8]) -> Result<(), HeadFault> {
        for byte in bytes {
            if !self.is_in_head {
                return Ok(());
            }
            match byte {
                b'\n' if self.after_return => self.end_line()?,
                b'\n' => return Err(HeadFault::LineEnd),
                b'\r' => self.after_return = true,
                byte => self.add(*byte),
            }
        }
        Ok(())
    }

    fn add(&mut self, byte: u8) {
        self.after_return = false;
        self.line_bytes += 1;
        if self.is_first_line && self.line_bytes == FIRST_DIGIT_BYTES {
            self.is_interim = byte == b'1';
        }
    }

    fn end_line(&mut self) -> Result<(), HeadFault> {
        match (self.line_bytes, self.is_first_line) {
            (0, true) => return Err(HeadFault::LineEnd),
            (0, false) if self.is_interim => *self = Self::of_next_response(),
            (0, false) => self.is_in_head = false,
            (_, _) => {
                self.line_bytes = 0;
                self.after_return = false;
                self.is_first_line = false;
            }
        }
        Ok(())
    }
}
