//! The thread `members`: who is there, what upstreams report, which groups there are.
//!
//! It takes hellos, rosters and upstreams' reports from other daemons, reports that came
//! to this daemon's own listener, and answers to orders. Everything is kept in memory:
//! after a restart it is learned anew within a second or two. What must not be forgotten
//! stands in the replicated log, and a new leader's orders carry its term.

mod demand;
mod events;
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

/// Where the control daemons take operators' calls.
pub(crate) type ControlAddresses = BTreeMap<DaemonId, Address>;

/// What the thread is told.
#[derive(Debug)]
pub(crate) enum MembersEvent {
    /// A message from another daemon.
    Peer(Incoming),
    /// An upstream has reported to this daemon.
    Reported(Box<Registration>),
    /// An upstream has told this daemon that it leaves.
    Left(InstanceId),
    /// An engine has answered an order, or not.
    Answered(EngineCommand, EngineCommandOutcome),
}

/// What the other threads see of the membership.
pub(crate) type SharedAddresses = Arc<ArcSwap<ControlAddresses>>;
