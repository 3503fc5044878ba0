//! A budget of repeats over a sliding window, shared without a call for each request.
//!
//! Each daemon allows repeats by the share of its own requests, and its part of what is
//! free for all daemons together. The sum over daemons then keeps the bound, however
//! the requests are spread over them.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::time::Timestamp;

/// Into how many parts the window is divided.
const PARTS: u64 = 10;
/// What of the bound is used: arrivals are counted elsewhere, at slightly other times.
const USED_SHARE: f64 = 0.8;

/// Why a request is sent once more.
///
/// What is merely late is answered without a repeat too; what was not run may come back by its
/// caller; what broke off is lost without one. So each leaves a part of the window to the next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoutedRetryReason {
    /// It takes unusually long.
    Late,
    /// The upstream said that it did not run it.
    NotRun,
    /// Its answer broke off or failed.
    Broken,
}

impl RoutedRetryReason {
    /// Returns up to which part of the window all repeats together may have grown.
    fn top(self) -> f64 {
        match self {
            RoutedRetryReason::Late => 0.5,
            RoutedRetryReason::NotRun => 0.9,
            RoutedRetryReason::Broken => 1.0,
        }
    }
}

/// The part of the window that repeats of what is late may use.
const LATE_PART: f64 = 0.25;

/// The bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats that are free in the window, for all daemons together.
    pub slack: u32,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
    /// Repeats of what was late, which are among the repeats.
    late: u32,
}

/// One service's budget at one daemon.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    settings: BudgetSettings,
    parts: VecDeque<Part>,
}

impl WindowBudget {
    /// Starts with nothing counted.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            parts: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Timestamp) {
        if let Some(part) = self.part(now) {
            part.requests += 1;
        }
    }

    /// Counts a repeat if the bound allows it; `daemons` share what is free.
    pub fn withdraw(&mut self, reason: RoutedRetryReason, daemons: u32, now: Timestamp) -> bool {
        let allowed = self.allowed(daemons, now);
        let is_late = reason == RoutedRetryReason::Late;
        let late: u32 = self.parts.iter().map(|part| part.late).sum();
        let too_many = f64::from(self.repeats() + 1) > allowed * reason.top();
        if too_many || (is_late && f64::from(late + 1) > allowed * LATE_PART) {
            return false;
        }
        if let Some(part) = self.part(now) {
            part.repeats += 1;
            part.late += u32::from(is_late);
        }
        true
    }

    /// Returns how many repeats of what broke off the window still has.
    pub fn retries_left(&mut self, daemons: u32, now: Timestamp) -> u32 {
        let allowed = self.allowed(daemons, now) as u32;
        allowed.saturating_sub(self.repeats())
    }

    fn allowed(&mut self, daemons: u32, now: Timestamp) -> f64 {
        let share = f64::from(self.settings.slack) / f64::from(daemons.max(1));
        self.part(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        (f64::from(requests) * self.settings.ratio + share) * USED_SHARE
    }

    fn repeats(&self) -> u32 {
        self.parts.iter().map(|part| part.repeats).sum()
    }

    fn part(&mut self, now: Timestamp) -> Option<&mut Part> {
        let window_ms = u64::try_from(self.settings.window.as_millis()).unwrap_or(u64::MAX);
        let number = now.0 / (window_ms / PARTS).max(1);
        while self
            .parts
            .front()
            .is_some_and(|part| part.number + PARTS <= number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number != number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        self.parts.back_mut()
    }
}
