//! The part of the budget that a daemon's own requests pay for.

use std::collections::VecDeque;

use super::{
    BudgetSettings,
    RoutedRetryReason, //
};
use crate::time::Timestamp;

/// Number of slices into which the window is divided.
const SLICES: usize = 40;
/// Number of the oldest slices of a window whose requests are not counted: the slice in which the
/// window starts, and one for requests that the daemon read later than their callers sent them.
const UNCOUNTED_SLICES: usize = 2;
/// Number of slices that are kept: those of two windows, and the present one.
const KEPT_SLICES: usize = 2 * SLICES + 1;

/// What happened in one slice of time.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    requests: u32,
    retries: u32,
    /// Retries of late requests, which are included in `retries`.
    late: u32,
}

/// The retries of one service at one daemon that its own requests pay for.
///
/// For a window that starts at `s` and has the length `w`, the retries since `s` are limited to the
/// ratio of half of the requests since `s - w`. That is the mean of the requests in the window and
/// in the one before it. The sum of these means over all daemons is at most the ratio of the
/// requests in the window that has more of them, whatever the requests' distribution among daemons
/// and whenever a daemon starts or ends.
#[derive(Clone, Debug)]
pub struct OwnPart {
    ratio: f64,
    slice_ms: u64,
    /// Slices up to the present one, oldest first, without gaps.
    slices: VecDeque<Slice>,
    /// Number of the newest slice on the daemon's clock.
    newest: u64,
    /// Retries that were withdrawn, and whose arrival at an upstream may lie in the future.
    pending: u32,
    /// Pending retries of late requests, which are included in `pending`.
    pending_late: u32,
}

impl OwnPart {
    /// Returns a part with nothing counted.
    pub fn new(settings: BudgetSettings) -> Self {
        let window_ms = u64::try_from(settings.window.as_millis()).unwrap_or(u64::MAX);
        Self {
            ratio: settings.ratio,
            slice_ms: window_ms.div_ceil(SLICES as u64).max(1),
            slices: VecDeque::new(),
            newest: 0,
            pending: 0,
            pending_late: 0,
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.advance(now);
        if let Some(slice) = self.slices.back_mut() {
            slice.requests += 1;
        }
    }

    /// Withdraws a retry, which is pending from now on; returns `false` if none is left.
    pub fn withdraw(&mut self, reason: RoutedRetryReason, now: Timestamp) -> bool {
        self.advance(now);
        let is_late = reason == RoutedRetryReason::Late;
        let share = reason.max_share();
        let has_room = self.windows().all(|window| {
            let fits_all = f64::from(window.retries + 1) <= window.allowed * share;
            let late_limit = window.allowed * reason.max_own_share();
            fits_all && (!is_late || f64::from(window.late + 1) <= late_limit)
        });
        if has_room {
            self.pending += 1;
            self.pending_late += u32::from(is_late);
        }
        has_room
    }

    /// Ends a pending retry; `is_used` says whether it may have arrived at an upstream.
    ///
    /// A retry that may have arrived counts as if it had arrived now, at the latest possible time.
    pub fn settle(&mut self, reason: RoutedRetryReason, is_used: bool, now: Timestamp) {
        self.advance(now);
        let late = u32::from(reason == RoutedRetryReason::Late);
        self.pending = self.pending.saturating_sub(1);
        self.pending_late = self.pending_late.saturating_sub(late);
        if let Some(slice) = self.slices.back_mut().filter(|_| is_used) {
            slice.retries += 1;
            slice.late += late;
        }
    }

    /// Returns how many retries of broken requests are left now.
    pub fn retries_left(&mut self, now: Timestamp) -> u32 {
        self.advance(now);
        let left = |window: WindowUse| window.allowed - f64::from(window.retries);
        let least = self.windows().map(left).reduce(f64::min);
        least.unwrap_or_default().max(0.0) as u32
    }

    /// Returns the requests and the retries in the present window.
    pub fn counts(&mut self, now: Timestamp) -> (u32, u32) {
        self.advance(now);
        let window = self.slices.iter().rev().take(SLICES);
        window.fold((0, self.pending), |(requests, retries), slice| {
            (requests + slice.requests, retries + slice.retries)
        })
    }

    /// Returns the use of each window that contains the present moment, by the slice in which it
    /// starts, the latest first.
    fn windows(&self) -> impl Iterator<Item = WindowUse> {
        let mut retries = self.pending;
        let mut late = self.pending_late;
        let mut requests: u32 = self.latest(SLICES - UNCOUNTED_SLICES).sum();
        (0..=SLICES).map(move |age| {
            let slice = self.slice(age);
            retries += slice.retries;
            late += slice.late;
            requests += self.slice(SLICES - UNCOUNTED_SLICES + age).requests;
            WindowUse {
                retries,
                late,
                allowed: f64::from(requests) * self.ratio / 2.0,
            }
        })
    }

    /// Returns the requests in each of the latest slices.
    fn latest(&self, count: usize) -> impl Iterator<Item = u32> {
        self.slices
            .iter()
            .rev()
            .take(count)
            .map(|slice| slice.requests)
    }

    /// Returns the slice that is so many slices older than the present one.
    fn slice(&self, age: usize) -> Slice {
        let index = self.slices.len().checked_sub(age + 1);
        index.map_or_else(Slice::default, |index| self.slices[index])
    }

    /// Adds empty slices up to `now` and drops old ones.
    fn advance(&mut self, now: Timestamp) {
        let number = now.0 / self.slice_ms;
        if self.slices.is_empty() {
            self.newest = number;
            self.slices.push_back(Slice::default());
        }
        let passed = number.saturating_sub(self.newest).min(KEPT_SLICES as u64);
        for _ in 0..passed {
            self.slices.push_back(Slice::default());
        }
        self.newest = self.newest.max(number);
        let surplus = self.slices.len().saturating_sub(KEPT_SLICES);
        self.slices.drain(..surplus);
    }
}

/// The retries since the start of a window, and how many are allowed there.
#[derive(Clone, Copy, Debug)]
struct WindowUse {
    retries: u32,
    late: u32,
    allowed: f64,
}
