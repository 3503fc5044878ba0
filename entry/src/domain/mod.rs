//! The thread `domain`, which coordinates the failure domain, and the two threads that exchange
//! messages with upstreams for it.

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

/// The number of announcements that can queue for the thread `domain`.
const EVENT_RING_CAPACITY: usize = 1_024;
/// The number of commands that can queue for the thread `commands`.
const COMMAND_RING_CAPACITY: usize = 256;

/// The reason why the failure domain's threads cannot start.
#[derive(Debug, Display, Error)]
pub enum DomainError {
    /// cannot listen for upstreams on {address}: {source}
    Listen {
        /// The address from the settings.
        address: Address,
        /// The operating system's error.
        source: io::Error,
    },
    /// cannot start a thread: {0}
    Thread(io::Error),
}

/// An input of the thread `domain` that comes from upstreams.
#[derive(Debug)]
pub enum DomainEvent {
    /// An announcement arrived.
    Announced {
        /// The announcement.
        announcement: Box<Announcement>,
        /// A time before which the upstream cannot have made the announcement: when this daemon
        /// sent its last reply on the same connection. `None` for the first announcement.
        made_after: Option<Timestamp>,
        /// Receives the decision, which the upstream gets as its answer.
        verdict: oneshot::Sender<Result<(), AnnouncementRefusal>>,
    },
}

/// A notice of the thread `serve` to the thread `domain`.
#[derive(Clone, Debug, PartialEq)]
pub enum ServeNotice {
    /// The statistics of each routing policy since the last notice.
    Figures(Vec<PolicyStatisticsDelta>),
    /// The demand of each team at this daemon.
    Demand(BTreeMap<TeamName, TeamShare>),
}

/// The rings between the threads `domain` and `serve`; each may be absent.
#[derive(Default)]
pub struct DomainContext {
    /// Control daemons' replies to claims, for the thread `serve`.
    pub claim_replies: Option<ring::Sender<ClaimReply>>,
    /// Cache events of engines, for the thread `serve`.
    pub cache_notices: Option<ring::Sender<CacheNotice>>,
    /// Statistics and demand from the thread `serve`.
    pub serve_notices: Option<ring::Receiver<ServeNotice>>,
    /// The metrics of the process; if absent, the counts are not exported.
    pub metrics: Option<Metrics>,
}

/// The running threads and the address of the listener for upstreams.
#[derive(Debug)]
pub struct DomainThreads {
    /// The address at which upstreams announce themselves.
    pub upstream_address: Address,
    /// The threads, which the caller joins after the stop signal.
    pub threads: Vec<JoinHandle<()>>,
}

/// Starts the threads `upstreams`, `domain` and `commands`.
///
/// The threads end when `stop` becomes `true` or its sender is dropped.
///
/// # Errors
///
/// Returns [`DomainError`] if the listener for upstreams cannot be opened or a thread cannot be
/// started.
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
    let sender = commands::CommandSender {
        permit,
        clock,
        connect_timeout_ms: settings.upstreams.connect_timeout_ms,
        metrics: metrics.clone(),
    };
    let announcements = upstreams::AnnouncementListener {
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
        duty::spawn("commands", move || sender.run(command_receiver)),
        duty::spawn("upstreams", move || {
            announcements.run(listener, upstreams_stop)
        }),
    ];
    let threads: Result<Vec<_>, _> = threads.into_iter().collect();
    Ok(DomainThreads {
        upstream_address,
        threads: threads.map_err(DomainError::Thread)?,
    })
}
