//! The process's monotonic clock.

use cicadabend::time::Timestamp;
use rustix::time::{
    ClockId,
    Timespec,
    clock_gettime, //
};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;
/// Nanoseconds in a millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// Counts milliseconds since it was made; copies agree with each other.
///
/// It goes on while the VM is suspended. The standard library's `Instant` stands still
/// then, so a lease that is timed by it would outlive its end by the whole suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: u64,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start_ms: since_boot_ms(),
        }
    }

    /// Returns the time now.
    pub fn now(&self) -> Timestamp {
        Timestamp(since_boot_ms().saturating_sub(self.start_ms))
    }
}

fn since_boot_ms() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // The system never counts below zero, nor past a second in nanoseconds.
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(tv_nsec).unwrap_or_default();
    seconds * MS_PER_S + nanoseconds / NS_PER_MS
}
