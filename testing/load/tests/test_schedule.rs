//! Requests drawn from a workload.

mod common;

use cicadabend_load::{
    schedule::{
        Kind,
        draw, //
    },
    workload::Workload,
};
use common::workload;

fn long() -> Workload {
    Workload {
        arrivals_per_second: 200.0,
        duration_ms: 20_000,
        ..workload()
    }
}

#[test]
fn equal_seeds_draw_equal_requests() {
    let other = Workload { seed: 2, ..long() };

    assert_eq!(draw(&long(), "x"), draw(&long(), "x"));
    assert_ne!(draw(&long(), "x"), draw(&other, "x"));
}

#[test]
fn arrivals_keep_the_rate_and_teams_their_weights() {
    let requests = draw(&long(), "x");

    let expected = 4_000;
    assert!(
        requests.len().abs_diff(expected) < expected / 10,
        "{}",
        requests.len()
    );
    let first_team = requests.iter().filter(|r| r.team == 0).count();
    let share = first_team as f64 / requests.len() as f64;
    assert!((share - 0.3).abs() < 0.05, "{share}");
    assert!(requests.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn lengths_have_a_heavy_tail_within_bounds() {
    let workload = long();
    let requests = draw(&workload, "x");
    let lengths: Vec<_> = requests
        .iter()
        .filter_map(|request| match &request.kind {
            Kind::Model(ask) => Some(ask.output_tokens),
            Kind::Plain { .. } => None,
        })
        .collect();

    let bounds = workload.output_tokens;
    assert!(
        lengths
            .iter()
            .all(|l| (bounds.least..=bounds.most).contains(l))
    );
    let long = lengths.iter().filter(|l| **l >= bounds.least * 10).count();
    assert!(long > lengths.len() / 50, "{long} of {}", lengths.len());
}

#[test]
fn the_most_requests_bound_a_run() {
    let bounded = Workload {
        max_requests: 10,
        ..long()
    };

    assert_eq!(draw(&bounded, "x").len(), 10);
}
