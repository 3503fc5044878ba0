//! What is usual at a service, learnt from answers whose times are drawn here.

use std::time::Duration;

use cicadabend::{
    dispatch::{
        AnswerClass,
        BudgetSettings,
        LatencyBaseline,
        LatencyBaselines,
        RoutedRetryReason,
        WindowBudget, //
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
/// The slowness of an upstream that is as quick as others, and of one that is not.
const SOUND: f64 = 1.0;
const SLOW: f64 = 4.0;
/// The time from one answer to the next.
const PAUSE_MS: u64 = 50;

/// A service whose answers come one after the other.
struct Service {
    times: LatencyBaselines,
    class: AnswerClass,
    now_ms: u64,
    random: SmallRng,
}

impl Service {
    fn new() -> Self {
        Self {
            times: LatencyBaselines::new(LATE_QUANTILE),
            class: AnswerClass {
                service: "portal".parse().unwrap(),
                model: None,
                is_stream: false,
            },
            now_ms: 0,
            random: SmallRng::seed_from_u64(1),
        }
    }

    /// Takes in so many answers; each takes what is drawn for it.
    fn answers(&mut self, count: u32, draw: impl Fn(&mut SmallRng) -> (f64, f64)) {
        for _ in 0..count {
            self.now_ms += PAUSE_MS;
            let (took_ms, slowness) = draw(&mut self.random);
            let took = Duration::from_secs_f64(took_ms / 1_000.0);
            let now = Timestamp(self.now_ms);
            self.times.record_latency(&self.class, took, slowness, now);
        }
    }

    fn usual(&self) -> Option<LatencyBaseline> {
        self.times.baseline_for(&self.class, Timestamp(self.now_ms))
    }

    fn late_ms(&self) -> f64 {
        self.usual().unwrap().late_ms
    }
}

/// Returns whether a time is that one, as far as it is told apart.
fn is_about(one_ms: f64, other_ms: f64) -> bool {
    (one_ms / other_ms - 1.0).abs() <= 0.1
}

#[test]
fn nothing_is_usual_at_a_service_that_was_hardly_seen() {
    let mut service = Service::new();

    service.answers(19, |_| (300.0, SOUND));
    let before = service.usual();
    service.answers(1, |_| (300.0, SOUND));

    assert_eq!(before, None);
    assert_eq!(service.usual().unwrap().answers, 20);
}

/// Guards against one fleet's times in the code: each service has its own.
#[rstest]
#[case(5.0)]
#[case(20.0)]
#[case(300.0)]
#[case(1_200.0)]
#[case(5_000.0)]
fn what_always_takes_as_long_is_usual(#[case] took_ms: f64) {
    let mut service = Service::new();

    service.answers(200, |random| {
        (took_ms * random.random_range(0.95..1.05), SOUND)
    });

    let usual = service.usual().unwrap();
    assert!(is_about(usual.typical_ms, took_ms), "{usual:?}");
    assert!((usual.late_ms / took_ms) < 1.2, "{usual:?}");
}

/// Guards against patience that one slow upstream stretches for all.
#[test]
fn what_one_slow_upstream_of_eight_takes_is_not_usual() {
    let mut service = Service::new();

    service.answers(400, |random| match random.random_range(0..8) {
        0 => (1_000.0, SLOW),
        _ => (100.0, SOUND),
    });

    assert!(is_about(service.late_ms(), 100.0), "{}", service.late_ms());
}

/// Guards against requests that are all sent twice once a service as a whole has become slower.
#[rstest]
#[case::twice(2.0)]
#[case::ten_times(10.0)]
fn a_service_whose_times_grow_is_known_by_them_within_a_hundred_answers(#[case] factor: f64) {
    let mut service = Service::new();
    service.answers(400, |_| (100.0, SOUND));

    service.answers(100, |_| (100.0 * factor, factor));

    let late_ms = service.late_ms();
    assert!(is_about(late_ms, 100.0 * factor), "{late_ms}");
}

#[test]
fn a_service_that_has_become_quick_again_is_known_by_that() {
    let mut service = Service::new();
    service.answers(200, |_| (1_000.0, SOUND));

    service.answers(400, |_| (100.0, SOUND));

    assert!(is_about(service.late_ms(), 100.0), "{}", service.late_ms());
}

/// Guards against second attempts for each request of the longer kind.
#[test]
fn a_service_with_two_kinds_of_work_is_late_by_the_longer_one() {
    let mut service = Service::new();

    service.answers(600, |random| match random.random_range(0..20) {
        0 => (900.0, SOUND),
        _ => (60.0, SOUND),
    });

    let usual = service.usual().unwrap();
    assert!(is_about(usual.typical_ms, 60.0), "{usual:?}");
    assert!(is_about(usual.late_ms, 900.0), "{usual:?}");
}

#[test]
fn what_was_not_seen_for_minutes_is_forgotten() {
    let mut service = Service::new();
    service.answers(50, |_| (100.0, SOUND));

    service.now_ms += 300_000;
    service.times.forget_old(Timestamp(service.now_ms));

    assert_eq!(service.usual(), None);
}

fn window(requests: u32) -> WindowBudget {
    let mut budget = WindowBudget::new(BudgetSettings {
        ratio: 0.2,
        slack: 0,
        window: Duration::from_secs(10),
    });
    for _ in 0..requests {
        budget.record_request(Timestamp(0));
    }
    budget
}

/// Withdraws for a reason for as long as that is allowed; returns how often it was.
fn withdraw_all(budget: &mut WindowBudget, reason: RoutedRetryReason) -> u32 {
    let mut count = 0;
    while budget.withdraw(reason, 1, Timestamp(0)) {
        count += 1;
    }
    count
}

/// Guards against a burst of late requests that leaves a broken one without its repeat.
#[test]
fn what_broke_off_finds_a_repeat_after_what_is_late_and_what_was_not_run() {
    let mut budget = window(1_000);

    let late = withdraw_all(&mut budget, RoutedRetryReason::Late);
    let not_run = withdraw_all(&mut budget, RoutedRetryReason::NotRun);
    let broken = withdraw_all(&mut budget, RoutedRetryReason::Broken);

    assert_eq!((late, not_run, broken), (40, 104, 16));
    assert_eq!(budget.retries_left(1, Timestamp(0)), 0);
}

/// Guards against repeats for lateness while broken requests use the window up.
#[test]
fn what_is_late_gets_no_repeat_once_half_of_the_window_is_used() {
    let mut budget = window(1_000);
    for _ in 0..80 {
        assert!(budget.withdraw(RoutedRetryReason::Broken, 1, Timestamp(0)));
    }

    assert!(!budget.withdraw(RoutedRetryReason::Late, 1, Timestamp(0)));
    assert!(budget.withdraw(RoutedRetryReason::NotRun, 1, Timestamp(0)));
}
