//! Stride scheduling of the permits of one pool among daemons.

use std::collections::BTreeMap;

use super::Caller;
use crate::prelude::*;

/// Distributes a pool's permits among daemons in proportion to their weights.
///
/// Also records whether the pool is short, and whether requests are waiting for its permits.
#[derive(Clone, Debug, Default)]
pub(super) struct StrideScheduler {
    /// The daemons that get permits in advance.
    daemons: Vec<ScheduledDaemon>,
    /// Whether a request may be waiting for a permit at any daemon.
    pub(super) has_waiting_requests: bool,
    /// Share, from 0 to 1, of each caller's requests that is admitted while the pool is short;
    /// `None` if it is not short.
    pub(super) shares: Option<BTreeMap<Caller, f64>>,
}

/// One daemon's state in the schedule; the daemon with the lowest pass value is next.
#[derive(Clone, Debug)]
struct ScheduledDaemon {
    daemon: DaemonId,
    /// What one permit adds to the pass value: the inverse of the daemon's weight.
    stride: f64,
    pass: f64,
}

impl StrideScheduler {
    /// Replaces the weights of all daemons; a known daemon keeps its pass value relative to the
    /// lowest one.
    pub(super) fn set_weights(&mut self, weights: impl Iterator<Item = (DaemonId, f64)>) {
        let least = self.daemons.iter().map(|scheduled| scheduled.pass);
        let least = least.reduce(f64::min).unwrap_or_default();
        let before = std::mem::take(&mut self.daemons);
        let before: BTreeMap<DaemonId, f64> = before
            .into_iter()
            .map(|scheduled| (scheduled.daemon, scheduled.pass - least))
            .collect();
        let active = weights.filter(|(_, weight)| *weight > 0.0);
        self.daemons = active
            .map(|(daemon, weight)| ScheduledDaemon {
                pass: before.get(&daemon).copied().unwrap_or(1.0 / weight),
                stride: 1.0 / weight,
                daemon,
            })
            .collect();
    }

    /// Returns the daemon that gets the next permit, and advances its pass value.
    pub(super) fn next_daemon(&mut self) -> Option<DaemonId> {
        let daemons = self.daemons.iter_mut();
        let next = daemons.min_by(|one, other| one.pass.total_cmp(&other.pass))?;
        next.pass += next.stride;
        Some(next.daemon.clone())
    }

    /// Returns whether only some of a caller's requests are admitted.
    pub(super) fn is_limited(&self, caller: &Caller) -> bool {
        let shares = self.shares.as_ref();
        let share = shares.and_then(|shares| shares.get(caller));
        share.is_some_and(|share| *share < 1.0)
    }
}
