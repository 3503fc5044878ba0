//! Counts of each model's requests at one daemon, from which groups are assigned to models.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Number of reads in which a request without a permit counts: about as many as if the request had
/// been executed.
const UNPERMITTED_READS: usize = 3;

type Key = (ServiceName, ModelName);

/// The counts of one model.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    in_progress: u32,
    /// Requests refused since the last read because an upstream was full.
    refused: u32,
    /// Requests refused for lack of a permit, by the number of reads since.
    unpermitted: [u32; UNPERMITTED_READS],
}

/// The demand for each model at one daemon.
#[derive(Clone, Debug, Default)]
pub struct DemandCounts {
    by_model: BTreeMap<Key, Counts>,
}

impl DemandCounts {
    /// Records that a request begins.
    pub fn begin(&mut self, service: &ServiceName, model: &ModelName) {
        self.entry(service, model).in_progress += 1;
    }

    /// Records that a request has ended.
    pub fn end(&mut self, service: &ServiceName, model: &ModelName) {
        let counts = self.entry(service, model);
        counts.in_progress = counts.in_progress.saturating_sub(1);
    }

    /// Records that a request was refused because an upstream was full.
    pub fn record_refused(&mut self, service: &ServiceName, model: &ModelName) {
        self.entry(service, model).refused += 1;
    }

    /// Records that a request found no permit for an upstream that names a rate.
    ///
    /// While all upstreams of a model limit their rates, few of its requests are in progress. If
    /// the refused ones did not count, demand for the model would seem low, and its groups would be
    /// dissolved in favour of other models within seconds.
    pub fn record_unpermitted(&mut self, service: &ServiceName, model: &ModelName) {
        self.entry(service, model).unpermitted[0] += 1;
    }

    /// Returns each model's demand, in requests, and resets the counts of refused requests.
    pub fn read(&mut self) -> Vec<(ServiceName, ModelName, u32)> {
        let demand = self.by_model.iter_mut().map(|((service, model), counts)| {
            let refused = std::mem::take(&mut counts.refused);
            let unpermitted: u32 = counts.unpermitted.iter().sum();
            counts.unpermitted.rotate_right(1);
            counts.unpermitted[0] = 0;
            let all = counts.in_progress + refused + unpermitted;
            (service.clone(), model.clone(), all)
        });
        demand.collect()
    }

    fn entry(&mut self, service: &ServiceName, model: &ModelName) -> &mut Counts {
        let key = (service.clone(), model.clone());
        self.by_model.entry(key).or_default()
    }
}
