//! Requests that run at most once, whatever is lost, delayed, doubled or restarted.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt::Debug,
    str::FromStr,
    time::Duration,
};

use cicadabend::{
    caller_api::ErrorCode,
    claims::{
        ClaimCoordinator,
        ClaimOutput,
        ClaimRecord,
        ClaimRefusal,
        ClaimReplica,
        ClaimTiming,
        NumberedRecord,
        ReplicaBounds, //
    },
    fleet::Voter,
    peer_api::{
        ClaimAction,
        ClaimKey,
        ClaimReply,
        ClaimRequest,
        ClaimVerdict,
        Claimant,
        StoredOutcome,
        VoterSet, //
    },
    prelude::*,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use rstest::rstest;

fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn key(text: &str) -> ClaimKey {
    ClaimKey {
        team: name("large"),
        key: name(text),
    }
}

fn voter(number: u64) -> Voter {
    Voter {
        daemon: name(&format!("control-{number}")),
        disk: number,
    }
}

fn voters(count: u64) -> VoterSet {
    VoterSet {
        number: 1,
        voters: (1..=count).map(voter).collect(),
    }
}

const BOUNDS: ReplicaBounds = ReplicaBounds {
    retention: Duration::from_secs(3_600),
    max_keys: 1_000,
    max_body_bytes: 100,
    max_total_body_bytes: 1_000,
};

fn outcome(body: &str) -> StoredOutcome {
    StoredOutcome {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Some(body.as_bytes().to_vec()),
    }
}

fn claimant(daemon: &str, attempt: u64) -> Claimant {
    Claimant {
        daemon: name(daemon),
        boot: BootId(1),
        attempt,
    }
}

fn replica(number: u64, records: Vec<NumberedRecord>) -> ClaimReplica {
    ClaimReplica::recover(voter(number), BOUNDS, records, Timestamp(0))
}

/// Asks a replica directly, as one of three voters, and commits.
fn ask(replica: &mut ClaimReplica, key_text: &str, action: ClaimAction) -> ClaimVerdict {
    let request = ClaimRequest {
        question: 1,
        key: key(key_text),
        voters_number: 1,
        action,
    };
    let handled = replica.handle(&request, &voters(3), Timestamp(0));
    replica.commit();
    handled.verdict
}

fn acquire(claimant: &Claimant, fingerprint: u64) -> ClaimAction {
    ClaimAction::Acquire {
        claimant: claimant.clone(),
        fingerprint,
    }
}

fn release(claimant: &Claimant) -> ClaimAction {
    ClaimAction::Release {
        claimant: claimant.clone(),
    }
}

fn complete(claimant: &Claimant, body: &str) -> ClaimAction {
    ClaimAction::Complete {
        claimant: claimant.clone(),
        fingerprint: 7,
        outcome: outcome(body),
    }
}

#[test]
fn a_replica_grants_a_key_to_one_attempt_and_tells_others_who_holds_it() {
    let mut replica = replica(1, Vec::new());
    let (first, second) = (claimant("entry-1", 1), claimant("entry-2", 1));

    let verdicts = [
        ask(&mut replica, "k", acquire(&first, 7)),
        ask(&mut replica, "k", acquire(&second, 8)),
        ask(&mut replica, "k", acquire(&first, 7)),
    ];

    let by_other = ClaimVerdict::HeldByOther {
        holder: first,
        fingerprint_differs: true,
    };
    assert_eq!(verdicts, [ClaimVerdict::Held, by_other, ClaimVerdict::Held]);
}

// The caller was told "not run" and its attempt released; then the network delivers the
// attempt's delayed Acquire. Holding the key again would block it for nobody.
#[test]
fn a_late_acquire_after_the_release_of_the_same_attempt_is_not_held() {
    let mut replica = replica(1, Vec::new());
    let (gone, next) = (claimant("entry-1", 1), claimant("entry-1", 2));

    let released = ask(&mut replica, "k", release(&gone));
    let late = ask(&mut replica, "k", acquire(&gone, 7));
    let of_next = ask(&mut replica, "k", acquire(&next, 7));

    assert_eq!(released, ClaimVerdict::Recorded);
    assert_eq!(late, ClaimVerdict::Unavailable);
    assert_eq!(of_next, ClaimVerdict::Held);
}

#[test]
fn an_outcome_is_told_again_also_by_a_replica_that_never_saw_the_claim() {
    let mut replica = replica(1, Vec::new());
    let first = claimant("entry-1", 1);
    ask(&mut replica, "k", complete(&first, "receipt 12"));

    let resend = ask(&mut replica, "k", acquire(&claimant("entry-2", 1), 7));
    let other_request = ask(&mut replica, "k", acquire(&claimant("entry-2", 2), 8));

    let told = |fingerprint_differs| ClaimVerdict::Completed {
        outcome: outcome("receipt 12"),
        fingerprint_differs,
    };
    assert_eq!(resend, told(false));
    assert_eq!(other_request, told(true));
}

#[test]
fn a_replica_recovers_its_claims_from_records_in_any_order() {
    let mut before = replica(1, Vec::new());
    let mut records = Vec::new();
    let (first, second) = (claimant("entry-1", 1), claimant("entry-2", 1));
    let actions = [
        ("a", acquire(&first, 7)),
        ("a", release(&first)),
        ("a", acquire(&second, 7)),
        ("b", complete(&first, "done")),
    ];
    for (key_text, action) in actions {
        let request = ClaimRequest {
            question: 1,
            key: key(key_text),
            voters_number: 1,
            action,
        };
        let handled = before.handle(&request, &voters(3), Timestamp(0));
        for record in handled.records {
            let bytes = record.to_bytes().unwrap();
            records.insert(0, NumberedRecord::from_bytes(&bytes).unwrap());
        }
    }

    let mut after = replica(1, records);

    let on_a = ask(&mut after, "a", acquire(&claimant("entry-3", 1), 7));
    let on_b = ask(&mut after, "b", acquire(&claimant("entry-3", 1), 7));
    assert!(matches!(on_a, ClaimVerdict::HeldByOther { holder, .. } if holder == second));
    assert!(matches!(on_b, ClaimVerdict::Completed { .. }));
}

#[test]
fn what_did_not_reach_the_disk_is_taken_back() {
    let mut replica = replica(1, Vec::new());
    let first = claimant("entry-1", 1);
    let request = ClaimRequest {
        question: 1,
        key: key("k"),
        voters_number: 1,
        action: acquire(&first, 7),
    };
    replica.handle(&request, &voters(3), Timestamp(0));

    replica.roll_back();

    assert!(replica.is_empty());
    let of_other = ask(&mut replica, "k", acquire(&claimant("entry-2", 1), 7));
    assert_eq!(of_other, ClaimVerdict::Held);
}

#[test]
fn a_full_replica_refuses_new_keys_and_forgets_none_before_retention_ends() {
    let mut replica = replica(1, Vec::new());
    let first = claimant("entry-1", 1);
    for number in 0..1_000 {
        ask(&mut replica, &format!("k{number}"), acquire(&first, 7));
    }

    let one_more = ask(&mut replica, "one-more", acquire(&first, 7));
    replica.expire(Timestamp(3_599_999));
    let before_end = replica.len();
    replica.expire(Timestamp(3_600_000));

    assert_eq!(one_more, ClaimVerdict::Unavailable);
    assert_eq!((before_end, replica.len()), (1_000, 0));
}

// The bounds are 100 bytes for a body and 1,000 for all; each costs some bytes more.
#[test]
fn a_body_that_is_too_large_is_not_kept_and_the_oldest_go_first() {
    let mut replica = replica(1, Vec::new());
    let first = claimant("entry-1", 1);
    ask(&mut replica, "large", complete(&first, &"x".repeat(101)));
    for number in 0..11 {
        let body = "y".repeat(100);
        ask(&mut replica, &format!("k{number}"), complete(&first, &body));
    }

    let mut has_body = |key_text: &str| {
        let verdict = ask(&mut replica, key_text, acquire(&claimant("entry-2", 1), 7));
        match verdict {
            ClaimVerdict::Completed { outcome, .. } => outcome.body.is_some(),
            other => panic!("the outcome is not known: {other:?}"),
        }
    };

    assert!(!has_body("large"));
    assert!(!has_body("k0"));
    assert!(has_body("k10"));
}

// control-3 lost its disk and takes part with a new one. The old disk may have granted
// claims together with a slow control-2; counting the new one would grant them again.
#[test]
fn a_disk_that_takes_another_s_place_grants_nothing_for_one_retention() {
    let mut new = replica(9, Vec::new());
    let mut named = voters(2);
    named.voters.insert(voter(9));
    named.number = 3;
    let mut ask_at = |key_text: &str, now: Timestamp| {
        let request = ClaimRequest {
            question: 1,
            key: key(key_text),
            voters_number: 3,
            action: acquire(&claimant("entry-1", 1), 7),
        };
        new.handle(&request, &named, now).verdict
    };

    let at_first = ask_at("a", Timestamp(10));
    let before_end = ask_at("b", Timestamp(3_600_009));
    let after_end = ask_at("c", Timestamp(3_600_010));

    let abstains = ClaimVerdict::Unavailable;
    assert_eq!([at_first, before_end], [abstains.clone(), abstains]);
    assert_eq!(after_end, ClaimVerdict::Held);
}

// control-1 and control-3 grant the key; the request to control-2 is lost. control-3 loses
// its disk, a new one takes its place, and control-1 cannot be reached. A resend meets
// control-2 and the new disk, a majority that has never heard of the key. Random
// schedules find this too seldom (a disk that grants at once: 4 of 8,000 schedules).
#[rstest]
#[case::abstains(Vec::new(), false)]
#[case::planted_grants_at_once(vec![NumberedRecord {
    number: 0,
    record: ClaimRecord::MayGrant { voters_number: 3 },
}], true)]
fn a_lost_disk_s_claims_are_not_granted_again_through_the_new_one(
    #[case] records_of_new: Vec<NumberedRecord>,
    #[case] is_granted: bool,
) {
    let mut named = voters(2);
    named.voters.insert(voter(9));
    named.number = 3;
    let mut second = replica(2, Vec::new());
    ask(&mut second, "another", acquire(&claimant("entry-1", 1), 7));
    second.follow_voters(&voters(3), Timestamp(1));
    let mut step = named.clone();
    step.number = 2;
    second.follow_voters(&step, Timestamp(1));
    let mut new = ClaimReplica::recover(voter(9), BOUNDS, records_of_new, Timestamp(0));
    let mut coordinator = coordinator("entry-2");
    coordinator.set_voters(named.clone(), Timestamp(1));

    let (attempt, sent) = coordinator.begin(key("k"), 7, Timestamp(2));
    let mut outputs = Vec::new();
    for replica in [&mut second, &mut new] {
        let ClaimOutput::Send { request, .. } = &sent[0] else {
            panic!("nothing was sent");
        };
        let reply = ClaimReply {
            question: request.question,
            voter: replica.identity().clone(),
            verdict: replica.handle(request, &named, Timestamp(3)).verdict,
        };
        outputs.extend(coordinator.take_reply(&reply, Timestamp(4)));
    }

    let granted = ClaimOutput::Granted { attempt };
    assert_eq!(outputs.contains(&granted), is_granted);
}

#[test]
fn a_disk_that_is_no_voter_answers_for_nothing() {
    let mut replica = replica(9, Vec::new());

    let verdict = ask(&mut replica, "k", acquire(&claimant("entry-1", 1), 7));

    assert_eq!(verdict, ClaimVerdict::Unavailable);
}

fn coordinator(daemon: &str) -> ClaimCoordinator {
    let control = (1..=3).map(|number| voter(number).daemon);
    let mut coordinator = ClaimCoordinator::new(
        name(daemon),
        BootId(1),
        ClaimTiming::default(),
        control.collect::<Vec<_>>(),
    );
    coordinator.set_voters(voters(3), Timestamp(0));
    coordinator
}

fn question(outputs: &[ClaimOutput]) -> u64 {
    outputs
        .iter()
        .find_map(|output| match output {
            ClaimOutput::Send { request, .. } => Some(request.question),
            _ => None,
        })
        .unwrap()
}

/// Begins an attempt on "k" and gives it these answers; `None` is silence until the end.
fn refusal_after(answers: [Option<ClaimVerdict>; 3]) -> Option<ClaimRefusal> {
    let mut coordinator = coordinator("entry-1");
    coordinator.note_boot(&name("entry-2"), BootId(1));
    coordinator.note_boot(&name("entry-3"), BootId(2));
    let (_, sent) = coordinator.begin(key("k"), 7, Timestamp(0));
    let question = question(&sent);
    let mut outputs = Vec::new();
    for (number, verdict) in (1..).zip(answers) {
        if let Some(verdict) = verdict {
            let reply = ClaimReply {
                question,
                voter: voter(number),
                verdict,
            };
            outputs.extend(coordinator.take_reply(&reply, Timestamp(1)));
        }
    }
    outputs.extend(coordinator.tick(Timestamp(1_000)));
    outputs.into_iter().find_map(|output| match output {
        ClaimOutput::Refused { refusal, .. } => Some(refusal),
        _ => None,
    })
}

const HELD: Option<ClaimVerdict> = Some(ClaimVerdict::Held);

fn by(daemon: &str) -> Option<ClaimVerdict> {
    Some(ClaimVerdict::HeldByOther {
        holder: claimant(daemon, 1),
        fingerprint_differs: false,
    })
}

fn done(fingerprint_differs: bool) -> Option<ClaimVerdict> {
    Some(ClaimVerdict::Completed {
        outcome: outcome("done"),
        fingerprint_differs,
    })
}

// entry-2 is alive; entry-3 was restarted since its attempt.
#[rstest]
#[case::granted([HELD, HELD, None], None)]
#[case::no_answer([None, None, None], Some("no_majority"))]
#[case::one_answer([HELD, None, None], Some("no_majority"))]
#[case::disks_full([HELD, Some(ClaimVerdict::Unavailable), Some(ClaimVerdict::Unavailable)], Some("no_majority"))]
#[case::held_by_living([by("entry-2"), by("entry-2"), HELD], Some("in_progress"))]
#[case::held_by_gone([by("entry-3"), by("entry-3"), HELD], Some("outcome_unknown"))]
#[case::asked_as_a_cut_began([HELD, by("entry-2"), None], Some("in_progress"))]
#[case::after_that_cut([HELD, by("entry-2"), HELD], None)]
#[case::may_have_majority([HELD, by("entry-3"), None], Some("outcome_unknown"))]
#[case::split([HELD, by("entry-2"), by("entry-3")], Some("contended"))]
#[case::one_knows_the_outcome([by("entry-3"), HELD, done(false)], Some("already_completed"))]
#[case::key_reused([done(true), None, None], Some("key_reused"))]
fn answers_of_replicas_add_up_to_one_answer(
    #[case] answers: [Option<ClaimVerdict>; 3],
    #[case] expected: Option<&str>,
) {
    let refusal = refusal_after(answers);

    assert_eq!(refusal.as_ref().map(ClaimRefusal::name), expected);
}

#[test]
fn only_refusals_of_attempts_that_never_held_a_majority_promise_not_run() {
    let contended = refusal_after([HELD, by("entry-2"), by("entry-3")]).unwrap();
    let unknown = refusal_after([HELD, by("entry-3"), None]).unwrap();

    assert_eq!(contended.code(), Some(ErrorCode::NotRun));
    assert_eq!(unknown.code(), Some(ErrorCode::OutcomeUnknown));
    assert!(!ErrorCode::OutcomeUnknown.promises_not_run());
}

// The entry daemon is stopped for minutes between asking and reading the answers, or
// between the grant and the sending. The replicas may have forgotten the claim by then.
#[test]
fn answers_and_grants_from_before_a_long_pause_count_for_nothing() {
    let mut coordinator = coordinator("entry-1");
    let (paused_asking, sent) = coordinator.begin(key("a"), 7, Timestamp(0));
    let (paused_granted, also_sent) = coordinator.begin(key("b"), 7, Timestamp(0));
    let reply = |question, number| ClaimReply {
        question,
        voter: voter(number),
        verdict: ClaimVerdict::Held,
    };
    for number in [1, 2] {
        coordinator.take_reply(&reply(question(&also_sent), number), Timestamp(1));
    }
    let may_start_at_once = coordinator.may_start(paused_granted, Timestamp(2));

    let woken = Timestamp(3_600_000);
    let mut outputs = Vec::new();
    for number in [1, 2] {
        outputs.extend(coordinator.take_reply(&reply(question(&sent), number), woken));
    }

    assert!(may_start_at_once);
    assert!(!coordinator.may_start(paused_granted, woken));
    let granted = ClaimOutput::Granted {
        attempt: paused_asking,
    };
    assert!(!outputs.contains(&granted));
}

#[test]
fn a_coordinator_learns_the_voters_from_the_first_replica_it_asks() {
    let control: Vec<DaemonId> = (1..=3).map(|number| voter(number).daemon).collect();
    let timing = ClaimTiming::default();
    let mut coordinator = ClaimCoordinator::new(name("entry-1"), BootId(1), timing, control);
    let (attempt, sent) = coordinator.begin(key("k"), 7, Timestamp(0));
    let mut replicas = [replica(1, Vec::new()), replica(2, Vec::new())];

    let mut outputs = Vec::new();
    let mut to_answer = sent;
    for _ in 0..2 {
        let requests: Vec<ClaimOutput> = std::mem::take(&mut to_answer);
        for (replica, output) in replicas.iter_mut().zip(requests) {
            let ClaimOutput::Send { request, .. } = output else {
                continue;
            };
            let handled = replica.handle(&request, &voters(3), Timestamp(1));
            let reply = ClaimReply {
                question: request.question,
                voter: replica.identity().clone(),
                verdict: handled.verdict,
            };
            let more = coordinator.take_reply(&reply, Timestamp(1));
            to_answer.extend(more.iter().cloned());
            outputs.extend(more);
        }
    }

    assert!(outputs.contains(&ClaimOutput::Granted { attempt }));
}

/// A fault that a replica must not have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Planted {
    Nothing,
    /// It answers before its records are synced.
    AnswersBeforeSync,
    /// It loses its disk and still answers as the same voter.
    ForgetsAndVotes,
    /// The entry daemon gives attempts up that it has sent.
    ReleasesWhatRuns,
}

/// A control daemon: what it believes, what is on its disk, what it has not answered yet.
struct Control {
    replica: ClaimReplica,
    disk: Vec<NumberedRecord>,
    unsynced: Vec<NumberedRecord>,
    unanswered: Vec<Message>,
    voters: VoterSet,
}

/// An entry daemon and the attempts it has sent to an upstream.
struct Entry {
    coordinator: ClaimCoordinator,
    boot: u64,
    running: BTreeMap<u64, ClaimKey>,
    keys: BTreeMap<u64, ClaimKey>,
}

#[derive(Clone)]
enum Message {
    ToControl(usize, usize, ClaimRequest),
    ToEntry(usize, ClaimReply),
}

const CONTROLS: usize = 3;
const ENTRIES: usize = 3;
const KEYS: usize = 6;
/// How long the replicas of the schedules remember a key.
const SHORT_RETENTION: Duration = Duration::from_secs(3);
/// How long the same keys are claimed before new ones come.
const KEY_ERA_MS: u64 = 1_000;

struct World {
    rng: SmallRng,
    planted: Planted,
    now: Timestamp,
    voters: VoterSet,
    loses_disks: bool,
    lost_disk: Option<Voter>,
    controls: Vec<Control>,
    entries: Vec<Entry>,
    network: Vec<Message>,
    cut: BTreeSet<(usize, usize)>,
    runs: BTreeMap<ClaimKey, Vec<(usize, u64, u64)>>,
    refused: BTreeSet<(usize, u64, u64)>,
    finished: BTreeMap<ClaimKey, String>,
    wrong_outcomes: u32,
}

fn world(seed: u64, planted: Planted) -> World {
    let controls = (1..=CONTROLS as u64)
        .map(|number| Control {
            replica: replica(number, Vec::new()),
            disk: Vec::new(),
            unsynced: Vec::new(),
            unanswered: Vec::new(),
            voters: voters(3),
        })
        .collect();
    World {
        rng: SmallRng::seed_from_u64(seed),
        planted,
        now: Timestamp(0),
        voters: voters(3),
        // In every other schedule, since the abstaining disks keep much from running.
        loses_disks: seed % 2 == 1,
        lost_disk: None,
        controls,
        entries: (0..ENTRIES).map(|index| entry(index, 1)).collect(),
        network: Vec::new(),
        cut: BTreeSet::new(),
        runs: BTreeMap::new(),
        refused: BTreeSet::new(),
        finished: BTreeMap::new(),
        wrong_outcomes: 0,
    }
}

fn entry(index: usize, boot: u64) -> Entry {
    let control: Vec<DaemonId> = (1..=3).map(|number| voter(number).daemon).collect();
    let timing = ClaimTiming {
        acquire_timeout: Duration::from_millis(300),
        start_within: Duration::from_millis(400),
        ..ClaimTiming::default()
    };
    let daemon = name(&format!("entry-{index}"));
    Entry {
        coordinator: ClaimCoordinator::new(daemon, BootId(boot), timing, control),
        boot,
        running: BTreeMap::new(),
        keys: BTreeMap::new(),
    }
}

impl World {
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..8));
        match self.rng.random_range(0..100) {
            0..66 => self.deliver(),
            66..80 => self.sync(),
            80..85 => self.take_lost_disk_out(),
            85..89 => self.begin(),
            89..92 => self.tick(),
            92..94 => self.end_a_run(),
            94..96 => self.cut_or_mend(),
            96 => self.crash_entry(),
            97 | 98 => self.change_a_disk(),
            _ => self.crash_control(),
        }
    }

    /// Delivers any message of those under way, loses it or delivers it twice.
    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.network.len());
        let message = match self.rng.random_range(0..10) {
            0 => self.network[index].clone(),
            _ => self.network.swap_remove(index),
        };
        if self.rng.random_range(0..10) == 0 {
            return;
        }
        match message {
            Message::ToControl(from, to, request) => self.at_control(from, to, &request),
            Message::ToEntry(to, reply) => {
                let outputs = self.entries[to].coordinator.take_reply(&reply, self.now);
                self.follow(to, outputs);
            }
        }
    }

    fn at_control(&mut self, from: usize, to: usize, request: &ClaimRequest) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let control = &mut self.controls[to];
        // It hears of changes of the voters late.
        if self.rng.random_range(0..3) == 0 {
            control.voters = self.voters.clone();
        }
        let handled = control.replica.handle(request, &control.voters, self.now);
        control.unsynced.extend(handled.records);
        let reply = ClaimReply {
            question: request.question,
            voter: control.replica.identity().clone(),
            verdict: handled.verdict,
        };
        let answer = Message::ToEntry(from, reply);
        if self.planted == Planted::AnswersBeforeSync {
            self.network.push(answer);
        } else {
            control.unanswered.push(answer);
        }
    }

    /// One control daemon syncs, or finds its disk full; then it answers.
    fn sync(&mut self) {
        let index = self.rng.random_range(0..CONTROLS);
        let control = &mut self.controls[index];
        if self.rng.random_range(0..20) == 0 {
            control.replica.roll_back();
            control.unsynced.clear();
            control.unanswered.clear();
            return;
        }
        control.replica.expire(self.now);
        control.replica.commit();
        control.disk.append(&mut control.unsynced);
        self.network.append(&mut control.unanswered);
    }

    fn begin(&mut self) {
        let index = self.rng.random_range(0..ENTRIES);
        let era = self.now.0 / KEY_ERA_MS;
        let key = key(&format!("k{era}-{}", self.rng.random_range(0..KEYS)));
        let entry = &mut self.entries[index];
        let (attempt, outputs) = entry.coordinator.begin(key.clone(), 7, self.now);
        entry.keys.insert(attempt, key);
        self.follow(index, outputs);
    }

    fn tick(&mut self) {
        let index = self.rng.random_range(0..ENTRIES);
        let outputs = self.entries[index].coordinator.tick(self.now);
        self.follow(index, outputs);
    }

    fn follow(&mut self, index: usize, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Send { to, request } => {
                    let control = (0..CONTROLS)
                        .find(|number| voter(*number as u64 + 1).daemon == to)
                        .unwrap();
                    self.network
                        .push(Message::ToControl(index, control, request));
                }
                ClaimOutput::Granted { attempt } => self.run(index, attempt),
                ClaimOutput::Refused {
                    attempt, refusal, ..
                } => {
                    self.note_refusal(index, attempt, &refusal);
                }
            }
        }
    }

    fn run(&mut self, index: usize, attempt: u64) {
        let entry = &mut self.entries[index];
        assert!(entry.coordinator.may_start(attempt, self.now));
        let key = entry.keys[&attempt].clone();
        entry.running.insert(attempt, key.clone());
        // An attempt that turns out not to have started is taken out again.
        self.runs
            .entry(key)
            .or_default()
            .push((index, entry.boot, attempt));
        if self.planted == Planted::ReleasesWhatRuns {
            let outputs = entry.coordinator.release(attempt, self.now);
            self.follow(index, outputs);
        }
    }

    fn note_refusal(&mut self, index: usize, attempt: u64, refusal: &ClaimRefusal) {
        let entry = &self.entries[index];
        self.refused.insert((index, entry.boot, attempt));
        let key = &entry.keys[&attempt];
        if let ClaimRefusal::AlreadyCompleted(told) = refusal {
            let told = String::from_utf8(told.body.clone().unwrap()).unwrap();
            self.wrong_outcomes += u32::from(self.finished.get(key) != Some(&told));
        }
    }

    /// A run ends: it has an outcome, or the upstream says that it did not start.
    fn end_a_run(&mut self) {
        let index = self.rng.random_range(0..ENTRIES);
        let entry = &mut self.entries[index];
        let Some((attempt, key)) = entry.running.pop_first() else {
            return;
        };
        let outputs = if self.rng.random_range(0..5) == 0 {
            let run = (index, entry.boot, attempt);
            self.runs.entry(key).or_default().retain(|one| *one != run);
            entry.coordinator.release(attempt, self.now)
        } else {
            let body = format!("{index}/{}/{attempt}", entry.boot);
            self.finished.insert(key, body.clone());
            let outcome = outcome(&body);
            entry.coordinator.complete(attempt, outcome, self.now)
        };
        self.follow(index, outputs);
    }

    fn cut_or_mend(&mut self) {
        let link = (
            self.rng.random_range(0..ENTRIES),
            self.rng.random_range(0..CONTROLS),
        );
        if !self.cut.remove(&link) {
            self.cut.insert(link);
        }
    }

    fn crash_entry(&mut self) {
        let index = self.rng.random_range(0..ENTRIES);
        let boot = self.entries[index].boot + 1;
        self.entries[index] = entry(index, boot);
        for other in &mut self.entries {
            let daemon = name(&format!("entry-{index}"));
            other.coordinator.note_boot(&daemon, BootId(boot));
        }
    }

    /// What was not synced is lost, or some of it is not.
    fn crash_control(&mut self) {
        let index = self.rng.random_range(0..CONTROLS);
        let control = &mut self.controls[index];
        let kept = self.rng.random_range(0..=control.unsynced.len());
        control.unsynced.truncate(kept);
        control.disk.append(&mut control.unsynced);
        control.unanswered.clear();
        if self.planted == Planted::ForgetsAndVotes {
            control.disk.clear();
        }
        let identity = control.replica.identity().clone();
        let records = control.disk.clone();
        self.controls[index].replica = self.recovered(identity, records);
    }

    fn recovered(&self, identity: Voter, records: Vec<NumberedRecord>) -> ClaimReplica {
        let bounds = ReplicaBounds {
            retention: SHORT_RETENTION,
            ..BOUNDS
        };
        ClaimReplica::recover(identity, bounds, records, self.now)
    }

    fn take_lost_disk_out(&mut self) {
        if let Some(lost) = self.lost_disk.take() {
            self.voters.number += 1;
            self.voters.voters.remove(&lost);
        }
    }

    /// A disk is lost and a new one becomes a voter; later the lost one is taken out.
    fn change_a_disk(&mut self) {
        let is_rare = self.rng.random_range(0..8) > 0;
        if !self.loses_disks || self.lost_disk.is_some() || is_rare {
            return;
        }
        let index = self.rng.random_range(0..CONTROLS);
        let lost = self.controls[index].replica.identity().clone();
        let mut new = lost.clone();
        new.disk += CONTROLS as u64;
        self.voters.number += 1;
        self.voters.voters.insert(new.clone());
        self.lost_disk = Some(lost);
        let replica = self.recovered(new, Vec::new());
        let voters = self.voters.clone();
        let control = &mut self.controls[index];
        control.voters = voters;
        control.replica = replica;
        control.disk.clear();
        control.unsynced.clear();
        control.unanswered.clear();
    }

    fn doubled_runs(&self) -> usize {
        self.runs.values().filter(|runs| runs.len() > 1).count()
    }

    fn falsely_not_run(&self) -> usize {
        let ran: Vec<_> = self.runs.values().flatten().collect();
        ran.iter().filter(|run| self.refused.contains(run)).count()
    }
}

const SEEDS: u64 = 400;
const STEPS: u32 = 1_500;

fn run_world(seed: u64, planted: Planted) -> World {
    let mut world = world(seed, planted);
    for _ in 0..STEPS {
        world.step();
    }
    world
}

// Three entry daemons claim the same keys at once and again while messages are lost, doubled
// and reordered, links are cut, entry daemons restart, and control daemons crash and
// lose what they had not synced, or their disks. Whatever happens, no key runs twice, no refused
// attempt ran, and a told outcome is the one that the key had.
#[test]
fn no_schedule_makes_a_key_run_twice() {
    let mut runs = 0;
    for seed in 0..SEEDS {
        let world = run_world(seed, Planted::Nothing);

        assert_eq!(world.doubled_runs(), 0, "seed {seed}: {:?}", world.runs);
        assert_eq!(world.falsely_not_run(), 0, "seed {seed}");
        assert_eq!(world.wrong_outcomes, 0, "seed {seed}");
        runs += world.runs.values().map(Vec::len).sum::<usize>();
    }
    // The schedules are not so hostile that nothing ever runs.
    println!("{runs} runs in {SEEDS} schedules");
    assert!(runs > 4 * SEEDS as usize, "{runs}");
}

#[rstest]
#[case(Planted::AnswersBeforeSync)]
#[case(Planted::ForgetsAndVotes)]
#[case(Planted::ReleasesWhatRuns)]
fn a_planted_fault_is_caught_by_the_same_schedules(#[case] planted: Planted) {
    let caught = (0..SEEDS)
        .filter(|seed| run_world(*seed, planted).doubled_runs() > 0)
        .count();

    println!("{planted:?}: caught in {caught} of {SEEDS} schedules");
    assert!(caught > 0);
}
