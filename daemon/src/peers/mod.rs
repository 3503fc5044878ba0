//! Messages between the cluster's own processes, over TCP connections.
//!
//! Each process listens on one address and dials each of its peers; a connection carries
//! messages in one direction only. A message is one-way; if a peer's ring is full, the oldest
//! message in it is dropped and counted, because every protocol above repeats itself.
//!
//! The thread `peers` holds all connections. `docs/design/peers.md` tells why this is not nng.

mod counters;
mod dialler;
mod envelope;
mod link;
mod listener;

use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread::JoinHandle,
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
use thiserror::Error;
use tokio::{
    runtime::{
        Handle,
        Runtime, //
    },
    sync::watch,
};

pub use self::counters::PeerCounters;
use self::{
    counters::add,
    dialler::hold,
    envelope::encode,
    link::Link,
    listener::{
        Hearing,
        accept_all, //
    },
};
use crate::{
    ring::Sender,
    settings::PeerAddress, //
};

type Links = BTreeMap<DaemonId, Link>;
type SharedLinks = Arc<Mutex<Links>>;

/// Why peers cannot be heard.
#[derive(Debug, Display, Error)]
pub enum PeerError {
    /// cannot listen for peers on {address}: {source}
    Listen {
        /// Where.
        address: Address,
        /// What the system says.
        source: io::Error,
    },
    /// cannot start the thread that holds the connections to peers: {0}
    Thread(io::Error),
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

/// Sends to all peers; clones share the connections.
#[derive(Clone)]
pub struct PeerSender {
    identity: PeerIdentity,
    links: SharedLinks,
    counters: Arc<PeerCounters>,
    runtime: Handle,
}

impl PeerSender {
    /// Puts a message into the peer's ring; never blocks.
    pub fn send(&self, to: &DaemonId, message: PeerMessage) {
        let mut links = lock(&self.links);
        let Some(link) = links.get_mut(to) else {
            add(&self.counters.dropped_unknown_peer, 1);
            return;
        };
        if link.redial_if_mute() {
            add(&self.counters.redialled, 1);
        }
        let (number, heard) = link.next_number();
        let Some(bytes) = encode(&self.envelope(message, number, heard)) else {
            add(&self.counters.refused_malformed, 1);
            return;
        };
        add(&self.counters.sent_messages, 1);
        add(&self.counters.sent_bytes, bytes.len());
        if link.push(bytes) {
            add(&self.counters.dropped_full, 1);
        }
    }

    /// Makes a peer known that membership has found, or its new address.
    ///
    /// Such a peer is expected to answer: if it acknowledges nothing for a while, the
    /// connection to it is made anew.
    pub fn know(&self, peer: &DaemonId, address: Address) {
        let mut links = lock(&self.links);
        if links.get(peer).is_none_or(|link| link.address != address) {
            self.connect(&mut links, peer, address, true);
        }
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

    /// Starts the task that holds the connection to a peer; an older one ends.
    fn connect(&self, links: &mut Links, peer: &DaemonId, address: Address, is_watched: bool) {
        let (link, end) = Link::new(address, is_watched);
        links.insert(peer.clone(), link);
        self.runtime.spawn(hold(end, Arc::clone(&self.counters)));
    }

    fn envelope(&self, message: PeerMessage, number: u64, heard: u64) -> Envelope {
        Envelope {
            protocol_version: PROTOCOL_VERSION,
            cluster: self.identity.cluster.clone(),
            from: self.identity.daemon.clone(),
            boot: self.identity.boot,
            number,
            heard,
            message,
        }
    }
}

fn lock(links: &Mutex<Links>) -> MutexGuard<'_, Links> {
    // Nothing that holds the lock leaves a link half changed.
    links.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The connections of one process; dropping it closes them and ends their thread.
pub struct Peers {
    sender: PeerSender,
    end: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Peers {
    /// Listens, dials every peer without waiting, and starts the thread that holds the
    /// connections.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the address cannot be listened on; an unreachable peer is
    /// no error.
    pub fn start(
        listen: Address,
        identity: PeerIdentity,
        peers: &[PeerAddress],
        inbox: Sender<Incoming>,
    ) -> Result<Self, PeerError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(PeerError::Thread)?;
        let listener = listen_on(listen, &runtime).map_err(|source| PeerError::Listen {
            address: listen,
            source,
        })?;
        let sender = PeerSender {
            identity: identity.clone(),
            links: SharedLinks::default(),
            counters: Arc::new(PeerCounters::default()),
            runtime: runtime.handle().clone(),
        };
        for peer in peers.iter().filter(|peer| peer.daemon != identity.daemon) {
            let mut links = lock(&sender.links);
            sender.connect(&mut links, &peer.daemon, peer.address, false);
        }
        let hearing = Hearing {
            identity,
            links: Arc::clone(&sender.links),
            counters: Arc::clone(&sender.counters),
            inbox,
        };
        let (end, ended) = watch::channel(false);
        let thread = std::thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || run(&runtime, listener, hearing, ended))
            .map_err(PeerError::Thread)?;
        Ok(Self {
            sender,
            end,
            thread: Some(thread),
        })
    }

    /// Returns a sender to all peers.
    pub fn sender(&self) -> PeerSender {
        self.sender.clone()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.end.send_replace(true);
        if let Some(thread) = self.thread.take() {
            // A panic of that thread was already reported by its own hook.
            let _ = thread.join();
        }
    }
}

fn listen_on(address: Address, runtime: &Runtime) -> io::Result<tokio::net::TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let _guard = runtime.enter();
    tokio::net::TcpListener::from_std(listener)
}

/// Runs until the end is asked for; then the runtime drops all connections with the listener.
fn run(
    runtime: &Runtime,
    listener: tokio::net::TcpListener,
    hearing: Hearing,
    mut ended: watch::Receiver<bool>,
) {
    runtime.block_on(async move {
        tokio::select! {
            () = accept_all(listener, hearing) => {}
            // An error means that the handle was dropped, which also is the end.
            _ = ended.wait_for(|is_over| *is_over) => {}
        }
    });
}
