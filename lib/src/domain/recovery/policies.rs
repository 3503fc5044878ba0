//! The recovery policies.

use std::collections::BTreeSet;

use super::{
    Repair, RepairKind, Wait, WaitReason,
    cost::{
        Cost,
        JOIN_TIME,
        StoreBudget, //
    },
    options::{
        RepairOption,
        options, //
    },
    situation::{
        GroupNow,
        Situation, //
    },
};
use crate::{
    fleet::RecoveryPolicy,
    prelude::*, //
};

/// A repair must be cheaper than waiting by this share, or small changes of the estimate
/// would move VMs back and forth.
const HYSTERESIS: Percent = Percent(10);

/// What a policy decides about the incomplete groups.
#[derive(Debug, Default)]
pub struct Verdicts {
    /// Groups that get other members.
    pub repairs: Vec<Repair>,
    /// Groups that stay as they are.
    pub waits: Vec<Wait>,
    /// VMs that are meant for a repair which waits for the weight store.
    pub reserved: BTreeSet<VmId>,
}

/// Decides about every group that does not serve.
pub fn decide(
    policy: RecoveryPolicy,
    situation: &Situation<'_>,
    budget: &mut StoreBudget,
) -> Verdicts {
    match policy {
        RecoveryPolicy::AlwaysWait => always_wait(situation),
        RecoveryPolicy::AlwaysRebuild => always_rebuild(situation),
        RecoveryPolicy::LowestCost => LowestCost::new(situation, budget).decide(),
    }
}

fn is_incomplete(group: &GroupNow<'_>) -> bool {
    !group.lost.is_empty() || !group.suspect.is_empty()
}

fn wait(situation: &Situation<'_>, group: &GroupNow<'_>, reason: WaitReason) -> Wait {
    Wait {
        group: group.assignment.group.clone(),
        reason,
        expected: situation.expected_wait(group),
    }
}

fn always_wait(situation: &Situation<'_>) -> Verdicts {
    let incomplete = situation.groups.values().filter(|g| is_incomplete(g));
    Verdicts {
        waits: incomplete
            .map(|group| wait(situation, group, WaitReason::Policy))
            .collect(),
        ..Verdicts::default()
    }
}

/// Rebuilds from the first fabric domain with enough free VMs, whatever they hold.
fn always_rebuild(situation: &Situation<'_>) -> Verdicts {
    let mut verdicts = Verdicts::default();
    let mut free: BTreeSet<&VmId> = situation.free.clone();
    for group in situation.groups.values().filter(|g| is_incomplete(g)) {
        if group.lost.is_empty() {
            let waiting = wait(situation, group, WaitReason::MemberSuspect);
            verdicts.waits.push(waiting);
            continue;
        }
        let usable: BTreeSet<&VmId> = free.iter().chain(&group.alive).copied().collect();
        let Some(members) = first_that_fit(situation, group, &usable) else {
            let waiting = wait(situation, group, WaitReason::NoFreeVms);
            verdicts.waits.push(waiting);
            continue;
        };
        free = usable;
        free.retain(|vm| !members.contains(vm));
        verdicts.repairs.push(Repair {
            kind: RepairKind::Rebuild,
            group: group.assignment.group.clone(),
            breaks: None,
            service: group.assignment.service.clone(),
            spans_fabric_domains: situation.spans(&members),
            ready_in: situation.ready_in(&members, &group.weights).0,
            members,
            saved: Cost::default(),
        });
    }
    verdicts
}

fn first_that_fit(
    situation: &Situation<'_>,
    group: &GroupNow<'_>,
    usable: &BTreeSet<&VmId>,
) -> Option<Vec<VmId>> {
    let size = group.assignment.members.len();
    let fabrics: BTreeSet<_> = usable
        .iter()
        .filter_map(|vm| situation.fabric(vm))
        .collect();
    let mut choices = fabrics.into_iter().map(|fabric| {
        let same = usable
            .iter()
            .filter(|vm| situation.fabric(vm) == Some(fabric));
        let members: Vec<VmId> = same.take(size).map(|vm| (*vm).clone()).collect();
        members
    });
    choices.find(|members| members.len() == size)
}

/// Takes the repairs one by one, the most valuable first.
struct LowestCost<'s, 'a, 'b> {
    situation: &'s Situation<'a>,
    budget: &'b mut StoreBudget,
    free: BTreeSet<&'a VmId>,
    open: BTreeSet<&'a GroupId>,
    verdicts: Verdicts,
}

impl<'s, 'a, 'b> LowestCost<'s, 'a, 'b> {
    fn new(situation: &'s Situation<'a>, budget: &'b mut StoreBudget) -> Self {
        let mut open = BTreeSet::new();
        let mut verdicts = Verdicts::default();
        for (name, group) in &situation.groups {
            if !group.suspect.is_empty() {
                // The lease of a late member ends soon; until then nobody knows whether
                // it is lost, and a repair would be begun for a short pause.
                let waiting = wait(situation, group, WaitReason::MemberSuspect);
                verdicts.waits.push(waiting);
            } else if !group.lost.is_empty() {
                open.insert(*name);
            }
        }
        Self {
            situation,
            budget,
            free: situation.free.clone(),
            open,
            verdicts,
        }
    }

    fn decide(mut self) -> Verdicts {
        while let Some((name, option)) = self.most_valuable() {
            self.open.remove(name);
            self.carry_out(name, option);
        }
        for name in std::mem::take(&mut self.open) {
            let group = &self.situation.groups[name];
            let possible = !self.options_of(name).is_empty();
            let reason = match possible {
                true => WaitReason::CheaperToWait,
                false => WaitReason::NoFreeVms,
            };
            let waiting = wait(self.situation, group, reason);
            self.verdicts.waits.push(waiting);
        }
        self.restore_loading();
        self.verdicts
    }

    fn options_of(&self, name: &'a GroupId) -> Vec<RepairOption> {
        let group = &self.situation.groups[name];
        let donors: Vec<&GroupNow<'a>> = self
            .open
            .iter()
            .filter(|other| **other != name)
            .map(|other| &self.situation.groups[*other])
            .collect();
        options(self.situation, group, &self.free, &donors)
    }

    fn most_valuable(&self) -> Option<(&'a GroupId, RepairOption)> {
        let best = self.open.iter().filter_map(|name| {
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

    fn carry_out(&mut self, name: &'a GroupId, option: RepairOption) {
        // A repair that must wait for the store keeps its VMs, or one that is worth
        // less would take them.
        self.free.retain(|vm| !option.members.contains(vm));
        if let Some(broken) = &option.breaks {
            self.open.remove(broken);
        }
        let group = &self.situation.groups[name];
        if !self.budget.grant(option.loads) {
            let waiting = wait(self.situation, group, WaitReason::WeightStoreBusy);
            self.verdicts.waits.push(waiting);
            self.verdicts.reserved.extend(option.members);
            return;
        }
        self.verdicts.repairs.push(Repair {
            kind: option.kind,
            group: group.assignment.group.clone(),
            breaks: option.breaks,
            service: group.assignment.service.clone(),
            spans_fabric_domains: self.situation.spans(&option.members),
            ready_in: option.ready_in,
            saved: option.cost_of_waiting.minus(option.cost),
            members: option.members,
        });
    }

    /// Lets VMs that hold the weights take the places of those that still load them.
    ///
    /// A lost VM may come back with its weights, after a pause, while its replacement
    /// loads. A group that serves is never touched, and the remaining time must at least
    /// halve, so that this ends.
    fn restore_loading(&mut self) {
        let groups = self.situation.groups.values();
        let loading = groups.filter(|group| !group.serves && !is_incomplete(group));
        for group in loading {
            let members = &group.assignment.members;
            let Some(better) = self.with_holders(group) else {
                continue;
            };
            let (now_in, _) = self.situation.ready_in(members, &group.weights);
            let (ready_in, loads) = self.situation.ready_in(&better, &group.weights);
            if loads > 0 || ready_in * 2 > now_in || ready_in + JOIN_TIME > now_in {
                continue;
            }
            self.free.retain(|vm| !better.contains(vm));
            let cost = &self.situation.cost;
            let saved = cost.of_downtime(group.accelerators, now_in - ready_in);
            self.verdicts.repairs.push(Repair {
                kind: RepairKind::Restore,
                group: group.assignment.group.clone(),
                breaks: None,
                service: group.assignment.service.clone(),
                spans_fabric_domains: self.situation.spans(&better),
                ready_in,
                saved,
                members: better,
            });
        }
    }

    /// Returns the members that could serve soonest, from the group and free VMs with the weights.
    fn with_holders(&self, group: &GroupNow<'a>) -> Option<Vec<VmId>> {
        let size = group.assignment.members.len();
        let free = self.free.iter();
        let fabrics: BTreeSet<_> = free.filter_map(|vm| self.situation.fabric(vm)).collect();
        let moved = fabrics.into_iter().filter_map(|fabric| {
            let holders = self.free_holders(group, fabric);
            (holders.len() >= size).then(|| holders.into_iter().take(size).cloned().collect())
        });
        let choices = self.filled_with_holders(group).into_iter().chain(moved);
        choices.min_by_key(|members: &Vec<VmId>| self.situation.ready_in(members, &group.weights).0)
    }

    /// Puts free VMs with the weights in the places of members that lack them.
    fn filled_with_holders(&self, group: &GroupNow<'a>) -> Option<Vec<VmId>> {
        let members = &group.assignment.members;
        let holds = |vm: &VmId| self.situation.holds(vm, &group.weights);
        let kept = members.iter().find(|vm| holds(vm))?;
        let home = self.situation.fabric(kept)?;
        let mut holders = self.free_holders(group, home).into_iter();
        let place = |vm: &VmId| match holds(vm) {
            true => vm.clone(),
            false => holders.next().unwrap_or(vm).clone(),
        };
        let filled: Vec<VmId> = members.iter().map(place).collect();
        (filled != *members).then_some(filled)
    }

    fn free_holders(&self, group: &GroupNow<'a>, fabric: &FabricDomain) -> Vec<&'a VmId> {
        let free = self.free.iter().copied();
        free.filter(|vm| self.situation.fabric(vm) == Some(fabric))
            .filter(|vm| self.situation.holds(vm, &group.weights))
            .collect()
    }
}
