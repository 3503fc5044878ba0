//! What a group's absence costs, and how long loading weights takes.

use std::time::Duration;

use crate::{
    fleet::RecoverySettings,
    prelude::*, //
};

/// How long a group takes to form when every member holds the weights.
pub const JOIN_TIME: Duration = Duration::from_secs(2);

/// Group seconds and accelerator seconds, each by its weight.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Cost(pub u64);

impl Cost {
    /// Returns this cost raised by a share of itself.
    #[must_use]
    pub fn raised_by(self, share: Percent) -> Self {
        Self(self.0.saturating_add(self.0 / 100 * u64::from(share.0)))
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Cost) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns what this cost exceeds the other by.
    #[must_use]
    pub fn minus(self, other: Cost) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// The deployment's weights.
#[derive(Clone, Copy, Debug)]
pub struct CostModel<'a> {
    settings: &'a RecoverySettings,
}

impl<'a> CostModel<'a> {
    /// Weighs by these settings.
    pub fn new(settings: &'a RecoverySettings) -> Self {
        Self { settings }
    }

    /// Returns what one group costs that is down for `length` with `stranded` healthy accelerators.
    pub fn of_downtime(&self, stranded: Accelerators, length: Duration) -> Cost {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        Cost(self.rate(stranded).saturating_mul(length_ms))
    }

    /// Returns the cost of one millisecond.
    pub fn rate(&self, stranded: Accelerators) -> u64 {
        let group = u64::from(self.settings.group_downtime_weight);
        let accelerator = u64::from(self.settings.stranded_accelerator_weight);
        group + accelerator * u64::from(stranded.0)
    }

    /// Returns how long a load takes beside others; beyond its rate the store serves all slower.
    pub fn load_time(&self, loads_at_once: u32) -> Duration {
        let alone = Duration::from_millis(self.settings.weight_load_ms);
        let full_rate = self.settings.concurrent_weight_loads.max(1);
        alone * loads_at_once.max(full_rate) / full_rate
    }
}

/// What of the weight store's rate is still to be given away.
///
/// Loads beyond its rate would slow all that run, so that every repair ends late; one
/// after the other, the first ends early and the last no later.
#[derive(Clone, Copy, Debug)]
pub struct StoreBudget {
    running: u32,
    full_rate: u32,
    /// Whether a repair that is worth more has to wait.
    closed: bool,
}

impl StoreBudget {
    /// Starts with the loads that run.
    pub fn new(settings: &RecoverySettings, running: u32) -> Self {
        Self {
            running,
            full_rate: settings.concurrent_weight_loads.max(1),
            closed: false,
        }
    }

    /// Refuses nothing; for the baselines, which know no order.
    pub fn unlimited() -> Self {
        Self {
            running: 0,
            full_rate: u32::MAX,
            closed: false,
        }
    }

    /// Grants `loads` at once if there is room; refuses everything after a refusal, so that
    /// a large repair is not overtaken for ever by small ones that are worth less.
    pub fn grant(&mut self, loads: u32) -> bool {
        if loads == 0 {
            return true;
        }
        let fits = self.running == 0 || self.running.saturating_add(loads) <= self.full_rate;
        if self.closed || !fits {
            self.closed = true;
            return false;
        }
        self.running = self.running.saturating_add(loads);
        true
    }
}
