//! Choice of the upstream for a request.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use cicadabend::{
    dispatch::{
        LoadReport,
        LoadTracker,
        Outcome,
        most_urgent,
        urgency, //
    },
    prelude::*,
    registry::InstanceId, //
};
use rstest::rstest;

use crate::Choice;

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
fn an_upstream_with_unread_prompts_is_avoided() {
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
fn a_broken_upstream_is_paused_for_growing_times() {
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
fn slowness_decays_so_that_a_slow_upstream_is_tried_again() {
    // Guards against an upstream that gets no more requests after one bad measurement and can never
    // show that it has become fast again.
    let ids = ids();
    let mut loads = LoadTracker::default();
    loads.record_first_event_time(&ids[0], 4_000.0, 100.0, Timestamp(0));
    assert_eq!(chosen(&ids, None, &loads, 0).0, 1);

    assert!(loads.slowness(&ids[0], Timestamp(30_000)) < 1.01);
}

#[test]
fn requests_of_other_daemons_count_until_their_report_is_old() {
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
fn a_head_is_not_stalled_while_one_of_its_streams_makes_progress() {
    let ids = ids();
    let mut loads = LoadTracker::default();
    let pause = Duration::from_millis(400);
    loads.record_start(&ids[0], 10);
    loads.record_progress(&ids[0], Timestamp(1_000));

    assert!(!loads.record_stall(&ids[0], pause, Timestamp(1_100)));
    assert!(loads.record_stall(&ids[0], pause, Timestamp(1_400)));
}

#[test]
fn a_stalled_head_is_tried_by_one_request_at_a_time() {
    // Guards against requests that all go to a stalled head after its pause and wait in vain, since
    // its streams continue elsewhere and the head seems idle. One request at a time tries the head.
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
fn requests_of_other_daemons_count_fully_for_a_second_after_a_report() {
    // Guards against a full engine that seems half empty after 0.9 s without a report, so that all
    // daemons choose it at once and their callers wait in its queue.
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
fn a_lower_rank_goes_first_for_any_random_value(
    #[case] rank: u8,
    #[case] first: u8,
    #[case] last: u8,
) {
    let urgencies: BTreeSet<u8> = (0..100).map(|random| urgency(rank, random)).collect();

    assert_eq!(most_urgent(rank), first);
    assert_eq!(urgencies, (first..=last).collect());
}
