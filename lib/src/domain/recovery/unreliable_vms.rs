//! Exclusion of VMs from new groups because they are slow or are lost often.

use std::collections::BTreeSet;

use super::{
    RecoveryInput,
    planner::{
        RepairPlanner,
        exclude_from_new_groups,
        must_load, //
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

/// At most this share of a domain's VMs is excluded from new groups for flapping.
const MAX_EXCLUDED: Percent = Percent(10);

impl RepairPlanner {
    /// Returns the VMs as input of placement, with flapping and slow ones excluded from new
    /// groups.
    ///
    /// Flapping and slow VMs are only excluded while that leaves no further group missing: a group
    /// with an unreliable VM is better than none.
    pub(super) fn usable_vms(&self, input: &RecoveryInput<'_>) -> Vec<PlacementVm> {
        let mut best = input.vms.to_vec();
        let mut unreliable = self.flapping_vms(input.vms);
        unreliable.extend(self.free_slow_vms(input));
        if !unreliable.is_empty() {
            let mut without = best.clone();
            exclude_from_new_groups(&mut without, &unreliable);
            let missing_with = missing_group_count(&self.placement(input, &best));
            if missing_group_count(&self.placement(input, &without)) <= missing_with {
                best = without;
            }
        }
        for vm in self.stragglers.ejected() {
            if let Some(without) = self.with_member_drained(input, &best, vm) {
                best = without;
            }
        }
        best
    }

    fn placement(&self, input: &RecoveryInput<'_>, vms: &[PlacementVm]) -> Placement {
        place(input.config, input.failure_domain, vms, input.groups)
    }

    /// Returns the VMs that flap, the worst first up to the largest share allowed.
    fn flapping_vms(&self, vms: &[PlacementVm]) -> BTreeSet<VmId> {
        let most = (vms.len() * usize::from(MAX_EXCLUDED.0)).div_ceil(100);
        let alive = vms.iter().filter(|vm| vm.state == UpstreamState::Alive);
        let mut flapping: Vec<VmId> = alive
            .map(|vm| vm.vm.clone())
            .filter(|vm| self.history.is_flapping(vm))
            .collect();
        let losses = |vm: &VmId| self.history.recent_losses(vm);
        flapping.sort_by_key(|vm| (std::cmp::Reverse(losses(vm)), vm.clone()));
        flapping.truncate(most);
        flapping.into_iter().collect()
    }

    /// Returns the ejected slow VMs that are in no group.
    fn free_slow_vms(&self, input: &RecoveryInput<'_>) -> BTreeSet<VmId> {
        let members: BTreeSet<&VmId> = input.groups.iter().flat_map(|g| &g.members).collect();
        let slow = self.stragglers.ejected().into_iter();
        slow.filter(|vm| !members.contains(vm)).cloned().collect()
    }

    /// Returns the VMs with a slow group member marked as drained; `None` if its group couldn't
    /// form again at once.
    ///
    /// A drained member lets the group finish its requests before it ends. The group stays
    /// unless VMs with the weights loaded can replace it: a slow replica is better than none.
    fn with_member_drained(
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
        let index = Situation::index_vms(&without);
        let mut started = after
            .start
            .iter()
            .filter(|new| new.service == group.service);
        let ready = started.all(|new| {
            new.members
                .iter()
                .all(|vm| !must_load(&index, vm, &weights))
        });
        (ready && missing_group_count(&after) <= missing_group_count(&before)).then_some(without)
    }
}

/// Returns the number of demanded groups that the placement can't form.
fn missing_group_count(placement: &Placement) -> u32 {
    placement.missing.iter().map(|missing| missing.groups).sum()
}
