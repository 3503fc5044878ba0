//! Statistics by routing policy, summed over all entry daemons.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use cicadabend::{
    fleet::{
        FleetConfig,
        PlainService,
        RoutingArm,
        RoutingPolicy,
        Service,
        policy_statistics::{
            BUCKETS,
            PolicyTotals,
            bucket_of, //
        }, //
    },
    peer_api::PolicyStatisticsDelta,
    prelude::*,
};
use rstest::rstest;

fn delta(policy: RoutingPolicy, times_us: &[u64]) -> PolicyStatisticsDelta {
    let mut buckets = vec![0; BUCKETS];
    for time in times_us {
        buckets[bucket_of(*time)] += 1;
    }
    PolicyStatisticsDelta {
        service: "drafting-llm".parse().unwrap(),
        policy,
        requests: times_us.len() as u64,
        failures: 0,
        cache_hits: 1,
        first_token_sum_us: times_us.iter().sum(),
        first_token_sum_squares: times_us.iter().map(|time| (*time as f64).powi(2)).sum(),
        first_token_buckets: buckets.clone(),
        between_tokens_buckets: buckets,
    }
}

#[rstest]
#[case(0, 0)]
#[case(1, 1)]
#[case(2, 2)]
#[case(3, 2)]
#[case(4, 3)]
#[case(u64::MAX, 64)]
fn durations_fall_into_buckets_of_powers_of_two(#[case] duration_us: u64, #[case] bucket: usize) {
    assert_eq!(bucket_of(duration_us), bucket);
}

#[test]
fn statistics_of_all_daemons_are_summed_by_policy() {
    let mut totals = PolicyTotals::default();
    totals.add(&delta(RoutingPolicy::RoundRobin, &[1_000, 3_000]));
    totals.add(&delta(RoutingPolicy::RoundRobin, &[2_000, 2_000]));
    totals.add(&delta(RoutingPolicy::PrefixAffinity, &[500]));

    let statistics = totals.statistics();

    assert_eq!(statistics.len(), 2);
    let round_robin = &statistics[0];
    assert_eq!(round_robin.requests, 4);
    assert_eq!(round_robin.first_token_mean_ms, 2.0);
    assert_eq!(round_robin.cache_hit_percent, 50.0);
    // Variance of 1, 2, 2, 3 ms is 2/3; half the interval is 1.96 times the root of 2/3 / 4.
    assert!((round_robin.first_token_mean_ci_ms - 0.8).abs() < 0.01);
    assert!((1.024..=2.048).contains(&round_robin.first_token_p50_ms));
    assert!((2.048..=4.096).contains(&round_robin.first_token_p95_ms));
}

#[test]
fn statistics_of_no_requests_are_zero_rather_than_nan() {
    let mut totals = PolicyTotals::default();
    totals.add(&delta(RoutingPolicy::RoundRobin, &[]));

    let statistics = totals.statistics();

    assert_eq!(statistics[0].first_token_mean_ms, 0.0);
    assert_eq!(statistics[0].first_token_p95_ms, 0.0);
    assert_eq!(statistics[0].cache_hit_percent, 0.0);
}

#[test]
fn statistics_of_a_policy_no_longer_in_force_are_removed() {
    let mut totals = PolicyTotals::default();
    totals.add(&delta(RoutingPolicy::RoundRobin, &[1_000]));
    totals.add(&delta(RoutingPolicy::PrefixAffinity, &[1_000]));
    let service = Service::Plain(PlainService {
        routing: vec![RoutingArm {
            policy: RoutingPolicy::PrefixAffinity,
            share_percent: Percent(100),
        }],
        unsafe_methods_are_repeatable: false,
    });
    let config = FleetConfig {
        services: [("drafting-llm".parse().unwrap(), service)].into(),
        ..FleetConfig::default()
    };

    totals.retain_configured(&config);

    let policies: Vec<_> = totals
        .statistics()
        .iter()
        .map(|statistics| statistics.policy)
        .collect();
    assert_eq!(policies, vec![RoutingPolicy::PrefixAffinity]);
}
