//! What the serving thread of an entry daemon knows of configuration and replicas.

use std::{
    collections::BTreeMap,
    fmt,
    sync::Arc, //
};

use crate::{
    fleet::FleetConfig,
    ids::Address,
    peer_api::TeamShare,
    prelude::*,
    upstream_api::{
        CacheEvent,
        LoadReport, //
    },
};

/// Everything a request is served by; replaced as a whole, never changed in place.
#[derive(Clone, Debug, Default)]
pub struct RoutingSnapshot {
    /// Whether the daemon knows enough to serve; decides readiness.
    pub ready: bool,
    /// The revision of `config`; never lower than in an earlier snapshot.
    pub revision: Revision,
    /// The accepted configuration.
    pub config: Arc<FleetConfig>,
    /// Every replica that may take requests now, of all reachable failure domains.
    pub replicas: Vec<Replica>,
    /// This daemon's share of each team's limits.
    pub team_shares: BTreeMap<TeamName, TeamShare>,
}

/// One place where a request can run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Which one.
    pub id: ReplicaId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// The group's token; requests carry it so that an engine can refuse an outdated sender.
    pub token: FencingToken,
    /// Where it takes requests: the group's first member, or the plain service.
    pub address: Address,
    /// How many requests it runs side by side.
    pub slots: Slots,
    /// Its last load report.
    pub load: LoadReport,
    /// When that report was received, by this process's clock.
    pub load_received_at: Timestamp,
}

/// A group, or the VM of a plain service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ReplicaId {
    /// A group of engines.
    Group(GroupId),
    /// A plain service's VM.
    Vm(VmId),
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplicaId::Group(group) => group.fmt(f),
            ReplicaId::Vm(vm) => vm.fmt(f),
        }
    }
}

/// A cache event with the replica it happened on; travels from `domain` to `serve`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheNotice {
    /// The replica.
    pub replica: ReplicaId,
    /// The run of its first member; a new run has an empty cache.
    pub boot: BootId,
    /// What happened.
    pub event: CacheEvent,
}
