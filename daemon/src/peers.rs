//! Messages between the cluster's own processes, over nng push/pull sockets.
//!
//! Each process listens on one pull socket and dials one push socket to each
//! peer. A message is one-way; one that does not fit into a peer's send buffer
//! is dropped and counted, because every protocol above repeats itself.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use cicadabend::{
    ids::Address,
    peer_api::{
        Envelope,
        PROTOCOL_VERSION,
        PeerMessage, //
    },
    prelude::*,
};
use displaydoc::Display;
use nng::{
    Protocol, Socket,
    options::{
        Options,
        ReconnectMaxTime,
        ReconnectMinTime,
        RecvMaxSize,
        SendBufferSize, //
    },
};
use thiserror::Error;

use crate::{
    metrics::Metrics,
    ring::Sender,
    settings::PeerAddress, //
};

/// How many messages wait for one peer before further ones are dropped.
const SEND_BUFFER_MESSAGES: i32 = 128;
/// The largest message accepted; a whole configuration for 520 daemons stays below it.
const MESSAGE_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// First pause before a lost connection is dialled again.
const RECONNECT_MIN_MS: u64 = 50;
/// Longest pause before a lost connection is dialled again.
///
/// After a start of the whole fleet it is what callers wait for, so it stays well under the
/// time callers give a request.
const RECONNECT_MAX_MS: u64 = 200;
/// A peer that acknowledges nothing for so long is dialled again; hellos come thrice as often.
const MUTE_LIMIT: Duration = Duration::from_millis(1_300);

/// Why peers cannot be reached or heard.
#[derive(Debug, Display, Error)]
pub enum PeerError {
    /// cannot listen for peers on {address}: {source}
    Listen {
        /// Where.
        address: Address,
        /// What nng says.
        source: nng::Error,
    },
    /// cannot dial the peer {peer} at {address}: {source}
    Dial {
        /// Whom.
        peer: DaemonId,
        /// Where.
        address: Address,
        /// What nng says.
        source: nng::Error,
    },
    /// cannot start the thread that hears peers: {0}
    Thread(std::io::Error),
}

/// Who this process is to its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// The deployment.
    pub cluster: ClusterName,
    /// This process.
    pub daemon: DaemonId,
    /// This run.
    pub boot: BootId,
}

/// A message and who sent it.
#[derive(Debug)]
pub struct Incoming {
    /// The sender.
    pub from: DaemonId,
    /// The sender's run.
    pub boot: BootId,
    /// The message.
    pub message: PeerMessage,
}

/// What went through the sockets, for metrics and for the capacity page.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Messages handed to nng.
    pub sent_messages: AtomicU64,
    /// Their bytes.
    pub sent_bytes: AtomicU64,
    /// Messages received and decoded.
    pub received_messages: AtomicU64,
    /// Bytes received, decoded or not.
    pub received_bytes: AtomicU64,
    /// Messages dropped because the peer's buffer was full.
    pub dropped_full: AtomicU64,
    /// Connections that were made anew because the peer acknowledged nothing.
    pub redialled: AtomicU64,
    /// Messages to a peer that the settings do not name.
    pub dropped_unknown_peer: AtomicU64,
    /// Messages that could not be decoded.
    pub refused_malformed: AtomicU64,
    /// Messages of another version of the protocol.
    pub refused_version: AtomicU64,
    /// Messages of another cluster.
    pub refused_cluster: AtomicU64,
    /// Messages dropped because the receiving thread's ring was full.
    pub dropped_ring_full: AtomicU64,
}

impl PeerCounters {
    /// Shows the totals as gauges; the sockets count by themselves.
    pub fn show(&self, metrics: &Metrics) {
        let shown = [
            ("peers_sent_messages", &self.sent_messages),
            ("peers_sent_bytes", &self.sent_bytes),
            ("peers_received_messages", &self.received_messages),
            ("peers_received_bytes", &self.received_bytes),
            ("peers_dropped_full", &self.dropped_full),
            ("peers_redialled", &self.redialled),
            ("peers_dropped_unknown_peer", &self.dropped_unknown_peer),
            ("peers_dropped_ring_full", &self.dropped_ring_full),
            ("peers_refused_malformed", &self.refused_malformed),
            ("peers_refused_version", &self.refused_version),
            ("peers_refused_cluster", &self.refused_cluster),
        ];
        for (name, value) in shown {
            metrics.gauge(name, value.load(Ordering::Relaxed));
        }
    }
}

fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}

/// Sends to all peers; clones share the sockets.
#[derive(Clone)]
pub struct PeerSender {
    identity: PeerIdentity,
    links: Arc<Mutex<BTreeMap<DaemonId, Link>>>,
    counters: Arc<PeerCounters>,
}

impl PeerSender {
    /// Sends a message if the peer's buffer has room; never blocks.
    pub fn send(&self, to: &DaemonId, message: PeerMessage) {
        let mut links = lock(&self.links);
        let Some(link) = links.get_mut(to) else {
            add(&self.counters.dropped_unknown_peer, 1);
            return;
        };
        if link.is_mute() {
            add(&self.counters.redialled, 1);
            link.redial(to);
        }
        let (number, heard) = link.next_number();
        let Some(bytes) = self.encode(message, number, heard) else {
            add(&self.counters.refused_malformed, 1);
            return;
        };
        let length = bytes.len();
        match link.socket.try_send(&bytes[..]) {
            Ok(()) => {
                add(&self.counters.sent_messages, 1);
                add(&self.counters.sent_bytes, length);
            }
            Err(_) => add(&self.counters.dropped_full, 1),
        }
    }

    /// Makes a peer known that membership has found, or its new address.
    ///
    /// Such a peer is expected to answer: if it acknowledges nothing for a while, the
    /// connection to it is made anew.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the address cannot be dialled at all.
    pub fn know(&self, peer: &DaemonId, address: Address) -> Result<(), PeerError> {
        let mut links = lock(&self.links);
        if links.get(peer).is_some_and(|link| link.address == address) {
            return Ok(());
        }
        let link = Link::new(peer, address, true)?;
        links.insert(peer.clone(), link);
        Ok(())
    }

    /// Closes the connection to a peer that membership has forgotten.
    pub fn forget(&self, peer: &DaemonId) {
        lock(&self.links).remove(peer);
    }

    /// Returns the counters of both directions.
    pub fn counters(&self) -> &Arc<PeerCounters> {
        &self.counters
    }

    /// Returns who this process is.
    pub fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    fn encode(&self, message: PeerMessage, number: u64, heard: u64) -> Option<Vec<u8>> {
        let envelope = Envelope {
            protocol_version: PROTOCOL_VERSION,
            cluster: self.identity.cluster.clone(),
            from: self.identity.daemon.clone(),
            boot: self.identity.boot,
            number,
            heard,
            message,
        };
        postcard::to_stdvec(&envelope).ok()
    }
}

/// The way to one peer.
struct Link {
    address: Address,
    socket: Socket,
    /// Whether the peer is expected to acknowledge what it hears.
    is_watched: bool,
    sent: u64,
    acknowledged: u64,
    /// Since when something sent has not been acknowledged.
    waiting_since: Option<Instant>,
    heard_boot: BootId,
    heard: u64,
}

impl Link {
    fn new(peer: &DaemonId, address: Address, is_watched: bool) -> Result<Self, PeerError> {
        Ok(Self {
            address,
            socket: dial(peer, address)?,
            is_watched,
            sent: 0,
            acknowledged: 0,
            waiting_since: None,
            heard_boot: BootId::default(),
            heard: 0,
        })
    }

    fn next_number(&mut self) -> (u64, u64) {
        self.sent += 1;
        self.waiting_since.get_or_insert_with(Instant::now);
        (self.sent, self.heard)
    }

    /// A connection can go silent without being closed: what is written to it is taken
    /// by the system and never arrives. nng keeps it for ever. What shows it is that the
    /// peer acknowledges nothing any more, whether or not it is heard.
    fn is_mute(&self) -> bool {
        let waited = self.waiting_since.map(|since| since.elapsed());
        self.is_watched && waited.is_some_and(|waited| waited >= MUTE_LIMIT)
    }

    fn redial(&mut self, peer: &DaemonId) {
        self.waiting_since = None;
        // The old socket stays if no new one can be made; the next message tries again.
        if let Ok(socket) = dial(peer, self.address) {
            self.socket = socket;
        }
    }

    fn hear(&mut self, boot: BootId, number: u64, acknowledged: u64) {
        if boot != self.heard_boot {
            self.heard_boot = boot;
            self.heard = 0;
        }
        self.heard = self.heard.max(number);
        // A peer that has not heard of this run yet acknowledges numbers of an earlier one.
        if acknowledged > self.sent || acknowledged <= self.acknowledged {
            return;
        }
        self.acknowledged = acknowledged;
        self.waiting_since = (acknowledged < self.sent).then(Instant::now);
    }
}

fn lock(links: &Mutex<BTreeMap<DaemonId, Link>>) -> MutexGuard<'_, BTreeMap<DaemonId, Link>> {
    // Nothing that holds the lock leaves a link half changed.
    links.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The sockets of one process; dropping it closes them and ends the thread.
pub struct Peers {
    sender: PeerSender,
    listener: Socket,
    receiving: Option<JoinHandle<()>>,
}

impl Peers {
    /// Listens, dials every peer without waiting, and starts the receiving thread.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the address cannot be listened on or a peer's
    /// address is invalid; an unreachable peer is no error.
    pub fn start(
        listen: Address,
        identity: PeerIdentity,
        peers: &[PeerAddress],
        inbox: Sender<Incoming>,
    ) -> Result<Self, PeerError> {
        let counters = Arc::new(PeerCounters::default());
        let listener = listen_on(listen)?;
        let mut links = BTreeMap::new();
        for peer in peers.iter().filter(|peer| peer.daemon != identity.daemon) {
            let link = Link::new(&peer.daemon, peer.address, false)?;
            links.insert(peer.daemon.clone(), link);
        }
        let links = Arc::new(Mutex::new(links));
        let sender = PeerSender {
            identity: identity.clone(),
            links: Arc::clone(&links),
            counters: Arc::clone(&counters),
        };
        let socket = listener.clone();
        let receiving = thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || receive_all(&socket, &identity, &links, &counters, &inbox))
            .map_err(PeerError::Thread)?;
        Ok(Self {
            sender,
            listener,
            receiving: Some(receiving),
        })
    }

    /// Returns a sender to all peers.
    pub fn sender(&self) -> PeerSender {
        self.sender.clone()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.listener.close();
        if let Some(receiving) = self.receiving.take() {
            // A panic of that thread was already reported by its own hook.
            let _ = receiving.join();
        }
    }
}

fn listen_on(address: Address) -> Result<Socket, PeerError> {
    let error = |source| PeerError::Listen { address, source };
    let socket = Socket::new(Protocol::Pull0).map_err(error)?;
    socket
        .set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)
        .map_err(error)?;
    socket.listen(&format!("tcp://{address}")).map_err(error)?;
    Ok(socket)
}

fn dial(peer: &DaemonId, address: Address) -> Result<Socket, PeerError> {
    let error = |source| PeerError::Dial {
        peer: peer.clone(),
        address,
        source,
    };
    let socket = Socket::new(Protocol::Push0).map_err(error)?;
    let pause = |ms| Some(Duration::from_millis(ms));
    socket
        .set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)
        .map_err(error)?;
    socket
        .set_opt::<ReconnectMinTime>(pause(RECONNECT_MIN_MS))
        .map_err(error)?;
    socket
        .set_opt::<ReconnectMaxTime>(pause(RECONNECT_MAX_MS))
        .map_err(error)?;
    socket
        .dial_async(&format!("tcp://{address}"))
        .map_err(error)?;
    Ok(socket)
}

fn receive_all(
    socket: &Socket,
    identity: &PeerIdentity,
    links: &Mutex<BTreeMap<DaemonId, Link>>,
    counters: &PeerCounters,
    inbox: &Sender<Incoming>,
) {
    while let Ok(bytes) = socket.recv() {
        add(&counters.received_bytes, bytes.len());
        let Some(envelope) = decode(&bytes, identity, counters) else {
            continue;
        };
        add(&counters.received_messages, 1);
        if let Some(link) = lock(links).get_mut(&envelope.from) {
            link.hear(envelope.boot, envelope.number, envelope.heard);
        }
        let incoming = Incoming {
            from: envelope.from,
            boot: envelope.boot,
            message: envelope.message,
        };
        if inbox.push(incoming).is_err() {
            add(&counters.dropped_ring_full, 1);
        }
    }
}

fn decode(bytes: &[u8], identity: &PeerIdentity, counters: &PeerCounters) -> Option<Envelope> {
    // The version stands first, so it can be read even where the rest has changed.
    match postcard::take_from_bytes::<u16>(bytes) {
        Ok((PROTOCOL_VERSION, _)) => {}
        Ok(_) => {
            add(&counters.refused_version, 1);
            return None;
        }
        Err(_) => {
            add(&counters.refused_malformed, 1);
            return None;
        }
    }
    let Ok(envelope) = postcard::from_bytes::<Envelope>(bytes) else {
        add(&counters.refused_malformed, 1);
        return None;
    };
    if envelope.cluster != identity.cluster {
        add(&counters.refused_cluster, 1);
        return None;
    }
    Some(envelope)
}
