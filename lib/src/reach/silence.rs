//! Whether a timer that has fired shows that the other side of a connection is silent.

use std::time::Duration;

/// A timer that fires later than this shows that the daemon was not running when it was due.
const LATE: Duration = Duration::from_millis(40);
/// Time to read what has arrived while the daemon was not running.
const READ_TIME: Duration = Duration::from_millis(30);
/// Late timers after which the other side counts as silent, on a daemon whose timers are always
/// late.
const MAX_LATE_TIMERS: u32 = 4;

/// Decides whether silence is that of the other side, or of a daemon that was not running.
///
/// A daemon that gets no processor time for a while finds its timers due before it has read what
/// has arrived meanwhile. So a late timer is no evidence: it is set anew for a moment, in which the
/// daemon reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceCheck {
    late_timers: u32,
}

impl SilenceCheck {
    /// Records that the timer has fired `delay` after its time; returns for how long to set it anew,
    /// or `None` if the other side is silent.
    pub fn record_timer(&mut self, delay: Duration) -> Option<Duration> {
        if delay <= LATE || self.late_timers >= MAX_LATE_TIMERS {
            self.late_timers = 0;
            return None;
        }
        self.late_timers += 1;
        Some(READ_TIME)
    }
}
