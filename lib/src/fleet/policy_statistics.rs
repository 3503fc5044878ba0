//! Statistics by routing policy, summed over all entry daemons.

use std::collections::BTreeMap;

use super::{
    FleetConfig,
    RoutingPolicy,
    Service, //
};
use crate::{
    operator_api::PolicyStatistics,
    peer_api::PolicyStatisticsDelta,
    prelude::*, //
};

/// Number of buckets of a histogram, enough for every duration in microseconds of 64 bits.
pub const BUCKETS: usize = 65;

/// The factor from the standard error to half of a 95 % confidence interval.
const CONFIDENCE_95: f64 = 1.96;
const US_PER_MS: f64 = 1_000.0;

/// Returns the bucket of a duration: bucket 0 holds zero, bucket `n` holds durations
/// from `2^(n-1)` up to but not including `2^n`.
pub fn bucket_of(duration_us: u64) -> usize {
    (u64::BITS - duration_us.leading_zeros()) as usize
}

/// Statistics of all entry daemons, summed by service and routing policy.
#[derive(Clone, Debug, Default)]
pub struct PolicyTotals {
    totals: BTreeMap<(ServiceName, RoutingPolicy), Totals>,
}

#[derive(Clone, Debug, Default)]
struct Totals {
    requests: u64,
    failures: u64,
    cache_hits: u64,
    first_token_sum_us: u64,
    first_token_sum_squares: f64,
    first_token: Histogram,
    between_tokens: Histogram,
}

impl PolicyTotals {
    /// Adds a daemon's counts since its last message.
    pub fn add(&mut self, delta: &PolicyStatisticsDelta) {
        let key = (delta.service.clone(), delta.policy);
        let totals = self.totals.entry(key).or_default();
        totals.requests += delta.requests;
        totals.failures += delta.failures;
        totals.cache_hits += delta.cache_hits;
        totals.first_token_sum_us += delta.first_token_sum_us;
        totals.first_token_sum_squares += delta.first_token_sum_squares;
        totals.first_token.add(&delta.first_token_buckets);
        totals.between_tokens.add(&delta.between_tokens_buckets);
    }

    /// Removes the statistics of policies that the configuration no longer has, so that a policy
    /// that is put in force again starts from zero.
    pub fn retain_configured(&mut self, config: &FleetConfig) {
        self.totals.retain(|(service, policy), _| {
            let routing = match config.services.get(service) {
                Some(Service::Model(model)) => &model.routing,
                Some(Service::Plain(plain)) => &plain.routing,
                None => return false,
            };
            routing.iter().any(|arm| arm.policy == *policy)
        });
    }

    /// Returns the statistics of each service and policy that a daemon has reported.
    pub fn statistics(&self) -> Vec<PolicyStatistics> {
        let all = self.totals.iter();
        all.map(|((service, policy), totals)| totals.statistics(service, *policy))
            .collect()
    }
}

impl Totals {
    fn statistics(&self, service: &ServiceName, policy: RoutingPolicy) -> PolicyStatistics {
        let (mean_us, half_width_us) = self.first_token_mean_us();
        PolicyStatistics {
            service: service.clone(),
            policy,
            requests: self.requests,
            failures: self.failures,
            first_token_p50_ms: self.first_token.quantile_us(0.5) / US_PER_MS,
            first_token_p95_ms: self.first_token.quantile_us(0.95) / US_PER_MS,
            first_token_mean_ms: mean_us / US_PER_MS,
            first_token_mean_ci_ms: half_width_us / US_PER_MS,
            between_tokens_p95_ms: self.between_tokens.quantile_us(0.95) / US_PER_MS,
            cache_hit_percent: percent(self.cache_hits, self.requests),
        }
    }

    /// Returns the mean time to the first token in microseconds, and half the width of its 95 %
    /// confidence interval.
    fn first_token_mean_us(&self) -> (f64, f64) {
        let count = self.first_token.count();
        if count == 0 {
            return (0.0, 0.0);
        }
        let count = count as f64;
        let mean = self.first_token_sum_us as f64 / count;
        if count < 2.0 {
            return (mean, 0.0);
        }
        // Rounding can make the difference of two large sums slightly negative.
        let deviations = (self.first_token_sum_squares - count * mean * mean).max(0.0);
        let variance = deviations / (count - 1.0);
        (mean, CONFIDENCE_95 * (variance / count).sqrt())
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 0.0,
        whole => 100.0 * part as f64 / whole as f64,
    }
}

/// Counts of durations by power of two; see [`bucket_of`].
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u64; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
        }
    }
}

impl Histogram {
    fn add(&mut self, counts: &[u32]) {
        for (sum, count) in self.counts.iter_mut().zip(counts) {
            *sum += u64::from(*count);
        }
    }

    fn count(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Returns a quantile in microseconds, interpolated linearly within its bucket; 0 if there are
    /// no durations.
    fn quantile_us(&self, quantile: f64) -> f64 {
        let mut rank = quantile * self.count() as f64;
        for (bucket, count) in self.counts.iter().enumerate() {
            let count = *count as f64;
            if count > 0.0 && rank <= count {
                let (low, high) = bounds_us(bucket);
                return low + (high - low) * rank / count;
            }
            rank -= count;
        }
        0.0
    }
}

/// Returns the lower and the upper bound of a bucket in microseconds.
fn bounds_us(bucket: usize) -> (f64, f64) {
    match bucket {
        0 => (0.0, 0.0),
        bucket => {
            let high = 2_f64.powi(i32::try_from(bucket).unwrap_or(i32::MAX));
            (high / 2.0, high)
        }
    }
}
