//! Reports of a failure domain to control and to other domains, and their use there.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    chart::UpstreamState,
    domain::{
        admission_gate,
        leader::{
            Leader,
            LeaderView, //
        },
        membership::{
            Liveness,
            Upstream, //
        },
    },
    peer_api::{
        Assignment,
        ConfigAck,
        DomainReport,
        GroupReport,
        VmReport, //
    },
    prelude::*,
    routing::{
        Replica,
        ReplicaId, //
    },
};

/// The reported state of a group that takes requests.
pub const STATE_SERVING: &str = "serving";
/// The reported state of a group that takes no requests, for example because a member's
/// announcement is missing.
pub const STATE_INCOMPLETE: &str = "incomplete";

/// How long a report of another domain is used if no newer one arrives.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(7);

/// Totals since the start of the epoch, by which operators assess repairs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    /// The time in which demanded groups did not serve, in milliseconds, summed over groups.
    pub group_downtime_ms: u64,
    /// The time in which healthy accelerators could not serve because their group did not, in
    /// milliseconds, summed over accelerators.
    pub stranded_accelerator_ms: u64,
}

impl Losses {
    /// Adds the losses in the `length` before `now`, by the state at `now`.
    pub fn add(&mut self, leader: &Leader, view: LeaderView<'_>, length: Duration, now: Timestamp) {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let mut serving: u64 = 0;
        for assignment in leader.assignments() {
            if serves(assignment, view, now) {
                serving += 1;
                continue;
            }
            let stranded = healthy_accelerators(assignment, view, now);
            self.stranded_accelerator_ms += stranded * length_ms;
        }
        let wanted = demanded_groups(view);
        self.group_downtime_ms += wanted.saturating_sub(serving) * length_ms;
    }
}

/// Returns the number of groups that the configuration demands in this domain.
fn demanded_groups(view: LeaderView<'_>) -> u64 {
    let models = view
        .config
        .services
        .values()
        .filter_map(|service| match service {
            crate::fleet::Service::Model(model) => Some(model),
            crate::fleet::Service::Plain(_) => None,
        });
    let domain = &view.parameters.failure_domain;
    let counts = models.filter_map(|model| model.groups_by_failure_domain.get(domain));
    counts.map(|count| u64::from(*count)).sum()
}

/// Returns the number of accelerators in the live members of a group.
fn healthy_accelerators(assignment: &Assignment, view: LeaderView<'_>, now: Timestamp) -> u64 {
    let members = assignment.members.iter();
    let live = members.filter(|vm| view.upstreams.liveness(vm, now) == Liveness::Live);
    let engines = live.filter_map(|vm| view.upstreams.get(vm)?.engine());
    engines.map(|engine| u64::from(engine.accelerators.0)).sum()
}

/// Returns whether the leader's own daemon routes to a group.
pub fn serves(assignment: &Assignment, view: LeaderView<'_>, now: Timestamp) -> bool {
    assignment.admits_requests
        && admission_gate::admits(assignment, view.upstreams, view.lease.held_since(), now)
}

/// Returns the report of this domain.
pub fn build_report(
    leader: &Leader,
    view: LeaderView<'_>,
    ack: ConfigAck,
    losses: Losses,
    sequence: u64,
    now: Timestamp,
) -> DomainReport {
    let live = view.lease.live_daemons(now);
    DomainReport {
        failure_domain: view.parameters.failure_domain.clone(),
        leader: view.parameters.daemon.clone(),
        epoch: leader.epoch(),
        sequence,
        applied: ack.applied,
        lagging: ack.lagging,
        unreachable: view.parameters.daemons.difference(&live).cloned().collect(),
        groups: leader
            .assignments()
            .map(|assignment| group_report(assignment, view, now))
            .collect(),
        vms: view
            .upstreams
            .iter()
            .map(|(vm, upstream)| vm_report(vm, upstream, leader, view, now))
            .collect(),
        group_downtime_ms: losses.group_downtime_ms,
        stranded_accelerator_ms: losses.stranded_accelerator_ms,
    }
}

/// Returns whether two reports differ in more than loads and totals.
pub fn differ_beyond_load(before: &DomainReport, after: &DomainReport) -> bool {
    let groups = |report: &DomainReport| -> Vec<_> {
        let groups = report.groups.iter();
        let keys = groups.map(|g| (g.assignment.clone(), g.state.clone(), g.address));
        keys.collect()
    };
    let vms = |report: &DomainReport| -> Vec<_> {
        let vms = report.vms.iter();
        vms.map(|vm| {
            (
                vm.vm.clone(),
                vm.state.clone(),
                vm.address,
                vm.group.clone(),
            )
        })
        .collect()
    };
    groups(before) != groups(after)
        || vms(before) != vms(after)
        || before.applied != after.applied
        || before.lagging != after.lagging
        || before.unreachable != after.unreachable
}

/// Returns the part of a report that other domains need: the replicas to which they can route.
pub fn routing_digest(report: &DomainReport) -> DomainReport {
    let mut digest = report.clone();
    digest.vms.retain(|vm| vm.plain_service.is_some());
    digest.groups.retain(|group| group.state == STATE_SERVING);
    for group in &mut digest.groups {
        // Other domains don't use the details of a group, which are most of the report's bytes.
        group.assignment.members.clear();
        group.assignment.adapters.clear();
        group.assignment.version.clear();
    }
    digest
}

fn group_report(assignment: &Assignment, view: LeaderView<'_>, now: Timestamp) -> GroupReport {
    let first = assignment.members.first();
    let first = first.and_then(|vm| view.upstreams.get(vm));
    let state = match serves(assignment, view, now) {
        true => STATE_SERVING,
        false => STATE_INCOMPLETE,
    };
    GroupReport {
        assignment: assignment.clone(),
        state: state.to_owned(),
        address: first.map(|first| first.announcement.address),
        slots: first.map_or(Slots(0), |first| first.announcement.slots),
        load: first.map_or_else(Default::default, |first| aged_load(first, now)),
    }
}

fn vm_report(
    vm: &VmId,
    upstream: &Upstream,
    leader: &Leader,
    view: LeaderView<'_>,
    now: Timestamp,
) -> VmReport {
    let announcement = &upstream.announcement;
    let state = match view.config.drained_vms.contains(vm) {
        true => UpstreamState::Drained,
        false => view.upstreams.state(vm, now),
    };
    let mut groups = leader.assignments();
    let group = groups.find(|assignment| assignment.members.contains(vm));
    VmReport {
        vm: vm.clone(),
        fabric_domain: announcement.fabric_domain.clone(),
        accelerators: upstream
            .engine()
            .map_or(Accelerators(0), |engine| engine.accelerators),
        state: state.to_string(),
        group: group.map(|assignment| assignment.group.clone()),
        plain_service: upstream.plain_service().cloned(),
        address: announcement.address,
        slots: announcement.slots,
        load: aged_load(upstream, now),
    }
}

/// Returns an upstream's load with its age at `now`.
fn aged_load(upstream: &Upstream, now: Timestamp) -> crate::upstream_api::LoadReport {
    let mut load = upstream.announcement.load;
    let held_ms = now.since(upstream.received_at).as_millis();
    load.age_ms = load
        .age_ms
        .saturating_add(u64::try_from(held_ms).unwrap_or(u64::MAX));
    load
}

/// The newest report of each other domain.
#[derive(Clone, Debug, Default)]
pub struct ForeignReports {
    known: BTreeMap<FailureDomain, (DomainReport, Timestamp)>,
}

impl ForeignReports {
    /// Takes in a report; returns whether it is newer than the one stored.
    pub fn handle_report(&mut self, report: &DomainReport, now: Timestamp) -> bool {
        let order = |report: &DomainReport| (report.epoch, report.sequence);
        let known = self.known.get(&report.failure_domain);
        let is_newer = known.is_none_or(|(known, at)| {
            // A domain in which all daemons restarted begins again with a low epoch, so an
            // expired report is replaced by any.
            order(known) < order(report) || now.since(*at) >= REPORT_LIFETIME
        });
        if is_newer {
            let received = (report.clone(), now);
            self.known.insert(report.failure_domain.clone(), received);
        }
        is_newer
    }

    /// Returns the leader named by a domain's newest report, unless that has expired.
    pub fn leader(&self, domain: &FailureDomain, now: Timestamp) -> Option<&DaemonId> {
        let (report, at) = self.known.get(domain)?;
        (now.since(*at) < REPORT_LIFETIME).then_some(&report.leader)
    }

    /// Returns the replicas of other domains that may take requests, from reports that haven't
    /// expired.
    pub fn replicas(&self, now: Timestamp) -> Vec<Replica> {
        let fresh = self
            .known
            .values()
            .filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
        fresh
            .flat_map(|(report, at)| replicas_of(report, *at))
            .collect()
    }
}

/// Returns the serving groups and live plain services of a report.
fn replicas_of(report: &DomainReport, at: Timestamp) -> Vec<Replica> {
    let groups = report
        .groups
        .iter()
        .filter(|group| group.state == STATE_SERVING);
    let groups = groups.filter_map(|group| {
        Some(Replica {
            id: ReplicaId::Group(group.assignment.group.clone()),
            service: group.assignment.service.clone(),
            failure_domain: report.failure_domain.clone(),
            token: group.assignment.token,
            address: group.address?,
            slots: group.slots,
            load: group.load,
            load_received_at: at,
        })
    });
    let alive = UpstreamState::Alive.to_string();
    let plain = report.vms.iter().filter(|vm| vm.state == alive);
    let plain = plain.filter_map(|vm| {
        Some(Replica {
            id: ReplicaId::Vm(vm.vm.clone()),
            service: vm.plain_service.clone()?,
            failure_domain: report.failure_domain.clone(),
            token: FencingToken::default(),
            address: vm.address,
            slots: vm.slots,
            load: vm.load,
            load_received_at: at,
        })
    });
    groups.chain(plain).collect()
}
