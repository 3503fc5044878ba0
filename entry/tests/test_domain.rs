//! The threads `domain`, `upstreams` and `commands` with minimal engines over HTTP.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be set up ends its test"
)]

use std::{
    cell::RefCell,
    collections::BTreeMap,
    convert::Infallible,
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    sync::Arc,
    thread::JoinHandle,
    time::{
        Duration,
        Instant, //
    },
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use cicadabend::{
    fleet::{
        FleetConfig,
        ModelService,
        RoutingArm,
        RoutingPolicy,
        Service, //
    },
    peer_api::{
        ConfigBody,
        ConfigUpdate,
        PeerMessage, //
    },
    prelude::*,
    routing::RoutingSnapshot,
    upstream_api::{
        Announcement,
        Command,
        CommandAction,
        CommandReply,
        EngineState,
        LoadReport,
        Membership,
        PATH_ANNOUNCE,
        UpstreamKind, //
    },
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    peers::{
        Incoming,
        PeerIdentity,
        Peers, //
    },
    ring,
    settings::EntrySettings, //
};
use cicadabend_entry::domain::{
    self,
    DomainContext, //
};
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::service::service_fn;
use hyper_util::{
    client::legacy::Client,
    rt::{
        TokioExecutor,
        TokioIo, //
    },
};
use tokio::sync::watch;

const CONTROL: &str = "control-1";
const DEADLINE: Duration = Duration::from_secs(20);

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn settings() -> EntrySettings {
    let json = serde_json::json!({
        "cluster": "test",
        "daemon": "entry-1",
        "failure_domain": "cumbaya",
        "callers": { "listen": "127.0.0.1:0" },
        "upstreams": { "listen": "127.0.0.1:0", "announce_interval_ms": 50, "lease_ms": 400 },
        "peer_listen": "127.0.0.1:0",
        "peers": [{
            "daemon": CONTROL,
            "role": "control",
            "failure_domain": "cumbaya",
            "address": "127.0.0.1:9",
        }],
        "domain": {
            "leader_lease_ms": 300,
            "heartbeat_ms": 60,
            "clock_rate_error_percent": 5,
            "settle_ms": 200,
        },
    });
    serde_json::from_value(json).expect("valid settings")
}

fn config(vms_per_group: u32) -> FleetConfig {
    let model = ModelService {
        model: name("drafting"),
        version: "1".to_owned(),
        adapters: Vec::new(),
        vms_per_group,
        groups_by_failure_domain: BTreeMap::from([(name("cumbaya"), 1)]),
        spare_vms_by_failure_domain: BTreeMap::new(),
        may_span_fabric_domains: false,
        routing: vec![RoutingArm {
            policy: RoutingPolicy::RoundRobin,
            share_percent: Percent(100),
        }],
    };
    FleetConfig {
        services: BTreeMap::from([(name("drafting-llm"), Service::Model(model))]),
        ..FleetConfig::default()
    }
}

struct Daemon {
    inbox: ring::Sender<Incoming>,
    snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    upstream_address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
    stop: watch::Sender<bool>,
    _peers: Peers,
}

impl Daemon {
    fn start() -> Self {
        let settings = settings();
        let (inbox, receiver) = ring::bounded("peer-inbox", 64);
        let identity = PeerIdentity {
            cluster: settings.cluster.clone(),
            daemon: settings.daemon.clone(),
            boot: BootId(7),
        };
        let peers = Peers::start(
            settings.peer_listen,
            identity,
            &settings.peers,
            inbox.clone(),
        )
        .expect("peers start");
        let snapshot = Arc::new(ArcSwap::from_pointee(RoutingSnapshot::default()));
        let (stop, stopped) = watch::channel(false);
        let started = domain::start(
            &settings,
            peers.sender(),
            receiver,
            Arc::clone(&snapshot),
            Clock::start(),
            stopped,
            DomainContext::default(),
        )
        .expect("the threads start");
        Self {
            inbox,
            snapshot,
            upstream_address: started.upstream_address,
            threads: started.threads,
            stop,
            _peers: peers,
        }
    }

    fn receive_config(&self, revision: u64, config: FleetConfig) {
        let update = ConfigUpdate {
            revision: Revision(revision),
            base: None,
            body: ConfigBody::Whole(Box::new(config)),
        };
        let incoming = Incoming {
            from: name(CONTROL),
            boot: BootId(1),
            message: PeerMessage::Config(update),
        };
        assert!(self.inbox.push(incoming).is_ok());
    }

    fn wait_until(&self, what: &str, holds: impl Fn(&RoutingSnapshot) -> bool) {
        let end = Instant::now() + DEADLINE;
        while !holds(&self.snapshot.load()) {
            assert!(Instant::now() < end, "waited in vain until {what}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn stop(self) {
        self.stop.send(true).expect("the threads listen");
        for thread in self.threads {
            thread.join().expect("the thread ended well");
        }
    }
}

/// An engine that executes every command at once and announces itself until it is stopped.
struct TinyEngine {
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl TinyEngine {
    fn start(vm: &str, announce_to: SocketAddr) -> Self {
        let (stop, stopped) = watch::channel(false);
        let vm: VmId = name(vm);
        let thread = duty::spawn("tiny-engine", move || run_engine(vm, announce_to, stopped))
            .expect("the thread starts");
        Self { stop, thread }
    }

    fn stop(self) {
        self.stop.send(true).expect("the engine listens");
        self.thread.join().expect("the engine ended well");
    }
}

async fn run_engine(vm: VmId, announce_to: SocketAddr, mut stop: watch::Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket option");
    let address = listener.local_addr().expect("an address");
    let state = Rc::new(RefCell::new(EngineState {
        accelerators: Accelerators(8),
        checks_tokens: true,
        ..EngineState::default()
    }));
    tokio::task::spawn_local(serve_commands(listener, Rc::clone(&state)));
    let announcing = announce(vm, address, announce_to, state);
    tokio::select! {
        () = announcing => {}
        _ = stop.wait_for(|stopping| *stopping) => {}
    }
}

async fn serve_commands(listener: TcpListener, state: Rc<RefCell<EngineState>>) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        let state = Rc::clone(&state);
        let execute = service_fn(move |request: Request<hyper::body::Incoming>| {
            let state = Rc::clone(&state);
            async move {
                let body = request.into_body().collect().await.expect("a body");
                let command = serde_json::from_slice(&body.to_bytes()).expect("a command");
                execute(&mut state.borrow_mut(), command);
                let reply = serde_json::to_vec(&CommandReply::Accepted).expect("a reply");
                Ok::<_, Infallible>(http::Response::new(Full::new(Bytes::from(reply))))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new();
        tokio::task::spawn_local(connection.serve_connection(TokioIo::new(stream), execute));
    }
}

fn execute(state: &mut EngineState, command: Command) {
    state.highest_token = state.highest_token.max(command.token);
    state.membership = match command.action {
        CommandAction::JoinGroup {
            group,
            service,
            members,
            ..
        } => Some(Membership {
            group,
            token: command.token,
            service,
            members,
            ready: true,
        }),
        CommandAction::LeaveGroup => None,
        CommandAction::LoadWeights { .. } => state.membership.take(),
    };
}

async fn announce(
    vm: VmId,
    address: SocketAddr,
    announce_to: SocketAddr,
    state: Rc<RefCell<EngineState>>,
) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    for sequence in 1.. {
        let announcement = Announcement {
            vm: vm.clone(),
            boot: BootId(3),
            sequence,
            address,
            failure_domain: name("cumbaya"),
            fabric_domain: name("cumbaya-a"),
            kind: UpstreamKind::Engine(state.borrow().clone()),
            leaving: false,
            slots: Slots(4),
            load: LoadReport::default(),
            cache_events: Vec::new(),
        };
        let body = serde_json::to_vec(&announcement).expect("an announcement");
        let request = Request::post(format!("http://{announce_to}{PATH_ANNOUNCE}"))
            .body(Full::new(Bytes::from(body)))
            .expect("a request");
        if let Ok(response) = client.request(request).await {
            // The connection is reused only after the body has been read.
            let _ = response.into_body().collect().await;
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

/// Guards against routing requests to an incomplete group. The daemon commands two engines to form
/// a group, routes requests to the group only once both engines announce it, and no longer routes
/// after one of them becomes silent.
#[test]
fn a_group_is_routed_to_only_while_all_its_members_announce_it() {
    let daemon = Daemon::start();
    let first = TinyEngine::start("vm-1", daemon.upstream_address);
    let second = TinyEngine::start("vm-2", daemon.upstream_address);

    daemon.receive_config(5, config(2));

    daemon.wait_until("the daemon is ready", |snapshot| snapshot.ready);
    daemon.wait_until("the group serves", |snapshot| snapshot.replicas.len() == 1);
    assert_eq!(daemon.snapshot.load().revision, Revision(5));
    second.stop();
    daemon.wait_until("it does not", |snapshot| snapshot.replicas.is_empty());
    first.stop();
    daemon.stop();
}

/// Guards against returning to an older configuration. A control daemon that was cut off sends an
/// older revision after a newer one was applied; the daemon must keep the newer one.
#[test]
fn an_older_configuration_is_never_applied() {
    let daemon = Daemon::start();
    daemon.receive_config(9, config(2));
    daemon.wait_until("revision 9", |snapshot| snapshot.revision == Revision(9));

    daemon.receive_config(8, FleetConfig::default());
    daemon.receive_config(10, config(3));

    daemon.wait_until("revision 10", |snapshot| {
        assert!(snapshot.revision >= Revision(9));
        snapshot.revision == Revision(10)
    });
    daemon.stop();
}
