//! Serving of requests that are routed by the table of routes.
//!
//! The modules from top to bottom; each one imports only modules below it:
//!
//! - `listener`: accepts callers' connections, and drains them on shutdown.
//! - `handler`: turns one HTTP request into one response.
//! - `drive`: runs a request's attempts until the status and headers of its response are known.
//! - `attempt`, `hedge`: make one attempt and bound its time; make a second attempt beside a slow
//!   one.
//! - `refusal`, `quarantine`: write the daemon's own responses; decide by past crashes whether a
//!   request may run.
//! - `body`, `passed_body`, `stream`: pass response bodies on as they are, and event streams.
//! - `resume`: asks another replica for the rest of an event stream that broke off or pauses.
//! - `availability`, `rates`, `account`: apply upstreams' backoff and shutdown signals; use permits
//!   for upstreams that limit their request rate; log and count requests.
//! - `execution`: holds a request's state and chooses its replica.
//! - `admission`: checks a request's body, route and team.
//! - `exchange`: sends one request and reads the first chunk of its response.
//! - `transport`, `direct`, `relay_client`: send a request; by this daemon's own link; through a
//!   relay.
//! - `relay_server`, `relay_body`: send requests of other entry daemons on; pass the responses back.
//! - `upstream_signals`: records what upstreams signal by their response headers.
//! - `crash_probe`, `liveness`: find out whether an upstream that broke off requests has crashed.
//! - `reservation`, `trials`: count a request at its replica; limit trials of a request after its
//!   quarantine.
//! - `overload`: closes new connections unread while the daemon has no processor time left.
//! - `links`: what connections show about this daemon's links to upstreams; trials of lost ones.
//! - `server`: holds the state that all requests share.
//! - `retry_budget`: limits retries, and keeps a ticket for each until it has arrived.
//! - `delivered`, `relay_state`: a response whose head is here; the requests that are being relayed.
//! - `held_answer`: responses that are held until they are whole.
//! - `relay_headers`: what daemons tell each other of a relayed request.
//! - `failure`, `source`, `prepared_request`: why an attempt failed; the remaining bytes of a
//!   response; a request in a form that can be sent several times.
//! - `crash_watch`, `part_watch`, `counts`, `events`, `lines`: requests that were broken off; prompt
//!   parts that were answered; counters; log events; their rate limit.

mod account;
mod admission;
mod attempt;
mod availability;
mod body;
mod counts;
mod crash_probe;
mod crash_watch;
mod delivered;
mod direct;
mod drive;
mod events;
mod exchange;
mod execution;
mod failure;
mod handler;
mod hedge;
mod held_answer;
mod lines;
mod links;
mod listener;
mod liveness;
mod overload;
mod part_watch;
mod passed_body;
mod prepared_request;
mod quarantine;
mod rates;
mod refusal;
mod relay_body;
mod relay_client;
mod relay_headers;
mod relay_server;
mod relay_state;
mod reservation;
mod resume;
mod retry_budget;
mod server;
mod source;
mod stream;
mod transport;
mod trials;
mod upstream_signals;

use std::{
    io,
    net::TcpListener,
    sync::{
        Arc,
        atomic::AtomicBool, //
    },
    thread::JoinHandle, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    breaker::Breakers,
    prelude::*,
    reach::{
        LinkGroup,
        RelayKey, //
    },
    registry::InstanceId, //
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    metrics::Metrics,
    ring,
    settings::EntrySettings, //
};
use tokio::sync::watch;

use crate::{
    edge::CallerEdge,
    members::{
        CrashNotice,
        Demand,
        Grants,
        Permits,
        RateNotice,
        RoutedView, //
    },
};

pub(crate) use retry_budget::budget_settings;

/// Everything that the serving thread needs to start.
pub(crate) struct RoutedSetup {
    pub(crate) settings: EntrySettings,
    pub(crate) listener: TcpListener,
    /// Listener for the load balancer's readiness checks; `None` if there is none of its own.
    pub(crate) ready_listener: Option<TcpListener>,
    /// Listener for requests of other entry daemons; `None` if this daemon relays none.
    pub(crate) relay_listener: Option<TcpListener>,
    /// The key that requests of other entry daemons must carry.
    pub(crate) relay_key: RelayKey,
    pub(crate) view: Arc<ArcSwap<RoutedView>>,
    pub(crate) edge: Arc<dyn CallerEdge>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) boot: BootId,
    /// Counts of this daemon's requests for each model.
    pub(crate) demand: Demand,
    /// Set to true when the first caller's request is admitted.
    pub(crate) has_served: Arc<AtomicBool>,
    /// Reports replicas whose event streams are all stalled to the thread `members`.
    pub(crate) stalls: ring::Sender<InstanceId>,
    /// Reports requests of crashed upstreams, and cleared requests, to the thread `members`.
    pub(crate) crashes: ring::Sender<CrashNotice>,
    /// Permits for requests to upstreams that limit their request rate.
    pub(crate) permits: Permits,
    /// Retries that the leader grants from the slack.
    pub(crate) grants: Grants,
    /// Reports the request rates that upstreams name to the thread `members`.
    pub(crate) rate_notices: ring::Sender<RateNotice>,
    /// Notifies the thread `members` that a request waits for a permit or a grant.
    pub(crate) waits: ring::Sender<()>,
    /// Reports the groups of lost links to upstreams to the thread `members`.
    pub(crate) lost_groups: ring::Sender<Vec<LinkGroup>>,
}

/// Starts the serving thread, which drains its connections and ends once `stopped` turns true.
///
/// # Errors
///
/// Returns an error if the breaker's state chart is invalid, a listener can't be made
/// non-blocking, or the thread can't be started.
pub(crate) fn start(
    setup: RoutedSetup,
    stopped: watch::Receiver<bool>,
) -> io::Result<JoinHandle<()>> {
    let breakers = Breakers::new().map_err(io::Error::other)?;
    setup.listener.set_nonblocking(true)?;
    let others = [&setup.ready_listener, &setup.relay_listener];
    for listener in others.into_iter().flatten() {
        listener.set_nonblocking(true)?;
    }
    duty::spawn("serve", move || listener::run(setup, breakers, stopped))
}
