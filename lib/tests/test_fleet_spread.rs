//! Propagation of configurations by control daemons, and the rollout status of a revision.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
};

use cicadabend::{
    fleet::{
        FleetConfig,
        MAX_RECENT_CONFIGS,
        RecentConfigs,
        UpdateOutcome,
        delta::ConfigDelta,
        rollout_status::{
            RolloutStatus,
            rollout_status, //
        }, //
        spread::{
            ConfigMessage,
            ControlSpread,
            Topology, //
        },
    },
    peer_api::{
        ConfigBody,
        ConfigUpdate,
        ConfirmedRevision,
        ControlHello,
        DomainReport, //
    },
    prelude::*,
};
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

const DOMAINS: [&str; 3] = ["cumbaya", "carcelen", "sangolqui"];

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

/// Returns three failure domains with three entry daemons each, and control daemons in the first
/// two.
fn topology(own: &str) -> Topology {
    let entry = |domain_name: &&str, number: u32| {
        let name = daemon(&format!("entry-{domain_name}-{number}"));
        (name, domain(domain_name))
    };
    let entries = DOMAINS
        .iter()
        .flat_map(|name| (1..=3).map(move |number| entry(name, number)));
    Topology {
        own: daemon(own),
        boot: BootId(1),
        controls: BTreeMap::from([
            (daemon("control-1"), domain("cumbaya")),
            (daemon("control-2"), domain("carcelen")),
        ]),
        entries: entries.collect(),
    }
}

fn config(revision: u64) -> Arc<FleetConfig> {
    let vm: VmId = format!("vm-{revision}").parse().unwrap();
    Arc::new(FleetConfig {
        drained_vms: BTreeSet::from([vm]),
        ..FleetConfig::default()
    })
}

fn report(domain_name: &str, sequence: u64, applied: u64) -> DomainReport {
    DomainReport {
        failure_domain: domain(domain_name),
        leader: leader(domain_name),
        epoch: 1,
        sequence,
        applied: Revision(applied),
        lagging: BTreeMap::new(),
        unreachable: Vec::new(),
        groups: Vec::new(),
        vms: Vec::new(),
        group_downtime_ms: 0,
        stranded_accelerator_ms: 0,
    }
}

fn leader(domain_name: &str) -> DaemonId {
    daemon(&format!("entry-{domain_name}-1"))
}

fn hello(hears: &[&str]) -> ControlHello {
    ControlHello {
        operators: None,
        hears: hears.iter().map(|name| domain(name)).collect(),
        is_level: true,
        confirmed: None,
    }
}

/// Returns a control daemon that knows that it has all accepted revisions.
fn level_spread(own: &str) -> ControlSpread {
    let mut spread = ControlSpread::new(topology(own));
    spread.record_confirmed_revision(Revision(0));
    spread
}

/// Returns `control-1`, with recent reports of all domain leaders and a hello of `control-2`.
fn spread_at(now: Timestamp, applied: u64) -> ControlSpread {
    let mut spread = level_spread("control-1");
    receive_all(&mut spread, now, applied);
    spread
}

fn receive_all(spread: &mut ControlSpread, now: Timestamp, applied: u64) {
    for name in DOMAINS {
        let report = report(name, now.0 + 1, applied);
        spread.handle_domain_report(&leader(name), report, now);
    }
    spread.handle_control_hello(daemon("control-2"), BootId(2), hello(&DOMAINS), now);
}

fn receivers(sendings: &[ConfigMessage]) -> BTreeSet<DaemonId> {
    sendings.iter().map(|sending| sending.to.clone()).collect()
}

fn apply(before: &FleetConfig, update: &ConfigUpdate) -> FleetConfig {
    match &update.body {
        ConfigBody::Whole(config) => (**config).clone(),
        ConfigBody::Delta(bytes) => ConfigDelta::from_bytes(bytes)
            .unwrap()
            .apply(before)
            .unwrap(),
        ConfigBody::Digest => panic!("a digest brings no configuration"),
    }
}

#[test]
fn a_change_goes_as_a_delta_to_the_leader_of_the_own_domain_only() {
    let mut spread = spread_at(Timestamp(0), 1);
    spread.accept(Revision(1), config(1));
    spread.tick(Timestamp(0));
    spread.accept(Revision(2), config(2));

    let sendings = spread.tick(Timestamp(50));

    let own: Vec<&ConfigMessage> = sendings
        .iter()
        .filter(|sending| sending.to == leader("cumbaya"))
        .collect();
    assert_eq!(own.len(), 1);
    assert_eq!(own[0].update.base, Some(Revision(1)));
    assert_eq!(apply(&config(1), &own[0].update), *config(2));
    let others = BTreeSet::from([leader("cumbaya"), leader("sangolqui")]);
    assert!(receivers(&sendings).is_subset(&others), "{sendings:?}");
    assert_eq!(spread.tick(Timestamp(100)), Vec::new());
}

/// The third failure domain has no control daemon of its own. Exactly one of the two that receive
/// its reports serves it; both must come to the same choice.
#[test]
fn a_domain_without_its_own_control_daemon_is_served_by_exactly_one() {
    let now = Timestamp(0);
    let serving = ["control-1", "control-2"].map(|own| {
        let mut spread = level_spread(own);
        for other in ["control-1", "control-2"] {
            spread.handle_control_hello(daemon(other), BootId(2), hello(&DOMAINS), now);
        }
        receive_all(&mut spread, now, 1);
        spread.serves(&domain("sangolqui"), now)
    });

    assert_ne!(serving[0], serving[1]);
}

/// `control-2` is silent for longer than a hello counts as recent, so `control-1` serves its
/// failure domain; after its next hello, `control-2` serves that domain itself.
#[test]
fn the_domain_of_a_silent_control_daemon_is_taken_over_until_its_next_hello() {
    let mut spread = spread_at(Timestamp(0), 1);
    assert!(!spread.serves(&domain("carcelen"), Timestamp(1_000)));

    assert!(spread.serves(&domain("carcelen"), Timestamp(4_000)));

    spread.handle_control_hello(
        daemon("control-2"),
        BootId(2),
        hello(&DOMAINS),
        Timestamp(5_000),
    );
    assert!(!spread.serves(&domain("carcelen"), Timestamp(5_000)));
}

/// A partition separates `control-2` from the third failure domain but not from `control-1`, which
/// therefore serves that domain whichever of the two the rule would choose.
#[test]
fn a_control_daemon_without_reports_of_a_domain_does_not_serve_it() {
    let now = Timestamp(0);
    let mut spread = spread_at(now, 1);
    spread.handle_control_hello(daemon("control-2"), BootId(2), hello(&["carcelen"]), now);

    assert!(spread.serves(&domain("sangolqui"), now));
}

#[test]
fn all_daemons_of_a_domain_without_a_report_get_a_digest() {
    let mut spread = level_spread("control-1");
    spread.handle_control_hello(
        daemon("control-2"),
        BootId(2),
        hello(&["sangolqui"]),
        Timestamp(0),
    );
    spread.accept(Revision(1), config(1));

    let sendings = spread.tick(Timestamp(0));

    let of_domain = (1..=3).map(|number| daemon(&format!("entry-cumbaya-{number}")));
    assert_eq!(receivers(&sendings), of_domain.collect());
    let is_digest = |sending: &ConfigMessage| sending.update.body == ConfigBody::Digest;
    assert!(sendings.iter().all(is_digest));
}

/// A daemon has missed changes. It asks with its revision and gets the delta; it asks at once from
/// the same revision, because the delta did not fit, and gets the whole configuration. A third
/// request within 100 ms gets no answer, so that many requests cost no more.
#[test]
fn a_daemon_that_missed_changes_gets_a_delta_and_then_the_whole_configuration() {
    let mut spread = spread_at(Timestamp(0), 1);
    for revision in 1..=5 {
        spread.accept(Revision(revision), config(revision));
    }
    let asking = leader("cumbaya");

    let first = spread.answer(&asking, Revision(3), Timestamp(0)).unwrap();
    let second = spread.answer(&asking, Revision(3), Timestamp(1)).unwrap();
    let too_soon = spread.answer(&asking, Revision(3), Timestamp(100));

    assert_eq!(first.update.base, Some(Revision(3)));
    assert_eq!(apply(&config(3), &first.update), *config(5));
    assert!(matches!(second.update.body, ConfigBody::Whole(_)));
    assert_eq!(apply(&config(3), &second.update), *config(5));
    assert_eq!(too_soon, None);
}

/// A daemon that cannot use the delta that it was sent gets the whole configuration at its first
/// request.
#[test]
fn a_daemon_that_asks_from_the_base_of_its_delta_gets_the_whole_configuration_at_once() {
    let mut spread = spread_at(Timestamp(0), 1);
    spread.accept(Revision(1), config(1));
    spread.accept(Revision(2), config(2));
    let sent = spread.tick(Timestamp(0));
    let own = leader("cumbaya");
    assert!(sent.iter().any(|sending| {
        sending.to == own && matches!(sending.update.body, ConfigBody::Delta(_))
    }));

    let answer = spread.answer(&own, Revision(1), Timestamp(1)).unwrap();

    assert!(matches!(answer.update.body, ConfigBody::Whole(_)));
}

/// The delta of a change is lost. The reminder makes the daemon ask, and it gets the delta again: a
/// lost message must not cost a whole configuration.
#[test]
fn a_lost_delta_is_sent_again_as_a_delta() {
    let mut spread = spread_at(Timestamp(0), 1);
    spread.accept(Revision(1), config(1));
    spread.accept(Revision(2), config(2));
    spread.tick(Timestamp(0));
    let reminded = spread.tick(Timestamp(400));
    assert!(receivers(&reminded).contains(&leader("cumbaya")));

    let answer = spread.answer(&leader("cumbaya"), Revision(1), Timestamp(401));

    assert_eq!(answer.unwrap().update.base, Some(Revision(1)));
}

/// One daemon sends updates to another one; messages are lost, duplicated and reordered at random
/// from a fixed seed. The receiver never goes back to an older revision and ends with the newest
/// one.
#[test]
fn a_receiver_of_lost_doubled_and_reordered_updates_never_goes_back() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(7);
    let mut sender = RecentConfigs::default();
    let mut receiver = RecentConfigs::default();
    let mut in_flight: Vec<ConfigUpdate> = Vec::new();
    for revision in 1..=500 {
        sender.accept(Revision(revision), config(revision));
        in_flight.push(sender.latest());
        for _ in 0..random.random_range(0..3) {
            if in_flight.is_empty() {
                break;
            }
            let chosen = random.random_range(0..in_flight.len());
            let update = match random.random_bool(0.3) {
                true => in_flight[chosen].clone(),
                false => in_flight.swap_remove(chosen),
            };
            let before = receiver.revision();
            if receiver.receive(&update) == UpdateOutcome::Behind && random.random_bool(0.5) {
                in_flight.push(sender.whole());
            }
            assert!(receiver.revision() >= before);
            assert!(
                receiver.revision() == Revision(0)
                    || *receiver.config() == *config(receiver.revision().0)
            );
        }
    }
    assert_eq!(receiver.receive(&sender.whole()), UpdateOutcome::Applied);
    assert_eq!(receiver.receive(&sender.latest()), UpdateOutcome::Same);
    assert_eq!(receiver.config(), sender.config());
}

#[rstest]
#[case::nothing(0)]
#[case::a_revision_no_longer_stored(1)]
fn a_daemon_far_behind_gets_the_whole_configuration(#[case] have: u64) {
    let mut spread = spread_at(Timestamp(0), 1);
    let last = MAX_RECENT_CONFIGS as u64 + 10;
    for revision in 1..=last {
        spread.accept(Revision(revision), config(revision));
    }

    let answer = spread.answer(&leader("cumbaya"), Revision(have), Timestamp(0));

    let update = answer.unwrap().update;
    assert_eq!(update.revision, Revision(last));
    assert!(matches!(update.body, ConfigBody::Whole(_)));
}

#[test]
fn a_daemon_that_is_up_to_date_or_unknown_gets_no_answer() {
    let mut spread = spread_at(Timestamp(0), 1);
    spread.accept(Revision(1), config(1));

    assert_eq!(
        spread.answer(&leader("cumbaya"), Revision(1), Timestamp(0)),
        None
    );
    assert_eq!(
        spread.answer(&daemon("stranger"), Revision(0), Timestamp(0)),
        None
    );
}

#[test]
fn an_older_revision_is_never_sent_after_a_newer_one() {
    let mut spread = spread_at(Timestamp(0), 1);
    spread.accept(Revision(2), config(2));
    spread.accept(Revision(1), config(1));

    assert_eq!(spread.revision(), Revision(2));
    let answer = spread.answer(&leader("cumbaya"), Revision(0), Timestamp(0));
    assert_eq!(answer.unwrap().update.revision, Revision(2));
}

/// A message with a change is lost. The daemon does not acknowledge the change, so it is reminded
/// soon; once it has acknowledged, digests are rare.
#[test]
fn a_daemon_that_does_not_acknowledge_is_reminded() {
    let mut spread = spread_at(Timestamp(0), 1);
    spread.accept(Revision(1), config(1));
    spread.tick(Timestamp(0));
    spread.accept(Revision(2), config(2));
    spread.tick(Timestamp(50));

    let count = |spread: &mut ControlSpread, from_ms: u64| {
        let own = leader("cumbaya");
        let times = (0..20).map(|tick| Timestamp(from_ms + tick * 100));
        let sent = times.flat_map(|now| spread.tick(now)).collect::<Vec<_>>();
        sent.into_iter().filter(|sending| sending.to == own).count()
    };
    assert_eq!(count(&mut spread, 100), 4);
    spread.handle_config_acknowledgement(&leader("cumbaya"), Revision(2));
    assert_eq!(count(&mut spread, 2_100), 1);
}

#[test]
fn reports_of_other_domains_daemons_and_older_reports_are_ignored() {
    let mut spread = spread_at(Timestamp(0), 1);
    spread.handle_domain_report(&leader("carcelen"), report("cumbaya", 9, 9), Timestamp(10));
    spread.handle_domain_report(&leader("cumbaya"), report("cumbaya", 0, 0), Timestamp(10));

    assert_eq!(
        spread.reports()[&domain("cumbaya")].report.applied,
        Revision(1)
    );
}

fn rollout_status_of(spread: &ControlSpread, revision: u64, now: u64) -> RolloutStatus {
    let entries = topology("control-1").entries;
    rollout_status(
        &entries,
        spread.reports(),
        Revision(revision),
        Timestamp(now),
    )
}

#[test]
fn a_revision_is_in_force_when_every_reachable_daemon_has_applied_it() {
    let spread = spread_at(Timestamp(0), 7);

    assert!(rollout_status_of(&spread, 7, 0).in_force);
    let newer = rollout_status_of(&spread, 8, 0);
    assert!(!newer.in_force);
    assert_eq!(newer.lagging.len(), 9);
}

#[test]
fn lagging_and_unreachable_daemons_are_listed() {
    let mut spread = spread_at(Timestamp(0), 7);
    let lagging = daemon("entry-carcelen-2");
    let unreachable = daemon("entry-cumbaya-3");
    let mut slow = report("carcelen", 5, 6);
    slow.lagging.insert(lagging.clone(), Revision(6));
    spread.handle_domain_report(&leader("carcelen"), slow, Timestamp(100));
    let mut torn = report("cumbaya", 5, 7);
    torn.unreachable.push(unreachable.clone());
    spread.handle_domain_report(&leader("cumbaya"), torn, Timestamp(100));

    let rollout_status = rollout_status_of(&spread, 7, 100);

    assert!(!rollout_status.in_force);
    assert_eq!(
        rollout_status.lagging,
        BTreeMap::from([(lagging, Revision(6))])
    );
    assert_eq!(rollout_status.unreachable, vec![unreachable]);
}

/// A failure domain is cut off and its reports stop. Its daemons are listed as unreachable, and the
/// revision is in force among those that can be reached.
#[test]
fn a_silent_domain_is_unreachable_and_does_not_delay_a_revision() {
    let mut spread = spread_at(Timestamp(0), 1);
    for name in ["cumbaya", "carcelen"] {
        spread.handle_domain_report(&leader(name), report(name, 10_000, 2), Timestamp(10_000));
    }

    let rollout_status = rollout_status_of(&spread, 2, 10_000);

    assert!(rollout_status.in_force);
    let silent = (1..=3).map(|number| daemon(&format!("entry-sangolqui-{number}")));
    assert_eq!(rollout_status.unreachable, silent.collect::<Vec<_>>());
}

#[test]
fn no_revision_is_in_force_without_reports() {
    let spread = ControlSpread::new(topology("control-1"));

    assert!(!rollout_status_of(&spread, 0, 0).in_force);
}

/// Returns the hello of `control-2`, as the leader, after it has confirmed a revision to boot `run`
/// of `control-1`.
fn leader_hello(run: u64, revision: u64) -> ControlHello {
    ControlHello {
        confirmed: Some(ConfirmedRevision {
            revision: Revision(revision),
            runs: BTreeMap::from([(daemon("control-1"), BootId(run))]),
        }),
        ..hello(&DOMAINS)
    }
}

/// A control daemon was down while revisions were accepted, and starts with the revision on its
/// disk. An entry daemon that restarts at the same time asks it. It must not get the old revision,
/// or it would serve by an older one than before its restart.
#[test]
fn a_control_daemon_sends_nothing_before_it_knows_that_it_is_up_to_date() {
    let mut spread = ControlSpread::new(topology("control-1"));
    receive_all(&mut spread, Timestamp(0), 3);
    spread.accept(Revision(1), config(1));

    assert_eq!(spread.tick(Timestamp(0)), Vec::new());
    assert_eq!(
        spread.answer(&leader("cumbaya"), Revision(0), Timestamp(0)),
        None
    );

    spread.handle_control_hello(
        daemon("control-2"),
        BootId(2),
        leader_hello(1, 3),
        Timestamp(0),
    );
    assert_eq!(spread.tick(Timestamp(1_000)), Vec::new());

    spread.accept(Revision(3), config(3));
    let answer = spread.answer(&leader("cumbaya"), Revision(0), Timestamp(2_000));
    assert_eq!(answer.unwrap().update.revision, Revision(3));
}

/// A hello of the leader to an earlier boot has waited in a socket and reaches the new boot. It
/// does not cover the revisions accepted since, so it must not count.
#[test]
fn a_revision_confirmed_to_an_earlier_boot_does_not_count() {
    let mut spread = ControlSpread::new(topology("control-1"));
    receive_all(&mut spread, Timestamp(0), 3);
    spread.accept(Revision(1), config(1));

    spread.handle_control_hello(
        daemon("control-2"),
        BootId(2),
        leader_hello(0, 1),
        Timestamp(0),
    );

    assert!(!spread.is_level());
    assert_eq!(spread.tick(Timestamp(0)), Vec::new());
}

/// A failure domain's own control daemon does not know yet that it has all accepted revisions, and
/// therefore sends nothing. Another one serves the domain meanwhile.
#[test]
fn the_domain_of_a_control_daemon_that_is_not_up_to_date_is_taken_over() {
    let mut spread = spread_at(Timestamp(0), 1);
    let silent = ControlHello {
        is_level: false,
        ..hello(&DOMAINS)
    };

    spread.handle_control_hello(daemon("control-2"), BootId(3), silent, Timestamp(0));

    assert!(spread.serves(&domain("carcelen"), Timestamp(0)));
}
