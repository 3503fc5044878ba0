//! The ways in which one incomplete group could be made whole, each with its cost.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    RepairKind,
    cost::Cost,
    situation::{
        GroupNow,
        Situation, //
    },
};
use crate::prelude::*;

/// One way to make a group whole.
#[derive(Clone, Debug)]
pub struct RepairOption {
    /// The way.
    pub kind: RepairKind,
    /// The members afterwards, in rank order.
    pub members: Vec<VmId>,
    /// A group that is broken for it.
    pub breaks: Option<GroupId>,
    /// When the group is expected to serve.
    pub ready_in: Duration,
    /// How many VMs have to load weights.
    pub loads: u32,
    /// What it is expected to cost until the groups concerned serve again.
    pub cost: Cost,
    /// What waiting is expected to cost for the same groups.
    pub cost_of_waiting: Cost,
}

impl RepairOption {
    /// Returns what is saved for each load; more than any other for an option without loads.
    pub fn value(&self) -> u64 {
        let saved = self.cost_of_waiting.minus(self.cost).0;
        match self.loads {
            0 => u64::MAX / 2 + saved / 2,
            loads => saved / u64::from(loads),
        }
    }
}

/// Returns every way to make `group` whole from `free` VMs and from the members of `donors`.
pub fn options<'a>(
    situation: &Situation<'a>,
    group: &GroupNow<'a>,
    free: &BTreeSet<&'a VmId>,
    donors: &[&GroupNow<'a>],
) -> Vec<RepairOption> {
    let replace = replace(situation, group, free);
    let rebuild = rebuild(situation, group, free);
    let merges = donors
        .iter()
        .filter_map(|donor| merge(situation, group, free, donor));
    replace.into_iter().chain(rebuild).chain(merges).collect()
}

/// Puts free VMs in the places of the lost ones.
fn replace<'a>(
    situation: &Situation<'a>,
    group: &GroupNow<'a>,
    free: &BTreeSet<&'a VmId>,
) -> Option<RepairOption> {
    let candidates = usable_beside(situation, group, free);
    let members = fill(group, candidates)?;
    Some(priced(situation, group, RepairKind::Replace, members))
}

/// Builds the group from free VMs of another fabric domain, and leaves its members free.
fn rebuild<'a>(
    situation: &Situation<'a>,
    group: &GroupNow<'a>,
    free: &BTreeSet<&'a VmId>,
) -> Option<RepairOption> {
    let size = group.assignment.members.len();
    let home = home(situation, group);
    let fabrics: BTreeSet<_> = free.iter().filter_map(|vm| situation.fabric(vm)).collect();
    let others = fabrics.into_iter().filter(|fabric| Some(*fabric) != home);
    let built = others.filter_map(|fabric| {
        let mut vms = in_fabric(situation, free, fabric);
        situation.by_preference(&mut vms, &group.weights);
        let members: Vec<VmId> = vms.into_iter().take(size).cloned().collect();
        (members.len() == size).then_some(members)
    });
    built
        .map(|members| priced(situation, group, RepairKind::Rebuild, members))
        .min_by_key(|option| option.ready_in)
}

/// Breaks another incomplete group and takes from it what free VMs do not give.
fn merge<'a>(
    situation: &Situation<'a>,
    group: &GroupNow<'a>,
    free: &BTreeSet<&'a VmId>,
    donor: &GroupNow<'a>,
) -> Option<RepairOption> {
    let missing = group.lost.len();
    let mut candidates = usable_beside(situation, group, free);
    if group.alive.is_empty() || candidates.len() >= missing {
        return None;
    }
    let given: BTreeSet<&VmId> = donor.alive.iter().copied().collect();
    candidates.extend(usable_beside(situation, group, &given));
    let members = fill(group, candidates)?;
    let taken = donor
        .alive
        .iter()
        .copied()
        .filter(|vm| members.contains(vm));
    let taken = situation.accelerators(taken);
    let left = Accelerators(donor.accelerators.0.saturating_sub(taken.0));
    let donor_wait = situation.expected_wait(donor);
    // The donor stands again only when its own lost VMs and those of the other are back.
    let donor_down = donor_wait.max(situation.expected_wait(group));
    let mut option = priced(situation, group, RepairKind::Merge, members);
    let cost = &situation.cost;
    option.breaks = Some(donor.assignment.group.clone());
    option.cost = option.cost.plus(cost.of_downtime(left, donor_down));
    option.cost_of_waiting = option
        .cost_of_waiting
        .plus(cost.of_downtime(donor.accelerators, donor_wait));
    Some(option)
}

fn priced(
    situation: &Situation<'_>,
    group: &GroupNow<'_>,
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
        cost: cost.of_downtime(group.accelerators, ready_in),
        cost_of_waiting: cost.of_downtime(group.accelerators, wait),
    }
}

/// Returns VMs that may stand beside the group's remaining members, the best first.
fn usable_beside<'a>(
    situation: &Situation<'a>,
    group: &GroupNow<'a>,
    vms: &BTreeSet<&'a VmId>,
) -> Vec<&'a VmId> {
    let mut usable = match home(situation, group) {
        Some(home) => in_fabric(situation, vms, home),
        None => Vec::new(),
    };
    situation.by_preference(&mut usable, &group.weights);
    if group.model.may_span_fabric_domains && usable.len() < group.lost.len() {
        let mut others: Vec<&VmId> = vms.iter().copied().collect();
        others.retain(|vm| !usable.contains(vm));
        situation.by_preference(&mut others, &group.weights);
        usable.extend(others);
    }
    usable
}

/// Returns the fabric domain of the members that are left.
fn home<'a>(situation: &Situation<'a>, group: &GroupNow<'a>) -> Option<&'a FabricDomain> {
    let left = group.alive.iter().chain(&group.suspect);
    left.filter_map(|vm| situation.fabric(vm)).next()
}

fn in_fabric<'a>(
    situation: &Situation<'a>,
    vms: &BTreeSet<&'a VmId>,
    fabric: &FabricDomain,
) -> Vec<&'a VmId> {
    let same = |vm: &&VmId| situation.fabric(vm) == Some(fabric);
    vms.iter().copied().filter(same).collect()
}

/// Puts `candidates` in the places of the lost members; the others keep their ranks.
fn fill(group: &GroupNow<'_>, candidates: Vec<&VmId>) -> Option<Vec<VmId>> {
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
