//! Which upstream a request goes to, and how many may be sent once more.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use cicadabend::{
    dispatch::{
        BudgetSettings,
        LoadReport,
        LoadTracker,
        Outcome,
        RoutedRetryReason,
        WindowBudget,
        most_urgent,
        urgency, //
    },
    prelude::*,
    registry::InstanceId, //
};
use rstest::rstest;

use crate::Choice;

const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    slack: 90,
    window: Duration::from_secs(10),
};

#[test]
fn all_daemons_together_keep_the_bound_on_repeats() {
    // Nine daemons share the traffic unevenly and repeat whatever they may. In each
    // window the sum of repeats must stay within the share of all requests and the slack.
    let mut budgets: Vec<WindowBudget> = (0..9).map(|_| WindowBudget::new(SETTINGS)).collect();
    let (mut requests, mut repeats) = (0, 0);

    for ms in (0..10_000).step_by(20) {
        for (daemon, budget) in budgets.iter_mut().enumerate() {
            if ms % (20 * (daemon + 1) as u64) == 0 {
                budget.record_request(Timestamp(ms));
                requests += 1;
            }
            repeats += u32::from(budget.withdraw(RoutedRetryReason::Broken, 9, Timestamp(ms)));
        }
    }

    assert!(repeats > 0);
    assert!(f64::from(repeats) <= 0.2 * f64::from(requests) + 90.0);
}

#[test]
fn the_budget_forgets_what_is_older_than_the_window() {
    let mut budget = WindowBudget::new(BudgetSettings {
        slack: 10,
        ..SETTINGS
    });
    while budget.withdraw(RoutedRetryReason::Broken, 1, Timestamp(0)) {}

    assert!(!budget.withdraw(RoutedRetryReason::Broken, 1, Timestamp(9_000)));
    assert!(budget.withdraw(RoutedRetryReason::Broken, 1, Timestamp(10_000)));
}

fn chosen(
    ids: &[InstanceId],
    suspect: Option<usize>,
    loads: &LoadTracker,
    now: u64,
) -> (usize, bool) {
    let choice = Choice {
        suspect,
        prompt_tokens: 1_000,
        ..Choice::among(ids, 8)
    };
    let chosen = choice.make(loads, Timestamp(now), 7);
    (chosen.index, chosen.is_full)
}

fn ids() -> [InstanceId; 2] {
    ["i-1".parse().unwrap(), "i-2".parse().unwrap()]
}

#[test]
fn prompts_that_are_not_read_yet_make_an_upstream_wait() {
    let ids = ids();
    let mut loads = LoadTracker::default();
    loads.record_start(&ids[0], 20_000);

    assert_eq!(chosen(&ids, None, &loads, 0).0, 1);
}

#[test]
fn a_suspect_is_used_only_if_all_others_are_far_worse() {
    let ids = ids();
    let mut loads = LoadTracker::default();
    assert_eq!(chosen(&ids, Some(0), &loads, 0).0, 1);

    loads.record_outcome(&ids[1], Outcome::Broken, Timestamp(0));

    assert_eq!(chosen(&ids, Some(0), &loads, 0).0, 0);
}

#[test]
fn an_upstream_that_broke_is_left_alone_for_a_while_and_tried_again() {
    let ids = ids();
    let mut loads = LoadTracker::default();
    loads.record_outcome(&ids[0], Outcome::Broken, Timestamp(0));
    assert!(loads.is_paused(&ids[0], Timestamp(300)));

    loads.record_outcome(&ids[0], Outcome::Broken, Timestamp(500));

    assert!(
        loads.is_paused(&ids[0], Timestamp(1_200)),
        "the pause grows"
    );
    assert!(!loads.is_paused(&ids[0], Timestamp(1_400)));
}

#[test]
fn slowness_is_forgotten_so_that_a_slow_upstream_is_tried_again() {
    // One measurement is bad. Without forgetting, the upstream would get no request any
    // more and could never show that it is fast again.
    let ids = ids();
    let mut loads = LoadTracker::default();
    loads.record_first_event_time(&ids[0], 4_000.0, 100.0, Timestamp(0));
    assert_eq!(chosen(&ids, None, &loads, 0).0, 1);

    assert!(loads.slowness(&ids[0], Timestamp(30_000)) < 1.01);
}

#[test]
fn what_others_have_at_an_upstream_counts_until_it_is_old() {
    let ids = ids();
    let mut loads = LoadTracker::default();
    let report = LoadReport {
        running: 8,
        waiting: 3,
    };
    for id in &ids {
        loads.observe_load_report(id, report, Timestamp(0));
    }

    assert!(chosen(&ids, None, &loads, 0).1, "both are full");
    assert!(!chosen(&ids, None, &loads, 6_000).1);
}

#[test]
fn a_stream_that_waits_while_others_go_on_does_not_stall_its_head() {
    let ids = ids();
    let mut loads = LoadTracker::default();
    let pause = Duration::from_millis(400);
    loads.record_start(&ids[0], 10);
    loads.record_progress(&ids[0], Timestamp(1_000));

    assert!(!loads.record_stall(&ids[0], pause, Timestamp(1_100)));
    assert!(loads.record_stall(&ids[0], pause, Timestamp(1_400)));
}

#[test]
fn an_upstream_that_stood_still_is_tried_by_one_request_at_a_time() {
    // A head stands still; its streams go on elsewhere, so it looks idle. Once its pause is
    // over, every caller would be sent there and wait in vain. One is, until it is answered.
    let ids = ids();
    let mut loads = LoadTracker::default();
    for _ in 0..4 {
        loads.record_start(&ids[1], 1_000);
    }
    loads.record_stall(&ids[0], Duration::from_millis(600), Timestamp(0));
    assert_eq!(chosen(&ids, None, &loads, 100).0, 1);

    let first = chosen(&ids, None, &loads, 500).0;
    loads.record_start(&ids[0], 1_000);
    let second = chosen(&ids, None, &loads, 510).0;
    loads.record_outcome(&ids[0], Outcome::Answered, Timestamp(700));
    let third = chosen(&ids, None, &loads, 710).0;

    assert_eq!((first, second, third), (0, 1, 0));
}

#[test]
fn what_others_had_at_an_upstream_is_taken_to_be_there_for_a_second() {
    // Nothing was heard of a full engine for 0.9 s. Believed to be half empty by then, it
    // would be chosen by all daemons at once, and their callers would wait behind its queue.
    let ids = ids();
    let mut loads = LoadTracker::default();
    let report = LoadReport {
        running: 8,
        waiting: 2,
    };
    loads.observe_load_report(&ids[0], report, Timestamp(0));

    assert_eq!(loads.outstanding(&ids[0], Timestamp(900)), 10.0);
    assert!(loads.outstanding(&ids[0], Timestamp(4_000)) < 3.0);
}

#[rstest]
#[case(0, 0, 3)]
#[case(1, 4, 7)]
#[case(2, 8, 9)]
#[case(200, 8, 9)]
fn a_lower_rank_goes_first_whatever_is_drawn(
    #[case] rank: u8,
    #[case] first: u8,
    #[case] last: u8,
) {
    let drawn: BTreeSet<u8> = (0..100).map(|random| urgency(rank, random)).collect();

    assert_eq!(most_urgent(rank), first);
    assert_eq!(drawn, (first..=last).collect());
}
