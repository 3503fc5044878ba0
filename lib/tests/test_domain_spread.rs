//! A configuration on its way to all daemons of a failure domain, and what other domains learn.

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
        FiguresDelta,
        PeerMessage, //
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

/// Daemons of two domains with one clock; messages arrive at once unless a daemon is cut off.
struct Fleet {
    daemons: BTreeMap<DaemonId, Coordinator>,
    cut_off: BTreeSet<DaemonId>,
    now_ms: u64,
    config: ConfigUpdate,
    /// What control was told last by each domain.
    reports: BTreeMap<FailureDomain, DomainReport>,
    /// How many whole configurations and deltas each daemon sent.
    configs_sent: BTreeMap<DaemonId, usize>,
    /// How many requests the first control daemon was told of.
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
            cut_off: BTreeSet::new(),
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

    fn pass(&mut self, length_ms: u64) {
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
            if self.cut_off.contains(from) || self.cut_off.contains(&to) {
                continue;
            }
            self.note(from, &message);
            if self.daemons.contains_key(&to) {
                self.receive(from, &to, message);
            } else {
                self.control_receives(from, &to, message);
            }
        }
    }

    fn note(&mut self, from: &DaemonId, message: &PeerMessage) {
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
            PeerMessage::Figures(figures) if *to == control(DOMAINS[0]) => {
                self.requests += figures.iter().map(|figures| figures.requests).sum::<u64>();
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

    /// Tells the leader of a domain of a new revision, as control does.
    fn confirm(&mut self, domain: &str, revision: u64) {
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

/// An operator confirms a change. It is in force at all 27 daemons of the domain at once,
/// the leader tells control so, and no daemon has sent it to more than four others.
#[test]
fn a_change_comes_to_all_daemons_of_a_large_domain() {
    let mut fleet = Fleet::new(27);
    fleet.pass(8_000);

    fleet.confirm("cumbaya", 2);
    fleet.pass(1_000);

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

/// One daemon cannot be reached while a change spreads. Control is told its name, not that
/// the change is in force there; when it is back, it gets the change without being asked.
#[test]
fn a_daemon_that_misses_a_change_is_named_and_catches_up() {
    let mut fleet = Fleet::new(3);
    fleet.pass(8_000);
    let leader = fleet.leader("cumbaya");
    let names = (0..3).map(|number| entry("cumbaya", number));
    let missing = names
        .into_iter()
        .find(|name| *name != leader)
        .expect("a follower");

    fleet.cut_off.insert(missing.clone());
    fleet.confirm("cumbaya", 2);
    fleet.pass(4_000);
    let unreachable = fleet.reports[&domain_name("cumbaya")].unreachable.clone();
    let before = fleet.daemons[&missing].revision();
    fleet.cut_off.clear();
    fleet.pass(4_000);

    assert_eq!(unreachable, vec![missing.clone()]);
    assert_eq!(before, Revision(1));
    assert_eq!(fleet.daemons[&missing].revision(), Revision(2));
    assert!(
        fleet.reports[&domain_name("cumbaya")]
            .unreachable
            .is_empty()
    );
}

/// A daemon without a disk restarts where no control daemon can be reached. It takes no
/// requests until the other daemons of its domain have told it the revision, and then
/// serves by that, not by an older one or by none.
#[test]
fn a_restarted_daemon_learns_the_revision_from_its_fellows() {
    let mut fleet = Fleet::new(3);
    fleet.pass(8_000);
    fleet.confirm("cumbaya", 5);
    fleet.pass(1_000);
    fleet.cut_off = DOMAINS.into_iter().map(control).collect();
    let name = entry("cumbaya", 0);

    let restarted = Coordinator::new(parameters("cumbaya", 0, 3), fleet.now());
    let at_start = restarted.snapshot(fleet.now()).ready;
    fleet.daemons.insert(name.clone(), restarted);
    fleet.pass(2_000);

    assert!(!at_start);
    let snapshot = fleet.daemons[&name].snapshot(fleet.now());
    assert!(snapshot.ready);
    assert_eq!(snapshot.revision, Revision(5));
}

/// All daemons of a domain restart where no control daemon can be reached. Each is as
/// ignorant as the others, so none may take the others' word; callers go elsewhere.
#[test]
fn daemons_that_all_restarted_do_not_believe_each_other() {
    let mut fleet = Fleet::new(3);
    fleet.cut_off = DOMAINS.into_iter().map(control).collect();

    fleet.pass(10_000);
    let alone = fleet
        .daemons
        .values()
        .any(|daemon| daemon.snapshot(fleet.now()).ready);
    fleet.cut_off.clear();
    fleet.pass(2_000);

    assert!(!alone);
    assert!(
        fleet
            .daemons
            .values()
            .all(|daemon| daemon.snapshot(fleet.now()).ready)
    );
}

/// A plain service says that it is leaving, to one daemon of its domain only. Within three
/// seconds no daemon of any domain sends it new requests.
#[test]
fn leaving_is_known_everywhere_within_three_seconds() {
    let mut fleet = Fleet::new(3);
    fleet.pass(8_000);
    for sequence in 1..20 {
        fleet.announce("cumbaya", 1, &plain_service(sequence, false));
        fleet.pass(500);
    }
    let names: Vec<DaemonId> = fleet.daemons.keys().cloned().collect();
    let before: Vec<usize> = names.iter().map(|name| fleet.replicas(name)).collect();

    fleet.announce("cumbaya", 1, &plain_service(20, true));
    fleet.pass(500);
    fleet.announce("cumbaya", 1, &plain_service(21, true));
    fleet.pass(500);

    assert_eq!(before, vec![1; names.len()]);
    let after: Vec<usize> = names.iter().map(|name| fleet.replicas(name)).collect();
    assert_eq!(after, vec![0; names.len()]);
}

/// Requests are decided at every daemon, and an operator compares policies. Figures come to
/// control by way of the leader, also those that were counted before there was one.
#[test]
fn figures_of_every_daemon_come_to_control() {
    let mut fleet = Fleet::new(3);
    let figures = FiguresDelta {
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
        assert_eq!(daemon.queue_policy_statistics(vec![figures.clone()]), 0);
    }

    fleet.pass(8_000);

    assert_eq!(fleet.requests, 6);
}
