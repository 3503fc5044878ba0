//! When a second copy of a slow repeatable request is sent.

use std::time::Duration;

/// How many of the latest times the percentile is taken over.
const WINDOW: usize = 512;
/// How many times must be known before anything is hedged.
const MIN_TIMES: usize = 64;
/// After how many new times the percentile is computed again.
const REFRESH_EVERY: usize = 32;

/// The measured 95th percentile of the time to the first token of one service.
///
/// Hedging after it sends at most about one request in twenty twice; hedging after a
/// fixed time would send all of them twice when the service as a whole is slow.
#[derive(Clone, Debug, Default)]
pub struct HedgeTimer {
    times: Vec<Duration>,
    next: usize,
    since_refresh: usize,
    percentile_95: Option<Duration>,
}

impl HedgeTimer {
    /// Notes a measured time to the first token.
    pub fn record(&mut self, first_token: Duration) {
        if self.times.len() < WINDOW {
            self.times.push(first_token);
        } else {
            self.times[self.next] = first_token;
            self.next = (self.next + 1) % WINDOW;
        }
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_EVERY && self.times.len() >= MIN_TIMES {
            self.refresh();
        }
    }

    /// Returns after which time without an answer a second copy is sent; `None` for never.
    ///
    /// Only a repeatable request is ever sent twice, and only while nothing of an
    /// answer has come; the copy is paid for from the retry budget by the caller.
    pub fn hedge_after(&self, is_repeatable: bool, is_first_attempt: bool) -> Option<Duration> {
        if !is_repeatable || !is_first_attempt {
            return None;
        }
        self.percentile_95
    }

    fn refresh(&mut self) {
        let mut sorted = self.times.clone();
        sorted.sort_unstable();
        self.percentile_95 = sorted.get(sorted.len() * 95 / 100).copied();
        self.since_refresh = 0;
    }
}
