//! How many requests each model and each replica has at this daemon.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use cicadabend::{
    discovery::InFlight,
    prelude::*,
    registry::InstanceId, //
};

type Key = (ServiceName, ModelName);

#[derive(Debug, Default)]
struct ModelCounts {
    at_hand: u32,
    /// Requests that were refused for want of room since the last reading.
    refused: u32,
}

#[derive(Debug, Default)]
struct Counts {
    by_model: BTreeMap<Key, ModelCounts>,
    by_replica: BTreeMap<InstanceId, u32>,
}

/// The counts; the serving thread changes them, the thread `members` reads them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    counts: Arc<Mutex<Counts>>,
}

/// One request, counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Demanded {
    demand: Demand,
    key: Key,
    replica: InstanceId,
}

impl Demand {
    /// Counts a request from now on.
    pub(crate) fn count(
        &self,
        service: &ServiceName,
        model: &ModelName,
        replica: &InstanceId,
    ) -> Demanded {
        let key = (service.clone(), model.clone());
        let mut counts = self.lock();
        counts.by_model.entry(key.clone()).or_default().at_hand += 1;
        *counts.by_replica.entry(replica.clone()).or_default() += 1;
        Demanded {
            demand: self.clone(),
            key,
            replica: replica.clone(),
        }
    }

    /// Counts a request that found no room.
    pub(crate) fn refused(&self, service: &ServiceName, model: &ModelName) {
        let key = (service.clone(), model.clone());
        self.lock().by_model.entry(key).or_default().refused += 1;
    }

    /// Returns the counts; refusals are counted anew from here on.
    pub(crate) fn read(&self) -> Vec<(ServiceName, ModelName, u32)> {
        let mut counts = self.lock();
        let told = counts
            .by_model
            .iter_mut()
            .map(|((service, model), counts)| {
                let refused = std::mem::take(&mut counts.refused);
                (service.clone(), model.clone(), counts.at_hand + refused)
            });
        told.collect()
    }

    /// Returns how many requests run or wait at each replica.
    pub(crate) fn in_flight(&self) -> InFlight {
        let counts = self.lock();
        let counted = counts.by_replica.iter();
        counted
            .map(|(id, requests)| (id.clone(), *requests))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        // A panic while counting leaves plain numbers behind, which stay usable.
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Demanded {
    fn drop(&mut self) {
        let mut counts = self.demand.lock();
        if let Some(of_model) = counts.by_model.get_mut(&self.key) {
            of_model.at_hand = of_model.at_hand.saturating_sub(1);
        }
        if let Some(requests) = counts.by_replica.get_mut(&self.replica) {
            *requests = requests.saturating_sub(1);
            if *requests == 0 {
                counts.by_replica.remove(&self.replica);
            }
        }
    }
}
