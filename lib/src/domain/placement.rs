//! Which groups a failure domain should have, given its configuration and its VMs.
//!
//! Placement answers an operator's intent. A kept group may be incomplete; what
//! becomes of it is decided by recovery, which weighs time and the chance of the lost
//! VM's return.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use displaydoc::Display;

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

/// A VM that carries an engine, as placement sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementVm {
    /// The VM.
    pub vm: VmId,
    /// Its fabric domain.
    pub fabric_domain: FabricDomain,
    /// Its accelerators.
    pub accelerators: Accelerators,
    /// What is known of it; only [`UpstreamState::Alive`] may join a group.
    pub state: UpstreamState,
    /// The weights it holds, as [`weights_name`] writes them.
    pub weights: BTreeSet<String>,
}

/// The groups a failure domain should have, as a change from those it has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Placement {
    /// Groups that stay, in order of their names.
    pub keep: Vec<GroupId>,
    /// Those of `keep` that lack a member; recovery decides what becomes of them.
    pub incomplete: Vec<GroupId>,
    /// Groups that end after their running requests.
    pub stop: Vec<StoppedGroup>,
    /// Groups to form.
    pub start: Vec<NewGroup>,
    /// VMs to keep ready with the weights loaded.
    pub spares: Vec<Spare>,
    /// Groups that are wanted and cannot be formed.
    pub missing: Vec<Missing>,
}

/// A group that ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoppedGroup {
    /// The group.
    pub group: GroupId,
    /// Why.
    pub reason: StopReason,
}

/// Why a group ends.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StopReason {
    /// its service is not a model service of this configuration
    ServiceRemoved,
    /// its model, version, adapters or size changed
    ServiceChanged,
    /// fewer groups are wanted here
    Surplus,
    /// a member is drained
    MemberDrained,
    /// a member is leaving
    MemberLeaving,
    /// it spans fabric domains, which its service may not
    SpansFabricDomains,
    /// a member is also in a group with a newer token
    SharesMember,
}

/// A group to form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewGroup {
    /// What it serves.
    pub service: ServiceName,
    /// Its members in rank order.
    pub members: Vec<VmId>,
    /// Whether its members are in several fabric domains, which makes it slow.
    pub spans_fabric_domains: bool,
    /// Stopping groups whose VMs it takes; it may form only after they have ended.
    pub waits_for: Vec<GroupId>,
}

/// A VM that stands ready to replace a lost member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spare {
    /// The VM.
    pub vm: VmId,
    /// Whose weights it holds or shall load.
    pub service: ServiceName,
    /// Whether it holds them already.
    pub holds_weights: bool,
}

/// Groups that are wanted and cannot be formed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Missing {
    /// The service.
    pub service: ServiceName,
    /// How many groups are short.
    pub groups: u32,
    /// Why.
    pub reason: MissingReason,
}

/// Why a wanted group cannot be formed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MissingReason {
    /// a group of no VMs cannot serve
    EmptyGroup,
    /// {free} VMs are free and a group needs {needed}
    NotEnoughVms {
        /// Free VMs of the failure domain.
        free: u32,
        /// VMs in a group.
        needed: u32,
    },
    /// no fabric domain has more than {largest_free} free VMs and a group needs {needed}
    FabricDomainsTooSmall {
        /// Free VMs of the fabric domain that has most.
        largest_free: u32,
        /// VMs in a group.
        needed: u32,
    },
}

/// Returns how engines announce these weights.
pub fn weights_name(model: &ModelName, version: &str) -> String {
    format!("{model}@{version}")
}

/// Decides which groups a failure domain should have.
///
/// `vms` are the engines of `failure_domain`; of a VM that stands there twice, the
/// first entry counts. The outcome does not depend on the order of `vms` or
/// `current` otherwise.
pub fn place(
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

struct Wanted<'a> {
    service: &'a ServiceName,
    model: &'a ModelService,
    weights: String,
    spare_count: u32,
    short: u32,
}

struct Placer<'a> {
    config: &'a FleetConfig,
    vms: BTreeMap<&'a VmId, &'a PlacementVm>,
    /// By group size, largest first: a large group fits in the fewest places.
    wanted: Vec<Wanted<'a>>,
    /// VMs that may still be chosen, by fabric domain.
    free: BTreeMap<&'a FabricDomain, BTreeSet<&'a VmId>>,
    /// Members of stopping groups.
    occupied_by: BTreeMap<VmId, GroupId>,
    /// How many groups of each service a fabric domain has.
    groups_in: BTreeMap<(&'a ServiceName, &'a FabricDomain), u32>,
    placement: Placement,
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

    fn review_current(&mut self, current: &[Assignment]) {
        let mut order: Vec<&Assignment> = current.iter().collect();
        // Newer tokens first: of two groups that name one VM, the newer one is what
        // the engine obeys.
        order.sort_by_key(|a| (std::cmp::Reverse(a.token), a.group.clone()));
        order.dedup_by(|a, b| a.group == b.group);
        let mut taken: BTreeSet<VmId> = BTreeSet::new();
        let mut eligible: Vec<&Assignment> = Vec::new();
        for assignment in order {
            let shares = assignment.members.iter().any(|vm| taken.contains(vm));
            let reason = match shares {
                true => Some(StopReason::SharesMember),
                false => self.stop_reason(assignment),
            };
            // A stopping group holds its VMs until its last request has ended.
            taken.extend(assignment.members.iter().cloned());
            match reason {
                Some(reason) => self.stop(assignment, reason),
                None => eligible.push(assignment),
            }
        }
        let kept = self.keep_wanted(eligible);
        self.collect_free(&kept);
        self.placement.keep.sort();
        self.placement.incomplete.sort();
        self.placement.stop.sort_by(|a, b| a.group.cmp(&b.group));
    }

    fn stop(&mut self, assignment: &Assignment, reason: StopReason) {
        for vm in &assignment.members {
            let group = assignment.group.clone();
            self.occupied_by.entry(vm.clone()).or_insert(group);
        }
        self.placement.stop.push(StoppedGroup {
            group: assignment.group.clone(),
            reason,
        });
    }

    fn stop_reason(&self, assignment: &Assignment) -> Option<StopReason> {
        let want = self
            .wanted
            .iter()
            .find(|want| *want.service == assignment.service);
        let Some(want) = want else {
            return Some(StopReason::ServiceRemoved);
        };
        if !matches_service(assignment, want.model) {
            return Some(StopReason::ServiceChanged);
        }
        if assignment.members.iter().any(|vm| self.is_drained(vm)) {
            return Some(StopReason::MemberDrained);
        }
        let leaving = |vm| self.state(vm) == UpstreamState::Leaving;
        if assignment.members.iter().any(leaving) {
            return Some(StopReason::MemberLeaving);
        }
        if self.spans(&assignment.members) && !want.model.may_span_fabric_domains {
            return Some(StopReason::SpansFabricDomains);
        }
        None
    }

    /// Keeps as many groups as are wanted, whole ones before incomplete ones.
    fn keep_wanted(&mut self, eligible: Vec<&Assignment>) -> BTreeSet<VmId> {
        let mut order: Vec<(bool, bool, &Assignment)> = eligible
            .into_iter()
            .map(|a| (!self.is_whole(a), self.spans(&a.members), a))
            .collect();
        order.sort_by_key(|(lacking, spans, a)| (*lacking, *spans, a.token, a.group.clone()));
        let mut kept = BTreeSet::new();
        for (lacking, _, assignment) in order {
            if !self.claim_wanted(&assignment.service) {
                self.stop(assignment, StopReason::Surplus);
                continue;
            }
            self.placement.keep.push(assignment.group.clone());
            if lacking {
                self.placement.incomplete.push(assignment.group.clone());
            }
            kept.extend(assignment.members.iter().cloned());
            self.count_group(assignment);
        }
        kept
    }

    fn claim_wanted(&mut self, service: &ServiceName) -> bool {
        let want = self.wanted.iter_mut().find(|want| want.service == service);
        let Some(want) = want.filter(|want| want.short > 0) else {
            return false;
        };
        want.short -= 1;
        true
    }

    fn count_group(&mut self, assignment: &Assignment) {
        let service = self
            .wanted
            .iter()
            .find(|want| *want.service == assignment.service)
            .map(|want| want.service);
        let fabric = assignment.members.iter().find_map(|vm| self.fabric(vm));
        if let (Some(service), Some(fabric)) = (service, fabric) {
            *self.groups_in.entry((service, fabric)).or_default() += 1;
        }
    }

    fn collect_free(&mut self, kept: &BTreeSet<VmId>) {
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

    fn is_drained(&self, vm: &VmId) -> bool {
        self.config.drained_vms.contains(vm) || self.state(vm) == UpstreamState::Drained
    }

    fn is_whole(&self, assignment: &Assignment) -> bool {
        let alive = |vm| self.state(vm) == UpstreamState::Alive;
        assignment.members.iter().all(alive)
    }

    fn state(&self, vm: &VmId) -> UpstreamState {
        let known = self.vms.get(vm);
        known.map_or(UpstreamState::Unknown, |vm| vm.state)
    }

    fn holds(&self, vm: &VmId, weights: &str) -> bool {
        let known = self.vms.get(vm);
        known.is_some_and(|vm| vm.weights.contains(weights))
    }

    fn fabric(&self, vm: &VmId) -> Option<&'a FabricDomain> {
        self.vms.get(vm).map(|vm| &vm.fabric_domain)
    }

    fn spans(&self, members: &[VmId]) -> bool {
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

/// Returns whether a group runs what its service asks for now.
pub fn matches_service(assignment: &Assignment, model: &ModelService) -> bool {
    assignment.model == model.model
        && assignment.version == model.version
        && assignment.adapters == model.adapters
        && assignment.members.len() == model.vms_per_group as usize
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
