//! Requests that go by the table of routes.
//!
//! From top to bottom, each file calling only those below it:
//!
//! - `listener`: accepts connections and drains them.
//! - `handler`: from one HTTP request to one answer.
//! - `admission`: whether a request is let in: its body, its route and its team.
//! - `run`: the request's life: choices, attempts, repeats.
//! - `attempt`, `hedge`, `refusal`, `account`: parts of that life: one attempt and how long it is
//!   waited for; a second one beside it; answers of the daemon's own; what is logged and counted.
//! - `stream`: a streamed answer, resumed elsewhere if it breaks off.
//! - `exchange`: one attempt up to the first part of its answer.
//! - `source`: what is still to come of that answer.
//! - `crash_watch`: whether an upstream that broke requests off has ended.
//! - `quarantine`: whether a request may run, by the upstreams that ended with it.
//! - `rates`: the rates of requests that upstreams name.
//! - `availability`: when upstreams may be sent requests, by their own answers.
//! - `plan`: the request in the form in which it can be sent, also twice.
//! - `server`: what all requests share.

mod account;
mod admission;
mod attempt;
mod availability;
mod body;
mod counts;
mod crash_watch;
mod events;
mod exchange;
mod handler;
mod hedge;
mod lines;
mod listener;
mod plan;
mod quarantine;
mod rates;
mod refusal;
mod run;
mod server;
mod source;
mod stream;

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
