//! The delay after which a second attempt (a hedge) is started beside a slow one.

use std::time::Duration;

/// Number of latest samples over which the percentile is computed.
const WINDOW_SAMPLES: usize = 512;
/// Number of samples below which no request is hedged.
const MIN_SAMPLES: usize = 64;
/// Number of new samples after which the percentile is computed again.
const REFRESH_EVERY_SAMPLES: usize = 32;

/// Measures the 95th percentile of one service's time to the first token.
///
/// Hedging after this percentile sends at most about one request in twenty twice. Hedging
/// after a fixed delay would send every request twice when the whole service is slow.
#[derive(Clone, Debug, Default)]
pub struct HedgeTimer {
    samples: Vec<Duration>,
    next_index: usize,
    samples_since_refresh: usize,
    percentile_95: Option<Duration>,
}

impl HedgeTimer {
    /// Records the measured time to the first token of one attempt.
    pub fn record(&mut self, first_token: Duration) {
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(first_token);
        } else {
            self.samples[self.next_index] = first_token;
            self.next_index = (self.next_index + 1) % WINDOW_SAMPLES;
        }
        self.samples_since_refresh += 1;
        if self.samples_since_refresh >= REFRESH_EVERY_SAMPLES && self.samples.len() >= MIN_SAMPLES
        {
            self.recompute_percentile();
        }
    }

    /// Returns the time without an answer after which a hedge is sent; `None` for no hedge.
    ///
    /// Only the first attempt of an idempotent request is hedged, and only while no byte
    /// of an answer has arrived. The caller of this method withdraws the hedge from the
    /// retry budget.
    pub fn hedge_after(&self, is_repeatable: bool, is_first_attempt: bool) -> Option<Duration> {
        if !is_repeatable || !is_first_attempt {
            return None;
        }
        self.percentile_95
    }

    fn recompute_percentile(&mut self) {
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        self.percentile_95 = sorted.get(sorted.len() * 95 / 100).copied();
        self.samples_since_refresh = 0;
    }
}
