//! The state of one VM, shared by the tasks of its process's only thread.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    hash::{
        BuildHasher,
        Hasher,
        RandomState, //
    },
    rc::Rc,
};

use cicadabend::{
    ids::Address,
    prelude::*,
    upstream_api::{
        EngineState,
        LoadReport,
        Membership, //
    },
};
use cicadabend_daemon::clock::Clock;
use tokio::sync::{
    Notify,
    watch, //
};

use crate::{
    batch::Batch,
    cache::PrefixCache,
    fault::Faults,
    generate::Generations,
    run::{
        Run,
        RunState,
        Runs, //
    },
    settings::{
        EngineSettings,
        KindSettings,
        VmSettings, //
    },
};

/// Where the VMs of other processes listen, and those of this one.
pub type Peers = Rc<RefCell<BTreeMap<VmId, Address>>>;

/// Capacity of an engine's cache if the VM is none.
const NO_CACHE: TokenCount = TokenCount(1);

/// One VM.
#[derive(Debug)]
pub struct Vm {
    /// What it was told.
    pub settings: VmSettings,
    /// Where it listens.
    pub address: Address,
    /// Drawn when the VM started.
    pub boot: BootId,
    /// Its clock.
    pub clock: Clock,
    /// Where other VMs are.
    pub peers: Peers,
    /// Whom it announces itself to.
    pub announce_to: RefCell<Vec<Address>>,
    /// What it holds and which group it is in; unused by plain services.
    pub engine: RefCell<EngineState>,
    /// Its slots.
    pub batch: Batch,
    /// Its prefix cache.
    pub cache: RefCell<PrefixCache>,
    /// Its faults.
    pub faults: RefCell<Faults>,
    /// Its account.
    pub runs: RefCell<Runs>,
    /// Generations that can be resumed.
    pub generations: RefCell<Generations>,
    /// Whether it wants no new work.
    pub leaving: Cell<bool>,
    /// Wakes the announcer when there is news.
    pub news: Notify,
    /// Turns true when the VM dies.
    pub dead: watch::Sender<bool>,
    active: RefCell<HashMap<u64, Active>>,
    loads: RefCell<VecDeque<(Timestamp, LoadReport)>>,
}

/// A run in progress, as it is stopped from outside.
#[derive(Debug)]
struct Active {
    request_id: String,
    stop: watch::Sender<Option<RunState>>,
}

impl Vm {
    /// Makes a VM that listens at this address.
    pub fn new(settings: VmSettings, address: Address, peers: Peers) -> Self {
        let engine_settings = match &settings.kind {
            KindSettings::Engine(engine) => Some(engine),
            KindSettings::Plain(_) => None,
        };
        let cache_tokens = engine_settings.map_or(NO_CACHE, |e| e.cache_tokens);
        let engine = engine_settings.map(initial_state).unwrap_or_default();
        Self {
            address,
            boot: BootId(RandomState::new().build_hasher().finish()),
            clock: Clock::start(),
            peers,
            announce_to: RefCell::new(settings.announce_to.clone()),
            engine: RefCell::new(engine),
            batch: Batch::new(settings.slots.0),
            cache: RefCell::new(PrefixCache::new(cache_tokens)),
            faults: RefCell::default(),
            runs: RefCell::default(),
            generations: RefCell::default(),
            leaving: Cell::new(false),
            news: Notify::new(),
            dead: watch::Sender::new(false),
            active: RefCell::default(),
            loads: RefCell::default(),
            settings,
        }
    }

    /// Returns the settings of an engine, unless the VM is a plain service.
    pub fn engine_settings(&self) -> Option<&EngineSettings> {
        match &self.settings.kind {
            KindSettings::Engine(engine) => Some(engine),
            KindSettings::Plain(_) => None,
        }
    }

    /// Returns the group the VM is in.
    pub fn membership(&self) -> Option<Membership> {
        self.engine.borrow().membership.clone()
    }

    /// Returns whether it runs no request and none waits.
    pub fn idle(&self) -> bool {
        self.batch.running() == 0 && self.batch.queued() == 0
    }

    /// Returns how long something takes on this VM, given how long it takes without faults.
    pub fn slowed_us(&self, time_us: u64) -> u64 {
        time_us * self.faults.borrow().slow_percent / 100
    }

    /// Notes the load now and returns the one that reports lag behind by.
    pub fn lagging_load(&self) -> LoadReport {
        let now = self.clock.now();
        let load = LoadReport {
            running: self.batch.running(),
            queued: self.batch.queued(),
            cache_used_percent: self.cache.borrow().used_percent(),
            age_ms: 0,
        };
        let mut loads = self.loads.borrow_mut();
        loads.push_back((now, load));
        let lag_ms = self.faults.borrow().report_lag_ms;
        let lag_ms = lag_ms.unwrap_or(self.settings.report_lag_ms);
        let is_old = |at: Timestamp| now.0.saturating_sub(at.0) >= lag_ms;
        while loads.len() > 1 && is_old(loads[1].0) {
            loads.pop_front();
        }
        match loads.front() {
            Some(&(at, old)) => LoadReport {
                age_ms: now.0.saturating_sub(at.0),
                ..old
            },
            None => load,
        }
    }

    /// Opens a run in the account and returns its number.
    pub fn open_run(&self, run: Run) -> u64 {
        self.runs.borrow_mut().add(run)
    }

    /// Lets a run be stopped from outside; the receiver tells why.
    pub fn watch_run(&self, number: u64, request_id: &str) -> watch::Receiver<Option<RunState>> {
        let (stop, receiver) = watch::channel(None);
        let active = Active {
            request_id: request_id.to_owned(),
            stop,
        };
        self.active.borrow_mut().insert(number, active);
        receiver
    }

    /// Closes a run in the account.
    pub fn close_run(&self, number: u64, state: RunState) {
        self.runs
            .borrow_mut()
            .change(number, |run| run.state = state);
    }

    /// Closes a run that was watched by `stop`, unless another connection has resumed it.
    pub fn close_watched_run(
        &self,
        number: u64,
        stop: &watch::Receiver<Option<RunState>>,
        state: RunState,
    ) {
        let mut active = self.active.borrow_mut();
        let watched = active.get(&number);
        if !watched.is_some_and(|run| run.stop.subscribe().same_channel(stop)) {
            return;
        }
        active.remove(&number);
        drop(active);
        self.close_run(number, state);
    }

    /// Stops all runs of a request, or all there are; returns how many.
    pub fn stop_runs(&self, request_id: Option<&str>, state: RunState) -> usize {
        let mut stopped = 0;
        for run in self.active.borrow().values() {
            if request_id.is_none_or(|id| id == run.request_id) {
                run.stop.send_replace(Some(state));
                stopped += 1;
            }
        }
        stopped
    }

    /// Returns whether any request is in progress.
    pub fn has_active_runs(&self) -> bool {
        !self.active.borrow().is_empty()
    }

    /// Dies: connections close, the listener goes away, announcements end.
    pub fn die(&self) {
        self.dead.send_replace(true);
    }
}

fn initial_state(settings: &EngineSettings) -> EngineState {
    let membership = settings.initial_group.as_ref().map(|initial| Membership {
        group: initial.group.clone(),
        token: FencingToken::default(),
        service: initial.service.clone(),
        members: initial.members.clone(),
        ready: true,
    });
    EngineState {
        accelerators: settings.accelerators,
        weights: settings.weights.clone(),
        membership,
        highest_token: FencingToken::default(),
        checks_tokens: settings.checks_tokens,
    }
}
