//! Choice of the engines of a domain that form a group.

use std::time::Duration;

use crate::{
    ids::Address,
    prelude::*,
    registry::InstanceId,
    routes::ModelTraits, //
};

/// Time for which a free engine whose host has another model than the one that it ran last waits
/// for engines with the same model, before its host may load another one.
///
/// An engine whose host has no such model does not wait.
const PARTNER_WAIT: Duration = Duration::from_millis(3_000);

/// A usable engine that is in no group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreeEngine {
    /// The engine instance.
    pub id: InstanceId,
    /// The address at which the engine takes commands.
    pub address: Address,
    /// The fabric domain of the engine; all members of a group are in one.
    pub fabric_domain: FabricDomain,
    /// The failure domain of the engine.
    pub failure_domain: FailureDomain,
    /// The models whose weights are on the engine's host.
    pub staged: Vec<ModelName>,
    /// The model that the engine ran last since its start.
    pub last_model: Option<ModelName>,
    /// The time since which the engine has been free.
    pub free_since: Timestamp,
}

impl FreeEngine {
    /// Returns whether the engine can run a model without loading its weights from the store.
    pub fn has_model(&self, model: &ModelName) -> bool {
        self.last_model.as_ref() == Some(model) || self.staged.contains(model)
    }

    /// Returns whether the models on the engine's host may be replaced by another one.
    pub(super) fn may_give_up_host(&self, now: Timestamp) -> bool {
        let ran_it = |staged: &ModelName| self.last_model.as_ref() == Some(staged);
        self.staged.iter().all(ran_it) || now.since(self.free_since) >= PARTNER_WAIT
    }
}

/// A group to form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewGroup {
    /// The model that the group runs.
    pub model: ModelName,
    /// The members by rank, the head first.
    pub members: Vec<FreeEngine>,
    /// The number of members that must load the model from the store.
    pub loads: u32,
}

/// Returns the group of a model that the free engines of one domain can form fastest; `None` if too
/// few can run the model.
///
/// Engines that ran the model last come first, since they are ready at once, then those that have
/// it on their host, then those that `may_load` it.
pub fn best_members(
    model: &ModelTraits,
    free: &[FreeEngine],
    may_load: impl Fn(&FreeEngine) -> bool,
) -> Option<NewGroup> {
    let size = model.size as usize;
    let usable = |engine: &&FreeEngine| engine.has_model(&model.name) || may_load(engine);
    let mut engines: Vec<&FreeEngine> = free.iter().filter(usable).collect();
    if size == 0 || engines.len() < size {
        return None;
    }
    engines.sort_by_key(|engine| {
        let ran_it = engine.last_model.as_ref() == Some(&model.name);
        let has_it = engine.staged.contains(&model.name);
        (!ran_it, !has_it, engine.id.clone())
    });
    engines.truncate(size);
    let loads = engines
        .iter()
        .filter(|engine| !engine.has_model(&model.name));
    Some(NewGroup {
        model: model.name.clone(),
        loads: u32::try_from(loads.count()).unwrap_or(u32::MAX),
        members: engines.into_iter().cloned().collect(),
    })
}
