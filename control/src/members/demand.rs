//! The number of requests per model, summed over all entry daemons.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cicadabend::{
    discovery::ControlDiscovery,
    prelude::*, //
};

/// How often the request counts of all entry daemons are summed.
const DEMAND_INTERVAL: Duration = Duration::from_millis(400);
/// The weight of a new sum in the exponential moving average, whose half-life is two seconds.
const DEMAND_SMOOTHING_FACTOR: f64 = 0.13;

/// The number of requests per model at all entry daemons, as an exponential moving average.
#[derive(Default)]
pub(super) struct SmoothedDemand {
    by_model: BTreeMap<(ServiceName, ModelName), f64>,
    due: Timestamp,
}

impl SmoothedDemand {
    /// Returns the smoothed number of requests for each model of each service.
    pub(super) fn by_model(&self) -> &BTreeMap<(ServiceName, ModelName), f64> {
        &self.by_model
    }

    /// Adds the entry daemons' current sums to the average, once per [`DEMAND_INTERVAL`].
    pub(super) fn update(&mut self, discovery: &ControlDiscovery, now: Timestamp) {
        if now < self.due {
            return;
        }
        self.due = now + DEMAND_INTERVAL;
        let sum = discovery.demand(now);
        for (key, requests) in &sum {
            let smooth = self.by_model.entry(key.clone()).or_insert(*requests);
            *smooth += (requests - *smooth) * DEMAND_SMOOTHING_FACTOR;
        }
        for (key, smooth) in &mut self.by_model {
            if !sum.contains_key(key) {
                *smooth *= 1.0 - DEMAND_SMOOTHING_FACTOR;
            }
        }
    }
}
