//! How many requests each model has at this daemon.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use cicadabend::prelude::*;

type Key = (ServiceName, ModelName);

#[derive(Debug, Default)]
struct Counts {
    at_hand: u32,
    /// Requests that were refused for want of room since the last reading.
    refused: u32,
}

/// The counts; the serving thread changes them, the thread `members` reads them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    counts: Arc<Mutex<BTreeMap<Key, Counts>>>,
}

/// One request, counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Demanded {
    demand: Demand,
    key: Key,
}

impl Demand {
    /// Counts a request from now on.
    pub(crate) fn count(&self, service: &ServiceName, model: &ModelName) -> Demanded {
        let key = (service.clone(), model.clone());
        self.lock().entry(key.clone()).or_default().at_hand += 1;
        Demanded {
            demand: self.clone(),
            key,
        }
    }

    /// Counts a request that found no room.
    pub(crate) fn refused(&self, service: &ServiceName, model: &ModelName) {
        let key = (service.clone(), model.clone());
        self.lock().entry(key).or_default().refused += 1;
    }

    /// Returns the counts; refusals are counted anew from here on.
    pub(crate) fn read(&self) -> Vec<(ServiceName, ModelName, u32)> {
        let mut counts = self.lock();
        let told = counts.iter_mut().map(|((service, model), counts)| {
            let refused = std::mem::take(&mut counts.refused);
            (service.clone(), model.clone(), counts.at_hand + refused)
        });
        told.collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, Counts>> {
        // A panic while counting leaves plain numbers behind, which stay usable.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Demanded {
    fn drop(&mut self) {
        if let Some(counts) = self.demand.lock().get_mut(&self.key) {
            counts.at_hand = counts.at_hand.saturating_sub(1);
        }
    }
}
