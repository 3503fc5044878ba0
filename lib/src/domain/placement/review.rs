//! The review of the present groups: which of them stay.

use std::collections::BTreeSet;

use super::{
    StopReason,
    StoppedGroup,
    matches_service,
    placer::Placer, //
};
use crate::{
    chart::UpstreamState,
    peer_api::Assignment,
    prelude::*, //
};

impl<'a> Placer<'a> {
    /// Decides for each present group whether it stays, and collects the VMs that are free
    /// then.
    pub(super) fn review_current(&mut self, current: &[Assignment]) {
        let mut order: Vec<&Assignment> = current.iter().collect();
        // Newer tokens first: if two groups share a VM, its engine obeys the newer one.
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
            // A stopping group occupies its VMs until its last request has ended.
            taken.extend(assignment.members.iter().cloned());
            match reason {
                Some(reason) => self.stop_group(assignment, reason),
                None => eligible.push(assignment),
            }
        }
        let kept = self.keep_demanded(eligible);
        self.collect_free_vms(&kept);
        self.placement.keep.sort();
        self.placement.incomplete.sort();
        self.placement.stop.sort_by(|a, b| a.group.cmp(&b.group));
    }

    fn stop_group(&mut self, assignment: &Assignment, reason: StopReason) {
        for vm in &assignment.members {
            let group = assignment.group.clone();
            self.occupied_by.entry(vm.clone()).or_insert(group);
        }
        self.placement.stop.push(StoppedGroup {
            group: assignment.group.clone(),
            reason,
        });
    }

    /// Returns why a group has to end, whatever the number of groups; `None` if it may stay.
    fn stop_reason(&self, assignment: &Assignment) -> Option<StopReason> {
        let demand = self
            .demands
            .iter()
            .find(|demand| *demand.service == assignment.service);
        let Some(demand) = demand else {
            return Some(StopReason::ServiceRemoved);
        };
        if !matches_service(assignment, demand.model) {
            return Some(StopReason::ServiceChanged);
        }
        if assignment.members.iter().any(|vm| self.is_drained(vm)) {
            return Some(StopReason::MemberDrained);
        }
        let leaving = |vm| self.state(vm) == UpstreamState::Leaving;
        if assignment.members.iter().any(leaving) {
            return Some(StopReason::MemberLeaving);
        }
        if self.spans_fabric_domains(&assignment.members) && !demand.model.may_span_fabric_domains {
            return Some(StopReason::SpansFabricDomains);
        }
        None
    }

    /// Keeps as many groups as the configuration demands, whole ones before incomplete ones;
    /// returns the members of those.
    fn keep_demanded(&mut self, eligible: Vec<&Assignment>) -> BTreeSet<VmId> {
        let mut order: Vec<(bool, bool, &Assignment)> = eligible
            .into_iter()
            .map(|a| (!self.is_whole(a), self.spans_fabric_domains(&a.members), a))
            .collect();
        order.sort_by_key(|(is_incomplete, spans, a)| {
            (*is_incomplete, *spans, a.token, a.group.clone())
        });
        let mut kept = BTreeSet::new();
        for (is_incomplete, _, assignment) in order {
            if !self.claim_demand(&assignment.service) {
                self.stop_group(assignment, StopReason::Surplus);
                continue;
            }
            self.placement.keep.push(assignment.group.clone());
            if is_incomplete {
                self.placement.incomplete.push(assignment.group.clone());
            }
            kept.extend(assignment.members.iter().cloned());
            self.record_group_location(assignment);
        }
        kept
    }

    /// Counts a group against its service's demand; returns `false` if enough groups are kept.
    fn claim_demand(&mut self, service: &ServiceName) -> bool {
        let demand = self
            .demands
            .iter_mut()
            .find(|demand| demand.service == service);
        let Some(demand) = demand.filter(|demand| demand.missing_groups > 0) else {
            return false;
        };
        demand.missing_groups -= 1;
        true
    }

    /// Adds a kept group to the counts by fabric domain.
    fn record_group_location(&mut self, assignment: &Assignment) {
        let service = self
            .demands
            .iter()
            .find(|demand| *demand.service == assignment.service)
            .map(|demand| demand.service);
        let fabric = assignment
            .members
            .iter()
            .find_map(|vm| self.fabric_domain_of(vm));
        if let (Some(service), Some(fabric)) = (service, fabric) {
            *self.groups_in.entry((service, fabric)).or_default() += 1;
        }
    }
}
