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

use crate::serve;

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
    let (stop, stopped) = watch::channel(false);
    let serving = serve::start(
        serve::ServeSetup {
            settings: settings.clone(),
            listener,
            snapshot,
            clock: Clock::start(),
            boot: draw_boot(),
        },
        stopped,
    )
    .map_err(ProcessError::Thread)?;
    wait_for_stop_signal()?;
    log::info!("CB1102 stopping daemon={}", settings.daemon);
    // The receivers are gone only if the thread has ended already.
    let _ = stop.send(true);
    // A panic of that thread was already reported by its own hook.
    let _ = serving.thread.join();
    log::info!("CB1103 stopped daemon={}", settings.daemon);
    Ok(())
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
