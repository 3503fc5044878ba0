//! What the serving thread does besides answering: ticks, cache events, notices.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::routing::CacheNotice;
use cicadabend_daemon::ring;
use tokio::time::{
    MissedTickBehavior,
    interval, //
};

use super::{
    admission_control,
    server::Server, //
};
use crate::domain::ServeNotice;

/// How often deadlines of waiting requests and the snapshot are looked at.
const TICK_MS: u64 = 10;
/// How often answers that nobody reads are looked for.
const SWEEP_MS: u64 = 250;
/// How often the domain thread is told of demand and figures.
const NOTICE_MS: u64 = 500;

/// The rings between the serving thread and the domain thread; each may be left out.
#[derive(Default)]
pub struct DomainLink {
    /// Cache events of engines.
    pub cache_notices: Option<ring::Receiver<CacheNotice>>,
    /// Figures and demand; a full ring drops them, and the next ones follow soon.
    pub notices: Option<ring::Sender<ServeNotice>>,
}

/// Starts the tasks.
pub(super) fn start(server: &Rc<Server>, link: DomainLink) {
    tokio::task::spawn_local(tick_forever(Rc::clone(server)));
    tokio::task::spawn_local(sweep_forever(Rc::clone(server)));
    if let Some(notices) = link.cache_notices {
        tokio::task::spawn_local(take_cache_notices(Rc::clone(server), notices));
    }
    if let Some(notices) = link.notices {
        tokio::task::spawn_local(give_notices(Rc::clone(server), notices));
    }
}

async fn tick_forever(server: Rc<Server>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut waiting = 0;
    loop {
        ticks.tick().await;
        admission_control::tick(&server);
        let now_waiting = server.admission.waiting() as u64;
        if now_waiting != waiting {
            waiting = now_waiting;
            server.counts.set_requests_waiting(waiting);
        }
    }
}

async fn sweep_forever(server: Rc<Server>) {
    let limit = Duration::from_millis(server.settings.callers.read_timeout_ms);
    let mut ticks = interval(Duration::from_millis(SWEEP_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        server.bodies.cancel_stalled(limit);
    }
}

async fn take_cache_notices(server: Rc<Server>, mut notices: ring::Receiver<CacheNotice>) {
    while let Some(notice) = notices.next().await {
        let now = server.clock.now();
        server.router.borrow_mut().apply_cache_notice(&notice, now);
    }
}

async fn give_notices(server: Rc<Server>, notices: ring::Sender<ServeNotice>) {
    let mut ticks = interval(Duration::from_millis(NOTICE_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let demand = server.admission.take_demand(server.clock.now());
        // The ring counts what does not fit.
        let _ = notices.push(ServeNotice::Demand(demand));
        let figures = server.policy_statistics.borrow_mut().take();
        if !figures.is_empty() {
            let _ = notices.push(ServeNotice::Figures(figures));
        }
    }
}
