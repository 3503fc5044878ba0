//! Waits that end when the other side of a connection is silent.

use std::{
    pin::pin,
    time::Duration, //
};

use cicadabend::reach::SilenceCheck;
use tokio::time::{
    Instant,
    timeout_at, //
};

/// The other side was silent for the whole time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silent {
    /// By how much this was noticed too late.
    pub(super) timer_delay: Duration,
}

/// Waits for a future until `due`, or until what had arrived by then has been read.
pub(super) async fn wait_until<T>(
    due: Instant,
    work: impl Future<Output = T>,
) -> Result<T, Silent> {
    let mut work = pin!(work);
    let mut check = SilenceCheck::default();
    let mut next_due = due;
    loop {
        if let Ok(outcome) = timeout_at(next_due, work.as_mut()).await {
            return Ok(outcome);
        }
        let Some(time_to_read) = check.record_timer(next_due.elapsed()) else {
            let timer_delay = due.elapsed();
            return Err(Silent { timer_delay });
        };
        next_due = Instant::now() + time_to_read;
    }
}

/// Waits for a future for `time`, or until what had arrived by then has been read.
pub(super) async fn wait_for<T>(
    time: Duration,
    work: impl Future<Output = T>,
) -> Result<T, Silent> {
    wait_until(Instant::now() + time, work).await
}
