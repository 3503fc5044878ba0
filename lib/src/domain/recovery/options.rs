//! The possible repairs of one incomplete group, each with its expected cost.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    RepairKind,
    cost::Cost,
    situation::{
        GroupSituation,
        Situation, //
    },
};
use crate::prelude::*;

/// One possible repair of an incomplete group.
#[derive(Clone, Debug)]
pub struct RepairOption {
    /// The kind of the repair.
    pub kind: RepairKind,
    /// The new members, ordered by their rank within the group.
    pub members: Vec<VmId>,
    /// Another incomplete group that is dissolved to provide members.
    pub breaks: Option<GroupId>,
    /// The time until the group is expected to serve.
    pub ready_in: Duration,
    /// The number of members that have yet to begin to load weights.
    pub loads: u32,
    /// The expected cost of the repair, until the groups concerned serve again.
    pub cost: Cost,
    /// The expected cost of waiting, for the same groups.
    pub cost_of_waiting: Cost,
}

impl RepairOption {
    /// Returns the cost saved per weight load. An option without loads has a higher value than
    /// any with loads.
    pub fn value(&self) -> u64 {
        let saved = self.cost_of_waiting.minus(self.cost).0;
        match self.loads {
            0 => u64::MAX / 2 + saved / 2,
            loads => saved / u64::from(loads),
        }
    }
}

/// Returns all possible repairs of `group` with `free` VMs and with members of `donors`, the
/// other incomplete groups.
pub fn repair_options<'a>(
    situation: &Situation<'a>,
    group: &GroupSituation<'a>,
    free: &BTreeSet<&'a VmId>,
    donors: &[&GroupSituation<'a>],
) -> Vec<RepairOption> {
    let replace = replace(situation, group, free);
    let rebuild = rebuild(situation, group, free);
    let merges = donors
        .iter()
        .filter_map(|donor| merge(situation, group, free, donor));
    replace.into_iter().chain(rebuild).chain(merges).collect()
}

/// Replaces the lost members by free VMs.
fn replace<'a>(
    situation: &Situation<'a>,
    group: &GroupSituation<'a>,
    free: &BTreeSet<&'a VmId>,
) -> Option<RepairOption> {
    let candidates = compatible_vms(situation, group, free);
    let members = fill_lost_ranks(group, candidates)?;
    Some(option_with_costs(
        situation,
        group,
        RepairKind::Replace,
        members,
    ))
}

/// Rebuilds the group from free VMs of another fabric domain; its present members become free.
fn rebuild<'a>(
    situation: &Situation<'a>,
    group: &GroupSituation<'a>,
    free: &BTreeSet<&'a VmId>,
) -> Option<RepairOption> {
    let size = group.assignment.members.len();
    let remaining_fabric = remaining_fabric(situation, group);
    let fabrics: BTreeSet<_> = free
        .iter()
        .filter_map(|vm| situation.fabric_domain_of(vm))
        .collect();
    let others = fabrics
        .into_iter()
        .filter(|fabric| Some(*fabric) != remaining_fabric);
    let built = others.filter_map(|fabric| {
        let mut vms = vms_in_fabric(situation, free, fabric);
        situation.sort_by_preference(&mut vms, &group.weights);
        let members: Vec<VmId> = vms.into_iter().take(size).cloned().collect();
        (members.len() == size).then_some(members)
    });
    built
        .map(|members| option_with_costs(situation, group, RepairKind::Rebuild, members))
        .min_by_key(|option| option.ready_in)
}

/// Dissolves another incomplete group, and takes from it the members that free VMs can't
/// provide.
fn merge<'a>(
    situation: &Situation<'a>,
    group: &GroupSituation<'a>,
    free: &BTreeSet<&'a VmId>,
    donor: &GroupSituation<'a>,
) -> Option<RepairOption> {
    let missing = group.lost.len();
    let mut candidates = compatible_vms(situation, group, free);
    if group.alive.is_empty() || candidates.len() >= missing {
        return None;
    }
    let given: BTreeSet<&VmId> = donor.alive.iter().copied().collect();
    candidates.extend(compatible_vms(situation, group, &given));
    let members = fill_lost_ranks(group, candidates)?;
    let taken = donor
        .alive
        .iter()
        .copied()
        .filter(|vm| members.contains(vm));
    let taken = situation.accelerators(taken);
    let left = Accelerators(donor.accelerators.0.saturating_sub(taken.0));
    let donor_wait = situation.expected_wait(donor);
    // The donor serves again only when the lost VMs of both groups are back.
    let donor_down = donor_wait.max(situation.expected_wait(group));
    let mut option = option_with_costs(situation, group, RepairKind::Merge, members);
    let cost = &situation.cost;
    option.breaks = Some(donor.assignment.group.clone());
    option.cost = option.cost.plus(cost.downtime_cost(left, donor_down));
    option.cost_of_waiting = option
        .cost_of_waiting
        .plus(cost.downtime_cost(donor.accelerators, donor_wait));
    Some(option)
}

/// Returns the option with these members, with its expected times and costs.
fn option_with_costs(
    situation: &Situation<'_>,
    group: &GroupSituation<'_>,
    kind: RepairKind,
    members: Vec<VmId>,
) -> RepairOption {
    let (ready_in, loads) = situation.ready_in(&members, &group.weights);
    let cost = &situation.cost;
    let wait = situation.expected_wait(group);
    RepairOption {
        kind,
        members,
        breaks: None,
        ready_in,
        loads,
        cost: cost.downtime_cost(group.accelerators, ready_in),
        cost_of_waiting: cost.downtime_cost(group.accelerators, wait),
    }
}

/// Returns the VMs that may join the group's remaining members, the best first.
fn compatible_vms<'a>(
    situation: &Situation<'a>,
    group: &GroupSituation<'a>,
    vms: &BTreeSet<&'a VmId>,
) -> Vec<&'a VmId> {
    let mut usable = match remaining_fabric(situation, group) {
        Some(remaining_fabric) => vms_in_fabric(situation, vms, remaining_fabric),
        None => Vec::new(),
    };
    situation.sort_by_preference(&mut usable, &group.weights);
    if group.model.may_span_fabric_domains && usable.len() < group.lost.len() {
        let mut others: Vec<&VmId> = vms.iter().copied().collect();
        others.retain(|vm| !usable.contains(vm));
        situation.sort_by_preference(&mut others, &group.weights);
        usable.extend(others);
    }
    usable
}

/// Returns the fabric domain of the remaining members.
fn remaining_fabric<'a>(
    situation: &Situation<'a>,
    group: &GroupSituation<'a>,
) -> Option<&'a FabricDomain> {
    let left = group.alive.iter().chain(&group.suspect);
    left.filter_map(|vm| situation.fabric_domain_of(vm)).next()
}

fn vms_in_fabric<'a>(
    situation: &Situation<'a>,
    vms: &BTreeSet<&'a VmId>,
    fabric: &FabricDomain,
) -> Vec<&'a VmId> {
    let same = |vm: &&VmId| situation.fabric_domain_of(vm) == Some(fabric);
    vms.iter().copied().filter(same).collect()
}

/// Returns the members with `candidates` at the ranks of the lost ones; the others keep their
/// ranks. Returns `None` if the candidates are too few.
fn fill_lost_ranks(group: &GroupSituation<'_>, candidates: Vec<&VmId>) -> Option<Vec<VmId>> {
    let mut candidates = candidates.into_iter();
    let members = group.assignment.members.iter().map(|member| {
        if group.lost.contains(&member) {
            candidates.next().cloned()
        } else {
            Some(member.clone())
        }
    });
    members.collect()
}
