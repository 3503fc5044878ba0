//! Attribution of crashes to the prompt parts that cause them.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cicadabend::{
    prelude::*,
    quarantine::{
        CrashId,
        CrashReport,
        Fingerprint,
        ModelPart,
        PartChange,
        PartSpread,
        PartTable,
        SuspectStatus, //
    },
    registry::InstanceId, //
};
use proptest::prelude::*;
use rstest::rstest;

/// Length of the first quarantine of a part.
const FIRST_HOLD_MS: u64 = 300_000;
/// A quarantine ends at the last daemon later than at the first by at most its length divided by
/// this.
const END_SPREAD: u64 = 4;
/// How old an answer may be to clear a part of a crash.
const ANSWER_VALIDITY_MS: u64 = 2_000;
/// After so many crashes a part must be known, by all daemons within so long; and how many requests
/// with it may be sent later.
const MAX_CRASHES_BORNE: usize = 5;
const CONTACT_MS: u64 = 3_000;
const TOLERATED: usize = 3;
/// Time from the sending of a request until the crash that it causes.
const UNTIL_CRASH_MS: u64 = 100;

fn daemon(name: &str) -> PartSpread {
    PartSpread::new(&name.parse().unwrap())
}

fn part(name: &str) -> ModelPart {
    ModelPart::of(&"portal".parse().unwrap(), Some("large"), name)
}

fn crash_id(number: u64) -> CrashId {
    let instance: InstanceId = format!("i-{number}").parse().unwrap();
    CrashId::of(&instance)
}

/// Returns a crash at which the daemon had requests with these parts, sent shortly before.
fn report(number: u64, at_ms: u64, parts: &[&str]) -> CrashReport {
    report_sent_at(number, at_ms, at_ms - UNTIL_CRASH_MS, parts)
}

fn report_sent_at(number: u64, at_ms: u64, sent_ms: u64, parts: &[&str]) -> CrashReport {
    let sent = parts.iter().map(|name| (part(name), Timestamp(sent_ms)));
    CrashReport {
        crash: crash_id(number),
        at: Timestamp(at_ms),
        sent: sent.collect(),
    }
}

fn crash(spread: &mut PartSpread, number: u64, at_ms: u64, parts: &[&str]) -> Vec<PartChange> {
    spread.observe_crash(&report(number, at_ms, parts), Timestamp(at_ms))
}

fn answer(spread: &mut PartSpread, name: &str, sent_ms: u64) -> Vec<PartChange> {
    let sent_at = Timestamp(sent_ms);
    spread.observe_answer(part(name), sent_at, Timestamp(sent_ms + 1_000))
}

/// Returns the table that the daemon's observations lead to, at another daemon.
fn table(spread: &PartSpread, at_ms: u64) -> PartTable {
    let mut copy = daemon("copy");
    copy.handle_update(&spread.all(Timestamp(at_ms)), Timestamp(at_ms));
    copy.changed_table().unwrap_or_default()
}

/// Returns the status of a request with these parts.
fn status(spread: &PartSpread, names: &[&str], at_ms: u64) -> SuspectStatus {
    status_by(&table(spread, at_ms), names, at_ms)
}

fn status_by(table: &PartTable, names: &[&str], at_ms: u64) -> SuspectStatus {
    let parts: Vec<ModelPart> = names.iter().map(|name| part(name)).collect();
    let limit = table.limit(&parts, Timestamp(at_ms));
    limit.map_or(SuspectStatus::Trusted, |limit| limit.status)
}

fn is_refused(spread: &PartSpread, name: &str, at_ms: u64) -> bool {
    let status = status(spread, &[name], at_ms);
    matches!(status, SuspectStatus::Quarantined { .. })
}

/// Returns a daemon that has seen five crashes, one a second from 1,000 ms on, with the fatal part
/// and a part that all requests share.
fn after_five_crashes() -> PartSpread {
    let mut spread = daemon("entry");
    for number in 1..=5 {
        answer(&mut spread, "shared", number * 1_000 - 500);
        crash(&mut spread, number, number * 1_000, &["shared", "fatal"]);
    }
    spread
}

#[rstest]
#[case::another_part("portal", Some("large"), "other")]
#[case::another_model("portal", Some("small"), "fatal")]
#[case::no_model("portal", None, "fatal")]
#[case::another_service("desk", Some("large"), "fatal")]
#[case::the_border_moved("portal", Some("largef"), "atal")]
fn parts_of_other_names_services_and_models_are_other_parts(
    #[case] service: &str,
    #[case] model: Option<&str>,
    #[case] name: &str,
) {
    let other = ModelPart::of(&service.parse().unwrap(), model, name);

    assert_ne!(other, part("fatal"));
}

#[test]
fn a_part_present_at_three_crashes_that_no_other_part_shares_is_quarantined() {
    let mut spread = daemon("entry");

    let changes: Vec<PartChange> = (1..=3)
        .flat_map(|number| {
            let bystander = format!("session-{number}");
            crash(&mut spread, number, number * 1_000, &["fatal", &bystander])
        })
        .collect();

    let [
        PartChange::Quarantined {
            parts,
            crashes,
            hold,
            ..
        },
    ] = &changes[..]
    else {
        panic!("{changes:?}");
    };
    assert_eq!(
        (parts.as_slice(), *crashes),
        ([part("fatal").part].as_slice(), 3)
    );
    assert_eq!(hold.as_millis(), u128::from(FIRST_HOLD_MS));
    assert!(is_refused(&spread, "fatal", 3_000));
    assert!(!is_refused(&spread, "session-1", 3_000));
}

/// Guards against a quarantine of what all requests share: it is present at every crash.
#[test]
fn a_part_that_is_answered_beside_the_crashes_is_not_quarantined() {
    let spread = after_five_crashes();

    assert!(is_refused(&spread, "fatal", 5_000));
    assert!(!is_refused(&spread, "shared", 5_000));
}

/// Guards against a quarantine of what all requests share while nothing at all is answered.
#[test]
fn a_part_that_was_answered_before_is_not_held_responsible_along_with_one_that_never_was() {
    let mut spread = daemon("entry");
    answer(&mut spread, "shared", 1_000);

    for number in 1..=8 {
        let at_ms = 1_000 + ANSWER_VALIDITY_MS + number * 1_000;
        crash(&mut spread, number, at_ms, &["shared", "fatal"]);
    }

    assert!(is_refused(&spread, "fatal", 11_000));
    assert!(!is_refused(&spread, "shared", 11_000));
}

/// Guards against a part that was sound and crashes upstreams from now on, as with new weights.
#[test]
fn a_part_that_was_answered_before_is_quarantined_if_nothing_else_explains_the_crashes() {
    let mut spread = daemon("entry");
    answer(&mut spread, "fatal", 1_000);

    for number in 1..=5 {
        let bystander = format!("session-{number}");
        let at_ms = 1_000 + ANSWER_VALIDITY_MS + number * 1_000;
        crash(&mut spread, number, at_ms, &["fatal", &bystander]);
    }
    let while_nothing_is_answered = is_refused(&spread, "fatal", 8_000);
    answer(&mut spread, "another", 7_000);

    assert!(!while_nothing_is_answered);
    assert!(is_refused(&spread, "fatal", 8_000));
}

/// Guards against the refusal of a part whose requests have not been answered yet, while others have,
/// after a model that crashed for another reason is back.
#[test]
fn answers_of_others_after_the_last_crash_are_no_evidence_against_a_part() {
    let mut spread = daemon("entry");
    answer(&mut spread, "shared", 1_000);
    answer(&mut spread, "popular", 1_000);
    for number in 1..=4 {
        let at_ms = 1_000 + ANSWER_VALIDITY_MS + number * 1_000;
        crash(&mut spread, number, at_ms, &["shared", "popular"]);
    }

    answer(&mut spread, "shared", 10_000);

    assert!(!is_refused(&spread, "popular", 11_000));
}

/// Guards against the refusal of all requests of a model whose engines crash for another reason.
#[test]
fn a_part_that_all_requests_share_is_not_held_responsible_while_its_model_answers_nothing() {
    let mut spread = daemon("entry");
    answer(&mut spread, "shared", 1_000);

    for number in 1..=12 {
        let at_ms = 1_000 + ANSWER_VALIDITY_MS + number * 1_000;
        crash(&mut spread, number, at_ms, &["shared"]);
    }

    assert!(!is_refused(&spread, "shared", 16_000));
}

/// Guards against the refusal of sound requests that share a part with a request which crashes
/// upstreams as a whole.
#[test]
fn crashes_by_one_request_that_is_sent_again_are_not_held_against_its_parts() {
    let team: TeamName = "team-a".parse().unwrap();
    let fingerprint = Fingerprint::of(Some(&team), "/path", &[b"what ends an upstream"]);
    let mut spread = daemon("entry");

    for number in 1..=8 {
        let mut seen = report(number, number * 1_000, &["rare"]);
        let sent_at = seen.sent[0].1;
        seen.sent
            .push((part("rare").of_request(fingerprint), sent_at));
        spread.observe_crash(&seen, Timestamp(number * 1_000));
        assert!(!is_refused(&spread, "rare", number * 1_000));
    }
}

/// Guards against a session that is refused because its request and both retries met crashes.
#[test]
fn a_part_whose_requests_met_some_of_the_crashes_is_released() {
    let mut spread = daemon("entry");
    for number in 1..=3 {
        crash(&mut spread, number, number * 1_000, &["fatal", "session"]);
    }
    let while_ambiguous = is_refused(&spread, "session", 3_000);

    for number in 4..=5 {
        crash(&mut spread, number, number * 1_000, &["fatal"]);
    }

    assert!(!while_ambiguous);
    assert!(is_refused(&spread, "fatal", 5_000));
    assert!(!is_refused(&spread, "session", 5_000));
}

/// Guards against a quarantine of a sound part that no request without the fatal one has had so far.
#[test]
fn of_parts_that_are_always_together_only_the_whole_set_is_refused_until_one_is_answered() {
    let mut spread = daemon("entry");
    for number in 1..=5 {
        crash(&mut spread, number, number * 1_000, &["fatal", "companion"]);
    }
    let together = status(&spread, &["fatal", "companion"], 5_000);
    let alone = status(&spread, &["companion"], 5_000);

    answer(&mut spread, "companion", 6_000);

    assert!(matches!(together, SuspectStatus::Quarantined { .. }));
    assert_eq!(alone, SuspectStatus::Doubtful);
    assert!(is_refused(&spread, "fatal", 7_000));
    assert_eq!(
        status(&spread, &["companion"], 7_000),
        SuspectStatus::Trusted
    );
}

fn part_of_small_model(name: &str) -> ModelPart {
    ModelPart::of(&"portal".parse().unwrap(), Some("small"), name)
}

/// Returns whether requests for the other model are refused for the part.
fn is_refused_for_small_model(spread: &PartSpread, name: &str, at_ms: u64) -> bool {
    let limit = table(spread, at_ms).limit(&[part_of_small_model(name)], Timestamp(at_ms));
    limit.is_some_and(|limit| matches!(limit.status, SuspectStatus::Quarantined { .. }))
}

/// Guards against five more crashes for each model that requests with the part ask for.
#[test]
fn a_part_is_refused_for_all_models_that_have_not_answered_it() {
    let mut spread = after_five_crashes();
    assert!(is_refused_for_small_model(&spread, "fatal", 5_000));

    spread.observe_answer(
        part_of_small_model("fatal"),
        Timestamp(4_900),
        Timestamp(5_900),
    );

    assert!(!is_refused_for_small_model(&spread, "fatal", 6_000));
    assert!(is_refused(&spread, "fatal", 6_000));
}

#[test]
fn crashes_of_several_models_count_together() {
    let mut spread = daemon("entry");

    for number in 1..=4 {
        let at_ms = number * 1_000;
        let mut seen = report(number, at_ms, &["fatal"]);
        if number % 2 == 0 {
            seen.sent[0].0 = part_of_small_model("fatal");
        }
        spread.observe_crash(&seen, Timestamp(at_ms));
    }

    assert!(is_refused(&spread, "fatal", 4_000));
    assert!(is_refused_for_small_model(&spread, "fatal", 4_000));
}

/// Guards against a quarantine after a failure domain lost power: many upstreams had the part.
#[test]
fn crashes_at_one_moment_count_as_one() {
    let mut spread = daemon("entry");

    for number in 1..=8 {
        let at_ms = 10_000 + number * 10;
        spread.observe_crash(&report(number, at_ms, &["popular"]), Timestamp(at_ms));
    }

    assert!(!is_refused(&spread, "popular", 11_000));
}

#[test]
fn two_parts_that_crash_upstreams_in_turn_are_both_quarantined() {
    let mut spread = daemon("entry");

    for number in 1..=5 {
        crash(&mut spread, number, number * 1_000, &["one"]);
        crash(&mut spread, number + 10, number * 1_000 + 500, &["two"]);
    }

    assert!(is_refused(&spread, "one", 6_000));
    assert!(is_refused(&spread, "two", 6_000));
}

#[test]
fn an_answered_trial_releases_the_part_everywhere() {
    let mut spread = after_five_crashes();
    let trial_ms = 5_000 + FIRST_HOLD_MS + FIRST_HOLD_MS / END_SPREAD;
    let before = status(&spread, &["fatal"], trial_ms);

    let changes = answer(&mut spread, "fatal", trial_ms);

    assert_eq!(before, SuspectStatus::OnTrial);
    assert_eq!(
        changes,
        [PartChange::Released {
            parts: vec![part("fatal").part]
        }]
    );
    let after = status(&spread, &["fatal"], trial_ms);
    assert_eq!(after, SuspectStatus::Trusted);
}

/// Guards against trials that crash more than three upstreams within half an hour.
#[test]
fn each_trial_that_crashes_an_upstream_doubles_the_quarantine() {
    let mut spread = after_five_crashes();
    let mut at_ms = 5_000;
    let mut trials = 0;

    while at_ms < 1_800_000 {
        at_ms += 1_000;
        let status = status(&spread, &["fatal"], at_ms);
        if status == SuspectStatus::OnTrial {
            trials += 1;
            crash(&mut spread, 100 + trials, at_ms, &["fatal"]);
        }
        spread.forget_old(Timestamp(at_ms));
    }

    assert_eq!(trials, 2);
}

#[test]
fn crashes_that_several_daemons_saw_add_up_whatever_their_order() {
    let now = Timestamp(4_000);
    let mut daemons: Vec<PartSpread> = ["a", "b", "c"].map(daemon).into_iter().collect();
    for (number, spread) in (1..).zip(&mut daemons) {
        crash(spread, number, number * 1_000, &["fatal"]);
    }
    let updates: Vec<_> = daemons
        .iter()
        .map(|spread| spread.own_update(now))
        .collect();

    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut hub = daemon("hub");
        for index in order {
            hub.handle_and_relay_update(&updates[index], now);
            hub.handle_and_relay_update(&updates[index], now);
        }
        assert!(is_refused(&hub, "fatal", 4_000));
    }
}

#[test]
fn one_crash_that_several_daemons_saw_counts_once() {
    let mut hub = daemon("hub");
    for name in ["a", "b", "c", "d", "e"] {
        let mut spread = daemon(name);
        crash(&mut spread, 1, 1_000, &["fatal"]);
        hub.handle_and_relay_update(&spread.own_update(Timestamp(1_000)), Timestamp(1_000));
    }

    let table = table(&hub, 1_000);

    assert!(table.contains(part("fatal").part));
    assert_eq!(status_by(&table, &["fatal"], 1_000), SuspectStatus::Trusted);
}

#[test]
fn known_observations_are_not_relayed_again() {
    let now = Timestamp(6_000);
    let mut hub = daemon("hub");
    let update = after_five_crashes().all(now);
    hub.handle_and_relay_update(&update, now);
    for at_ms in [10_000, 11_000, 12_000] {
        hub.take_due_update(Timestamp(at_ms));
    }

    hub.handle_and_relay_update(&update, now);

    assert!(hub.take_due_update(Timestamp(13_000)).is_empty());
}

/// Guards against callers who make up parts: they fill the ledger, and one that matters is lost.
#[test]
fn a_flood_of_other_crashes_does_not_release_a_part() {
    let mut spread = after_five_crashes();

    for number in 0..1_000 {
        let names: Vec<String> = (0..50)
            .map(|own| format!("made-up-{number}-{own}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        crash(&mut spread, 1_000 + number, 6_000 + number * 10, &names);
        answer(&mut spread, &format!("sound-{number}"), 6_000 + number * 10);
    }

    assert!(is_refused(&spread, "fatal", 16_000));
    let update = spread.all(Timestamp(16_000));
    assert!(update.observations.len() <= 128 + 2_048);
}

#[test]
fn old_crashes_are_forgotten() {
    let mut spread = daemon("entry");
    crash(&mut spread, 1, 1_000, &["some"]);

    spread.forget_old(Timestamp(1_000 + 900_000));

    assert!(table(&spread, 901_000).is_empty());
}

proptest! {
    /// Guards against a part that goes on crashing upstreams, and against a quarantine of others,
    /// whatever runs beside it: each request has some sound parts, is sent again once if it breaks
    /// off, and all that do not break off are answered.
    #[test]
    fn among_random_requests_only_the_fatal_part_is_quarantined_and_soon(
        seed in any::<u64>(),
        upstreams in 4_usize..24,
        sound_parts in 1_u64..40,
        fatal_every in 3_u64..20,
    ) {
        let mut fleet = Fleet::new(seed, upstreams, sound_parts, fatal_every);

        fleet.play(30_000);

        prop_assert!(fleet.late_fatal <= TOLERATED, "{} sent", fleet.late_fatal);
        prop_assert_eq!(fleet.wrongly_refused, 0);
    }
}

/// A request at work.
#[derive(Clone, Debug)]
struct Running {
    upstream: usize,
    sent_ms: u64,
    until_ms: u64,
    sound: u64,
    is_fatal: bool,
    is_retry: bool,
}

/// Upstreams with random requests, and one daemon that sends them.
struct Fleet {
    random: u64,
    upstreams: usize,
    sound_parts: u64,
    fatal_every: u64,
    spread: PartSpread,
    table: PartTable,
    running: Vec<Running>,
    crashes: usize,
    fifth_crash_ms: Option<u64>,
    /// Requests with the fatal part that were sent although all daemons must know of it.
    late_fatal: usize,
    wrongly_refused: usize,
}

impl Fleet {
    const ANSWER_MS: u64 = 1_000;

    fn new(seed: u64, upstreams: usize, sound_parts: u64, fatal_every: u64) -> Self {
        Self {
            random: seed | 1,
            upstreams,
            sound_parts,
            fatal_every,
            spread: daemon("entry"),
            table: PartTable::default(),
            running: Vec::new(),
            crashes: 0,
            fifth_crash_ms: None,
            late_fatal: 0,
            wrongly_refused: 0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn play(&mut self, length_ms: u64) {
        for now_ms in (5_000..5_000 + length_ms).step_by(20) {
            self.end_requests(now_ms);
            let is_fatal = self.draw(self.fatal_every) == 0;
            let sound = self.draw(self.sound_parts);
            self.send(now_ms, sound, is_fatal, false);
        }
    }

    fn names(sound: u64, is_fatal: bool) -> Vec<String> {
        let own = format!("sound-{sound}");
        let mut names = vec!["shared".to_owned(), own];
        if is_fatal {
            names.push("fatal".to_owned());
        }
        names
    }

    fn send(&mut self, now_ms: u64, sound: u64, is_fatal: bool, is_retry: bool) {
        let names = Self::names(sound, is_fatal);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let status = status_by(&self.table, &names, now_ms);
        if matches!(status, SuspectStatus::Quarantined { .. }) {
            self.wrongly_refused += usize::from(!is_fatal);
            return;
        }
        if status == SuspectStatus::Doubtful && is_retry {
            return;
        }
        let must_be_known = self
            .fifth_crash_ms
            .is_some_and(|at_ms| now_ms > at_ms + CONTACT_MS);
        self.late_fatal += usize::from(is_fatal && must_be_known);
        let length_ms = match is_fatal {
            true => UNTIL_CRASH_MS + self.draw(200),
            false => Self::ANSWER_MS + self.draw(1_000),
        };
        let upstream = self.draw(self.upstreams as u64) as usize;
        self.running.push(Running {
            upstream,
            sent_ms: now_ms,
            until_ms: now_ms + length_ms,
            sound,
            is_fatal,
            is_retry,
        });
    }

    fn end_requests(&mut self, now_ms: u64) {
        let (over, still): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|one| one.until_ms <= now_ms);
        self.running = still;
        let crashed: Vec<usize> = over
            .iter()
            .filter(|one| one.is_fatal)
            .map(|one| one.upstream)
            .collect();
        for one in over.iter().filter(|one| !one.is_fatal) {
            for name in Self::names(one.sound, false) {
                let sent_at = Timestamp(one.sent_ms);
                self.spread
                    .observe_answer(part(&name), sent_at, Timestamp(now_ms));
            }
        }
        for upstream in crashed {
            self.crash(upstream, &over, now_ms);
        }
        if let Some(table) = self.spread.changed_table() {
            self.table = table;
        }
    }

    fn crash(&mut self, upstream: usize, over: &[Running], now_ms: u64) {
        self.crashes += 1;
        if self.crashes == MAX_CRASHES_BORNE {
            self.fifth_crash_ms = Some(now_ms);
        }
        let (mut broken, still): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|one| one.upstream == upstream);
        self.running = still;
        broken.extend(
            over.iter()
                .filter(|one| one.is_fatal && one.upstream == upstream)
                .cloned(),
        );
        let sent = broken.iter().flat_map(|one| {
            let names = Self::names(one.sound, one.is_fatal).into_iter();
            names.map(|name| (part(&name), Timestamp(one.sent_ms)))
        });
        let report = CrashReport {
            crash: crash_id(self.crashes as u64),
            at: Timestamp(now_ms),
            sent: sent.collect(),
        };
        self.spread.observe_crash(&report, Timestamp(now_ms));
        if let Some(table) = self.spread.changed_table() {
            self.table = table;
        }
        for one in broken.into_iter().filter(|one| !one.is_retry) {
            self.send(now_ms, one.sound, one.is_fatal, true);
        }
    }
}
