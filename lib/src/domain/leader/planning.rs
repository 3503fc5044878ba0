//! Planning: the groups that the leader forms, replaces and ends.

use std::time::Duration;

use super::{
    GroupRecord,
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

/// The shortest time between two plans. Announcements, each of which could cause one, are far
/// more frequent.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// How long a group that ends may go on with its running requests.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

impl Leader {
    /// Compares the groups with the configuration, and forms, repairs or stops groups as
    /// recovery plans it.
    pub(super) fn plan(&mut self, view: LeaderView<'_>, now: Timestamp) {
        if self
            .last_planned_at
            .is_some_and(|at| now.since(at) < PLAN_INTERVAL)
        {
            return;
        }
        self.last_planned_at = Some(now);
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
            self.stop_group(&stopped.group, now);
        }
        for repair in plan.repairs {
            self.repair(view, repair);
        }
        for new in plan.start {
            self.form_group(view, &new.service, new.members);
        }
        self.deferred_loads = plan.deferred_loads;
        let spares = plan.load_spares.into_iter();
        self.spares = spares.map(|spare| (spare.vm, spare.service)).collect();
    }

    /// Replaces an incomplete group at once, since such a group has no running requests.
    fn repair(&mut self, view: LeaderView<'_>, repair: Repair) {
        for group in std::iter::once(&repair.group).chain(&repair.breaks) {
            self.retire_group(group);
        }
        self.form_group(view, &repair.service, repair.members);
    }

    /// Stops new requests to a group that is to end.
    fn stop_group(&mut self, group: &GroupId, now: Timestamp) {
        let sequence = self.sequence + 1;
        let Some(record) = self.groups.get_mut(group) else {
            return;
        };
        if record.stopping.is_some() {
            return;
        }
        let was_admitted = std::mem::take(&mut record.assignment.admits_requests);
        record.stopping = Some(Stopping {
            since: now,
            sequence: was_admitted.then_some(sequence),
            applied_at: None,
        });
    }

    /// Retires stopping groups whose last request has ended or whose time is up.
    ///
    /// The engines of a retired group may be commanded into other groups, and an engine that joins
    /// another group breaks off the requests that still run on it.
    pub(super) fn retire_stopped_groups(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let newly_applied = self.groups.values().filter_map(|record| {
            let stopping = record
                .stopping
                .filter(|stopping| stopping.applied_at.is_none())?;
            let sequence = stopping.sequence;
            let is_table_applied =
                sequence.is_none_or(|sequence| self.is_table_applied(view, sequence, now));
            is_table_applied.then(|| record.assignment.group.clone())
        });
        for group in newly_applied.collect::<Vec<_>>() {
            let record = self.groups.get_mut(&group);
            if let Some(stopping) = record.and_then(|record| record.stopping.as_mut()) {
                stopping.applied_at = Some(now);
            }
        }
        let finished = self
            .groups
            .values()
            .filter(|record| is_stop_finished(record, view, now));
        let finished: Vec<GroupId> = finished
            .map(|record| record.assignment.group.clone())
            .collect();
        for group in finished {
            self.retire_group(&group);
        }
    }

    /// Adds a new group to the table, unless one of its VMs is still in another group.
    ///
    /// A group that is ending keeps its VMs until its last request has ended; later plans
    /// contain the same new group again.
    fn form_group(&mut self, view: LeaderView<'_>, service: &ServiceName, members: Vec<VmId>) {
        let Some(Service::Model(model)) = view.config.services.get(service) else {
            return;
        };
        if members.iter().any(|vm| self.assignment_of(vm).is_some()) {
            return;
        }
        let token = self.next_token();
        let domain = &view.parameters.failure_domain;
        // If the full name is too long, the token alone is the name; it is unique within the
        // domain.
        let name = format!("{service}/{domain}/{token}");
        let Some(group) = name.parse().or_else(|_| token.to_string().parse()).ok() else {
            return;
        };
        for vm in &members {
            self.ungrouped_tokens.remove(vm);
        }
        self.add_group(Assignment {
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

/// Returns the engines in the form that placement and recovery take.
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

/// Returns whether a stopping group has ended: its first member reports no requests in a load
/// measured after the daemons stopped routing to the group, its first member is unknown, or
/// [`STOP_TIMEOUT`] has passed.
fn is_stop_finished(record: &GroupRecord, view: LeaderView<'_>, now: Timestamp) -> bool {
    let Some(stopping) = record.stopping else {
        return false;
    };
    if now.since(stopping.since) >= STOP_TIMEOUT {
        return true;
    }
    let first = record.assignment.members.first();
    let Some(first) = first.and_then(|vm| view.upstreams.get(vm)) else {
        return true;
    };
    let load = first.announcement.load;
    let made_at = first.received_at.0.saturating_sub(load.age_ms);
    let is_newer = stopping
        .applied_at
        .is_some_and(|applied_at| made_at > applied_at.0);
    is_newer && load.running == 0 && load.queued == 0
}
