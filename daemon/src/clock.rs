//! The process's monotonic clock.

use std::time::Instant;

use cicadabend::time::Timestamp;

/// Counts milliseconds since it was made; copies agree with each other.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time now.
    pub fn now(&self) -> Timestamp {
        let elapsed_ms = self.start.elapsed().as_millis();
        Timestamp(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }
}
