//! What a new leader takes over: the newest table, then what engines announce beyond it.

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
    /// Takes over what is there.
    pub(super) fn adopt(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let inherited = self.inherited.take();
        for assignment in inherited.into_iter().flat_map(|table| table.groups) {
            self.hold(assignment);
        }
        let mut announced: Vec<&Membership> = view
            .upstreams
            .iter()
            .filter(|(vm, _)| view.upstreams.liveness(vm, now) != Liveness::Dead)
            .filter_map(|(_, upstream)| upstream.membership())
            .collect();
        announced.sort_by_key(|membership| Reverse(membership.token));
        for membership in announced {
            self.adopt_announced(view.config, membership);
        }
    }

    /// Adopts a group that an engine announces, and drops older ones that share a member.
    ///
    /// The former leader may have formed it after the newest table that a majority
    /// still knows. A higher token is the later decision.
    fn adopt_announced(&mut self, config: &FleetConfig, membership: &Membership) {
        if self.held.contains_key(&membership.group) {
            return;
        }
        let Some(assignment) = assignment_of(config, membership) else {
            return;
        };
        let members: BTreeSet<&VmId> = assignment.members.iter().collect();
        let shares = |other: &&Assignment| other.members.iter().any(|vm| members.contains(vm));
        let sharing: Vec<&Assignment> = self.assignments().filter(shares).collect();
        if sharing.iter().any(|other| other.token > assignment.token) {
            return;
        }
        let sharing: Vec<GroupId> = sharing
            .into_iter()
            .map(|other| other.group.clone())
            .collect();
        for group in sharing {
            self.retire(&group);
        }
        self.hold(assignment);
    }
}

/// Returns the assignment that an engine's membership belongs to, if its service still exists.
fn assignment_of(config: &FleetConfig, membership: &Membership) -> Option<Assignment> {
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
