//! Starts the daemon's threads and stops them in order.

use std::{
    hash::{
        BuildHasher,
        RandomState, //
    },
    io,
    net::TcpListener,
    sync::{
        Arc,
        atomic::AtomicBool, //
    },
    thread::JoinHandle,
    time::Duration, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    chart::{
        self,
        ChartError, //
    },
    ids::Address,
    peer_api::{
        ClaimReply,
        PeerMessage, //
    },
    prelude::*,
    reach::{
        RelayKey,
        RelayOffer, //
    },
    routing::RoutingSnapshot, //
};
use cicadabend_daemon::{
    connections, duty,
    metrics::Metrics,
    peers::{
        Incoming,
        PeerError,
        PeerIdentity,
        PeerSender,
        Peers, //
    },
    program::{
        self,
        Process, //
    },
    ring,
    seeds::SeedWatch,
    settings::{
        EntrySettings,
        PeerRole, //
    },
    stop::StopSignal,
};
use displaydoc::Display;
use rand::{
    TryRngCore,
    rngs::OsRng, //
};
use thiserror::Error;
use tokio::{
    sync::watch,
    time::sleep, //
};

use crate::{
    domain::{
        self,
        DomainContext,
        DomainError, //
    },
    edge::CallerEdge,
    members::{
        self,
        Demand,
        Grants,
        MembersSetup,
        MembersThread,
        Notices,
        Permits,
        RoutedView, //
    },
    serve::{
        self, ClaimLink, DomainLink,
        routed::{
            self,
            RoutedSetup, //
        },
    },
};

/// The number of peer messages that can queue; senders retransmit dropped ones.
const PEER_INBOX_CAPACITY: usize = 4_096;
/// The number of replies to claims that can queue for the serving thread, which asks again if one
/// is dropped.
const CLAIM_REPLY_CAPACITY: usize = 4_096;
/// The number of cache events that can queue for the serving thread, which detects dropped ones by
/// the gap in their numbers.
const CACHE_NOTICE_CAPACITY: usize = 4_096;
/// The number of notices of demand and statistics that can queue for the thread `domain`.
const SERVE_NOTICE_CAPACITY: usize = 64;
/// The number of notices of stalled replicas that can queue for the thread `members`.
const STALL_CAPACITY: usize = 256;
/// The number of notices of crashed upstreams that can queue for the thread `members`.
const CRASH_CAPACITY: usize = 256;
/// The number of notices of upstreams' rate limits that can queue for the thread `members`.
const RATE_CAPACITY: usize = 1_024;
/// The number of notices of requests waiting for a permit that can queue for the thread `members`.
const WAIT_CAPACITY: usize = 16;
/// The number of lists of lost links that can queue for the thread `members`; the last one counts.
const LOST_GROUPS_CAPACITY: usize = 4;
/// How often the daemon checks whether a thread has ended unexpectedly.
const THREAD_CHECK_MS: u64 = 200;

/// The reason why the daemon cannot run.
#[derive(Debug, Display, Error)]
pub enum ProcessError {
    /// cannot listen for callers on {address}: {source}
    Listen {
        /// The address from the settings.
        address: Address,
        /// The operating system's error.
        source: io::Error,
    },
    /// the settings name no seeds, without which no routes can be had
    NoSeeds,
    /// cannot run a thread: {0}
    Thread(#[from] io::Error),
    /// the thread {thread} has ended by itself
    ThreadEnded {
        /// The name of the thread.
        thread: String,
    },
    /// the operating system gives no random numbers: {0}
    Random(io::Error),
    /// {0}
    Chart(#[from] ChartError),
    /// cannot talk to peers: {0}
    Peers(#[from] PeerError),
    /// cannot coordinate the failure domain: {0}
    Domain(#[from] DomainError),
}

/// Runs the daemon until it is asked to stop and everything has ended.
///
/// # Errors
///
/// Returns [`ProcessError`] if a state chart is faulty, a listener or a thread
/// cannot be set up, or a thread panicked.
pub fn run(settings: EntrySettings, process: Process) -> Result<(), ProcessError> {
    chart::validate_all_charts()?;
    let listener = listen(settings.callers.listen)?;
    let snapshot = Arc::new(ArcSwap::from_pointee(RoutingSnapshot::default()));
    let clock = process.clock;
    let boot = random_boot_id();
    let (peers, inbox) = start_peers(&settings, boot)?;
    let Links {
        context,
        domain: link,
        claims,
    } = new_links(&settings, peers.sender(), process.metrics.clone());
    let (stop_domain, domain_stopped) = watch::channel(false);
    let domain = domain::start(
        &settings,
        peers.sender(),
        inbox,
        Arc::clone(&snapshot),
        clock,
        domain_stopped,
        context,
    )?;
    let (stop, stopped) = watch::channel(false);
    let setup = serve::ServeSetup {
        settings,
        listener,
        snapshot,
        clock,
        metrics: process.metrics,
        claims,
        domain: link,
        boot,
    };
    let serving = serve::start(setup, stopped)?;
    // The failure domain is coordinated until the last request has ended, since running requests
    // depend on the domain's lease and on its state of the upstreams.
    run_until_stopped(
        process.stop,
        (serving.thread, stop),
        (domain.threads, stop_domain),
        peers,
    )
}

/// Runs a daemon that finds the other daemons by seeds, until it is asked to stop.
///
/// The daemon serves requests by the table of routes that control daemons send; `edge` translates
/// the headers of callers and upstreams.
///
/// # Errors
///
/// Returns [`ProcessError`] if a state chart is faulty, a listener or a thread cannot be
/// set up, a thread panicked, or the settings name no seeds.
pub fn run_with_edge(
    settings: EntrySettings,
    process: Process,
    edge: Arc<dyn CallerEdge>,
) -> Result<(), ProcessError> {
    chart::validate_all_charts()?;
    let Some(membership) = settings.membership.clone() else {
        return Err(ProcessError::NoSeeds);
    };
    let listener = listen(settings.callers.listen)?;
    let ready_listener = settings.callers.ready_listen.map(listen).transpose()?;
    let relay_listener = settings.relay_listen.map(listen).transpose()?;
    let boot = random_boot_id();
    let (peers, inbox) = start_peers(&settings, boot)?;
    let view = Arc::new(ArcSwap::from_pointee(RoutedView::default()));
    let demand = Demand::default();
    let permits = Permits::default();
    let grants = Grants::default();
    let has_served = Arc::new(AtomicBool::new(false));
    let relay_key = random_relay_key()?;
    let setup = MembersSetup {
        me: members::member_address(
            settings.daemon.clone(),
            membership.advertised_peer.unwrap_or(settings.peer_listen),
            settings.failure_domain.clone(),
        ),
        hello_every: Duration::from_millis(membership.hello_interval_ms),
        seeds: SeedWatch::new(process.settings_path.clone(), membership),
        peers: peers.sender(),
        view: Arc::clone(&view),
        demand: demand.clone(),
        permits: permits.clone(),
        grants: grants.clone(),
        retry_budget: routed::budget_settings(&settings.retries),
        relay: settings.relay_listen.map(|address| RelayOffer {
            address,
            key: relay_key,
            lost: Vec::new(),
        }),
        has_served: Arc::clone(&has_served),
        clock: process.clock,
    };
    let (stop_members, members_stopped) = watch::channel(false);
    let (stalls, stalled) = ring::bounded("stalls", STALL_CAPACITY);
    let (crashes, crashed) = ring::bounded("crashes", CRASH_CAPACITY);
    let (rate_notices, rates) = ring::bounded("rates", RATE_CAPACITY);
    let (waits, waiting) = ring::bounded("waits", WAIT_CAPACITY);
    let (lost_groups, lost) = ring::bounded("lost-groups", LOST_GROUPS_CAPACITY);
    let notices = Notices {
        stalls: stalled,
        crashes: crashed,
        rates,
        waits: waiting,
        lost_groups: lost,
    };
    let membership = duty::spawn("members", move || {
        MembersThread::new(setup).run(inbox, notices, members_stopped)
    })?;
    let (stop, stopped) = watch::channel(false);
    let setup = RoutedSetup {
        settings,
        listener,
        ready_listener,
        relay_listener,
        relay_key,
        view,
        edge,
        clock: process.clock,
        metrics: process.metrics,
        boot,
        demand,
        has_served,
        stalls,
        crashes,
        permits,
        grants,
        rate_notices,
        waits,
        lost_groups,
    };
    let serving = routed::start(setup, stopped)?;
    // The thread `members` runs until the last request has ended, since resuming a stream needs
    // the current replicas.
    run_until_stopped(
        process.stop,
        (serving, stop),
        (vec![membership], stop_members),
        peers,
    )
}

fn listen(address: Address) -> Result<TcpListener, ProcessError> {
    connections::listen(address).map_err(|source| ProcessError::Listen { address, source })
}

/// The rings between the serving thread and the other threads.
struct Links {
    context: DomainContext,
    domain: DomainLink,
    claims: ClaimLink,
}

fn new_links(settings: &EntrySettings, peers: PeerSender, metrics: Metrics) -> Links {
    let (claim_replies, replies) = ring::bounded("claim-replies", CLAIM_REPLY_CAPACITY);
    let (cache_sender, cache_notices) = ring::bounded("cache-notices", CACHE_NOTICE_CAPACITY);
    let (notices, serve_notices) = ring::bounded("serve-notices", SERVE_NOTICE_CAPACITY);
    let context = DomainContext {
        claim_replies: Some(claim_replies),
        cache_notices: Some(cache_sender),
        serve_notices: Some(serve_notices),
        metrics: Some(metrics),
    };
    let domain = DomainLink {
        cache_notices: Some(cache_notices),
        notices: Some(notices),
    };
    Links {
        context,
        domain,
        claims: claim_link(settings, peers, replies),
    }
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
    )?;
    Ok((peers, inbox))
}

/// Returns the connection by which the serving thread sends claims to the control daemons.
fn claim_link(
    settings: &EntrySettings,
    peers: PeerSender,
    replies: ring::Receiver<ClaimReply>,
) -> ClaimLink {
    let control = settings
        .peers
        .iter()
        .filter(|peer| peer.role == PeerRole::Control);
    ClaimLink {
        send: Box::new(move |to, request| peers.send(to, PeerMessage::Claim(request))),
        replies,
        control_daemons: control.map(|peer| peer.daemon.clone()).collect(),
    }
}

/// Returns a random number that distinguishes this process from earlier ones of the same daemon.
fn random_boot_id() -> BootId {
    // The standard library seeds each `RandomState` from the operating system's random source.
    BootId(RandomState::new().hash_one(std::process::id()))
}

/// Returns a secret that no other process can guess.
fn random_relay_key() -> Result<RelayKey, ProcessError> {
    let mut bytes = [0; 16];
    let drawn = OsRng.try_fill_bytes(&mut bytes);
    drawn.map_err(|error| ProcessError::Random(io::Error::other(error)))?;
    Ok(RelayKey(u128::from_ne_bytes(bytes)))
}

/// Waits for the request to stop, then ends the serving thread, the other threads and, last, the
/// connections to peers.
fn run_until_stopped(
    asked: StopSignal,
    (serving, stop_serving): (JoinHandle<()>, watch::Sender<bool>),
    (mut threads, stop_others): (Vec<JoinHandle<()>>, watch::Sender<bool>),
    peers: Peers,
) -> Result<(), ProcessError> {
    threads.push(serving);
    wait_for_stop(asked, &threads)?;
    let serving = threads.pop();
    // The receivers are dropped only if the thread has already ended.
    let _ = stop_serving.send(true);
    serving.map_or(Ok(()), program::join)?;
    let _ = stop_others.send(true);
    for thread in threads {
        program::join(thread)?;
    }
    drop(peers);
    Ok(())
}

/// Waits until a stop is requested.
///
/// # Errors
///
/// Returns [`ProcessError::ThreadEnded`] if a thread ends unexpectedly. Without one of its threads
/// the daemon would seem live but serve nobody; the end of the process lets the platform restart
/// the daemon.
fn wait_for_stop(mut stop: StopSignal, threads: &[JoinHandle<()>]) -> Result<(), ProcessError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    runtime.block_on(async {
        loop {
            let next_check = sleep(Duration::from_millis(THREAD_CHECK_MS));
            tokio::select! {
                () = stop.requested() => return Ok(()),
                () = next_check => {}
            }
            if let Some(ended) = threads.iter().find(|thread| thread.is_finished()) {
                let thread = ended.thread().name().unwrap_or("unnamed").to_owned();
                return Err(ProcessError::ThreadEnded { thread });
            }
        }
    })
}
