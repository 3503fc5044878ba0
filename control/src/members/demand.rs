//! How many requests each model has at all entry daemons together.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cicadabend::{
    discovery::ControlDiscovery,
    prelude::*, //
};

/// How often the load of all entry daemons is summed.
const DEMAND_EVERY: Duration = Duration::from_millis(400);
/// What a new sum counts against the smoothed one; half is new after two seconds.
const DEMAND_NEW_WEIGHT: f64 = 0.13;

/// The sum over all entry daemons, smoothed.
#[derive(Default)]
pub(super) struct SmoothDemand {
    by_model: BTreeMap<(ServiceName, ModelName), f64>,
    due: Timestamp,
}

impl SmoothDemand {
    /// Returns the smoothed number of requests for each model of each service.
    pub(super) fn by_model(&self) -> &BTreeMap<(ServiceName, ModelName), f64> {
        &self.by_model
    }

    /// Sums what the entry daemons tell, if it is time, and smooths it.
    pub(super) fn weigh(&mut self, discovery: &ControlDiscovery, now: Timestamp) {
        if now < self.due {
            return;
        }
        self.due = now + DEMAND_EVERY;
        let sum = discovery.demand(now);
        for (key, requests) in &sum {
            let smooth = self.by_model.entry(key.clone()).or_insert(*requests);
            *smooth += (requests - *smooth) * DEMAND_NEW_WEIGHT;
        }
        for (key, smooth) in &mut self.by_model {
            if !sum.contains_key(key) {
                *smooth *= 1.0 - DEMAND_NEW_WEIGHT;
            }
        }
    }
}
