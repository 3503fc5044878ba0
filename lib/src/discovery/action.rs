//! What a daemon has to do after an event.

use std::time::Duration;

use crate::{
    ids::Address,
    peer_api::{
        DaemonRole,
        PeerMessage, //
    },
    prelude::*,
    quarantine::Change,
    rates::RateChange,
    registry::{
        Ended,
        InstanceId,
        Registration, //
    },
};

/// What a daemon has to do after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reach a peer at this address from now on.
    AddPeer(DaemonId, Address),
    /// Close the connection to a peer.
    RemovePeer(DaemonId),
    /// Send a message to a peer.
    Send(DaemonId, PeerMessage),
    /// Send the newest table of routes to an entry daemon that lacks it.
    SendRoutes(DaemonId),
    /// Log a change of what this daemon believes.
    Log(DiscoveryEvent),
}

/// A change of what a daemon believes.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// A daemon was heard for the first time, or again after a silence.
    DaemonFound(DaemonId, DaemonRole),
    /// A daemon has not been heard for longer than the limit.
    DaemonSilent(DaemonId, Duration),
    /// An upstream was heard for the first time.
    UpstreamFound(Registration),
    /// What an upstream says of itself has changed.
    UpstreamChanged(Registration),
    /// A run of an upstream has ended.
    UpstreamEnded(InstanceId, Ended),
    /// A run of an upstream was silent for so long that it is no longer known.
    UpstreamForgotten(InstanceId),
    /// Reports come from these control daemons from now on, the most useful first.
    SourcesChanged(Vec<DaemonId>),
    /// A request is quarantined, or no longer.
    Quarantine(Change),
    /// An upstream names another rate of requests.
    Rate(RateChange),
}
