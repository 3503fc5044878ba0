//! Sorts messages from other processes by the thread that handles them.

use cicadabend::peer_api::PeerMessage;
use cicadabend_daemon::{
    peers::Incoming,
    ring::{
        Receiver,
        Sender, //
    },
};

/// The rings towards the threads that handle messages.
pub(crate) struct Destinations {
    /// Messages of the agreement.
    pub(crate) agreement: Sender<Incoming>,
    /// Reports, acknowledgements and requests for the configuration.
    pub(crate) spread: Sender<Incoming>,
}

/// Hands on every message until the peers' ring is closed.
pub(crate) async fn sort(mut inbox: Receiver<Incoming>, destinations: Destinations) {
    while let Some(incoming) = inbox.next().await {
        let ring = match &incoming.message {
            PeerMessage::Agreement(_) => &destinations.agreement,
            PeerMessage::ConfigAck(_)
            | PeerMessage::ConfigRequest { .. }
            | PeerMessage::Report(_)
            | PeerMessage::ControlHello(_) => &destinations.spread,
            PeerMessage::Lease(_)
            | PeerMessage::Config(_)
            | PeerMessage::Table(_)
            | PeerMessage::TableAck { .. }
            | PeerMessage::Relay(_)
            | PeerMessage::Claim(_)
            | PeerMessage::ClaimReply(_)
            | PeerMessage::Figures(_)
            | PeerMessage::TeamShares(_)
            | PeerMessage::TeamDemand(_) => continue,
        };
        // A full ring drops the message and counts it; every sender repeats.
        let _ = ring.push(incoming);
    }
}
