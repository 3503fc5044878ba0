//! Figures of each routing policy, for comparing two on live traffic.

use std::{
    collections::HashMap,
    time::Duration, //
};

use cicadabend::{
    fleet::RoutingPolicy,
    peer_api::FiguresDelta,
    prelude::*, //
};

/// Times of 2^31 µs and more share the last bucket.
const BUCKETS: usize = 32;

/// Times by power-of-two bucket of microseconds.
#[derive(Clone, Debug)]
pub(super) struct Buckets([u32; BUCKETS]);

impl Default for Buckets {
    fn default() -> Self {
        Self([0; BUCKETS])
    }
}

impl Buckets {
    /// Counts one time: bucket `n` holds those from 2^n µs up to 2^(n+1) µs.
    pub(super) fn count(&mut self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let index = time_us.max(1).ilog2() as usize;
        let bucket = &mut self.0[index.min(BUCKETS - 1)];
        *bucket = bucket.saturating_add(1);
    }
}

/// What one finished request adds.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) has_failed: bool,
    pub(super) was_cached: bool,
    pub(super) first_token: Duration,
    pub(super) between_tokens: Buckets,
}

/// Sums since they were last taken, by service and policy.
#[derive(Default)]
pub(super) struct StatisticsAccumulator {
    sums: HashMap<(ServiceName, RoutingPolicy), FiguresDelta>,
}

impl StatisticsAccumulator {
    /// Adds a request that has ended.
    pub(super) fn add(&mut self, service: &ServiceName, policy: RoutingPolicy, outcome: &Outcome) {
        let key = (service.clone(), policy);
        let sum = self.sums.entry(key).or_insert_with(|| FiguresDelta {
            service: service.clone(),
            policy,
            requests: 0,
            failures: 0,
            cache_hits: 0,
            first_token_sum_us: 0,
            first_token_sum_squares: 0.0,
            first_token_buckets: vec![0; BUCKETS],
            between_tokens_buckets: vec![0; BUCKETS],
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
        let mut first = Buckets::default();
        first.count(outcome.first_token);
        merge(&mut sum.first_token_buckets, &first);
        merge(&mut sum.between_tokens_buckets, &outcome.between_tokens);
    }

    /// Takes the sums out.
    pub(super) fn take(&mut self) -> Vec<FiguresDelta> {
        self.sums.drain().map(|(_, sum)| sum).collect()
    }
}

fn merge(into: &mut [u32], from: &Buckets) {
    for (sum, count) in into.iter_mut().zip(from.0) {
        *sum = sum.saturating_add(count);
    }
}
