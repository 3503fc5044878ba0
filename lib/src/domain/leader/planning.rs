//! Which groups the leader keeps, ends and forms.

use std::time::Duration;

use super::{
    HeldGroup,
    Leader,
    LeaderView,
    Stopping, //
};
use crate::{
    chart::UpstreamState,
    domain::placement::{
        NewGroup,
        Placement,
        PlacementVm,
        place, //
    },
    fleet::Service,
    peer_api::Assignment,
    prelude::*,
};

/// How long a group that is to end may go on with its running requests.
const STOP_LIMIT: Duration = Duration::from_secs(60);

impl Leader {
    /// Compares what is with what the configuration wants.
    pub(super) fn plan(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let vms = placement_vms(view, now);
        let mut placement = self.place(view, &vms);
        // A replica that has lost a member has no running requests to wait for.
        let broken: Vec<GroupId> = self
            .held
            .values()
            .filter(|held| has_lost_member(held, view, now))
            .map(|held| held.assignment.group.clone())
            .collect();
        if !broken.is_empty() {
            for group in broken {
                self.retire(&group);
            }
            placement = self.place(view, &vms);
        }
        for stopped in placement.stop {
            self.stop(&stopped.group, now);
        }
        for new in placement.start {
            if new.waits_for.is_empty() {
                self.form(view, new);
            }
        }
        let spares = placement.spares.into_iter();
        self.spares = spares.map(|spare| (spare.vm, spare.service)).collect();
    }

    fn place(&self, view: LeaderView<'_>, vms: &[PlacementVm]) -> Placement {
        let current: Vec<Assignment> = self.assignments().cloned().collect();
        place(view.config, &view.parameters.failure_domain, vms, &current)
    }

    /// Keeps new requests from a group that is to end.
    fn stop(&mut self, group: &GroupId, now: Timestamp) {
        let sequence = self.sequence + 1;
        let Some(held) = self.held.get_mut(group) else {
            return;
        };
        if held.stopping.is_some() {
            return;
        }
        let was_admitted = std::mem::take(&mut held.assignment.admits_requests);
        held.stopping = Some(Stopping {
            since: now,
            sequence: was_admitted.then_some(sequence),
            known_at: None,
        });
    }

    /// Ends the groups whose last request has ended.
    ///
    /// An engine that is told to leave a group breaks off what it runs for it.
    pub(super) fn end_stopped(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let unknown = self.held.values().filter_map(|held| {
            let stopping = held
                .stopping
                .filter(|stopping| stopping.known_at.is_none())?;
            let sequence = stopping.sequence;
            let is_known = sequence.is_none_or(|sequence| self.is_known(view, sequence, now));
            is_known.then(|| held.assignment.group.clone())
        });
        for group in unknown.collect::<Vec<_>>() {
            let held = self.held.get_mut(&group);
            if let Some(stopping) = held.and_then(|held| held.stopping.as_mut()) {
                stopping.known_at = Some(now);
            }
        }
        let ended = self.held.values().filter(|held| has_ended(held, view, now));
        let ended: Vec<GroupId> = ended.map(|held| held.assignment.group.clone()).collect();
        for group in ended {
            self.retire(&group);
        }
    }

    fn form(&mut self, view: LeaderView<'_>, new: NewGroup) {
        let Some(Service::Model(model)) = view.config.services.get(&new.service) else {
            return;
        };
        let token = self.next_token();
        let service = &new.service;
        let domain = &view.parameters.failure_domain;
        // The token alone tells the groups of one domain apart, if the names are so
        // long that all of it does not fit.
        let name = format!("{service}/{domain}/{token}");
        let Some(group) = name.parse().or_else(|_| token.to_string().parse()).ok() else {
            return;
        };
        for vm in &new.members {
            self.loose.remove(vm);
        }
        self.hold(Assignment {
            group,
            service: new.service,
            model: model.model.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            members: new.members,
            token,
            admits_requests: false,
        });
    }
}

fn placement_vms(view: LeaderView<'_>, now: Timestamp) -> Vec<PlacementVm> {
    let vms = view.upstreams.iter().filter_map(|(vm, upstream)| {
        let engine = upstream.engine()?;
        Some(PlacementVm {
            vm: vm.clone(),
            fabric_domain: upstream.announcement.fabric_domain.clone(),
            accelerators: engine.accelerators,
            state: view.upstreams.state(vm, now),
            weights: engine.weights.iter().cloned().collect(),
        })
    });
    vms.collect()
}

fn has_lost_member(held: &HeldGroup, view: LeaderView<'_>, now: Timestamp) -> bool {
    let mut members = held.assignment.members.iter();
    members.any(|vm| {
        let state = view.upstreams.state(vm, now);
        matches!(state, UpstreamState::Dead | UpstreamState::Unknown)
    })
}

fn has_ended(held: &HeldGroup, view: LeaderView<'_>, now: Timestamp) -> bool {
    let Some(stopping) = held.stopping else {
        return false;
    };
    if now.since(stopping.since) >= STOP_LIMIT {
        return true;
    }
    let first = held.assignment.members.first();
    let Some(first) = first.and_then(|vm| view.upstreams.get(vm)) else {
        return true;
    };
    let load = first.announcement.load;
    let made_at = first.received_at.0.saturating_sub(load.age_ms);
    let is_newer = stopping
        .known_at
        .is_some_and(|known_at| made_at > known_at.0);
    is_newer && load.running == 0 && load.queued == 0
}
