//! Requests that wait for their turn.
//!
//! The order is the library's `AdmissionQueue`; here are the requests that wait in
//! it and what wakes them: a request that ended, a new snapshot, a deadline.

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

/// Thousandths of a request a second in one request a second.
const PER_1000: u64 = 1_000;

/// Where a request stands between the queue and its replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// It waits.
    Waiting,
    /// A slot is meant for it, but it is not counted at a replica yet.
    Pending,
    /// It is counted at a replica.
    Counted,
    /// The queue has given it up.
    Refused,
}

type Verdict = Result<Duration, QueueRefusal>;

struct Waiter {
    stage: Rc<Cell<Stage>>,
    verdict: oneshot::Sender<Verdict>,
}

/// The queue, and the requests that wait in it.
pub(super) struct AdmissionControl {
    queue: RefCell<AdmissionQueue>,
    waiters: RefCell<HashMap<Ticket, Waiter>>,
    pending: RefCell<HashMap<ServiceName, u32>>,
    last_ticket: Cell<u64>,
    seen: RefCell<Option<Arc<RoutingSnapshot>>>,
    daemons_of_domain: u32,
    daemons_of_fleet: u32,
}

impl AdmissionControl {
    pub(super) fn new(settings: &EntrySettings) -> Self {
        let entries = || {
            let peers = settings.peers.iter();
            peers.filter(|peer| peer.role == PeerRole::Entry && peer.daemon != settings.daemon)
        };
        let of_domain = entries().filter(|peer| peer.failure_domain == settings.failure_domain);
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
            seen: RefCell::default(),
            daemons_of_domain: count(of_domain.count()),
            daemons_of_fleet: count(entries().count()),
        }
    }

    /// Returns what each team wanted since the last call.
    pub(super) fn take_demand(
        &self,
        now: Timestamp,
    ) -> std::collections::BTreeMap<TeamName, TeamShare> {
        self.queue.borrow_mut().take_demand(now)
    }

    /// Returns how many requests wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Returns this daemon's equal part of a team's limits.
    ///
    /// Each failure domain has a fixed part, so limits do not double when domains
    /// part. Inside a domain the equal part stands until the domain leader lends.
    fn equal_share(&self, team: &Team) -> TeamShare {
        let part = |limit: u64| {
            let of_domain = domain_limit(limit, self.daemons_of_domain, self.daemons_of_fleet);
            of_domain / u64::from(self.daemons_of_domain.max(1))
        };
        let concurrent = part(u64::from(team.max_concurrent_requests));
        TeamShare {
            requests_per_1000_s: part(u64::from(team.requests_per_second.0) * PER_1000),
            // A team whose limit is below the number of daemons could use none of them.
            concurrent_requests: u32::try_from(concurrent.max(1)).unwrap_or(u32::MAX),
        }
    }

    /// Takes over teams and shares if the snapshot is new; returns whether it was.
    fn take_snapshot(&self, snapshot: &Arc<RoutingSnapshot>, now: Timestamp) -> bool {
        let mut seen = self.seen.borrow_mut();
        if seen
            .as_ref()
            .is_some_and(|seen| Arc::ptr_eq(seen, snapshot))
        {
            return false;
        }
        let same_teams = seen.as_ref().is_some_and(|seen| {
            Arc::ptr_eq(&seen.config, &snapshot.config) && seen.team_shares == snapshot.team_shares
        });
        if !same_teams {
            let teams = &snapshot.config.teams;
            let share = |team: &Team| self.equal_share(team);
            let mut queue = self.queue.borrow_mut();
            queue.set_teams(teams, &snapshot.team_shares, share, now);
        }
        *seen = Some(Arc::clone(snapshot));
        true
    }

    fn new_ticket(&self) -> Ticket {
        let number = self.last_ticket.get() + 1;
        self.last_ticket.set(number);
        Ticket(number)
    }

    fn tell(&self, ticket: Ticket, stage: Stage, verdict: Verdict) {
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        if let Some(waiter) = waiter {
            waiter.stage.set(stage);
            // A request that has left meanwhile gives its place back by itself.
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

/// One request's place: in the queue, then in the count of those that run.
///
/// Dropping it gives the place back once, wherever the request stands.
pub(super) struct Admission {
    server: Rc<Server>,
    ticket: Ticket,
    service: ServiceName,
    stage: Rc<Cell<Stage>>,
}

impl Admission {
    /// Notes that the request is counted at its replica from now on.
    pub(super) fn mark_counted(&self) {
        if self.stage.get() == Stage::Pending {
            self.stage.set(Stage::Counted);
            let desk = &self.server.admission;
            desk.change_pending(&self.service, |count| count.saturating_sub(1));
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.mark_counted();
        let now = self.server.clock.now();
        let desk = &self.server.admission;
        match self.stage.get() {
            Stage::Waiting => {
                desk.waiters.borrow_mut().remove(&self.ticket);
                desk.queue.borrow_mut().withdraw(self.ticket);
            }
            Stage::Pending | Stage::Counted => {
                desk.queue.borrow_mut().ended(self.ticket, now);
                pump(&self.server, &self.service);
            }
            Stage::Refused => {}
        }
    }
}

/// A request that waits for its turn.
pub(super) struct Turn {
    admission: Admission,
    verdict: oneshot::Receiver<Verdict>,
}

impl Turn {
    /// Waits until the request may be sent, or is refused.
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

/// Offers a request to the queue; the answer is final at once.
pub(super) fn offer(server: &Rc<Server>, spec: &Spec) -> Result<Turn, Refusal> {
    let desk = &server.admission;
    let now = server.clock.now();
    desk.take_snapshot(&server.snapshot.load_full(), now);
    let ticket = desk.new_ticket();
    let offer = Offer {
        ticket,
        service: spec.service.clone(),
        team: spec.caller.team.clone(),
        priority: spec.options.priority,
        latest_start: Some(latest_start(server, spec, now)),
    };
    let outcome = desk.queue.borrow_mut().offer(offer, now);
    if let Some((shed, refusal)) = outcome.shed {
        desk.tell(shed, Stage::Refused, Err(refusal));
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
    desk.waiters.borrow_mut().insert(ticket, waiter);
    let admission = Admission {
        server: Rc::clone(server),
        ticket,
        service: spec.service.clone(),
        stage,
    };
    pump(server, &spec.service);
    Ok(Turn { admission, verdict })
}

/// Returns when the request must be sent to have its first byte by the deadline.
fn latest_start(server: &Server, spec: &Spec, now: Timestamp) -> Timestamp {
    let deadline = spec.options.deadline;
    let left = deadline.saturating_duration_since(tokio::time::Instant::now());
    let needed = server.times.borrow().first_token(&spec.service);
    now + left.saturating_sub(needed)
}

/// Starts waiting requests as long as there are free slots.
pub(super) fn pump(server: &Server, service: &ServiceName) {
    let desk = &server.admission;
    if desk.queue.borrow().waiting(service) == 0 {
        return;
    }
    let now = server.clock.now();
    let snapshot = server.snapshot.load();
    let free = {
        let own = server.own_load.borrow();
        let router = server.router.borrow();
        router.free_slots(service, &snapshot, &own, now)
    };
    let pending = desk.pending.borrow().get(service).copied().unwrap_or(0);
    for _ in pending..free {
        let started = desk.queue.borrow_mut().next(service, now);
        let Some(started) = started else { return };
        desk.change_pending(service, |count| count + 1);
        desk.tell(started.ticket, Stage::Pending, Ok(started.waited));
    }
}

/// Refuses what waited too long, and starts what a new snapshot has room for.
pub(super) fn tick(server: &Server) {
    let desk = &server.admission;
    let now = server.clock.now();
    let expired = desk.queue.borrow_mut().expire(now);
    for (ticket, refusal) in expired {
        desk.tell(ticket, Stage::Refused, Err(refusal));
    }
    let snapshot = server.snapshot.load_full();
    if !desk.take_snapshot(&snapshot, now) {
        return;
    }
    server.router.borrow_mut().forget_absent(&snapshot);
    let is_present = |id: &_| snapshot.replicas.iter().any(|replica| replica.id == *id);
    server.own_load.borrow_mut().forget(is_present);
    for service in snapshot.config.services.keys() {
        pump(server, service);
    }
}

fn caller_refusal(refusal: &QueueRefusal) -> Refusal {
    let message = format!("The request was not admitted: {}.", refusal.reason.name());
    let after_ms = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
    Refusal::new(refusal.reason.code(), message).retry_after_ms(after_ms)
}
