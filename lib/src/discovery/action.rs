//! The actions that discovery returns to the daemon's thread.

use std::time::Duration;

use crate::{
    ids::Address,
    peer_api::{
        DaemonRole,
        PeerMessage, //
    },
    prelude::*,
    quarantine::{
        Change,
        PartChange, //
    },
    rates::RateChange,
    registry::{
        Ended,
        InstanceId,
        Registration, //
    },
};

/// An action that the caller of a discovery type must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Add a peer, or update its address.
    AddPeer(DaemonId, Address),
    /// Remove a peer and close the connection to it.
    RemovePeer(DaemonId),
    /// Send a message to a peer.
    Send(DaemonId, PeerMessage),
    /// Send the newest route table to an entry daemon whose table is older.
    SendRoutes(DaemonId),
    /// Log an event.
    Log(DiscoveryEvent),
}

/// A change in what a daemon knows about other daemons and upstreams, for its log.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// The first message from a daemon has arrived, or the first one after a silence.
    DaemonFound(DaemonId, DaemonRole),
    /// No message from a daemon has arrived for longer than the silence limit; the duration is the
    /// time since the last one.
    DaemonSilent(DaemonId, Duration),
    /// The first report of an upstream instance has arrived.
    UpstreamFound(Registration),
    /// An upstream instance has reported a change.
    UpstreamChanged(Registration),
    /// An upstream instance has ended.
    UpstreamEnded(InstanceId, Ended),
    /// An upstream instance was removed from the registry because of its silence.
    UpstreamForgotten(InstanceId),
    /// This entry daemon now subscribes to the reports of these control daemons; the first one
    /// covers the most.
    SourcesChanged(Vec<DaemonId>),
    /// A request is now quarantined, or no longer is.
    Quarantine(Change),
    /// Requests with a prompt part are now refused, or no longer are.
    PartQuarantine(PartChange),
    /// The request rate that an upstream names has changed.
    Rate(RateChange),
}
