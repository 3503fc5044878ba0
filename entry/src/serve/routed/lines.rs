//! Limits the log lines that routed requests may write in a second.

use cicadabend::time::Timestamp;
use cicadabend_daemon::logs::budget::LineBudget;

use super::events::LogEvent;

/// Most log lines on requests in one second; further lines are dropped, and their number is logged.
const LINES_PER_S: u32 = 200;

/// Rate limit for log lines on requests.
#[derive(Debug)]
pub(super) struct RequestLines(LineBudget);

impl Default for RequestLines {
    fn default() -> Self {
        Self(LineBudget::new(LINES_PER_S))
    }
}

impl RequestLines {
    /// Writes a log line, or drops it if this second's limit is reached.
    pub(super) fn log(&self, now: Timestamp, event: &LogEvent) {
        let log_dropped = |lines| LogEvent::RequestLinesLeftOut { lines }.emit();
        self.0.write(now, || event.emit(), log_dropped);
    }
}
