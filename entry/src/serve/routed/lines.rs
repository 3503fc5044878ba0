//! How many log lines routed requests may write in a second.

use cicadabend::time::Timestamp;
use cicadabend_daemon::logs::budget::LineBudget;

use super::events::LogEvent;

/// The most lines on requests in one second; what is left out is counted and told.
const LINES_PER_S: u32 = 200;

/// The bound on lines on requests.
#[derive(Debug)]
pub(super) struct RequestLines(LineBudget);

impl Default for RequestLines {
    fn default() -> Self {
        Self(LineBudget::new(LINES_PER_S))
    }
}

impl RequestLines {
    /// Writes a line, or leaves it out if there were too many in this second.
    pub(super) fn log(&self, now: Timestamp, event: &LogEvent) {
        let tell = |lines| LogEvent::RequestLinesLeftOut { lines }.emit();
        self.0.write(now, || event.emit(), tell);
    }
}
