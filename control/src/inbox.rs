//! Sorts messages from other processes by the thread that handles them.

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

/// The rings towards the threads that handle messages.
pub(crate) struct Destinations {
    /// Messages of the agreement.
    pub(crate) agreement: Sender<Incoming>,
    /// Reports, acknowledgements, figures and requests for the configuration.
    pub(crate) spread: Sender<Incoming>,
    /// Hellos, rosters and upstreams' reports, where daemons find each other by seeds.
    pub(crate) members: Option<Sender<MembersEvent>>,
    /// Questions about requests that must run at most once.
    pub(crate) claims: Sender<Incoming>,
    /// Counters.
    pub(crate) metrics: Metrics,
}

/// Hands on every message until the peers' ring is closed.
pub(crate) async fn sort(mut inbox: Receiver<Incoming>, destinations: Destinations) {
    while let Some(incoming) = inbox.next().await {
        if let Err(reason) = destinations.hand_on(incoming) {
            destinations.metrics.count(reason);
        }
    }
}

impl Destinations {
    /// A full ring drops the message, because every sender repeats.
    fn hand_on(&self, incoming: Incoming) -> Result<(), InboxDrop> {
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
            | PeerMessage::Rates(_)
            | PeerMessage::PermitAsk(_) => {
                let Some(members) = &self.members else {
                    return Err(InboxDrop::NotForControl);
                };
                let pushed = members.push(MembersEvent::Peer(incoming));
                pushed.map_err(|_| InboxDrop::MembersRingFull)
            }
            PeerMessage::Lease(_)
            | PeerMessage::Routes(_)
            | PeerMessage::Permits(_)
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
