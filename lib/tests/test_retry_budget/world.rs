//! A simulation of entry daemons and leaders whose upstreams fail requests, in which a test can
//! restart, add and cut off daemons and delay messages.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use cicadabend::{
    prelude::*,
    retry_budget::{
        BudgetSettings,
        GrantClient,
        GrantIssuer,
        GrantRequest,
        GrantStore,
        GrantUpdate,
        RetryBound,
        RetryBudget,
        RetrySource,
        RoutedRetryReason,
        WindowCount, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

pub const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    slack: 109,
    window: Duration::from_secs(10),
};
pub const BOUND: RetryBound = RetryBound {
    ratio: SETTINGS.ratio,
    slack: SETTINGS.slack,
    window_ms: 10_000,
};

/// The length of one step of the simulation.
const STEP_MS: u64 = 10;
/// How long a request waits for a grant.
const GRANT_TIMEOUT_MS: u64 = 100;
/// Longest time until a daemon reads a request, a retry arrives, or its response arrives.
const MAX_TRANSIT_MS: u64 = 100;
const REASON: RoutedRetryReason = RoutedRetryReason::Broken;

/// An entry daemon of the simulation.
struct Entry {
    name: DaemonId,
    budget: RetryBudget,
    store: GrantStore,
    client: GrantClient,
    /// Times until which requests wait for a grant.
    waiting: VecDeque<u64>,
    /// Index of the leader that the daemon can reach, if any.
    leader: Option<usize>,
    /// Start time of the daemon's current process, on the simulation's clock.
    starts_ms: u64,
    /// Number of the current process.
    process: u32,
}

impl Entry {
    fn new(name: DaemonId, starts_ms: u64, process: u32) -> Self {
        Self {
            name,
            budget: RetryBudget::new(SETTINGS),
            store: GrantStore::default(),
            client: GrantClient::new(SETTINGS),
            waiting: VecDeque::new(),
            leader: Some(0),
            starts_ms,
            process,
        }
    }

    /// Returns the time on the daemon's clock, which starts with its process.
    fn clock(&self, now_ms: u64) -> Timestamp {
        Timestamp(now_ms - self.starts_ms + 1)
    }

    /// Withdraws a retry as a daemon does.
    fn withdraw(&mut self, now: Timestamp) -> Option<RetrySource> {
        let paid = self.budget.withdraw(REASON, now);
        paid.or_else(|| {
            let expires_at = self.store.consume(&service(), now)?;
            Some(RetrySource::Granted(expires_at))
        })
    }
}

/// What happens later.
enum Event {
    /// A daemon reads a request.
    Read(usize),
    /// A daemon's retry arrives at an upstream.
    Arrival,
    /// The response to a retry of a process arrives.
    Response(usize, u32, RetrySource),
    Request(usize, usize, GrantRequest),
    Update(usize, usize, GrantUpdate),
}

pub struct World {
    pub now_ms: u64,
    /// Requests per second that callers send to all daemons together.
    pub load_per_s: f64,
    /// Share of the requests that fail.
    pub failing: f64,
    /// The longest time that a message takes, in milliseconds.
    pub max_delay_ms: u64,
    /// Whether each message arrives twice.
    pub duplicates_messages: bool,
    /// The only daemon that gets requests, if any.
    pub only_entry: Option<usize>,
    entries: Vec<Entry>,
    leaders: Vec<GrantIssuer>,
    events: BTreeMap<(u64, u64), Event>,
    last_event_number: u64,
    random: SmallRng,
    pub requests_ms: Vec<u64>,
    pub retries_ms: Vec<u64>,
    /// Failed requests that got no retry, by time.
    pub unretried_ms: Vec<u64>,
}

pub fn service() -> ServiceName {
    "portal".parse().unwrap()
}

impl World {
    /// Starts entry daemons and the first leader of a cluster.
    pub fn new(daemons: usize, load_per_s: f64, seed: u64) -> Self {
        let mut world = Self {
            now_ms: 1_000,
            load_per_s,
            failing: 1.0,
            max_delay_ms: 5,
            duplicates_messages: false,
            only_entry: None,
            entries: Vec::new(),
            leaders: Vec::new(),
            events: BTreeMap::new(),
            last_event_number: 0,
            random: SmallRng::seed_from_u64(seed),
            requests_ms: Vec::new(),
            retries_ms: Vec::new(),
            unretried_ms: Vec::new(),
        };
        world.add_leader(false);
        (0..daemons).for_each(|_| world.add_entry());
        world
    }

    /// Adds a leader of the next term, which no daemon can reach yet; returns its index.
    pub fn add_leader(&mut self, has_predecessor: bool) -> usize {
        let term = self.leaders.len() as u64 + 1;
        let now = Timestamp(self.now_ms);
        self.leaders
            .push(GrantIssuer::new(term, has_predecessor, now));
        self.leaders.len() - 1
    }

    pub fn add_entry(&mut self) {
        let name = format!("entry-{}", self.entries.len()).parse().unwrap();
        self.entries.push(Entry::new(name, self.now_ms, 0));
    }

    /// Restarts a daemon, which loses its state.
    pub fn restart_entry(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        let (name, process, leader) = (entry.name.clone(), entry.process + 1, entry.leader);
        *entry = Entry::new(name, self.now_ms, process);
        entry.leader = leader;
    }

    pub fn restart_all(&mut self) {
        (0..self.entries.len()).for_each(|number| self.restart_entry(number));
    }

    /// Lets these daemons reach only this leader, or none.
    pub fn set_leader(&mut self, entries: impl Iterator<Item = usize>, leader: Option<usize>) {
        for number in entries {
            self.entries[number].leader = leader;
        }
    }

    pub fn daemons(&self) -> usize {
        self.entries.len()
    }

    pub fn random_below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }

    /// Runs the simulation for `length_ms` milliseconds.
    pub fn run(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.handle_events();
            self.send_callers_requests();
            (0..self.entries.len()).for_each(|number| self.step_entry(number));
        }
    }

    /// Returns the window in which least of the bound was left; `None` if there were no retries.
    pub fn worst_window(&self) -> Option<WindowCount> {
        BOUND.worst_window(&self.requests_ms, &self.retries_ms)
    }

    /// Panics if a window has more retries than the bound allows.
    pub fn assert_within_bound(&self) {
        let exceeded = self.worst_window().filter(WindowCount::is_exceeded);
        assert_eq!(exceeded, None);
    }

    /// Returns how many of the times lie between `from_ms` and now.
    pub fn count_since(times_ms: &[u64], from_ms: u64) -> usize {
        times_ms.iter().filter(|at| **at >= from_ms).count()
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.last_event_number += 1;
        let key = (self.now_ms + delay_ms, self.last_event_number);
        self.events.insert(key, event);
    }

    fn transit_ms(&mut self) -> u64 {
        self.random.random_range(1..=MAX_TRANSIT_MS)
    }

    fn send_message(&mut self, make: impl Fn() -> Event) {
        for _ in 0..=usize::from(self.duplicates_messages) {
            let delay_ms = self.random.random_range(1..=self.max_delay_ms);
            self.schedule(delay_ms, make());
        }
    }

    fn handle_events(&mut self) {
        let later = self.events.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.events, later);
        for event in due.into_values() {
            match event {
                Event::Read(number) => self.handle_caller_request(number),
                Event::Arrival => self.retries_ms.push(self.now_ms),
                Event::Response(number, process, source) => {
                    self.handle_response(number, process, source);
                }
                Event::Request(number, leader, request) => {
                    self.handle_grant_request(number, leader, &request);
                }
                Event::Update(leader, number, update) => {
                    self.handle_grants(leader, number, update);
                }
            }
        }
    }

    fn send_callers_requests(&mut self) {
        let mut expected = self.load_per_s * STEP_MS as f64 / 1_000.0;
        while expected > 0.0 {
            if self.random.random_bool(expected.min(1.0)) {
                self.requests_ms.push(self.now_ms);
                let drawn = self.random.random_range(0..self.entries.len());
                let delay_ms = self.transit_ms();
                self.schedule(delay_ms, Event::Read(self.only_entry.unwrap_or(drawn)));
            }
            expected -= 1.0;
        }
    }

    fn handle_caller_request(&mut self, number: usize) {
        let is_failing = self.random.random_bool(self.failing);
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        let now = entry.clock(now_ms);
        if let Some(daemons) = entry.store.daemons() {
            entry.budget.set_daemons(daemons, now);
        }
        entry.budget.record_request(now);
        if !is_failing || self.retry(number) {
            return;
        }
        let entry = &mut self.entries[number];
        if entry.store.may_wait(&service(), REASON, now) {
            entry.store.begin_wait(&service(), REASON);
            entry.waiting.push_back(now_ms + GRANT_TIMEOUT_MS);
        } else {
            self.unretried_ms.push(now_ms);
        }
    }

    /// Sends a retry if the daemon's budget or a grant pays for it; returns whether one does.
    fn retry(&mut self, number: usize) -> bool {
        let entry = &mut self.entries[number];
        let process = entry.process;
        let Some(source) = entry.withdraw(entry.clock(self.now_ms)) else {
            return false;
        };
        let arrival_ms = self.transit_ms();
        let response_ms = arrival_ms + self.transit_ms();
        self.schedule(arrival_ms, Event::Arrival);
        self.schedule(response_ms, Event::Response(number, process, source));
        true
    }

    fn handle_response(&mut self, number: usize, process: u32, source: RetrySource) {
        let entry = &mut self.entries[number];
        if entry.process == process {
            let now = entry.clock(self.now_ms);
            entry.budget.settle(source, REASON, true, now);
        }
    }

    fn handle_grant_request(&mut self, number: usize, leader: usize, request: &GrantRequest) {
        if self.entries[number].leader != Some(leader) {
            return;
        }
        let known = self.entries.len();
        let name = self.entries[number].name.clone();
        let now = Timestamp(self.now_ms);
        let update = self.leaders[leader].handle_request(&name, request, known, now);
        self.send_message(|| Event::Update(leader, number, update.clone()));
    }

    fn handle_grants(&mut self, leader: usize, number: usize, update: GrantUpdate) {
        let name: DaemonId = format!("control-{leader}").parse().unwrap();
        let entry = &mut self.entries[number];
        let now = entry.clock(self.now_ms);
        if entry.leader != Some(leader) {
            return;
        }
        if let Some(expires_at) = entry.client.handle_update(&name, &update, now) {
            entry.store.handle_update(update, expires_at, now);
        }
    }

    fn step_entry(&mut self, number: usize) {
        self.serve_waiting(number);
        let entry = &mut self.entries[number];
        let now = entry.clock(self.now_ms);
        entry
            .store
            .set_leader_in_reach(entry.client.is_leader_in_reach(now));
        let demands = entry.store.demands(now);
        if !entry.client.is_request_due(!demands.is_empty(), now) {
            return;
        }
        let (_, request) = entry.client.request(demands, Vec::new(), now);
        if let Some(leader) = entry.leader {
            self.send_message(|| Event::Request(number, leader, request.clone()));
        }
    }

    fn serve_waiting(&mut self, number: usize) {
        while let Some(until_ms) = self.entries[number].waiting.front().copied() {
            let now = self.entries[number].clock(self.now_ms);
            let is_retried = self.retry(number);
            let store = &mut self.entries[number].store;
            let is_over = self.now_ms >= until_ms || !store.may_wait(&service(), REASON, now);
            if !is_retried && !is_over {
                return;
            }
            store.end_wait(&service(), REASON);
            self.entries[number].waiting.pop_front();
            if !is_retried {
                self.unretried_ms.push(self.now_ms);
            }
        }
    }
}
