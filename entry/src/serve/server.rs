//! What all requests of the serving thread share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    sync::Arc, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    fleet::FleetConfig,
    prelude::*,
    routing::{
        Replica,
        RoutingSnapshot, //
    },
};
use cicadabend_daemon::settings::EntrySettings;
use sha2::{
    Digest,
    Sha256, //
};

use super::upstream::Pool;

/// The serving thread's state; it never leaves the thread.
pub(super) struct Server {
    pub(super) settings: EntrySettings,
    pub(super) snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    pub(super) pool: Pool,
    pub(super) draining: Cell<bool>,
    request_count: Cell<u64>,
    boot: BootId,
    turns: RefCell<HashMap<ServiceName, usize>>,
    teams: RefCell<TeamIndex>,
}

/// Teams by the hash of their key, for one configuration.
#[derive(Default)]
struct TeamIndex {
    config: Arc<FleetConfig>,
    by_key_sha256: HashMap<String, TeamName>,
}

impl TeamIndex {
    fn of(config: &Arc<FleetConfig>) -> Self {
        let entry = |(name, team): (&TeamName, &cicadabend::fleet::Team)| {
            (team.api_key_sha256.to_ascii_lowercase(), name.clone())
        };
        Self {
            config: Arc::clone(config),
            by_key_sha256: config.teams.iter().map(entry).collect(),
        }
    }
}

impl Server {
    pub(super) fn new(
        settings: EntrySettings,
        snapshot: Arc<ArcSwap<RoutingSnapshot>>,
        boot: BootId,
    ) -> Self {
        let pool = Pool::new(settings.upstreams.connect_timeout_ms);
        Self {
            settings,
            snapshot,
            pool,
            draining: Cell::new(false),
            request_count: Cell::new(0),
            boot,
            turns: RefCell::default(),
            teams: RefCell::default(),
        }
    }

    /// Returns whether the balancer should send callers here.
    pub(super) fn is_ready(&self) -> bool {
        !self.draining.get() && self.snapshot.load().ready
    }

    /// Makes an id for a request that came without one.
    pub(super) fn new_request_id(&self) -> Option<RequestId> {
        let number = self.request_count.get() + 1;
        self.request_count.set(number);
        let daemon = &self.settings.daemon;
        format!("{daemon}-{:x}-{number}", self.boot.0).parse().ok()
    }

    /// Returns the team that an API key belongs to.
    pub(super) fn team_of_key(&self, config: &Arc<FleetConfig>, key: &str) -> Option<TeamName> {
        let hash = hex(&Sha256::digest(key.as_bytes()));
        let mut teams = self.teams.borrow_mut();
        if !Arc::ptr_eq(&teams.config, config) {
            *teams = TeamIndex::of(config);
        }
        teams.by_key_sha256.get(&hash).cloned()
    }

    /// Returns the service's next replica in turn.
    pub(super) fn next_replica(
        &self,
        snapshot: &RoutingSnapshot,
        service: &ServiceName,
    ) -> Option<Replica> {
        let candidates = || snapshot.replicas.iter().filter(|r| &r.service == service);
        let count = candidates().count();
        if count == 0 {
            return None;
        }
        let mut turns = self.turns.borrow_mut();
        let turn = turns.entry(service.clone()).or_default();
        *turn = turn.wrapping_add(1);
        candidates().nth(*turn % count).cloned()
    }
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing into a String cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
