//! Detects that an upstream sends nothing for too long.

use std::{
    future::Future,
    pin::Pin,
    task::Context,
    time::Duration, //
};

use tokio::time::{
    Instant,
    Sleep,
    sleep, //
};

/// Detects that nothing arrived for a time limit.
///
/// The timer is moved only when it fires, so that each event costs a clock read but no timer
/// update.
pub(super) struct Silence {
    limit: Duration,
    last_data: Instant,
    /// The start of the span that the timer measures.
    since: Instant,
    /// Number of spans since the last data that passed without any.
    silent_spans: u32,
    timer: Pin<Box<Sleep>>,
}

impl Silence {
    pub(super) fn new(limit: Duration) -> Self {
        let now = Instant::now();
        Self {
            limit,
            last_data: now,
            since: now,
            silent_spans: 0,
            timer: Box::pin(sleep(limit)),
        }
    }

    /// Records that data arrived; returns the time since the data before.
    pub(super) fn record_data(&mut self) -> Duration {
        let now = Instant::now();
        let since_last = now.duration_since(self.last_data);
        self.last_data = now;
        self.since = now;
        self.silent_spans = 0;
        since_last
    }

    /// Starts another span, for an upstream that has just been asked.
    pub(super) fn restart(&mut self) {
        self.since = Instant::now();
    }

    /// Returns the number of time limits that passed one after the other without any data.
    ///
    /// A pause of this process counts as one at most, since the upstream may have sent data
    /// meanwhile.
    pub(super) fn silent_spans(&self) -> u32 {
        self.silent_spans
    }

    /// Returns whether nothing arrived for the limit, and then starts another span.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> bool {
        while self.timer.as_mut().poll(context).is_ready() {
            let end = self.since + self.limit;
            if end <= Instant::now() {
                self.restart();
                self.silent_spans += 1;
                return true;
            }
            self.timer.as_mut().reset(end);
        }
        false
    }
}
