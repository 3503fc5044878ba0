//! State that all requests of the serving thread share.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        HashSet, //
    },
    rc::Rc,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use cicadabend::{
    breaker::Breakers,
    dispatch::{
        AnswerClass,
        LatencyBaseline,
        LatencyBaselines,
        LoadTracker, //
    },
    prelude::*,
    registry::InstanceId,
    retry_budget::RoutedRetryReason, //
};
use cicadabend_daemon::{
    bodies::Bodies,
    clock::Clock,
    ring,
    settings::EntrySettings, //
};
use rand::{
    RngCore,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::Instant;

use super::{
    super::{
        connections::StopProgress,
        unread_body::Discards,
        upstream::ConnectionPool, //
    },
    RoutedSetup,
    counts::{
        Counts,
        RetryBudgetUse,
        Routed, //
    },
    crash_watch::CrashWatch,
    events::LogEvent,
    held_answer::HeldAnswers,
    lines::RequestLines,
    links::{
        self,
        Links, //
    },
    overload::Overload,
    part_watch::PartWatch,
    relay_state::RelayState,
    retry_budget::{
        RetryBudgets,
        RetryTicket, //
    },
    trials::Suspect,
};
use crate::{
    edge::CallerEdge,
    members::{
        CrashNotice,
        Demand,
        GrantWait,
        Permits,
        RateNotice,
        RoutedView, //
    },
};

/// Interval at which the state of removed upstreams is dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Requests and prompt parts that are on trial at this daemon; one of each runs at a time.
pub(super) type QuarantineTrials = HashSet<Suspect>;

/// Request rate that each upstream named in its last response to this daemon.
///
/// Upstreams whose last response named none have no entry.
pub(super) type LastNamedRates = HashMap<InstanceId, RequestRate>;

/// The serving thread's state, which is never shared with another thread.
pub(super) struct Server {
    pub(super) settings: EntrySettings,
    pub(super) view: Arc<ArcSwap<RoutedView>>,
    pub(super) edge: Arc<dyn CallerEdge>,
    pub(super) clock: Clock,
    pub(super) counts: Counts,
    pub(super) pool: ConnectionPool,
    pub(super) bodies: Bodies,
    pub(super) discards: Rc<Discards>,
    pub(super) held_answers: Rc<HeldAnswers>,
    pub(super) loads: RefCell<LoadTracker>,
    pub(super) latency_baselines: RefCell<LatencyBaselines>,
    pub(super) crash_watch: CrashWatch,
    pub(super) part_watch: PartWatch,
    pub(super) overload: Overload,
    pub(super) links: Links,
    pub(super) relay: RelayState,
    pub(super) stop: StopProgress,
    lines: RequestLines,
    pub(super) demand: Demand,
    has_served: Arc<AtomicBool>,
    pub(super) stalls: ring::Sender<InstanceId>,
    pub(super) crashes: ring::Sender<CrashNotice>,
    pub(super) quarantine_trials: RefCell<QuarantineTrials>,
    pub(super) breakers: RefCell<Breakers>,
    pub(super) rates: RefCell<LastNamedRates>,
    pub(super) permits: Permits,
    pub(super) rate_notices: ring::Sender<RateNotice>,
    pub(super) waits: ring::Sender<()>,
    retry_budgets: Rc<RetryBudgets>,
    random: RefCell<SmallRng>,
}

impl Server {
    pub(super) fn start(setup: &RoutedSetup, breakers: Breakers) -> Rc<Self> {
        let connect_timeout_ms = setup.settings.upstreams.connect_timeout_ms;
        let server = Rc::new(Self {
            settings: setup.settings.clone(),
            view: Arc::clone(&setup.view),
            edge: Arc::clone(&setup.edge),
            clock: setup.clock,
            counts: Counts::new(setup.metrics.clone()),
            pool: ConnectionPool::new(connect_timeout_ms, setup.metrics.clone()),
            bodies: Bodies::new(setup.settings.memory_mb, setup.clock, setup.metrics.clone()),
            discards: Rc::default(),
            held_answers: Rc::new(HeldAnswers::new(setup.settings.memory_mb)),
            loads: RefCell::default(),
            latency_baselines: RefCell::new(LatencyBaselines::new(
                setup.settings.retries.late_quantile,
            )),
            crash_watch: CrashWatch::default(),
            part_watch: PartWatch::default(),
            overload: Overload::default(),
            links: Links::new(setup.lost_groups.clone()),
            relay: RelayState::new(setup.relay_key),
            stop: StopProgress::default(),
            lines: RequestLines::default(),
            demand: setup.demand.clone(),
            has_served: Arc::clone(&setup.has_served),
            stalls: setup.stalls.clone(),
            crashes: setup.crashes.clone(),
            quarantine_trials: RefCell::default(),
            breakers: RefCell::new(breakers),
            rates: RefCell::default(),
            permits: setup.permits.clone(),
            rate_notices: setup.rate_notices.clone(),
            waits: setup.waits.clone(),
            retry_budgets: Rc::new(RetryBudgets::new(
                &setup.settings.retries,
                setup.clock,
                setup.grants.clone(),
                setup.waits.clone(),
            )),
            random: RefCell::new(SmallRng::seed_from_u64(setup.boot.0)),
        });
        tokio::task::spawn_local(sweep_periodically(Rc::clone(&server)));
        tokio::task::spawn_local(links::try_lost_links(Rc::clone(&server)));
        server
    }

    /// Returns whether the load balancer should send callers to this daemon.
    pub(super) fn is_ready(&self) -> bool {
        !self.stop.is_stopping() && self.view.load().is_ready()
    }

    /// Writes a log line on a request, within the rate limit for such lines.
    pub(super) fn log(&self, event: &LogEvent) {
        self.lines.log(self.clock.now(), event);
    }

    /// Returns a uniformly distributed random number.
    pub(super) fn random(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    /// Returns a uniformly distributed random number from 0 to 1.
    pub(super) fn random_fraction(&self) -> f64 {
        (self.random() >> 32) as f64 / f64::from(u32::MAX)
    }

    /// Adds a caller's request to its service's retry budget, which grows with the requests.
    pub(super) fn record_request(&self, service: &ServiceName) {
        self.has_served.store(true, Ordering::Relaxed);
        self.retry_budgets.record_request(service);
    }

    /// Withdraws a retry from the service's retry budget; `None` if there is none at hand.
    pub(super) fn withdraw_retry(
        &self,
        service: &ServiceName,
        reason: RoutedRetryReason,
    ) -> Option<RetryTicket> {
        let ticket = self.retry_budgets.withdraw(service, reason);
        self.count_withdrawal(service, reason, ticket.as_ref());
        ticket
    }

    /// Withdraws a retry from the service's retry budget, for which it may wait until `deadline`.
    pub(super) async fn obtain_retry(
        &self,
        service: &ServiceName,
        reason: RoutedRetryReason,
        deadline: Instant,
    ) -> Option<RetryTicket> {
        let ticket = self.retry_budgets.obtain(service, reason, deadline).await;
        self.count_withdrawal(service, reason, ticket.as_ref());
        ticket
    }

    /// Requests a retry for a broken request for as long as the returned value exists.
    pub(super) fn request_grant(&self, service: &ServiceName) -> Option<GrantWait> {
        let reason = RoutedRetryReason::Broken;
        self.retry_budgets.request_grant(service, reason)
    }

    /// Returns how many retries the daemon's own requests for the service still pay for.
    pub(super) fn retries_left(&self, service: &ServiceName) -> u32 {
        self.retry_budgets.retries_left(service)
    }

    fn count_withdrawal(
        &self,
        service: &ServiceName,
        reason: RoutedRetryReason,
        ticket: Option<&RetryTicket>,
    ) {
        let source = ticket.map(RetryTicket::source);
        self.counts.count_budget_use(match source {
            Some(source) => RetryBudgetUse::withdrawn(source),
            None => RetryBudgetUse::refused(reason),
        });
        if let Some(line) = self.retry_budgets.count_withdrawal(service, source) {
            self.log(&line);
        }
    }

    /// Returns the latency baseline of a class of responses; `None` if too few were seen.
    pub(super) fn latency_baseline(&self, class: &AnswerClass) -> Option<LatencyBaseline> {
        self.latency_baselines
            .borrow()
            .baseline_for(class, self.clock.now())
    }

    fn drop_ended_permits(&self) {
        let ended = self.permits.store().drop_expired(self.clock.now());
        if ended == 0 {
            return;
        }
        self.counts.count_many(Routed::PermitsEnded, ended as u64);
    }
}

async fn sweep_periodically(server: Rc<Server>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let view = server.view.load_full();
        let is_in_view = |id: &InstanceId| {
            let mut all = view.replicas.values().flatten();
            all.any(|replica| replica.id == *id)
        };
        server.loads.borrow_mut().forget(is_in_view);
        server.crash_watch.retain_upstreams(is_in_view);
        let now = server.clock.now();
        server.part_watch.forget_old(now);
        server.breakers.borrow_mut().forget(is_in_view, now);
        server.latency_baselines.borrow_mut().forget_old(now);
        server.drop_ended_permits();
        server.forget_relays();
        server.rates.borrow_mut().retain(|id, _| is_in_view(id));
        server.pool.close_expired();
        server.bodies.report();
    }
}
