//! The bound on retries that all daemons keep together, checked against exact times of arrival.

/// The bound on the retries of one service in every sliding window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub slack: u32,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

/// What one window held, and what the bound allows in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowCount {
    /// Start of the window in milliseconds.
    pub start_ms: u64,
    /// Retries that arrived in the window.
    pub retries: usize,
    /// Requests by which the bound is measured.
    pub requests: usize,
    /// Retries that the bound allows.
    pub allowed: f64,
}

impl WindowCount {
    /// Returns whether the window held more retries than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.retries as f64 > self.allowed
    }
}

impl RetryBound {
    /// Returns the window in which least of the bound was left; `None` if there were no retries.
    ///
    /// Requests are counted in the window, in the one before it or in the one half a window before,
    /// whichever has most. Windows start at each millisecond.
    pub fn worst_window(&self, requests_ms: &[u64], retries_ms: &[u64]) -> Option<WindowCount> {
        let (requests_ms, retries_ms) = (sorted(requests_ms), sorted(retries_ms));
        let first_ms = retries_ms.first()?.saturating_sub(self.window_ms);
        let windows = (first_ms..=*retries_ms.last()?).map(|start_ms| {
            let retries = self.count(&retries_ms, start_ms as i64);
            let shifts = [0, self.window_ms / 2, self.window_ms];
            let shifted =
                shifts.map(|shift| self.count(&requests_ms, start_ms as i64 - shift as i64));
            let requests = shifted.into_iter().max().unwrap_or_default();
            WindowCount {
                start_ms,
                retries,
                requests,
                allowed: self.ratio * requests as f64 + f64::from(self.slack),
            }
        });
        let left = |window: &WindowCount| window.allowed - window.retries as f64;
        windows.min_by(|one, other| left(one).total_cmp(&left(other)))
    }

    /// Returns how many of the sorted times lie in the window from `start_ms` on.
    fn count(&self, sorted_ms: &[u64], start_ms: i64) -> usize {
        let before = |until_ms: i64| sorted_ms.partition_point(|at| (*at as i64) < until_ms);
        before(start_ms + self.window_ms as i64) - before(start_ms)
    }
}

fn sorted(times_ms: &[u64]) -> Vec<u64> {
    let mut times_ms = times_ms.to_vec();
    times_ms.sort_unstable();
    times_ms
}
