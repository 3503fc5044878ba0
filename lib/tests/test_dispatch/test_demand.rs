//! The demand for models that is reported for their placement.

use std::collections::VecDeque;

use cicadabend::{
    dispatch::DemandCounts,
    prelude::*, //
};

/// Interval between two reads of the counts.
const READ_INTERVAL_MS: u64 = 400;
/// How long a request is in progress.
const SERVICE_MS: u64 = 1_200;
const REQUESTS_PER_S: u64 = 50;

/// Simulates requests that are all executed or all find no permit; returns the mean demand that is
/// reported.
fn mean_demand(is_permitted: bool) -> f64 {
    let (service, model): (ServiceName, ModelName) =
        ("llm".parse().unwrap(), "m0".parse().unwrap());
    let mut counts = DemandCounts::default();
    let mut running: VecDeque<u64> = VecDeque::new();
    let mut demands = Vec::new();
    for now_ms in 0..20_000 {
        while running.front().is_some_and(|ends_ms| *ends_ms <= now_ms) {
            running.pop_front();
            counts.end(&service, &model);
        }
        if now_ms % (1_000 / REQUESTS_PER_S) == 0 && is_permitted {
            counts.begin(&service, &model);
            running.push_back(now_ms + SERVICE_MS);
        } else if now_ms % (1_000 / REQUESTS_PER_S) == 0 {
            counts.record_unpermitted(&service, &model);
        }
        if now_ms % READ_INTERVAL_MS == 0 && now_ms > 5_000 {
            demands.push(counts.read().first().map_or(0, |(_, _, demand)| *demand));
        } else if now_ms % READ_INTERVAL_MS == 0 {
            let _ = counts.read();
        }
    }
    f64::from(demands.iter().sum::<u32>()) / demands.len() as f64
}

#[test]
fn requests_without_a_permit_count_as_demand() {
    // Guards against a model that loses its groups to another one because its upstreams limited
    // their rates for a few seconds: requests without a permit did not count as demand, and the
    // model's callers were refused for long afterwards.
    let (served, unpermitted) = (mean_demand(true), mean_demand(false));

    let ratio = unpermitted / served;
    assert!((0.8..=1.25).contains(&ratio), "{unpermitted} for {served}");
}
