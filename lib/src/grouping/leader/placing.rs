//! Decisions on the groups to form or take apart next.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::super::{
    balance::{
        BalanceInput,
        Change,
        DomainState,
        OpenGroup,
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
    are_all_engines_unused,
    fabric_domain,
    is_retired,
    reported_status,
    serves, //
};
use crate::{
    prelude::*,
    registry::{
        InstanceId,
        KnownInstance, //
    },
    routes::{
        EngineTraits,
        ModelTraits, //
    },
};

/// Number of reports that this leader must have received from an engine before it may put the
/// engine into a group.
///
/// A report may be late, so that it names the engine's group from before the previous leader's last
/// command; not all of this number are expected to be late.
const MIN_FRESH_REPORTS: u32 = 2;
/// Largest number of changes decided for a service in one tick.
const MAX_CHANGES_PER_TICK: usize = 64;
/// Time after a group was taken apart before the next one may be.
///
/// The engines of a group that is taken apart are missing until the new group serves; deciding
/// again meanwhile would take apart others to make up for it.
const BREAK_INTERVAL: Duration = Duration::from_secs(4);
/// Weight of the present load against the configured shares of the models, from 0 to 1.
const DEMAND_WEIGHT: f64 = 0.5;
/// Load, in requests times engines per group, below which the configured shares are used alone.
const MIN_DEMAND: f64 = 40.0;
/// Time for which a domain stays reserved for the group for which another one is taken apart.
const RESERVATION_TIME: Duration = Duration::from_secs(8);

impl Grouping {
    /// Forms new groups, takes apart those whose engines are needed more elsewhere, and has hosts
    /// load models.
    pub(super) fn place_groups(
        &mut self,
        view: GroupingView<'_>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let now = view.now;
        self.reserved
            .retain(|_, (_, at)| now.since(*at) < RESERVATION_TIME);
        let services: Vec<(&ServiceName, &EngineTraits)> = view
            .table
            .services
            .iter()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
            .collect();
        for (service, traits) in services {
            for _ in 0..MAX_CHANGES_PER_TICK {
                if !self.make_change(service, traits, view, commands) {
                    break;
                }
            }
            self.stage_models(service, traits, view, commands);
        }
    }

    /// Makes one change; returns whether another one may follow in this tick.
    fn make_change(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
        commands: &mut Vec<EngineCommand>,
    ) -> bool {
        let domains = self.domain_states(service, traits, view);
        let engines = self.engines_by_model(service, traits);
        let now = view.now;
        // Later, hosts load weights in the background only; see `stage_models`.
        let is_start = view.is_before_first_request || are_all_engines_unused(view.registry);
        let may_load = |_: &FreeEngine| is_start;
        if let Some(new) = self.reserved_group(traits, &domains) {
            self.form_group(service, traits, new, view, commands);
            return true;
        }
        let open: BTreeMap<FabricDomain, DomainState> = domains
            .into_iter()
            .filter(|(name, _)| !self.reserved.contains_key(name))
            .collect();
        let shares = model_shares(service, traits, view.demand);
        // The engines of a group that is taken apart are missing until the new group serves.
        let no_recent_break = self
            .last_break_at
            .is_none_or(|at| now.since(at) >= BREAK_INTERVAL)
            && self.reserved.is_empty();
        let input = BalanceInput {
            traits,
            shares: &shares,
            engines: &engines,
            may_break: no_recent_break,
            now,
        };
        let Some(change) = next_change(&input, &open, may_load) else {
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
            self.record_decision(&change, &engines);
            self.form_group(service, traits, new, view, commands);
            return true;
        }
        self.record_decision(&change, &engines);
        for id in &change.breaks {
            if let Some(group) = self.groups.get_mut(id) {
                group.enter(Phase::Closing { is_cut: false }, now);
            }
        }
        self.last_break_at = Some(now);
        self.reserved.insert(change.domain, (change.model, now));
        true
    }

    /// Appends the text of a change, with the supply that led to it, for logs.
    fn record_decision(&mut self, change: &Change, engines: &BTreeMap<ModelName, f64>) {
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

    /// Returns the texts of the decisions since the last call, for logs.
    pub fn take_decisions(&mut self) -> Vec<String> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns a group for which a domain was reserved and whose engines are free by now, and ends
    /// the reservation.
    fn reserved_group(
        &mut self,
        traits: &EngineTraits,
        domains: &BTreeMap<FabricDomain, DomainState>,
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

    /// Returns the free engines and the open groups of a service by fabric domain.
    fn domain_states(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> BTreeMap<FabricDomain, DomainState> {
        let mut domains: BTreeMap<FabricDomain, DomainState> = BTreeMap::new();
        for (name, free) in self.free_by_domain(service, view) {
            domains.entry(name).or_default().free = free;
        }
        for (id, group) in self.open_groups_of(service) {
            let members: Vec<&KnownInstance> = group
                .members
                .iter()
                .filter_map(|member| view.registry.get(&member.id))
                .collect();
            let Some(domain) = members.first().and_then(|known| fabric_domain(known)) else {
                continue;
            };
            let members_with_model = traits.models.iter().map(|model| {
                let has_model = |known: &&&KnownInstance| {
                    let engine = known.registration.engine.as_ref();
                    group.model == model.name
                        || engine.is_some_and(|engine| engine.staged.contains(&model.name))
                };
                let count = members.iter().filter(has_model).count();
                (model.name.clone(), u32::try_from(count).unwrap_or(0))
            });
            let open_group = OpenGroup {
                group: id.clone(),
                model: group.model.clone(),
                members_with_model: members_with_model.collect(),
            };
            domains.entry(domain).or_default().groups.push(open_group);
        }
        domains
    }

    /// Returns the free engines of a service by fabric domain.
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

    /// Returns the number of engines in groups that serve, get ready or have a reservation, by model.
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
            // The reserved group counts already, so that no other change is made because it is
            // missing.
            let size = traits.model(model).map_or(0, |model| model.size);
            *engines.entry(model.clone()).or_default() += f64::from(size);
        }
        engines
    }

    /// Creates a group under a new epoch and adds its first commands.
    fn form_group(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        new: NewGroup,
        view: GroupingView<'_>,
        commands: &mut Vec<EngineCommand>,
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
            has_unconfirmed_command: false,
            previous_group: left_over_group(view, &engine.id),
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
            phase_since: view.now,
            suspects: Vec::new(),
            head_command_count: None,
        };
        self.issue_commands(&id, &mut group, view, commands);
        self.groups.insert(id, group);
    }

    /// Returns the usable engines of a service that are in no group.
    fn free_engines(&mut self, service: &ServiceName, view: GroupingView<'_>) -> Vec<FreeEngine> {
        let taken: BTreeSet<&InstanceId> = self
            .groups
            .values()
            .flat_map(|group| group.members.iter().map(|member| &member.id))
            .collect();
        let is_start = view.is_before_first_request || are_all_engines_unused(view.registry);
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
                    .is_none_or(|since| known.last_contact > *since)
                && !known.group().is_some_and(serves)
                && self.is_reported_group_finished(known)
                && (is_start || self.has_current_report(known, leads_for));
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

    /// Returns whether the group that an engine reports is over, so that its head takes no
    /// requests; true if the engine reports none.
    ///
    /// Any other group is taken over first, and the engine then leaves it.
    fn is_reported_group_finished(&self, known: &KnownInstance) -> bool {
        known.group().is_none_or(|status| {
            is_retired(&status.group) || self.finished_groups.contains_key(&status.group)
        })
    }

    /// Returns whether an engine's report certainly names its present group.
    ///
    /// The first report that this leader receives may have been delayed while another leader put
    /// the engine into a group. That is impossible once this leader has led for longer than a
    /// report can be delayed and the engine has only just been started.
    fn has_current_report(&self, known: &KnownInstance, leads_for: Duration) -> bool {
        let is_newborn = known.registration.sequence <= 2;
        if is_newborn && leads_for >= self.settings.report_delay {
            return true;
        }
        let before = self.reports_before_term.get(&known.registration.id);
        let fresh = known.confirmations - before.copied().unwrap_or(0).min(known.confirmations);
        fresh >= MIN_FRESH_REPORTS
    }
}

/// Returns the shares of the engines that the models should have by their load; empty if there is
/// too little load.
///
/// Requests gather where engines are short, so the number of a model's requests, times the size of
/// its groups, measures its need. The configured shares are the only guide before any load; they
/// keep half of the weight, so that a short burst does not shift all engines.
pub(super) fn model_shares(
    service: &ServiceName,
    traits: &EngineTraits,
    demand: &BTreeMap<(ServiceName, ModelName), f64>,
) -> BTreeMap<ModelName, f64> {
    let load = |model: &ModelTraits| {
        let requests = demand.get(&(service.clone(), model.name.clone()));
        requests.copied().unwrap_or(0.0) * f64::from(model.size)
    };
    let total: f64 = traits.models.iter().map(load).sum();
    if total < MIN_DEMAND {
        return BTreeMap::new();
    }
    let share = |model: &ModelTraits| {
        let now = load(model) / total;
        let mixed = model.share * (1.0 - DEMAND_WEIGHT) + now * DEMAND_WEIGHT;
        (model.name.clone(), mixed)
    };
    traits.models.iter().map(share).collect()
}

/// Returns the group that an engine may still be in when it joins another one.
///
/// Returns `None` for the head of any group but a retired one, since a late command could open such
/// a head again after its query.
fn left_over_group(view: GroupingView<'_>, id: &InstanceId) -> Option<GroupId> {
    let status = reported_status(view, id)?;
    let is_harmless = status.rank != 0 || is_retired(&status.group);
    is_harmless.then(|| status.group.clone())
}
