//! What goes through the connections between processes.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use crate::metrics::Metrics;

/// What went through the sockets, for metrics and for the capacity page.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Messages put into a peer's ring.
    pub sent_messages: AtomicU64,
    /// Their bytes.
    pub sent_bytes: AtomicU64,
    /// Messages received and decoded.
    pub received_messages: AtomicU64,
    /// Bytes received, decoded or not.
    pub received_bytes: AtomicU64,
    /// Messages that a full ring of their peer dropped, the oldest first.
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
    /// Connections to peers that were made.
    pub connected: AtomicU64,
    /// Connections to peers that ended or were given up.
    pub disconnected: AtomicU64,
    /// Connections from peers that were closed because too many were open.
    pub refused_connections: AtomicU64,
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
            ("peers_connected", &self.connected),
            ("peers_disconnected", &self.disconnected),
            ("peers_refused_connections", &self.refused_connections),
        ];
        for (name, value) in shown {
            metrics.gauge(name, value.load(Ordering::Relaxed));
        }
    }
}

pub(super) fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
