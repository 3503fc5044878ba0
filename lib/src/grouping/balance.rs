//! Choice of the next group to form: from free engines alone, or by taking other groups apart.
//!
//! A domain that has lost an engine can often no longer form the groups that it had. If only free
//! engines were used, large groups would die out: each loss leaves too few engines for another
//! large group, and they end in small ones. So supply is weighed over all models: a model that has
//! too little of its share may get a group by taking apart one of a model that has more.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    prelude::*,
    routes::{
        EngineTraits,
        ModelTraits, //
    },
};

use super::placement::FreeEngine;

/// Weight of the mean supply of all models against the supply of the worst-supplied model.
const MEAN_WEIGHT: f64 = 0.15;
/// Cost of taking a group apart, as a share of a model's supply.
const BREAK_COST: f64 = 0.04;
/// Cost of waiting for loads from the store, as a share of a model's supply.
const LOAD_COST: f64 = 0.06;
/// Cost of an engine that gives up the model it ran, as a share of a model's supply: its host must
/// load that model again before the engine can go back to it.
const SWITCH_COST: f64 = 0.02;
/// Time for which an engine must have been free before a model that is not the worst supplied may
/// use it.
const ARRIVAL_WAIT: Duration = Duration::from_millis(1_200);
/// Time for which free engines are reserved for a model below its share; after that any use of them
/// is better.
const IDLE_LIMIT: Duration = Duration::from_secs(6);
/// Smallest gain in the supply score for which a group is taken apart.
const MIN_GAIN: f64 = 0.004;

/// A group that takes requests and could be taken apart.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenGroup {
    /// The group.
    pub group: GroupId,
    /// The model that the group runs.
    pub model: ModelName,
    /// The number of members that could run each model without a load from the store.
    pub members_with_model: BTreeMap<ModelName, u32>,
}

/// The free engines and open groups of one fabric domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainState {
    /// Usable engines in no group.
    pub free: Vec<FreeEngine>,
    /// Groups that take requests.
    pub groups: Vec<OpenGroup>,
}

/// A group to form, and the groups to take apart for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The fabric domain in which the group is formed.
    pub domain: FabricDomain,
    /// The model to form a group of.
    pub model: ModelName,
    /// Groups to take apart first.
    pub breaks: Vec<GroupId>,
    /// The number of engines that would load weights from the store.
    pub loads: u32,
    /// The number of members that would run another model than the one they ran last.
    pub switches: u32,
    /// The supply score before and after the change, in thousandths, for logs.
    pub supply_before_after: (u32, u32),
}

/// Computes the supply of models: the engines in a model's groups, divided by the model's share of
/// all engines.
struct Supply<'a> {
    traits: &'a EngineTraits,
    shares: &'a BTreeMap<ModelName, f64>,
    total: f64,
}

impl Supply<'_> {
    /// Returns the supply of a model; 1.0 means that it has its share of the engines.
    fn supply_of(&self, model: &ModelTraits, engines: &BTreeMap<ModelName, f64>) -> f64 {
        let has = engines.get(&model.name).copied().unwrap_or(0.0);
        has / (self.share(model) * self.total).max(1.0)
    }

    /// Returns the score of a distribution of engines; higher is better.
    fn score(&self, engines: &BTreeMap<ModelName, f64>) -> f64 {
        let supplies: Vec<f64> = self
            .traits
            .models
            .iter()
            .filter_map(|model| {
                let share = self.share(model);
                (share > 0.0).then(|| self.supply_of(model, engines))
            })
            .collect();
        let worst = supplies.iter().copied().fold(f64::INFINITY, f64::min);
        let mean = supplies.iter().sum::<f64>() / supplies.len().max(1) as f64;
        worst.min(2.0) + MEAN_WEIGHT * mean
    }

    /// Returns the share of all engines that a model should have.
    fn share(&self, model: &ModelTraits) -> f64 {
        let share = self.shares.get(&model.name).copied();
        share.unwrap_or(model.share)
    }
}

/// The state from which [`next_change`] decides.
#[derive(Clone, Copy, Debug)]
pub struct BalanceInput<'a> {
    /// The models of the service and their sizes.
    pub traits: &'a EngineTraits,
    /// Shares of the engines by model; a model without an entry has its configured share.
    pub shares: &'a BTreeMap<ModelName, f64>,
    /// The number of engines in groups that serve, get ready or have a reservation, by model.
    pub engines: &'a BTreeMap<ModelName, f64>,
    /// Whether groups may be taken apart.
    pub may_break: bool,
    /// The present time.
    pub now: Timestamp,
}

/// Returns the change that improves the supply score most, if any improves it enough.
///
/// `may_load` says whether a free engine may load weights from the store now.
pub fn next_change(
    input: &BalanceInput<'_>,
    domains: &BTreeMap<FabricDomain, DomainState>,
    may_load: impl Fn(&FreeEngine) -> bool,
) -> Option<Change> {
    let BalanceInput {
        traits,
        shares,
        engines,
        may_break,
        now,
    } = *input;
    let free: usize = domains.values().map(|domain| domain.free.len()).sum();
    let supply = Supply {
        traits,
        shares,
        total: engines.values().sum::<f64>() + free as f64,
    };
    let score_before = supply.score(engines);
    let supplies = traits
        .models
        .iter()
        .map(|model| supply.supply_of(model, engines));
    let worst = supplies.fold(f64::INFINITY, f64::min);
    let mut best: Option<(f64, Change)> = None;
    for (name, domain) in domains {
        for model in &traits.models {
            let model_supply = supply.supply_of(model, engines);
            // Engines that become free one after the other would end up in small groups. So only
            // the worst-supplied model takes them at once; the others wait for those that follow.
            let waits = if model_supply > worst {
                ARRIVAL_WAIT
            } else {
                Duration::ZERO
            };
            let may_use = |engine: &FreeEngine| now.since(engine.free_since) >= waits;
            let candidates = possible_changes(name, domain, model, &may_load, &may_use);
            for change in candidates
                .into_iter()
                .filter(|candidate| may_break || candidate.breaks.is_empty())
            {
                // A model that has its share gets no further engine that would have to change its
                // model: the engine is of more use to a model below its share, as soon as another
                // engine becomes free beside it.
                let changes_engines = change.switches > 0 || change.loads > 0;
                let for_long = |engine: &&FreeEngine| now.since(engine.free_since) >= IDLE_LIMIT;
                let idle = domain.free.iter().filter(for_long).count();
                if model_supply >= 1.0 && changes_engines && idle < model.size as usize {
                    continue;
                }
                let score_after = supply.score(&engines_after_change(
                    engines, domain, model, &change, traits,
                ));
                let load_cost = if change.loads > 0 { LOAD_COST } else { 0.0 };
                let gain = score_after
                    - score_before
                    - BREAK_COST * change.breaks.len() as f64
                    - SWITCH_COST * f64::from(change.switches)
                    - load_cost;
                // Free engines cost nothing, so any use of them is a gain.
                let is_free = change.breaks.is_empty();
                let is_worth = gain >= MIN_GAIN || (is_free && score_after > score_before);
                if is_worth && best.as_ref().is_none_or(|(known, _)| gain > *known) {
                    best = Some((gain, change));
                }
            }
        }
    }
    let (_, mut change) = best?;
    let model = traits.model(&change.model)?;
    let domain = domains.get(&change.domain)?;
    let score_after = supply.score(&engines_after_change(
        engines, domain, model, &change, traits,
    ));
    change.supply_before_after = (thousandths(score_before), thousandths(score_after));
    Some(change)
}

fn thousandths(value: f64) -> u32 {
    (value * 1_000.0) as u32
}

/// Returns the changes that would form a group of a model in one domain.
///
/// If the free engines suffice, this is one change without a group to take apart; else one for each
/// group, and each pair of groups, whose members would suffice together with the free engines.
fn possible_changes(
    name: &FabricDomain,
    domain: &DomainState,
    model: &ModelTraits,
    may_load: &impl Fn(&FreeEngine) -> bool,
    may_use: &impl Fn(&FreeEngine) -> bool,
) -> Vec<Change> {
    let size = model.size as usize;
    let free = || domain.free.iter().filter(|engine| may_use(engine));
    let with_model = free()
        .filter(|engine| engine.has_model(&model.name))
        .count();
    let without_model = free().filter(|engine| !engine.has_model(&model.name));
    let without_model = without_model.filter(|engine| may_load(engine)).count();
    let ran_it = |engine: &&FreeEngine| engine.last_model.as_ref() == Some(&model.name);
    let runners = free().filter(ran_it).count();
    let switches = u32::try_from(size.saturating_sub(runners)).unwrap_or(u32::MAX);
    let mut candidates = Vec::new();
    if size == 0 {
        return candidates;
    }
    if with_model + without_model >= size {
        candidates.push(Change {
            domain: name.clone(),
            model: model.name.clone(),
            breaks: Vec::new(),
            loads: u32::try_from(size.saturating_sub(with_model)).unwrap_or(u32::MAX),
            switches,
            supply_before_after: (0, 0),
        });
        return candidates;
    }
    // Groups are taken apart only if their members can run the model without a load.
    for group in domain
        .groups
        .iter()
        .filter(|group| group.model != model.name)
    {
        let freed = group
            .members_with_model
            .get(&model.name)
            .copied()
            .unwrap_or(0) as usize;
        if with_model + freed >= size {
            candidates.push(Change {
                domain: name.clone(),
                model: model.name.clone(),
                breaks: vec![group.group.clone()],
                loads: 0,
                switches,
                supply_before_after: (0, 0),
            });
        }
    }
    let pairs = domain.groups.iter().enumerate().flat_map(|(at, first)| {
        let rest = domain.groups.iter().skip(at + 1);
        rest.map(move |second| (first, second))
    });
    for (first, second) in pairs {
        let freed = |group: &OpenGroup| {
            group
                .members_with_model
                .get(&model.name)
                .copied()
                .unwrap_or(0)
        };
        let other = first.model != model.name && second.model != model.name;
        if other && with_model + (freed(first) + freed(second)) as usize >= size {
            candidates.push(Change {
                domain: name.clone(),
                model: model.name.clone(),
                breaks: vec![first.group.clone(), second.group.clone()],
                loads: 0,
                switches,
                supply_before_after: (0, 0),
            });
        }
    }
    candidates
}

/// Returns the number of engines by model after a change, with left-over members grouped again.
fn engines_after_change(
    engines: &BTreeMap<ModelName, f64>,
    domain: &DomainState,
    model: &ModelTraits,
    change: &Change,
    traits: &EngineTraits,
) -> BTreeMap<ModelName, f64> {
    let mut engines = engines.clone();
    let size_of = |name: &ModelName| traits.model(name).map_or(0, |model| model.size);
    let mut left = domain.free.len() as u32;
    for group in domain
        .groups
        .iter()
        .filter(|g| change.breaks.contains(&g.group))
    {
        let size = size_of(&group.model);
        left += size;
        *engines.entry(group.model.clone()).or_default() -= f64::from(size);
    }
    left = left.saturating_sub(model.size);
    *engines.entry(model.name.clone()).or_default() += f64::from(model.size);
    // Left-over engines form a group of the same model again, if there are enough.
    for group in domain
        .groups
        .iter()
        .filter(|g| change.breaks.contains(&g.group))
    {
        let size = size_of(&group.model);
        if size > 0 && left >= size {
            left -= size;
            *engines.entry(group.model.clone()).or_default() += f64::from(size);
        }
    }
    engines
}
