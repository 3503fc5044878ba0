//! Which VMs load weights now, as far as commands and announcements tell.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::prelude::*;

/// A load that takes this many times as long as it should is not counted any more.
const GIVE_UP_FACTOR: u32 = 8;

/// The loads that were let begin and have not ended.
#[derive(Clone, Debug, Default)]
pub struct RunningLoads {
    running: BTreeMap<VmId, Load>,
}

#[derive(Clone, Debug)]
struct Load {
    weights: String,
    since: Timestamp,
}

impl RunningLoads {
    /// Lets a VM begin to load; a load that runs already keeps its start.
    pub fn begin(&mut self, vm: &VmId, weights: &str, now: Timestamp) {
        if self.elapsed(vm, weights, now).is_none() {
            let load = Load {
                weights: weights.to_owned(),
                since: now,
            };
            self.running.insert(vm.clone(), load);
        }
    }

    /// Forgets the loads that have ended or are not wanted any more.
    pub fn retain(&mut self, mut runs: impl FnMut(&VmId, &str) -> bool) {
        self.running.retain(|vm, load| runs(vm, &load.weights));
    }

    /// Returns how many loads run.
    ///
    /// An engine that never announces that it holds its weights would otherwise take up the
    /// store for ever and hold back every repair; after `GIVE_UP_FACTOR` times
    /// `load_time` it no longer counts.
    pub fn count(&self, load_time: Duration, now: Timestamp) -> u32 {
        let give_up_after = load_time * GIVE_UP_FACTOR;
        let counted = self
            .running
            .values()
            .filter(|load| now.since(load.since) < give_up_after);
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// Returns for how long a VM has been loading these weights, if it does.
    pub fn elapsed(&self, vm: &VmId, weights: &str, now: Timestamp) -> Option<Duration> {
        let load = self.running.get(vm)?;
        (load.weights == weights).then(|| now.since(load.since))
    }
}
