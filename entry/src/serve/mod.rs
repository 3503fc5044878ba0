//! The thread that answers callers.
//!
//! - `listener`: accepts callers' connections and drains them when the daemon stops.
//! - `handler`: turns one HTTP request into one response.
//! - `completions` and `plain`: handle requests to model services and to plain services.
//! - `upstream`: connections to upstreams, with a count of the bytes written to each.
//! - `wait`: waits that end when the other side of a connection is silent.
//! - `response`: error responses and JSON responses.

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
mod event_sources;
mod events;
mod exchange;
mod guarded_body;
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
mod silence;
mod spec;
mod times;
mod unread_body;
mod upstream;
mod wait;
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

/// The settings and the handles that the serving thread starts with.
pub struct ServeSetup {
    /// The daemon's settings.
    pub settings: EntrySettings,
    /// The bound socket on which callers connect.
    pub listener: TcpListener,
    /// The services, replicas and team limits that requests are routed by; the domain thread
    /// replaces the snapshot whenever one of them changes.
    pub snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    /// The clock that all threads of the process share.
    pub clock: Clock,
    /// The process's counters, gauges and timers.
    pub metrics: Metrics,
    /// The link over which claims are requested from the control daemons.
    pub claims: ClaimLink,
    /// The rings to and from the domain thread.
    pub domain: DomainLink,
    /// Identifies this start of the process.
    pub boot: BootId,
}

/// A serving thread that was started.
pub struct Serving {
    /// The address on which callers connect.
    pub address: Address,
    /// Handle of the thread, which ends when all requests have been drained.
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
