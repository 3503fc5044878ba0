//! Latency baselines of a service, learnt from simulated answers.

use std::time::Duration;

use cicadabend::{
    dispatch::{
        AnswerClass,
        LatencyBaseline,
        LatencyBaselines, //
    },
    prelude::*,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use rstest::rstest;

const LATE_QUANTILE: f64 = 0.99;
/// The slowness of an upstream that is as fast as expected.
const REGULAR: f64 = 1.0;
/// The slowness of an upstream that takes four times as long as expected.
const SLOW: f64 = 4.0;
/// Interval between answers.
const ANSWER_INTERVAL_MS: u64 = 50;

/// A service whose answers arrive at regular intervals.
struct Service {
    baselines: LatencyBaselines,
    class: AnswerClass,
    now_ms: u64,
    random: SmallRng,
}

impl Service {
    fn new() -> Self {
        Self {
            baselines: LatencyBaselines::new(LATE_QUANTILE),
            class: AnswerClass {
                service: "portal".parse().unwrap(),
                model: None,
                is_stream: false,
            },
            now_ms: 0,
            random: SmallRng::seed_from_u64(1),
        }
    }

    /// Records `count` answers; `sample` returns the time of each in milliseconds, and its
    /// upstream's slowness.
    fn record_answers(&mut self, count: u32, sample: impl Fn(&mut SmallRng) -> (f64, f64)) {
        for _ in 0..count {
            self.now_ms += ANSWER_INTERVAL_MS;
            let (took_ms, slowness) = sample(&mut self.random);
            let took = Duration::from_secs_f64(took_ms / 1_000.0);
            let now = Timestamp(self.now_ms);
            self.baselines
                .record_latency(&self.class, took, slowness, now);
        }
    }

    fn baseline(&self) -> Option<LatencyBaseline> {
        self.baselines
            .baseline_for(&self.class, Timestamp(self.now_ms))
    }

    fn late_ms(&self) -> f64 {
        self.baseline().unwrap().late_ms
    }
}

/// Returns whether two times are equal within the resolution of the histograms.
fn is_close(one_ms: f64, other_ms: f64) -> bool {
    (one_ms / other_ms - 1.0).abs() <= 0.1
}

#[test]
fn a_service_with_few_answers_has_no_baseline() {
    let mut service = Service::new();

    service.record_answers(19, |_| (300.0, REGULAR));
    let before = service.baseline();
    service.record_answers(1, |_| (300.0, REGULAR));

    assert_eq!(before, None);
    assert_eq!(service.baseline().unwrap().answers, 20);
}

/// Guards against fixed times in the code that suit one fleet only: each service has its own.
#[rstest]
#[case(5.0)]
#[case(20.0)]
#[case(300.0)]
#[case(1_200.0)]
#[case(5_000.0)]
fn equal_times_become_the_baseline(#[case] took_ms: f64) {
    let mut service = Service::new();

    service.record_answers(200, |random| {
        (took_ms * random.random_range(0.95..1.05), REGULAR)
    });

    let baseline = service.baseline().unwrap();
    assert!(is_close(baseline.typical_ms, took_ms), "{baseline:?}");
    assert!((baseline.late_ms / took_ms) < 1.2, "{baseline:?}");
}

/// Guards against one slow upstream that delays retries at all others.
#[test]
fn one_slow_upstream_of_eight_does_not_change_the_baseline() {
    let mut service = Service::new();

    service.record_answers(400, |random| match random.random_range(0..8) {
        0 => (1_000.0, SLOW),
        _ => (100.0, REGULAR),
    });

    assert!(is_close(service.late_ms(), 100.0), "{}", service.late_ms());
}

/// Guards against retries of all requests once a service as a whole has become slower.
#[rstest]
#[case::twice(2.0)]
#[case::ten_times(10.0)]
fn a_baseline_follows_growing_times_within_a_hundred_answers(#[case] factor: f64) {
    let mut service = Service::new();
    service.record_answers(400, |_| (100.0, REGULAR));

    service.record_answers(100, |_| (100.0 * factor, factor));

    let late_ms = service.late_ms();
    assert!(is_close(late_ms, 100.0 * factor), "{late_ms}");
}

#[test]
fn a_baseline_follows_falling_times() {
    let mut service = Service::new();
    service.record_answers(200, |_| (1_000.0, REGULAR));

    service.record_answers(400, |_| (100.0, REGULAR));

    assert!(is_close(service.late_ms(), 100.0), "{}", service.late_ms());
}

/// Guards against retries of all requests of the longer kind.
#[test]
fn a_service_with_two_kinds_of_work_is_late_by_the_longer_kind() {
    let mut service = Service::new();

    service.record_answers(600, |random| match random.random_range(0..20) {
        0 => (900.0, REGULAR),
        _ => (60.0, REGULAR),
    });

    let baseline = service.baseline().unwrap();
    assert!(is_close(baseline.typical_ms, 60.0), "{baseline:?}");
    assert!(is_close(baseline.late_ms, 900.0), "{baseline:?}");
}

#[test]
fn a_baseline_is_dropped_after_five_minutes_without_answers() {
    let mut service = Service::new();
    service.record_answers(50, |_| (100.0, REGULAR));

    service.now_ms += 300_000;
    service.baselines.forget_old(Timestamp(service.now_ms));

    assert_eq!(service.baseline(), None);
}
