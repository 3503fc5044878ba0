//! Which model the next group serves, and from which engines it is made.

use std::collections::BTreeMap;

use crate::{
    ids::Address,
    prelude::*,
    registry::InstanceId,
    routes::{
        EngineTraits,
        ModelTraits, //
    },
};

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
    /// Since when it has been free.
    pub free_since: Timestamp,
}

/// What there is of a model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ModelStanding {
    /// Engines in its groups.
    pub engines: u32,
    /// Its groups in each failure domain.
    pub groups: BTreeMap<FailureDomain, u32>,
}

/// A group to form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewGroup {
    /// Its model.
    pub model: ModelName,
    /// Its members, the head first, with how many of them load weights from the store.
    pub members: Vec<FreeEngine>,
    /// How many members lack the model on their host.
    pub loads: u32,
}

/// Returns the next group to form, if the free engines of one fabric domain make one.
///
/// The model that lacks most of its share goes first. Among the domains that have
/// enough engines, one that needs fewer loads is taken, then the failure domain with
/// the fewest groups of the model, then the domain that is left with the fewest
/// engines: a domain that is used up strands nothing. `may_load` says for an engine
/// whether it may load weights now.
pub fn next_group(
    traits: &EngineTraits,
    shares: &BTreeMap<ModelName, f64>,
    free: &[FreeEngine],
    standings: &BTreeMap<ModelName, ModelStanding>,
    may_load: impl Fn(&FreeEngine) -> bool,
) -> Option<NewGroup> {
    let in_groups: u32 = standings.values().map(|standing| standing.engines).sum();
    let total = f64::from(in_groups) + free.len() as f64;
    let mut models: Vec<(f64, &ModelTraits)> = traits
        .models
        .iter()
        .map(|model| {
            let share = shares.get(&model.name).copied().unwrap_or(model.share);
            let has = standings.get(&model.name).map_or(0, |s| s.engines);
            (share * total - f64::from(has), model)
        })
        .collect();
    models.sort_by(|a, b| b.0.total_cmp(&a.0));
    models
        .into_iter()
        .find_map(|(_, model)| best_in_domains(model, free, standings, &may_load))
}

fn best_in_domains(
    model: &ModelTraits,
    free: &[FreeEngine],
    standings: &BTreeMap<ModelName, ModelStanding>,
    may_load: &impl Fn(&FreeEngine) -> bool,
) -> Option<NewGroup> {
    let mut domains: BTreeMap<&FabricDomain, Vec<&FreeEngine>> = BTreeMap::new();
    for engine in free {
        let fits = engine.staged.contains(&model.name) || may_load(engine);
        if fits {
            domains
                .entry(&engine.fabric_domain)
                .or_default()
                .push(engine);
        }
    }
    let standing = standings.get(&model.name);
    let groups_near = |engine: &FreeEngine| {
        standing
            .and_then(|standing| standing.groups.get(&engine.failure_domain))
            .copied()
            .unwrap_or(0)
    };
    let size = model.size as usize;
    let choices = domains
        .into_values()
        .filter(|engines| engines.len() >= size.max(1));
    let ranked = choices.map(|mut engines| {
        let lacks = |engine: &FreeEngine| !engine.staged.contains(&model.name);
        engines.sort_by_key(|engine| (lacks(engine), engine.id.clone()));
        let left = engines.len() - size;
        engines.truncate(size);
        let loads = engines.iter().filter(|engine| lacks(engine)).count();
        let near = engines.first().map_or(0, |engine| groups_near(engine));
        ((loads, near, left), engines)
    });
    let ((loads, _, _), engines) = ranked.min_by_key(|(rank, _)| *rank)?;
    Some(NewGroup {
        model: model.name.clone(),
        members: engines.into_iter().cloned().collect(),
        loads: u32::try_from(loads).unwrap_or(u32::MAX),
    })
}
