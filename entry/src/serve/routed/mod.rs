//! Requests that go by the table of routes.
//!
//! From top to bottom, each file importing only those below it:
//!
//! - `listener`: accepts connections and drains them.
//! - `handler`: from one HTTP request to one answer.
//! - `drive`: the request's way to the head of its answer.
//! - `attempt`, `hedge`: one attempt and how long it is waited for; a second one beside it.
//! - `refusal`, `quarantine`: answers of the daemon's own; whether a request may run, by the
//!   upstreams that ended with it.
//! - `body`, `stream`: what is passed on; a streamed answer is resumed elsewhere if it breaks off.
//! - `availability`, `rates`, `account`: when upstreams may be sent requests, by their own answers;
//!   permits for those that name a rate; what is logged and counted.
//! - `run`: the request and the choice of its upstream.
//! - `admission`: whether a request is let in: its body, its route and its team.
//! - `exchange`: one attempt up to the first part of its answer.
//! - `upstream_words`: what an answer says besides its status and body.
//! - `crash_look`: whether an upstream that broke requests off has ended.
//! - `reservation`, `trials`: a request's place at a replica; its trial after a quarantine.
//! - `server`: what all requests share.
//! - `failure`, `source`, `plan`, `crash_watch`, `counts`, `events`, `lines`: why an attempt gave no
//!   answer; what is still to come of one; the request in the form in which it can be sent, also
//!   twice; requests that were broken off; counters; lines.

mod account;
mod admission;
mod attempt;
mod availability;
mod body;
mod counts;
mod crash_look;
mod crash_watch;
mod drive;
mod events;
mod exchange;
mod failure;
mod handler;
mod hedge;
mod lines;
mod listener;
mod plan;
mod quarantine;
mod rates;
mod refusal;
mod reservation;
mod run;
mod server;
mod source;
mod stream;
mod trials;
mod upstream_words;

use std::{
    io,
    net::TcpListener,
    sync::{
        Arc,
        atomic::AtomicBool, //
    },
    thread::JoinHandle, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    breaker::Breakers,
    prelude::*,
    registry::InstanceId, //
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    metrics::Metrics,
    ring,
    settings::EntrySettings, //
};
use tokio::sync::watch;

use crate::{
    edge::CallerEdge,
    members::{
        CrashNotice,
        Demand,
        Permits,
        RateNotice,
        RoutedView, //
    },
};

/// What the serving thread is given.
pub(crate) struct RoutedSetup {
    pub(crate) settings: EntrySettings,
    pub(crate) listener: TcpListener,
    /// Where the balancer asks, if not on the callers' listener.
    pub(crate) ready_listener: Option<TcpListener>,
    pub(crate) view: Arc<ArcSwap<RoutedView>>,
    pub(crate) edge: Arc<dyn CallerEdge>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) boot: BootId,
    /// How many requests each model has here.
    pub(crate) demand: Demand,
    /// Set once a caller's request is taken in.
    pub(crate) has_served: Arc<AtomicBool>,
    /// Replicas whose streams stand still, for the thread `members`.
    pub(crate) stalls: ring::Sender<InstanceId>,
    /// Upstreams that ended, for the thread `members`.
    pub(crate) crashes: ring::Sender<CrashNotice>,
    /// Permits to send to upstreams that name a rate.
    pub(crate) permits: Permits,
    /// What upstreams name, for the thread `members`.
    pub(crate) rate_notices: ring::Sender<RateNotice>,
    /// Tells the thread `members` that a request waits for a permit.
    pub(crate) permit_waits: ring::Sender<()>,
}

/// Starts the serving thread; it drains and ends once `stopped` turns true.
pub(crate) fn start(
    setup: RoutedSetup,
    stopped: watch::Receiver<bool>,
) -> io::Result<JoinHandle<()>> {
    let breakers = Breakers::new().map_err(io::Error::other)?;
    setup.listener.set_nonblocking(true)?;
    if let Some(listener) = &setup.ready_listener {
        listener.set_nonblocking(true)?;
    }
    duty::spawn("serve", move || listener::run(setup, breakers, stopped))
}
