//! Quarantine of requests that crash their upstreams.

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

/// Length of the first quarantine of a request.
const FIRST_HOLD_MS: u64 = 120_000;
/// A quarantine ends at the last daemon later than at the first by at most its length divided by
/// this.
const END_SPREAD: u64 = 4;

fn daemon(name: &str) -> CrashSpread {
    CrashSpread::new(&name.parse().unwrap())
}

fn fingerprint(body: &str) -> Fingerprint {
    let team: TeamName = "team-a".parse().unwrap();
    Fingerprint::of(Some(&team), "/path", &[body])
}

/// Returns the status of the request with this body.
fn suspect_status(spread: &mut CrashSpread, body: &str, at_ms: u64) -> SuspectStatus {
    // A crash of an unrelated request forces a new table.
    let other = fingerprint("another request that nobody asks about");
    spread.observe(other, Observation::Crashed(1), Timestamp(at_ms));
    let table = spread.changed_table();
    let table = table.unwrap_or_else(|| rebuilt_table(spread, at_ms));
    table.suspect_status(&fingerprint(body), Timestamp(at_ms))
}

fn rebuilt_table(spread: &CrashSpread, at_ms: u64) -> cicadabend::quarantine::SuspectTable {
    let mut copy = daemon("copy");
    copy.handle_crash_update(&spread.all(Timestamp(at_ms)), Timestamp(at_ms));
    copy.changed_table().unwrap_or_default()
}

fn crash(spread: &mut CrashSpread, body: &str, number: u32, at_ms: u64) -> Option<Change> {
    let observation = Observation::Crashed(number);
    spread.observe(fingerprint(body), observation, Timestamp(at_ms))
}

/// Returns a daemon that has seen three crashes with one request, the last at 3,000 ms.
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

    let other = Fingerprint::of(team.as_ref(), path, &[body]);

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
#[case::the_second_attempt(0, 0, 1, 2)]
#[case::the_second_attempt_whose_first_crash_is_known_by_now(0, 1, 1, 2)]
#[case::the_second_attempt_after_a_crash_elsewhere(1, 1, 1, 3)]
#[case::others_were_reported_meanwhile(0, 2, 1, 3)]
fn a_crash_counts_after_known_ones_and_those_of_earlier_attempts(
    #[case] at_first: u32,
    #[case] at_last: u32,
    #[case] ended_before: u32,
    #[case] expected: u32,
) {
    // Guards against a request that crashes a fourth upstream because the daemon that retried the
    // request counted either the reported crash or the one that it had just seen, not both.
    let known = KnownCrashes { at_first, at_last };

    assert_eq!(known.next_crash_number(ended_before), expected);
}

#[test]
fn a_request_is_quarantined_after_its_third_crash() {
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
fn simultaneous_crashes_of_several_upstreams_count_as_one() {
    // Guards against a popular request that is quarantined for minutes because the service's three
    // upstreams were killed together and each was executing it. No sender knew of any crash then,
    // so none of the three crashes counts as a consecutive one.
    let mut spread = daemon("entry");
    for _ in 0..3 {
        crash(&mut spread, "popular", 1, 1_000);
    }

    assert_eq!(
        suspect_status(&mut spread, "popular", 1_100),
        SuspectStatus::Suspected
    );
}

#[test]
fn a_successful_execution_clears_the_crashes_before() {
    // Guards against the quarantine of a popular request that is being executed during several
    // crashes with other causes, but succeeds in between.
    let mut spread = daemon("entry");
    crash(&mut spread, "popular", 1, 1_000);
    crash(&mut spread, "popular", 2, 2_000);
    assert_eq!(
        suspect_status(&mut spread, "popular", 2_100),
        SuspectStatus::Doubtful
    );

    let cleared = Observation::Cleared;
    spread.observe(fingerprint("popular"), cleared, Timestamp(2_200));

    assert_eq!(
        suspect_status(&mut spread, "popular", 2_300),
        SuspectStatus::Trusted
    );
}

#[test]
fn a_late_update_about_a_crash_before_a_success_is_ignored() {
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
        suspect_status(&mut spread, "popular", 3_000),
        SuspectStatus::Trusted
    );
}

#[test]
fn a_quarantine_ends_in_a_trial_and_doubles_with_a_further_crash() {
    // A request that crashed upstreams for a reason that no longer exists must be admitted again. A
    // request that still crashes them must be tried ever more seldom.
    let mut spread = after_three_crashes();
    let quarantined = |status| matches!(status, SuspectStatus::Quarantined { .. });
    assert!(quarantined(suspect_status(
        &mut spread,
        "fatal",
        3_000 + FIRST_HOLD_MS - 1
    )));
    let over_ms = 3_000 + FIRST_HOLD_MS + FIRST_HOLD_MS / END_SPREAD;
    assert_eq!(
        suspect_status(&mut spread, "fatal", over_ms),
        SuspectStatus::OnTrial
    );

    crash(&mut spread, "fatal", 4, over_ms);

    let doubled_ms = over_ms + 2 * FIRST_HOLD_MS;
    assert!(quarantined(suspect_status(
        &mut spread,
        "fatal",
        doubled_ms - 1
    )));
}

#[test]
fn quarantines_end_at_different_times_at_different_daemons() {
    // Guards against daemons that all admit the request before the first one can report the crash,
    // because the quarantine ends everywhere at the same time.
    let ends = |number: usize| {
        let mut spread = daemon(&format!("entry-{number}"));
        for crashes in 1..=3 {
            crash(&mut spread, "fatal", crashes, 1_000);
        }
        match suspect_status(&mut spread, "fatal", 1_000) {
            SuspectStatus::Quarantined { until } => until.0,
            other => panic!("{other:?}"),
        }
    };
    let mut ends: Vec<u64> = (0..9).map(ends).collect();
    ends.sort();

    let second_after_first_ms = ends[1] - ends[0];
    // The ends at 520 daemons are spread over 30 s, so those at nine daemons are some seconds
    // apart.
    assert!(second_after_first_ms >= 100, "{ends:?}");
    assert!(ends[8] - ends[0] <= FIRST_HOLD_MS / END_SPREAD, "{ends:?}");
}

#[test]
fn a_new_daemon_learns_of_earlier_crashes() {
    // The crashes happened before the start of the new daemon's clock.
    let spread = after_three_crashes();
    let all = spread.all(Timestamp(63_000));
    let mut newcomer = daemon("newcomer");

    newcomer.handle_crash_update(&all, Timestamp(10));

    let left_ms = FIRST_HOLD_MS - 60_000;
    match suspect_status(&mut newcomer, "fatal", 10) {
        SuspectStatus::Quarantined { until } => {
            let most = 10 + left_ms + FIRST_HOLD_MS / END_SPREAD;
            assert!((10 + left_ms..=most).contains(&until.0), "{until}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_flood_of_different_requests_does_not_remove_a_quarantined_one() {
    let mut spread = after_three_crashes();
    for number in 0..10_000 {
        crash(&mut spread, &format!("flood {number}"), 1, 4_000 + number);
    }

    let all = spread.all(Timestamp(20_000)).observations;
    let fingerprints: BTreeSet<Fingerprint> =
        all.iter().map(|(fingerprint, ..)| *fingerprint).collect();
    assert_eq!(fingerprints.len(), 2_048);
    let is_held = matches!(
        suspect_status(&mut spread, "fatal", 20_000),
        SuspectStatus::Quarantined { .. }
    );
    assert!(is_held);
}

#[test]
fn crashes_expire() {
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
fn each_observation_is_announced_three_times_by_each_relay() {
    // Guards against two daemons that relay the same crash to each other without end, since the
    // ages in updates leave out their transit time.
    let mut relays = [daemon("one"), daemon("other")];
    crash(&mut relays[0], "fatal", 1, 0);

    let mut announced = 0;
    for now_ms in (0..20_000).step_by(50) {
        for from in 0..2 {
            let updates = relays[from].take_due_update(Timestamp(now_ms));
            announced += updates.observations.len();
            let _ =
                relays[1 - from].handle_and_relay_crash_update(&updates, Timestamp(now_ms + 40));
        }
    }

    assert_eq!(announced, 6);
}

proptest! {
    #[test]
    fn daemons_with_the_same_updates_agree_in_any_order(
        observed in proptest::collection::vec((0..4_u8, 1..6_u32, 0..9_u32, any::<bool>()), 1..20),
        order in any::<u64>(),
    ) {
        // Whether a request is quarantined must not depend on the order of updates.
        let updates: Vec<CrashUpdate> = observed
            .iter()
            .map(|(body, crashes, age_steps, is_crash)| CrashUpdate {
                observations: vec![(
                    fingerprint(&body.to_string()),
                    match is_crash {
                        true => Observation::Crashed(*crashes),
                        false => Observation::Cleared,
                    },
                    // Ages that differ by less than the tolerance count as the same.
                    *age_steps * 2_000,
                )],
            })
            .collect();
        let mut rotated = updates.clone();
        rotated.rotate_left((order % updates.len() as u64) as usize);
        let mut daemons = [daemon("one"), daemon("other")];

        for (one, other) in updates.iter().zip(&rotated) {
            daemons[0].handle_crash_update(one, Timestamp(20_000));
            daemons[1].handle_crash_update(other, Timestamp(20_000));
        }

        for body in 0..4_u8 {
            let crashes = daemons.each_mut().map(|daemon| {
                let table = rebuilt_table(daemon, 20_000);
                table.get(&fingerprint(&body.to_string())).map(|known| known.crashes)
            });
            prop_assert_eq!(crashes[0], crashes[1]);
        }
    }
}
