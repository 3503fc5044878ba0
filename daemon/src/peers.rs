//! Messages between the cluster's own processes, over nng push/pull sockets.
//!
//! Each process listens on one pull socket and dials one push socket to each
//! peer. A message is one-way; one that does not fit into a peer's send buffer
//! is dropped and counted, because every protocol above repeats itself.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle, //
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
const RECONNECT_MAX_MS: u64 = 1_000;

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
    sockets: Arc<BTreeMap<DaemonId, Socket>>,
    counters: Arc<PeerCounters>,
}

impl PeerSender {
    /// Sends a message if the peer's buffer has room; never blocks.
    pub fn send(&self, to: &DaemonId, message: PeerMessage) {
        let Some(socket) = self.sockets.get(to) else {
            add(&self.counters.dropped_unknown_peer, 1);
            return;
        };
        let Some(bytes) = self.encode(message) else {
            add(&self.counters.refused_malformed, 1);
            return;
        };
        let length = bytes.len();
        match socket.try_send(&bytes[..]) {
            Ok(()) => {
                add(&self.counters.sent_messages, 1);
                add(&self.counters.sent_bytes, length);
            }
            Err(_) => add(&self.counters.dropped_full, 1),
        }
    }

    /// Returns the counters of both directions.
    pub fn counters(&self) -> &Arc<PeerCounters> {
        &self.counters
    }

    /// Returns who this process is.
    pub fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    fn encode(&self, message: PeerMessage) -> Option<Vec<u8>> {
        let envelope = Envelope {
            protocol_version: PROTOCOL_VERSION,
            cluster: self.identity.cluster.clone(),
            from: self.identity.daemon.clone(),
            boot: self.identity.boot,
            message,
        };
        postcard::to_stdvec(&envelope).ok()
    }
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
        let mut sockets = BTreeMap::new();
        for peer in peers.iter().filter(|peer| peer.daemon != identity.daemon) {
            sockets.insert(peer.daemon.clone(), dial(peer)?);
        }
        let sender = PeerSender {
            identity: identity.clone(),
            sockets: Arc::new(sockets),
            counters: Arc::clone(&counters),
        };
        let socket = listener.clone();
        let receiving = thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || receive_all(&socket, &identity, &counters, &inbox))
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

fn dial(peer: &PeerAddress) -> Result<Socket, PeerError> {
    let error = |source| PeerError::Dial {
        peer: peer.daemon.clone(),
        address: peer.address,
        source,
    };
    let socket = Socket::new(Protocol::Push0).map_err(error)?;
    let pause = |ms| Some(std::time::Duration::from_millis(ms));
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
        .dial_async(&format!("tcp://{}", peer.address))
        .map_err(error)?;
    Ok(socket)
}

fn receive_all(
    socket: &Socket,
    identity: &PeerIdentity,
    counters: &PeerCounters,
    inbox: &Sender<Incoming>,
) {
    while let Ok(bytes) = socket.recv() {
        add(&counters.received_bytes, bytes.len());
        let Some(incoming) = decode(&bytes, identity, counters) else {
            continue;
        };
        add(&counters.received_messages, 1);
        if inbox.push(incoming).is_err() {
            add(&counters.dropped_ring_full, 1);
        }
    }
}

fn decode(bytes: &[u8], identity: &PeerIdentity, counters: &PeerCounters) -> Option<Incoming> {
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
    Some(Incoming {
        from: envelope.from,
        boot: envelope.boot,
        message: envelope.message,
    })
}
