//! Starts the daemon's threads and stops them in order.

use std::{
    hash::{
        BuildHasher,
        RandomState, //
    },
    io,
    net::TcpListener,
    sync::Arc, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    ids::Address,
    prelude::*,
    routing::RoutingSnapshot, //
};
use cicadabend_daemon::{
    clock::Clock,
    peers::{
        Incoming,
        PeerError,
        PeerIdentity,
        Peers, //
    },
    ring,
    settings::EntrySettings, //
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
    domain::{
        self,
        DomainContext,
        DomainError, //
    },
    serve, //
};

/// How many messages from peers wait for the domain thread; senders repeat what is dropped.
const PEER_INBOX_CAPACITY: usize = 4_096;

/// Why the daemon cannot run.
#[derive(Debug, Display, Error)]
pub enum ProcessError {
    /// cannot listen for callers on {address}: {source}
    Listen {
        /// Where.
        address: Address,
        /// What the operating system says.
        source: io::Error,
    },
    /// cannot start a thread: {0}
    Thread(io::Error),
    /// cannot wait for signals: {0}
    Signals(io::Error),
    /// cannot talk to peers: {0}
    Peers(PeerError),
    /// cannot coordinate the failure domain: {0}
    Domain(DomainError),
}

/// Runs the daemon until a signal asks it to stop and everything has ended.
///
/// # Errors
///
/// Returns [`ProcessError`] if a listener, a thread or the signal handling cannot be set up.
pub fn run(settings: EntrySettings) -> Result<(), ProcessError> {
    let address = settings.callers.listen;
    let listener =
        TcpListener::bind(address).map_err(|source| ProcessError::Listen { address, source })?;
    let snapshot = Arc::new(ArcSwap::from_pointee(RoutingSnapshot::default()));
    let clock = Clock::start();
    let boot = draw_boot();
    let (peers, inbox) = start_peers(&settings, boot)?;
    let (stop_domain, domain_stopped) = watch::channel(false);
    let domain = domain::start(
        &settings,
        peers.sender(),
        inbox,
        Arc::clone(&snapshot),
        clock,
        domain_stopped,
        DomainContext::default(),
    )
    .map_err(ProcessError::Domain)?;
    let (stop, stopped) = watch::channel(false);
    let setup = serve::ServeSetup {
        settings: settings.clone(),
        listener,
        snapshot,
        clock,
        boot,
    };
    let serving = serve::start(setup, stopped).map_err(ProcessError::Thread)?;
    wait_for_stop_signal()?;
    log::info!("CB1102 stopping daemon={}", settings.daemon);
    // The receivers are gone only if the thread has ended already.
    let _ = stop.send(true);
    // A panic of a thread was already reported by its own hook.
    let _ = serving.thread.join();
    // The domain is coordinated until the last request has ended: its lease and its
    // view of upstreams are what running requests depend on.
    let _ = stop_domain.send(true);
    for thread in domain.threads {
        let _ = thread.join();
    }
    drop(peers);
    log::info!("CB1103 stopped daemon={}", settings.daemon);
    Ok(())
}

fn start_peers(
    settings: &EntrySettings,
    boot: BootId,
) -> Result<(Peers, ring::Receiver<Incoming>), ProcessError> {
    let (inbox_sender, inbox) = ring::bounded("peer-inbox", PEER_INBOX_CAPACITY);
    let identity = PeerIdentity {
        cluster: settings.cluster.clone(),
        daemon: settings.daemon.clone(),
        boot,
    };
    let peers = Peers::start(
        settings.peer_listen,
        identity,
        &settings.peers,
        inbox_sender,
    )
    .map_err(ProcessError::Peers)?;
    Ok((peers, inbox))
}

/// Draws the number that tells this run from others.
fn draw_boot() -> BootId {
    // Each `RandomState` is keyed from the system's random source.
    BootId(RandomState::new().hash_one(std::process::id()))
}

/// Waits for the first SIGTERM or SIGINT.
///
/// The handlers stay installed after that, so a second signal does not end the
/// process: it would cut off the requests that the first one lets finish.
fn wait_for_stop_signal() -> Result<(), ProcessError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProcessError::Signals)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(ProcessError::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(ProcessError::Signals)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
