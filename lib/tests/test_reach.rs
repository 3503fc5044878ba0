//! Which upstreams a daemon reaches, and through whom it sends the requests for the others.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    reach::{
        LinkChange,
        LinkGroup,
        LinkUse,
        LossEvidence,
        ReachTracker,
        Relay,
        RelayFailure,
        RelayKey,
        RelayOffer,
        RelayTable,
        relays_for, //
    },
    registry::InstanceId, //
};

const LATE: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Timestamp {
    Timestamp(ms)
}

fn group(domain: &str) -> LinkGroup {
    LinkGroup {
        service: "llm".parse().unwrap(),
        failure_domain: domain.parse().unwrap(),
    }
}

fn upstream(name: &str) -> InstanceId {
    name.parse().unwrap()
}

/// Returns a tracker of three upstreams in each of two failure domains: `a-0`, `b-0` and so on.
fn tracker() -> ReachTracker {
    let mut tracker = ReachTracker::default();
    let all: Vec<(InstanceId, LinkGroup)> = ["a", "b"]
        .iter()
        .flat_map(|domain| {
            (0..3).map(move |number| (upstream(&format!("{domain}-{number}")), group(domain)))
        })
        .collect();
    let links = all.iter().map(|(id, group)| (id, group.clone()));
    tracker.set_upstreams(links, ms(0));
    for (id, group) in &all {
        tracker.record_connected(id, group, ms(0));
    }
    tracker
}

fn fail_connection(tracker: &mut ReachTracker, id: &str, domain: &str, now: Timestamp) {
    let evidence = LossEvidence::ConnectFailed;
    tracker.record_connect_failure(&upstream(id), &group(domain), evidence, now);
}

fn link_use(tracker: &ReachTracker, id: &str, domain: &str) -> LinkUse {
    tracker.link_use(&upstream(id), &group(domain))
}

/// Guards against a single upstream that has ended being taken for a lost network.
#[test]
fn one_failed_connection_loses_one_link() {
    let mut tracker = tracker();

    fail_connection(&mut tracker, "a-0", "a", ms(1_000));

    assert_eq!(link_use(&tracker, "a-0", "a"), LinkUse::Relayed);
    assert_eq!(link_use(&tracker, "a-1", "a"), LinkUse::Direct);
    assert_eq!(link_use(&tracker, "b-0", "b"), LinkUse::Direct);
    assert!(tracker.lost_groups().is_empty());
}

/// Guards against callers who pay for each upstream of a lost group in turn.
#[test]
fn two_lost_links_lose_their_group_until_one_is_whole() {
    let mut tracker = tracker();

    fail_connection(&mut tracker, "a-0", "a", ms(1_000));
    fail_connection(&mut tracker, "a-1", "a", ms(1_100));
    let while_lost = link_use(&tracker, "a-2", "a");
    let others = link_use(&tracker, "b-0", "b");
    tracker.record_connected(&upstream("a-1"), &group("a"), ms(2_000));

    assert_eq!(while_lost, LinkUse::Relayed);
    // Idle connections to other groups may have gone silent with this one.
    assert_eq!(others, LinkUse::DirectNew);
    for id in ["a-0", "a-1", "a-2"] {
        assert_eq!(link_use(&tracker, id, "a"), LinkUse::Direct, "{id}");
    }
    let lost = Duration::from_millis(900);
    let changes = tracker.take_changes();
    let group = group("a");
    assert!(changes.contains(&LinkChange::GroupRegained { group, lost }));
}

/// Guards against requests that end a few upstreams in a row being taken for a lost network.
#[test]
fn three_refusals_in_a_row_lose_no_group_and_a_fourth_does() {
    let mut tracker = tracker();
    let ids: Vec<InstanceId> = (0..8)
        .map(|number| upstream(&format!("c-{number}")))
        .collect();
    let links = ids.iter().map(|id| (id, group("c")));
    tracker.set_upstreams(links, ms(0));
    let mut is_lost = Vec::new();

    for (number, id) in ids.iter().take(4).enumerate() {
        let now = ms(1_000 + number as u64);
        tracker.record_connect_failure(id, &group("c"), LossEvidence::Refused, now);
        is_lost.push(tracker.is_group_lost(&group("c")));
    }

    assert_eq!(is_lost, [false, false, false, true]);
}

/// Guards against callers who find out, link by link, that a whole group refuses them.
#[test]
fn after_a_refusal_another_link_of_the_group_is_tried() {
    let mut tracker = tracker();
    let evidence = LossEvidence::Refused;
    tracker.record_connect_failure(&upstream("a-0"), &group("a"), evidence, ms(1_000));

    let tried = tracker.take_due_trials(4, ms(1_100));
    for id in &tried {
        tracker.record_connected(id, &group("a"), ms(1_110));
    }
    let after_proof = tracker.take_due_trials(4, ms(1_120));

    assert!(tried.iter().any(|id| *id != upstream("a-0")), "{tried:?}");
    assert!(after_proof.is_empty(), "{after_proof:?}");
}

/// Guards against a group that is called lost although one of its upstreams was heard meanwhile.
#[test]
fn a_group_that_is_heard_between_two_losses_is_not_lost() {
    let mut tracker = tracker();

    fail_connection(&mut tracker, "a-0", "a", ms(1_000));
    tracker.record_heard(&upstream("a-2"), &group("a"), ms(1_050));
    fail_connection(&mut tracker, "a-1", "a", ms(1_100));

    assert!(tracker.lost_groups().is_empty());
    assert_eq!(link_use(&tracker, "a-2", "a"), LinkUse::Direct);
}

/// Guards against a sound upstream that pauses for a second and loses its connection for it.
#[test]
fn an_upstream_that_alone_is_silent_for_a_second_keeps_its_link() {
    let mut tracker = tracker();
    let sent_at = ms(1_000);

    tracker.record_heard(&upstream("a-1"), &group("a"), ms(1_950));
    let is_lost = tracker.record_unanswered(&upstream("a-0"), &group("a"), sent_at, ms(2_000));

    assert!(!is_lost);
    assert_eq!(link_use(&tracker, "a-0", "a"), LinkUse::Direct);
}

/// Guards against a connection that has gone silent for good and swallows one request after another.
#[test]
fn an_upstream_that_stays_silent_loses_its_link_until_it_is_heard() {
    let mut tracker = tracker();
    let sent_at = ms(1_000);
    let later = sent_at + LONG;
    tracker.record_heard(&upstream("a-1"), &group("a"), later);

    let is_lost = tracker.record_unanswered(&upstream("a-0"), &group("a"), sent_at, later);
    let while_lost = link_use(&tracker, "a-0", "a");
    tracker.record_heard(&upstream("a-0"), &group("a"), later);

    assert!(is_lost);
    assert_eq!(while_lost, LinkUse::Relayed);
    assert_eq!(link_use(&tracker, "a-0", "a"), LinkUse::Direct);
}

/// Guards against seconds in which requests vanish on connections that all hang.
#[test]
fn a_late_response_loses_the_link_if_its_whole_group_is_silent() {
    let mut tracker = tracker();
    let sent_at = ms(1_000);

    let is_lost = tracker.record_unanswered(&upstream("a-0"), &group("a"), sent_at, sent_at + LATE);

    assert!(is_lost);
}

/// Guards against old connections that live on and hide that new ones are refused.
#[test]
fn bytes_on_an_old_connection_are_no_proof_against_a_failed_new_one() {
    let mut tracker = tracker();
    fail_connection(&mut tracker, "a-0", "a", ms(1_000));

    tracker.record_heard(&upstream("a-0"), &group("a"), ms(1_100));

    assert_eq!(link_use(&tracker, "a-0", "a"), LinkUse::Relayed);
}

/// Guards against a lost group that nothing tries again because its lost upstreams have ended.
#[test]
fn a_group_whose_lost_upstreams_have_ended_is_whole_again() {
    let mut tracker = tracker();
    fail_connection(&mut tracker, "a-0", "a", ms(1_000));
    fail_connection(&mut tracker, "a-1", "a", ms(1_000));
    let rest = upstream("a-2");

    tracker.set_upstreams([(&rest, group("a"))].into_iter(), ms(2_000));

    assert!(tracker.lost_groups().is_empty());
    assert!(!tracker.has_losses());
}

/// Guards against a loss that other daemons go on hearing of after its upstreams have left.
#[test]
fn the_loss_of_a_group_ends_with_its_last_upstream() {
    let mut tracker = tracker();
    for id in ["a-0", "a-1", "a-2"] {
        fail_connection(&mut tracker, id, "a", ms(1_000));
    }
    tracker.take_changes();
    let other = upstream("b-0");

    tracker.set_upstreams([(&other, group("b"))].into_iter(), ms(2_000));

    let group = group("a");
    let lost = Duration::from_secs(1);
    assert_eq!(
        tracker.take_changes(),
        [LinkChange::GroupRegained { group, lost }]
    );
}

/// Guards against thousands of connections that are tried while a daemon is cut off.
#[test]
fn a_lost_group_is_tried_by_one_link_at_a_time() {
    let mut tracker = tracker();
    for id in ["a-0", "a-1", "a-2"] {
        fail_connection(&mut tracker, id, "a", ms(1_000));
    }

    let tried: Vec<usize> = (10..40)
        .map(|tenth| tracker.take_due_trials(4, ms(tenth * 100)).len())
        .collect();
    let first_ones: BTreeSet<InstanceId> = (40..60)
        .flat_map(|tenth| tracker.take_due_trials(4, ms(tenth * 100)))
        .collect();

    assert!(tried.iter().all(|trials| *trials <= 1), "{tried:?}");
    assert!(tried.iter().sum::<usize>() >= 8, "{tried:?}");
    assert_eq!(first_ones.len(), 3, "each link gets its turn");
}

fn relay(name: &str, domain: &str, lost: &[&str]) -> Relay {
    Relay {
        daemon: name.parse().unwrap(),
        failure_domain: domain.parse().unwrap(),
        offer: RelayOffer {
            address: "127.0.0.1:1".parse().unwrap(),
            key: RelayKey(7),
            lost: lost.iter().map(|domain| group(domain)).collect(),
        },
    }
}

fn choose(table: &RelayTable, relays: &[Relay], now: Timestamp, random: u64) -> Option<String> {
    let home = "a".parse().unwrap();
    let chosen = table.choose(relays, (&group("a"), &home), &[], now, random);
    chosen.map(|relay| relay.daemon.to_string())
}

/// Guards against requests that go to a relay which is cut off as well.
#[test]
fn a_relay_that_has_lost_the_group_is_not_chosen() {
    let table = RelayTable::default();
    let relays = [relay("near", "a", &["a"]), relay("far", "b", &["b"])];

    let chosen = choose(&table, &relays, ms(0), 1);

    assert_eq!(chosen.as_deref(), Some("far"));
}

/// Guards against bytes between failure domains that nothing makes necessary.
#[test]
fn a_near_relay_is_chosen_until_it_has_many_more_requests() {
    let mut table = RelayTable::default();
    let relays = [relay("near", "a", &[]), relay("far", "b", &[])];
    let near = "near".parse().unwrap();

    let idle = choose(&table, &relays, ms(0), 1);
    for _ in 0..9 {
        table.record_start(&near);
    }
    let busy = choose(&table, &relays, ms(0), 1);

    assert_eq!(idle.as_deref(), Some("near"));
    assert_eq!(busy.as_deref(), Some("far"));
}

/// Guards against one idle relay that all cut daemons choose at once.
#[test]
fn equal_relays_are_chosen_in_turn() {
    let table = RelayTable::default();
    let relays = [relay("one", "a", &[]), relay("two", "a", &[])];

    let chosen: BTreeSet<String> = (0..8)
        .filter_map(|random| choose(&table, &relays, ms(0), random))
        .collect();

    assert_eq!(chosen.len(), 2);
}

/// Guards against a relay that failed and is asked by each of the next requests.
#[test]
fn a_relay_that_failed_is_left_alone_for_a_while() {
    let mut table = RelayTable::default();
    let relays = [relay("one", "a", &[])];
    let one: DaemonId = "one".parse().unwrap();

    table.record_failure(&one, RelayFailure::Unusable, ms(1_000));

    assert_eq!(choose(&table, &relays, ms(1_100), 0), None);
    assert_eq!(
        choose(&table, &relays, ms(2_000), 0).as_deref(),
        Some("one")
    );
}

/// Guards against requests that are refused because slow upstreams make all relays look useless.
#[test]
fn a_late_relay_is_chosen_only_if_there_is_no_other() {
    let mut table = RelayTable::default();
    let relays = [relay("late", "a", &[]), relay("far", "b", &[])];
    let late: DaemonId = "late".parse().unwrap();

    table.record_failure(&late, RelayFailure::Late(group("a")), ms(1_000));

    let of_two = choose(&table, &relays, ms(1_100), 0);
    let of_one = choose(&table, &relays[..1], ms(1_100), 0);
    assert_eq!(of_two.as_deref(), Some("far"));
    assert_eq!(of_one.as_deref(), Some("late"));
}

/// Guards against a relay that is shut out for all upstreams although it has lost one group.
#[test]
fn a_relay_that_reaches_no_upstream_of_one_group_serves_the_others() {
    let mut table = RelayTable::default();
    let relays = [relay("one", "a", &[])];
    let one = "one".parse().unwrap();

    table.record_failure(&one, RelayFailure::Unreached(group("b")), ms(1_000));

    assert_eq!(
        choose(&table, &relays, ms(1_100), 0).as_deref(),
        Some("one")
    );
}

/// Guards against lists that grow with the fleet, or that name only daemons that fail together.
#[test]
fn a_daemon_of_a_large_fleet_knows_a_few_relays_of_two_failure_domains() {
    let fleet: Vec<Relay> = (0..520)
        .map(|number| relay(&format!("e-{number}"), &format!("d-{}", number % 19), &[]))
        .collect();

    let update = relays_for(
        &"e-0".parse().unwrap(),
        &"d-0".parse().unwrap(),
        fleet.into_iter(),
    );

    let domains: BTreeSet<&FailureDomain> = update
        .relays
        .iter()
        .map(|relay| &relay.failure_domain)
        .collect();
    assert!(update.relays.len() <= 12, "{}", update.relays.len());
    assert!(domains.len() >= 2, "{domains:?}");
    assert!(
        update
            .relays
            .iter()
            .all(|relay| relay.daemon.as_str() != "e-0")
    );
}

/// Guards against a few relays that the whole fleet chooses.
#[test]
fn daemons_of_a_large_fleet_know_different_relays() {
    let fleet: Vec<Relay> = (0..520)
        .map(|number| relay(&format!("e-{number}"), &format!("d-{}", number % 19), &[]))
        .collect();
    let mut named = std::collections::BTreeMap::<DaemonId, usize>::new();

    for one in &fleet {
        let update = relays_for(&one.daemon, &one.failure_domain, fleet.iter().cloned());
        for relay in update.relays {
            *named.entry(relay.daemon).or_default() += 1;
        }
    }

    let most = named.values().max().copied().unwrap_or(0);
    assert!(named.len() > 500, "{} are named", named.len());
    assert!(most <= 36, "one is named {most} times, 12 on average");
}

/// Guards against a list that keeps naming relays whose links are lost.
#[test]
fn relays_with_whole_links_are_named_first() {
    let fleet = (0..30).map(|number| {
        let lost: &[&str] = match number < 25 {
            true => &["a"],
            false => &[],
        };
        relay(&format!("e-{number}"), "a", lost)
    });

    let update = relays_for(&"e-0".parse().unwrap(), &"a".parse().unwrap(), fleet);

    let whole = update
        .relays
        .iter()
        .filter(|relay| !relay.has_lost(&group("a")));
    assert_eq!(whole.count(), 5);
}
