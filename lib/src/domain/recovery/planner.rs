//! The planner: decides on all groups of a failure domain together.

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
        WeightStoreBudget, //
    },
    outage_history::OutageHistory,
    policies::{
        self,
        RepairDecisions, //
    },
    situation::{
        GroupSituation,
        Situation, //
    },
    straggler::StragglerDetector,
    weight_loads::WeightLoads,
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

/// Decides which groups change. The planner keeps outages, running weight loads and slow VMs
/// between decisions.
#[derive(Clone, Debug, Default)]
pub struct RepairPlanner {
    pub(super) history: OutageHistory,
    loads: WeightLoads,
    pub(super) stragglers: StragglerDetector,
}

impl RepairPlanner {
    /// Returns a planner without recorded outages and loads, as a new domain leader has it.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the recorded outages of the VMs.
    pub fn history(&self) -> &OutageHistory {
        &self.history
    }

    /// Takes in the time that each VM of one service took for the same step; slow VMs are
    /// ejected.
    pub fn observe_step_times(&mut self, step_times: &BTreeMap<VmId, Duration>, now: Timestamp) {
        self.stragglers.observe(step_times, now);
    }

    /// Returns the changes that the domain leader is to make now.
    pub fn plan(&mut self, input: &RecoveryInput<'_>) -> RecoveryPlan {
        self.history.observe(input.vms, input.now);
        self.stragglers.end_ejections(input.now);
        let mut usable = self.usable_vms(input);
        let configured = place(input.config, input.failure_domain, &usable, input.groups);
        let kept = kept_groups(input.groups, &configured);
        self.drop_ended_loads(input, &kept);
        let mut budget = self.store_budget(input);
        let decisions = self.decide_repairs(input, &usable, &kept, &mut budget);
        exclude_from_new_groups(&mut usable, &decisions.reserved);
        let mut plan = RecoveryPlan {
            stop: configured.stop,
            repairs: decisions.repairs,
            waits: decisions.waits,
            ..RecoveryPlan::default()
        };
        self.defer_loads(input, &kept, &mut budget, &mut plan);
        let after = groups_after_repairs(&kept, &plan.repairs);
        let placement = place(input.config, input.failure_domain, &usable, &after);
        plan.missing = placement.missing;
        self.start_groups(input, placement.start, &mut budget, &mut plan);
        self.load_spare_weights(input, placement.spares, &mut budget, &mut plan);
        self.record_begun_loads(input, &kept, &plan);
        plan
    }

    /// Returns the capacity of the weight store beside the running loads; unlimited for the
    /// baseline policies.
    fn store_budget(&self, input: &RecoveryInput<'_>) -> WeightStoreBudget {
        let settings = &input.config.recovery;
        let alone = CostModel::new(settings).load_time(1);
        match settings.policy {
            RecoveryPolicy::AlwaysWait | RecoveryPolicy::AlwaysRebuild => {
                WeightStoreBudget::unlimited()
            }
            RecoveryPolicy::LowestCost => {
                WeightStoreBudget::new(settings, self.loads.count(alone, input.now))
            }
        }
    }

    /// Drops the loads that have ended or whose weights are no longer needed on their VM.
    fn drop_ended_loads(&mut self, input: &RecoveryInput<'_>, kept: &[&Assignment]) {
        let vms = Situation::index_vms(input.vms);
        self.loads.retain(|vm, weights| {
            let mut groups = kept.iter().filter(|group| group.members.contains(vm));
            let suits = |group: &&&Assignment| {
                let serves = input.serving.contains(&group.group);
                !serves && weights_name(&group.model, &group.version) == weights
            };
            // A VM in no group loads as a spare.
            must_load(&vms, vm, weights) && groups.next().is_none_or(|group| suits(&group))
        });
    }

    /// Decides on repairs of the incomplete groups by the configured policy.
    fn decide_repairs(
        &self,
        input: &RecoveryInput<'_>,
        usable: &[PlacementVm],
        kept: &[&Assignment],
        budget: &mut WeightStoreBudget,
    ) -> RepairDecisions {
        let settings = &input.config.recovery;
        let vms = Situation::index_vms(input.vms);
        let mut groups = BTreeMap::new();
        for assignment in kept.iter().copied() {
            let serves = input.serving.contains(&assignment.group);
            if let Some(group) = Situation::group_situation(input.config, &vms, assignment, serves)
            {
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

    /// Defers the weight loads of groups beyond the capacity of the weight store; the most
    /// valuable groups load first.
    ///
    /// After an outage, all VMs that return together would otherwise load at the same time.
    fn defer_loads(
        &self,
        input: &RecoveryInput<'_>,
        kept: &[&Assignment],
        budget: &mut WeightStoreBudget,
        plan: &mut RecoveryPlan,
    ) {
        let vms = Situation::index_vms(input.vms);
        let retired: BTreeSet<GroupId> = plan.retired().into_iter().cloned().collect();
        let cost = CostModel::new(&input.config.recovery);
        let mut waiting: Vec<(bool, u64, u32, &GroupId)> = Vec::new();
        for assignment in kept {
            let serves = input.serving.contains(&assignment.group);
            let group = Situation::group_situation(input.config, &vms, assignment, serves);
            let Some(group) = group.filter(|g| !g.serves && !retired.contains(&g.assignment.group))
            else {
                continue;
            };
            let loads = self.count_loads_to_begin(input, &vms, &group);
            if loads == 0 {
                continue;
            }
            let incomplete = group.alive.len() < assignment.members.len();
            let value = cost.cost_per_ms(group.accelerators) / u64::from(loads);
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

    /// Returns the number of live members of a group that have yet to begin to load their
    /// weights.
    fn count_loads_to_begin(
        &self,
        input: &RecoveryInput<'_>,
        vms: &BTreeMap<&VmId, &PlacementVm>,
        group: &GroupSituation<'_>,
    ) -> u32 {
        let members = group.alive.iter();
        let to_begin = members.filter(|vm| self.would_begin_load(input, vms, vm, &group.weights));
        u32::try_from(to_begin.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a live VM lacks these weights and isn't loading them.
    fn would_begin_load(
        &self,
        input: &RecoveryInput<'_>,
        vms: &BTreeMap<&VmId, &PlacementVm>,
        vm: &VmId,
        weights: &str,
    ) -> bool {
        must_load(vms, vm, weights) && self.loads.elapsed(vm, weights, input.now).is_none()
    }

    /// Plans the new groups whose VMs are free and for whose loads the weight store has
    /// capacity; postpones the others.
    ///
    /// A group that waits for the VMs of an ending one takes no capacity of the store
    /// meanwhile. Otherwise it would hold back repairs until the last request of the ending
    /// group has ended.
    fn start_groups(
        &self,
        input: &RecoveryInput<'_>,
        start: Vec<NewGroup>,
        budget: &mut WeightStoreBudget,
        plan: &mut RecoveryPlan,
    ) {
        let vms = Situation::index_vms(input.vms);
        for new in start {
            let weights = weights_of(input.config, &new.service).unwrap_or_default();
            let members = new.members.iter();
            let to_begin = members.filter(|vm| self.would_begin_load(input, &vms, vm, &weights));
            let loads = u32::try_from(to_begin.count()).unwrap_or(u32::MAX);
            if new.waits_for.is_empty() && budget.grant(loads) {
                plan.start.push(new);
            } else {
                plan.postponed.push(new);
            }
        }
    }

    /// Plans the loads of spares with the remaining capacity of the weight store.
    fn load_spare_weights(
        &self,
        input: &RecoveryInput<'_>,
        spares: Vec<Spare>,
        budget: &mut WeightStoreBudget,
        plan: &mut RecoveryPlan,
    ) {
        let vms = Situation::index_vms(input.vms);
        for spare in spares.into_iter().filter(|spare| !spare.holds_weights) {
            let weights = weights_of(input.config, &spare.service).unwrap_or_default();
            let to_begin = self.would_begin_load(input, &vms, &spare.vm, &weights);
            if budget.grant(u32::from(to_begin)) {
                plan.load_spares.push(spare);
            }
        }
    }

    /// Records the weight loads that begin when the plan is carried out.
    fn record_begun_loads(
        &mut self,
        input: &RecoveryInput<'_>,
        kept: &[&Assignment],
        plan: &RecoveryPlan,
    ) {
        let vms = Situation::index_vms(input.vms);
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
            for vm in members.iter().filter(|vm| must_load(&vms, vm, &weights)) {
                self.loads.record_begin(vm, &weights, input.now);
            }
        }
    }
}

/// Returns whether a VM is alive and hasn't loaded these weights.
pub(super) fn must_load(vms: &BTreeMap<&VmId, &PlacementVm>, vm: &VmId, weights: &str) -> bool {
    let known = vms.get(vm);
    known.is_some_and(|known| {
        known.state == UpstreamState::Alive && !known.weights.contains(weights)
    })
}

/// Returns the name of the weights of a model service.
fn weights_of(config: &FleetConfig, service: &ServiceName) -> Option<String> {
    match config.services.get(service)? {
        Service::Model(model) => Some(weights_name(&model.model, &model.version)),
        Service::Plain(_) => None,
    }
}

/// Marks VMs as suspect, so that they stay in their groups but are in no new ones.
pub(super) fn exclude_from_new_groups(vms: &mut [PlacementVm], out: &BTreeSet<VmId>) {
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

/// Returns the live VMs that are neither drained nor in a group of the table, not even one that
/// ends now.
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

/// Returns the groups as they are after the repairs, as input of the placement of further
/// groups.
fn groups_after_repairs(kept: &[&Assignment], repairs: &[Repair]) -> Vec<Assignment> {
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
