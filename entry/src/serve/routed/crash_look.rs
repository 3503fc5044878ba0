//! Finds out whether an upstream that broke requests off has ended.
//!
//! One answer that breaks off tells little: a connection was lost, or the upstream failed this
//! request alone. An upstream that has ended breaks off all that it has, and nothing listens at
//! its address for seconds. Only then are the requests that it had suspected.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    ids::Address,
    quarantine::Observation,
    registry::InstanceId, //
};
use tokio::time::sleep;

use super::{
    counts::Routed,
    crash_watch::BrokenOff,
    events::LogEvent,
    server::Server,
    source::KEEP_UNSAID, //
};

/// How long further requests of the same upstream are waited for.
///
/// The connections of one upstream that ends break at one daemon within half of this.
const GATHER: Duration = Duration::from_millis(20);

/// Notes that an upstream broke a request off.
pub(super) fn note(
    server: &Rc<Server>,
    (upstream, address): (&InstanceId, Address),
    broken: BrokenOff,
) {
    if server.crash_watch.gather(upstream, broken) {
        let look = look(Rc::clone(server), upstream.clone(), address);
        tokio::task::spawn_local(look);
    }
}

/// Looks whether the upstream has ended, and tells which requests it had if so.
async fn look(server: Rc<Server>, upstream: InstanceId, address: Address) {
    sleep(GATHER).await;
    let has_ended = server.pool.is_refused(address, KEEP_UNSAID).await;
    let watch = &server.crash_watch;
    let gathered = watch.take(&upstream);
    if !has_ended {
        return;
    }
    watch.note_end(&upstream);
    server.counts.count(Routed::UpstreamsCrashed);
    server.log(&LogEvent::UpstreamCrashed {
        instance: upstream.clone(),
        address,
        requests: gathered.len(),
    });
    let mut observations = Vec::new();
    for broken in gathered {
        let crashes = watch.number(&broken);
        observations.push((broken.fingerprint, Observation::Crashed(crashes)));
        server.log(&LogEvent::RequestSuspected {
            request: broken.request,
            fingerprint: broken.fingerprint,
            crashes,
            instance: upstream.clone(),
        });
    }
    // A full ring loses the notice; the next crash gives another.
    let _ = server.crashes.push(observations);
}
