//! How many requests each model has at one daemon, as whoever places models is told.

use std::collections::BTreeMap;

use crate::prelude::*;

/// For how many readings a request counts that found no permit: about as many as if it had run.
const UNPERMITTED_READINGS: usize = 3;

type Key = (ServiceName, ModelName);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    at_hand: u32,
    /// Requests that were refused for want of room since the last reading.
    refused: u32,
    /// Requests that were refused for want of a permit, by how long they still count.
    unpermitted: [u32; UNPERMITTED_READINGS],
}

/// The counts of one daemon.
#[derive(Clone, Debug, Default)]
pub struct DemandCounts {
    by_model: BTreeMap<Key, Counts>,
}

impl DemandCounts {
    /// Counts a request from now on.
    pub fn begin(&mut self, service: &ServiceName, model: &ModelName) {
        self.entry(service, model).at_hand += 1;
    }

    /// Counts a request no more.
    pub fn end(&mut self, service: &ServiceName, model: &ModelName) {
        let counts = self.entry(service, model);
        counts.at_hand = counts.at_hand.saturating_sub(1);
    }

    /// Counts a request that found no room.
    pub fn record_refused(&mut self, service: &ServiceName, model: &ModelName) {
        self.entry(service, model).refused += 1;
    }

    /// Counts a request that found no permit for an upstream which names a rate.
    ///
    /// While all upstreams of a model are in need, few of its requests are at hand. If the others
    /// did not count, the model would seem to be in little demand, and its groups would be taken
    /// apart for other models within seconds.
    pub fn record_unpermitted(&mut self, service: &ServiceName, model: &ModelName) {
        self.entry(service, model).unpermitted[0] += 1;
    }

    /// Returns the counts; what was refused is counted anew from here on.
    pub fn read(&mut self) -> Vec<(ServiceName, ModelName, u32)> {
        let told = self.by_model.iter_mut().map(|((service, model), counts)| {
            let refused = std::mem::take(&mut counts.refused);
            let unpermitted: u32 = counts.unpermitted.iter().sum();
            counts.unpermitted.rotate_right(1);
            counts.unpermitted[0] = 0;
            let all = counts.at_hand + refused + unpermitted;
            (service.clone(), model.clone(), all)
        });
        told.collect()
    }

    fn entry(&mut self, service: &ServiceName, model: &ModelName) -> &mut Counts {
        let key = (service.clone(), model.clone());
        self.by_model.entry(key).or_default()
    }
}
