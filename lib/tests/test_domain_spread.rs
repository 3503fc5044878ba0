//! Distribution of a configuration to all daemons of a failure domain, and reports to other
//! domains and to control.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be set up ends its test"
)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration,
};

use cicadabend::{
    domain::{
        coordinator::{
            Action,
            Coordinator, //
        },
        membership::Source,
        parameters::{
            DomainParameters,
            DomainTiming, //
        },
        spread_tree,
    },
    fleet::RoutingPolicy,
    peer_api::{
        ConfigBody,
        ConfigUpdate,
        DomainReport,
        PeerMessage,
        PolicyStatisticsDelta, //
    },
    prelude::*,
    upstream_api::{
        Announcement,
        LoadReport,
        UpstreamKind, //
    },
};
use rstest::rstest;

const DOMAINS: [&str; 2] = ["cumbaya", "carcelen"];

fn entry(domain: &str, number: usize) -> DaemonId {
    format!("{domain}-entry-{number:02}")
        .parse()
        .expect("a valid name")
}

fn control(domain: &str) -> DaemonId {
    format!("{domain}-control").parse().expect("a valid name")
}

fn domain_name(domain: &str) -> FailureDomain {
    domain.parse().expect("a valid name")
}

fn parameters(domain: &str, number: usize, count: usize) -> DomainParameters {
    let entries = |domain: &str| (0..count).map(|number| entry(domain, number)).collect();
    let others = DOMAINS.iter().filter(|other| **other != domain);
    let controls = DOMAINS
        .iter()
        .map(|domain| (control(domain), domain_name(domain)));
    DomainParameters {
        daemon: entry(domain, number),
        failure_domain: domain_name(domain),
        daemons: entries(domain),
        control: controls.collect(),
        other_domains: others
            .map(|other| (domain_name(other), entries(other)))
            .collect(),
        timing: DomainTiming {
            leader_lease: Duration::from_secs(2),
            heartbeat: Duration::from_millis(400),
            clock_rate_error: Percent(5),
            settle: Duration::from_millis(1_500),
            upstream_lease: Duration::from_secs(2),
            announce_interval: Duration::from_millis(500),
        },
        seed: number as u64 + domain.len() as u64 * 100,
    }
}

/// Daemons of two domains that share one clock. Messages arrive at once, unless their sender or
/// receiver is partitioned off.
struct Fleet {
    daemons: BTreeMap<DaemonId, Coordinator>,
    partitioned: BTreeSet<DaemonId>,
    now_ms: u64,
    config: ConfigUpdate,
    /// The last report of each domain to control.
    reports: BTreeMap<FailureDomain, DomainReport>,
    /// How many whole configurations and deltas each daemon has sent.
    configs_sent: BTreeMap<DaemonId, usize>,
    /// How many requests the statistics sent to the first control daemon count.
    requests: u64,
}

fn update(revision: u64) -> ConfigUpdate {
    ConfigUpdate {
        revision: Revision(revision),
        base: None,
        body: ConfigBody::Whole(Box::default()),
    }
}

impl Fleet {
    fn new(count: usize) -> Self {
        let numbers = |domain| (0..count).map(move |number| (domain, number));
        let daemons = DOMAINS
            .into_iter()
            .flat_map(numbers)
            .map(|(domain, number)| {
                let parameters = parameters(domain, number, count);
                (
                    entry(domain, number),
                    Coordinator::new(parameters, Timestamp(0)),
                )
            });
        Self {
            daemons: daemons.collect(),
            partitioned: BTreeSet::new(),
            now_ms: 0,
            config: update(1),
            reports: BTreeMap::new(),
            configs_sent: BTreeMap::new(),
            requests: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.now_ms)
    }

    fn advance(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.now_ms += 50;
            let now = self.now();
            let names: Vec<DaemonId> = self.daemons.keys().cloned().collect();
            for name in names {
                let daemon = self.daemons.get_mut(&name).expect("a daemon");
                let actions = daemon.tick(now);
                self.deliver(&name, actions);
            }
        }
    }

    fn deliver(&mut self, from: &DaemonId, actions: Vec<Action>) {
        for action in actions {
            let Action::Send(to, message) = action else {
                continue;
            };
            if self.partitioned.contains(from) || self.partitioned.contains(&to) {
                continue;
            }
            self.count_sent_config(from, &message);
            if self.daemons.contains_key(&to) {
                self.receive(from, &to, message);
            } else {
                self.control_receives(from, &to, message);
            }
        }
    }

    fn count_sent_config(&mut self, from: &DaemonId, message: &PeerMessage) {
        if let PeerMessage::Config(update) = message
            && update.body != ConfigBody::Digest
        {
            *self.configs_sent.entry(from.clone()).or_default() += 1;
        }
    }

    fn receive(&mut self, from: &DaemonId, to: &DaemonId, message: PeerMessage) {
        let now = self.now();
        let daemon = self.daemons.get_mut(to).expect("a daemon");
        let actions = daemon.receive(from, message, now);
        self.deliver(to, actions);
    }

    fn control_receives(&mut self, from: &DaemonId, to: &DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Report(report) => {
                self.reports.insert(report.failure_domain.clone(), report);
            }
            PeerMessage::Figures(statistics) if *to == control(DOMAINS[0]) => {
                self.requests += statistics
                    .iter()
                    .map(|statistics| statistics.requests)
                    .sum::<u64>();
            }
            PeerMessage::ConfigRequest { have } if have < self.config.revision => {
                self.receive(to, from, PeerMessage::Config(self.config.clone()));
            }
            _ => {}
        }
    }

    fn leader(&self, domain: &str) -> DaemonId {
        let now = self.now();
        let holds =
            |(_, daemon): &(&DaemonId, &Coordinator)| daemon.lease().held_epoch(now).is_some();
        let of_domain = self
            .daemons
            .iter()
            .filter(|(name, _)| name.as_str().starts_with(domain));
        let leader = of_domain.into_iter().find(holds);
        leader.expect("a leader").0.clone()
    }

    /// Sends a new revision to the leader of a domain, as control does.
    fn confirm_revision(&mut self, domain: &str, revision: u64) {
        self.config = update(revision);
        let leader = self.leader(domain);
        self.configs_sent.clear();
        self.receive(
            &control(domain),
            &leader,
            PeerMessage::Config(self.config.clone()),
        );
    }

    fn announce(&mut self, domain: &str, to: usize, announcement: &Announcement) {
        let now = self.now();
        let name = entry(domain, to);
        let daemon = self.daemons.get_mut(&name).expect("a daemon");
        let source = Source::Direct { made_after: None };
        let actions = daemon
            .handle_announcement(announcement.clone(), source, now)
            .expect("it counts");
        self.deliver(&name, actions);
    }

    fn replicas(&self, name: &DaemonId) -> usize {
        self.daemons[name].snapshot(self.now()).replicas.len()
    }
}

fn plain_service(sequence: u64, leaving: bool) -> Announcement {
    Announcement {
        vm: "plain-1".parse().expect("a valid name"),
        boot: BootId(1),
        sequence,
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        failure_domain: domain_name(DOMAINS[0]),
        fabric_domain: "cumbaya-a".parse().expect("a valid name"),
        kind: UpstreamKind::Plain {
            service: "field-api".parse().expect("a valid name"),
        },
        leaving,
        slots: Slots(4),
        load: LoadReport::default(),
        cache_events: Vec::new(),
    }
}

#[rstest]
#[case::one(1)]
#[case::five(5)]
#[case::twenty_seven(27)]
fn every_daemon_has_one_parent_in_the_tree(#[case] count: usize) {
    let daemons: BTreeSet<DaemonId> = (0..count).map(|number| entry("cumbaya", number)).collect();
    let leader = entry("cumbaya", count / 2);

    for daemon in &daemons {
        let children = spread_tree::children(&leader, &daemons, daemon);
        assert!(children.len() <= spread_tree::FAN_OUT);
        for child in children {
            assert_eq!(spread_tree::parent(&leader, &daemons, &child), Some(daemon));
        }
    }
    let orphans = daemons
        .iter()
        .filter(|daemon| spread_tree::parent(&leader, &daemons, daemon).is_none());
    assert_eq!(orphans.collect::<Vec<_>>(), vec![&leader]);
}

/// A change is applied by all 27 daemons of the domain within a second. The leader reports that
/// to control, and no daemon sends the change to more than four others.
#[test]
fn a_change_reaches_all_daemons_of_a_large_domain() {
    let mut fleet = Fleet::new(27);
    fleet.advance(8_000);

    fleet.confirm_revision("cumbaya", 2);
    fleet.advance(1_000);

    let of_domain = fleet
        .daemons
        .iter()
        .filter(|(name, _)| name.as_str().starts_with("cumbaya"));
    for (name, daemon) in of_domain {
        assert_eq!(daemon.revision(), Revision(2), "{name}");
    }
    assert!(
        fleet
            .configs_sent
            .values()
            .all(|sent| *sent <= spread_tree::FAN_OUT)
    );
    let report = &fleet.reports[&domain_name("cumbaya")];
    assert_eq!(report.applied, Revision(2));
    assert!(report.lagging.is_empty());
}

/// One daemon is unreachable while a change spreads. Control gets its name as unreachable; once
/// reconnected, the daemon gets the change without a request of control.
#[test]
fn a_daemon_that_misses_a_change_is_reported_and_catches_up() {
    let mut fleet = Fleet::new(3);
    fleet.advance(8_000);
    let leader = fleet.leader("cumbaya");
    let names = (0..3).map(|number| entry("cumbaya", number));
    let missing = names
        .into_iter()
        .find(|name| *name != leader)
        .expect("a follower");

    fleet.partitioned.insert(missing.clone());
    fleet.confirm_revision("cumbaya", 2);
    fleet.advance(4_000);
    let unreachable = fleet.reports[&domain_name("cumbaya")].unreachable.clone();
    let before = fleet.daemons[&missing].revision();
    fleet.partitioned.clear();
    fleet.advance(4_000);

    assert_eq!(unreachable, vec![missing.clone()]);
    assert_eq!(before, Revision(1));
    assert_eq!(fleet.daemons[&missing].revision(), Revision(2));
    assert!(
        fleet.reports[&domain_name("cumbaya")]
            .unreachable
            .is_empty()
    );
}

/// A daemon, which stores nothing on disk, restarts while no control daemon is reachable. The
/// daemon takes no requests until the other daemons of its domain have sent it the revision,
/// and then serves by that revision, not by an older one or by none.
#[test]
fn a_restarted_daemon_gets_the_revision_from_other_daemons() {
    let mut fleet = Fleet::new(3);
    fleet.advance(8_000);
    fleet.confirm_revision("cumbaya", 5);
    fleet.advance(1_000);
    fleet.partitioned = DOMAINS.into_iter().map(control).collect();
    let name = entry("cumbaya", 0);

    let restarted = Coordinator::new(parameters("cumbaya", 0, 3), fleet.now());
    let at_start = restarted.snapshot(fleet.now()).ready;
    fleet.daemons.insert(name.clone(), restarted);
    fleet.advance(2_000);

    assert!(!at_start);
    let snapshot = fleet.daemons[&name].snapshot(fleet.now());
    assert!(snapshot.ready);
    assert_eq!(snapshot.revision, Revision(5));
}

/// All daemons of a domain restart while no control daemon is reachable. None of them knows the
/// newest revision, so none may start to serve by what the others answer.
#[test]
fn daemons_that_all_restarted_do_not_trust_each_others_revision() {
    let mut fleet = Fleet::new(3);
    fleet.partitioned = DOMAINS.into_iter().map(control).collect();

    fleet.advance(10_000);
    let alone = fleet
        .daemons
        .values()
        .any(|daemon| daemon.snapshot(fleet.now()).ready);
    fleet.partitioned.clear();
    fleet.advance(2_000);

    assert!(!alone);
    assert!(
        fleet
            .daemons
            .values()
            .all(|daemon| daemon.snapshot(fleet.now()).ready)
    );
}

/// A plain service announces to only one daemon of its domain that it is leaving. Within three
/// seconds no daemon of any domain routes new requests to it.
#[test]
fn a_leaving_upstream_gets_no_requests_after_three_seconds() {
    let mut fleet = Fleet::new(3);
    fleet.advance(8_000);
    for sequence in 1..20 {
        fleet.announce("cumbaya", 1, &plain_service(sequence, false));
        fleet.advance(500);
    }
    let names: Vec<DaemonId> = fleet.daemons.keys().cloned().collect();
    let before: Vec<usize> = names.iter().map(|name| fleet.replicas(name)).collect();

    fleet.announce("cumbaya", 1, &plain_service(20, true));
    fleet.advance(500);
    fleet.announce("cumbaya", 1, &plain_service(21, true));
    fleet.advance(500);

    assert_eq!(before, vec![1; names.len()]);
    let after: Vec<usize> = names.iter().map(|name| fleet.replicas(name)).collect();
    assert_eq!(after, vec![0; names.len()]);
}

/// Statistics by routing policy are counted at every daemon. All reach control by way of the
/// leader, including those counted before there was a leader.
#[test]
fn statistics_of_every_daemon_reach_control() {
    let mut fleet = Fleet::new(3);
    let statistics = PolicyStatisticsDelta {
        service: "field-api".parse().expect("a valid name"),
        policy: RoutingPolicy::RoundRobin,
        requests: 1,
        failures: 0,
        cache_hits: 0,
        first_token_sum_us: 0,
        first_token_sum_squares: 0.0,
        first_token_buckets: Vec::new(),
        between_tokens_buckets: Vec::new(),
    };
    for daemon in fleet.daemons.values_mut() {
        assert_eq!(daemon.queue_policy_statistics(vec![statistics.clone()]), 0);
    }

    fleet.advance(8_000);

    assert_eq!(fleet.requests, 6);
}
