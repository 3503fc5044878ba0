//! Passes each message from another process to the thread that handles its kind.

use cicadabend::peer_api::PeerMessage;
use cicadabend_daemon::{
    metrics::Metrics,
    peers::Incoming,
    ring::{
        Receiver,
        Sender, //
    },
};

use crate::{
    counters::InboxDrop,
    members::MembersEvent, //
};

/// The rings to the threads that handle messages.
pub(crate) struct Destinations {
    /// The ring to the thread `agreement`: messages of the agreement protocol.
    pub(crate) agreement: Sender<Incoming>,
    /// The ring to the thread `spread`: reports, acknowledgements, statistics and requests for the
    /// configuration.
    pub(crate) spread: Sender<Incoming>,
    /// The ring to the thread `members`: hellos, member lists and upstreams' reports. `None`
    /// unless daemons find each other by seeds.
    pub(crate) members: Option<Sender<MembersEvent>>,
    /// The ring to the thread `claims`: claims of requests that must run at most once.
    pub(crate) claims: Sender<Incoming>,
    /// Counts the messages that were dropped.
    pub(crate) metrics: Metrics,
}

/// Passes on every message until the ring of peer messages is closed.
pub(crate) async fn dispatch_messages(mut inbox: Receiver<Incoming>, destinations: Destinations) {
    while let Some(incoming) = inbox.next().await {
        if let Err(reason) = destinations.dispatch(incoming) {
            destinations.metrics.count(reason);
        }
    }
}

impl Destinations {
    /// Passes a message to the thread that handles it.
    ///
    /// If the ring is full, the message is dropped: every sender retransmits.
    fn dispatch(&self, incoming: Incoming) -> Result<(), InboxDrop> {
        match &incoming.message {
            PeerMessage::Agreement(_) => {
                let pushed = self.agreement.push(incoming);
                pushed.map_err(|_| InboxDrop::AgreementRingFull)
            }
            PeerMessage::Claim(_) => {
                let pushed = self.claims.push(incoming);
                pushed.map_err(|_| InboxDrop::ClaimsRingFull)
            }
            PeerMessage::ConfigAck(_)
            | PeerMessage::ConfigRequest { .. }
            | PeerMessage::Report(_)
            | PeerMessage::Figures(_)
            | PeerMessage::ControlHello(_) => {
                let pushed = self.spread.push(incoming);
                pushed.map_err(|_| InboxDrop::SpreadRingFull)
            }
            PeerMessage::Hello(_)
            | PeerMessage::Roster(_)
            | PeerMessage::Upstreams(_)
            | PeerMessage::Crashes(_)
            | PeerMessage::Parts(_)
            | PeerMessage::Rates(_)
            | PeerMessage::PermitAsk(_)
            | PeerMessage::GrantRequest(_)
            | PeerMessage::RelayHello(_) => {
                let Some(members) = &self.members else {
                    return Err(InboxDrop::NotForControl);
                };
                let pushed = members.push(MembersEvent::Peer(incoming));
                pushed.map_err(|_| InboxDrop::MembersRingFull)
            }
            PeerMessage::Lease(_)
            | PeerMessage::Routes(_)
            | PeerMessage::Permits(_)
            | PeerMessage::Grants(_)
            | PeerMessage::Relays(_)
            | PeerMessage::Config(_)
            | PeerMessage::Table(_)
            | PeerMessage::TableAck { .. }
            | PeerMessage::Relay(_)
            | PeerMessage::Heard(_)
            | PeerMessage::RelayOrder(_)
            | PeerMessage::ClaimReply(_)
            | PeerMessage::TeamShares(_)
            | PeerMessage::TeamDemand(_) => Err(InboxDrop::NotForControl),
        }
    }
}
