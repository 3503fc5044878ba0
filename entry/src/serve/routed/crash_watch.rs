//! Finds out whether an upstream that broke requests off has ended.
//!
//! One answer that breaks off tells little: a connection was lost, or the upstream failed this
//! request alone. An upstream that has ended breaks off all that it has, and nothing listens at
//! its address for seconds. Only then are the requests that it had suspected.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        HashSet, //
    },
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    ids::Address,
    quarantine::{
        Fingerprint,
        Known,
        Observation, //
    },
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
/// The connections of one upstream that ends break at one daemon within half of this.
const GATHER: Duration = Duration::from_millis(20);

/// A request that an upstream broke off.
#[derive(Clone, Debug)]
pub(super) struct BrokenOff {
    /// Its id.
    pub(super) request: String,
    /// What it is known again by.
    pub(super) fingerprint: Fingerprint,
    /// How many crashes of it were known when it was sent.
    pub(super) known: Known,
    /// The upstreams that broke it off before, on its way to this one.
    pub(super) broken_before: Vec<InstanceId>,
}

/// Requests that were broken off, and upstreams that have ended.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    broken_off: RefCell<HashMap<InstanceId, Vec<BrokenOff>>>,
    /// Upstreams that were seen to have ended.
    ended: RefCell<HashSet<InstanceId>>,
}

impl CrashWatch {
    /// Notes that an upstream broke a request off.
    pub(super) fn note(
        server: &Rc<Server>,
        (upstream, address): (&InstanceId, Address),
        broken: BrokenOff,
    ) {
        let mut broken_off = server.crash_watch.broken_off.borrow_mut();
        let gathered = broken_off.entry(upstream.clone()).or_default();
        if gathered.is_empty() {
            let look = look(Rc::clone(server), upstream.clone(), address);
            tokio::task::spawn_local(look);
        }
        gathered.push(broken);
    }

    /// Drops upstreams that nobody speaks of any more.
    pub(super) fn forget(&self, is_kept: impl Fn(&InstanceId) -> bool) {
        self.ended.borrow_mut().retain(is_kept);
    }

    /// Returns which crash of the request this one is, counted one after the other.
    fn number(&self, broken: &BrokenOff) -> u32 {
        let ended = self.ended.borrow();
        let before = broken.broken_before.iter().filter(|id| ended.contains(id));
        let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
        broken.known.number_of_next(before)
    }
}

/// Looks whether the upstream has ended, and tells which requests it had if so.
async fn look(server: Rc<Server>, upstream: InstanceId, address: Address) {
    sleep(GATHER).await;
    let has_ended = server.pool.is_refused(address, KEEP_UNSAID).await;
    let watch = &server.crash_watch;
    let gathered = watch.broken_off.borrow_mut().remove(&upstream);
    let gathered = gathered.unwrap_or_default();
    if !has_ended {
        return;
    }
    watch.ended.borrow_mut().insert(upstream.clone());
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
