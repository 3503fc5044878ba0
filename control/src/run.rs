//! Starts the daemon's threads and stops them in order.

use std::{
    hash::{
        BuildHasher,
        Hasher,
        RandomState, //
    },
    io,
    net::TcpListener,
    path::Path,
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use cicadabend::{
    fleet::Voter,
    grouping::GroupingSettings,
    ids::Address,
    peer_api::{
        DaemonRole,
        MemberAddress, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    bodies::Bodies,
    connections, duty,
    metrics::Metrics,
    peers::{
        PeerError,
        PeerIdentity,
        PeerSender,
        Peers, //
    },
    program::Process,
    ring,
    seeds::SeedWatch,
    settings::{
        ControlSettings,
        MembershipSettings, //
    },
    storage::{
        DataFolder,
        StorageError, //
    },
};
use displaydoc::Display;
use thiserror::Error;
use tokio::sync::{
    Semaphore,
    watch, //
};

use crate::{
    calls::{
        Calls,
        MAX_HANDLED_KIB, //
    },
    claims,
    counters::{
        CallRefusal,
        ConfigSent,
        ConfirmAnswer,
        InboxDrop,
        OperatorRefusal, //
    },
    edge::ControlEdge,
    engine_commands,
    events::LogEvent,
    inbox::{
        self,
        Destinations, //
    },
    members::{
        MembersEvent,
        MembersSetup,
        MembersThread,
        SharedAddresses, //
    },
    operators::{
        self,
        Operators,
        tokens::OperatorTokens, //
    },
    replication::{
        self,
        ReplicationError,
        ReplicationHandle, //
    },
    spread::{
        Spread,
        topology, //
    },
    view::SharedView,
};

const PEER_INBOX_CAPACITY: usize = 4_096;
const AGREEMENT_CAPACITY: usize = 1_024;
const SPREAD_CAPACITY: usize = 1_024;
/// The number of claims that can queue while one sync runs; entry daemons retransmit dropped ones.
const CLAIMS_CAPACITY: usize = 8_192;

/// The number of events that can queue for the thread `members`; senders retransmit dropped ones.
const MEMBERS_CAPACITY: usize = 8_192;
/// The number of commands that can queue for engines; a dropped command is sent again.
const COMMANDS_CAPACITY: usize = 1_024;

/// Why the daemon cannot start.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// operators.token_file: {0}
    Tokens(String),
    /// operators.listen: cannot listen on {address}: {source}
    Listen {
        /// The address from the settings.
        address: std::net::SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// {0}
    Peers(PeerError),
    /// data_folder: {0}
    Storage(StorageError),
    /// {0}
    Replication(String),
    /// cannot answer for claims: {0}
    Claims(String),
    /// cannot start a thread: {0}
    Thread(io::Error),
}

/// Runs the daemon until a stop is requested.
///
/// # Errors
///
/// Returns [`RunError`] if the daemon cannot start, or if its log failed while it ran.
pub fn run(settings: ControlSettings, process: Process) -> Result<(), RunError> {
    run_with_edge(settings, process, None)
}

/// Runs the daemon with an edge that translates operators' and upstreams' calls.
///
/// # Errors
///
/// Returns [`RunError`] if the daemon cannot start, or if its log failed while it ran.
pub fn run_with_edge(
    settings: ControlSettings,
    process: Process,
    edge: Option<Arc<dyn ControlEdge>>,
) -> Result<(), RunError> {
    declare_counters(&process.metrics);
    let tokens = settings.operators.token_file.as_ref();
    let tokens = tokens.map(|path| OperatorTokens::read(Path::new(path)));
    let tokens = tokens
        .transpose()
        .map_err(|error| RunError::Tokens(error.to_string()))?;
    let listener = listen(&settings)?;
    let settings = Arc::new(settings);
    let (inbox_in, inbox_out) = ring::bounded("peer-inbox", PEER_INBOX_CAPACITY);
    let peers = Peers::start(
        settings.peer_listen,
        identity(&settings),
        &settings.peers,
        inbox_in,
    )
    .map_err(RunError::Peers)?;
    for (daemon, address) in seeds(&settings) {
        peers.sender().know(&daemon, address);
    }
    let (agreement_in, agreement_out) = ring::bounded("agreement", AGREEMENT_CAPACITY);
    let (spread_in, spread_out) = ring::bounded("spread", SPREAD_CAPACITY);
    let folder = DataFolder::open(
        Path::new(&settings.data_folder),
        &settings.daemon,
        random_number(),
    )
    .map_err(RunError::Storage)?;
    let (replication, agreement) =
        replication::start(&settings, &folder, &process, peers.sender(), agreement_out)
            .map_err(|error| RunError::Replication(error.to_string()))?;
    let (claims_in, claims_out) = ring::bounded("claims", CLAIMS_CAPACITY);
    let claims = claims::start(
        &folder,
        Duration::from_millis(settings.claim_retention_ms),
        peers.sender(),
        claims_out,
        replication.voters(),
        process.clock,
    )
    .map_err(|error| RunError::Claims(error.to_string()))?;
    let log = replication.clone();
    let mut threads = Vec::new();
    let (end, ended) = watch::channel(false);
    let bodies = Bodies::new(settings.memory_mb, process.clock, process.metrics.clone());
    let start = MembersStart {
        bodies: bodies.clone(),
        settings: &settings,
        process: &process,
        disk: folder.identity().clone(),
        replication: &replication,
        peers: peers.sender(),
        edge,
        ended,
    };
    let membership = start_members(start, &mut threads)?;
    let (members_in, calls) =
        membership.map_or((None, None), |(members, calls)| (Some(members), calls));
    let destinations = Destinations {
        agreement: agreement_in,
        spread: spread_in,
        members: members_in,
        claims: claims_in,
        metrics: process.metrics.clone(),
    };
    let inbox = spawn("inbox", move || {
        inbox::dispatch_messages(inbox_out, destinations)
    })?;
    let view = SharedView::default();
    // If daemons find each other by seeds, the settings list no failure domains that could be
    // sent the configuration.
    if settings.membership.is_none() {
        let spread = Spread::new(
            &settings,
            replication.clone(),
            peers.sender(),
            view.clone(),
            process.metrics.clone(),
            process.clock,
        );
        threads.push(spawn("spread", move || spread.run(spread_out))?);
    }
    let operators = Arc::new(Operators {
        topology: topology(&settings, peers.sender().identity().boot),
        settings,
        tokens,
        calls,
        bodies,
        replication,
        view,
        metrics: process.metrics,
        clock: process.clock,
    });
    let stop = process.stop;
    let serving = spawn("operators", move || {
        operators::serve(operators, listener, stop)
    })?;
    // The order of the shutdown: the operators' listener ends at the request to stop, while the
    // log still serves running requests. Then the connections to peers are closed, which closes
    // the ring of the thread `inbox`; the end of `inbox` closes the rings of the other threads.
    join(serving);
    log.hand_over();
    drop(peers);
    join(inbox);
    // Without a thread `members` there is no receiver, which is no error.
    let _ = end.send(true);
    for thread in threads.into_iter().chain([claims, agreement]) {
        join(thread);
    }
    match log.failure() {
        Some(reason) => {
            let error = ReplicationError::Storage(reason);
            Err(RunError::Replication(error.to_string()))
        }
        None => Ok(()),
    }
}

fn seeds(settings: &ControlSettings) -> Vec<(DaemonId, Address)> {
    let membership = settings.membership.as_ref();
    let seeds = membership.map(MembershipSettings::seed_peers);
    let others = seeds.into_iter().flatten();
    others
        .filter(|(daemon, _)| *daemon != settings.daemon)
        .collect()
}

type Membership = (ring::Sender<MembersEvent>, Option<Calls>);

/// The arguments of [`start_members`].
struct MembersStart<'a> {
    settings: &'a ControlSettings,
    process: &'a Process,
    disk: Voter,
    replication: &'a ReplicationHandle,
    bodies: Bodies,
    peers: PeerSender,
    edge: Option<Arc<dyn ControlEdge>>,
    ended: watch::Receiver<bool>,
}

/// Starts the threads `members` and `orders`; `None` if the settings do not name seeds.
fn start_members(
    start: MembersStart<'_>,
    threads: &mut Vec<JoinHandle<()>>,
) -> Result<Option<Membership>, RunError> {
    let MembersStart {
        settings,
        process,
        disk,
        replication,
        bodies,
        peers,
        edge,
        ended,
    } = start;
    let Some(membership) = settings.membership.clone() else {
        return Ok(None);
    };
    let (events, events_out) = ring::bounded("members", MEMBERS_CAPACITY);
    let (commands, commands_out) = ring::bounded("orders", COMMANDS_CAPACITY);
    let addresses = SharedAddresses::default();
    let operators = settings.operators.listen;
    let setup = MembersSetup {
        me: MemberAddress {
            daemon: settings.daemon.clone(),
            address: membership.advertised_peer.unwrap_or(settings.peer_listen),
            role: DaemonRole::Control,
            failure_domain: settings.failure_domain.clone(),
            operators: (!operators.ip().is_unspecified()).then_some(operators),
            disk: Some(disk.disk),
        },
        disk,
        is_founding: membership.may_found,
        hello_every: Duration::from_millis(membership.hello_interval_ms),
        seeds: SeedWatch::new(process.settings_path.clone(), membership),
        grouping: GroupingSettings {
            settle: Duration::from_millis(settings.groups.settle_ms),
            ..GroupingSettings::default()
        },
        replication: replication.clone(),
        peers,
        commands,
        addresses: Arc::clone(&addresses),
        clock: process.clock,
    };
    threads.push(spawn("members", move || {
        MembersThread::new(setup).run(events_out, ended)
    })?);
    let calls = edge.map(|edge| Calls {
        edge,
        replication: replication.clone(),
        addresses,
        members: events.clone(),
        metrics: process.metrics.clone(),
        bodies,
        handling: Semaphore::new(MAX_HANDLED_KIB as usize),
        limit: settings.operators.max_request_bytes,
    });
    if let Some(calls) = &calls {
        let edge = Arc::clone(&calls.edge);
        let (answers, metrics) = (events.clone(), process.metrics.clone());
        // The thread ends when the thread `members` drops its end of the ring of commands.
        // The shutdown does not join it, since it may be waiting for an engine.
        spawn("orders", move || {
            engine_commands::send_commands(edge, commands_out, answers, metrics)
        })?;
    }
    Ok(Some((events, calls)))
}

fn declare_counters(metrics: &Metrics) {
    metrics.declare::<OperatorRefusal>();
    metrics.declare::<ConfirmAnswer>();
    metrics.declare::<InboxDrop>();
    metrics.declare::<CallRefusal>();
    metrics.declare::<ConfigSent>();
}

fn identity(settings: &ControlSettings) -> PeerIdentity {
    PeerIdentity {
        cluster: settings.cluster.clone(),
        daemon: settings.daemon.clone(),
        boot: BootId(random_number()),
    }
}

/// Returns a random number.
///
/// The standard library seeds its hashers from the operating system's random source.
pub(crate) fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn listen(settings: &ControlSettings) -> Result<TcpListener, RunError> {
    let address = settings.operators.listen;
    let error = |source| RunError::Listen { address, source };
    let listener = connections::listen(address).map_err(error)?;
    listener.set_nonblocking(true).map_err(error)?;
    let address = listener.local_addr().map_err(error)?;
    LogEvent::OperatorsListening { address }.emit();
    Ok(listener)
}

fn spawn<Make, Duty>(name: &str, make: Make) -> Result<JoinHandle<()>, RunError>
where
    Make: FnOnce() -> Duty + Send + 'static,
    Duty: Future<Output = ()>,
{
    duty::spawn(name, make).map_err(RunError::Thread)
}

fn join(thread: JoinHandle<()>) {
    // A panic of that thread was already reported by its own hook.
    let _ = thread.join();
}
