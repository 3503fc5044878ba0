//! The state of a failure domain at one time, in the form in which repairs are chosen.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    cost::{
        CostModel,
        JOIN_TIME, //
    },
    outage_history::OutageHistory,
    weight_loads::WeightLoads,
};
use crate::{
    chart::UpstreamState,
    domain::placement::{
        PlacementVm,
        weights_name, //
    },
    fleet::{
        FleetConfig,
        ModelService,
        Service, //
    },
    peer_api::Assignment,
    prelude::*,
};

/// A group of the table and the state of its members.
#[derive(Clone, Debug)]
pub struct GroupSituation<'a> {
    /// The group's assignment.
    pub assignment: &'a Assignment,
    /// The configuration of the group's service.
    pub model: &'a ModelService,
    /// The weights that the members need, in the form of [`weights_name`].
    pub weights: String,
    /// Whether requests are routed to the group.
    pub serves: bool,
    /// Members that are alive.
    pub alive: Vec<&'a VmId>,
    /// Members whose announcements are overdue and whose lease hasn't ended.
    pub suspect: Vec<&'a VmId>,
    /// All other members: dead, leaving, drained, in conflict or unknown.
    pub lost: Vec<&'a VmId>,
    /// The number of accelerators in the members that are alive.
    pub accelerators: Accelerators,
}

/// The input of the choice of repairs.
pub struct Situation<'a> {
    /// The leader's present time.
    pub now: Timestamp,
    /// The cost of downtime and the time of weight loads.
    pub cost: CostModel<'a>,
    /// The configured time that a lost VM is expected to stay away; combined with the VM's own
    /// recorded outages.
    pub prior: Duration,
    /// The VMs with engines in the domain, by name.
    pub vms: BTreeMap<&'a VmId, &'a PlacementVm>,
    /// The groups of the table, by name.
    pub groups: BTreeMap<&'a GroupId, GroupSituation<'a>>,
    /// VMs that are in no group and may join one.
    pub free: BTreeSet<&'a VmId>,
    /// The recorded outages of the VMs.
    pub history: &'a OutageHistory,
    /// The running weight loads.
    pub loads: &'a WeightLoads,
}

impl<'a> Situation<'a> {
    /// Returns the VMs by name; if a VM occurs twice, its first entry counts.
    pub fn index_vms(vms: &'a [PlacementVm]) -> BTreeMap<&'a VmId, &'a PlacementVm> {
        let mut index = BTreeMap::new();
        for vm in vms {
            index.entry(&vm.vm).or_insert(vm);
        }
        index
    }

    /// Returns the state of one group; `None` if no model service of its name is configured.
    pub fn group_situation(
        config: &'a FleetConfig,
        vms: &BTreeMap<&'a VmId, &'a PlacementVm>,
        assignment: &'a Assignment,
        serves: bool,
    ) -> Option<GroupSituation<'a>> {
        let Some(Service::Model(model)) = config.services.get(&assignment.service) else {
            return None;
        };
        let state = |vm: &VmId| vms.get(vm).map(|vm| vm.state);
        let of_state = |wanted: UpstreamState| {
            let members = assignment.members.iter();
            members.filter(move |vm| state(vm) == Some(wanted))
        };
        let alive: Vec<&VmId> = of_state(UpstreamState::Alive).collect();
        let suspect: Vec<&VmId> = of_state(UpstreamState::Suspect).collect();
        let lost = assignment
            .members
            .iter()
            .filter(|vm| !alive.contains(vm) && !suspect.contains(vm));
        let accelerators = alive.iter().filter_map(|vm| vms.get(vm));
        let accelerators: u32 = accelerators.map(|vm| vm.accelerators.0).sum();
        Some(GroupSituation {
            assignment,
            model,
            weights: weights_name(&assignment.model, &assignment.version),
            serves,
            lost: lost.collect(),
            alive,
            suspect,
            accelerators: Accelerators(accelerators),
        })
    }

    /// Returns the expected time until a group serves if nothing is done.
    pub fn expected_wait(&self, group: &GroupSituation<'_>) -> Duration {
        if group.lost.is_empty() && group.suspect.is_empty() {
            let (ready_in, _) = self.ready_in(&group.assignment.members, &group.weights);
            return ready_in;
        }
        let absent = group.lost.iter();
        let remaining = absent.map(|vm| self.history.expected_remaining(vm, self.prior, self.now));
        // A VM that returns after it was declared dead has usually restarted, so it loads its
        // weights again.
        remaining.max().unwrap_or_default() + self.cost.load_time(1) + JOIN_TIME
    }

    /// Returns the expected time until these VMs serve as a group, and the number of weight
    /// loads that they have yet to begin.
    pub fn ready_in(&self, members: &[VmId], weights: &str) -> (Duration, u32) {
        let lacking = members.iter().filter(|vm| !self.holds_weights(vm, weights));
        let mut to_begin = 0;
        let mut longest = Duration::ZERO;
        let mut waiting = Vec::new();
        for vm in lacking {
            match self.loads.elapsed(vm, weights, self.now) {
                Some(elapsed) => waiting.push(elapsed),
                None => {
                    to_begin += 1;
                    waiting.push(Duration::ZERO);
                }
            }
        }
        let running = self.loads.count(self.cost.load_time(1), self.now);
        let load_time = self.cost.load_time(running + to_begin);
        for elapsed in waiting {
            longest = longest.max(load_time.saturating_sub(elapsed));
        }
        (longest + JOIN_TIME, to_begin)
    }

    /// Returns whether a VM has loaded these weights.
    pub fn holds_weights(&self, vm: &VmId, weights: &str) -> bool {
        let known = self.vms.get(vm);
        known.is_some_and(|known| known.weights.contains(weights))
    }

    /// Returns a VM's fabric domain.
    pub fn fabric_domain_of(&self, vm: &VmId) -> Option<&'a FabricDomain> {
        self.vms.get(vm).map(|known| &known.fabric_domain)
    }

    /// Returns whether these VMs are in several fabric domains.
    pub fn spans_fabric_domains(&self, members: &[VmId]) -> bool {
        let fabrics: BTreeSet<_> = members
            .iter()
            .filter_map(|vm| self.fabric_domain_of(vm))
            .collect();
        fabrics.len() > 1
    }

    /// Returns the number of accelerators in these VMs.
    pub fn accelerators<'b>(&self, vms: impl IntoIterator<Item = &'b VmId>) -> Accelerators {
        let known = vms.into_iter().filter_map(|vm| self.vms.get(vm));
        Accelerators(known.map(|vm| vm.accelerators.0).sum())
    }

    /// Sorts VMs in order of choice: with the weights loaded, then the longest-running load of
    /// them, then the fewest recent losses.
    pub fn sort_by_preference(&self, vms: &mut [&'a VmId], weights: &str) {
        vms.sort_by_key(|vm| {
            let loading = self.loads.elapsed(vm, weights, self.now);
            let losses = self.history.recent_losses(vm);
            (
                !self.holds_weights(vm, weights),
                std::cmp::Reverse(loading),
                losses,
                *vm,
            )
        });
    }
}
