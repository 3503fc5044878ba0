//! Detection of a thread that has more work than processor time.

use std::time::Duration;

use crate::prelude::*;

/// A timer that fires later than this shows that the thread had other work to do, or no processor.
///
/// A quota may stop a process for nearly a tenth of a second although it has time left.
const LATE: Duration = Duration::from_millis(120);
/// The delay at which the thread has caught up.
const IN_TIME: Duration = Duration::from_millis(60);
/// How long timers must be late, one after the other, until the thread counts as overloaded.
const SUSTAINED: Duration = Duration::from_millis(500);

/// A change of a thread's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverloadChange {
    /// The thread is overloaded from now on.
    Begins,
    /// The thread has caught up.
    Ends,
}

/// Decides by the delays of a thread's timers whether the thread is overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadDetector {
    late_since: Option<Timestamp>,
    is_overloaded: bool,
}

impl OverloadDetector {
    /// Returns whether the thread is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Records that a timer fired at `now`, `delay` after its time; returns the change that results.
    pub fn record_delay(&mut self, delay: Duration, now: Timestamp) -> Option<OverloadChange> {
        if delay < LATE {
            self.late_since = None;
        }
        if self.is_overloaded {
            self.is_overloaded = delay >= IN_TIME;
            return (!self.is_overloaded).then_some(OverloadChange::Ends);
        }
        if delay < LATE {
            return None;
        }
        let late_since = *self.late_since.get_or_insert(now);
        self.is_overloaded = now.since(late_since) >= SUSTAINED;
        self.is_overloaded.then_some(OverloadChange::Begins)
    }
}
