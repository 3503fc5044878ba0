//! Statistics of each routing policy, for comparing two policies on live traffic.

use std::{
    collections::HashMap,
    time::Duration, //
};

use cicadabend::{
    fleet::RoutingPolicy,
    peer_api::PolicyStatisticsDelta,
    prelude::*, //
};

/// Number of buckets of a histogram; times of 2^31 µs and more share the last one.
const BUCKET_COUNT: usize = 32;

/// Histogram of times, whose bucket bounds are powers of two in microseconds.
#[derive(Clone, Debug)]
pub(super) struct TimeHistogram([u32; BUCKET_COUNT]);

impl Default for TimeHistogram {
    fn default() -> Self {
        Self([0; BUCKET_COUNT])
    }
}

impl TimeHistogram {
    /// Adds one time; bucket `n` counts the times from 2^n µs up to 2^(n+1) µs.
    pub(super) fn count(&mut self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let index = time_us.max(1).ilog2() as usize;
        let bucket = &mut self.0[index.min(BUCKET_COUNT - 1)];
        *bucket = bucket.saturating_add(1);
    }
}

/// The values that one finished request adds to the statistics of its policy.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) has_failed: bool,
    /// Whether the router expected part of the prompt to be cached at the replica.
    pub(super) was_cached: bool,
    /// Time from sending the request to the first chunk of its response.
    pub(super) first_token: Duration,
    /// Times between the chunks of the response.
    pub(super) between_tokens: TimeHistogram,
}

/// Sums the outcomes of requests by service and policy, until the sums are taken.
#[derive(Default)]
pub(super) struct StatisticsAccumulator {
    sums: HashMap<(ServiceName, RoutingPolicy), PolicyStatisticsDelta>,
}

impl StatisticsAccumulator {
    /// Adds the outcome of a request that has ended.
    pub(super) fn add(&mut self, service: &ServiceName, policy: RoutingPolicy, outcome: &Outcome) {
        let key = (service.clone(), policy);
        let sum = self
            .sums
            .entry(key)
            .or_insert_with(|| PolicyStatisticsDelta {
                service: service.clone(),
                policy,
                requests: 0,
                failures: 0,
                cache_hits: 0,
                first_token_sum_us: 0,
                first_token_sum_squares: 0.0,
                first_token_buckets: vec![0; BUCKET_COUNT],
                between_tokens_buckets: vec![0; BUCKET_COUNT],
            });
        sum.requests += 1;
        if outcome.has_failed {
            sum.failures += 1;
            return;
        }
        sum.cache_hits += u64::from(outcome.was_cached);
        let first_us = u64::try_from(outcome.first_token.as_micros()).unwrap_or(u64::MAX);
        sum.first_token_sum_us = sum.first_token_sum_us.saturating_add(first_us);
        sum.first_token_sum_squares += (first_us as f64).powi(2);
        let mut first = TimeHistogram::default();
        first.count(outcome.first_token);
        add_buckets(&mut sum.first_token_buckets, &first);
        add_buckets(&mut sum.between_tokens_buckets, &outcome.between_tokens);
    }

    /// Returns all sums and starts anew from zero.
    pub(super) fn take(&mut self) -> Vec<PolicyStatisticsDelta> {
        self.sums.drain().map(|(_, sum)| sum).collect()
    }
}

fn add_buckets(into: &mut [u32], from: &TimeHistogram) {
    for (sum, count) in into.iter_mut().zip(from.0) {
        *sum = sum.saturating_add(count);
    }
}
