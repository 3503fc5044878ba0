//! Adoption of existing groups by a new leader: those of the newest table, then those that
//! engines announce beyond it.

use std::{
    cmp::Reverse,
    collections::BTreeSet, //
};

use super::{
    Leader,
    LeaderView, //
};
use crate::{
    domain::membership::Liveness,
    fleet::{
        FleetConfig,
        Service, //
    },
    peer_api::Assignment,
    prelude::*,
    upstream_api::Membership,
};

impl Leader {
    /// Adopts the groups of the inherited table and the newer ones that live or suspect engines
    /// announce.
    pub(super) fn adopt_groups(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let inherited = self.inherited.take();
        for assignment in inherited.into_iter().flat_map(|table| table.groups) {
            self.add_group(assignment);
        }
        let mut announced: Vec<&Membership> = view
            .upstreams
            .iter()
            .filter(|(vm, _)| view.upstreams.liveness(vm, now) != Liveness::Dead)
            .filter_map(|(_, upstream)| upstream.membership())
            .collect();
        announced.sort_by_key(|membership| Reverse(membership.token));
        for membership in announced {
            self.adopt_announced_group(view.config, membership);
        }
    }

    /// Adopts a group that an engine announces, and retires older ones that share a member.
    ///
    /// The former leader may have formed the group after the newest table that a majority still
    /// knows. Of two groups, the one with the higher token is the later decision.
    fn adopt_announced_group(&mut self, config: &FleetConfig, membership: &Membership) {
        if self.groups.contains_key(&membership.group) {
            return;
        }
        let Some(assignment) = assignment_for_membership(config, membership) else {
            return;
        };
        let members: BTreeSet<&VmId> = assignment.members.iter().collect();
        let shares_member =
            |other: &&Assignment| other.members.iter().any(|vm| members.contains(vm));
        let sharing: Vec<&Assignment> = self.assignments().filter(shares_member).collect();
        if sharing.iter().any(|other| other.token > assignment.token) {
            return;
        }
        let sharing: Vec<GroupId> = sharing
            .into_iter()
            .map(|other| other.group.clone())
            .collect();
        for group in sharing {
            self.retire_group(&group);
        }
        self.add_group(assignment);
    }
}

/// Returns the assignment for a membership that an engine announces; `None` if its service was
/// removed.
fn assignment_for_membership(config: &FleetConfig, membership: &Membership) -> Option<Assignment> {
    let Service::Model(model) = config.services.get(&membership.service)? else {
        return None;
    };
    Some(Assignment {
        group: membership.group.clone(),
        service: membership.service.clone(),
        model: model.model.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
        members: membership.members.clone(),
        token: membership.token,
        admits_requests: false,
    })
}
