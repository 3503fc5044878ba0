//! What people are told of the failure domain: log events, counters and gauges.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use cicadabend::{
    chart::UpstreamState,
    domain::coordinator::Coordinator,
    prelude::*,
    routing::{
        ReplicaId,
        RoutingSnapshot, //
    },
};
use cicadabend_daemon::{
    metrics::Metrics,
    peers::PeerSender, //
};

use super::{
    counters::DomainChange,
    events::LogEvent, //
};

/// A longer gap between two looks tells that the process itself was stopped.
const PAUSE_NOTICED: Duration = Duration::from_millis(500);
/// How often gauges are set.
const GAUGES_EVERY: Duration = Duration::from_secs(1);

/// What was told last.
pub(super) struct Observation {
    metrics: Metrics,
    domain: FailureDomain,
    looked_at: Timestamp,
    gauges_at: Timestamp,
    epoch: Option<u32>,
    revision: Revision,
    ready: bool,
    groups: BTreeSet<GroupId>,
    upstreams: BTreeMap<VmId, UpstreamState>,
}

impl Observation {
    pub(super) fn new(metrics: Metrics, domain: FailureDomain, now: Timestamp) -> Self {
        metrics.declare::<DomainChange>();
        Self {
            metrics,
            domain,
            looked_at: now,
            gauges_at: now,
            epoch: None,
            revision: Revision::default(),
            ready: false,
            groups: BTreeSet::new(),
            upstreams: BTreeMap::new(),
        }
    }

    /// Returns where everything is counted.
    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Notes when the thread last did something.
    pub(super) fn notice_pause(&mut self, now: Timestamp) {
        let gap = now.since(self.looked_at);
        self.looked_at = now;
        if gap >= PAUSE_NOTICED {
            self.metrics.count(DomainChange::OwnPause);
            let length_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            LogEvent::OwnPause { length_ms }.emit();
        }
    }

    /// Tells what has changed.
    pub(super) fn look(&mut self, core: &Coordinator, snapshot: &RoutingSnapshot, now: Timestamp) {
        self.look_at_leadership(core, now);
        self.look_at_configuration(snapshot);
        self.look_at_groups(snapshot);
        self.look_at_upstreams(core, now);
    }

    fn look_at_leadership(&mut self, core: &Coordinator, now: Timestamp) {
        let epoch = core.lease().held_epoch(now);
        if epoch == self.epoch {
            return;
        }
        if let Some(epoch) = self.epoch {
            self.metrics.count(DomainChange::LeadershipLost);
            LogEvent::LeadershipLost { epoch }.emit();
        }
        if let Some(epoch) = epoch {
            self.metrics.count(DomainChange::LeadershipTaken);
            LogEvent::LeadershipTaken { epoch }.emit();
        }
        self.epoch = epoch;
    }

    fn look_at_configuration(&mut self, snapshot: &RoutingSnapshot) {
        let revision = snapshot.revision;
        if revision != self.revision {
            LogEvent::RevisionApplied { revision }.emit();
            self.revision = revision;
        }
        if snapshot.ready && !self.ready {
            LogEvent::RevisionKnown { revision }.emit();
            self.ready = true;
        }
    }

    fn look_at_groups(&mut self, snapshot: &RoutingSnapshot) {
        let own = snapshot
            .replicas
            .iter()
            .filter(|it| it.failure_domain == self.domain);
        let groups: BTreeSet<GroupId> = own
            .filter_map(|replica| match &replica.id {
                ReplicaId::Group(group) => Some(group.clone()),
                ReplicaId::Vm(_) => None,
            })
            .collect();
        if groups == self.groups {
            return;
        }
        for group in self.groups.difference(&groups).cloned() {
            self.metrics.count(DomainChange::GroupClosed);
            LogEvent::GroupClosed { group }.emit();
        }
        for group in groups.difference(&self.groups).cloned() {
            self.metrics.count(DomainChange::GroupAdmitted);
            LogEvent::GroupAdmitted { group }.emit();
        }
        self.groups = groups;
    }

    fn look_at_upstreams(&mut self, core: &Coordinator, now: Timestamp) {
        let states = core.upstreams().iter();
        let states: BTreeMap<VmId, UpstreamState> = states
            .map(|(vm, _)| (vm.clone(), core.upstreams().state(vm, now)))
            .collect();
        for (vm, state) in &states {
            if self.upstreams.get(vm) != Some(state) {
                let (vm, state) = (vm.clone(), *state);
                LogEvent::UpstreamChanged { vm, state }.emit();
            }
        }
        self.upstreams = states;
    }

    /// Sets the gauges now and then.
    pub(super) fn show(&mut self, core: &Coordinator, peers: &PeerSender, now: Timestamp) {
        if now.since(self.gauges_at) < GAUGES_EVERY {
            return;
        }
        self.gauges_at = now;
        let alive = self.upstreams.values();
        let alive = alive
            .filter(|state| **state == UpstreamState::Alive)
            .count() as u64;
        let losses = core.losses();
        self.metrics
            .gauge("domain_epoch", u64::from(core.lease().highest_epoch()));
        self.metrics.gauge("domain_revision", self.revision.0);
        self.metrics.gauge("domain_upstreams_alive", alive);
        self.metrics
            .gauge("domain_groups_serving", self.groups.len() as u64);
        self.metrics
            .gauge("domain_group_downtime_ms", losses.group_downtime_ms);
        let stranded_ms = losses.stranded_accelerator_ms;
        self.metrics
            .gauge("domain_stranded_accelerator_ms", stranded_ms);
        peers.counters().show(&self.metrics);
    }
}
