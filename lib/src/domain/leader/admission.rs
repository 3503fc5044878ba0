//! When a VM may be commanded to another group, and when that group may take requests.

use std::collections::BTreeSet;

use super::{
    HeldGroup,
    Leader,
    LeaderView,
    is_member, //
};
use crate::{
    domain::admission_gate,
    prelude::*, //
};

impl Leader {
    pub(super) fn has_acknowledged(&self, daemon: &DaemonId, sequence: u64) -> bool {
        let known = self.acknowledged.get(daemon);
        known.is_some_and(|known| *known >= sequence)
    }

    fn all_acknowledged(&self, view: LeaderView<'_>, sequence: u64) -> bool {
        let own = &view.parameters.daemon;
        let mut daemons = view.parameters.daemons.iter();
        daemons.all(|daemon| daemon == own || self.has_acknowledged(daemon, sequence))
    }

    /// Returns whether no daemon with a routing lease routes by a table before `sequence`.
    pub(super) fn is_known(&self, view: LeaderView<'_>, sequence: u64, now: Timestamp) -> bool {
        let own = &view.parameters.daemon;
        let mut daemons = view.parameters.daemons.iter();
        daemons.all(|daemon| {
            daemon == own
                || self.has_acknowledged(daemon, sequence)
                || now >= view.lease.routing_lease_bound(daemon)
        })
    }

    /// Returns whether no daemon with a routing lease may still route to a former group of `vm`.
    pub(super) fn is_cleared(&self, view: LeaderView<'_>, vm: &VmId, now: Timestamp) -> bool {
        let mut retired = self.retired.iter().filter(|retired| retired.concerns(vm));
        retired.all(|retired| self.is_known(view, retired.sequence, now))
    }

    /// Notes who announces its assignment, and forgets what every daemon has acknowledged.
    pub(super) fn note_matches(&mut self, view: LeaderView<'_>, now: Timestamp) {
        for held in self.held.values_mut() {
            for vm in &held.assignment.members {
                let member = view.upstreams.current(vm, view.lease.held_since(), now);
                if member.is_some_and(|member| is_member(&held.assignment, member)) {
                    held.first_matched.entry(vm.clone()).or_insert(now);
                }
            }
        }
        let sequences = self.retired.iter().map(|retired| retired.sequence);
        let obsolete: BTreeSet<u64> = sequences
            .filter(|sequence| self.all_acknowledged(view, *sequence))
            .collect();
        self.retired
            .retain(|retired| !obsolete.contains(&retired.sequence));
    }

    pub(super) fn admit_complete(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let may_serve = |held: &&HeldGroup| {
            held.stopping.is_none()
                && !held.assignment.admits_requests
                && admission_gate::is_complete(
                    &held.assignment,
                    view.upstreams,
                    view.lease.held_since(),
                    now,
                )
                && self.no_daemon_counts_old_group(view, held, now)
        };
        let admitted: Vec<GroupId> = self
            .held
            .values()
            .filter(may_serve)
            .map(|held| held.assignment.group.clone())
            .collect();
        for group in admitted {
            if let Some(held) = self.held.get_mut(&group) {
                held.assignment.admits_requests = true;
            }
        }
    }

    /// Returns whether every daemon has a table without the members' former groups, or has
    /// certainly stopped to count what the members announced while in them.
    fn no_daemon_counts_old_group(
        &self,
        view: LeaderView<'_>,
        held: &HeldGroup,
        now: Timestamp,
    ) -> bool {
        let members = &held.assignment.members;
        let mut concerning = self.retired.iter();
        if !concerning.any(|retired| members.iter().any(|vm| retired.concerns(vm))) {
            return true;
        }
        let patience = view.parameters.timing.forget_after();
        members.iter().all(|vm| {
            let matched = held.first_matched.get(vm);
            matched.is_some_and(|matched| now >= *matched + patience)
        })
    }
}
