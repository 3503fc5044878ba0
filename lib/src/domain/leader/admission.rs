//! Conditions on which a VM may be commanded to another group, and on which that group may take
//! requests.

use std::collections::BTreeSet;

use super::{
    GroupRecord,
    Leader,
    LeaderView,
    is_member, //
};
use crate::{
    domain::admission_gate,
    prelude::*, //
};

impl Leader {
    /// Returns whether `daemon` has acknowledged table `sequence` or a later one.
    pub(super) fn has_acknowledged(&self, daemon: &DaemonId, sequence: u64) -> bool {
        let known = self.acknowledged.get(daemon);
        known.is_some_and(|known| *known >= sequence)
    }

    /// Returns whether every other daemon has acknowledged table `sequence` or a later one.
    fn all_acknowledged(&self, view: LeaderView<'_>, sequence: u64) -> bool {
        let own = &view.parameters.daemon;
        let mut daemons = view.parameters.daemons.iter();
        daemons.all(|daemon| daemon == own || self.has_acknowledged(daemon, sequence))
    }

    /// Returns whether no daemon that has a routing lease may route by a table before
    /// `sequence`.
    pub(super) fn is_table_applied(
        &self,
        view: LeaderView<'_>,
        sequence: u64,
        now: Timestamp,
    ) -> bool {
        let own = &view.parameters.daemon;
        let mut daemons = view.parameters.daemons.iter();
        daemons.all(|daemon| {
            daemon == own
                || self.has_acknowledged(daemon, sequence)
                || now >= view.lease.routing_lease_bound(daemon)
        })
    }

    /// Returns whether no daemon that has a routing lease may still route to a former group of
    /// `vm`.
    pub(super) fn may_be_commanded(&self, view: LeaderView<'_>, vm: &VmId, now: Timestamp) -> bool {
        let mut retired = self.retired.iter().filter(|retired| retired.affects(vm));
        retired.all(|retired| self.is_table_applied(view, retired.sequence, now))
    }

    /// Records the members that announce their assignment, and drops the retired groups for
    /// which every daemon has acknowledged a table without them.
    pub(super) fn record_joined_members(&mut self, view: LeaderView<'_>, now: Timestamp) {
        for record in self.groups.values_mut() {
            for vm in &record.assignment.members {
                let member = view
                    .upstreams
                    .current_upstream(vm, view.lease.held_since(), now);
                if member.is_some_and(|member| is_member(&record.assignment, member)) {
                    record.first_joined_at.entry(vm.clone()).or_insert(now);
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

    /// Admits requests to each group whose members are all ready and counted as members of it
    /// alone.
    pub(super) fn admit_complete_groups(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let may_serve = |record: &&GroupRecord| {
            record.stopping.is_none()
                && !record.assignment.admits_requests
                && admission_gate::is_complete(
                    &record.assignment,
                    view.upstreams,
                    view.lease.held_since(),
                    now,
                )
                && self.is_old_membership_expired(view, record, now)
        };
        let admitted: Vec<GroupId> = self
            .groups
            .values()
            .filter(may_serve)
            .map(|record| record.assignment.group.clone())
            .collect();
        for group in admitted {
            if let Some(record) = self.groups.get_mut(&group) {
                record.assignment.admits_requests = true;
            }
        }
    }

    /// Returns whether no daemon counts the members' announcements from former groups any more:
    /// every daemon has acknowledged a table without those groups, or such announcements have
    /// expired everywhere.
    fn is_old_membership_expired(
        &self,
        view: LeaderView<'_>,
        record: &GroupRecord,
        now: Timestamp,
    ) -> bool {
        let members = &record.assignment.members;
        let mut former = self.retired.iter();
        if !former.any(|retired| members.iter().any(|vm| retired.affects(vm))) {
            return true;
        }
        let expiry = view.parameters.timing.announcement_expiry_bound();
        members.iter().all(|vm| {
            let matched = record.first_joined_at.get(vm);
            matched.is_some_and(|matched| now >= *matched + expiry)
        })
    }
}
