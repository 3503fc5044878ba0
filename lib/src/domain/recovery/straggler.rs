//! Detection of VMs that are much slower than their peers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::prelude::*;

/// A VM is compared with at least this many others; fewer don't show a typical step time.
const MIN_PEERS: usize = 4;
/// A VM is slow if its step time is at least this percentage of the median of all VMs compared.
const SLOW_PERCENT: u32 = 200;
/// The number of consecutive rounds in which a VM must be slow to be ejected.
const SLOW_ROUNDS_TO_EJECT: u32 = 5;
/// At most this share of the VMs compared is ejected, but one VM may always be.
const MAX_EJECTED: Percent = Percent(10);
/// The duration of a VM's first ejection; each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(300);
/// How many times the duration of an ejection doubles at most.
const MAX_DOUBLINGS: u32 = 4;

#[derive(Clone, Debug, Default)]
struct VmRecord {
    slow_rounds: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

/// Compares the step times of the VMs of one service, and ejects the slow ones for a time.
///
/// An ejected VM takes no steps, so no measurement would show that it has become fast again. An
/// ejection therefore ends by time: the VM is free for new groups then, and is ejected for
/// longer if it is still slow.
#[derive(Clone, Debug, Default)]
pub struct StragglerDetector {
    vms: BTreeMap<VmId, VmRecord>,
}

impl StragglerDetector {
    /// Takes in one round of step times of VMs that do the same work.
    pub fn observe(&mut self, step_times: &BTreeMap<VmId, Duration>, now: Timestamp) {
        self.end_ejections(now);
        if step_times.len() <= MIN_PEERS {
            return;
        }
        let median = median_of(step_times.values());
        let mut candidates = Vec::new();
        for (vm, step_time) in step_times {
            let record = self.vms.entry(vm.clone()).or_default();
            if record.ejected_until.is_some() {
                continue;
            }
            let slow = *step_time * 100 >= median * SLOW_PERCENT;
            record.slow_rounds = if slow { record.slow_rounds + 1 } else { 0 };
            if record.slow_rounds >= SLOW_ROUNDS_TO_EJECT {
                candidates.push((*step_time, vm));
            }
        }
        // The slowest first, because the limit may leave room for only one.
        candidates.sort_by(|a, b| b.cmp(a));
        let most = (step_times.len() * usize::from(MAX_EJECTED.0) / 100).max(1);
        let room = most.saturating_sub(self.ejected().len());
        for (_, vm) in candidates.into_iter().take(room) {
            if let Some(record) = self.vms.get_mut(vm) {
                record.eject(now);
            }
        }
    }

    /// Returns the VMs that are ejected.
    pub fn ejected(&self) -> BTreeSet<&VmId> {
        let ejected = self
            .vms
            .iter()
            .filter(|(_, record)| record.ejected_until.is_some());
        ejected.map(|(vm, _)| vm).collect()
    }

    /// Ends the ejections whose time is over.
    pub fn end_ejections(&mut self, now: Timestamp) {
        for record in self.vms.values_mut() {
            if record.ejected_until.is_some_and(|until| now >= until) {
                record.ejected_until = None;
            }
        }
    }
}

impl VmRecord {
    fn eject(&mut self, now: Timestamp) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
        self.ejections += 1;
        self.slow_rounds = 0;
    }
}

fn median_of<'a>(step_times: impl Iterator<Item = &'a Duration>) -> Duration {
    let mut ordered: Vec<Duration> = step_times.copied().collect();
    ordered.sort();
    ordered.get(ordered.len() / 2).copied().unwrap_or_default()
}
