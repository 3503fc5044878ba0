//! Starts the daemon's threads and ends them in order.

use std::{
    hash::{
        BuildHasher,
        Hasher,
        RandomState, //
    },
    io,
    net::TcpListener,
    sync::Arc,
    thread::JoinHandle, //
};

use cicadabend::prelude::*;
use cicadabend_daemon::{
    clock::Clock,
    duty,
    peers::{
        PeerError,
        PeerIdentity,
        Peers, //
    },
    ring,
    settings::ControlSettings, //
};
use displaydoc::Display;
use thiserror::Error;
use tokio::{
    signal::unix::{
        SignalKind,
        signal, //
    },
    sync::watch,
};

use crate::{
    inbox::{
        self,
        Destinations, //
    },
    operators::{
        self,
        Operators, //
    },
    replication::{
        self,
        ReplicationError, //
    },
    settings::LoadedSettings,
    spread::{
        Spread,
        topology, //
    },
    view::SharedView,
};

const PEER_INBOX_CAPACITY: usize = 4_096;
const AGREEMENT_CAPACITY: usize = 1_024;
const SPREAD_CAPACITY: usize = 1_024;

/// Why the daemon cannot start.
#[derive(Debug, Display, Error)]
pub(crate) enum RunError {
    /// cannot listen for operators: {0}
    Listen(io::Error),
    /// {0}
    Peers(PeerError),
    /// {0}
    Replication(ReplicationError),
    /// cannot start a thread or wait for signals: {0}
    System(io::Error),
}

/// Runs the daemon until SIGTERM or SIGINT.
pub(crate) fn run(settings: LoadedSettings) -> Result<(), RunError> {
    let clock = Clock::start();
    let control = Arc::new(settings.control);
    let listener = listen(&control).map_err(RunError::Listen)?;
    let (inbox_in, inbox_out) = ring::bounded("peer-inbox", PEER_INBOX_CAPACITY);
    let peers = Peers::start(
        control.peer_listen,
        identity(&control),
        &control.peers,
        inbox_in,
    )
    .map_err(RunError::Peers)?;
    let (agreement_in, agreement_out) = ring::bounded("agreement", AGREEMENT_CAPACITY);
    let (spread_in, spread_out) = ring::bounded("spread", SPREAD_CAPACITY);
    let (replication, agreement) =
        replication::start(&control, peers.sender(), agreement_out, clock)
            .map_err(RunError::Replication)?;
    let destinations = Destinations {
        agreement: agreement_in,
        spread: spread_in,
    };
    let inbox = spawn("inbox", move || inbox::sort(inbox_out, destinations))?;
    let view = SharedView::default();
    let spread = Spread::new(
        &control,
        replication.clone(),
        peers.sender(),
        view.clone(),
        clock,
    );
    let operators = Arc::new(Operators {
        settings: Arc::clone(&control),
        topology: topology(&control),
        tokens: settings.tokens,
        replication,
        view,
        clock,
    });
    let spread = spawn("spread", move || spread.run(spread_out))?;
    let (stop, stopped) = watch::channel(false);
    let serving = spawn("operators", move || {
        operators::serve(operators, listener, stopped)
    })?;
    log::info!("CB1500 control daemon started daemon={}", control.daemon);
    wait_for_signal().map_err(RunError::System)?;
    log::info!("CB1501 control daemon stops daemon={}", control.daemon);
    // Operators first, so that their running requests still reach the log; then the
    // peers, whose closed ring ends the inbox, which ends the others.
    stop.send_replace(true);
    join(serving);
    drop(peers);
    for thread in [inbox, spread, agreement] {
        join(thread);
    }
    Ok(())
}

fn identity(settings: &ControlSettings) -> PeerIdentity {
    PeerIdentity {
        cluster: settings.cluster.clone(),
        daemon: settings.daemon.clone(),
        boot: BootId(random_number()),
    }
}

/// The standard library seeds its hashers from the operating system's random source.
fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn listen(settings: &ControlSettings) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(settings.operators.listen)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn spawn<Make, Duty>(name: &str, make: Make) -> Result<JoinHandle<()>, RunError>
where
    Make: FnOnce() -> Duty + Send + 'static,
    Duty: Future<Output = ()>,
{
    duty::spawn(name, make).map_err(RunError::System)
}

fn join(thread: JoinHandle<()>) {
    // A panic of that thread was already reported by its own hook.
    let _ = thread.join();
}

fn wait_for_signal() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
