//! Circuit breakers: what upstreams' own answers mean for the requests that follow.

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

/// How many requests at once are on trial when an upstream counts as recovered.
const RAMP_TOP: u32 = 8;

fn run(name: &str, born_ms: u64) -> InstanceId {
    let id: InstanceId = name.parse().unwrap();
    id.born_at(born_ms)
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms)
}

/// Returns a word for a time without requests, by an upstream of one daemon.
fn asked(backoff_ms: u64) -> BackoffRequest {
    BackoffRequest {
        backoff: BackoffTime(Duration::from_millis(backoff_ms)),
        daemons: 1,
        random: 0.0,
    }
}

/// Returns the breakers of a daemon that was asked for so much at time 0.
fn after_backoff_of(backoff_ms: u64) -> (Breakers, InstanceId) {
    let (mut breakers, id) = (Breakers::new().unwrap(), run("i-1", 1));
    breakers.record_backoff(&id, &asked(backoff_ms), at(0));
    (breakers, id)
}

/// Guards against a daemon that comes back before the time that was asked for is over.
#[test]
fn nothing_is_sent_until_the_backoff_ends_and_then_one_on_trial() {
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

/// Guards against a later refusal with a shorter time that ends a longer one.
#[rstest]
#[case::shorter(1_000, 3_000)]
#[case::as_long(2_500, 3_000)]
#[case::longer(4_000, 4_500)]
fn the_ends_are_counted_for_each_refusal(#[case] later_ms: u64, #[case] until_ms: u64) {
    let (mut breakers, id) = after_backoff_of(3_000);

    breakers.record_backoff(&id, &asked(later_ms), at(500));

    let admission = breakers.admission(&id, at(600));
    assert_eq!(admission, Admission::BackoffUntil(at(until_ms)));
}

/// Guards against an answer that was on its way and ends a backoff which was asked for after it.
#[test]
fn an_answer_to_an_earlier_trial_ends_no_backoff() {
    let (mut breakers, id) = after_backoff_of(1_000);
    breakers.admission(&id, at(1_000));
    let ticket = breakers.record_sent(&id).unwrap();
    breakers.record_backoff(&id, &asked(1_000), at(1_100));

    let has_recovered = breakers.end_trial(&id, ticket, true, at(1_200));

    assert!(!has_recovered);
    let admission = breakers.admission(&id, at(1_300));
    assert_eq!(admission, Admission::BackoffUntil(at(2_100)));
}

/// Guards against tickets of an earlier ramp that free places of the present one.
#[test]
fn a_trial_of_an_earlier_ramp_frees_no_place() {
    let (mut breakers, id) = after_backoff_of(1_000);
    breakers.admission(&id, at(1_000));
    let earlier = breakers.record_sent(&id).unwrap();
    breakers.record_backoff(&id, &asked(1_000), at(1_100));
    breakers.admission(&id, at(2_100));
    breakers.record_sent(&id).unwrap();

    breakers.end_trial(&id, earlier, true, at(2_150));

    assert_eq!(breakers.admission(&id, at(2_200)), Admission::TrialsTaken);
}

/// Guards against all that waits going at once to an upstream that has just recovered.
#[test]
fn an_upstream_gets_more_at_once_with_each_answer_until_it_has_its_share() {
    let (mut breakers, id) = after_backoff_of(1_000);
    let mut at_once = Vec::new();
    for round in 0.. {
        let now = at(1_000 + 10 * round);
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
    assert!(at_once.into_iter().sum::<usize>() < RAMP_TOP as usize);
}

/// Guards against a trial whose caller leaves and that keeps its place for good.
#[test]
fn a_trial_without_an_answer_frees_its_place() {
    let (mut breakers, id) = after_backoff_of(1_000);
    breakers.admission(&id, at(1_000));
    let ticket = breakers.record_sent(&id).unwrap();

    breakers.end_trial(&id, ticket, false, at(1_010));

    assert_eq!(breakers.admission(&id, at(1_020)), Admission::OnTrial);
}

/// Guards against requests to a run that leaves, whatever it says later, and against holding the
/// next run of the same upstream to it.
#[test]
fn a_run_that_leaves_gets_nothing_more_and_the_next_run_is_free() {
    let (mut breakers, id) = after_backoff_of(1_000);

    let is_news = breakers.record_leaving(&id, at(100));
    let is_news_again = breakers.record_leaving(&id, at(200));
    breakers.record_backoff(&id, &asked(50), at(300));

    assert_eq!((is_news, is_news_again), (true, false));
    assert_eq!(breakers.admission(&id, at(9_000)), Admission::Leaving);
    let next = breakers.admission(&run("i-1", 2), at(400));
    assert_eq!(next, Admission::Admitted);
}

#[rstest]
#[case::none(0, 0)]
#[case::an_hour(3_600_000, 3_600_000)]
#[case::no_more_than_a_day(u64::MAX / 2, 86_400_000)]
fn each_time_is_kept_as_it_was_asked_for(#[case] backoff_ms: u64, #[case] until_ms: u64) {
    let (mut breakers, id) = after_backoff_of(backoff_ms);

    breakers.forget(|_| false, at(until_ms.saturating_sub(1)));

    let before = breakers.admission(&id, at(until_ms.saturating_sub(1)));
    let after = breakers.admission(&id, at(until_ms));
    assert_eq!(before.is_admitted(), backoff_ms == 0);
    assert!(after.is_admitted());
}

/// Guards against all daemons coming back to an upstream in the moment in which its time ends.
#[rstest]
#[case::nine(9, 9)]
#[case::a_large_fleet(520, 50)]
fn daemons_that_were_asked_together_come_back_one_after_the_other(
    #[case] daemons: u32,
    #[case] most_in_100_ms: usize,
) {
    let backoff = BackoffTime(Duration::from_secs(3));
    let id = run("i-1", 1);
    let ends = (0..daemons).map(|daemon| {
        let asked = BackoffRequest {
            backoff,
            daemons,
            random: f64::from(daemon) / f64::from(daemons),
        };
        let mut breakers = Breakers::new().unwrap();
        breakers.record_backoff(&id, &asked, at(0))
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

/// Guards against memory that grows with the runs that ever asked for something.
#[test]
fn no_more_breakers_are_kept_than_the_largest_fleet_has_engines() {
    let mut breakers = Breakers::new().unwrap();
    for number in 0..10_000 {
        breakers.record_backoff(&run(&format!("i-{number}"), 1), &asked(60_000), at(0));
    }

    let kept = (0..10_000).filter(|number| {
        let id = run(&format!("i-{number}"), 1);
        !breakers.admission(&id, at(1)).is_admitted()
    });

    assert_eq!(kept.count(), 8_192);
}
