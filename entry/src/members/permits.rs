//! The permits for sending requests to upstreams with a rate limit, shared by two threads.

use cicadabend::{
    prelude::*,
    rates::{
        Caller,
        PermitStore, //
        Pool,
    },
    registry::InstanceId,
};
use cicadabend_daemon::ring;

use super::shared_store::SharedStore;

/// A rate limit that an upstream's answer named, as the serving thread reports it: the upstream,
/// its rate limit (`None` for no limit), and when the request was sent and the answer arrived.
pub(crate) type RateNotice = (InstanceId, Option<RequestRate>, (Timestamp, Timestamp));

/// The shared permits, which the thread `members` adds and the serving thread uses.
pub(crate) type Permits = SharedStore<PermitStore>;

/// Keeps one request counted as waiting for a permit until this value is dropped.
#[derive(Debug)]
pub(crate) struct PermitWait {
    permits: Permits,
    pool: Pool,
    caller: Caller,
}

impl Permits {
    /// Counts a request as waiting until the returned value is dropped, and makes the thread
    /// `members` request a permit.
    pub(crate) fn wait(&self, pool: Pool, caller: Caller, waits: &ring::Sender<()>) -> PermitWait {
        self.store().begin_wait(&pool, &caller);
        // If the ring is full, an earlier entry already makes the thread request permits, which
        // then includes this request.
        let _ = waits.push(());
        PermitWait {
            permits: self.clone(),
            pool,
            caller,
        }
    }
}

impl Drop for PermitWait {
    fn drop(&mut self) {
        self.permits.store().end_wait(&self.pool, &self.caller);
    }
}
