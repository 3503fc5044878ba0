//! A daemon's equal part of the slack, for retries while no leader can be reached.

use super::{
    BudgetSettings,
    settings::ARRIVAL_DELAY, //
};
use crate::time::Timestamp;

/// Retries that a daemon may save up.
const MAX_SAVED: f64 = 1.0;

/// A token bucket with an equal part of the slack.
///
/// The bucket starts empty, so a daemon that restarts gains nothing by that. What a daemon may save
/// up is taken off its equal part, and the rest accrues in a window; all daemons together can then
/// send both in one window. Daemons whose equal part is no more than what they may save get nothing.
#[derive(Clone, Debug)]
pub struct EqualPart {
    slack: f64,
    span_s: f64,
    /// Number of daemons that share the slack; `None` until a leader has told it.
    daemons: Option<u32>,
    saved: f64,
    updated_at: Timestamp,
}

impl EqualPart {
    /// Returns an empty part.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            slack: settings.equal_slack(),
            span_s: (settings.window + ARRIVAL_DELAY).as_secs_f64(),
            daemons: None,
            saved: 0.0,
            updated_at: Timestamp::default(),
        }
    }

    /// Sets the number of daemons that share the slack, as a leader has told it.
    pub fn set_daemons(&mut self, daemons: u32, now: Timestamp) {
        self.accrue(now);
        self.daemons = Some(daemons);
    }

    /// Returns the number of daemons that share the slack; `None` until a leader has told it.
    pub fn daemons(&self) -> Option<u32> {
        self.daemons
    }

    /// Withdraws a retry; returns `false` if none has accrued.
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        self.accrue(now);
        let is_enough = self.saved >= 1.0;
        if is_enough {
            self.saved -= 1.0;
        }
        is_enough
    }

    /// Puts back a retry that was not sent.
    pub fn put_back(&mut self) {
        self.saved = (self.saved + 1.0).min(MAX_SAVED);
    }

    fn accrue(&mut self, now: Timestamp) {
        let passed_s = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.saved = (self.saved + passed_s * self.rate_per_s()).min(MAX_SAVED);
    }

    fn rate_per_s(&self) -> f64 {
        let part = self
            .daemons
            .map_or(0.0, |daemons| self.slack / f64::from(daemons.max(1)));
        (part - MAX_SAVED).max(0.0) / self.span_s
    }
}
