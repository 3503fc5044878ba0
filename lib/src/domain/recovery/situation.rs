//! A failure domain at one moment, in the form in which repairs are chosen.

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
    loads::RunningLoads,
    return_time::OutageHistory,
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

/// One group of the table and what is known of its members.
#[derive(Clone, Debug)]
pub struct GroupNow<'a> {
    /// Its assignment.
    pub assignment: &'a Assignment,
    /// What its service asks for.
    pub model: &'a ModelService,
    /// The weights its members need.
    pub weights: String,
    /// Whether requests can be sent to it.
    pub serves: bool,
    /// Members that are alive.
    pub alive: Vec<&'a VmId>,
    /// Members that are late and not yet given up.
    pub suspect: Vec<&'a VmId>,
    /// Members that are gone.
    pub lost: Vec<&'a VmId>,
    /// Accelerators of the members that are alive.
    pub accelerators: Accelerators,
}

/// Everything that repairs are chosen from.
pub struct Situation<'a> {
    /// The time.
    pub now: Timestamp,
    /// What costs what.
    pub cost: CostModel<'a>,
    /// How long a lost VM is expected to stay away when nothing is known of it.
    pub prior: Duration,
    /// All VMs.
    pub vms: BTreeMap<&'a VmId, &'a PlacementVm>,
    /// The groups, by name.
    pub groups: BTreeMap<&'a GroupId, GroupNow<'a>>,
    /// VMs that may join a group.
    pub free: BTreeSet<&'a VmId>,
    /// What was seen of the VMs.
    pub history: &'a OutageHistory,
    /// What is being loaded.
    pub loads: &'a RunningLoads,
}

impl<'a> Situation<'a> {
    /// Returns the VMs by name; of one that stands there twice, the first counts.
    pub fn index(vms: &'a [PlacementVm]) -> BTreeMap<&'a VmId, &'a PlacementVm> {
        let mut index = BTreeMap::new();
        for vm in vms {
            index.entry(&vm.vm).or_insert(vm);
        }
        index
    }

    /// Looks at one group; `None` if no model service of its name is configured.
    pub fn look_at(
        config: &'a FleetConfig,
        vms: &BTreeMap<&'a VmId, &'a PlacementVm>,
        assignment: &'a Assignment,
        serves: bool,
    ) -> Option<GroupNow<'a>> {
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
        Some(GroupNow {
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

    /// Returns how long a group stays down if nothing is done about it.
    pub fn expected_wait(&self, group: &GroupNow<'_>) -> Duration {
        if group.lost.is_empty() && group.suspect.is_empty() {
            let (ready_in, _) = self.ready_in(&group.assignment.members, &group.weights);
            return ready_in;
        }
        let absent = group.lost.iter();
        let remaining = absent.map(|vm| self.history.expected_remaining(vm, self.prior, self.now));
        // A VM that comes back after it was given up has usually restarted, so it
        // loads its weights again.
        remaining.max().unwrap_or_default() + self.cost.load_time(1) + JOIN_TIME
    }

    /// Returns how long these VMs take to serve, and how many loads they have yet to begin.
    pub fn ready_in(&self, members: &[VmId], weights: &str) -> (Duration, u32) {
        let lacking = members.iter().filter(|vm| !self.holds(vm, weights));
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

    /// Returns whether a VM holds these weights.
    pub fn holds(&self, vm: &VmId, weights: &str) -> bool {
        let known = self.vms.get(vm);
        known.is_some_and(|known| known.weights.contains(weights))
    }

    /// Returns a VM's fabric domain.
    pub fn fabric(&self, vm: &VmId) -> Option<&'a FabricDomain> {
        self.vms.get(vm).map(|known| &known.fabric_domain)
    }

    /// Returns whether these VMs are in several fabric domains.
    pub fn spans(&self, members: &[VmId]) -> bool {
        let fabrics: BTreeSet<_> = members.iter().filter_map(|vm| self.fabric(vm)).collect();
        fabrics.len() > 1
    }

    /// Returns the accelerators of these VMs.
    pub fn accelerators<'b>(&self, vms: impl IntoIterator<Item = &'b VmId>) -> Accelerators {
        let known = vms.into_iter().filter_map(|vm| self.vms.get(vm));
        Accelerators(known.map(|vm| vm.accelerators.0).sum())
    }

    /// Orders VMs by how soon and how long they will be of use.
    pub fn by_preference(&self, vms: &mut [&'a VmId], weights: &str) {
        vms.sort_by_key(|vm| {
            let loading = self.loads.elapsed(vm, weights, self.now);
            let losses = self.history.recent_losses(vm);
            (
                !self.holds(vm, weights),
                std::cmp::Reverse(loading),
                losses,
                *vm,
            )
        });
    }
}
