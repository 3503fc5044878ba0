//! The state by which the serving thread routes requests: routes, replicas and limits.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use cicadabend::{
    ids::Address,
    prelude::*,
    quarantine::{
        PartTable,
        SuspectTable, //
    },
    rates::RateTable,
    reach::{
        LinkGroup,
        Relay, //
    },
    registry::{
        EngineStatus,
        InstanceId,
        KnownInstance,
        MemberState,
        Registry,
        UpstreamState, //
    },
    routes::RouteIndex,
};

/// How long a member of a group may be silent, in milliseconds, before its group is suspect.
const SILENT_SUSPECT_MS: u64 = 2_600;

/// The state by which routed requests are served; a change replaces the whole view.
#[derive(Clone, Debug, Default)]
pub struct RoutedView {
    /// The table of routes in use; `None` until the first one has arrived.
    pub routes: Option<Arc<RouteIndex>>,
    /// The time until which the last confirmation that the table is the newest stays valid.
    pub certain_until: Timestamp,
    /// Whether this daemon has received all upstreams' reports at least once.
    pub has_upstreams: bool,
    /// The replicas that take requests, by service.
    pub replicas: Arc<BTreeMap<ServiceName, Vec<RoutedReplica>>>,
    /// The number of entry daemons.
    pub entries: u32,
    /// This daemon's index among the entry daemons, sorted by name; starts at zero.
    pub place: u32,
    /// The requests that ran on upstreams when these crashed.
    pub suspects: Arc<SuspectTable>,
    /// The prompt parts that upstreams had when they crashed, but for those answered since.
    pub suspect_parts: Arc<PartTable>,
    /// The rate limits that upstreams have announced.
    pub rates: Arc<RateTable>,
    /// The entry daemons that relay this one's requests.
    pub relays: Arc<Vec<Relay>>,
}

/// One replica that can run a routed request: a plain service or a group of engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutedReplica {
    /// The process instance of the upstream; for a group, that of its head.
    pub id: InstanceId,
    /// The service that the upstream provides.
    pub service: ServiceName,
    /// The address at which the upstream takes requests.
    pub address: Address,
    /// The failure domain in which the upstream runs.
    pub failure_domain: FailureDomain,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// The model that the group serves; `None` for a plain service.
    pub model: Option<ModelName>,
    /// The group whose head the upstream is; `None` for a plain service.
    pub group: Option<GroupId>,
    /// Whether a member of the group, or the plain service, is silent for too long.
    pub is_suspect: bool,
}

impl RoutedReplica {
    /// Returns the group of links that this daemon's link to the replica belongs to.
    pub fn link_group(&self) -> LinkGroup {
        LinkGroup {
            service: self.service.clone(),
            failure_domain: self.failure_domain.clone(),
        }
    }
}

impl RoutedView {
    /// Returns the version of the table of routes in use; 0 until the first one has arrived.
    pub(crate) fn routes_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version().0)
    }

    /// Returns whether the daemon has the routes and the upstreams' reports that serving needs.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && self.has_upstreams
    }

    /// Returns the replicas of a service that serve this model, or all if `model` is `None`.
    pub fn replicas_of<'a>(
        &'a self,
        service: &ServiceName,
        model: Option<&'a str>,
    ) -> impl Iterator<Item = &'a RoutedReplica> {
        let replicas = self.replicas.get(service).into_iter().flatten();
        replicas.filter(move |replica| match (&replica.model, model) {
            (Some(serves), Some(wanted)) => serves.as_str() == wanted,
            (Some(_), None) | (None, _) => true,
        })
    }
}

/// Returns the replicas that take requests now.
///
/// An engine takes requests only as the head of an open group. All members must have reported the
/// same group and epoch, and none may be leaving.
pub(super) fn usable_replicas(
    registry: &Registry,
    routes: Option<&RouteIndex>,
    now: Timestamp,
) -> BTreeMap<ServiceName, Vec<RoutedReplica>> {
    let members = members_by_group(registry);
    let mut replicas: BTreeMap<ServiceName, Vec<RoutedReplica>> = BTreeMap::new();
    for (_, known) in registry.iter() {
        let registration = &known.registration;
        if registration.state != UpstreamState::Ready {
            continue;
        }
        let is_silent = is_silent(known, now);
        let replica = match &registration.engine {
            None => Some(new_replica(known, None, None, is_silent)),
            Some(engine) => group_replica(known, engine, &members, routes, now),
        };
        if let Some(replica) = replica {
            let of_service = replicas.entry(registration.service.clone()).or_default();
            of_service.push(replica);
        }
    }
    replicas
}

type Members<'a> = BTreeMap<(&'a GroupId, u64), Vec<(&'a KnownInstance, u32)>>;

/// Returns the members of each group and epoch, with their ranks.
fn members_by_group(registry: &Registry) -> Members<'_> {
    let mut members: Members<'_> = BTreeMap::new();
    for (_, known) in registry.iter() {
        if let Some(status) = known.group() {
            let key = (&status.group, status.epoch);
            members.entry(key).or_default().push((known, status.rank));
        }
    }
    members
}

/// Returns the replica of a group if the engine is its head and the group takes requests.
fn group_replica(
    known: &KnownInstance,
    engine: &EngineStatus,
    members: &Members<'_>,
    routes: Option<&RouteIndex>,
    now: Timestamp,
) -> Option<RoutedReplica> {
    let status = engine.group.as_ref()?;
    if status.rank != 0 || status.state != MemberState::Open {
        return None;
    }
    let model = engine.model.clone()?;
    let members = members.get(&(&status.group, status.epoch))?;
    let traits = routes.and_then(|routes| {
        let engine = routes.table().engine(&known.registration.service)?;
        engine.model(&model)
    });
    let is_whole = traits.is_none_or(|traits| members.len() >= traits.size as usize);
    let is_leaving =
        |(member, _): &(&KnownInstance, u32)| member.registration.state != UpstreamState::Ready;
    if !is_whole || members.iter().any(is_leaving) {
        return None;
    }
    let is_suspect = members.iter().any(|(member, _)| is_silent(member, now));
    let group = Some(status.group.clone());
    Some(new_replica(known, Some(model), group, is_suspect))
}

fn new_replica(
    known: &KnownInstance,
    model: Option<ModelName>,
    group: Option<GroupId>,
    is_suspect: bool,
) -> RoutedReplica {
    let registration = &known.registration;
    RoutedReplica {
        id: registration.id.clone(),
        service: registration.service.clone(),
        address: registration.address,
        failure_domain: registration.failure_domain.clone(),
        slots: registration.slots.0,
        model,
        group,
        is_suspect,
    }
}

fn is_silent(known: &KnownInstance, now: Timestamp) -> bool {
    known.silent_for(now).as_millis() as u64 > SILENT_SUSPECT_MS
}
