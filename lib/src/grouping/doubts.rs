//! Engines to which a copy of an order may still be on its way.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::registry::{
    InstanceId,
    Registry, //
};

/// What may still reach one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Doubt {
    /// Copies of orders up to this epoch may come.
    epoch: u64,
    /// How many orders the engine had begun when it was looked at last.
    begun: Option<u64>,
}

/// Engines that must be looked at before they join a group.
///
/// A `join` that nobody has answered may be carried out seconds later. An engine that has left
/// its group would then be back in it, and an open head would be whole again; a join to another
/// group takes it away from that head. So the engine is looked at first, and the join is
/// refused if the engine has begun anything since.
#[derive(Clone, Debug)]
pub(super) struct Doubts {
    /// The highest epoch that a leader before this one can have given.
    epoch_before: u64,
    by_engine: BTreeMap<InstanceId, Doubt>,
    met: BTreeSet<InstanceId>,
}

impl Doubts {
    pub(super) fn new(epoch_before: u64) -> Self {
        Self {
            epoch_before,
            by_engine: BTreeMap::new(),
            met: BTreeSet::new(),
        }
    }

    /// Takes note of engines that are new to this leader, and of those that are past doubt.
    ///
    /// What an earlier leader has ordered without an answer is unknown, so each engine is
    /// doubtful until it has seen an epoch of this leader.
    pub(super) fn observe(&mut self, registry: &Registry) {
        for (id, known) in registry.iter() {
            if self.met.insert(id.clone()) {
                self.add(id, self.epoch_before);
            }
            if let Some(standing) = known.group() {
                self.clear_below(id, standing.epoch);
            }
        }
        self.met.retain(|id| registry.get(id).is_some());
        self.by_engine.retain(|id, _| registry.get(id).is_some());
    }

    /// Notes that a copy of an order of this epoch may still be carried out.
    pub(super) fn add(&mut self, id: &InstanceId, epoch: u64) {
        let doubt = self.by_engine.entry(id.clone());
        let doubt = doubt.or_insert(Doubt { epoch, begun: None });
        doubt.epoch = doubt.epoch.max(epoch);
        doubt.begun = None;
    }

    /// Notes that an engine has seen an epoch; it refuses copies of lower ones.
    pub(super) fn clear_below(&mut self, id: &InstanceId, epoch: u64) {
        if self
            .by_engine
            .get(id)
            .is_some_and(|doubt| doubt.epoch < epoch)
        {
            self.by_engine.remove(id);
        }
    }

    /// Notes how many orders an engine has begun, or that this is not known any more.
    pub(super) fn looked_at(&mut self, id: &InstanceId, begun: Option<u64>) {
        if let Some(doubt) = self.by_engine.get_mut(id) {
            doubt.begun = begun;
        }
    }

    /// Returns whether the engine must be looked at before its next join.
    pub(super) fn must_look(&self, id: &InstanceId) -> bool {
        let doubt = self.by_engine.get(id);
        doubt.is_some_and(|doubt| doubt.begun.is_none())
    }

    /// Returns how many orders the engine must have begun to take a join; `None` for any.
    pub(super) fn expected_command_count(&self, id: &InstanceId) -> Option<u64> {
        self.by_engine.get(id).and_then(|doubt| doubt.begun)
    }
}
