//! Finds out whether an upstream that broke requests off has ended.
//!
//! One answer that breaks off tells little: a connection was lost, or the upstream failed this
//! request alone. An upstream that has ended breaks off all that it has, and nothing listens at
//! its address for seconds. Only then are the requests that it had suspected.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    ids::Address,
    quarantine::Fingerprint,
    registry::InstanceId, //
};
use tokio::time::sleep;

use super::{
    counts::Routed,
    events::LogEvent,
    exchange::KEEP_UNSAID,
    server::Server, //
};

/// How long further requests of the same upstream are waited for.
///
/// The connections of one upstream that ended were seen to break within 10 ms at one daemon.
const GATHER: Duration = Duration::from_millis(20);
/// A request that an upstream broke off.
#[derive(Clone, Debug)]
struct BrokenOff {
    request: String,
    fingerprint: Fingerprint,
}

/// Requests that were broken off, by the upstream that had them.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    broken_off: RefCell<HashMap<InstanceId, Vec<BrokenOff>>>,
}

impl CrashWatch {
    /// Notes that an upstream broke a request off.
    pub(super) fn note(
        server: &Rc<Server>,
        (upstream, address): (&InstanceId, Address),
        request: &str,
        fingerprint: Fingerprint,
    ) {
        let mut broken_off = server.crash_watch.broken_off.borrow_mut();
        let gathered = broken_off.entry(upstream.clone()).or_default();
        if gathered.is_empty() {
            let look = look(Rc::clone(server), upstream.clone(), address);
            tokio::task::spawn_local(look);
        }
        gathered.push(BrokenOff {
            request: request.to_owned(),
            fingerprint,
        });
    }
}

/// Looks whether the upstream has ended, and tells which requests it had if so.
async fn look(server: Rc<Server>, upstream: InstanceId, address: Address) {
    sleep(GATHER).await;
    let has_ended = server.pool.is_refused(address, KEEP_UNSAID).await;
    let gathered = server.crash_watch.broken_off.borrow_mut().remove(&upstream);
    let gathered = gathered.unwrap_or_default();
    if !has_ended {
        return;
    }
    server.counts.count(Routed::UpstreamsCrashed);
    server.log(&LogEvent::UpstreamCrashed {
        instance: upstream.clone(),
        address,
        requests: gathered.len(),
    });
    for broken in &gathered {
        server.log(&LogEvent::RequestSuspected {
            request: broken.request.clone(),
            fingerprint: broken.fingerprint,
            instance: upstream.clone(),
        });
    }
}
