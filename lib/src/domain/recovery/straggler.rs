//! Which VMs are much slower than their peers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::prelude::*;

/// Fewer peers than this say nothing about what is usual.
const FEWEST_PEERS: usize = 4;
/// A VM is slow if it takes this share of the median of its peers, or more.
const SLOW: u32 = 200;
/// How many times in a row it must be slow.
const STRIKES: u32 = 5;
/// At most this share of the VMs compared is ejected, and at least one may be.
const MOST_EJECTED: Percent = Percent(10);
/// How long the first ejection lasts; each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(300);
/// How often the length of an ejection doubles at most.
const MOST_DOUBLINGS: u32 = 4;

#[derive(Clone, Debug, Default)]
struct Record {
    strikes: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

/// Compares how long VMs of one service take for the same step.
///
/// A VM out of use takes no steps, so nothing would show that it has become fast again.
/// The way back is therefore time: it becomes a free VM when its ejection ends, and
/// is ejected for longer if it is still slow.
#[derive(Clone, Debug, Default)]
pub struct StragglerDetector {
    vms: BTreeMap<VmId, Record>,
}

impl StragglerDetector {
    /// Takes one round of step times of VMs that do the same work.
    pub fn observe(&mut self, step_times: &BTreeMap<VmId, Duration>, now: Timestamp) {
        self.end_ejections(now);
        if step_times.len() <= FEWEST_PEERS {
            return;
        }
        let median = median_of(step_times.values());
        let mut candidates = Vec::new();
        for (vm, step_time) in step_times {
            let record = self.vms.entry(vm.clone()).or_default();
            if record.ejected_until.is_some() {
                continue;
            }
            let slow = *step_time * 100 >= median * SLOW;
            record.strikes = if slow { record.strikes + 1 } else { 0 };
            if record.strikes >= STRIKES {
                candidates.push((*step_time, vm));
            }
        }
        // The slowest first: the ceiling may leave room for one only.
        candidates.sort_by(|a, b| b.cmp(a));
        let most = (step_times.len() * usize::from(MOST_EJECTED.0) / 100).max(1);
        let room = most.saturating_sub(self.ejected().len());
        for (_, vm) in candidates.into_iter().take(room) {
            if let Some(record) = self.vms.get_mut(vm) {
                record.eject(now);
            }
        }
    }

    /// Returns the VMs that are out of use.
    pub fn ejected(&self) -> BTreeSet<&VmId> {
        let ejected = self
            .vms
            .iter()
            .filter(|(_, record)| record.ejected_until.is_some());
        ejected.map(|(vm, _)| vm).collect()
    }

    /// Returns VMs to use whose time out of use is over.
    pub fn end_ejections(&mut self, now: Timestamp) {
        for record in self.vms.values_mut() {
            if record.ejected_until.is_some_and(|until| now >= until) {
                record.ejected_until = None;
            }
        }
    }
}

impl Record {
    fn eject(&mut self, now: Timestamp) {
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        self.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
        self.ejections += 1;
        self.strikes = 0;
    }
}

fn median_of<'a>(step_times: impl Iterator<Item = &'a Duration>) -> Duration {
    let mut ordered: Vec<Duration> = step_times.copied().collect();
    ordered.sort();
    ordered.get(ordered.len() / 2).copied().unwrap_or_default()
}
