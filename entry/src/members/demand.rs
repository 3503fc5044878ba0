//! The number of requests per model at this daemon, shared by two threads.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use cicadabend::{
    dispatch::DemandCounts,
    prelude::*, //
};

/// The shared counts, which the serving thread changes and the thread `members` reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    counts: Arc<Mutex<DemandCounts>>,
}

/// Keeps one request in the counts until this value is dropped.
#[derive(Debug)]
pub(crate) struct Demanded {
    demand: Demand,
    service: ServiceName,
    model: ModelName,
}

impl Demand {
    /// Counts a request until the returned value is dropped.
    pub(crate) fn count(&self, service: &ServiceName, model: &ModelName) -> Demanded {
        self.counts().begin(service, model);
        Demanded {
            demand: self.clone(),
            service: service.clone(),
            model: model.clone(),
        }
    }

    /// Returns the counts to read or change.
    pub(crate) fn counts(&self) -> MutexGuard<'_, DemandCounts> {
        // A panic while the lock is held leaves only numbers behind, which stay usable.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Demanded {
    fn drop(&mut self) {
        self.demand.counts().end(&self.service, &self.model);
    }
}
