//! How many lines of one sort may be written in a second.

use std::cell::Cell;

use cicadabend::time::Timestamp;

const SECOND_MS: u64 = 1_000;

/// Counts the lines of the present second.
///
/// A line costs its thread a few microseconds. Without a bound, an overload would be made worse
/// by telling of it.
#[derive(Debug)]
pub struct LineBudget {
    most_per_s: u32,
    second: Cell<u64>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl LineBudget {
    /// Allows so many lines in a second.
    pub fn new(most_per_s: u32) -> Self {
        Self {
            most_per_s,
            second: Cell::default(),
            written: Cell::default(),
            left_out: Cell::default(),
        }
    }

    /// Writes a line, or leaves it out if there were too many in this second; before the first
    /// line of a second, tells how many were left out.
    pub fn write(&self, now: Timestamp, line: impl FnOnce(), tell_left_out: impl FnOnce(u64)) {
        let second = now.0 / SECOND_MS;
        if self.second.replace(second) != second {
            self.written.set(0);
            let lines = self.left_out.take();
            if lines > 0 {
                tell_left_out(lines);
            }
        }
        if self.written.get() >= self.most_per_s {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        line();
    }
}
