//! Tests of the admission queue (order, fairness, refusals, limits), of the division of limits
//! between daemons, and of the bounds on retries and hedges.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap, //
    },
    fmt::Debug,
    str::FromStr,
    time::Duration,
};

use cicadabend::{
    admission::{
        AdmissionQueue,
        AdmissionSettings,
        Backoff,
        HedgeTimer,
        Offer,
        OfferOutcome,
        RefusalReason,
        RetryBudget,
        RetryDecision,
        RetryReason,
        RetryRefusal,
        RetrySituation,
        Ticket,
        divide_shares,
        domain_limit,
        guaranteed_share,
        safe_grants, //
    },
    fleet::Team,
    peer_api::TeamShare,
    prelude::*,
};
use proptest::prelude::*;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use rstest::rstest;

fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn team(weight: u32) -> Team {
    Team {
        api_key_sha256: String::new(),
        weight,
        requests_per_second: RatePerSecond(1),
        max_concurrent_requests: 1,
    }
}

const UNLIMITED: TeamShare = TeamShare {
    requests_per_1000_s: 1_000_000_000_000,
    concurrent_requests: u32::MAX,
};

fn queue(teams: &[(&str, u32, TeamShare)], queue_capacity: usize) -> AdmissionQueue {
    let settings = AdmissionSettings {
        queue_capacity,
        ..AdmissionSettings::default()
    };
    let mut queue = AdmissionQueue::new(settings);
    let configured = teams
        .iter()
        .map(|(id, weight, _)| (name(id), team(*weight)))
        .collect();
    let shares = teams
        .iter()
        .map(|(id, _, share)| (name(id), *share))
        .collect();
    queue.set_teams(&configured, &shares, |_| TeamShare::default(), Timestamp(0));
    queue
}

fn offer(ticket: u64, team: &str) -> Offer {
    Offer {
        ticket: Ticket(ticket),
        service: name("drafting-llm"),
        team: name(team),
        priority: 3,
        latest_start: None,
    }
}

fn start_next(queue: &mut AdmissionQueue, now_ms: u64) -> Option<u64> {
    let started = queue.next(&name("drafting-llm"), Timestamp(now_ms))?;
    Some(started.ticket.0)
}

fn reason(outcome: &OfferOutcome) -> Option<RefusalReason> {
    outcome.accepted.err().map(|refusal| refusal.reason)
}

#[test]
fn a_team_s_requests_run_by_priority_then_deadline_then_arrival() {
    let mut queue = queue(&[("large", 1, UNLIMITED)], 10);
    let offers = [
        (3, None),
        (3, Some(900)),
        (0, None),
        (3, Some(500)),
        (3, None),
    ];

    for (ticket, (priority, latest_start)) in (1..).zip(offers) {
        let mut offer = offer(ticket, "large");
        offer.priority = priority;
        offer.latest_start = latest_start.map(Timestamp);
        assert_eq!(queue.offer(offer, Timestamp(0)).accepted, Ok(()));
    }
    let order: Vec<u64> = std::iter::from_fn(|| start_next(&mut queue, 1)).collect();

    assert_eq!(order, [3, 4, 2, 1, 5]);
}

#[test]
fn teams_run_by_weight_while_all_have_requests_waiting() {
    let teams = [("heavy", 3, UNLIMITED), ("light", 1, UNLIMITED)];
    let mut queue = queue(&teams, 1_000);
    for ticket in 0..200 {
        let team = if ticket % 2 == 0 { "heavy" } else { "light" };
        queue.offer(offer(ticket, team), Timestamp(0));
    }

    let order: Vec<u64> = (0..80).filter_map(|_| start_next(&mut queue, 1)).collect();

    let heavy = order.iter().filter(|ticket| *ticket % 2 == 0).count();
    assert!((59..=61).contains(&heavy), "{heavy}");
}

#[test]
fn a_request_over_the_rate_is_refused_at_once_with_the_time_of_a_successful_retry() {
    let share = TeamShare {
        requests_per_1000_s: 2_000,
        concurrent_requests: 10,
    };
    let mut queue = queue(&[("small", 1, share)], 10);

    let first = queue.offer(offer(1, "small"), Timestamp(0));
    let of_burst = queue.offer(offer(2, "small"), Timestamp(0));
    let second = queue.offer(offer(2, "small"), Timestamp(100));
    let retry_after = second.accepted.unwrap_err().retry_after;
    let too_early = queue.offer(offer(3, "small"), Timestamp(100) + retry_after / 2);
    let in_time = queue.offer(offer(4, "small"), Timestamp(100) + retry_after);

    assert_eq!((first.accepted, of_burst.accepted), (Ok(()), Ok(())));
    assert_eq!(reason(&second), Some(RefusalReason::OverRate));
    assert_eq!(retry_after, Duration::from_millis(400));
    assert_eq!(reason(&too_early), Some(RefusalReason::OverRate));
    assert_eq!(in_time.accepted, Ok(()));
}

#[test]
fn a_team_at_its_concurrent_limit_waits_and_others_run() {
    let share = TeamShare {
        concurrent_requests: 1,
        ..UNLIMITED
    };
    let mut queue = queue(&[("a-limited", 1, share), ("other", 1, UNLIMITED)], 10);
    for (ticket, team) in [(1, "a-limited"), (2, "a-limited"), (3, "other")] {
        queue.offer(offer(ticket, team), Timestamp(0));
    }

    let order = [(); 3].map(|()| start_next(&mut queue, 1));
    queue.ended(Ticket(1), Timestamp(50));
    queue.ended(Ticket(1), Timestamp(51));
    let after_end = start_next(&mut queue, 52);

    assert_eq!(order, [Some(1), Some(3), None]);
    assert_eq!(after_end, Some(2));
    assert_eq!(queue.running(), 2);
}

/// Returns a queue with one request running and `waiting` more behind it, which has measured a
/// service time of 100 ms.
fn measured_queue(waiting: u64) -> AdmissionQueue {
    let mut queue = queue(&[("large", 1, UNLIMITED)], 1_000);
    queue.offer(offer(1_000, "large"), Timestamp(0));
    start_next(&mut queue, 0);
    queue.ended(Ticket(1_000), Timestamp(100));
    for ticket in 0..=waiting {
        queue.offer(offer(ticket, "large"), Timestamp(100));
    }
    start_next(&mut queue, 100);
    queue
}

#[test]
fn a_request_with_a_deadline_is_accepted_despite_waiting_requests_without_one() {
    let mut queue = measured_queue(10);
    let mut early_deadline = offer(50, "large");
    early_deadline.latest_start = Some(Timestamp(400));
    let mut late_deadline = offer(51, "large");
    late_deadline.latest_start = Some(Timestamp(1_200));

    let early_deadline = queue.offer(early_deadline, Timestamp(100));
    let late_deadline = queue.offer(late_deadline, Timestamp(100));

    assert_eq!(early_deadline.accepted, Ok(()));
    assert_eq!(late_deadline.accepted, Ok(()));
}

// Ten requests of 100 ms each wait for one slot ahead of a request that must start within
// 300 ms. If that request were accepted, its caller would wait in vain instead of trying
// another service.
#[test]
fn a_request_expected_to_miss_its_deadline_is_refused_with_the_lacking_time_as_retry_after() {
    let mut queue = measured_queue(0);
    for ticket in 10..20 {
        let mut offer = offer(ticket, "large");
        offer.latest_start = Some(Timestamp(5_000));
        queue.offer(offer, Timestamp(100));
    }
    let mut early_deadline = offer(50, "large");
    early_deadline.priority = 7;
    early_deadline.latest_start = Some(Timestamp(400));

    let outcome = queue.offer(early_deadline, Timestamp(100));

    let refusal = outcome.accepted.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::WaitExceedsDeadline);
    assert_eq!(refusal.retry_after, Duration::from_millis(700));
}

#[test]
fn a_waiting_request_is_refused_when_its_latest_start_has_passed() {
    let mut queue = queue(&[("large", 1, UNLIMITED)], 10);
    let mut early_deadline = offer(1, "large");
    early_deadline.latest_start = Some(Timestamp(300));
    queue.offer(early_deadline, Timestamp(0));

    let at_the_time = queue.expire(Timestamp(300));
    let expiry = queue.next_expiry();
    let after = queue.expire(Timestamp(301));

    assert_eq!(at_the_time, []);
    assert_eq!(expiry, Some(Timestamp(301)));
    assert_eq!(after[0].0, Ticket(1));
    assert_eq!(after[0].1.reason, RefusalReason::DeadlineReached);
    assert_eq!(start_next(&mut queue, 302), None);
}

#[test]
fn a_full_queue_sheds_the_last_of_the_team_with_most_waiting() {
    let teams = [("large", 1, UNLIMITED), ("small", 1, UNLIMITED)];
    let mut queue = queue(&teams, 3);
    for ticket in 1..=3 {
        queue.offer(offer(ticket, "large"), Timestamp(0));
    }

    let of_small = queue.offer(offer(4, "small"), Timestamp(0));
    let of_large = queue.offer(offer(5, "large"), Timestamp(0));
    let mut urgent = offer(6, "large");
    urgent.priority = 0;
    let urgent = queue.offer(urgent, Timestamp(0));

    let (shed, refusal) = of_small.shed.unwrap();
    assert_eq!((shed, refusal.reason), (Ticket(3), RefusalReason::Shed));
    assert_eq!(reason(&of_large), Some(RefusalReason::QueueFull));
    assert_eq!(urgent.accepted, Ok(()));
    assert_eq!(urgent.shed.unwrap().0, Ticket(2));
}

#[test]
fn a_waiting_request_is_withdrawn_once() {
    let mut queue = queue(&[("large", 1, UNLIMITED)], 10);
    queue.offer(offer(1, "large"), Timestamp(0));

    let first = queue.withdraw(Ticket(1));
    let second = queue.withdraw(Ticket(1));

    assert_eq!((first, second), (true, false));
    assert_eq!(start_next(&mut queue, 1), None);
}

/// Simulated load of one daemon: teams that send at a steady mean rate.
struct Traffic {
    slots: usize,
    mean_service_ms: f64,
    per_second: Vec<(&'static str, f64)>,
    length_ms: u64,
}

/// Waiting times of the started requests, and number of refused requests, by team.
struct SimulationResult {
    waits_ms_by_team: HashMap<String, Vec<u64>>,
    refused: HashMap<String, u64>,
}

impl SimulationResult {
    fn p99_ms(&self, team: &str) -> u64 {
        let mut waits = self.waits_ms_by_team[team].clone();
        waits.sort_unstable();
        waits[waits.len() * 99 / 100]
    }
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns the requests as (arrival in ms, team, service time in ms), in order of arrival.
///
/// Each team has a random generator of its own, so that its requests are the same whatever
/// the other teams send.
fn arrivals(traffic: &Traffic) -> Vec<(u64, &'static str, u64)> {
    let mut all = Vec::new();
    for (seed, (team, per_second)) in (11..).zip(&traffic.per_second) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut at = 0.0;
        loop {
            at += exponential(&mut rng, 1_000.0 / per_second);
            if at as u64 >= traffic.length_ms {
                break;
            }
            let service = exponential(&mut rng, traffic.mean_service_ms).max(1.0);
            all.push((at as u64, *team, service as u64));
        }
    }
    all.sort_unstable();
    all
}

/// Simulates the traffic in virtual time.
///
/// # Panics
///
/// Panics if a slot is free while an eligible request waits.
fn simulate(traffic: &Traffic, mut queue: AdmissionQueue) -> SimulationResult {
    let arrivals = arrivals(traffic);
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut result = SimulationResult {
        waits_ms_by_team: HashMap::new(),
        refused: HashMap::new(),
    };
    let mut waiting = 0_usize;
    let mut pending = arrivals.iter().enumerate().peekable();
    loop {
        let next_arrival = pending.peek().map(|(_, (at, _, _))| *at);
        let next_end = ends.peek().map(|Reverse((at, _))| *at);
        let now = match (next_arrival, next_end) {
            (None, None) => break,
            (Some(arrival), Some(end)) => arrival.min(end),
            (Some(time), None) | (None, Some(time)) => time,
        };
        while let Some(Reverse((at, ticket))) = ends.peek().copied()
            && at == now
        {
            ends.pop();
            queue.ended(Ticket(ticket), Timestamp(now));
        }
        while let Some((index, (_, team, _))) = pending.next_if(|(_, (at, _, _))| *at == now) {
            let outcome = queue.offer(offer(index as u64, team), Timestamp(now));
            waiting += usize::from(outcome.accepted.is_ok());
            waiting -= usize::from(outcome.shed.is_some());
            let refused = outcome.accepted.is_err().then_some(index as u64);
            for ticket in refused
                .into_iter()
                .chain(outcome.shed.map(|(shed, _)| shed.0))
            {
                let team = arrivals[ticket as usize].1;
                *result.refused.entry(team.to_owned()).or_default() += 1;
            }
        }
        while ends.len() < traffic.slots {
            let Some(started) = queue.next(&name("drafting-llm"), Timestamp(now)) else {
                assert_eq!(waiting, 0, "a slot idles while a request waits");
                break;
            };
            waiting -= 1;
            let service_ms = arrivals[started.ticket.0 as usize].2;
            ends.push(Reverse((now + service_ms, started.ticket.0)));
            let waited_ms = started.waited.as_millis() as u64;
            let team = started.team.to_string();
            result
                .waits_ms_by_team
                .entry(team)
                .or_default()
                .push(waited_ms);
        }
    }
    result
}

const EQUAL_TEAMS: [(&str, u32, TeamShare); 5] = [
    ("t1", 1, UNLIMITED),
    ("t2", 1, UNLIMITED),
    ("t3", 1, UNLIMITED),
    ("t4", 1, UNLIMITED),
    ("flooding", 1, UNLIMITED),
];

fn traffic(of_flooding: f64) -> Traffic {
    Traffic {
        slots: 50,
        mean_service_ms: 200.0,
        per_second: vec![
            ("t1", 40.0),
            ("t2", 40.0),
            ("t3", 40.0),
            ("t4", 40.0),
            ("flooding", of_flooding),
        ],
        length_ms: 60_000,
    }
}

// One team sends 1,000 requests per second for a minute: 20 times its fair share of the 250
// per second that the slots can serve. The other teams send the same requests as without the
// flood. They may then wait for the next of 50 busy slots to become free, but not behind the
// requests of the flooding team.
#[test]
fn a_flooding_team_does_not_lengthen_the_waits_of_other_teams() {
    let calm = simulate(&traffic(50.0), queue(&EQUAL_TEAMS, 1_024));
    let flooded = simulate(&traffic(1_000.0), queue(&EQUAL_TEAMS, 1_024));

    for team in ["t1", "t2", "t3", "t4"] {
        let (before, after) = (calm.p99_ms(team), flooded.p99_ms(team));
        println!("{team}: p99 {before} ms calm, {after} ms flooded");
        // The bound is a fifth of the mean service time.
        assert!(after <= before + 40, "{team}: {before} ms, then {after} ms");
        assert_eq!(flooded.refused.get(team), None);
    }
    assert!(flooded.refused["flooding"] > 40_000);
}

// Shows that the test above can fail: with all requests sent by one team, waits grow.
#[test]
fn the_same_flood_sent_by_one_team_lengthens_the_waits() {
    let mut common = traffic(1_000.0);
    for (team, _) in &mut common.per_second {
        *team = "flooding";
    }

    let result = simulate(&common, queue(&EQUAL_TEAMS, 1_024));

    assert!(result.p99_ms("flooding") > 1_000);
}

#[test]
fn demand_is_the_offered_rate_and_the_peak_concurrency() {
    let share = TeamShare {
        requests_per_1000_s: 1_000_000,
        concurrent_requests: 1,
    };
    let mut queue = queue(&[("large", 1, share)], 10);
    for ticket in 0..4 {
        queue.offer(offer(ticket, "large"), Timestamp(500));
    }

    let demand = queue.take_demand(Timestamp(2_000));

    let expected = TeamShare {
        requests_per_1000_s: 2_000,
        concurrent_requests: 4,
    };
    assert_eq!(demand[&name::<TeamName>("large")], expected);
}

fn demand(values: &[u64]) -> BTreeMap<DaemonId, u64> {
    (0..)
        .zip(values)
        .map(|(number, value): (u32, _)| (name(&format!("entry-{number}")), *value))
        .collect()
}

#[rstest]
#[case::by_demand(120, &[100, 0, 0], &[80, 20, 20])]
#[case::small_demand_first(120, &[100, 30, 100], &[45, 30, 45])]
#[case::nothing_wanted(120, &[0, 0, 0], &[40, 40, 40])]
#[case::fewer_than_daemons(2, &[5, 5, 5], &[1, 1, 0])]
#[case::nothing_to_divide(0, &[5, 5], &[0, 0])]
fn a_limit_is_divided_by_demand_above_the_guaranteed_shares(
    #[case] limit: u64,
    #[case] wanted: &[u64],
    #[case] expected: &[u64],
) {
    assert_eq!(divide_shares(limit, &demand(wanted)), demand(expected));
}

proptest! {
    #[test]
    fn shares_sum_to_the_limit_and_are_never_below_the_guaranteed_share(
        limit in 0_u64..1_000_000,
        wanted in prop::collection::vec(0_u64..1_000_000, 1..20),
    ) {
        let shares = divide_shares(limit, &demand(&wanted));

        let guaranteed = guaranteed_share(limit, wanted.len() as u32);
        prop_assert_eq!(shares.values().sum::<u64>(), limit);
        prop_assert!(shares.values().all(|share| *share >= guaranteed));
    }

    // Grants and acknowledgements are lost at random, and daemons restart and fall back to their
    // guaranteed share. If a share were granted twice, the shares in use would sum above the
    // limit.
    #[test]
    fn shares_in_use_never_sum_above_the_limit(
        limit in 0_u64..10_000,
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let daemons = 5;
        let guaranteed = guaranteed_share(limit, daemons);
        let mut in_use = demand(&[guaranteed; 5]);
        let mut acknowledged = in_use.clone();
        let mut sent = in_use.clone();
        for _ in 0..50 {
            let wanted: Vec<u64> = (0..daemons).map(|_| rng.random_range(0..10_000)).collect();
            let target = divide_shares(limit, &demand(&wanted));
            let held = acknowledged
                .iter()
                .map(|(daemon, share)| (daemon.clone(), (*share).max(sent[daemon])))
                .collect();
            for (daemon, share) in safe_grants(limit, &held, &target) {
                // A lower share counts once acknowledged; a higher one as soon as sent.
                let is_received = rng.random_bool(0.7);
                let is_acknowledged = is_received && rng.random_bool(0.7);
                let most = share.max(held[&daemon]);
                sent.insert(daemon.clone(), if is_acknowledged { share } else { most });
                if is_received {
                    in_use.insert(daemon.clone(), share);
                }
                if is_acknowledged {
                    acknowledged.insert(daemon.clone(), share);
                }
                if rng.random_bool(0.1) {
                    in_use.insert(daemon, guaranteed);
                }
            }
            prop_assert!(in_use.values().sum::<u64>() <= limit);
        }
    }

    #[test]
    fn domain_limits_never_sum_above_the_limit(
        limit in 0_u64..1_000_000,
        domains in prop::collection::vec(1_u32..40, 1..19),
    ) {
        let all = domains.iter().sum();
        let sum: u64 = domains.iter().map(|daemons| domain_limit(limit, *daemons, all)).sum();

        prop_assert!(sum <= limit);
    }
}

fn failed(reason: RetryReason, is_repeatable: bool) -> RetrySituation {
    RetrySituation {
        reason,
        is_repeatable,
        attempts: 1,
        deadline: None,
    }
}

#[rstest]
#[case::may_have_run(RetryReason::BrokenBeforeAnswer, false, false)]
#[case::timed_out(RetryReason::TimedOutBeforeAnswer, false, false)]
#[case::failed(RetryReason::FailedByUpstream, false, false)]
#[case::never_connected(RetryReason::ConnectFailed, false, true)]
#[case::refused(RetryReason::RefusedByUpstream, false, true)]
#[case::stale_token(RetryReason::StaleToken, false, true)]
#[case::repeatable(RetryReason::BrokenBeforeAnswer, true, true)]
fn only_attempts_that_did_not_run_and_idempotent_requests_are_retried(
    #[case] reason: RetryReason,
    #[case] is_repeatable: bool,
    #[case] is_retried: bool,
) {
    let mut budget = RetryBudget::default();
    let situation = failed(reason, is_repeatable);

    let decision = budget.decide(situation, &Backoff::default(), Timestamp(0), 7);

    assert_eq!(matches!(decision, RetryDecision::After(_)), is_retried);
}

// While all upstreams fail, a limit of three retries per request would quadruple the load.
// The budget adds a tenth.
#[test]
fn retries_add_no_more_than_their_share_of_the_traffic() {
    let mut budget = RetryBudget::new(Percent(10), 20);
    let situation = failed(RetryReason::ConnectFailed, true);
    let mut retries = 0;

    for request in 0..10_000_u64 {
        budget.note_request();
        let decision = budget.decide(situation, &Backoff::default(), Timestamp(0), request);
        retries += u32::from(matches!(decision, RetryDecision::After(_)));
    }

    assert!((1_000..=1_020).contains(&retries), "{retries}");
}

#[test]
fn a_retry_that_would_start_after_the_deadline_is_given_up_at_once() {
    let mut budget = RetryBudget::default();
    let mut situation = failed(RetryReason::ConnectFailed, true);
    situation.deadline = Some(Timestamp(1_005));

    let decision = budget.decide(situation, &Backoff::default(), Timestamp(1_000), u64::MAX);

    let expected = RetryDecision::GiveUp(RetryRefusal::DeadlineTooClose);
    assert_eq!(decision, expected);
}

#[test]
fn retry_delays_grow_up_to_a_bound_and_are_spread_from_zero() {
    let backoff = Backoff::default();

    let longest = [1, 2, 3, 40].map(|attempts| backoff.delay(attempts, u64::MAX).as_millis());

    assert_eq!(longest, [10, 20, 40, 500]);
    assert_eq!(backoff.delay(3, 0), Duration::ZERO);
}

#[test]
fn only_first_attempts_of_idempotent_requests_are_hedged_after_the_measured_percentile() {
    let mut timer = HedgeTimer::default();
    let before = timer.hedge_after(true, true);

    for time_ms in 1..=500 {
        timer.record(Duration::from_millis(time_ms));
    }

    assert_eq!(before, None);
    let after = timer.hedge_after(true, true).unwrap().as_millis();
    assert!((450..=480).contains(&after), "{after}");
    assert_eq!(timer.hedge_after(false, true), None);
    assert_eq!(timer.hedge_after(true, false), None);
}
