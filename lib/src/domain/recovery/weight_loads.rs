//! The weight loads that run, as far as the leader's commands and the engines' announcements
//! show.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::prelude::*;

/// A load counts as running for at most this many times its expected duration.
const GIVE_UP_FACTOR: u32 = 8;

/// The weight loads that the leader has let begin and that haven't ended.
#[derive(Clone, Debug, Default)]
pub struct WeightLoads {
    running: BTreeMap<VmId, Load>,
}

#[derive(Clone, Debug)]
struct Load {
    weights: String,
    since: Timestamp,
}

impl WeightLoads {
    /// Records that a VM begins to load weights; for a load that runs already, the start stays.
    pub fn record_begin(&mut self, vm: &VmId, weights: &str, now: Timestamp) {
        if self.elapsed(vm, weights, now).is_none() {
            let load = Load {
                weights: weights.to_owned(),
                since: now,
            };
            self.running.insert(vm.clone(), load);
        }
    }

    /// Drops the loads for which `is_running` returns `false`.
    pub fn retain(&mut self, mut is_running: impl FnMut(&VmId, &str) -> bool) {
        self.running
            .retain(|vm, load| is_running(vm, &load.weights));
    }

    /// Returns the number of running loads.
    ///
    /// A load no longer counts after `GIVE_UP_FACTOR` times `load_time`. An engine that never
    /// announces its weights would otherwise take up the store for ever and hold back every
    /// repair.
    pub fn count(&self, load_time: Duration, now: Timestamp) -> u32 {
        let give_up_after = load_time * GIVE_UP_FACTOR;
        let counted = self
            .running
            .values()
            .filter(|load| now.since(load.since) < give_up_after);
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// Returns the time for which a VM has been loading these weights; `None` if no such load
    /// is recorded.
    pub fn elapsed(&self, vm: &VmId, weights: &str, now: Timestamp) -> Option<Duration> {
        let load = self.running.get(vm)?;
        (load.weights == weights).then(|| now.since(load.since))
    }
}
