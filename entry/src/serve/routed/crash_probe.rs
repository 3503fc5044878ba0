//! Finds out whether an upstream that broke off requests has crashed.
//!
//! A single broken-off response is no proof of a crash: the connection may have been lost, or the
//! upstream may have failed this request alone. A crashed upstream breaks off all its requests, and
//! nothing listens at its address for seconds. Only then do its requests become suspects.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    quarantine::{
        CrashId,
        CrashReport,
        ModelPart,
        Observation, //
    },
    registry::InstanceId, //
};
use tokio::time::sleep;

use super::{
    counts::Routed,
    crash_watch::BrokenRequest,
    events::LogEvent,
    liveness::{
        Liveness,
        check_liveness, //
    },
    relay_client::ask_to_connect,
    relay_headers::RelayReport,
    server::Server, //
};
use crate::members::{
    CrashNotice,
    RoutedReplica, //
};

/// Time for which further broken-off requests of the same upstream are collected.
///
/// When an upstream crashes, one daemon's connections to it break within half of this time.
const GATHER: Duration = Duration::from_millis(20);
/// A part that was answered at most this long before a crash is not reported for it.
const JUST_BEFORE: Duration = Duration::from_secs(2);
/// Maximum number of parts in the report of one crash; suspected ones go first.
const MAX_REPORTED_PARTS: usize = 512;
/// Maximum number of characters of a part's name in logs.
pub(super) const MAX_NAME_CHARS: usize = 32;

/// Records a request that an upstream broke off; the first one starts a probe of the upstream.
pub(super) fn record_broken_request(
    server: &Rc<Server>,
    upstream: &RoutedReplica,
    broken: BrokenRequest,
) {
    if server.crash_watch.add_broken(&upstream.id, broken) {
        let probe = probe_upstream(Rc::clone(server), upstream.clone());
        tokio::task::spawn_local(probe);
    }
}

/// Checks whether the upstream has crashed, and reports its broken-off requests if so.
async fn probe_upstream(server: Rc<Server>, replica: RoutedReplica) {
    sleep(GATHER).await;
    let has_crashed = has_crashed(&server, &replica).await;
    let watch = &server.crash_watch;
    let RoutedReplica {
        id: upstream,
        address,
        ..
    } = replica;
    let broken_requests = watch.take(&upstream);
    if !has_crashed {
        return;
    }
    watch.record_crash(&upstream);
    server.counts.count(Routed::UpstreamsCrashed);
    server.log(&LogEvent::UpstreamCrashed {
        instance: upstream.clone(),
        address,
        requests: broken_requests.len(),
    });
    report_parts(&server, &upstream, &broken_requests);
    let mut observations = Vec::new();
    for broken in broken_requests {
        let crashes = watch.crash_number(&broken);
        observations.push((broken.fingerprint, Observation::Crashed(crashes)));
        server.log(&LogEvent::RequestSuspected {
            request: broken.request,
            fingerprint: broken.fingerprint,
            crashes,
            parts: parts_text(&broken.parts),
            instance: upstream.clone(),
        });
    }
    // A full ring drops the notice; the next crash sends another one.
    let _ = server.crashes.push(CrashNotice::Requests(observations));
}

/// Reports the prompt parts that a crashed upstream had and that may have crashed it.
///
/// Parts that were answered just before are left out; if there is an older answer, it is reported
/// as well.
fn report_parts(server: &Rc<Server>, upstream: &InstanceId, broken: &[BrokenRequest]) {
    let Some(at) = broken.iter().map(|broken| broken.broken_at).min() else {
        return;
    };
    let mut sent: BTreeMap<ModelPart, Timestamp> = BTreeMap::new();
    for request in broken {
        let named = request.parts.iter().map(|(_, part)| *part);
        let whole = named.clone().next();
        let whole = whole.map(|part| part.of_request(request.fingerprint));
        for part in named.chain(whole) {
            let last = sent.entry(part).or_default();
            *last = request.sent_at.max(*last);
        }
    }
    let answered_before = |part: &ModelPart| server.part_watch.last_answered(*part);
    let was_sound = |part: &ModelPart| {
        answered_before(part).is_some_and(|sent_at| at.since(sent_at) < JUST_BEFORE)
    };
    sent.retain(|part, _| !was_sound(part));
    let mut sent: Vec<(ModelPart, Timestamp)> = sent.into_iter().collect();
    let view = server.view.load();
    sent.sort_by_key(|(part, _)| !view.suspect_parts.contains(part.part));
    sent.truncate(MAX_REPORTED_PARTS);
    if sent.is_empty() {
        return;
    }
    for (part, _) in &sent {
        server.report_answered(*part);
    }
    let crash = CrashId::of(upstream);
    // A full ring drops the report; the next crash sends another one.
    let _ = server
        .crashes
        .push(CrashNotice::Parts(CrashReport { crash, at, sent }));
}

/// Returns the names and ids of parts for logs.
fn parts_text(parts: &[(String, ModelPart)]) -> String {
    let texts: Vec<String> = parts
        .iter()
        .map(|(name, part)| {
            let name: String = name.chars().take(MAX_NAME_CHARS).collect();
            format!("{name}={}", part.part)
        })
        .collect();
    texts.join(",")
}

/// Returns whether an upstream has ended; asks relays if this daemon can't tell.
async fn has_crashed(server: &Rc<Server>, replica: &RoutedReplica) -> bool {
    match check_liveness(server, replica).await {
        Liveness::Alive => false,
        Liveness::Ended => true,
        Liveness::Unknown => ask_to_connect(server, replica).await == Some(RelayReport::Refused),
    }
}
