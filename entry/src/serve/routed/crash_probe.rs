//! Finds out whether an upstream that broke off requests has crashed.
//!
//! A single broken-off response is no proof of a crash: the connection may have been lost, or the
//! upstream may have failed this request alone. A crashed upstream breaks off all its requests, and
//! nothing listens at its address for seconds. Only then do its requests become suspects.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::quarantine::Observation;
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
use crate::members::RoutedReplica;

/// Time for which further broken-off requests of the same upstream are collected.
///
/// When an upstream crashes, one daemon's connections to it break within half of this time.
const GATHER: Duration = Duration::from_millis(20);

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
    let mut observations = Vec::new();
    for broken in broken_requests {
        let crashes = watch.crash_number(&broken);
        observations.push((broken.fingerprint, Observation::Crashed(crashes)));
        server.log(&LogEvent::RequestSuspected {
            request: broken.request,
            fingerprint: broken.fingerprint,
            crashes,
            parts: broken.parts.join(","),
            instance: upstream.clone(),
        });
    }
    // A full ring drops the notice; the next crash sends another one.
    let _ = server.crashes.push(observations);
}

/// Returns whether an upstream has ended; asks relays if this daemon can't tell.
async fn has_crashed(server: &Rc<Server>, replica: &RoutedReplica) -> bool {
    match check_liveness(server, replica).await {
        Liveness::Alive => false,
        Liveness::Ended => true,
        Liveness::Unknown => ask_to_connect(server, replica).await == Some(RelayReport::Refused),
    }
}
