//! How [`super::place`] comes to its placement.

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

/// Decides which groups a failure domain should have.
pub(super) fn run(
    config: &FleetConfig,
    failure_domain: &FailureDomain,
    vms: &[PlacementVm],
    current: &[Assignment],
) -> Placement {
    let mut placer = Placer::new(config, failure_domain, vms);
    placer.review_current(current);
    placer.start_groups(FabricRule::OneFabricDomain);
    placer.start_groups(FabricRule::Spanning);
    placer.report_missing();
    placer.choose_spares();
    placer.placement
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum FabricRule {
    OneFabricDomain,
    Spanning,
}

pub(super) struct Wanted<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) model: &'a ModelService,
    pub(super) weights: String,
    pub(super) spare_count: u32,
    pub(super) short: u32,
}

pub(super) struct Placer<'a> {
    pub(super) config: &'a FleetConfig,
    pub(super) vms: BTreeMap<&'a VmId, &'a PlacementVm>,
    /// By group size, largest first: a large group fits in the fewest places.
    pub(super) wanted: Vec<Wanted<'a>>,
    /// VMs that may still be chosen, by fabric domain.
    pub(super) free: BTreeMap<&'a FabricDomain, BTreeSet<&'a VmId>>,
    /// Members of stopping groups.
    pub(super) occupied_by: BTreeMap<VmId, GroupId>,
    /// How many groups of each service a fabric domain has.
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
        let mut wanted: Vec<Wanted<'a>> = config
            .services
            .iter()
            .filter_map(|(name, service)| wanted_of(name, service, failure_domain))
            .collect();
        wanted.sort_by_key(|want| (std::cmp::Reverse(want.model.vms_per_group), want.service));
        Self {
            config,
            vms: by_id,
            wanted,
            free: BTreeMap::new(),
            occupied_by: BTreeMap::new(),
            groups_in: BTreeMap::new(),
            placement: Placement::default(),
        }
    }

    pub(super) fn collect_free(&mut self, kept: &BTreeSet<VmId>) {
        for (id, vm) in &self.vms {
            let usable = vm.state == UpstreamState::Alive && !self.is_drained(id);
            if usable && !kept.contains(*id) {
                self.free.entry(&vm.fabric_domain).or_default().insert(id);
            }
        }
    }

    fn start_groups(&mut self, rule: FabricRule) {
        for index in 0..self.wanted.len() {
            let model = self.wanted[index].model;
            if rule == FabricRule::Spanning && !model.may_span_fabric_domains {
                continue;
            }
            while self.wanted[index].short > 0 {
                let members = match rule {
                    FabricRule::OneFabricDomain => self.members_in_one(index),
                    FabricRule::Spanning => self.members_spanning(index),
                };
                let Some(members) = members else { break };
                self.start(index, members);
            }
        }
    }

    fn start(&mut self, index: usize, members: Vec<&'a VmId>) {
        let service = self.wanted[index].service;
        self.wanted[index].short -= 1;
        for vm in &members {
            self.remove_free(vm);
        }
        let members: Vec<VmId> = members.into_iter().cloned().collect();
        let waits_for: BTreeSet<GroupId> = members
            .iter()
            .filter_map(|vm| self.occupied_by.get(vm).cloned())
            .collect();
        if let Some(fabric) = members.first().and_then(|vm| self.fabric(vm)) {
            *self.groups_in.entry((service, fabric)).or_default() += 1;
        }
        self.placement.start.push(NewGroup {
            service: service.clone(),
            spans_fabric_domains: self.spans(&members),
            members,
            waits_for: waits_for.into_iter().collect(),
        });
    }

    fn members_in_one(&self, index: usize) -> Option<Vec<&'a VmId>> {
        let want = &self.wanted[index];
        let size = want.model.vms_per_group as usize;
        if size == 0 {
            return None;
        }
        let sizes = self.sizes_short();
        let ordered = self
            .free
            .values()
            .filter(|free| free.len() >= size)
            .map(|free| self.by_preference(free, &want.weights));
        ordered
            .min_by_key(|vms| {
                let unusable = unusable_vms(vms.len() - size, &sizes);
                let worse = unusable.saturating_sub(unusable_vms(vms.len(), &sizes));
                let chosen = &vms[..size];
                let to_load = chosen.iter().filter(|vm| !self.holds(vm, &want.weights));
                let waiting = chosen.iter().filter(|vm| self.is_occupied(vm));
                (worse, waiting.count(), to_load.count(), vms.len(), vms[0])
            })
            .map(|mut vms| {
                vms.truncate(size);
                vms.sort();
                vms
            })
    }

    /// Takes from the fabric domains with most free VMs, so that few are spanned.
    fn members_spanning(&self, index: usize) -> Option<Vec<&'a VmId>> {
        let want = &self.wanted[index];
        let size = want.model.vms_per_group as usize;
        if size == 0 {
            return None;
        }
        let mut fabrics: Vec<_> = self.free.iter().collect();
        fabrics.sort_by_key(|(name, free)| (std::cmp::Reverse(free.len()), **name));
        let mut members: Vec<&'a VmId> = Vec::new();
        for (_, free) in fabrics {
            let rest = size - members.len();
            members.extend(
                self.by_preference(free, &want.weights)
                    .into_iter()
                    .take(rest),
            );
        }
        (members.len() == size).then_some(members)
    }

    fn report_missing(&mut self) {
        let free: usize = self.free.values().map(BTreeSet::len).sum();
        let largest = self.free.values().map(BTreeSet::len).max().unwrap_or(0);
        for want in self.wanted.iter().filter(|want| want.short > 0) {
            let needed = want.model.vms_per_group;
            let reason = if needed == 0 {
                MissingReason::EmptyGroup
            } else if free < needed as usize {
                MissingReason::NotEnoughVms {
                    free: count(free),
                    needed,
                }
            } else {
                MissingReason::FabricDomainsTooSmall {
                    largest_free: count(largest),
                    needed,
                }
            };
            self.placement.missing.push(Missing {
                service: want.service.clone(),
                groups: want.short,
                reason,
            });
        }
        let by_service = |a: &Missing, b: &Missing| a.service.cmp(&b.service);
        self.placement.missing.sort_by(by_service);
    }

    /// Chooses spares after all groups: a VM that can serve now is worth more there.
    fn choose_spares(&mut self) {
        for index in 0..self.wanted.len() {
            for _ in 0..self.wanted[index].spare_count {
                let Some(vm) = self.best_spare(index) else {
                    break;
                };
                self.remove_free(vm);
                let want = &self.wanted[index];
                self.placement.spares.push(Spare {
                    vm: vm.clone(),
                    service: want.service.clone(),
                    holds_weights: self.holds(vm, &want.weights),
                });
            }
        }
        let by_vm = |a: &Spare, b: &Spare| a.vm.cmp(&b.vm);
        self.placement.spares.sort_by(by_vm);
    }

    fn best_spare(&self, index: usize) -> Option<&'a VmId> {
        let want = &self.wanted[index];
        let spares = &self.placement.spares;
        let spares_in = |fabric: &FabricDomain| {
            let same = |spare: &&Spare| self.fabric(&spare.vm) == Some(fabric);
            count(spares.iter().filter(same).count())
        };
        let candidates = self
            .free
            .iter()
            .flat_map(|(fabric, free)| free.iter().map(move |vm| (*fabric, *vm)));
        candidates
            .filter(|(_, vm)| !self.is_occupied(vm))
            .min_by_key(|(fabric, vm)| {
                let groups = self.groups_in.get(&(want.service, *fabric));
                // A spare can help only the groups of its own fabric domain.
                let helped = groups.copied().unwrap_or(0) / (1 + spares_in(fabric));
                let held = self.holds(vm, &want.weights);
                (std::cmp::Reverse(helped), !held, *vm)
            })
            .map(|(_, vm)| vm)
    }

    fn by_preference(&self, free: &BTreeSet<&'a VmId>, weights: &str) -> Vec<&'a VmId> {
        let mut vms: Vec<&'a VmId> = free.iter().copied().collect();
        vms.sort_by_key(|vm| (self.is_occupied(vm), !self.holds(vm, weights), *vm));
        vms
    }

    fn remove_free(&mut self, vm: &VmId) {
        for free in self.free.values_mut() {
            free.remove(vm);
        }
    }

    fn sizes_short(&self) -> Vec<usize> {
        let short = self.wanted.iter().filter(|want| want.short > 0);
        short
            .map(|want| want.model.vms_per_group as usize)
            .collect()
    }

    fn is_occupied(&self, vm: &VmId) -> bool {
        self.occupied_by.contains_key(vm)
    }

    pub(super) fn is_drained(&self, vm: &VmId) -> bool {
        self.config.drained_vms.contains(vm) || self.state(vm) == UpstreamState::Drained
    }

    pub(super) fn is_whole(&self, assignment: &Assignment) -> bool {
        let alive = |vm| self.state(vm) == UpstreamState::Alive;
        assignment.members.iter().all(alive)
    }

    pub(super) fn state(&self, vm: &VmId) -> UpstreamState {
        let known = self.vms.get(vm);
        known.map_or(UpstreamState::Unknown, |vm| vm.state)
    }

    fn holds(&self, vm: &VmId, weights: &str) -> bool {
        let known = self.vms.get(vm);
        known.is_some_and(|vm| vm.weights.contains(weights))
    }

    pub(super) fn fabric(&self, vm: &VmId) -> Option<&'a FabricDomain> {
        self.vms.get(vm).map(|vm| &vm.fabric_domain)
    }

    pub(super) fn spans(&self, members: &[VmId]) -> bool {
        let fabrics: BTreeSet<_> = members.iter().filter_map(|vm| self.fabric(vm)).collect();
        fabrics.len() > 1
    }
}

fn wanted_of<'a>(
    name: &'a ServiceName,
    service: &'a Service,
    failure_domain: &FailureDomain,
) -> Option<Wanted<'a>> {
    let Service::Model(model) = service else {
        return None;
    };
    let groups = model.groups_by_failure_domain.get(failure_domain);
    let spares = model.spare_vms_by_failure_domain.get(failure_domain);
    Some(Wanted {
        service: name,
        model,
        weights: weights_name(&model.model, &model.version),
        spare_count: spares.copied().unwrap_or(0),
        short: groups.copied().unwrap_or(0),
    })
}

/// Returns how many of `free` VMs remain when groups of these sizes fill as many as possible.
fn unusable_vms(free: usize, sizes: &[usize]) -> usize {
    let mut reachable = vec![false; free + 1];
    reachable[0] = true;
    for filled in 1..=free {
        let fits = |size: &usize| *size > 0 && *size <= filled && reachable[filled - size];
        reachable[filled] = sizes.iter().any(fits);
    }
    let most = (0..=free).rev().find(|filled| reachable[*filled]);
    free - most.unwrap_or(0)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
