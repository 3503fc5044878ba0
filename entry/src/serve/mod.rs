//! The thread that answers callers.
//!
//! - `listener`: accepts connections and drains them.
//! - `handler`: from one HTTP request to one answer.
//! - `completions` and `plain`: the two kinds of services.
//! - `upstream`: connections to upstreams, whose written bytes are counted.
//! - `answer`: bodies of answers, and errors in their one form.

mod answer;
mod body;
mod caller;
mod completions;
mod handler;
mod headers;
mod listener;
mod plain;
mod server;
mod upstream;

use std::{
    io,
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    thread::JoinHandle, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    ids::Address,
    prelude::*,
    routing::RoutingSnapshot, //
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    settings::EntrySettings, //
};
use tokio::sync::watch;

use server::Server;

/// What the serving thread is given.
pub struct ServeSetup {
    /// The daemon's settings.
    pub settings: EntrySettings,
    /// Where callers connect.
    pub listener: TcpListener,
    /// What requests are served by; the domain thread replaces it.
    pub snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    /// The process's clock.
    pub clock: Clock,
    /// This run of the process.
    pub boot: BootId,
}

/// The serving thread.
pub struct Serving {
    /// Where callers connect.
    pub address: Address,
    /// Ends when the daemon has drained.
    pub thread: JoinHandle<()>,
}

/// Starts the serving thread; it drains and ends once `stopped` turns true.
///
/// # Errors
///
/// Returns the operating system's error if the listener or the thread cannot be set up.
pub fn start(setup: ServeSetup, stopped: watch::Receiver<bool>) -> io::Result<Serving> {
    let address = setup.listener.local_addr()?;
    setup.listener.set_nonblocking(true)?;
    let thread = duty::spawn("serve", move || async move {
        let listener = match tokio::net::TcpListener::from_std(setup.listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("CB1100 cannot serve callers: {error}");
                return;
            }
        };
        log::info!("CB1101 serving callers address={address}");
        let server = Server::new(setup.settings, setup.snapshot, setup.boot);
        let server = Rc::new(server);
        listener::run(listener, server, stopped).await;
    })?;
    Ok(Serving { address, thread })
}
