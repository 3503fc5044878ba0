//! One decision on all groups of a failure domain.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    RecoveryInput, RecoveryPlan, Repair,
    cost::{
        CostModel,
        StoreBudget, //
    },
    loads::RunningLoads,
    policies::{
        self,
        Verdicts, //
    },
    return_time::OutageHistory,
    situation::{
        GroupNow,
        Situation, //
    },
    straggler::StragglerDetector,
};
use crate::{
    chart::UpstreamState,
    domain::placement::{
        NewGroup,
        Placement,
        PlacementVm,
        Spare,
        place,
        weights_name, //
    },
    fleet::{
        FleetConfig,
        RecoveryPolicy,
        Service, //
    },
    peer_api::Assignment,
    prelude::*,
};

/// Decides which groups change; it remembers outages and running loads between decisions.
#[derive(Clone, Debug, Default)]
pub struct RepairPlanner {
    pub(super) history: OutageHistory,
    loads: RunningLoads,
    pub(super) stragglers: StragglerDetector,
}

impl RepairPlanner {
    /// Starts without memory, as a new domain leader does.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what was seen of the VMs.
    pub fn history(&self) -> &OutageHistory {
        &self.history
    }

    /// Takes how long each VM of one service took for the same step; slow ones are ejected.
    pub fn observe_step_times(&mut self, step_times: &BTreeMap<VmId, Duration>, now: Timestamp) {
        self.stragglers.observe(step_times, now);
    }

    /// Decides what the domain leader is to change now.
    pub fn plan(&mut self, input: &RecoveryInput<'_>) -> RecoveryPlan {
        self.history.observe(input.vms, input.now);
        self.stragglers.end_ejections(input.now);
        let mut usable = self.usable_vms(input);
        let configured = place(input.config, input.failure_domain, &usable, input.groups);
        let kept = kept_groups(input.groups, &configured);
        self.forget_loads(input, &kept);
        let mut budget = self.store_budget(input);
        let verdicts = self.repair(input, &usable, &kept, &mut budget);
        keep_out(&mut usable, &verdicts.reserved);
        let mut plan = RecoveryPlan {
            stop: configured.stop,
            repairs: verdicts.repairs,
            waits: verdicts.waits,
            ..RecoveryPlan::default()
        };
        self.deferred_loads(input, &kept, &mut budget, &mut plan);
        let after = after_repairs(&kept, &plan.repairs);
        let placement = place(input.config, input.failure_domain, &usable, &after);
        plan.missing = placement.missing;
        self.start(input, placement.start, &mut budget, &mut plan);
        self.load_spares(input, placement.spares, &mut budget, &mut plan);
        self.begin_loads(input, &kept, &plan);
        plan
    }

    fn store_budget(&self, input: &RecoveryInput<'_>) -> StoreBudget {
        let settings = &input.config.recovery;
        let alone = CostModel::new(settings).load_time(1);
        match settings.policy {
            RecoveryPolicy::AlwaysWait | RecoveryPolicy::AlwaysRebuild => StoreBudget::unlimited(),
            RecoveryPolicy::LowestCost => {
                StoreBudget::new(settings, self.loads.count(alone, input.now))
            }
        }
    }

    fn forget_loads(&mut self, input: &RecoveryInput<'_>, kept: &[&Assignment]) {
        let vms = Situation::index(input.vms);
        self.loads.retain(|vm, weights| {
            let mut groups = kept.iter().filter(|group| group.members.contains(vm));
            let suits = |group: &&&Assignment| {
                let serves = input.serving.contains(&group.group);
                !serves && weights_name(&group.model, &group.version) == weights
            };
            // A VM that is in no group loads as a spare.
            lacks(&vms, vm, weights) && groups.next().is_none_or(|group| suits(&group))
        });
    }

    fn repair(
        &self,
        input: &RecoveryInput<'_>,
        usable: &[PlacementVm],
        kept: &[&Assignment],
        budget: &mut StoreBudget,
    ) -> Verdicts {
        let settings = &input.config.recovery;
        let vms = Situation::index(input.vms);
        let mut groups = BTreeMap::new();
        for assignment in kept.iter().copied() {
            let serves = input.serving.contains(&assignment.group);
            if let Some(group) = Situation::look_at(input.config, &vms, assignment, serves) {
                groups.insert(&assignment.group, group);
            }
        }
        let situation = Situation {
            now: input.now,
            cost: CostModel::new(settings),
            prior: Duration::from_millis(settings.expected_return_ms),
            groups,
            free: free_vms(input.config, usable, input.groups),
            history: &self.history,
            loads: &self.loads,
            vms,
        };
        policies::decide(settings.policy, &situation, budget)
    }

    /// Lets the groups that are whole and lack weights load in the order of their value.
    ///
    /// Everything that comes back at once after an outage would otherwise load at once.
    fn deferred_loads(
        &self,
        input: &RecoveryInput<'_>,
        kept: &[&Assignment],
        budget: &mut StoreBudget,
        plan: &mut RecoveryPlan,
    ) {
        let vms = Situation::index(input.vms);
        let retired: BTreeSet<GroupId> = plan.retired().into_iter().cloned().collect();
        let cost = CostModel::new(&input.config.recovery);
        let mut waiting: Vec<(bool, u64, u32, &GroupId)> = Vec::new();
        for assignment in kept {
            let serves = input.serving.contains(&assignment.group);
            let group = Situation::look_at(input.config, &vms, assignment, serves);
            let Some(group) = group.filter(|g| !g.serves && !retired.contains(&g.assignment.group))
            else {
                continue;
            };
            let loads = self.loads_to_begin(input, &vms, &group);
            if loads == 0 {
                continue;
            }
            let incomplete = group.alive.len() < assignment.members.len();
            let value = cost.rate(group.accelerators) / u64::from(loads);
            waiting.push((incomplete, value, loads, &assignment.group));
        }
        waiting.sort_by_key(|(incomplete, value, _, group)| {
            (*incomplete, std::cmp::Reverse(*value), *group)
        });
        for (_, _, loads, group) in waiting {
            if !budget.grant(loads) {
                plan.deferred_loads.insert(group.clone());
            }
        }
    }

    fn loads_to_begin(
        &self,
        input: &RecoveryInput<'_>,
        vms: &BTreeMap<&VmId, &PlacementVm>,
        group: &GroupNow<'_>,
    ) -> u32 {
        let members = group.alive.iter();
        let to_begin = members.filter(|vm| self.is_to_begin(input, vms, vm, &group.weights));
        u32::try_from(to_begin.count()).unwrap_or(u32::MAX)
    }

    fn is_to_begin(
        &self,
        input: &RecoveryInput<'_>,
        vms: &BTreeMap<&VmId, &PlacementVm>,
        vm: &VmId,
        weights: &str,
    ) -> bool {
        lacks(vms, vm, weights) && self.loads.elapsed(vm, weights, input.now).is_none()
    }

    /// Starts the groups whose VMs are free and for which the weight store has room.
    ///
    /// A group that waits for the VMs of an ending one takes no share of the store's rate
    /// meanwhile, or it would hold back repairs for as long as the last request runs.
    fn start(
        &self,
        input: &RecoveryInput<'_>,
        start: Vec<NewGroup>,
        budget: &mut StoreBudget,
        plan: &mut RecoveryPlan,
    ) {
        let vms = Situation::index(input.vms);
        for new in start {
            let weights = weights_of(input.config, &new.service).unwrap_or_default();
            let members = new.members.iter();
            let to_begin = members.filter(|vm| self.is_to_begin(input, &vms, vm, &weights));
            let loads = u32::try_from(to_begin.count()).unwrap_or(u32::MAX);
            if new.waits_for.is_empty() && budget.grant(loads) {
                plan.start.push(new);
            } else {
                plan.postponed.push(new);
            }
        }
    }

    /// Lets spares load with what is left of the store's rate.
    fn load_spares(
        &self,
        input: &RecoveryInput<'_>,
        spares: Vec<Spare>,
        budget: &mut StoreBudget,
        plan: &mut RecoveryPlan,
    ) {
        let vms = Situation::index(input.vms);
        for spare in spares.into_iter().filter(|spare| !spare.holds_weights) {
            let weights = weights_of(input.config, &spare.service).unwrap_or_default();
            let to_begin = self.is_to_begin(input, &vms, &spare.vm, &weights);
            if budget.grant(u32::from(to_begin)) {
                plan.load_spares.push(spare);
            }
        }
    }

    /// Records the loads that follow from the plan.
    fn begin_loads(
        &mut self,
        input: &RecoveryInput<'_>,
        kept: &[&Assignment],
        plan: &RecoveryPlan,
    ) {
        let vms = Situation::index(input.vms);
        let retired = plan.retired();
        let held = |group: &GroupId| plan.deferred_loads.contains(group) || retired.contains(group);
        let stay = kept
            .iter()
            .filter(|group| !held(&group.group) && !input.serving.contains(&group.group));
        let stay = stay.map(|group| (&group.service, group.members.as_slice()));
        let spares = plan.load_spares.iter();
        let spares = spares.map(|spare| (&spare.service, std::slice::from_ref(&spare.vm)));
        for (service, members) in stay.chain(plan.formed()).chain(spares) {
            let Some(weights) = weights_of(input.config, service) else {
                continue;
            };
            for vm in members.iter().filter(|vm| lacks(&vms, vm, &weights)) {
                self.loads.begin(vm, &weights, input.now);
            }
        }
    }
}

/// Returns whether a VM is alive and would have to load these weights.
pub(super) fn lacks(vms: &BTreeMap<&VmId, &PlacementVm>, vm: &VmId, weights: &str) -> bool {
    let known = vms.get(vm);
    known.is_some_and(|known| {
        known.state == UpstreamState::Alive && !known.weights.contains(weights)
    })
}

fn weights_of(config: &FleetConfig, service: &ServiceName) -> Option<String> {
    match config.services.get(service)? {
        Service::Model(model) => Some(weights_name(&model.model, &model.version)),
        Service::Plain(_) => None,
    }
}

/// Marks VMs as suspect: they keep their groups, and nothing new is built on them.
pub(super) fn keep_out(vms: &mut [PlacementVm], out: &BTreeSet<VmId>) {
    for vm in vms {
        if vm.state == UpstreamState::Alive && out.contains(&vm.vm) {
            vm.state = UpstreamState::Suspect;
        }
    }
}

fn kept_groups<'a>(groups: &'a [Assignment], placement: &Placement) -> Vec<&'a Assignment> {
    let kept = |group: &&Assignment| placement.keep.contains(&group.group);
    groups.iter().filter(kept).collect()
}

/// Returns the VMs that are in no group of the table, not even in one that ends now.
fn free_vms<'a>(
    config: &FleetConfig,
    usable: &'a [PlacementVm],
    groups: &[Assignment],
) -> BTreeSet<&'a VmId> {
    let members: BTreeSet<&VmId> = groups.iter().flat_map(|group| &group.members).collect();
    usable
        .iter()
        .filter(|vm| vm.state == UpstreamState::Alive)
        .map(|vm| &vm.vm)
        .filter(|vm| !members.contains(vm) && !config.drained_vms.contains(vm))
        .collect()
}

/// Returns the table as it will be with the repairs, for placement to fill what is left.
fn after_repairs(kept: &[&Assignment], repairs: &[Repair]) -> Vec<Assignment> {
    let broken: BTreeSet<&GroupId> = repairs.iter().filter_map(|r| r.breaks.as_ref()).collect();
    let left = kept.iter().filter(|kept| !broken.contains(&kept.group));
    let after = left.map(|assignment| {
        let repair = repairs.iter().find(|r| r.group == assignment.group);
        let members = repair.map_or(&assignment.members, |repair| &repair.members);
        Assignment {
            members: members.clone(),
            ..(*assignment).clone()
        }
    });
    after.collect()
}
