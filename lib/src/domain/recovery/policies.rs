//! The recovery policies: which incomplete groups are repaired, and how.

use std::collections::BTreeSet;

use super::{
    Repair, RepairKind, Wait, WaitReason,
    cost::{
        Cost,
        JOIN_TIME,
        WeightStoreBudget, //
    },
    options::{
        RepairOption,
        repair_options, //
    },
    situation::{
        GroupSituation,
        Situation, //
    },
};
use crate::{
    fleet::RecoveryPolicy,
    prelude::*, //
};

/// A repair must be cheaper than waiting by this share; otherwise small changes of the
/// estimates would move VMs back and forth.
const HYSTERESIS: Percent = Percent(10);

/// The decision of a policy on the incomplete groups.
#[derive(Debug, Default)]
pub struct RepairDecisions {
    /// Groups that are replaced by a group with other members.
    pub repairs: Vec<Repair>,
    /// Groups that stay unchanged for now.
    pub waits: Vec<Wait>,
    /// VMs that are reserved for a repair which waits for the weight store.
    pub reserved: BTreeSet<VmId>,
}

/// Decides on every group that doesn't serve, by the configured policy.
pub fn decide(
    policy: RecoveryPolicy,
    situation: &Situation<'_>,
    budget: &mut WeightStoreBudget,
) -> RepairDecisions {
    match policy {
        RecoveryPolicy::AlwaysWait => always_wait(situation),
        RecoveryPolicy::AlwaysRebuild => always_rebuild(situation),
        RecoveryPolicy::LowestCost => LowestCost::new(situation, budget).decide(),
    }
}

fn is_incomplete(group: &GroupSituation<'_>) -> bool {
    !group.lost.is_empty() || !group.suspect.is_empty()
}

fn wait_entry(situation: &Situation<'_>, group: &GroupSituation<'_>, reason: WaitReason) -> Wait {
    Wait {
        group: group.assignment.group.clone(),
        reason,
        expected: situation.expected_wait(group),
    }
}

fn always_wait(situation: &Situation<'_>) -> RepairDecisions {
    let incomplete = situation.groups.values().filter(|g| is_incomplete(g));
    RepairDecisions {
        waits: incomplete
            .map(|group| wait_entry(situation, group, WaitReason::Policy))
            .collect(),
        ..RepairDecisions::default()
    }
}

/// Rebuilds each group in the first fabric domain with enough free VMs, whether or not they
/// hold the weights.
fn always_rebuild(situation: &Situation<'_>) -> RepairDecisions {
    let mut decisions = RepairDecisions::default();
    let mut free: BTreeSet<&VmId> = situation.free.clone();
    for group in situation.groups.values().filter(|g| is_incomplete(g)) {
        if group.lost.is_empty() {
            let waiting = wait_entry(situation, group, WaitReason::MemberSuspect);
            decisions.waits.push(waiting);
            continue;
        }
        let usable: BTreeSet<&VmId> = free.iter().chain(&group.alive).copied().collect();
        let Some(members) = first_fitting_members(situation, group, &usable) else {
            let waiting = wait_entry(situation, group, WaitReason::NoFreeVms);
            decisions.waits.push(waiting);
            continue;
        };
        free = usable;
        free.retain(|vm| !members.contains(vm));
        decisions.repairs.push(Repair {
            kind: RepairKind::Rebuild,
            group: group.assignment.group.clone(),
            breaks: None,
            service: group.assignment.service.clone(),
            spans_fabric_domains: situation.spans_fabric_domains(&members),
            ready_in: situation.ready_in(&members, &group.weights).0,
            members,
            saved: Cost::default(),
        });
    }
    decisions
}

/// Returns the first VMs of the first fabric domain with enough of them for the group.
fn first_fitting_members(
    situation: &Situation<'_>,
    group: &GroupSituation<'_>,
    usable: &BTreeSet<&VmId>,
) -> Option<Vec<VmId>> {
    let size = group.assignment.members.len();
    let fabrics: BTreeSet<_> = usable
        .iter()
        .filter_map(|vm| situation.fabric_domain_of(vm))
        .collect();
    let mut choices = fabrics.into_iter().map(|fabric| {
        let same = usable
            .iter()
            .filter(|vm| situation.fabric_domain_of(vm) == Some(fabric));
        let members: Vec<VmId> = same.take(size).map(|vm| (*vm).clone()).collect();
        members
    });
    choices.find(|members| members.len() == size)
}

/// The policy of lowest cost: accepts repairs one by one, the most valuable first.
struct LowestCost<'s, 'a, 'b> {
    situation: &'s Situation<'a>,
    budget: &'b mut WeightStoreBudget,
    free: BTreeSet<&'a VmId>,
    /// The incomplete groups on which no decision has been taken yet.
    undecided: BTreeSet<&'a GroupId>,
    decisions: RepairDecisions,
}

impl<'s, 'a, 'b> LowestCost<'s, 'a, 'b> {
    fn new(situation: &'s Situation<'a>, budget: &'b mut WeightStoreBudget) -> Self {
        let mut undecided = BTreeSet::new();
        let mut decisions = RepairDecisions::default();
        for (name, group) in &situation.groups {
            if !group.suspect.is_empty() {
                // A suspect member's lease ends soon. Until then, nobody knows whether the
                // member is lost, and a short pause would cause a repair.
                let waiting = wait_entry(situation, group, WaitReason::MemberSuspect);
                decisions.waits.push(waiting);
            } else if !group.lost.is_empty() {
                undecided.insert(*name);
            }
        }
        Self {
            situation,
            budget,
            free: situation.free.clone(),
            undecided,
            decisions,
        }
    }

    fn decide(mut self) -> RepairDecisions {
        while let Some((name, option)) = self.most_valuable_repair() {
            self.undecided.remove(name);
            self.accept_option(name, option);
        }
        for name in std::mem::take(&mut self.undecided) {
            let group = &self.situation.groups[name];
            let possible = !self.options_of(name).is_empty();
            let reason = match possible {
                true => WaitReason::CheaperToWait,
                false => WaitReason::NoFreeVms,
            };
            let waiting = wait_entry(self.situation, group, reason);
            self.decisions.waits.push(waiting);
        }
        self.restore_loading_groups();
        self.decisions
    }

    /// Returns the possible repairs of a group, with the other undecided groups as donors.
    fn options_of(&self, name: &'a GroupId) -> Vec<RepairOption> {
        let group = &self.situation.groups[name];
        let donors: Vec<&GroupSituation<'a>> = self
            .undecided
            .iter()
            .filter(|other| **other != name)
            .map(|other| &self.situation.groups[*other])
            .collect();
        repair_options(self.situation, group, &self.free, &donors)
    }

    /// Returns the most valuable repair of an undecided group that is cheaper than waiting.
    fn most_valuable_repair(&self) -> Option<(&'a GroupId, RepairOption)> {
        let best = self.undecided.iter().filter_map(|name| {
            let options = self.options_of(name).into_iter();
            let worthwhile =
                options.filter(|option| option.cost.raised_by(HYSTERESIS) < option.cost_of_waiting);
            let best = worthwhile.max_by_key(|option| {
                let saved = option.cost_of_waiting.minus(option.cost);
                (saved, std::cmp::Reverse(option.loads))
            });
            best.map(|option| (*name, option))
        });
        best.max_by_key(|(name, option)| (option.value(), std::cmp::Reverse(*name)))
    }

    /// Decides on a group: repair it, or wait if the weight store is busy.
    fn accept_option(&mut self, name: &'a GroupId, option: RepairOption) {
        // A repair that waits for the weight store reserves its VMs; otherwise a repair of less
        // value would take them.
        self.free.retain(|vm| !option.members.contains(vm));
        if let Some(broken) = &option.breaks {
            self.undecided.remove(broken);
        }
        let group = &self.situation.groups[name];
        if !self.budget.grant(option.loads) {
            let waiting = wait_entry(self.situation, group, WaitReason::WeightStoreBusy);
            self.decisions.waits.push(waiting);
            self.decisions.reserved.extend(option.members);
            return;
        }
        self.decisions.repairs.push(Repair {
            kind: option.kind,
            group: group.assignment.group.clone(),
            breaks: option.breaks,
            service: group.assignment.service.clone(),
            spans_fabric_domains: self.situation.spans_fabric_domains(&option.members),
            ready_in: option.ready_in,
            saved: option.cost_of_waiting.minus(option.cost),
            members: option.members,
        });
    }

    /// Replaces members that still load weights by free VMs that hold them.
    ///
    /// A lost VM may return after a pause, with its weights, while its replacement still loads.
    /// A group that serves is never changed. The remaining time must at least halve, so that
    /// the replacements come to an end.
    fn restore_loading_groups(&mut self) {
        let groups = self.situation.groups.values();
        let loading = groups.filter(|group| !group.serves && !is_incomplete(group));
        for group in loading {
            let members = &group.assignment.members;
            let Some(better) = self.soonest_ready_members(group) else {
                continue;
            };
            let (now_in, _) = self.situation.ready_in(members, &group.weights);
            let (ready_in, loads) = self.situation.ready_in(&better, &group.weights);
            if loads > 0 || ready_in * 2 > now_in || ready_in + JOIN_TIME > now_in {
                continue;
            }
            self.free.retain(|vm| !better.contains(vm));
            let cost = &self.situation.cost;
            let saved = cost.downtime_cost(group.accelerators, now_in - ready_in);
            self.decisions.repairs.push(Repair {
                kind: RepairKind::Restore,
                group: group.assignment.group.clone(),
                breaks: None,
                service: group.assignment.service.clone(),
                spans_fabric_domains: self.situation.spans_fabric_domains(&better),
                ready_in,
                saved,
                members: better,
            });
        }
    }

    /// Returns the members that could serve soonest, chosen from the group's members and from
    /// free VMs that hold the weights.
    fn soonest_ready_members(&self, group: &GroupSituation<'a>) -> Option<Vec<VmId>> {
        let size = group.assignment.members.len();
        let free = self.free.iter();
        let fabrics: BTreeSet<_> = free
            .filter_map(|vm| self.situation.fabric_domain_of(vm))
            .collect();
        let moved = fabrics.into_iter().filter_map(|fabric| {
            let holders = self.free_holders(group, fabric);
            (holders.len() >= size).then(|| holders.into_iter().take(size).cloned().collect())
        });
        let choices = self
            .members_with_free_holders(group)
            .into_iter()
            .chain(moved);
        choices.min_by_key(|members: &Vec<VmId>| self.situation.ready_in(members, &group.weights).0)
    }

    /// Returns the members with those that lack the weights replaced by free VMs that hold
    /// them.
    fn members_with_free_holders(&self, group: &GroupSituation<'a>) -> Option<Vec<VmId>> {
        let members = &group.assignment.members;
        let holds_weights = |vm: &VmId| self.situation.holds_weights(vm, &group.weights);
        let kept = members.iter().find(|vm| holds_weights(vm))?;
        let home = self.situation.fabric_domain_of(kept)?;
        let mut holders = self.free_holders(group, home).into_iter();
        let replacement = |vm: &VmId| match holds_weights(vm) {
            true => vm.clone(),
            false => holders.next().unwrap_or(vm).clone(),
        };
        let filled: Vec<VmId> = members.iter().map(replacement).collect();
        (filled != *members).then_some(filled)
    }

    /// Returns the free VMs of a fabric domain that hold the group's weights.
    fn free_holders(&self, group: &GroupSituation<'a>, fabric: &FabricDomain) -> Vec<&'a VmId> {
        let free = self.free.iter().copied();
        free.filter(|vm| self.situation.fabric_domain_of(vm) == Some(fabric))
            .filter(|vm| self.situation.holds_weights(vm, &group.weights))
            .collect()
    }
}
