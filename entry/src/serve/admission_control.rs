//! Holds requests back until a replica has a free slot for them.
//!
//! The library's `AdmissionQueue` decides on the order. This module holds the tasks of the waiting
//! requests, and wakes them when another request ends, a new snapshot arrives or a deadline passes.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use cicadabend::{
    admission::{
        AdmissionQueue,
        AdmissionSettings,
        Offer,
        Refusal as QueueRefusal,
        Ticket,
        domain_limit, //
    },
    fleet::Team,
    peer_api::TeamShare,
    prelude::*,
    routing::RoutingSnapshot,
};
use cicadabend_daemon::settings::{
    EntrySettings,
    PeerRole, //
};
use tokio::sync::oneshot;

use super::{
    response::Refusal,
    server::Server,
    spec::Spec, //
};

/// Converts requests per second into requests per 1,000 s.
const PER_1000: u64 = 1_000;

/// A request's progress from the queue to its replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The request waits in the queue.
    Waiting,
    /// The queue has admitted the request, but no replica's load counts it yet.
    Pending,
    /// The request is counted in the load of its replica.
    Counted,
    /// The queue has refused the request, or shed it.
    Refused,
}

/// The time that an admitted request has waited, or the reason for its refusal.
type Verdict = Result<Duration, QueueRefusal>;

/// The queue's side of a request that waits for its verdict.
struct Waiter {
    stage: Rc<Cell<Stage>>,
    verdict: oneshot::Sender<Verdict>,
}

/// The admission queue, and the requests that wait in it.
pub(super) struct AdmissionControl {
    queue: RefCell<AdmissionQueue>,
    waiters: RefCell<HashMap<Ticket, Waiter>>,
    /// Number of requests in [`Stage::Pending`], by service.
    pending: RefCell<HashMap<ServiceName, u32>>,
    last_ticket: Cell<u64>,
    last_snapshot: RefCell<Option<Arc<RoutingSnapshot>>>,
    /// Number of entry daemons in this daemon's failure domain, itself included.
    daemons_in_domain: u32,
    /// Number of entry daemons in the whole fleet, this one included.
    daemons_in_fleet: u32,
}

impl AdmissionControl {
    pub(super) fn new(settings: &EntrySettings) -> Self {
        let entries = || {
            let peers = settings.peers.iter();
            peers.filter(|peer| peer.role == PeerRole::Entry && peer.daemon != settings.daemon)
        };
        let in_domain = entries().filter(|peer| peer.failure_domain == settings.failure_domain);
        let count = |others: usize| u32::try_from(others + 1).unwrap_or(u32::MAX);
        let queue = AdmissionQueue::new(AdmissionSettings {
            queue_capacity: settings.callers.queue_capacity as usize,
            ..AdmissionSettings::default()
        });
        Self {
            queue: RefCell::new(queue),
            waiters: RefCell::default(),
            pending: RefCell::default(),
            last_ticket: Cell::new(0),
            last_snapshot: RefCell::default(),
            daemons_in_domain: count(in_domain.count()),
            daemons_in_fleet: count(entries().count()),
        }
    }

    /// Returns the rate and concurrency that each team has requested since the last call.
    pub(super) fn take_demand(
        &self,
        now: Timestamp,
    ) -> std::collections::BTreeMap<TeamName, TeamShare> {
        self.queue.borrow_mut().take_demand(now)
    }

    /// Returns the number of requests that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Returns this daemon's equal share of a team's limits.
    ///
    /// Each failure domain has a fixed share of a limit, so that the total does not double when the
    /// domains are partitioned from each other. Within a domain, every entry daemon has an equal
    /// share until the domain leader assigns other ones.
    fn equal_share(&self, team: &Team) -> TeamShare {
        let daemon_share = |limit: u64| {
            let in_domain = domain_limit(limit, self.daemons_in_domain, self.daemons_in_fleet);
            in_domain / u64::from(self.daemons_in_domain.max(1))
        };
        let concurrent = daemon_share(u64::from(team.max_concurrent_requests));
        TeamShare {
            requests_per_1000_s: daemon_share(u64::from(team.requests_per_second.0) * PER_1000),
            // At least one: otherwise a team whose limit is below the number of daemons could run
            // nothing on any of them.
            concurrent_requests: u32::try_from(concurrent.max(1)).unwrap_or(u32::MAX),
        }
    }

    /// Updates the teams and their shares if the snapshot is a new one; returns whether it is.
    fn apply_snapshot(&self, snapshot: &Arc<RoutingSnapshot>, now: Timestamp) -> bool {
        let mut last_snapshot = self.last_snapshot.borrow_mut();
        if last_snapshot
            .as_ref()
            .is_some_and(|last_snapshot| Arc::ptr_eq(last_snapshot, snapshot))
        {
            return false;
        }
        let same_teams = last_snapshot.as_ref().is_some_and(|last_snapshot| {
            Arc::ptr_eq(&last_snapshot.config, &snapshot.config)
                && last_snapshot.team_shares == snapshot.team_shares
        });
        if !same_teams {
            let teams = &snapshot.config.teams;
            let share = |team: &Team| self.equal_share(team);
            let mut queue = self.queue.borrow_mut();
            queue.set_teams(teams, &snapshot.team_shares, share, now);
        }
        *last_snapshot = Some(Arc::clone(snapshot));
        true
    }

    fn new_ticket(&self) -> Ticket {
        let number = self.last_ticket.get() + 1;
        self.last_ticket.set(number);
        Ticket(number)
    }

    /// Removes a request from the waiting ones and sends it its verdict.
    fn notify_waiter(&self, ticket: Ticket, stage: Stage, verdict: Verdict) {
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        if let Some(waiter) = waiter {
            waiter.stage.set(stage);
            // A failed send means that the request has ended; its `Admission` then releases the
            // slot.
            let _ = waiter.verdict.send(verdict);
        }
    }

    fn change_pending(&self, service: &ServiceName, change: impl Fn(u32) -> u32) {
        let mut pending = self.pending.borrow_mut();
        match pending.get_mut(service) {
            Some(count) => *count = change(*count),
            None => {
                pending.insert(service.clone(), change(0));
            }
        }
    }
}

/// One request's entry in the queue, and later its slot among the running requests.
///
/// Dropping this removes the request from the queue, or releases its slot, by its stage.
pub(super) struct Admission {
    server: Rc<Server>,
    ticket: Ticket,
    service: ServiceName,
    stage: Rc<Cell<Stage>>,
}

impl Admission {
    /// Marks the request as counted in its replica's load, so that it no longer counts as pending.
    pub(super) fn mark_counted(&self) {
        if self.stage.get() == Stage::Pending {
            self.stage.set(Stage::Counted);
            let control = &self.server.admission;
            control.change_pending(&self.service, |count| count.saturating_sub(1));
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.mark_counted();
        let now = self.server.clock.now();
        let control = &self.server.admission;
        match self.stage.get() {
            Stage::Waiting => {
                control.waiters.borrow_mut().remove(&self.ticket);
                control.queue.borrow_mut().withdraw(self.ticket);
            }
            Stage::Pending | Stage::Counted => {
                control.queue.borrow_mut().ended(self.ticket, now);
                fill_free_slots(&self.server, &self.service);
            }
            Stage::Refused => {}
        }
    }
}

/// A request that the queue has accepted, and that waits for its admission.
pub(super) struct QueuedRequest {
    admission: Admission,
    verdict: oneshot::Receiver<Verdict>,
}

impl QueuedRequest {
    /// Waits until the request is admitted or refused.
    pub(super) async fn wait(self) -> Result<Admission, Refusal> {
        match self.verdict.await {
            Ok(Ok(waited)) => {
                self.admission.server.counts.record_queueing_time(waited);
                Ok(self.admission)
            }
            Ok(Err(refusal)) => Err(caller_refusal(&refusal)),
            Err(_) => Err(Refusal::new(
                cicadabend::caller_api::ErrorCode::Overloaded,
                "The queue has closed.",
            )),
        }
    }
}

/// Puts a request into the queue, or refuses it at once if the queue does not accept it.
///
/// If the queue is full, it may shed a request that waits in favour of this one.
pub(super) fn offer(server: &Rc<Server>, spec: &Spec) -> Result<QueuedRequest, Refusal> {
    let control = &server.admission;
    let now = server.clock.now();
    control.apply_snapshot(&server.snapshot.load_full(), now);
    let ticket = control.new_ticket();
    let offer = Offer {
        ticket,
        service: spec.service.clone(),
        team: spec.caller.team.clone(),
        priority: spec.options.priority,
        latest_start: Some(latest_start(server, spec, now)),
    };
    let outcome = control.queue.borrow_mut().offer(offer, now);
    if let Some((shed, refusal)) = outcome.shed {
        control.notify_waiter(shed, Stage::Refused, Err(refusal));
    }
    outcome
        .accepted
        .map_err(|refusal| caller_refusal(&refusal))?;
    let (sender, verdict) = oneshot::channel();
    let stage = Rc::new(Cell::new(Stage::Waiting));
    let waiter = Waiter {
        stage: Rc::clone(&stage),
        verdict: sender,
    };
    control.waiters.borrow_mut().insert(ticket, waiter);
    let admission = Admission {
        server: Rc::clone(server),
        ticket,
        service: spec.service.clone(),
        stage,
    };
    fill_free_slots(server, &spec.service);
    Ok(QueuedRequest { admission, verdict })
}

/// Returns the last time at which the request can be sent and still be expected to get its first
/// byte before the deadline.
fn latest_start(server: &Server, spec: &Spec, now: Timestamp) -> Timestamp {
    let deadline = spec.options.deadline;
    let left = deadline.saturating_duration_since(tokio::time::Instant::now());
    let needed = server.times.borrow().mean_first_token(&spec.service);
    now + left.saturating_sub(needed)
}

/// Admits waiting requests of a service until its free slots are used up.
pub(super) fn fill_free_slots(server: &Server, service: &ServiceName) {
    let control = &server.admission;
    if control.queue.borrow().waiting(service) == 0 {
        return;
    }
    let now = server.clock.now();
    let snapshot = server.snapshot.load();
    let free = {
        let own = server.own_load.borrow();
        let router = server.router.borrow();
        router.free_slots(service, &snapshot, &own, now)
    };
    let pending = control.pending.borrow().get(service).copied().unwrap_or(0);
    for _ in pending..free {
        let started = control.queue.borrow_mut().next(service, now);
        let Some(started) = started else { return };
        control.change_pending(service, |count| count + 1);
        control.notify_waiter(started.ticket, Stage::Pending, Ok(started.waited));
    }
}

/// Refuses requests that can no longer meet their deadline, and admits those for which a new
/// snapshot has free slots.
pub(super) fn tick(server: &Server) {
    let control = &server.admission;
    let now = server.clock.now();
    let expired = control.queue.borrow_mut().expire(now);
    for (ticket, refusal) in expired {
        control.notify_waiter(ticket, Stage::Refused, Err(refusal));
    }
    let snapshot = server.snapshot.load_full();
    if !control.apply_snapshot(&snapshot, now) {
        return;
    }
    server.router.borrow_mut().forget_absent(&snapshot);
    let is_present = |id: &_| snapshot.replicas.iter().any(|replica| replica.id == *id);
    server.own_load.borrow_mut().forget(is_present);
    for service in snapshot.config.services.keys() {
        fill_free_slots(server, service);
    }
}

/// Returns the error for a caller whose request the queue refused.
fn caller_refusal(refusal: &QueueRefusal) -> Refusal {
    let message = format!("The request was not admitted: {}.", refusal.reason.name());
    let after_ms = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
    Refusal::new(refusal.reason.code(), message).retry_after_ms(after_ms)
}
