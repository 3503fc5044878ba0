//! Order in which free engines load weights from the store.
//!
//! The store has one total rate however many loads run at once, so after many losses the free
//! engines wait for it. The order of the loads decides how many engines serve: one load that
//! completes a group of four brings three waiting engines back with it, while a load onto a host
//! whose domain has no partners for it brings back nothing for now.

use std::collections::BTreeMap;

use crate::{
    prelude::*,
    routes::ModelTraits, //
};

use super::placement::FreeEngine;

/// Exponent by which the need of a model counts for more than the number of engines that a load
/// brings back.
///
/// Loads for small groups are cheap; with the need alone (exponent 1) they would go before those of
/// a large model that has hardly any engines.
const NEED_EXPONENT: i32 = 3;

/// A model and the worth of one more engine for it.
#[derive(Clone, Copy, Debug)]
pub struct NeededModel<'a> {
    /// The model.
    pub model: &'a ModelTraits,
    /// The worth of one more engine: the model's share of the engines divided by the engines that
    /// it has.
    pub need: f64,
}

/// A group that free engines of a domain can form once some of them have loaded its model.
struct Completion {
    loads: Vec<(FreeEngine, ModelName)>,
    /// Engines brought into use for each millisecond of the store's time, weighted by need;
    /// infinite if no load is needed.
    gain: f64,
}

/// Returns the loads that free engines should do onto their hosts, the best first.
///
/// Loads that complete a group come first, by the engines that they bring back for the store's
/// time. Loads onto empty hosts of left-over engines follow, so that these are of use when others
/// become free.
pub fn next_loads(
    domains: &BTreeMap<FabricDomain, Vec<FreeEngine>>,
    models: &[NeededModel<'_>],
    is_loading: impl Fn(&FreeEngine, &ModelName) -> bool,
    now: Timestamp,
) -> Vec<(FreeEngine, ModelName)> {
    let mut completions: Vec<Completion> = Vec::new();
    let mut left_over: Vec<(FreeEngine, ModelName)> = Vec::new();
    for free in domains.values() {
        let mut pool: Vec<&FreeEngine> = free.iter().collect();
        while let Some(completion) = best_completion(&mut pool, models, &is_loading, now) {
            completions.push(completion);
        }
        left_over.extend(
            pool.into_iter()
                .filter_map(|engine| load_for_empty_host(engine, models)),
        );
    }
    completions.sort_by(|a, b| b.gain.total_cmp(&a.gain));
    let loads = completions
        .into_iter()
        .flat_map(|completion| completion.loads);
    loads.chain(left_over).collect()
}

/// Removes the engines of the group with the highest gain from the pool, and returns that group.
///
/// A group that has all it needs, or is loading it, gains most: it costs the store nothing more.
fn best_completion(
    pool: &mut Vec<&FreeEngine>,
    models: &[NeededModel<'_>],
    is_loading: &impl Fn(&FreeEngine, &ModelName) -> bool,
    now: Timestamp,
) -> Option<Completion> {
    let candidates = models.iter().filter_map(|needed| {
        let members = members_with_fewest_loads(pool, needed.model, is_loading, now)?;
        let name = &needed.model.name;
        let lacking = members
            .iter()
            .filter(|engine| !has_or_is_loading(engine, name, is_loading));
        let loads: Vec<(FreeEngine, ModelName)> = lacking
            .map(|engine| ((*engine).clone(), name.clone()))
            .collect();
        let size = f64::from(needed.model.size);
        let store_ms = needed.model.load_ms.max(1.0) * loads.len() as f64;
        let gain = match loads.is_empty() {
            true => f64::INFINITY,
            false => needed.need.powi(NEED_EXPONENT) * size / store_ms,
        };
        Some((Completion { loads, gain }, members))
    });
    let (completion, members) = candidates.max_by(|a, b| a.0.gain.total_cmp(&b.0.gain))?;
    pool.retain(|engine| !members.iter().any(|member| member.id == engine.id));
    Some(completion)
}

/// Returns the engines that can form a group of a model with the fewest loads; `None` if there are
/// too few.
fn members_with_fewest_loads<'a>(
    pool: &[&'a FreeEngine],
    model: &ModelTraits,
    is_loading: &impl Fn(&FreeEngine, &ModelName) -> bool,
    now: Timestamp,
) -> Option<Vec<&'a FreeEngine>> {
    let size = model.size as usize;
    let lacks = |engine: &&FreeEngine| !has_or_is_loading(engine, &model.name, is_loading);
    let usable = |engine: &&FreeEngine| !lacks(engine) || engine.may_give_up_host(now);
    let mut members: Vec<&FreeEngine> = pool.iter().copied().filter(usable).collect();
    members.sort_by_key(|engine| (lacks(engine), !engine.staged.is_empty(), engine.id.clone()));
    if size == 0 || members.len() < size {
        return None;
    }
    members.truncate(size);
    Some(members)
}

/// Returns whether an engine has a model already or is loading it.
fn has_or_is_loading(
    engine: &FreeEngine,
    model: &ModelName,
    is_loading: &impl Fn(&FreeEngine, &ModelName) -> bool,
) -> bool {
    engine.has_model(model) || is_loading(engine, model)
}

/// Returns the load for a left-over engine: the neediest model, if its host is empty.
fn load_for_empty_host(
    engine: &FreeEngine,
    models: &[NeededModel<'_>],
) -> Option<(FreeEngine, ModelName)> {
    if !engine.staged.is_empty() {
        return None;
    }
    let lacking = models
        .iter()
        .filter(|needed| !engine.has_model(&needed.model.name));
    let neediest = lacking.max_by(|a, b| a.need.total_cmp(&b.need))?;
    Some((engine.clone(), neediest.model.name.clone()))
}
