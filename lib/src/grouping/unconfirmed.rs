//! Engines to which a copy of a command may still be on its way.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::registry::{
    InstanceId,
    Registry, //
};

/// The commands that may still reach one engine late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct LateCommands {
    /// The highest epoch of a command that may still arrive.
    epoch: u64,
    /// The number of commands that the engine had begun at its last query; `None` if it must be
    /// queried.
    begun: Option<u64>,
}

/// Engines that must be queried before they join a group, because a command to them is unconfirmed.
///
/// A `join` without an answer may be executed seconds later. An engine that has left its group
/// would then be back in it, and its group's open head would be complete again; a join to another
/// group would take the engine away from that head. So the engine is queried first, and it refuses
/// the join if it has begun any command since.
#[derive(Clone, Debug)]
pub(super) struct UnconfirmedEngines {
    /// The highest epoch that an earlier leader can have used.
    epoch_before: u64,
    by_engine: BTreeMap<InstanceId, LateCommands>,
    seen_engines: BTreeSet<InstanceId>,
}

impl UnconfirmedEngines {
    pub(super) fn new(epoch_before: u64) -> Self {
        Self {
            epoch_before,
            by_engine: BTreeMap::new(),
            seen_engines: BTreeSet::new(),
        }
    }

    /// Marks engines that are new to this leader as unconfirmed, and unmarks confirmed ones.
    ///
    /// The outcome of an earlier leader's commands is unknown, so each engine stays unconfirmed
    /// until it reports an epoch of this leader.
    pub(super) fn observe(&mut self, registry: &Registry) {
        for (id, known) in registry.iter() {
            if self.seen_engines.insert(id.clone()) {
                self.add(id, self.epoch_before);
            }
            if let Some(status) = known.group() {
                self.clear_below(id, status.epoch);
            }
        }
        self.seen_engines.retain(|id| registry.get(id).is_some());
        self.by_engine.retain(|id, _| registry.get(id).is_some());
    }

    /// Records that a command of this epoch may still be executed.
    pub(super) fn add(&mut self, id: &InstanceId, epoch: u64) {
        let late = self.by_engine.entry(id.clone());
        let late = late.or_insert(LateCommands { epoch, begun: None });
        late.epoch = late.epoch.max(epoch);
        late.begun = None;
    }

    /// Records that an engine has seen an epoch, so that it refuses commands of lower ones.
    pub(super) fn clear_below(&mut self, id: &InstanceId, epoch: u64) {
        if self
            .by_engine
            .get(id)
            .is_some_and(|late| late.epoch < epoch)
        {
            self.by_engine.remove(id);
        }
    }

    /// Records the number of commands that an engine has begun; `None` if it is no longer known.
    pub(super) fn record_begun_count(&mut self, id: &InstanceId, begun: Option<u64>) {
        if let Some(late) = self.by_engine.get_mut(id) {
            late.begun = begun;
        }
    }

    /// Returns whether the engine must be queried before its next join.
    pub(super) fn needs_query(&self, id: &InstanceId) -> bool {
        let late = self.by_engine.get(id);
        late.is_some_and(|late| late.begun.is_none())
    }

    /// Returns the number of commands that the engine must have begun to accept a join; `None` for
    /// any.
    pub(super) fn expected_command_count(&self, id: &InstanceId) -> Option<u64> {
        self.by_engine.get(id).and_then(|late| late.begun)
    }
}
