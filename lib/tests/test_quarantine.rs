//! Which requests are refused because upstreams end with them.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    quarantine::{
        Change,
        CrashSpread,
        CrashUpdate,
        Fingerprint,
        KnownCrashes,
        Observation,
        SuspectStatus, //
    },
};
use proptest::prelude::*;
use rstest::rstest;

/// The first quarantine of a request.
const FIRST_HOLD_MS: u64 = 120_000;
/// A quarantine ends at the last daemon later than at the first by less than this part.
const END_SPREAD: u64 = 4;

fn daemon(name: &str) -> CrashSpread {
    CrashSpread::new(&name.parse().unwrap())
}

fn fingerprint(body: &str) -> Fingerprint {
    let team: TeamName = "team-a".parse().unwrap();
    Fingerprint::of(Some(&team), "/path", body.as_bytes())
}

fn standing(spread: &mut CrashSpread, body: &str, at_ms: u64) -> SuspectStatus {
    // A crash that changes nothing makes the table anew.
    let other = fingerprint("another request that nobody asks about");
    spread.observe(other, Observation::Crashed(1), Timestamp(at_ms));
    let table = spread.changed_table();
    let table = table.unwrap_or_else(|| all_anew(spread, at_ms));
    table.suspect_status(&fingerprint(body), Timestamp(at_ms))
}

fn all_anew(spread: &CrashSpread, at_ms: u64) -> cicadabend::quarantine::SuspectTable {
    let mut copy = daemon("copy");
    copy.handle_crash_update(&spread.all(Timestamp(at_ms)), Timestamp(at_ms));
    copy.changed_table().unwrap_or_default()
}

fn crash(spread: &mut CrashSpread, body: &str, number: u32, at_ms: u64) -> Option<Change> {
    let observation = Observation::Crashed(number);
    spread.observe(fingerprint(body), observation, Timestamp(at_ms))
}

/// Returns a daemon that has seen three crashes of one request, the last at 3,000 ms.
fn after_three_crashes() -> CrashSpread {
    let mut spread = daemon("entry");
    for number in 1..=3 {
        crash(&mut spread, "fatal", number, u64::from(number) * 1_000);
    }
    spread
}

#[rstest]
#[case::another_team(Some("team-b"), "/path", "body")]
#[case::no_team(None, "/path", "body")]
#[case::another_path(Some("team-a"), "/path?query", "body")]
#[case::another_body(Some("team-a"), "/path", "body.")]
#[case::the_border_moved(Some("team-a"), "/pathb", "ody")]
fn other_requests_have_other_fingerprints(
    #[case] team: Option<&str>,
    #[case] path: &str,
    #[case] body: &str,
) {
    let team: Option<TeamName> = team.map(|team| team.parse().unwrap());

    let other = Fingerprint::of(team.as_ref(), path, body.as_bytes());

    assert_ne!(other, fingerprint("body"));
}

#[test]
fn a_fingerprint_is_read_back_as_it_is_written() {
    let written = fingerprint("body").to_string();

    assert_eq!(written.parse::<Fingerprint>().unwrap(), fingerprint("body"));
    assert!("00".parse::<Fingerprint>().is_err());
    assert!("x".repeat(32).parse::<Fingerprint>().is_err());
}

#[rstest]
#[case::the_first_ever(0, 0, 0, 1)]
#[case::after_one_known(1, 1, 0, 2)]
#[case::the_second_on_its_way(0, 0, 1, 2)]
#[case::the_second_on_its_way_is_known_by_now(0, 1, 1, 2)]
#[case::the_second_on_its_way_after_one_elsewhere(1, 1, 1, 3)]
#[case::others_were_told_of_meanwhile(0, 2, 1, 3)]
fn a_crash_is_counted_after_those_known_and_those_on_its_way(
    #[case] at_first: u32,
    #[case] at_last: u32,
    #[case] ended_before: u32,
    #[case] expected: u32,
) {
    // A caller's request ends a fourth upstream, because the daemon that repeated it counted
    // either the crash that it had heard of or the one that it had just seen, not both.
    let known = KnownCrashes { at_first, at_last };

    assert_eq!(known.next_crash_number(ended_before), expected);
}

#[test]
fn a_request_is_quarantined_by_its_third_crash() {
    let mut spread = daemon("entry");

    let changes = [1, 2, 3].map(|number| crash(&mut spread, "fatal", number, 1_000));

    let expected = Change::Quarantined {
        fingerprint: fingerprint("fatal"),
        crashes: 3,
        hold: Duration::from_millis(FIRST_HOLD_MS),
    };
    assert_eq!(changes, [None, None, Some(expected)]);
}

#[test]
fn upstreams_that_end_together_count_as_one_crash_of_what_they_ran() {
    // Callers of a popular request are refused for minutes, because the service's three
    // upstreams were killed at one moment and each of them had it. Whoever sent it knew of no
    // crash then, so none of the three came after another.
    let mut spread = daemon("entry");
    for _ in 0..3 {
        crash(&mut spread, "popular", 1, 1_000);
    }

    assert_eq!(
        standing(&mut spread, "popular", 1_100),
        SuspectStatus::Suspected
    );
}

#[test]
fn a_request_that_ran_to_a_good_end_starts_from_nothing() {
    // A popular request meets the ends of upstreams that have other reasons, again and again.
    // Between two of them it runs well.
    let mut spread = daemon("entry");
    crash(&mut spread, "popular", 1, 1_000);
    crash(&mut spread, "popular", 2, 2_000);
    assert_eq!(
        standing(&mut spread, "popular", 2_100),
        SuspectStatus::Doubtful
    );

    let cleared = Observation::Cleared;
    spread.observe(fingerprint("popular"), cleared, Timestamp(2_200));

    assert_eq!(
        standing(&mut spread, "popular", 2_300),
        SuspectStatus::Trusted
    );
}

#[test]
fn news_of_a_crash_before_a_good_end_brings_no_suspicion_back() {
    let mut spread = daemon("entry");
    crash(&mut spread, "popular", 2, 2_000);
    spread.observe(
        fingerprint("popular"),
        Observation::Cleared,
        Timestamp(2_200),
    );
    let late = CrashUpdate {
        observations: vec![(fingerprint("popular"), Observation::Crashed(2), 1_000)],
    };

    spread.handle_crash_update(&late, Timestamp(3_000));

    assert_eq!(
        standing(&mut spread, "popular", 3_000),
        SuspectStatus::Trusted
    );
}

#[test]
fn a_quarantine_ends_in_a_trial_and_doubles_with_a_further_crash() {
    // A request that ended upstreams for a reason that has gone must be let through again; one
    // that still ends them must do so ever more seldom.
    let mut spread = after_three_crashes();
    let quarantined = |standing| matches!(standing, SuspectStatus::Quarantined { .. });
    assert!(quarantined(standing(
        &mut spread,
        "fatal",
        3_000 + FIRST_HOLD_MS - 1
    )));
    let over_ms = 3_000 + FIRST_HOLD_MS + FIRST_HOLD_MS / END_SPREAD;
    assert_eq!(
        standing(&mut spread, "fatal", over_ms),
        SuspectStatus::OnTrial
    );

    crash(&mut spread, "fatal", 4, over_ms);

    let doubled_ms = over_ms + 2 * FIRST_HOLD_MS;
    assert!(quarantined(standing(&mut spread, "fatal", doubled_ms - 1)));
}

#[test]
fn quarantines_do_not_end_at_all_daemons_at_once() {
    // Ended everywhere at one moment, each daemon would let the request through before the
    // first could tell of the crash.
    let ends = |number: usize| {
        let mut spread = daemon(&format!("entry-{number}"));
        for crashes in 1..=3 {
            crash(&mut spread, "fatal", crashes, 1_000);
        }
        match standing(&mut spread, "fatal", 1_000) {
            SuspectStatus::Quarantined { until } => until.0,
            other => panic!("{other:?}"),
        }
    };
    let mut ends: Vec<u64> = (0..9).map(ends).collect();
    ends.sort();

    let second_after_first_ms = ends[1] - ends[0];
    // 520 daemons share the spread of 30 s; what nine draw lies some seconds apart.
    assert!(second_after_first_ms >= 100, "{ends:?}");
    assert!(ends[8] - ends[0] <= FIRST_HOLD_MS / END_SPREAD, "{ends:?}");
}

#[test]
fn a_daemon_that_started_since_knows_what_all_know() {
    // The crashes lie before the newcomer's clock began.
    let spread = after_three_crashes();
    let all = spread.all(Timestamp(63_000));
    let mut newcomer = daemon("newcomer");

    newcomer.handle_crash_update(&all, Timestamp(10));

    let left_ms = FIRST_HOLD_MS - 60_000;
    match standing(&mut newcomer, "fatal", 10) {
        SuspectStatus::Quarantined { until } => {
            let most = 10 + left_ms + FIRST_HOLD_MS / END_SPREAD;
            assert!((10 + left_ms..=most).contains(&until.0), "{until}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_flood_of_different_requests_pushes_out_none_that_is_quarantined() {
    let mut spread = after_three_crashes();
    for number in 0..10_000 {
        crash(&mut spread, &format!("flood {number}"), 1, 4_000 + number);
    }

    let all = spread.all(Timestamp(20_000)).observations;
    let kept: BTreeSet<Fingerprint> = all.iter().map(|(kept, ..)| *kept).collect();
    assert_eq!(kept.len(), 2_048);
    let is_held = matches!(
        standing(&mut spread, "fatal", 20_000),
        SuspectStatus::Quarantined { .. }
    );
    assert!(is_held);
}

#[test]
fn crashes_are_forgotten_in_time() {
    let mut spread = after_three_crashes();
    crash(&mut spread, "once", 1, 3_000);

    spread.forget_old(Timestamp(3_000 + 900_000));

    assert_eq!(spread.all(Timestamp(1_000_000)), CrashUpdate::default());
    assert_eq!(
        spread.own_update(Timestamp(1_000_000)),
        CrashUpdate::default()
    );
}

#[test]
fn what_is_told_is_told_three_times_and_not_for_ever() {
    // Two relays tell each other all that is new to them; every age leaves out the way.
    let mut relays = [daemon("one"), daemon("other")];
    crash(&mut relays[0], "fatal", 1, 0);

    let mut told = 0;
    for now_ms in (0..20_000).step_by(50) {
        for from in 0..2 {
            let news = relays[from].take_due_update(Timestamp(now_ms));
            told += news.observations.len();
            let _ = relays[1 - from].handle_and_relay_crash_update(&news, Timestamp(now_ms + 40));
        }
    }

    assert_eq!(told, 6);
}

proptest! {
    #[test]
    fn daemons_that_were_told_the_same_agree(
        observed in proptest::collection::vec((0..4_u8, 1..6_u32, 0..9_u32, any::<bool>()), 1..20),
        order in any::<u64>(),
    ) {
        // What decides, whether a request is quarantined, must not depend on who told it first.
        let news: Vec<CrashUpdate> = observed
            .iter()
            .map(|(body, crashes, age_steps, is_crash)| CrashUpdate {
                observations: vec![(
                    fingerprint(&body.to_string()),
                    match is_crash {
                        true => Observation::Crashed(*crashes),
                        false => Observation::Cleared,
                    },
                    // Ages less than a margin apart count as the same.
                    *age_steps * 2_000,
                )],
            })
            .collect();
        let mut turned = news.clone();
        turned.rotate_left((order % news.len() as u64) as usize);
        let mut daemons = [daemon("one"), daemon("other")];

        for (one, other) in news.iter().zip(&turned) {
            daemons[0].handle_crash_update(one, Timestamp(20_000));
            daemons[1].handle_crash_update(other, Timestamp(20_000));
        }

        for body in 0..4_u8 {
            let crashes = daemons.each_mut().map(|daemon| {
                let table = all_anew(daemon, 20_000);
                table.get(&fingerprint(&body.to_string())).map(|known| known.crashes)
            });
            prop_assert_eq!(crashes[0], crashes[1]);
        }
    }
}
