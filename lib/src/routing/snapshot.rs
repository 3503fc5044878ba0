//! Configuration and replicas as the serving thread of an entry daemon sees them.

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

/// Configuration, replicas and shares by which requests are served; replaced as a whole, never
/// changed in place.
#[derive(Clone, Debug, Default)]
pub struct RoutingSnapshot {
    /// Whether the daemon has the data that it needs to serve requests, and so reports ready.
    pub ready: bool,
    /// Revision of `config`, never lower than in an earlier snapshot.
    pub revision: Revision,
    /// Accepted configuration of the fleet.
    pub config: Arc<FleetConfig>,
    /// All replicas that may take requests now, in all reachable failure domains.
    pub replicas: Vec<Replica>,
    /// This daemon's share of each team's limits.
    pub team_shares: BTreeMap<TeamName, TeamShare>,
}

/// A replica of a service: a group of engines, or a plain service on a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Group, or VM of a plain service.
    pub id: ReplicaId,
    /// Service that the replica serves.
    pub service: ServiceName,
    /// Failure domain that the replica runs in.
    pub failure_domain: FailureDomain,
    /// Group's fencing token; each request carries the token, so that an engine can refuse a daemon
    /// with outdated data.
    pub token: FencingToken,
    /// Address that takes requests: that of the group's head, or of the plain service.
    pub address: Address,
    /// Number of requests that the replica runs at once.
    pub slots: Slots,
    /// Last load report of the replica.
    pub load: LoadReport,
    /// Time at which the last load report was received, by this process's clock.
    pub load_received_at: Timestamp,
}

/// Identity of a replica: a group, or the VM of a plain service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ReplicaId {
    /// A group of engines.
    Group(GroupId),
    /// The VM on which a plain service runs.
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

/// A cache event with the replica that reported it; sent from the `domain` thread to the `serve`
/// thread.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheNotice {
    /// Replica whose cache changed.
    pub replica: ReplicaId,
    /// Instance of the group's head; a new instance has an empty cache.
    pub boot: BootId,
    /// Stored or evicted prefix.
    pub event: CacheEvent,
}
