//! Which groups the leader keeps, ends and forms.

use std::time::Duration;

use super::{
    HeldGroup,
    Leader,
    LeaderView,
    Stopping, //
};
use crate::{
    domain::{
        placement::PlacementVm,
        recovery::{
            RecoveryInput,
            Repair, //
        },
        report::serves,
    },
    fleet::Service,
    peer_api::Assignment,
    prelude::*,
};

/// The shortest time between two plans; announcements come far more often.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// How long a group that is to end may go on with its running requests.
const STOP_LIMIT: Duration = Duration::from_secs(60);

impl Leader {
    /// Compares what is with what the configuration wants, and repairs what is broken.
    pub(super) fn plan(&mut self, view: LeaderView<'_>, now: Timestamp) {
        if self.planned_at.is_some_and(|at| now.since(at) < PLAN_EVERY) {
            return;
        }
        self.planned_at = Some(now);
        let vms = placement_vms(view, now);
        let groups: Vec<Assignment> = self.assignments().cloned().collect();
        let serving = groups.iter().filter(|group| serves(group, view, now));
        let serving = serving.map(|group| group.group.clone()).collect();
        let plan = self.planner.plan(&RecoveryInput {
            config: view.config,
            failure_domain: &view.parameters.failure_domain,
            vms: &vms,
            groups: &groups,
            serving: &serving,
            now,
        });
        for stopped in &plan.stop {
            self.stop(&stopped.group, now);
        }
        for repair in plan.repairs {
            self.repair(view, repair);
        }
        for new in plan.start {
            self.form(view, &new.service, new.members);
        }
        self.held_back = plan.hold_loads;
        let spares = plan.load_spares.into_iter();
        self.spares = spares.map(|spare| (spare.vm, spare.service)).collect();
    }

    /// Replaces an incomplete group, which has no running requests to wait for.
    fn repair(&mut self, view: LeaderView<'_>, repair: Repair) {
        for group in std::iter::once(&repair.group).chain(&repair.breaks) {
            self.retire(group);
        }
        self.form(view, &repair.service, repair.members);
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

    /// Puts a new group into the table, unless one of its VMs is still in another.
    ///
    /// A group that is ending keeps its VMs until its last request has ended; the same
    /// plan comes again then.
    fn form(&mut self, view: LeaderView<'_>, service: &ServiceName, members: Vec<VmId>) {
        let Some(Service::Model(model)) = view.config.services.get(service) else {
            return;
        };
        if members.iter().any(|vm| self.assignment_of(vm).is_some()) {
            return;
        }
        let token = self.next_token();
        let domain = &view.parameters.failure_domain;
        // The token alone tells the groups of one domain apart, if the names are so
        // long that all of it does not fit.
        let name = format!("{service}/{domain}/{token}");
        let Some(group) = name.parse().or_else(|_| token.to_string().parse()).ok() else {
            return;
        };
        for vm in &members {
            self.loose.remove(vm);
        }
        self.hold(Assignment {
            group,
            service: service.clone(),
            model: model.model.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            members,
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
