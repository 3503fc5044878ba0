//! The cost of a group's downtime, and the time of weight loads.

use std::time::Duration;

use crate::{
    fleet::RecoverySettings,
    prelude::*, //
};

/// The time in which a group forms once every member holds the weights.
pub const JOIN_TIME: Duration = Duration::from_secs(2);

/// The cost of downtime, in milliseconds times weight: of groups that don't serve, and of
/// healthy accelerators that are idle for it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Cost(pub u64);

impl Cost {
    /// Returns this cost plus `share` of it.
    #[must_use]
    pub fn raised_by(self, share: Percent) -> Self {
        Self(self.0.saturating_add(self.0 / 100 * u64::from(share.0)))
    }

    /// Returns the sum of both costs, or the largest value on overflow.
    #[must_use]
    pub fn plus(self, other: Cost) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference of two costs, at least 0.
    #[must_use]
    pub fn minus(self, other: Cost) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Computes costs and load times by the deployment's settings.
#[derive(Clone, Copy, Debug)]
pub struct CostModel<'a> {
    settings: &'a RecoverySettings,
}

impl<'a> CostModel<'a> {
    /// Returns the model for these settings.
    pub fn new(settings: &'a RecoverySettings) -> Self {
        Self { settings }
    }

    /// Returns the cost of one group that is down for `length` and leaves `stranded` healthy
    /// accelerators idle.
    pub fn downtime_cost(&self, stranded: Accelerators, length: Duration) -> Cost {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        Cost(self.cost_per_ms(stranded).saturating_mul(length_ms))
    }

    /// Returns the cost of one millisecond of downtime.
    pub fn cost_per_ms(&self, stranded: Accelerators) -> u64 {
        let group = u64::from(self.settings.group_downtime_weight);
        let accelerator = u64::from(self.settings.stranded_accelerator_weight);
        group + accelerator * u64::from(stranded.0)
    }

    /// Returns the time that a weight load takes if `loads_at_once` run. Beyond the number that
    /// the weight store serves at full rate, all become slower.
    pub fn load_time(&self, loads_at_once: u32) -> Duration {
        let alone = Duration::from_millis(self.settings.weight_load_ms);
        let full_rate = self.settings.concurrent_weight_loads.max(1);
        alone * loads_at_once.max(full_rate) / full_rate
    }
}

/// The capacity of the weight store that is left for further loads.
///
/// Loads beyond the store's rate would slow down all running ones, so that every repair ends
/// late. One after the other, the first repair ends early and the last one no later.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreBudget {
    running: u32,
    full_rate: u32,
    /// Whether loads were refused; all later ones are refused too.
    has_refused: bool,
}

impl WeightStoreBudget {
    /// Returns the budget that is left beside `running` loads.
    pub fn new(settings: &RecoverySettings, running: u32) -> Self {
        Self {
            running,
            full_rate: settings.concurrent_weight_loads.max(1),
            has_refused: false,
        }
    }

    /// Returns a budget that grants everything, for the baseline policies, which load without
    /// regard to the store.
    pub fn unlimited() -> Self {
        Self {
            running: 0,
            full_rate: u32::MAX,
            has_refused: false,
        }
    }

    /// Grants `loads` simultaneous loads if the store has capacity for all of them, or if no
    /// other load runs. After a refusal every further load is refused, so that small repairs of
    /// less value can't overtake a large one for ever.
    pub fn grant(&mut self, loads: u32) -> bool {
        if loads == 0 {
            return true;
        }
        let fits = self.running == 0 || self.running.saturating_add(loads) <= self.full_rate;
        if self.has_refused || !fits {
            self.has_refused = true;
            return false;
        }
        self.running = self.running.saturating_add(loads);
        true
    }
}
