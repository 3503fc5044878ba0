//! The `domain` thread and the two threads that speak with upstreams for it.

pub(crate) mod counters;
pub(crate) mod events;
mod observation;
mod parameters;
mod thread;

use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::Arc,
    thread::JoinHandle, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    domain::membership::AnnouncementRefusal,
    ids::Address,
    peer_api::{
        ClaimReply,
        PolicyStatisticsDelta,
        TeamShare, //
    },
    prelude::*,
    routing::{
        CacheNotice,
        RoutingSnapshot, //
    },
    upstream_api::Announcement,
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    metrics::Metrics,
    peers::{
        Incoming,
        PeerSender, //
    },
    ring,
    settings::EntrySettings, //
};
use displaydoc::Display;
use thiserror::Error;
use tokio::sync::{
    oneshot,
    watch, //
};

pub use parameters::domain_parameters;

use crate::{
    commands,
    upstreams, //
};

/// Announcements and command replies that wait for the `domain` thread.
const EVENT_RING_CAPACITY: usize = 1_024;
/// Commands that wait for the `commands` thread.
const COMMAND_RING_CAPACITY: usize = 256;

/// Why the failure domain's threads cannot start.
#[derive(Debug, Display, Error)]
pub enum DomainError {
    /// cannot listen for upstreams on {address}: {source}
    Listen {
        /// Where.
        address: Address,
        /// What the operating system says.
        source: io::Error,
    },
    /// cannot start a thread: {0}
    Thread(io::Error),
}

/// What the `domain` thread learns from upstreams.
#[derive(Debug)]
pub enum DomainEvent {
    /// An announcement arrived.
    Announced {
        /// The announcement.
        announcement: Box<Announcement>,
        /// A time at which it had certainly not yet been made.
        made_after: Option<Timestamp>,
        /// Takes the verdict for the upstream's answer.
        verdict: oneshot::Sender<Result<(), AnnouncementRefusal>>,
    },
}

/// What the `serve` thread tells the `domain` thread.
#[derive(Clone, Debug, PartialEq)]
pub enum ServeNotice {
    /// Figures by policy since the last notice.
    Figures(Vec<PolicyStatisticsDelta>),
    /// Each team's demand at this daemon.
    Demand(BTreeMap<TeamName, TeamShare>),
}

/// The rings between the `domain` thread and the `serve` thread; each may be left out.
#[derive(Default)]
pub struct DomainContext {
    /// Answers about claims.
    pub claim_replies: Option<ring::Sender<ClaimReply>>,
    /// Cache events of engines.
    pub cache_notices: Option<ring::Sender<CacheNotice>>,
    /// Figures and demand.
    pub serve_notices: Option<ring::Receiver<ServeNotice>>,
    /// Where everything is counted; in the process only if absent.
    pub metrics: Option<Metrics>,
}

/// The running threads and where upstreams reach them.
#[derive(Debug)]
pub struct DomainThreads {
    /// Where announcements are taken.
    pub upstream_address: Address,
    /// To be joined after the stop signal.
    pub threads: Vec<JoinHandle<()>>,
}

/// Starts the threads `upstreams`, `domain` and `commands`.
///
/// They end when `stop` becomes `true` or its sender is dropped.
///
/// # Errors
///
/// Returns [`DomainError`] if the address for upstreams cannot be listened on or
/// a thread cannot be made.
pub fn start(
    settings: &EntrySettings,
    peers: PeerSender,
    inbox: ring::Receiver<Incoming>,
    snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    clock: Clock,
    stop: watch::Receiver<bool>,
    context: DomainContext,
) -> Result<DomainThreads, DomainError> {
    let address = settings
        .upstreams
        .listen
        .unwrap_or(Address::from(([127, 0, 0, 1], 0)));
    let listen_error = |source| DomainError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    let upstream_address = listener.local_addr().map_err(listen_error)?;
    let (event_sender, events) = ring::bounded("domain-events", EVENT_RING_CAPACITY);
    let (command_sender, command_receiver) = ring::bounded("commands", COMMAND_RING_CAPACITY);
    let permit = Arc::new(commands::CommandPermit::default());
    let metrics = context
        .metrics
        .clone()
        .unwrap_or_else(Metrics::in_process_only);
    let parameters = domain_parameters(settings, peers.identity().boot);
    let domain = thread::DomainThread {
        coordinator: cicadabend::domain::coordinator::Coordinator::new(parameters, clock.now()),
        peers,
        snapshot,
        clock,
        commands: command_sender,
        permit: Arc::clone(&permit),
        observation: observation::Observation::new(
            metrics.clone(),
            settings.failure_domain.clone(),
            clock.now(),
        ),
        context,
    };
    let sending = commands::CommandSender {
        permit,
        clock,
        connect_timeout_ms: settings.upstreams.connect_timeout_ms,
        metrics: metrics.clone(),
    };
    let hearing = upstreams::AnnouncementListener {
        events: event_sender,
        clock,
        terms: settings.upstreams.clone(),
        metrics,
    };
    let address = upstream_address;
    events::LogEvent::UpstreamsListening { address }.emit();
    let domain_stop = stop.clone();
    let upstreams_stop = stop;
    let threads = vec![
        duty::spawn("domain", move || domain.run(inbox, events, domain_stop)),
        duty::spawn("commands", move || sending.run(command_receiver)),
        duty::spawn("upstreams", move || hearing.run(listener, upstreams_stop)),
    ];
    let threads: Result<Vec<_>, _> = threads.into_iter().collect();
    Ok(DomainThreads {
        upstream_address,
        threads: threads.map_err(DomainError::Thread)?,
    })
}
