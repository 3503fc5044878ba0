//! Which VMs nothing new is built on, because they are slow or often lost.

use std::collections::BTreeSet;

use super::{
    RecoveryInput,
    planner::{
        RepairPlanner,
        keep_out,
        lacks, //
    },
    situation::Situation,
};
use crate::{
    chart::UpstreamState,
    domain::placement::{
        Placement,
        PlacementVm,
        place,
        weights_name, //
    },
    prelude::*,
};

/// At most this share of a domain's VMs is kept out of new groups for flapping.
const MOST_KEPT_OUT: Percent = Percent(10);

impl RepairPlanner {
    /// Returns the VMs with those that flap or are slow kept out of new groups.
    ///
    /// They are kept out only while no wanted group is missing for it: a group with a
    /// doubtful VM is better than none.
    pub(super) fn usable_vms(&self, input: &RecoveryInput<'_>) -> Vec<PlacementVm> {
        let mut best = input.vms.to_vec();
        let mut doubtful = self.flapping(input.vms);
        doubtful.extend(self.slow_and_free(input));
        if !doubtful.is_empty() {
            let mut without = best.clone();
            keep_out(&mut without, &doubtful);
            let missing_with = missing(&self.placement(input, &best));
            if missing(&self.placement(input, &without)) <= missing_with {
                best = without;
            }
        }
        for vm in self.stragglers.ejected() {
            if let Some(without) = self.without_member(input, &best, vm) {
                best = without;
            }
        }
        best
    }

    fn placement(&self, input: &RecoveryInput<'_>, vms: &[PlacementVm]) -> Placement {
        place(input.config, input.failure_domain, vms, input.groups)
    }

    fn flapping(&self, vms: &[PlacementVm]) -> BTreeSet<VmId> {
        let most = (vms.len() * usize::from(MOST_KEPT_OUT.0)).div_ceil(100);
        let alive = vms.iter().filter(|vm| vm.state == UpstreamState::Alive);
        let mut flapping: Vec<VmId> = alive
            .map(|vm| vm.vm.clone())
            .filter(|vm| self.history.flaps(vm))
            .collect();
        let losses = |vm: &VmId| self.history.recent_losses(vm);
        flapping.sort_by_key(|vm| (std::cmp::Reverse(losses(vm)), vm.clone()));
        flapping.truncate(most);
        flapping.into_iter().collect()
    }

    fn slow_and_free(&self, input: &RecoveryInput<'_>) -> BTreeSet<VmId> {
        let members: BTreeSet<&VmId> = input.groups.iter().flat_map(|g| &g.members).collect();
        let slow = self.stragglers.ejected().into_iter();
        slow.filter(|vm| !members.contains(vm)).cloned().collect()
    }

    /// Returns the VMs with a slow member drained, if its group can form again at once.
    ///
    /// Draining lets the group finish its requests first. Unless VMs that hold the weights
    /// stand ready, the group stays: a slow replica is better than none.
    fn without_member(
        &self,
        input: &RecoveryInput<'_>,
        vms: &[PlacementVm],
        slow: &VmId,
    ) -> Option<Vec<PlacementVm>> {
        let group = input.groups.iter().find(|g| g.members.contains(slow))?;
        let mut without = vms.to_vec();
        let member = without.iter_mut().find(|vm| vm.vm == *slow)?;
        if member.state != UpstreamState::Alive {
            return None;
        }
        member.state = UpstreamState::Drained;
        let before = self.placement(input, vms);
        let after = self.placement(input, &without);
        let weights = weights_name(&group.model, &group.version);
        let index = Situation::index(&without);
        let mut started = after
            .start
            .iter()
            .filter(|new| new.service == group.service);
        let ready = started.all(|new| new.members.iter().all(|vm| !lacks(&index, vm, &weights)));
        (ready && missing(&after) <= missing(&before)).then_some(without)
    }
}

fn missing(placement: &Placement) -> u32 {
    placement.missing.iter().map(|missing| missing.groups).sum()
}
