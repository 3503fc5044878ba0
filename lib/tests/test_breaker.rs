//! Circuit breakers: the effect of signals in upstreams' answers on later requests.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::time::Duration;

use cicadabend::{
    breaker::{
        Admission,
        BackoffRequest,
        Breakers, //
    },
    prelude::*,
    registry::InstanceId,
};
use rstest::rstest;

/// Number of concurrent trials at which an upstream counts as recovered.
const RECOVERED_TRIALS: u32 = 8;

fn instance(name: &str, born_ms: u64) -> InstanceId {
    let id: InstanceId = name.parse().unwrap();
    id.born_at(born_ms)
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms)
}

/// Returns an upstream's request for backoff; there is only one daemon.
fn backoff_request(backoff_ms: u64) -> BackoffRequest {
    BackoffRequest {
        backoff: BackoffTime(Duration::from_millis(backoff_ms)),
        daemons: 1,
        random: 0.0,
    }
}

/// Returns the breakers of a daemon that got a request for backoff at time 0.
fn after_backoff_of(backoff_ms: u64) -> (Breakers, InstanceId) {
    let (mut breakers, id) = (Breakers::new().unwrap(), instance("i-1", 1));
    breakers.record_backoff(&id, &backoff_request(backoff_ms), at(0));
    (breakers, id)
}

/// Guards against a daemon that sends requests before the requested backoff has ended.
#[test]
fn no_request_is_admitted_until_the_backoff_ends_and_then_one_trial() {
    let (mut breakers, id) = after_backoff_of(3_000);

    let early = breakers.admission(&id, at(2_999));
    let due = breakers.admission(&id, at(3_000));
    let ticket = breakers.record_sent(&id);
    let second = breakers.admission(&id, at(3_000));

    assert_eq!(early, Admission::BackoffUntil(at(3_000)));
    assert_eq!(due, Admission::OnTrial);
    assert!(ticket.is_some());
    assert_eq!(second, Admission::TrialsTaken);
}

/// Guards against a later request for a shorter backoff that ends a longer one.
#[rstest]
#[case::shorter(1_000, 3_000)]
#[case::as_long(2_500, 3_000)]
#[case::longer(4_000, 4_500)]
fn the_latest_end_of_all_requested_backoffs_counts(#[case] later_ms: u64, #[case] until_ms: u64) {
    let (mut breakers, id) = after_backoff_of(3_000);

    breakers.record_backoff(&id, &backoff_request(later_ms), at(500));

    let admission = breakers.admission(&id, at(600));
    assert_eq!(admission, Admission::BackoffUntil(at(until_ms)));
}

/// Guards against an answer to an earlier request that ends a backoff requested afterwards.
#[test]
fn an_answer_to_an_earlier_trial_does_not_end_a_backoff() {
    let (mut breakers, id) = after_backoff_of(1_000);
    breakers.admission(&id, at(1_000));
    let ticket = breakers.record_sent(&id).unwrap();
    breakers.record_backoff(&id, &backoff_request(1_000), at(1_100));

    let has_recovered = breakers.end_trial(&id, ticket, true, at(1_200));

    assert!(!has_recovered);
    let admission = breakers.admission(&id, at(1_300));
    assert_eq!(admission, Admission::BackoffUntil(at(2_100)));
}

/// Guards against a ticket of an earlier ramp that frees a trial slot of the current one.
#[test]
fn a_trial_of_an_earlier_ramp_frees_no_slot() {
    let (mut breakers, id) = after_backoff_of(1_000);
    breakers.admission(&id, at(1_000));
    let earlier = breakers.record_sent(&id).unwrap();
    breakers.record_backoff(&id, &backoff_request(1_000), at(1_100));
    breakers.admission(&id, at(2_100));
    breakers.record_sent(&id).unwrap();

    breakers.end_trial(&id, earlier, true, at(2_150));

    assert_eq!(breakers.admission(&id, at(2_200)), Admission::TrialsTaken);
}

/// Guards against all waiting requests being sent at once to an upstream that has just recovered.
#[test]
fn an_upstream_gets_more_concurrent_trials_with_each_answer_until_it_has_recovered() {
    let (mut breakers, id) = after_backoff_of(1_000);
    let mut at_once = Vec::new();
    for batch in 0.. {
        let now = at(1_000 + 10 * batch);
        let mut tickets = Vec::new();
        while breakers.admission(&id, now) == Admission::OnTrial {
            tickets.push(breakers.record_sent(&id).unwrap());
        }
        at_once.push(tickets.len());
        let ends = tickets
            .into_iter()
            .map(|ticket| breakers.end_trial(&id, ticket, true, now));
        if ends.filter(|is_recovered| *is_recovered).count() > 0 {
            break;
        }
    }

    assert_eq!(at_once, [1, 2, 4]);
    assert_eq!(breakers.admission(&id, at(2_000)), Admission::Admitted);
    assert!(at_once.into_iter().sum::<usize>() < RECOVERED_TRIALS as usize);
}

/// Guards against a trial slot that is never freed because the caller has left.
#[test]
fn a_trial_without_an_answer_frees_its_slot() {
    let (mut breakers, id) = after_backoff_of(1_000);
    breakers.admission(&id, at(1_000));
    let ticket = breakers.record_sent(&id).unwrap();

    breakers.end_trial(&id, ticket, false, at(1_010));

    assert_eq!(breakers.admission(&id, at(1_020)), Admission::OnTrial);
}

/// Guards against requests to an instance that leaves, whatever signals it sends later, and against
/// withholding requests from the next instance of the same upstream.
#[test]
fn an_instance_that_leaves_gets_no_requests_but_the_next_instance_does() {
    let (mut breakers, id) = after_backoff_of(1_000);

    let is_new = breakers.record_leaving(&id, at(100));
    let is_new_again = breakers.record_leaving(&id, at(200));
    breakers.record_backoff(&id, &backoff_request(50), at(300));

    assert_eq!((is_new, is_new_again), (true, false));
    assert_eq!(breakers.admission(&id, at(9_000)), Admission::Leaving);
    let next = breakers.admission(&instance("i-1", 2), at(400));
    assert_eq!(next, Admission::Admitted);
}

#[rstest]
#[case::none(0, 0)]
#[case::an_hour(3_600_000, 3_600_000)]
#[case::no_more_than_a_day(u64::MAX / 2, 86_400_000)]
fn each_backoff_lasts_as_long_as_requested(#[case] backoff_ms: u64, #[case] until_ms: u64) {
    let (mut breakers, id) = after_backoff_of(backoff_ms);

    breakers.forget(|_| false, at(until_ms.saturating_sub(1)));

    let before = breakers.admission(&id, at(until_ms.saturating_sub(1)));
    let after = breakers.admission(&id, at(until_ms));
    assert_eq!(before.is_admitted(), backoff_ms == 0);
    assert!(after.is_admitted());
}

/// Guards against all daemons resuming requests to an upstream at the moment when its backoff ends.
#[rstest]
#[case::nine(9, 9)]
#[case::a_large_fleet(520, 50)]
fn daemons_that_got_a_backoff_request_together_resume_one_after_the_other(
    #[case] daemons: u32,
    #[case] most_in_100_ms: usize,
) {
    let backoff = BackoffTime(Duration::from_secs(3));
    let id = instance("i-1", 1);
    let ends = (0..daemons).map(|daemon| {
        let backoff_request = BackoffRequest {
            backoff,
            daemons,
            random: f64::from(daemon) / f64::from(daemons),
        };
        let mut breakers = Breakers::new().unwrap();
        breakers.record_backoff(&id, &backoff_request, at(0))
    });
    let ends: Vec<Timestamp> = ends.collect();

    let within = |start: &Timestamp| {
        let inside = ends.iter().filter(|end| *end >= start);
        inside
            .filter(|end| end.since(*start) < Duration::from_millis(100))
            .count()
    };
    let most = ends.iter().map(within).max().unwrap();
    assert!(ends.iter().all(|end| *end >= at(3_000)));
    assert!(ends.iter().all(|end| *end <= at(6_000)));
    assert!(most <= most_in_100_ms, "{most} in 100 ms");
}

/// Guards against memory use that grows with the number of instances that ever requested backoff.
#[test]
fn the_number_of_breakers_is_limited_to_the_engines_of_the_largest_fleet() {
    let mut breakers = Breakers::new().unwrap();
    for number in 0..10_000 {
        breakers.record_backoff(
            &instance(&format!("i-{number}"), 1),
            &backoff_request(60_000),
            at(0),
        );
    }

    let refusing = (0..10_000).filter(|number| {
        let id = instance(&format!("i-{number}"), 1);
        !breakers.admission(&id, at(1)).is_admitted()
    });

    assert_eq!(refusing.count(), 8_192);
}
