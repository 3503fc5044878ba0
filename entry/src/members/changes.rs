//! Logs which replicas were added, became silent or were removed, each with the reason.

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
pub(super) fn log_changes(
    before: &Replicas,
    fresh: &Replicas,
    registry: &Registry,
    now: Timestamp,
) {
    let (old, new) = (by_instance(before), by_instance(fresh));
    for (id, replica) in &new {
        let was_suspect = old.get(id).map(|replica| replica.is_suspect);
        if was_suspect == Some(replica.is_suspect) {
            continue;
        }
        let (change, why) = match replica.is_suspect {
            true => ("suspect", "a member is silent"),
            false => ("usable", "all members send reports"),
        };
        log_change(replica, change, why, registry, now);
    }
    for (id, replica) in &old {
        if !new.contains_key(id) {
            log_change(replica, "out", removal_reason(id, registry), registry, now);
        }
    }
}

fn by_instance(replicas: &Replicas) -> BTreeMap<&InstanceId, &RoutedReplica> {
    let all = replicas.values().flatten();
    all.map(|replica| (&replica.id, replica)).collect()
}

/// Returns the reason why a replica was removed, for the log.
fn removal_reason(id: &InstanceId, registry: &Registry) -> &'static str {
    if let Some(how) = registry.ended(id) {
        return match how {
            Ended::Left => "it has left",
            Ended::Dead => "its process has ended",
        };
    }
    let state = registry.get(id).map(|known| known.registration.state);
    match state {
        Some(UpstreamState::Ready) => "its group is not open and whole",
        Some(UpstreamState::Draining | UpstreamState::Gone) => "it is leaving",
        None => "no report arrived for too long",
    }
}

fn log_change(
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
