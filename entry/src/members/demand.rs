//! How many requests each model has at this daemon, between the two threads that need it.

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

/// The counts; the serving thread changes them, the thread `members` reads them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    counts: Arc<Mutex<DemandCounts>>,
}

/// One request, counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Demanded {
    demand: Demand,
    service: ServiceName,
    model: ModelName,
}

impl Demand {
    /// Counts a request from now on.
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
        // A panic while counting leaves plain numbers behind, which stay usable.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Demanded {
    fn drop(&mut self) {
        self.demand.counts().end(&self.service, &self.model);
    }
}
