//! Starts a serving thread with a routing snapshot that the test defines.

use std::{
    collections::BTreeMap,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use arc_swap::ArcSwap;
use cicadabend::{
    fleet::{
        FleetConfig,
        ModelService,
        PlainService,
        RoutingArm,
        RoutingPolicy,
        Service,
        Team, //
    },
    prelude::*,
    routing::{
        Replica,
        ReplicaId,
        RoutingSnapshot, //
    },
    upstream_api::LoadReport,
};
use cicadabend_daemon::{
    clock::Clock,
    metrics::Metrics,
    settings::EntrySettings, //
};
use cicadabend_entry::serve::{
    self,
    DomainLink,
    ServeSetup,
    Serving, //
};
use tokio::sync::watch;

use super::{
    ClaimVoters,
    RawCaller, //
};

/// The API key of the only team.
pub const API_KEY: &str = "key-of-team-one";
/// SHA-256 of [`API_KEY`].
const API_KEY_SHA256: &str = "af014e522cbb696cffe4a8d87297881e51343c2db4e9d01604c9765c20f23ede";
/// Name of the model service.
pub const MODEL: &str = "drafting-llm";
/// Name of the plain service.
pub const PLAIN: &str = "field-api";

/// A serving thread, with its routing snapshot and its metrics.
pub struct Fixture {
    pub address: SocketAddr,
    pub snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    pub metrics: Metrics,
    stop: watch::Sender<bool>,
    serving: Option<Serving>,
}

impl Fixture {
    /// Starts with replicas of the model service at these addresses.
    pub fn with_engines(engines: &[SocketAddr]) -> Self {
        Self::start(engines, &[], |_| {})
    }

    /// Starts with replicas of the plain service at these addresses.
    pub fn with_plain(upstreams: &[SocketAddr]) -> Self {
        Self::start(&[], upstreams, |_| {})
    }

    /// Starts with replicas of both services, and with settings that `change` adapts.
    pub fn start(
        engines: &[SocketAddr],
        plain: &[SocketAddr],
        change: impl FnOnce(&mut EntrySettings),
    ) -> Self {
        Self::start_with_voters(engines, plain, &ClaimVoters::start(), change)
    }

    /// Starts as [`Fixture::start`] does, with control daemons that others may share.
    pub fn start_with_voters(
        engines: &[SocketAddr],
        plain: &[SocketAddr],
        voters: &ClaimVoters,
        change: impl FnOnce(&mut EntrySettings),
    ) -> Self {
        let mut settings = settings();
        change(&mut settings);
        let snapshot = Arc::new(ArcSwap::from_pointee(snapshot(engines, plain)));
        let (stop, stopped) = watch::channel(false);
        let metrics = Metrics::in_process_only();
        let setup = ServeSetup {
            settings,
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            snapshot: Arc::clone(&snapshot),
            clock: Clock::start(),
            metrics: metrics.clone(),
            claims: voters.link(),
            domain: DomainLink::default(),
            boot: BootId(7),
        };
        let serving = serve::start(setup, stopped).unwrap();
        Self {
            address: serving.address,
            snapshot,
            metrics,
            stop,
            serving: Some(serving),
        }
    }

    pub fn caller(&self) -> RawCaller {
        RawCaller::connect(self.address)
    }

    /// Replaces the routing snapshot by a changed copy.
    pub fn change_snapshot(&self, change: impl FnOnce(&mut RoutingSnapshot)) {
        let mut next = RoutingSnapshot::clone(&self.snapshot.load());
        change(&mut next);
        self.snapshot.store(Arc::new(next));
    }

    /// Returns the value of a gauge or counter of the serving thread.
    pub fn counter(&self, name: &str) -> u64 {
        let report = self.metrics.report();
        let gauge = report.gauges.get(name).copied();
        gauge.unwrap_or_else(|| self.metrics.counter(name))
    }

    /// Waits until a counter or gauge has this value, at most 10 s.
    pub fn wait_for_counter(&self, name: &str, value: u64) {
        let end = Instant::now() + Duration::from_secs(10);
        while self.counter(name) != value {
            assert!(Instant::now() < end, "{name} is {}", self.counter(name));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts a planned stop of the thread.
    pub fn stop(&self) {
        self.stop.send(true).unwrap();
    }

    /// Waits until the thread has drained.
    pub fn join(mut self) {
        self.serving.take().unwrap().thread.join().unwrap();
    }
}

fn settings() -> EntrySettings {
    serde_json::from_value(serde_json::json!({
        "cluster": "test",
        "daemon": "entry-1",
        "failure_domain": "cumbaya",
        "callers": {
            "listen": "127.0.0.1:0",
            "drain_notice_ms": 100,
            "drain_timeout_ms": 5000,
        },
        "upstreams": {"listen": "127.0.0.1:0"},
        "peer_listen": "127.0.0.1:0",
        "peers": [],
    }))
    .unwrap()
}

fn snapshot(engines: &[SocketAddr], plain: &[SocketAddr]) -> RoutingSnapshot {
    let engines = engines.iter().enumerate().map(|(index, address)| {
        let group = format!("group-{index}").parse().unwrap();
        replica(ReplicaId::Group(group), MODEL, *address)
    });
    let plain = plain.iter().enumerate().map(|(index, address)| {
        let vm = format!("vm-{index}").parse().unwrap();
        replica(ReplicaId::Vm(vm), PLAIN, *address)
    });
    RoutingSnapshot {
        ready: true,
        revision: Revision(3),
        config: Arc::new(config()),
        replicas: engines.chain(plain).collect(),
        team_shares: BTreeMap::new(),
    }
}

fn replica(id: ReplicaId, service: &str, address: SocketAddr) -> Replica {
    Replica {
        id,
        service: service.parse().unwrap(),
        failure_domain: "cumbaya".parse().unwrap(),
        token: FencingToken {
            epoch: 1,
            sequence: 2,
        },
        address,
        slots: Slots(8),
        load: LoadReport::default(),
        load_received_at: Timestamp(0),
    }
}

fn config() -> FleetConfig {
    let routing = vec![RoutingArm {
        policy: RoutingPolicy::RoundRobin,
        share_percent: Percent(100),
    }];
    let model = Service::Model(ModelService {
        model: "drafting".parse().unwrap(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        vms_per_group: 2,
        groups_by_failure_domain: BTreeMap::new(),
        spare_vms_by_failure_domain: BTreeMap::new(),
        may_span_fabric_domains: false,
        routing: routing.clone(),
    });
    let plain = Service::Plain(PlainService {
        routing,
        unsafe_methods_are_repeatable: false,
    });
    let team = Team {
        api_key_sha256: API_KEY_SHA256.to_owned(),
        weight: 1,
        requests_per_second: RatePerSecond(1_000),
        max_concurrent_requests: 100,
    };
    FleetConfig {
        services: BTreeMap::from([
            (MODEL.parse().unwrap(), model),
            (PLAIN.parse().unwrap(), plain),
        ]),
        teams: BTreeMap::from([("team-one".parse().unwrap(), team)]),
        ..FleetConfig::default()
    }
}
