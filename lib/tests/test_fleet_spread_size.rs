//! Cost of propagating configurations at the design size: 19 failure domains with 27 entry daemons
//! each, seven control daemons, 30,000 changes a day.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use cicadabend::{
    fleet::{
        FleetConfig,
        RecentConfigs,
        Team,
        UpdateOutcome,
        spread::{
            ConfigMessage,
            ControlSpread,
            Topology, //
        }, //
    },
    peer_api::{
        ConfirmedRevision,
        ControlHello,
        DomainReport, //
    },
    prelude::*,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const DOMAINS: usize = 19;
const ENTRIES_PER_DOMAIN: usize = 27;
const CONTROLS: usize = 7;
const TEAMS: usize = 100;
const CHANGES_PER_DAY: u64 = 30_000;
const SECONDS: u64 = 600;
const TICK_MS: u64 = 50;
const REPORT_EVERY_MS: u64 = 500;
const HELLO_EVERY_MS: u64 = 1_000;
/// One message in ten is lost on its way to a domain leader.
const LOSS: f64 = 0.1;
/// Required limit of the bytes per second that one process sends or receives for configurations.
const LIMIT_BYTES_PER_SECOND: u64 = 5_000;
/// Required limit of the time until a change has reached all domain leaders.
const LIMIT_MS: u64 = 9_000;

fn domain(number: usize) -> FailureDomain {
    format!("domain-{number:02}").parse().unwrap()
}

fn entry(domain: usize, number: usize) -> DaemonId {
    format!("entry-{domain:02}-{number:02}").parse().unwrap()
}

fn control(number: usize) -> DaemonId {
    format!("control-{number}").parse().unwrap()
}

fn topology(own: usize) -> Topology {
    let entries = (0..DOMAINS).flat_map(|domain_number| {
        (0..ENTRIES_PER_DOMAIN)
            .map(move |number| (entry(domain_number, number), domain(domain_number)))
    });
    Topology {
        own: control(own),
        boot: BootId(own as u64),
        controls: (0..CONTROLS).map(|n| (control(n), domain(n))).collect(),
        entries: entries.collect(),
    }
}

fn config(change: u64) -> FleetConfig {
    let team = |number: usize| Team {
        api_key_sha256: format!("{number:064x}"),
        weight: 1,
        requests_per_second: RatePerSecond(100),
        max_concurrent_requests: 100,
    };
    let mut teams: BTreeMap<TeamName, Team> = (0..TEAMS)
        .map(|number| (format!("team-{number:03}").parse().unwrap(), team(number)))
        .collect();
    let changing = (change as usize) % TEAMS;
    if let Some(team) = teams.values_mut().nth(changing) {
        team.weight += change as u32;
    }
    FleetConfig {
        teams,
        ..FleetConfig::default()
    }
}

/// A domain leader, the root of its domain's distribution tree.
struct Leader {
    configs: RecentConfigs,
    reports: u64,
    received_bytes: u64,
}

struct Fleet {
    controls: Vec<ControlSpread>,
    sent_bytes: Vec<u64>,
    leaders: Vec<Leader>,
    /// The longest time that a change has taken to reach a domain leader.
    slowest_ms: u64,
    accepted_at: Timestamp,
    random: SmallRng,
}

impl Fleet {
    fn new() -> Self {
        let leader = |_| Leader {
            configs: RecentConfigs::default(),
            reports: 0,
            received_bytes: 0,
        };
        let mut fleet = Self {
            controls: (0..CONTROLS)
                .map(|n| ControlSpread::new(topology(n)))
                .collect(),
            sent_bytes: vec![0; CONTROLS],
            leaders: (0..DOMAINS).map(leader).collect(),
            slowest_ms: 0,
            accepted_at: Timestamp(0),
            random: SmallRng::seed_from_u64(19),
        };
        fleet.controls[0].record_confirmed_revision(Revision(0));
        fleet
    }

    fn accept(&mut self, revision: u64, now: Timestamp) {
        let config = Arc::new(config(revision));
        for control in &mut self.controls {
            control.accept(Revision(revision), Arc::clone(&config));
        }
        self.accepted_at = now;
    }

    fn report(&mut self, now: Timestamp) {
        for (number, leader) in self.leaders.iter_mut().enumerate() {
            leader.reports += 1;
            let report = report(number, leader);
            for control in &mut self.controls {
                control.handle_domain_report(&entry(number, 0), report.clone(), now);
            }
        }
    }

    fn say_hello(&mut self, now: Timestamp) {
        for from in 0..CONTROLS {
            // The first control daemon is the leader.
            let confirmed = (from == 0).then(|| ConfirmedRevision {
                revision: self.controls[from].revision(),
                runs: self.controls[from].control_boots(),
            });
            let hello = ControlHello {
                operators: None,
                hears: self.controls[from].reachable_domains(now),
                is_level: self.controls[from].is_level(),
                confirmed,
            };
            let bytes = postcard::to_stdvec(&hello).unwrap().len() as u64;
            self.sent_bytes[from] += bytes * (CONTROLS as u64 - 1);
            for to in (0..CONTROLS).filter(|to| *to != from) {
                let boot = BootId(from as u64);
                self.controls[to].handle_control_hello(control(from), boot, hello.clone(), now);
            }
        }
    }

    fn tick(&mut self, now: Timestamp) {
        for number in 0..CONTROLS {
            for sending in self.controls[number].tick(now) {
                self.deliver(number, sending, now);
            }
        }
    }

    fn deliver(&mut self, from: usize, sending: ConfigMessage, now: Timestamp) {
        let bytes = postcard::to_stdvec(&sending.update).unwrap().len() as u64;
        self.sent_bytes[from] += bytes;
        let to = (0..DOMAINS).find(|number| entry(*number, 0) == sending.to);
        // Before the first report all daemons of a domain are sent a digest; only leaders are
        // simulated.
        let Some(leader) = to.map(|to| &mut self.leaders[to]) else {
            return;
        };
        if self.random.random_bool(LOSS) {
            return;
        }
        leader.received_bytes += bytes;
        match leader.configs.receive(&sending.update) {
            UpdateOutcome::Applied => {
                self.slowest_ms = self.slowest_ms.max(now.0 - self.accepted_at.0);
                let applied = leader.configs.revision();
                self.controls[from].handle_config_acknowledgement(&sending.to, applied);
            }
            UpdateOutcome::Behind => {
                let have = leader.configs.revision();
                let answer = self.controls[from].answer(&sending.to, have, now);
                if let Some(answer) = answer {
                    self.deliver(from, answer, now);
                }
            }
            UpdateOutcome::Same | UpdateOutcome::Older => {}
        }
    }
}

fn report(number: usize, leader: &Leader) -> DomainReport {
    DomainReport {
        failure_domain: domain(number),
        leader: entry(number, 0),
        epoch: 1,
        sequence: leader.reports,
        applied: leader.configs.revision(),
        lagging: BTreeMap::new(),
        unreachable: Vec::new(),
        groups: Vec::new(),
        vms: Vec::new(),
        group_downtime_ms: 0,
        stranded_accelerator_ms: 0,
    }
}

/// Guards against configuration traffic above the required limits. Counts bytes of messages without
/// their envelopes, and without reports, which carry the state of engines rather than changes.
#[test]
fn at_design_size_no_process_sends_or_receives_more_than_the_limit() {
    let mut fleet = Fleet::new();
    let change_every_ms = 86_400_000 / CHANGES_PER_DAY;
    let mut revision = 0;
    for now_ms in (0..SECONDS * 1_000).step_by(TICK_MS as usize) {
        let now = Timestamp(now_ms);
        if now_ms / change_every_ms >= revision {
            revision += 1;
            fleet.accept(revision, now);
        }
        if now_ms % REPORT_EVERY_MS == 0 {
            fleet.report(now);
        }
        if now_ms % HELLO_EVERY_MS == 0 {
            fleet.say_hello(now);
        }
        fleet.tick(now);
    }

    let sent = fleet.sent_bytes.iter().max().unwrap() / SECONDS;
    let received = fleet.leaders.iter().map(|leader| leader.received_bytes);
    let received = received.max().unwrap() / SECONDS;
    let whole = postcard::to_stdvec(&config(1)).unwrap().len();
    println!(
        "{revision} changes in {SECONDS} s: the busiest control daemon sends {sent} B/s, \
         the busiest domain leader receives {received} B/s; a whole configuration has {whole} B; \
         with one message in ten lost, the slowest change took {} ms to a leader",
        fleet.slowest_ms
    );
    let levels = fleet.leaders.iter().map(|leader| leader.configs.revision());
    assert!(levels.into_iter().all(|level| level == Revision(revision)));
    assert!(sent < LIMIT_BYTES_PER_SECOND);
    assert!(received < LIMIT_BYTES_PER_SECOND);
    assert!(fleet.slowest_ms < LIMIT_MS);
}
