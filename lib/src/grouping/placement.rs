//! From which engines of a domain a group is made.

use std::time::Duration;

use crate::{
    ids::Address,
    prelude::*,
    registry::InstanceId,
    routes::ModelTraits, //
};

/// How long an engine waits for partners before it gives up the only model at hand.
const WAITS_FOR_PARTNERS: Duration = Duration::from_millis(3_000);

/// An engine that no group needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreeEngine {
    /// Which run.
    pub id: InstanceId,
    /// Where it takes orders.
    pub address: Address,
    /// Its part of the fabric.
    pub fabric_domain: FabricDomain,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The models on its host.
    pub staged: Vec<ModelName>,
    /// The model that it ran last since its start.
    pub last_model: Option<ModelName>,
    /// Since when it has been free.
    pub free_since: Timestamp,
}

impl FreeEngine {
    /// Returns whether it can run a model without a load from the store.
    pub fn is_quick(&self, model: &ModelName) -> bool {
        self.last_model.as_ref() == Some(model) || self.staged.contains(model)
    }

    /// Returns whether what its host keeps may be given up for another model.
    pub(super) fn may_give_up_host(&self, now: Timestamp) -> bool {
        let ran_it = |staged: &ModelName| self.last_model.as_ref() == Some(staged);
        self.staged.iter().all(ran_it) || now.since(self.free_since) >= WAITS_FOR_PARTNERS
    }
}

/// A group to form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewGroup {
    /// Its model.
    pub model: ModelName,
    /// Its members, the head first.
    pub members: Vec<FreeEngine>,
    /// How many members lack the model on their host.
    pub loads: u32,
}

/// Returns the engines of one domain that make the best group of a model.
///
/// Those that ran the model last go first, since they are ready at once; then those that
/// have it on their host.
pub fn best_members(
    model: &ModelTraits,
    free: &[FreeEngine],
    may_load: impl Fn(&FreeEngine) -> bool,
) -> Option<NewGroup> {
    let size = model.size as usize;
    let usable = |engine: &&FreeEngine| engine.is_quick(&model.name) || may_load(engine);
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
        .filter(|engine| !engine.is_quick(&model.name));
    Some(NewGroup {
        model: model.name.clone(),
        loads: u32::try_from(loads.count()).unwrap_or(u32::MAX),
        members: engines.into_iter().cloned().collect(),
    })
}
