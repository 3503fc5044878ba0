//! Measures the bytes that each entry daemon sends and receives for coordination.
//!
//! `cargo run --example domain_traffic -- DOMAINS ENTRIES_PER_DOMAIN ENGINES_PER_DOMAIN SECONDS`
//!
//! Coordinators run on threads with real sockets on loopback. Engines are states in memory, which
//! are announced to every daemon of their failure domain.

use std::{
    collections::BTreeMap,
    env,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};

use cicadabend::{
    domain::{
        coordinator::{
            Action,
            Coordinator, //
        },
        membership::Source,
    },
    fleet::{
        FleetConfig,
        ModelService,
        Service, //
    },
    peer_api::{
        ConfigBody,
        ConfigUpdate,
        PeerMessage, //
    },
    prelude::*,
    upstream_api::{
        Announcement,
        Command,
        CommandAction,
        EngineState,
        LoadReport,
        Membership,
        UpstreamKind, //
    },
};
use cicadabend_daemon::{
    clock::Clock,
    peers::{
        PeerCounters,
        PeerIdentity,
        PeerSender,
        Peers, //
    },
    ring,
    settings::EntrySettings, //
};
use cicadabend_entry::domain::domain_parameters;

type Error = Box<dyn std::error::Error + Send + Sync>;

const VMS_PER_GROUP: u32 = 2;
const ANNOUNCE_MS: u64 = 500;
const WARM_UP: Duration = Duration::from_secs(10);

/// The engines of one failure domain, by VM.
type Engines = Arc<Mutex<BTreeMap<VmId, EngineState>>>;

fn main() -> Result<(), Error> {
    let arguments = env::args().skip(1).map(|text| text.parse());
    let arguments: Vec<u64> = arguments.collect::<Result<_, _>>()?;
    let &[domains, entries, engines, seconds] = arguments.as_slice() else {
        return Err("arguments: DOMAINS ENTRIES_PER_DOMAIN ENGINES_PER_DOMAIN SECONDS".into());
    };
    let stop = Arc::new(AtomicBool::new(false));
    let mut counters = Vec::new();
    let mut threads = Vec::new();
    let config = config(domains, engines)?;
    let states = (0..domains).map(|domain| engines_of(domain, engines));
    let states: Vec<Engines> = states.collect::<Result<_, _>>()?;
    for (number, settings) in all_settings(domains, entries)?.into_iter().enumerate() {
        let (inbox, mut messages) = ring::bounded("peer-inbox", 4_096);
        let identity = PeerIdentity {
            cluster: settings.cluster.clone(),
            daemon: settings.daemon.clone(),
            boot: BootId(number as u64 + 1),
        };
        let peers = Peers::start(settings.peer_listen, identity, &settings.peers, inbox)?;
        counters.push((
            settings.daemon.clone(),
            Arc::clone(peers.sender().counters()),
        ));
        let engines = Arc::clone(&states[number / entries as usize]);
        let mut daemon = Daemon::new(&settings, peers.sender(), engines, &config)?;
        let stop = Arc::clone(&stop);
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                while let Some(incoming) = messages.try_next() {
                    daemon.receive(&incoming.from, incoming.message);
                }
                daemon.tick();
                thread::sleep(Duration::from_millis(10));
            }
            let replica_count = daemon.replica_count();
            drop(peers);
            replica_count
        }));
    }
    thread::sleep(WARM_UP);
    let before = totals(&counters);
    thread::sleep(Duration::from_secs(seconds));
    let after = totals(&counters);
    stop.store(true, Ordering::Relaxed);
    let replica_counts = threads
        .into_iter()
        .map(|thread| thread.join().unwrap_or_default());
    let fewest = replica_counts.min().unwrap_or_default();
    println!("{domains} domains, {entries} entry daemons and {engines} engines in each");
    println!("replicas at the daemon that knows fewest: {fewest}");
    print_rates(&before, &after, seconds);
    Ok(())
}

fn totals(counters: &[(DaemonId, Arc<PeerCounters>)]) -> Vec<(u64, u64)> {
    let read = |counters: &PeerCounters| {
        let sent = counters.sent_bytes.load(Ordering::Relaxed);
        (sent, counters.received_bytes.load(Ordering::Relaxed))
    };
    counters
        .iter()
        .map(|(_, counters)| read(counters))
        .collect()
}

fn print_rates(before: &[(u64, u64)], after: &[(u64, u64)], seconds: u64) {
    let pairs = before.iter().zip(after);
    let rates = pairs.map(|(b, a)| ((a.0 - b.0) / seconds, (a.1 - b.1) / seconds));
    let rates: Vec<(u64, u64)> = rates.collect();
    let count = rates.len().max(1) as u64;
    let sent: Vec<u64> = rates.iter().map(|rate| rate.0).collect();
    let received: Vec<u64> = rates.iter().map(|rate| rate.1).collect();
    for (name, values) in [("sent", sent), ("received", received)] {
        let mean = values.iter().sum::<u64>() / count;
        let most = values.iter().max().copied().unwrap_or_default();
        println!("{name} bytes a second: mean {mean}, most {most}");
    }
}

fn all_settings(domains: u64, entries: u64) -> Result<Vec<EntrySettings>, Error> {
    let daemons = (0..domains).flat_map(|domain| (0..entries).map(move |entry| (domain, entry)));
    let mut peers = Vec::new();
    for (domain, entry) in daemons.clone() {
        let free = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        peers.push(serde_json::json!({
            "daemon": format!("domain-{domain}-entry-{entry}"),
            "role": "entry",
            "failure_domain": format!("domain-{domain}"),
            "address": free,
        }));
    }
    peers.push(serde_json::json!({
        "daemon": "control",
        "role": "control",
        "failure_domain": "domain-0",
        "address": "127.0.0.1:9",
    }));
    let settings = daemons.zip(&peers).map(|((domain, _), own)| {
        serde_json::from_value(serde_json::json!({
            "cluster": "traffic",
            "daemon": own["daemon"],
            "failure_domain": format!("domain-{domain}"),
            "callers": { "listen": "127.0.0.1:0" },
            "upstreams": { "listen": "127.0.0.1:0" },
            "peer_listen": own["address"],
            "peers": peers,
        }))
    });
    Ok(settings.collect::<Result<_, _>>()?)
}

fn config(domains: u64, engines: u64) -> Result<FleetConfig, Error> {
    let groups = engines / u64::from(VMS_PER_GROUP);
    let mut wanted = BTreeMap::new();
    for domain in 0..domains {
        wanted.insert(format!("domain-{domain}").parse()?, u32::try_from(groups)?);
    }
    let model = ModelService {
        model: "drafting".parse()?,
        version: "1".to_owned(),
        adapters: Vec::new(),
        vms_per_group: VMS_PER_GROUP,
        groups_by_failure_domain: wanted,
        spare_vms_by_failure_domain: BTreeMap::new(),
        may_span_fabric_domains: false,
        routing: Vec::new(),
    };
    Ok(FleetConfig {
        services: BTreeMap::from([("drafting-llm".parse()?, Service::Model(model))]),
        ..FleetConfig::default()
    })
}

fn engines_of(domain: u64, count: u64) -> Result<Engines, Error> {
    let mut engines = BTreeMap::new();
    for number in 0..count {
        let state = EngineState {
            accelerators: Accelerators(8),
            weights: vec!["drafting@1".to_owned()],
            checks_tokens: true,
            ..EngineState::default()
        };
        engines.insert(format!("domain-{domain}-vm-{number:03}").parse()?, state);
    }
    Ok(Arc::new(Mutex::new(engines)))
}

struct Daemon {
    core: Coordinator,
    peers: PeerSender,
    engines: Engines,
    clock: Clock,
    domain: FailureDomain,
    fabric_domain: FabricDomain,
    announced_at: Timestamp,
    sequence: u64,
}

impl Daemon {
    fn new(
        settings: &EntrySettings,
        peers: PeerSender,
        engines: Engines,
        config: &FleetConfig,
    ) -> Result<Self, Error> {
        let clock = Clock::start();
        let parameters = domain_parameters(settings, peers.identity().boot);
        let control: Vec<DaemonId> = parameters.control.keys().cloned().collect();
        let mut daemon = Self {
            core: Coordinator::new(parameters, clock.now()),
            peers,
            engines,
            clock,
            domain: settings.failure_domain.clone(),
            fabric_domain: settings.failure_domain.as_str().parse()?,
            announced_at: clock.now(),
            sequence: 0,
        };
        for control in control {
            let update = ConfigUpdate {
                revision: Revision(1),
                base: None,
                body: ConfigBody::Whole(Box::new(config.clone())),
            };
            daemon.receive(&control, PeerMessage::Config(update));
        }
        Ok(daemon)
    }

    fn receive(&mut self, from: &DaemonId, message: PeerMessage) {
        let actions = self.core.receive(from, message, self.clock.now());
        self.perform_actions(actions);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let actions = self.core.tick(now);
        self.perform_actions(actions);
        if now.0 >= self.announced_at.0 + ANNOUNCE_MS {
            self.announced_at = now;
            self.sequence += 1;
            self.announce_engines(now);
        }
    }

    fn announce_engines(&mut self, now: Timestamp) {
        let states = self
            .engines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for (port, (vm, state)) in (10_000..).zip(states) {
            let announcement = Announcement {
                vm,
                boot: BootId(1),
                sequence: self.sequence,
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                failure_domain: self.domain.clone(),
                fabric_domain: self.fabric_domain.clone(),
                kind: UpstreamKind::Engine(state),
                leaving: false,
                slots: Slots(8),
                load: LoadReport::default(),
                cache_events: Vec::new(),
            };
            let source = Source::Direct { made_after: None };
            let actions = self
                .core
                .handle_announcement(announcement, source, now)
                .unwrap_or_default();
            self.perform_actions(actions);
        }
    }

    fn perform_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.peers.send(&to, message),
                Action::Command(command) => self.execute(command.command),
                Action::Publish => {}
            }
        }
    }

    fn execute(&self, command: Command) {
        let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(state) = engines.get_mut(&command.vm) else {
            return;
        };
        state.highest_token = state.highest_token.max(command.token);
        if let CommandAction::JoinGroup {
            group,
            service,
            members,
            ..
        } = command.action
        {
            state.membership = Some(Membership {
                group,
                token: command.token,
                service,
                members,
                ready: true,
            });
        }
    }

    fn replica_count(&self) -> usize {
        self.core.snapshot(self.clock.now()).replicas.len()
    }
}
