//! Which weights the store's few places carry next.
//!
//! The store loads at one rate however many loads run beside each other, so after many losses
//! the engines that idle wait for it. Which loads go first decides how many serve: one load
//! that completes a group of four brings three waiting engines back with it, while one onto a
//! host whose domain has no partners brings back nothing for now.

use std::collections::BTreeMap;

use crate::{
    prelude::*,
    routes::ModelTraits, //
};

use super::placement::FreeEngine;

/// How much more the need of a model counts than what a load brings back.
///
/// Loads of a small model's pairs are cheap, and with the need alone they go before those of a
/// large model that starves.
const NEED_POWER: i32 = 3;

/// A model and how much one more engine of it is worth.
#[derive(Clone, Copy, Debug)]
pub struct NeededModel<'a> {
    /// The model.
    pub model: &'a ModelTraits,
    /// What an engine of it is worth: the inverse of how well the model is supplied.
    pub need: f64,
}

/// A group that a domain's free engines make once some of them have loaded its model.
struct Completion {
    loads: Vec<(FreeEngine, ModelName)>,
    /// Engines that come into use for each second of the store's time, weighed by need.
    gain: f64,
}

/// Returns which free engines should load which model onto their hosts, the best first.
///
/// First come loads that complete a group, the one that brings back most engines for the
/// store's time first, then those onto empty hosts that are left over, so that they are of
/// use when others become free.
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
                .filter_map(|engine| onto_empty(engine, models)),
        );
    }
    completions.sort_by(|a, b| b.gain.total_cmp(&a.gain));
    let loads = completions
        .into_iter()
        .flat_map(|completion| completion.loads);
    loads.chain(left_over).collect()
}

/// Takes the engines of the group that gains most out of the pool.
///
/// A group that has all it needs, or is loading it, gains most: it costs the store nothing more.
fn best_completion(
    pool: &mut Vec<&FreeEngine>,
    models: &[NeededModel<'_>],
    is_loading: &impl Fn(&FreeEngine, &ModelName) -> bool,
    now: Timestamp,
) -> Option<Completion> {
    let found = models.iter().filter_map(|needed| {
        let members = members_of(pool, needed.model, is_loading, now)?;
        let name = &needed.model.name;
        let lacking = members
            .iter()
            .filter(|engine| !has(engine, name, is_loading));
        let loads: Vec<(FreeEngine, ModelName)> = lacking
            .map(|engine| ((*engine).clone(), name.clone()))
            .collect();
        let size = f64::from(needed.model.size);
        let store_ms = needed.model.load_ms.max(1.0) * loads.len() as f64;
        let gain = match loads.is_empty() {
            true => f64::INFINITY,
            false => needed.need.powi(NEED_POWER) * size / store_ms,
        };
        Some((Completion { loads, gain }, members))
    });
    let (completion, members) = found.max_by(|a, b| a.0.gain.total_cmp(&b.0.gain))?;
    pool.retain(|engine| !members.iter().any(|member| member.id == engine.id));
    Some(completion)
}

/// Returns the engines that make a group of a model with the fewest loads.
fn members_of<'a>(
    pool: &[&'a FreeEngine],
    model: &ModelTraits,
    is_loading: &impl Fn(&FreeEngine, &ModelName) -> bool,
    now: Timestamp,
) -> Option<Vec<&'a FreeEngine>> {
    let size = model.size as usize;
    let lacks = |engine: &&FreeEngine| !has(engine, &model.name, is_loading);
    let usable = |engine: &&FreeEngine| !lacks(engine) || engine.may_give_up_host(now);
    let mut members: Vec<&FreeEngine> = pool.iter().copied().filter(usable).collect();
    members.sort_by_key(|engine| (lacks(engine), !engine.staged.is_empty(), engine.id.clone()));
    if size == 0 || members.len() < size {
        return None;
    }
    members.truncate(size);
    Some(members)
}

fn has(
    engine: &FreeEngine,
    model: &ModelName,
    is_loading: &impl Fn(&FreeEngine, &ModelName) -> bool,
) -> bool {
    engine.is_quick(model) || is_loading(engine, model)
}

/// Returns what an engine that is left over loads: the neediest model, if its host is empty.
fn onto_empty(engine: &FreeEngine, models: &[NeededModel<'_>]) -> Option<(FreeEngine, ModelName)> {
    if !engine.staged.is_empty() {
        return None;
    }
    let lacking = models
        .iter()
        .filter(|needed| !engine.is_quick(&needed.model.name));
    let neediest = lacking.max_by(|a, b| a.need.total_cmp(&b.need))?;
    Some((engine.clone(), neediest.model.name.clone()))
}
