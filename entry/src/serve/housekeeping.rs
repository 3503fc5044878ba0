//! Periodic tasks of the serving thread, and its exchange with the domain thread.

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

/// Interval at which the deadlines of waiting requests and the snapshot are checked.
const TICK_MS: u64 = 10;
/// Interval at which responses that their caller does not read are cancelled.
const SWEEP_MS: u64 = 250;
/// Interval at which demand and statistics are sent to the domain thread.
const NOTICE_MS: u64 = 500;

/// The rings between the serving thread and the domain thread; each of them is optional.
#[derive(Default)]
pub struct DomainLink {
    /// Events of the engines' prompt caches, from the domain thread.
    pub cache_notices: Option<ring::Receiver<CacheNotice>>,
    /// Statistics and demand, to the domain thread; a full ring drops them, and the next ones
    /// follow soon.
    pub notices: Option<ring::Sender<ServeNotice>>,
}

/// Starts the tasks; those of missing rings are left out.
pub(super) fn start(server: &Rc<Server>, link: DomainLink) {
    tokio::task::spawn_local(tick_forever(Rc::clone(server)));
    tokio::task::spawn_local(sweep_forever(Rc::clone(server)));
    if let Some(notices) = link.cache_notices {
        tokio::task::spawn_local(apply_cache_notices(Rc::clone(server), notices));
    }
    if let Some(notices) = link.notices {
        tokio::task::spawn_local(send_notices_forever(Rc::clone(server), notices));
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
        server.held_bodies.report();
    }
}

async fn apply_cache_notices(server: Rc<Server>, mut notices: ring::Receiver<CacheNotice>) {
    while let Some(notice) = notices.next().await {
        let now = server.clock.now();
        server.router.borrow_mut().apply_cache_notice(&notice, now);
    }
}

async fn send_notices_forever(server: Rc<Server>, notices: ring::Sender<ServeNotice>) {
    let mut ticks = interval(Duration::from_millis(NOTICE_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let demand = server.admission.take_demand(server.clock.now());
        // The ring counts the notices that it drops when full.
        let _ = notices.push(ServeNotice::Demand(demand));
        let statistics = server.policy_statistics.borrow_mut().take();
        if !statistics.is_empty() {
            let _ = notices.push(ServeNotice::Figures(statistics));
        }
    }
}
