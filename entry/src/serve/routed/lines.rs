//! How many log lines routed requests may write in a second.

use std::cell::Cell;

use cicadabend::time::Timestamp;

use super::events::LogEvent;

/// The most lines on requests in one second; what is left out is counted and told.
///
/// A line costs the thread a few microseconds. Without a bound, an overload would be
/// made worse by telling of it.
const LINES_PER_S: u32 = 200;
const SECOND_MS: u64 = 1_000;

/// Counts the lines of the present second.
#[derive(Debug, Default)]
pub(super) struct LineBudget {
    second: Cell<u64>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl LineBudget {
    /// Writes a line, or leaves it out if there were too many in this second.
    pub(super) fn log(&self, now: Timestamp, event: &LogEvent) {
        let second = now.0 / SECOND_MS;
        if self.second.replace(second) != second {
            self.written.set(0);
            let lines = self.left_out.take();
            if lines > 0 {
                LogEvent::RequestLinesLeftOut { lines }.emit();
            }
        }
        if self.written.get() >= LINES_PER_S {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        event.emit();
    }
}
