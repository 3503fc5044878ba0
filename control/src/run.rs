//! Starts the daemon's threads and ends them in order.

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

use cicadabend::prelude::*;
use cicadabend_daemon::{
    duty,
    metrics::Metrics,
    peers::{
        PeerError,
        PeerIdentity,
        Peers, //
    },
    program::Process,
    ring,
    settings::ControlSettings,
    storage::{
        DataFolder,
        StorageError, //
    },
};
use displaydoc::Display;
use thiserror::Error;

use crate::{
    claims::{
        self,
        ClaimsError, //
    },
    counters::{
        ConfigSent,
        ConfirmAnswer,
        InboxDrop,
        OperatorRefusal, //
    },
    events::LogEvent,
    inbox::{
        self,
        Destinations, //
    },
    operators::{
        self,
        Operators,
        tokens::{
            OperatorTokens,
            TokenError, //
        }, //
    },
    replication::{
        self,
        ReplicationError, //
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
/// Claims that gather while one sync runs; an entry daemon asks again for what is dropped.
const CLAIMS_CAPACITY: usize = 8_192;

/// Why the daemon cannot start.
#[derive(Debug, Display, Error)]
pub(crate) enum RunError {
    /// operators.token_file: {0}
    Tokens(TokenError),
    /// operators.listen: cannot listen on {address}: {source}
    Listen {
        /// Where.
        address: std::net::SocketAddr,
        /// What the operating system says.
        source: io::Error,
    },
    /// {0}
    Peers(PeerError),
    /// data_folder: {0}
    Storage(StorageError),
    /// {0}
    Replication(ReplicationError),
    /// cannot answer for claims: {0}
    Claims(ClaimsError),
    /// cannot start a thread: {0}
    Thread(io::Error),
}

/// Runs the daemon until a stop is asked for.
pub(crate) fn run(settings: ControlSettings, process: Process) -> Result<(), RunError> {
    declare_counters(&process.metrics);
    let tokens = OperatorTokens::read(Path::new(&settings.operators.token_file))
        .map_err(RunError::Tokens)?;
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
            .map_err(RunError::Replication)?;
    let (claims_in, claims_out) = ring::bounded("claims", CLAIMS_CAPACITY);
    let claims = claims::start(
        &folder,
        Duration::from_millis(settings.claim_retention_ms),
        peers.sender(),
        claims_out,
        replication.voters(),
        process.clock,
    )
    .map_err(RunError::Claims)?;
    let log = replication.clone();
    let destinations = Destinations {
        agreement: agreement_in,
        spread: spread_in,
        claims: claims_in,
        metrics: process.metrics.clone(),
    };
    let inbox = spawn("inbox", move || inbox::sort(inbox_out, destinations))?;
    let view = SharedView::default();
    let spread = Spread::new(
        &settings,
        replication.clone(),
        peers.sender(),
        view.clone(),
        process.metrics.clone(),
        process.clock,
    );
    let spread = spawn("spread", move || spread.run(spread_out))?;
    let operators = Arc::new(Operators {
        topology: topology(&settings, peers.sender().identity().boot),
        settings,
        tokens,
        replication,
        view,
        metrics: process.metrics,
        clock: process.clock,
    });
    let stop = process.stop;
    let serving = spawn("operators", move || {
        operators::serve(operators, listener, stop)
    })?;
    // The listener ends when a stop is asked for, so that running requests still reach
    // the log; then the peers, whose closed ring ends the inbox, which ends the others.
    join(serving);
    log.hand_over();
    drop(peers);
    for thread in [inbox, spread, claims, agreement] {
        join(thread);
    }
    match log.failure() {
        Some(reason) => Err(RunError::Replication(ReplicationError::Storage(reason))),
        None => Ok(()),
    }
}

fn declare_counters(metrics: &Metrics) {
    metrics.declare::<OperatorRefusal>();
    metrics.declare::<ConfirmAnswer>();
    metrics.declare::<InboxDrop>();
    metrics.declare::<ConfigSent>();
}

fn identity(settings: &ControlSettings) -> PeerIdentity {
    PeerIdentity {
        cluster: settings.cluster.clone(),
        daemon: settings.daemon.clone(),
        boot: BootId(random_number()),
    }
}

/// The standard library seeds its hashers from the operating system's random source.
pub(crate) fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn listen(settings: &ControlSettings) -> Result<TcpListener, RunError> {
    let address = settings.operators.listen;
    let error = |source| RunError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(error)?;
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
