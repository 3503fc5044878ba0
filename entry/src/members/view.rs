//! What requests are served by.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use cicadabend::{
    ids::Address,
    prelude::*,
    quarantine::SuspectTable,
    rates::RateTable,
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

/// How long a member of a group may be silent before its group is in doubt.
const SILENT_SUSPECT_MS: u64 = 2_600;

/// Everything a routed request is served by; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct RoutedView {
    /// The table in force; `None` until one is known.
    pub routes: Option<Arc<RouteIndex>>,
    /// Until when the table is known to be the newest, if nobody says so again.
    pub certain_until: Timestamp,
    /// Whether all reports of upstreams were heard once.
    pub has_upstreams: bool,
    /// Where requests can go, by service.
    pub replicas: Arc<BTreeMap<ServiceName, Vec<RoutedReplica>>>,
    /// How many entry daemons there are.
    pub entries: u32,
    /// Where this daemon stands among them by name, from zero on.
    pub place: u32,
    /// Requests that upstreams had when they ended.
    pub suspects: Arc<SuspectTable>,
    /// The rates of requests that upstreams name.
    pub rates: Arc<RateTable>,
}

/// One place where a routed request can run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutedReplica {
    /// The run of the upstream; for a group, that of its head.
    pub id: InstanceId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: Address,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// How many requests it runs side by side.
    pub slots: u32,
    /// The model it serves, if it is an engine.
    pub model: Option<ModelName>,
    /// The group it is the head of.
    pub group: Option<GroupId>,
    /// Whether a member, or the upstream itself, has not been heard lately.
    pub is_suspect: bool,
}

impl RoutedView {
    /// Returns whether the daemon can serve.
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && self.has_upstreams
    }

    /// Returns the replicas of a service that serve a model, all if none is named.
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
/// An engine takes them only as the head of an open group whose members are all known
/// under the same group and epoch, none of which leaves.
pub(super) fn replicas(
    registry: &Registry,
    routes: Option<&RouteIndex>,
    now: Timestamp,
) -> BTreeMap<ServiceName, Vec<RoutedReplica>> {
    let members = members(registry);
    let mut replicas: BTreeMap<ServiceName, Vec<RoutedReplica>> = BTreeMap::new();
    for (_, known) in registry.iter() {
        let registration = &known.registration;
        if registration.state != UpstreamState::Ready {
            continue;
        }
        let is_silent = is_silent(known, now);
        let replica = match &registration.engine {
            None => Some(replica(known, None, None, is_silent)),
            Some(engine) => head(known, engine, &members, routes, now),
        };
        if let Some(replica) = replica {
            let of_service = replicas.entry(registration.service.clone()).or_default();
            of_service.push(replica);
        }
    }
    replicas
}

type Members<'a> = BTreeMap<(&'a GroupId, u64), Vec<(&'a KnownInstance, u32)>>;

fn members(registry: &Registry) -> Members<'_> {
    let mut members: Members<'_> = BTreeMap::new();
    for (_, known) in registry.iter() {
        if let Some(standing) = known.group() {
            let key = (&standing.group, standing.epoch);
            members.entry(key).or_default().push((known, standing.rank));
        }
    }
    members
}

fn head(
    known: &KnownInstance,
    engine: &EngineStatus,
    members: &Members<'_>,
    routes: Option<&RouteIndex>,
    now: Timestamp,
) -> Option<RoutedReplica> {
    let standing = engine.group.as_ref()?;
    if standing.rank != 0 || standing.state != MemberState::Open {
        return None;
    }
    let model = engine.model.clone()?;
    let members = members.get(&(&standing.group, standing.epoch))?;
    let traits = routes.and_then(|routes| {
        let engine = routes.table().engine(&known.registration.service)?;
        engine.model(&model)
    });
    let is_whole = traits.is_none_or(|traits| members.len() >= traits.size as usize);
    let leaves =
        |(member, _): &(&KnownInstance, u32)| member.registration.state != UpstreamState::Ready;
    if !is_whole || members.iter().any(leaves) {
        return None;
    }
    let is_suspect = members.iter().any(|(member, _)| is_silent(member, now));
    let group = Some(standing.group.clone());
    Some(replica(known, Some(model), group, is_suspect))
}

fn replica(
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
