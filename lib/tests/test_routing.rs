//! Tests of the choice of a replica by policy, load, distance, cached prefixes and failures.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::{
    collections::BTreeMap,
    fmt::Debug,
    str::FromStr,
    sync::Arc,
    time::Duration, //
};

use cicadabend::{
    fleet::{
        FleetConfig,
        PlainService,
        RoutingArm,
        RoutingPolicy,
        Service, //
    },
    prelude::*,
    routing::{
        AnswerTiming,
        CacheNotice,
        Choice,
        ChoiceReason,
        OwnLoad,
        Prefix,
        Replica,
        ReplicaId,
        RouteQuery,
        Router,
        RoutingSnapshot,
        choose_arm,
        estimated_outstanding, //
    },
    upstream_api::{
        CacheEvent,
        LoadReport, //
    },
};
use rstest::rstest;

const SLOTS: u32 = 8;

fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn replica(id: &str, domain: &str, running: u32) -> Replica {
    Replica {
        id: ReplicaId::Group(name(id)),
        service: name("drafting-llm"),
        failure_domain: name(domain),
        token: FencingToken::default(),
        address: name("127.0.0.1:1"),
        slots: Slots(SLOTS),
        load: LoadReport {
            running,
            ..LoadReport::default()
        },
        load_received_at: Timestamp(1_000),
    }
}

fn snapshot(policy: RoutingPolicy, replicas: Vec<Replica>) -> RoutingSnapshot {
    let arm = RoutingArm {
        policy,
        share_percent: Percent(100),
    };
    let service = Service::Plain(PlainService {
        routing: vec![arm],
        unsafe_methods_are_repeatable: false,
    });
    let config = FleetConfig {
        services: BTreeMap::from([(name("drafting-llm"), service)]),
        ..FleetConfig::default()
    };
    RoutingSnapshot {
        ready: true,
        config: Arc::new(config),
        replicas,
        ..RoutingSnapshot::default()
    }
}

/// One daemon in `cumbaya` that sends requests for `drafting-llm`.
struct Sender {
    router: Router,
    own: OwnLoad,
    service: ServiceName,
    home: FailureDomain,
    prefixes: Vec<Prefix>,
    excluded: Vec<ReplicaId>,
    sent: u64,
}

fn sender() -> Sender {
    Sender {
        router: Router::default(),
        own: OwnLoad::default(),
        service: name("drafting-llm"),
        home: name("cumbaya"),
        prefixes: Vec::new(),
        excluded: Vec::new(),
        sent: 0,
    }
}

impl Sender {
    fn choose(&mut self, snapshot: &RoutingSnapshot, now: Timestamp) -> Option<Choice> {
        self.sent += 1;
        let request = name(&format!("r{}", self.sent));
        let query = RouteQuery {
            service: &self.service,
            request: &request,
            session: self.prefixes.last().map(|prefix| prefix.hash),
            prefixes: &self.prefixes,
            excluded: &self.excluded,
            home: &self.home,
            may_probe: true,
            prompt_tokens: TokenCount(1_000),
        };
        let random = self.sent.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.router.choose(&query, snapshot, &self.own, now, random)
    }

    /// Chooses a replica for a request, counts the request as in flight there, and returns the
    /// replica's name.
    fn send(&mut self, snapshot: &RoutingSnapshot, now: Timestamp) -> String {
        let choice = self.choose(snapshot, now).unwrap();
        self.own.started(&choice.replica.id, now);
        choice.replica.id.to_string()
    }
}

#[rstest]
#[case::round_robin(RoutingPolicy::RoundRobin)]
#[case::least_outstanding(RoutingPolicy::LeastOutstanding)]
#[case::power_of_two(RoutingPolicy::PowerOfTwoChoices)]
#[case::prefix_affinity(RoutingPolicy::PrefixAffinity)]
#[case::expected_latency(RoutingPolicy::ExpectedLatency)]
fn every_policy_chooses_among_the_replicas_that_are_not_excluded(#[case] policy: RoutingPolicy) {
    let replicas = vec![
        replica("g1", "cumbaya", 0),
        replica("g2", "cumbaya", 0),
        replica("g3", "cumbaya", 0),
    ];
    let snapshot = snapshot(policy, replicas);
    let mut sender = sender();
    sender.excluded = vec![ReplicaId::Group(name("g2"))];

    let chosen: Vec<String> = (0..50)
        .map(|_| sender.send(&snapshot, Timestamp(1_000)))
        .collect();

    assert!(chosen.iter().all(|id| id == "g1" || id == "g3"));
    assert!(chosen.iter().any(|id| id == "g1"));
    assert!(chosen.iter().any(|id| id == "g3"));
}

#[test]
fn choose_returns_none_without_replicas() {
    let mut sender = sender();
    let snapshot = snapshot(RoutingPolicy::RoundRobin, Vec::new());

    assert_eq!(sender.choose(&snapshot, Timestamp(1)), None);
}

#[test]
fn a_request_always_gets_the_same_arm_and_arms_get_their_shares() {
    let arms = [
        RoutingArm {
            policy: RoutingPolicy::RoundRobin,
            share_percent: Percent(30),
        },
        RoutingArm {
            policy: RoutingPolicy::ExpectedLatency,
            share_percent: Percent(70),
        },
    ];

    let decided: Vec<RoutingPolicy> = (0..10_000)
        .map(|number| choose_arm(&arms, &name(&format!("request-{number}"))))
        .collect();

    let round_robin = decided
        .iter()
        .filter(|policy| **policy == RoutingPolicy::RoundRobin)
        .count();
    assert!((2_800..3_200).contains(&round_robin), "{round_robin}");
    assert_eq!(decided[7], choose_arm(&arms, &name("request-7")));
}

// A report says that g1 is idle. The daemon sends 12 requests before the next report, half a
// second later. If only the report counted, all 12 would go to g1.
#[rstest]
#[case::least_outstanding(RoutingPolicy::LeastOutstanding)]
#[case::expected_latency(RoutingPolicy::ExpectedLatency)]
fn requests_sent_since_the_report_count_as_load_at_once(#[case] policy: RoutingPolicy) {
    let replicas = vec![
        replica("g1", "cumbaya", 0),
        replica("g2", "cumbaya", 2),
        replica("g3", "cumbaya", 2),
    ];
    let snapshot = snapshot(policy, replicas);
    let mut sender = sender();

    let chosen: Vec<String> = (0..12)
        .map(|_| sender.send(&snapshot, Timestamp(1_200)))
        .collect();

    let to_g1 = chosen.iter().filter(|id| *id == "g1").count();
    assert!((4..=7).contains(&to_g1), "{chosen:?}");
}

#[test]
fn own_requests_in_the_report_are_replaced_by_those_in_flight_now() {
    let mut own = OwnLoad::default();
    let mut reported = replica("g1", "cumbaya", 5);
    reported.load.age_ms = 100;
    for _ in 0..3 {
        own.started(&reported.id, Timestamp(500));
    }
    own.ended(&reported.id, Timestamp(950));
    own.started(&reported.id, Timestamp(960));
    own.ended(&reported.id, Timestamp(970));

    let outstanding = estimated_outstanding(&reported, &own);

    // The report was made at 900 ms, with 3 own requests and 2 of others. Now, 2 own ones are in
    // flight, and the same 2 of others are assumed.
    assert_eq!(outstanding, 4);
}

#[test]
fn the_nearest_other_domain_is_used_only_when_the_home_domain_is_full() {
    let mut replicas = vec![
        replica("home", "cumbaya", SLOTS - 1),
        replica("far", "sangolqui", 0),
        replica("near", "carcelen", 0),
    ];
    let mut sender = sender();
    let (far, near) = (name("sangolqui"), name("carcelen"));
    for (domain, round_trip_ms) in [(&far, 9), (&near, 3), (&near, 70)] {
        let round_trip = Duration::from_millis(round_trip_ms);
        sender.router.record_round_trip(domain, round_trip);
    }
    let policy = RoutingPolicy::LeastOutstanding;

    let with_room = sender.send(&snapshot(policy, replicas.clone()), Timestamp(1_000));
    let when_full = sender.send(&snapshot(policy, replicas.clone()), Timestamp(1_000));
    replicas.remove(0);
    let without_home = sender.send(&snapshot(policy, replicas), Timestamp(1_000));

    assert_eq!(
        [&*with_room, &*when_full, &*without_home],
        ["home", "near", "near"]
    );
}

// The home replica has one slot left by an old report, and may be full by now. Another domain is
// a few milliseconds away. No service time has been measured, so a wait is assumed to be long.
#[test]
fn expected_latency_leaves_a_nearly_full_home_domain_for_a_near_one() {
    let chosen_replica = |running_at_home| {
        let replicas = vec![
            replica("home", "cumbaya", running_at_home),
            replica("far", "sangolqui", 0),
            replica("near", "carcelen", 0),
        ];
        let mut sender = sender();
        for (domain, round_trip_ms) in [("sangolqui", 90), ("carcelen", 3)] {
            let round_trip = Duration::from_millis(round_trip_ms);
            sender.router.record_round_trip(&name(domain), round_trip);
        }
        let snapshot = snapshot(RoutingPolicy::ExpectedLatency, replicas);
        sender.send(&snapshot, Timestamp(1_000))
    };

    assert_eq!(chosen_replica(SLOTS - 2), "home");
    assert_eq!(chosen_replica(SLOTS - 1), "near");
}

#[test]
fn requests_queue_in_the_home_domain_when_all_domains_are_full() {
    let replicas = vec![
        replica("home", "cumbaya", SLOTS),
        replica("near", "carcelen", SLOTS),
    ];
    let snapshot = snapshot(RoutingPolicy::LeastOutstanding, replicas);
    let mut sender = sender();

    let choice = sender.choose(&snapshot, Timestamp(1_000)).unwrap();

    assert_eq!(choice.replica.id.to_string(), "home");
    assert!(choice.is_saturated);
    assert!(!choice.is_remote);
}

fn stored(replica: &str, boot: u64, sequence: u64, hash: u64) -> CacheNotice {
    CacheNotice {
        replica: ReplicaId::Group(name(replica)),
        boot: BootId(boot),
        event: CacheEvent {
            sequence,
            prefix_hash: hash,
            stored: true,
            tokens: TokenCount(800),
        },
    }
}

fn evicted(replica: &str, boot: u64, sequence: u64, hash: u64) -> CacheNotice {
    let mut notice = stored(replica, boot, sequence, hash);
    notice.event.stored = false;
    notice
}

fn sender_with_prefix(hash: u64) -> Sender {
    let mut sender = sender();
    sender.prefixes = vec![Prefix {
        hash,
        tokens: TokenCount(800),
    }];
    sender
}

fn apply(sender: &mut Sender, notice: CacheNotice, now_ms: u64) {
    sender.router.apply_cache_notice(&notice, Timestamp(now_ms));
}

fn expected_cached_at_g1(sender: &Sender, now_ms: u64) -> f64 {
    let replica = ReplicaId::Group(name("g1"));
    let prefixes = sender.router.prefixes();
    prefixes.expected_tokens(&replica, &sender.prefixes, Timestamp(now_ms))
}

// Events 2 and 3 of the engine are lost. Prefixes stored before the gap may have been evicted
// within the gap, so they count for half. If that lasted for ever, one lost event would
// spoil the estimate for good.
#[test]
fn a_gap_in_cache_events_lowers_confidence_which_then_recovers() {
    let mut sender = sender_with_prefix(7);

    apply(&mut sender, stored("g1", 1, 1, 7), 1_000);
    let before = expected_cached_at_g1(&sender, 1_000);
    apply(&mut sender, stored("g1", 1, 4, 9), 2_000);
    let after_gap = expected_cached_at_g1(&sender, 2_000);
    let after_a_minute = expected_cached_at_g1(&sender, 62_000);
    apply(&mut sender, stored("g1", 1, 5, 7), 62_001);
    let confirmed = expected_cached_at_g1(&sender, 62_001);

    assert_eq!(before, 800.0);
    assert_eq!(after_gap, 400.0);
    assert!(after_a_minute > 650.0 && after_a_minute < 800.0);
    assert_eq!(confirmed, 800.0);
}

#[test]
fn a_late_stored_event_does_not_undo_the_later_eviction() {
    let mut sender = sender_with_prefix(7);

    apply(&mut sender, evicted("g1", 1, 2, 7), 1_000);
    apply(&mut sender, stored("g1", 1, 1, 7), 1_001);

    assert_eq!(expected_cached_at_g1(&sender, 1_001), 0.0);
}

#[test]
fn a_restarted_engine_has_no_cached_prefixes() {
    let mut sender = sender_with_prefix(7);

    apply(&mut sender, stored("g1", 1, 1, 7), 1_000);
    apply(&mut sender, stored("g1", 2, 1, 8), 1_001);

    assert_eq!(expected_cached_at_g1(&sender, 1_001), 0.0);
}

#[test]
fn the_number_of_stored_prefixes_is_bounded_and_the_newest_remain() {
    let mut sender = sender_with_prefix(99_999);

    for sequence in 0..100_000 {
        apply(&mut sender, stored("g1", 1, sequence, sequence), 1_000);
    }

    assert_eq!(sender.router.prefixes().len(), 65_536);
    assert_eq!(expected_cached_at_g1(&sender, 1_000), 800.0);
}

// All callers share one prompt prefix that only g1 has cached. Without the load bound, g1 would
// get every request while the other replicas idle.
#[test]
fn a_popular_prefix_does_not_overload_one_replica() {
    let replicas = vec![
        replica("g1", "cumbaya", 0),
        replica("g2", "cumbaya", 0),
        replica("g3", "cumbaya", 0),
    ];
    let snapshot = snapshot(RoutingPolicy::PrefixAffinity, replicas);
    let mut sender = sender_with_prefix(7);
    apply(&mut sender, stored("g1", 1, 1, 7), 1_000);

    let first = sender.choose(&snapshot, Timestamp(1_000)).unwrap();
    let chosen: Vec<String> = (0..18)
        .map(|_| sender.send(&snapshot, Timestamp(1_000)))
        .collect();

    assert_eq!(first.reason, ChoiceReason::CachedPrefix);
    assert_eq!(first.replica.id.to_string(), "g1");
    let to_g1 = chosen.iter().filter(|id| *id == "g1").count();
    assert!((6..=9).contains(&to_g1), "{chosen:?}");
}

#[test]
fn two_daemons_choose_the_same_replica_for_a_session_without_cache_events() {
    let replicas = (1..=5)
        .map(|number| replica(&format!("g{number}"), "cumbaya", 2))
        .collect();
    let snapshot = snapshot(RoutingPolicy::PrefixAffinity, replicas);
    let (mut one, mut other) = (sender_with_prefix(7), sender_with_prefix(7));

    let first = one.choose(&snapshot, Timestamp(1_000)).unwrap();
    let second = other.choose(&snapshot, Timestamp(1_000)).unwrap();

    assert_eq!(first.reason, ChoiceReason::PrefixHash);
    assert_eq!(first.replica.id, second.replica.id);
}

fn timing(total_ms: u64) -> AnswerTiming {
    AnswerTiming {
        first_token: Duration::from_millis(total_ms / 10),
        total: Duration::from_millis(total_ms),
        output_tokens: TokenCount(100),
        uncached_tokens: TokenCount(1_000),
        was_unqueued: true,
    }
}

// g1 answers five times as slowly as the other replicas, with the same number of requests. A
// policy that only counts requests would not avoid g1.
#[test]
fn expected_latency_avoids_a_slow_replica() {
    let replicas: Vec<Replica> = ["g1", "g2", "g3"]
        .iter()
        .map(|id| replica(id, "cumbaya", 4))
        .collect();
    let mut sender = sender();
    let service = sender.service.clone();
    for _ in 0..5 {
        for (replica, total_ms) in replicas.iter().zip([5_000, 1_000, 1_000]) {
            let timing = timing(total_ms);
            let now = Timestamp(1_000);
            sender
                .router
                .record_answer(&service, &replica.id, &[], timing, now);
        }
    }
    let snapshot = snapshot(RoutingPolicy::ExpectedLatency, replicas);

    let chosen: Vec<String> = (0..4)
        .map(|_| sender.send(&snapshot, Timestamp(1_000)))
        .collect();

    assert!(!chosen.contains(&"g1".to_owned()), "{chosen:?}");
}

/// Returns the free slots of two replicas, each with `running` requests by its report, after
/// `sent_requests` requests were sent since the report.
fn free_slots_after_sending(running: u32, sent_requests: u32) -> u32 {
    let replicas = vec![
        replica("g1", "cumbaya", running),
        replica("g2", "carcelen", running),
    ];
    let snapshot = snapshot(RoutingPolicy::LeastOutstanding, replicas);
    let mut sender = sender();
    for _ in 0..sent_requests {
        sender.send(&snapshot, Timestamp(1_100));
    }
    let now = Timestamp(1_100);
    sender
        .router
        .free_slots(&sender.service, &snapshot, &sender.own, now)
}

#[test]
fn requests_sent_since_the_report_reduce_the_free_slots() {
    assert_eq!(free_slots_after_sending(0, 0), 16);
    assert_eq!(free_slots_after_sending(0, 3), 13);
}

// The reports count 12 requests of other daemons and none of this one's. Since the reports,
// this daemon has sent one request to g1, so the others are assumed to have sent one and a
// half.
#[test]
fn requests_assumed_of_other_daemons_reduce_the_free_slots() {
    assert_eq!(free_slots_after_sending(6, 0), 4);
    assert_eq!(free_slots_after_sending(6, 1), 2);
}

/// Sends one request in each tick of 10 ms; a request fails if `is_failing` is true of its replica.
///
/// Returns the number of requests sent to each replica.
fn send_each_tick(
    sender: &mut Sender,
    snapshot: &RoutingSnapshot,
    ticks: std::ops::Range<u64>,
    is_failing: impl Fn(&str) -> bool,
) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for now in ticks.map(|tick| Timestamp(tick * 10)) {
        let chosen = sender.choose(snapshot, now).unwrap().replica.id;
        *counts.entry(chosen.to_string()).or_default() += 1;
        if is_failing(&chosen.to_string()) {
            sender.router.record_failure(&chosen, now);
        } else {
            let service = sender.service.clone();
            sender
                .router
                .record_answer(&service, &chosen, &[], timing(100), now);
        }
    }
    counts
}

fn busy_replicas() -> Vec<Replica> {
    (1..=4)
        .map(|number| replica(&format!("g{number}"), "cumbaya", 4 * u32::from(number > 1)))
        .collect()
}

// g1 fails each request within the same tick, so it never has any outstanding. A policy that
// only counts requests would take g1 for idle and send nearly all requests there.
#[rstest]
#[case::least_outstanding(RoutingPolicy::LeastOutstanding)]
#[case::expected_latency(RoutingPolicy::ExpectedLatency)]
fn a_replica_that_fails_at_once_does_not_attract_traffic(#[case] policy: RoutingPolicy) {
    let snapshot = snapshot(policy, busy_replicas());
    let mut sender = sender();

    let counts = send_each_tick(&mut sender, &snapshot, 100..1_100, |id| id == "g1");

    assert!(sender.router.is_ejected(&ReplicaId::Group(name("g1"))));
    assert!(counts["g1"] < 15, "{counts:?}");
}

#[test]
fn an_ejected_replica_is_readmitted_after_successful_probes() {
    let snapshot = snapshot(RoutingPolicy::LeastOutstanding, busy_replicas());
    let mut sender = sender();
    send_each_tick(&mut sender, &snapshot, 100..300, |id| id == "g1");
    let was_ejected = sender.router.is_ejected(&ReplicaId::Group(name("g1")));

    let after = send_each_tick(&mut sender, &snapshot, 300..1_500, |_| false);

    assert!(was_ejected);
    assert!(!sender.router.is_ejected(&ReplicaId::Group(name("g1"))));
    assert!(after["g1"] > 100, "{after:?}");
}

// Every replica fails, as when a request crashes each replica that runs it. Ejecting replicas
// would then only reduce the capacity of the service.
#[test]
fn no_replica_is_ejected_when_all_fail_alike() {
    let snapshot = snapshot(RoutingPolicy::RoundRobin, busy_replicas());
    let mut sender = sender();

    send_each_tick(&mut sender, &snapshot, 100..1_100, |_| true);

    for number in 1..=4 {
        let id = ReplicaId::Group(name(&format!("g{number}")));
        assert!(!sender.router.is_ejected(&id));
    }
}

#[test]
fn no_more_than_three_in_ten_replicas_are_ejected() {
    let replicas: Vec<Replica> = (1..=10)
        .map(|number| replica(&format!("g{number}"), "cumbaya", 0))
        .collect();
    let snapshot = snapshot(RoutingPolicy::RoundRobin, replicas.clone());
    let mut sender = sender();
    let failing = ["g1", "g2", "g3", "g4"];

    send_each_tick(&mut sender, &snapshot, 100..600, |id| failing.contains(&id));

    let ejected = replicas
        .iter()
        .filter(|replica| sender.router.is_ejected(&replica.id))
        .count();
    assert_eq!(ejected, 3);
}
