//! The state that all requests of the serving thread share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    admission::{
        Backoff,
        RetryBudget, //
    },
    fleet::{
        FleetConfig,
        Team, //
    },
    prelude::*,
    routing::{
        OwnLoad,
        Router,
        RoutingSnapshot, //
    },
};
use cicadabend_daemon::{
    bodies::Bodies,
    clock::Clock,
    logs::budget::LineBudget,
    settings::EntrySettings, //
};
use rand::{
    RngCore,
    SeedableRng,
    rngs::SmallRng, //
};
use sha2::{
    Digest,
    Sha256, //
};

use super::{
    admission_control::AdmissionControl,
    claim_client::ClaimClient,
    connections::StopProgress,
    counts::{
        Counts,
        Serving, //
    },
    detached::Detached,
    events::LogEvent,
    headers,
    held_claim::Settling,
    housekeeping,
    policy_statistics::StatisticsAccumulator,
    request_ids::RequestIds,
    times::ServiceTimes,
    upstream::ConnectionPool,
    watched_body::BodyWatch, //
};

/// The serving thread's state, which is used by that thread alone.
pub(super) struct Server {
    pub(super) settings: EntrySettings,
    pub(super) snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    pub(super) clock: Clock,
    pub(super) counts: Counts,
    pub(super) pool: ConnectionPool,
    /// The request bodies in memory.
    pub(super) held_bodies: Bodies,
    pub(super) admission: AdmissionControl,
    pub(super) claims: Rc<ClaimClient>,
    /// Limits the log lines on claims.
    claim_lines: LineBudget,
    pub(super) detached: Rc<Detached>,
    pub(super) request_ids: RequestIds,
    /// The responses that callers are reading.
    pub(super) bodies: BodyWatch,
    pub(super) stop: StopProgress,
    pub(super) router: RefCell<Router>,
    pub(super) own_load: RefCell<OwnLoad>,
    pub(super) retry_budget: RefCell<RetryBudget>,
    pub(super) backoff: Backoff,
    pub(super) times: RefCell<ServiceTimes>,
    pub(super) policy_statistics: RefCell<StatisticsAccumulator>,
    random: RefCell<SmallRng>,
    request_count: Cell<u64>,
    boot: BootId,
    teams: RefCell<TeamIndex>,
}

/// Largest number of log lines on claims in one second.
const CLAIM_LINES_PER_S: u32 = 50;

/// Teams by the hash of their API key, for one configuration.
#[derive(Default)]
struct TeamIndex {
    config: Arc<FleetConfig>,
    by_key_sha256: HashMap<String, TeamName>,
}

impl TeamIndex {
    fn of(config: &Arc<FleetConfig>) -> Self {
        let entry = |(name, team): (&TeamName, &Team)| {
            (team.api_key_sha256.to_ascii_lowercase(), name.clone())
        };
        Self {
            config: Arc::clone(config),
            by_key_sha256: config.teams.iter().map(entry).collect(),
        }
    }
}

impl Server {
    /// Makes the state and starts the tasks of [`housekeeping`].
    pub(super) fn start(setup: super::ServeSetup) -> Rc<Self> {
        let connect_timeout_ms = setup.settings.upstreams.connect_timeout_ms;
        let pool = ConnectionPool::new(connect_timeout_ms, setup.metrics.clone());
        let admission = AdmissionControl::new(&setup.settings);
        let daemon = setup.settings.daemon.clone();
        let claims = ClaimClient::start(setup.claims, daemon, setup.boot, setup.clock);
        let memory_mb = setup.settings.memory_mb;
        let server = Rc::new(Self {
            settings: setup.settings,
            snapshot: setup.snapshot,
            clock: setup.clock,
            held_bodies: Bodies::new(memory_mb, setup.clock, setup.metrics.clone()),
            counts: Counts::new(setup.metrics),
            pool,
            admission,
            claims,
            claim_lines: LineBudget::new(CLAIM_LINES_PER_S),
            detached: Rc::default(),
            request_ids: RequestIds::default(),
            bodies: BodyWatch::default(),
            stop: StopProgress::default(),
            router: RefCell::default(),
            own_load: RefCell::default(),
            retry_budget: RefCell::default(),
            backoff: Backoff::default(),
            times: RefCell::default(),
            policy_statistics: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(setup.boot.0)),
            request_count: Cell::new(0),
            boot: setup.boot,
            teams: RefCell::default(),
        });
        housekeeping::start(&server, setup.domain);
        server
    }

    /// Logs an event about a claim, unless the limit on such lines is reached.
    pub(super) fn log_claim(&self, event: &LogEvent) {
        let left_out = |lines| LogEvent::ClaimLinesLeftOut { lines }.emit();
        let now = self.clock.now();
        self.claim_lines.write(now, || event.emit(), left_out);
    }

    /// Waits until a majority has recorded the outcome of a request that runs at most once, or a
    /// timeout passes.
    ///
    /// A caller that has its complete response may retry at once through any daemon, and this
    /// daemon may stop; the client retry must still find the first response.
    pub(super) async fn await_recorded(&self, settling: Settling) {
        if let Err(attempt) = settling.wait(&self.claims).await {
            self.counts.count(Serving::OutcomesNotRecorded);
            self.log_claim(&LogEvent::OutcomeNotRecorded { attempt });
        }
    }

    /// Returns whether the balancer should send callers here.
    pub(super) fn is_ready(&self) -> bool {
        !self.stop.is_stopping() && self.snapshot.load().ready
    }

    /// Returns a uniformly distributed random number.
    pub(super) fn random(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    /// Makes an id for a request whose own is missing, invalid or in use.
    ///
    /// Returns `None` if the result is no valid id, such as with a very long daemon name.
    pub(super) fn new_request_id(&self) -> Option<RequestId> {
        let number = self.request_count.get() + 1;
        self.request_count.set(number);
        let daemon = &self.settings.daemon;
        format!("{daemon}-{:x}-{number}", self.boot.0).parse().ok()
    }

    /// Returns the team that an API key belongs to; `None` for an unknown key.
    pub(super) fn team_of_key(&self, config: &Arc<FleetConfig>, key: &str) -> Option<TeamName> {
        let hash = headers::to_hex(&Sha256::digest(key.as_bytes()));
        let mut teams = self.teams.borrow_mut();
        if !Arc::ptr_eq(&teams.config, config) {
            *teams = TeamIndex::of(config);
        }
        teams.by_key_sha256.get(&hash).cloned()
    }
}
