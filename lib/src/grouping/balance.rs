//! Which group comes next: from free engines alone, or by taking another one apart.
//!
//! A domain that has lost an engine can often no longer make the groups that it had. If
//! only free engines were used, large groups would die out: each loss leaves too few
//! engines for another large group, and they end in small ones. So the loss is weighed
//! over all models: a model that has too little of its share may get a group by taking
//! apart one of a model that has more.

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

/// What the mean of all models' supply counts against the worst-supplied model's.
const MEAN_WEIGHT: f64 = 0.15;
/// What taking a group apart costs, as a part of a model's supply.
const BREAK_COST: f64 = 0.04;
/// What waiting for loads from the store costs, as a part of a model's supply.
const LOAD_COST: f64 = 0.06;
/// What an engine costs that gives up the model it ran: its host must load that again
/// before it can go back.
const SWITCH_COST: f64 = 0.02;
/// How long a model that is not the shortest waits for further engines of a domain.
const ARRIVALS_APART: Duration = Duration::from_millis(1_200);
/// How long engines are kept for a model that is short before any use of them is better.
const IDLE_LIMIT: Duration = Duration::from_secs(6);
/// A change that gains less than this is not made.
const LEAST_GAIN: f64 = 0.004;

/// A group that could be taken apart.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StandingGroup {
    /// Which one.
    pub group: GroupId,
    /// Its model.
    pub model: ModelName,
    /// How many of its members could run each model without a load from the store.
    pub quick: BTreeMap<ModelName, u32>,
}

/// What there is in one fabric domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainStanding {
    /// Engines that no group needs.
    pub free: Vec<FreeEngine>,
    /// Groups that take requests.
    pub groups: Vec<StandingGroup>,
}

/// The next change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Where.
    pub domain: FabricDomain,
    /// The model to form a group of.
    pub model: ModelName,
    /// Groups to take apart first.
    pub breaks: Vec<GroupId>,
    /// How many engines would load weights from the store.
    pub loads: u32,
    /// How many engines would give up the model that they ran last.
    pub switches: u32,
    /// How well the models are supplied before and after, in thousandths, for logs.
    pub supply_before_after: (u32, u32),
}

/// How well the models are supplied: the engines in their groups against their share.
struct Supply<'a> {
    traits: &'a EngineTraits,
    shares: &'a BTreeMap<ModelName, f64>,
    total: f64,
}

impl Supply<'_> {
    /// Returns a model's engines against its share.
    fn of(&self, model: &ModelTraits, engines: &BTreeMap<ModelName, f64>) -> f64 {
        let has = engines.get(&model.name).copied().unwrap_or(0.0);
        has / (self.share(model) * self.total).max(1.0)
    }

    fn value(&self, engines: &BTreeMap<ModelName, f64>) -> f64 {
        let supplies: Vec<f64> = self
            .traits
            .models
            .iter()
            .filter_map(|model| {
                let share = self.share(model);
                (share > 0.0).then(|| self.of(model, engines))
            })
            .collect();
        let worst = supplies.iter().copied().fold(f64::INFINITY, f64::min);
        let mean = supplies.iter().sum::<f64>() / supplies.len().max(1) as f64;
        worst.min(2.0) + MEAN_WEIGHT * mean
    }

    fn share(&self, model: &ModelTraits) -> f64 {
        let share = self.shares.get(&model.name).copied();
        share.unwrap_or(model.share)
    }
}

/// What changes are weighed by.
#[derive(Clone, Copy, Debug)]
pub struct Weighing<'a> {
    /// The service's models.
    pub traits: &'a EngineTraits,
    /// The models' shares, where they differ from those at the start.
    pub shares: &'a BTreeMap<ModelName, f64>,
    /// Engines in groups that serve or get ready, by model.
    pub engines: &'a BTreeMap<ModelName, f64>,
    /// Whether groups may be taken apart.
    pub may_break: bool,
    /// The time.
    pub now: Timestamp,
}

/// Returns the change that gains most, if any gains enough.
///
/// `may_load` says whether a free engine may load weights from the store now.
pub fn next_change(
    weighing: &Weighing<'_>,
    domains: &BTreeMap<FabricDomain, DomainStanding>,
    may_load: impl Fn(&FreeEngine) -> bool,
) -> Option<Change> {
    let Weighing {
        traits,
        shares,
        engines,
        may_break,
        now,
    } = *weighing;
    let free: usize = domains.values().map(|domain| domain.free.len()).sum();
    let supply = Supply {
        traits,
        shares,
        total: engines.values().sum::<f64>() + free as f64,
    };
    let before = supply.value(engines);
    let supplies = traits.models.iter().map(|model| supply.of(model, engines));
    let worst = supplies.fold(f64::INFINITY, f64::min);
    let mut best: Option<(f64, Change)> = None;
    for (name, domain) in domains {
        for model in &traits.models {
            let has = supply.of(model, engines);
            // Engines that come one after the other would end in pairs of whatever is
            // small; a model that is not the shortest waits for those that follow.
            let waits = if has > worst {
                ARRIVALS_APART
            } else {
                Duration::ZERO
            };
            let may_use = |engine: &FreeEngine| now.since(engine.free_since) >= waits;
            let ways = changes(name, domain, model, &may_load, &may_use);
            for change in ways
                .into_iter()
                .filter(|way| may_break || way.breaks.is_empty())
            {
                // A model that has its share gets no more if an engine must change for it:
                // the engine is of more use to a model that is short, as soon as another
                // one is free beside it.
                let changes_engines = change.switches > 0 || change.loads > 0;
                let for_long = |engine: &&FreeEngine| now.since(engine.free_since) >= IDLE_LIMIT;
                let idle = domain.free.iter().filter(for_long).count();
                if has >= 1.0 && changes_engines && idle < model.size as usize {
                    continue;
                }
                let change_of = supply.value(&after(engines, domain, model, &change, traits));
                let load_cost = if change.loads > 0 { LOAD_COST } else { 0.0 };
                let gain = change_of
                    - before
                    - BREAK_COST * change.breaks.len() as f64
                    - SWITCH_COST * f64::from(change.switches)
                    - load_cost;
                // Engines that nobody uses cost nothing, so any use of them is a gain.
                let is_free = change.breaks.is_empty();
                let is_worth = gain >= LEAST_GAIN || (is_free && change_of > before);
                if is_worth && best.as_ref().is_none_or(|(known, _)| gain > *known) {
                    best = Some((gain, change));
                }
            }
        }
    }
    let (_, mut change) = best?;
    let model = traits.model(&change.model)?;
    let domain = domains.get(&change.domain)?;
    let value = supply.value(&after(engines, domain, model, &change, traits));
    change.supply_before_after = (thousandths(before), thousandths(value));
    Some(change)
}

fn thousandths(value: f64) -> u32 {
    (value * 1_000.0) as u32
}

/// Returns the ways to a group of a model in one domain.
fn changes(
    name: &FabricDomain,
    domain: &DomainStanding,
    model: &ModelTraits,
    may_load: &impl Fn(&FreeEngine) -> bool,
    may_use: &impl Fn(&FreeEngine) -> bool,
) -> Vec<Change> {
    let size = model.size as usize;
    let free = || domain.free.iter().filter(|engine| may_use(engine));
    let quick = free().filter(|engine| engine.is_quick(&model.name)).count();
    let slow = free().filter(|engine| !engine.is_quick(&model.name));
    let slow = slow.filter(|engine| may_load(engine)).count();
    let ran_it = |engine: &&FreeEngine| engine.last_model.as_ref() == Some(&model.name);
    let runners = free().filter(ran_it).count();
    let switches = u32::try_from(size.saturating_sub(runners)).unwrap_or(u32::MAX);
    let mut ways = Vec::new();
    if size == 0 {
        return ways;
    }
    if quick + slow >= size {
        ways.push(Change {
            domain: name.clone(),
            model: model.name.clone(),
            breaks: Vec::new(),
            loads: u32::try_from(size.saturating_sub(quick)).unwrap_or(u32::MAX),
            switches,
            supply_before_after: (0, 0),
        });
        return ways;
    }
    // Groups are taken apart only for engines that can run the model at once.
    for group in domain
        .groups
        .iter()
        .filter(|group| group.model != model.name)
    {
        let freed = group.quick.get(&model.name).copied().unwrap_or(0) as usize;
        if quick + freed >= size {
            ways.push(Change {
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
        let freed = |group: &StandingGroup| group.quick.get(&model.name).copied().unwrap_or(0);
        let other = first.model != model.name && second.model != model.name;
        if other && quick + (freed(first) + freed(second)) as usize >= size {
            ways.push(Change {
                domain: name.clone(),
                model: model.name.clone(),
                breaks: vec![first.group.clone(), second.group.clone()],
                loads: 0,
                switches,
                supply_before_after: (0, 0),
            });
        }
    }
    ways
}

/// Returns the engines by model once a change is made and what is left is used.
fn after(
    engines: &BTreeMap<ModelName, f64>,
    domain: &DomainStanding,
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
    // What is left of the groups that were taken apart forms one of theirs again.
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
