//! Logs which replicas came, fell silent or went, and what decided it.

use std::collections::BTreeMap;

use cicadabend::{
    prelude::*,
    registry::{
        Ended,
        InstanceId,
        Registry,
        UpstreamState, //
    },
};

use super::{
    events::LogEvent,
    view::RoutedReplica, //
};

type Replicas = BTreeMap<ServiceName, Vec<RoutedReplica>>;

/// Logs each difference between two sets of replicas.
pub(super) fn log(before: &Replicas, fresh: &Replicas, registry: &Registry, now: Timestamp) {
    let (old, new) = (by_instance(before), by_instance(fresh));
    for (id, replica) in &new {
        let was_suspect = old.get(id).map(|replica| replica.is_suspect);
        if was_suspect == Some(replica.is_suspect) {
            continue;
        }
        let (change, why) = match replica.is_suspect {
            true => ("suspect", "a member is silent"),
            false => ("usable", "all members are heard"),
        };
        emit(replica, change, why, registry, now);
    }
    for (id, replica) in &old {
        if !new.contains_key(id) {
            emit(replica, "out", why_out(id, registry), registry, now);
        }
    }
}

fn by_instance(replicas: &Replicas) -> BTreeMap<&InstanceId, &RoutedReplica> {
    let all = replicas.values().flatten();
    all.map(|replica| (&replica.id, replica)).collect()
}

fn why_out(id: &InstanceId, registry: &Registry) -> &'static str {
    if let Some(how) = registry.ended(id) {
        return match how {
            Ended::Left => "it has left",
            Ended::Dead => "another run has its place",
        };
    }
    let state = registry.get(id).map(|known| known.registration.state);
    match state {
        Some(UpstreamState::Ready) => "its group is not open and whole",
        Some(UpstreamState::Draining | UpstreamState::Gone) => "it leaves",
        None => "nothing was heard for long",
    }
}

fn emit(
    replica: &RoutedReplica,
    change: &'static str,
    why: &'static str,
    registry: &Registry,
    now: Timestamp,
) {
    let known = registry.get(&replica.id);
    LogEvent::ReplicaChanged {
        instance: replica.id.clone(),
        service: replica.service.clone(),
        address: replica.address,
        change,
        why,
        sequence: known.map_or(0, |known| known.registration.sequence),
        silent_ms: known.map_or(0, |known| known.silent_for(now).as_millis()),
    }
    .emit();
}
