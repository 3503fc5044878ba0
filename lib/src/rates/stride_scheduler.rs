//! Whose turn it is among the daemons that get permits of one pool.

use std::collections::BTreeMap;

use super::Caller;
use crate::prelude::*;

/// A pool's turns and whether it is short.
#[derive(Clone, Debug, Default)]
pub(super) struct StrideScheduler {
    /// The daemons that get permits before they ask.
    turns: Vec<Turn>,
    /// Whether a request waits at some daemon.
    pub(super) is_waited_for: bool,
    /// Which part of each caller's requests may go, while the pool is short.
    pub(super) parts: Option<BTreeMap<Caller, f64>>,
}

/// One daemon's turns among those of a pool; the one with the least position is next.
#[derive(Clone, Debug)]
struct Turn {
    daemon: DaemonId,
    /// How far one permit takes it: the more requests a daemon has, the less.
    stride: f64,
    position: f64,
}

impl StrideScheduler {
    /// Replaces the weights of all daemons; each keeps its position among them.
    pub(super) fn set_weights(&mut self, weights: impl Iterator<Item = (DaemonId, f64)>) {
        let least = self.turns.iter().map(|turn| turn.position);
        let least = least.reduce(f64::min).unwrap_or_default();
        let before = std::mem::take(&mut self.turns);
        let before: BTreeMap<DaemonId, f64> = before
            .into_iter()
            .map(|turn| (turn.daemon, turn.position - least))
            .collect();
        let weighty = weights.filter(|(_, weight)| *weight > 0.0);
        self.turns = weighty
            .map(|(daemon, weight)| Turn {
                position: before.get(&daemon).copied().unwrap_or(1.0 / weight),
                stride: 1.0 / weight,
                daemon,
            })
            .collect();
    }

    /// Returns whose turn it is.
    pub(super) fn take_turn(&mut self) -> Option<DaemonId> {
        let turns = self.turns.iter_mut();
        let next = turns.min_by(|one, other| one.position.total_cmp(&other.position))?;
        next.position += next.stride;
        Some(next.daemon.clone())
    }

    /// Returns whether not all requests of a caller may go.
    pub(super) fn is_cut(&self, caller: &Caller) -> bool {
        let parts = self.parts.as_ref();
        let part = parts.and_then(|parts| parts.get(caller));
        part.is_some_and(|part| *part < 1.0)
    }
}
