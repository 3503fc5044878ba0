//! The algorithm of [`super::place`].

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    Missing,
    MissingReason,
    NewGroup,
    Placement,
    PlacementVm,
    Spare,
    weights_name, //
};
use crate::{
    chart::UpstreamState,
    fleet::{
        FleetConfig,
        ModelService,
        Service, //
    },
    peer_api::Assignment,
    prelude::*,
};

/// Returns the groups that a failure domain should have; see [`super::place`].
pub(super) fn compute_placement(
    config: &FleetConfig,
    failure_domain: &FailureDomain,
    vms: &[PlacementVm],
    current: &[Assignment],
) -> Placement {
    let mut placer = Placer::new(config, failure_domain, vms);
    placer.review_current(current);
    placer.choose_new_groups(FabricRule::OneFabricDomain);
    placer.choose_new_groups(FabricRule::Spanning);
    placer.report_missing();
    placer.choose_spares();
    placer.placement
}

/// Whether a new group may have members in several fabric domains.
#[derive(Clone, Copy, Eq, PartialEq)]
enum FabricRule {
    OneFabricDomain,
    Spanning,
}

/// A model service's demand for groups and spares in the failure domain.
pub(super) struct ServiceDemand<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) model: &'a ModelService,
    pub(super) weights: String,
    /// The number of spare VMs that the configuration demands.
    pub(super) spare_count: u32,
    /// The number of demanded groups that are neither kept nor started yet.
    pub(super) missing_groups: u32,
}

/// The state of one computation of a placement.
pub(super) struct Placer<'a> {
    pub(super) config: &'a FleetConfig,
    pub(super) vms: BTreeMap<&'a VmId, &'a PlacementVm>,
    /// The demands, by size of the groups, largest first, since large groups fit into the
    /// fewest fabric domains.
    pub(super) demands: Vec<ServiceDemand<'a>>,
    /// VMs that may still be chosen for a new group or as a spare, by fabric domain.
    pub(super) free: BTreeMap<&'a FabricDomain, BTreeSet<&'a VmId>>,
    /// The members of stopping groups, each with its group.
    pub(super) occupied_by: BTreeMap<VmId, GroupId>,
    /// The number of groups of each service, by fabric domain.
    pub(super) groups_in: BTreeMap<(&'a ServiceName, &'a FabricDomain), u32>,
    pub(super) placement: Placement,
}

impl<'a> Placer<'a> {
    fn new(
        config: &'a FleetConfig,
        failure_domain: &FailureDomain,
        vms: &'a [PlacementVm],
    ) -> Self {
        let mut by_id = BTreeMap::new();
        for vm in vms {
            by_id.entry(&vm.vm).or_insert(vm);
        }
        let mut demands: Vec<ServiceDemand<'a>> = config
            .services
            .iter()
            .filter_map(|(name, service)| service_demand(name, service, failure_domain))
            .collect();
        demands.sort_by_key(|demand| {
            (
                std::cmp::Reverse(demand.model.vms_per_group),
                demand.service,
            )
        });
        Self {
            config,
            vms: by_id,
            demands,
            free: BTreeMap::new(),
            occupied_by: BTreeMap::new(),
            groups_in: BTreeMap::new(),
            placement: Placement::default(),
        }
    }

    /// Collects the VMs that may join a new group: alive, not drained, and not in a kept group.
    pub(super) fn collect_free_vms(&mut self, kept: &BTreeSet<VmId>) {
        for (id, vm) in &self.vms {
            let usable = vm.state == UpstreamState::Alive && !self.is_drained(id);
            if usable && !kept.contains(*id) {
                self.free.entry(&vm.fabric_domain).or_default().insert(id);
            }
        }
    }

    /// Adds new groups to the placement until no demanded one can be formed under `rule`.
    fn choose_new_groups(&mut self, rule: FabricRule) {
        for index in 0..self.demands.len() {
            let model = self.demands[index].model;
            if rule == FabricRule::Spanning && !model.may_span_fabric_domains {
                continue;
            }
            while self.demands[index].missing_groups > 0 {
                let members = match rule {
                    FabricRule::OneFabricDomain => self.members_in_one_fabric(index),
                    FabricRule::Spanning => self.members_spanning(index),
                };
                let Some(members) = members else { break };
                self.add_new_group(index, members);
            }
        }
    }

    /// Adds a new group to the placement and takes its members from the free VMs.
    fn add_new_group(&mut self, index: usize, members: Vec<&'a VmId>) {
        let service = self.demands[index].service;
        self.demands[index].missing_groups -= 1;
        for vm in &members {
            self.remove_free_vm(vm);
        }
        let members: Vec<VmId> = members.into_iter().cloned().collect();
        let waits_for: BTreeSet<GroupId> = members
            .iter()
            .filter_map(|vm| self.occupied_by.get(vm).cloned())
            .collect();
        if let Some(fabric) = members.first().and_then(|vm| self.fabric_domain_of(vm)) {
            *self.groups_in.entry((service, fabric)).or_default() += 1;
        }
        self.placement.start.push(NewGroup {
            service: service.clone(),
            spans_fabric_domains: self.spans_fabric_domains(&members),
            members,
            waits_for: waits_for.into_iter().collect(),
        });
    }

    /// Returns the members for a group within one fabric domain. Chosen is the fabric domain in
    /// which the fewest VMs become useless for the other missing groups; then the fewest VMs of
    /// stopping groups, weight loads and free VMs decide.
    fn members_in_one_fabric(&self, index: usize) -> Option<Vec<&'a VmId>> {
        let demand = &self.demands[index];
        let size = demand.model.vms_per_group as usize;
        if size == 0 {
            return None;
        }
        let sizes = self.missing_group_sizes();
        let ordered = self
            .free
            .values()
            .filter(|free| free.len() >= size)
            .map(|free| self.sorted_by_preference(free, &demand.weights));
        ordered
            .min_by_key(|vms| {
                let unusable = unusable_vms(vms.len() - size, &sizes);
                let newly_unusable = unusable.saturating_sub(unusable_vms(vms.len(), &sizes));
                let chosen = &vms[..size];
                let to_load = chosen
                    .iter()
                    .filter(|vm| !self.holds_weights(vm, &demand.weights));
                let waiting = chosen.iter().filter(|vm| self.is_occupied(vm));
                (
                    newly_unusable,
                    waiting.count(),
                    to_load.count(),
                    vms.len(),
                    vms[0],
                )
            })
            .map(|mut vms| {
                vms.truncate(size);
                vms.sort();
                vms
            })
    }

    /// Returns the members for a group across fabric domains, from those with the most free
    /// VMs, so that the group spans few of them.
    fn members_spanning(&self, index: usize) -> Option<Vec<&'a VmId>> {
        let demand = &self.demands[index];
        let size = demand.model.vms_per_group as usize;
        if size == 0 {
            return None;
        }
        let mut fabrics: Vec<_> = self.free.iter().collect();
        fabrics.sort_by_key(|(name, free)| (std::cmp::Reverse(free.len()), **name));
        let mut members: Vec<&'a VmId> = Vec::new();
        for (_, free) in fabrics {
            let rest = size - members.len();
            members.extend(
                self.sorted_by_preference(free, &demand.weights)
                    .into_iter()
                    .take(rest),
            );
        }
        (members.len() == size).then_some(members)
    }

    /// Adds the demanded groups that could not be formed to the placement, with the reason.
    fn report_missing(&mut self) {
        let free: usize = self.free.values().map(BTreeSet::len).sum();
        let largest = self.free.values().map(BTreeSet::len).max().unwrap_or(0);
        for demand in self
            .demands
            .iter()
            .filter(|demand| demand.missing_groups > 0)
        {
            let needed = demand.model.vms_per_group;
            let reason = if needed == 0 {
                MissingReason::EmptyGroup
            } else if free < needed as usize {
                MissingReason::NotEnoughVms {
                    free: to_u32(free),
                    needed,
                }
            } else {
                MissingReason::FabricDomainsTooSmall {
                    largest_free: to_u32(largest),
                    needed,
                }
            };
            self.placement.missing.push(Missing {
                service: demand.service.clone(),
                groups: demand.missing_groups,
                reason,
            });
        }
        let by_service = |a: &Missing, b: &Missing| a.service.cmp(&b.service);
        self.placement.missing.sort_by(by_service);
    }

    /// Chooses spares after all groups, because a VM is of more use in a group that can serve
    /// now.
    fn choose_spares(&mut self) {
        for index in 0..self.demands.len() {
            for _ in 0..self.demands[index].spare_count {
                let Some(vm) = self.best_spare(index) else {
                    break;
                };
                self.remove_free_vm(vm);
                let demand = &self.demands[index];
                self.placement.spares.push(Spare {
                    vm: vm.clone(),
                    service: demand.service.clone(),
                    holds_weights: self.holds_weights(vm, &demand.weights),
                });
            }
        }
        let by_vm = |a: &Spare, b: &Spare| a.vm.cmp(&b.vm);
        self.placement.spares.sort_by(by_vm);
    }

    /// Returns the free VM that can help the most groups per spare; among equals, one that
    /// holds the weights.
    fn best_spare(&self, index: usize) -> Option<&'a VmId> {
        let demand = &self.demands[index];
        let spares = &self.placement.spares;
        let spares_in = |fabric: &FabricDomain| {
            let same = |spare: &&Spare| self.fabric_domain_of(&spare.vm) == Some(fabric);
            to_u32(spares.iter().filter(same).count())
        };
        let candidates = self
            .free
            .iter()
            .flat_map(|(fabric, free)| free.iter().map(move |vm| (*fabric, *vm)));
        candidates
            .filter(|(_, vm)| !self.is_occupied(vm))
            .min_by_key(|(fabric, vm)| {
                let groups = self.groups_in.get(&(demand.service, *fabric));
                // A spare can only replace members of groups in its own fabric domain.
                let helped = groups.copied().unwrap_or(0) / (1 + spares_in(fabric));
                let held = self.holds_weights(vm, &demand.weights);
                (std::cmp::Reverse(helped), !held, *vm)
            })
            .map(|(_, vm)| vm)
    }

    /// Returns the VMs in order of choice: those not occupied by a stopping group first, then
    /// those that hold the weights.
    fn sorted_by_preference(&self, free: &BTreeSet<&'a VmId>, weights: &str) -> Vec<&'a VmId> {
        let mut vms: Vec<&'a VmId> = free.iter().copied().collect();
        vms.sort_by_key(|vm| (self.is_occupied(vm), !self.holds_weights(vm, weights), *vm));
        vms
    }

    fn remove_free_vm(&mut self, vm: &VmId) {
        for free in self.free.values_mut() {
            free.remove(vm);
        }
    }

    /// Returns the group size of each service that still lacks groups.
    fn missing_group_sizes(&self) -> Vec<usize> {
        let missing_groups = self
            .demands
            .iter()
            .filter(|demand| demand.missing_groups > 0);
        missing_groups
            .map(|demand| demand.model.vms_per_group as usize)
            .collect()
    }

    fn is_occupied(&self, vm: &VmId) -> bool {
        self.occupied_by.contains_key(vm)
    }

    pub(super) fn is_drained(&self, vm: &VmId) -> bool {
        self.config.drained_vms.contains(vm) || self.state(vm) == UpstreamState::Drained
    }

    /// Returns whether all members of a group are alive.
    pub(super) fn is_whole(&self, assignment: &Assignment) -> bool {
        let alive = |vm| self.state(vm) == UpstreamState::Alive;
        assignment.members.iter().all(alive)
    }

    pub(super) fn state(&self, vm: &VmId) -> UpstreamState {
        let known = self.vms.get(vm);
        known.map_or(UpstreamState::Unknown, |vm| vm.state)
    }

    fn holds_weights(&self, vm: &VmId, weights: &str) -> bool {
        let known = self.vms.get(vm);
        known.is_some_and(|vm| vm.weights.contains(weights))
    }

    pub(super) fn fabric_domain_of(&self, vm: &VmId) -> Option<&'a FabricDomain> {
        self.vms.get(vm).map(|vm| &vm.fabric_domain)
    }

    pub(super) fn spans_fabric_domains(&self, members: &[VmId]) -> bool {
        let fabrics: BTreeSet<_> = members
            .iter()
            .filter_map(|vm| self.fabric_domain_of(vm))
            .collect();
        fabrics.len() > 1
    }
}

fn service_demand<'a>(
    name: &'a ServiceName,
    service: &'a Service,
    failure_domain: &FailureDomain,
) -> Option<ServiceDemand<'a>> {
    let Service::Model(model) = service else {
        return None;
    };
    let groups = model.groups_by_failure_domain.get(failure_domain);
    let spares = model.spare_vms_by_failure_domain.get(failure_domain);
    Some(ServiceDemand {
        service: name,
        model,
        weights: weights_name(&model.model, &model.version),
        spare_count: spares.copied().unwrap_or(0),
        missing_groups: groups.copied().unwrap_or(0),
    })
}

/// Returns the number of `free` VMs that stay unused when groups of these sizes use as many as
/// possible.
fn unusable_vms(free: usize, sizes: &[usize]) -> usize {
    let mut can_be_filled = vec![false; free + 1];
    can_be_filled[0] = true;
    for filled in 1..=free {
        let fits = |size: &usize| *size > 0 && *size <= filled && can_be_filled[filled - size];
        can_be_filled[filled] = sizes.iter().any(fits);
    }
    let most_filled = (0..=free).rev().find(|filled| can_be_filled[*filled]);
    free - most_filled.unwrap_or(0)
}

fn to_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
