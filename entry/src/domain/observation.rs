//! The log events, counters and gauges of the failure domain.

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

/// The gap between two ticks from which on the process counts as paused.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// How often the gauges are set.
const GAUGES_INTERVAL: Duration = Duration::from_secs(1);

/// The state that was last logged; only changes of this state are logged.
pub(super) struct Observation {
    metrics: Metrics,
    domain: FailureDomain,
    last_tick_at: Timestamp,
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
            last_tick_at: now,
            gauges_at: now,
            epoch: None,
            revision: Revision::default(),
            ready: false,
            groups: BTreeSet::new(),
            upstreams: BTreeMap::new(),
        }
    }

    /// Returns the metrics of the process.
    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Records a tick; counts and logs a pause if the last tick was too long ago.
    pub(super) fn detect_pause(&mut self, now: Timestamp) {
        let gap = now.since(self.last_tick_at);
        self.last_tick_at = now;
        if gap >= MIN_PAUSE {
            self.metrics.count(DomainChange::OwnPause);
            let length_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            LogEvent::OwnPause { length_ms }.emit();
        }
    }

    /// Logs all differences from the state that was last logged.
    pub(super) fn log_changes(
        &mut self,
        core: &Coordinator,
        snapshot: &RoutingSnapshot,
        now: Timestamp,
    ) {
        self.log_leadership_change(core, now);
        self.log_revision_change(snapshot);
        self.log_group_changes(snapshot);
        self.log_upstream_changes(core, now);
    }

    fn log_leadership_change(&mut self, core: &Coordinator, now: Timestamp) {
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

    fn log_revision_change(&mut self, snapshot: &RoutingSnapshot) {
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

    fn log_group_changes(&mut self, snapshot: &RoutingSnapshot) {
        let own = snapshot
            .replicas
            .iter()
            .filter(|replica| replica.failure_domain == self.domain);
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

    fn log_upstream_changes(&mut self, core: &Coordinator, now: Timestamp) {
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

    /// Sets the gauges once per [`GAUGES_INTERVAL`].
    pub(super) fn update_gauges(&mut self, core: &Coordinator, peers: &PeerSender, now: Timestamp) {
        if now.since(self.gauges_at) < GAUGES_INTERVAL {
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
