//! What whoever places models is told of a model's requests.

use std::collections::VecDeque;

use cicadabend::{
    dispatch::DemandCounts,
    prelude::*, //
};

/// The pause between two readings.
const READING_MS: u64 = 400;
/// How long a request runs.
const SERVICE_MS: u64 = 1_200;
const REQUESTS_PER_S: u64 = 50;

/// Plays requests, all of which run or find no permit; returns the mean of what is told.
fn told(is_permitted: bool) -> f64 {
    let (service, model): (ServiceName, ModelName) =
        ("llm".parse().unwrap(), "m0".parse().unwrap());
    let mut counts = DemandCounts::default();
    let mut running: VecDeque<u64> = VecDeque::new();
    let mut readings = Vec::new();
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
        if now_ms % READING_MS == 0 && now_ms > 5_000 {
            readings.push(counts.read().first().map_or(0, |(_, _, told)| *told));
        } else if now_ms % READING_MS == 0 {
            let _ = counts.read();
        }
    }
    f64::from(readings.iter().sum::<u32>()) / readings.len() as f64
}

#[test]
fn a_model_whose_upstreams_are_all_in_need_seems_no_less_in_demand() {
    // Callers of a model are refused long after its upstreams needed help for a few seconds: its
    // requests found no permit and did not count, so its groups went to another model.
    let (served, unpermitted) = (told(true), told(false));

    let ratio = unpermitted / served;
    assert!((0.8..=1.25).contains(&ratio), "{unpermitted} for {served}");
}
