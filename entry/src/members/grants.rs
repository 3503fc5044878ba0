//! The retries that the leader grants from the slack, shared by two threads.

use cicadabend::{
    prelude::*,
    retry_budget::{
        GrantStore,
        RoutedRetryReason, //
    },
};
use cicadabend_daemon::ring;

use super::shared_store::SharedStore;

/// The shared grants, which the thread `members` adds and the serving thread uses.
pub(crate) type Grants = SharedStore<GrantStore>;

/// Keeps one request counted as waiting for a grant until this value is dropped.
#[derive(Debug)]
pub(crate) struct GrantWait {
    grants: Grants,
    service: ServiceName,
    reason: RoutedRetryReason,
}

impl Grants {
    /// Counts a request as waiting until the returned value is dropped, and makes the thread
    /// `members` request a grant.
    pub(crate) fn wait(
        &self,
        service: &ServiceName,
        reason: RoutedRetryReason,
        waits: &ring::Sender<()>,
    ) -> GrantWait {
        self.store().begin_wait(service, reason);
        // If the ring is full, an earlier entry already wakes the thread, which then includes this
        // request.
        let _ = waits.push(());
        GrantWait {
            grants: self.clone(),
            service: service.clone(),
            reason,
        }
    }
}

impl Drop for GrantWait {
    fn drop(&mut self) {
        self.grants.store().end_wait(&self.service, self.reason);
    }
}
