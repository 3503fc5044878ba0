//! Which of the groups that are there stay.

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
    pub(super) fn review_current(&mut self, current: &[Assignment]) {
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
}
