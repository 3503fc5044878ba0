//! The thread `members`: tracks the live daemons, the upstreams' reports and the groups.
//!
//! The thread handles hellos, member lists and upstreams' reports from other daemons, reports
//! that upstreams sent to this daemon's own listener, and the outcomes of engine commands. All
//! of this state is in memory only: after a restart the daemon learns it again within a second
//! or two. State that must survive a restart is in the replicated log, and the commands of a
//! new leader carry its term.

mod demand;
mod events;
mod grants;
mod leading;
mod permits;
mod thread;

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    grouping::{
        EngineCommand,
        EngineCommandOutcome, //
    },
    ids::Address,
    prelude::*,
    registry::{
        InstanceId,
        Registration, //
    },
};
use cicadabend_daemon::peers::Incoming;

pub(crate) use thread::{
    MembersSetup,
    MembersThread, //
};

/// The address at which each control daemon accepts operators' calls.
pub(crate) type ControlAddresses = BTreeMap<DaemonId, Address>;

/// An input of the thread `members`.
#[derive(Debug)]
pub(crate) enum MembersEvent {
    /// A message from another daemon.
    Peer(Incoming),
    /// An upstream has sent its registration to this daemon's listener.
    Reported(Box<Registration>),
    /// An upstream has announced to this daemon's listener that it is leaving.
    Left(InstanceId),
    /// A command to an engine has ended, with an answer or without one.
    Answered(EngineCommand, EngineCommandOutcome),
}

/// The operators' addresses of the live control daemons, as published to the other threads.
pub(crate) type SharedAddresses = Arc<ArcSwap<ControlAddresses>>;
