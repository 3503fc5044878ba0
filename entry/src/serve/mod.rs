//! The thread that answers callers.
//!
//! - `listener`: accepts connections and drains them.
//! - `handler`: from one HTTP request to one answer.
//! - `completions` and `plain`: the two kinds of services.
//! - `upstream`: connections to upstreams, whose written bytes are counted.
//! - `answer`: bodies of answers, and errors in their one form.

mod admission_control;
mod attempt;
mod body;
mod caller;
mod caller_stream;
mod claim_client;
mod completions;
mod connections;
mod counts;
mod detached;
mod drive;
mod event_body;
mod event_source;
mod events;
mod exchange;
mod handler;
mod headers;
mod hedge;
mod held_claim;
mod housekeeping;
mod listener;
mod passed_body;
mod plain;
mod policy_statistics;
mod replay;
mod request_ids;
mod response;
mod resume;
pub(crate) mod routed;
mod run;
mod server;
mod spec;
mod times;
mod upstream;
mod watched_body;

use std::{
    io,
    net::TcpListener,
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
    metrics::Metrics,
    settings::EntrySettings, //
};
use tokio::sync::watch;

use server::Server;

pub use claim_client::{
    ClaimLink,
    SendClaim, //
};
pub use counts::Serving as ServingCounter;
pub use events::LogEvent;
pub use housekeeping::DomainLink;

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
    /// Counters and timers.
    pub metrics: Metrics,
    /// The way to the control daemons.
    pub claims: ClaimLink,
    /// The rings to and from the domain thread.
    pub domain: DomainLink,
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
    let thread = duty::spawn("serve", move || serve(setup, address, stopped))?;
    Ok(Serving { address, thread })
}

async fn serve(setup: ServeSetup, address: Address, stopped: watch::Receiver<bool>) {
    let listener = match setup.listener.try_clone() {
        Ok(listener) => tokio::net::TcpListener::from_std(listener),
        Err(error) => Err(error),
    };
    match listener {
        Ok(listener) => {
            LogEvent::Serving { address }.emit();
            listener::run(listener, Server::start(setup), stopped).await;
        }
        Err(error) => {
            let reason = error.to_string();
            LogEvent::ServingUnavailable { reason }.emit();
        }
    }
}
