//! Which groups are formed or taken apart next, and what hosts load.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::super::{
    balance::{
        Change,
        DomainStanding,
        StandingGroup,
        Weighing,
        next_change, //
    },
    engine_command::EngineCommand,
    group::{
        Group,
        Member,
        Phase,
        Silence, //
    },
    placement::{
        FreeEngine,
        NewGroup,
        best_members, //
    },
};
use super::{
    Grouping,
    GroupingView,
    are_all_untouched,
    fabric_domain,
    is_retired,
    serves,
    standing_of, //
};
use crate::{
    prelude::*,
    registry::{
        InstanceId,
        Known, //
    },
    routes::{
        EngineTraits,
        ModelTraits, //
    },
};

/// How many reports must have come since this leader leads before an engine is ordered.
///
/// Each may be late, and then tells where the engine was before the last order of the
/// leader before; that all of them are late is not expected.
const FRESH_REPORTS: u32 = 2;
/// How many changes are decided at one look.
const MOST_CHANGES: usize = 64;
/// How long after a group was taken apart the next one may be.
///
/// What is taken apart is missing until the new group serves; deciding again meanwhile
/// would take apart others to make up for it.
const BREAKS_APART: Duration = Duration::from_secs(4);
/// What the present load counts against the shares at the start.
const DEMAND_WEIGHT: f64 = 0.5;
/// Less load than this, in requests times engines, tells nothing.
const LEAST_DEMAND: f64 = 40.0;
/// How long a domain is kept for the group for which another one is taken apart.
const RESERVED_FOR: Duration = Duration::from_secs(8);

impl Grouping {
    /// Forms new groups, and takes apart those whose engines are needed more elsewhere.
    pub(super) fn place(&mut self, view: GroupingView<'_>, orders: &mut Vec<EngineCommand>) {
        let now = view.now;
        self.reserved
            .retain(|_, (_, at)| now.since(*at) < RESERVED_FOR);
        let services: Vec<(&ServiceName, &EngineTraits)> = view
            .table
            .services
            .iter()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
            .collect();
        for (service, traits) in services {
            for _ in 0..MOST_CHANGES {
                if !self.change(service, traits, view, orders) {
                    break;
                }
            }
            self.stage(service, traits, view, orders);
        }
    }

    /// Makes one change; returns whether another may follow at once.
    fn change(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
        orders: &mut Vec<EngineCommand>,
    ) -> bool {
        let domains = self.domains(service, traits, view);
        let engines = self.engines_by_model(service, traits);
        let now = view.now;
        // Later, weights come onto hosts beside all other work; see `stage`.
        let is_start = view.is_before_first_request || are_all_untouched(view.registry);
        let may_load = |_: &FreeEngine| is_start;
        if let Some(new) = self.reserved_group(traits, &domains) {
            self.form(service, traits, new, view, orders);
            return true;
        }
        let open: BTreeMap<FabricDomain, DomainStanding> = domains
            .into_iter()
            .filter(|(name, _)| !self.reserved.contains_key(name))
            .collect();
        let shares = shares(service, traits, view.demand);
        // What is being taken apart is missing until the new group serves.
        let is_calm = self
            .broken_at
            .is_none_or(|at| now.since(at) >= BREAKS_APART)
            && self.reserved.is_empty();
        let weighing = Weighing {
            traits,
            shares: &shares,
            engines: &engines,
            may_break: is_calm,
            now,
        };
        let Some(change) = next_change(&weighing, &open, may_load) else {
            return false;
        };
        if change.breaks.is_empty() {
            let free = open
                .get(&change.domain)
                .map(|domain| domain.free.as_slice());
            let model = traits.model(&change.model);
            let new = model
                .zip(free)
                .and_then(|(model, free)| best_members(model, free, may_load));
            let Some(new) = new else {
                return false;
            };
            self.note_decision(&change, &engines);
            self.form(service, traits, new, view, orders);
            return true;
        }
        self.note_decision(&change, &engines);
        for id in &change.breaks {
            if let Some(group) = self.groups.get_mut(id) {
                group.enter(Phase::Closing { is_cut: false }, now);
            }
        }
        self.broken_at = Some(now);
        self.reserved.insert(change.domain, (change.model, now));
        true
    }

    fn note_decision(&mut self, change: &Change, engines: &BTreeMap<ModelName, f64>) {
        let (before, after) = change.supply_before_after;
        let engines: Vec<String> = engines
            .iter()
            .map(|(model, count)| format!("{model} {count}"))
            .collect();
        let text = format!(
            "form {} in {} breaking {} loading {} switching {}; supply {before} to {after}; engines {}",
            change.model,
            change.domain,
            change.breaks.len(),
            change.loads,
            change.switches,
            engines.join(", "),
        );
        self.decisions.push(text);
    }

    /// Returns what was decided since the last call and what decided it, for logs.
    pub fn take_decisions(&mut self) -> Vec<String> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the group for which a domain was reserved, once its engines are free.
    fn reserved_group(
        &mut self,
        traits: &EngineTraits,
        domains: &BTreeMap<FabricDomain, DomainStanding>,
    ) -> Option<NewGroup> {
        let ready = self.reserved.iter().find_map(|(name, (model, _))| {
            let free = &domains.get(name)?.free;
            let new = best_members(traits.model(model)?, free, |_| false)?;
            Some((name.clone(), new))
        });
        let (name, new) = ready?;
        self.reserved.remove(&name);
        Some(new)
    }

    fn domains(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> BTreeMap<FabricDomain, DomainStanding> {
        let mut domains: BTreeMap<FabricDomain, DomainStanding> = BTreeMap::new();
        for (name, free) in self.free_by_domain(service, view) {
            domains.entry(name).or_default().free = free;
        }
        for (id, group) in self.open_groups_of(service) {
            let members: Vec<&Known> = group
                .members
                .iter()
                .filter_map(|member| view.registry.get(&member.id))
                .collect();
            let Some(domain) = members.first().and_then(|known| fabric_domain(known)) else {
                continue;
            };
            let quick = traits.models.iter().map(|model| {
                let is_quick = |known: &&&Known| {
                    let engine = known.registration.engine.as_ref();
                    group.model == model.name
                        || engine.is_some_and(|engine| engine.staged.contains(&model.name))
                };
                let count = members.iter().filter(is_quick).count();
                (model.name.clone(), u32::try_from(count).unwrap_or(0))
            });
            let standing = StandingGroup {
                group: id.clone(),
                model: group.model.clone(),
                quick: quick.collect(),
            };
            domains.entry(domain).or_default().groups.push(standing);
        }
        domains
    }

    pub(super) fn free_by_domain(
        &mut self,
        service: &ServiceName,
        view: GroupingView<'_>,
    ) -> BTreeMap<FabricDomain, Vec<FreeEngine>> {
        let mut domains: BTreeMap<FabricDomain, Vec<FreeEngine>> = BTreeMap::new();
        for engine in self.free_engines(service, view) {
            let domain = domains.entry(engine.fabric_domain.clone()).or_default();
            domain.push(engine);
        }
        domains
    }

    pub(super) fn open_groups_of(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&GroupId, &Group)> {
        let groups = self.groups.iter();
        groups.filter(move |(_, group)| group.service == *service && group.phase == Phase::Open)
    }

    pub(super) fn engines_by_model(
        &self,
        service: &ServiceName,
        traits: &EngineTraits,
    ) -> BTreeMap<ModelName, f64> {
        let mut engines: BTreeMap<ModelName, f64> = BTreeMap::new();
        let useful = self.groups.values().filter(|group| {
            let counts = matches!(group.phase, Phase::Joining | Phase::Opening | Phase::Open);
            counts && group.service == *service
        });
        for group in useful {
            *engines.entry(group.model.clone()).or_default() += f64::from(group.size);
        }
        for (model, _) in self.reserved.values() {
            // It will be formed; nothing else may be done because it is still missing.
            let size = traits.model(model).map_or(0, |model| model.size);
            *engines.entry(model.clone()).or_default() += f64::from(size);
        }
        engines
    }

    fn form(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        new: NewGroup,
        view: GroupingView<'_>,
        orders: &mut Vec<EngineCommand>,
    ) {
        let epoch = self.next_epoch();
        let Ok(id) = format!("g{epoch}").parse::<GroupId>() else {
            return;
        };
        let size = traits.model(&new.model).map_or(0, |model| model.size);
        let members = (0..).zip(new.members).map(|(rank, engine)| Member {
            address: engine.address,
            rank,
            last: None,
            is_doubtful: false,
            stood_in: left_over_group(view, &engine.id),
            silence: Silence::Never,
            id: engine.id,
        });
        let mut group = Group {
            epoch,
            service: service.clone(),
            model: new.model,
            size,
            members: members.collect(),
            phase: Phase::Joining,
            since: view.now,
            suspects: Vec::new(),
            head_orders: None,
        };
        self.order(&id, &mut group, view, orders);
        self.groups.insert(id, group);
    }

    fn free_engines(&mut self, service: &ServiceName, view: GroupingView<'_>) -> Vec<FreeEngine> {
        let taken: BTreeSet<&InstanceId> = self
            .groups
            .values()
            .flat_map(|group| group.members.iter().map(|member| &member.id))
            .collect();
        let is_start = view.is_before_first_request || are_all_untouched(view.registry);
        let leads_for = view.now.since(self.started_at);
        let mut free = Vec::new();
        for (id, known) in view.registry.iter() {
            let registration = &known.registration;
            let Some(engine) = &registration.engine else {
                continue;
            };
            if registration.service != *service || taken.contains(id) {
                self.free_since.remove(id);
                continue;
            }
            let is_usable = known.is_ready()
                && known.silent_for(view.now) <= self.settings.silent_for_new
                && !self.dead.contains(id)
                && self
                    .suspects
                    .get(id)
                    .is_none_or(|since| known.heard_at > *since)
                && !known.group().is_some_and(serves)
                && self.is_out_of_its_group(known)
                && (is_start || self.is_confirmed(known, leads_for));
            if !is_usable {
                continue;
            }
            let since = *self.free_since.entry(id.clone()).or_insert(view.now);
            let Some(fabric_domain) = fabric_domain(known) else {
                continue;
            };
            free.push(FreeEngine {
                id: id.clone(),
                address: registration.address,
                fabric_domain,
                failure_domain: registration.failure_domain.clone(),
                staged: engine.staged.clone(),
                last_model: engine.last_model.clone(),
                free_since: since,
            });
        }
        free
    }

    /// Returns whether the group that an engine reports is over, so that its head is harmless.
    ///
    /// Any other is taken over first, and the engine leaves it.
    fn is_out_of_its_group(&self, known: &Known) -> bool {
        known.group().is_none_or(|standing| {
            is_retired(&standing.group) || self.finished.contains_key(&standing.group)
        })
    }

    /// Returns whether an engine's report surely tells where it is now.
    ///
    /// The first report that is heard may have been delayed while another leader put the
    /// engine into a group. That cannot be once this leader has led for longer than a
    /// report is delayed and the engine has only just been started.
    fn is_confirmed(&self, known: &Known, leads_for: Duration) -> bool {
        let is_newborn = known.registration.sequence <= 2;
        if is_newborn && leads_for >= self.settings.report_delay {
            return true;
        }
        let before = self.heard_before.get(&known.registration.id);
        let fresh = known.confirmations - before.copied().unwrap_or(0).min(known.confirmations);
        fresh >= FRESH_REPORTS
    }
}

/// Returns the models' shares of the engines, as their load asks for.
///
/// Requests gather where engines are short, so what a model has at hand, times the size
/// of its groups, tells its part. The shares at the start are what is known before any
/// load; they keep half of the weight, so that a short burst does not turn everything.
pub(super) fn shares(
    service: &ServiceName,
    traits: &EngineTraits,
    demand: &BTreeMap<(ServiceName, ModelName), f64>,
) -> BTreeMap<ModelName, f64> {
    let load = |model: &ModelTraits| {
        let requests = demand.get(&(service.clone(), model.name.clone()));
        requests.copied().unwrap_or(0.0) * f64::from(model.size)
    };
    let total: f64 = traits.models.iter().map(load).sum();
    if total < LEAST_DEMAND {
        return BTreeMap::new();
    }
    let share = |model: &ModelTraits| {
        let now = load(model) / total;
        let mixed = model.share * (1.0 - DEMAND_WEIGHT) + now * DEMAND_WEIGHT;
        (model.name.clone(), mixed)
    };
    traits.models.iter().map(share).collect()
}

/// Returns the group that an engine may still be in when it joins another.
///
/// A head could be opened again by a late order, after it was looked at.
fn left_over_group(view: GroupingView<'_>, id: &InstanceId) -> Option<GroupId> {
    let standing = standing_of(view, id)?;
    let is_harmless = standing.rank != 0 || is_retired(&standing.group);
    is_harmless.then(|| standing.group.clone())
}
