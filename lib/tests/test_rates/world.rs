//! A simulation of entry daemons, leaders and upstreams that name rates, in which a test can delay
//! and duplicate messages.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use cicadabend::{
    prelude::*,
    rates::{
        Caller,
        IssuerView,
        PermitAsk,
        PermitClient,
        PermitIssuer,
        PermitStore,
        PermitUpdate,
        Pool,
        RateTable,
        Verdict, //
    },
    registry::InstanceId,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

/// The length of one step of the simulation.
const STEP_MS: u64 = 10;
/// Interval at which a leader issues permits.
const LEADER_TICK_MS: u64 = 50;
/// Interval at which an entry daemon checks whether it must issue permits to itself.
const ENTRY_TICK_MS: u64 = 200;
/// How long a request waits for a permit.
const PERMIT_TIMEOUT_MS: u64 = 100;
/// How long a leader counts a silent daemon among the known ones.
const KNOWN_FOR_MS: u64 = 60_000;

/// An entry daemon of the simulation.
struct Entry {
    name: DaemonId,
    client: PermitClient,
    store: PermitStore,
    waiting: VecDeque<Waiting>,
    /// Index of the leader that the daemon can reach, if any.
    leader: Option<usize>,
    /// Start time of the daemon's current process, on the simulation's clock.
    starts_ms: u64,
}

/// A request that waits for a permit.
struct Waiting {
    caller: Caller,
    until_ms: u64,
}

/// A message with the indices of its sender and its recipient.
enum Message {
    Request(usize, usize, PermitAsk),
    Update(usize, usize, PermitUpdate),
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    pub sent: u32,
    pub refused: u32,
}

pub struct World {
    pub now_ms: u64,
    /// Requests per second that arrive at all daemons together, by caller.
    pub load: Vec<(Caller, f64)>,
    /// The longest time that a message takes, in milliseconds.
    pub max_delay_ms: u64,
    /// Whether each message arrives twice.
    pub duplicates_messages: bool,
    /// Whether the pool also contains upstreams that name no rate.
    pub is_mixed: bool,
    rates: RateTable,
    entries: Vec<Entry>,
    leaders: Vec<PermitIssuer>,
    /// When each leader last received a message from each daemon, in milliseconds.
    last_contact_ms: Vec<BTreeMap<usize, u64>>,
    /// Messages in transit, by arrival time in milliseconds and number.
    messages: BTreeMap<(u64, u64), Message>,
    last_message_number: u64,
    random: SmallRng,
    /// The times at which requests were sent to each upstream, in milliseconds.
    pub sent: BTreeMap<InstanceId, Vec<u64>>,
    /// Each caller's requests by outcome.
    pub served: BTreeMap<Caller, Served>,
}

pub fn upstream(number: usize) -> InstanceId {
    format!("i-{number}").parse().unwrap()
}

pub fn pool() -> Pool {
    Pool {
        service: "portal".parse().unwrap(),
        model: None,
    }
}

pub fn caller(rank: u8, team: &str) -> Caller {
    Caller {
        rank,
        team: Some(team.parse().unwrap()),
    }
}

impl World {
    /// Starts `daemons` entry daemons, one leader, and one upstream for each of the `rates`, which
    /// are in requests per second.
    pub fn new(daemons: usize, rates: &[f64], seed: u64) -> Self {
        let named = rates.iter().enumerate();
        let named = named.map(|(number, rate)| (upstream(number), rate.to_string()));
        let mut world = Self {
            now_ms: 1_000,
            load: vec![(caller(1, "a"), 100.0)],
            max_delay_ms: 5,
            duplicates_messages: false,
            is_mixed: true,
            rates: named
                .map(|(id, rate)| (id, rate.parse().unwrap()))
                .collect(),
            entries: Vec::new(),
            leaders: Vec::new(),
            last_contact_ms: Vec::new(),
            messages: BTreeMap::new(),
            last_message_number: 0,
            random: SmallRng::seed_from_u64(seed),
            sent: BTreeMap::new(),
            served: BTreeMap::new(),
        };
        world.add_leader();
        for _ in 0..daemons {
            world.add_entry();
        }
        world
    }

    /// Adds a leader of the next term and returns its index; no daemon can reach the leader yet.
    pub fn add_leader(&mut self) -> usize {
        let term = self.leaders.len() as u64 + 1;
        let issuer = PermitIssuer::new(term, Timestamp(self.now_ms));
        self.leaders.push(issuer);
        // Each control daemon receives messages from all entry daemons.
        let last_contact_ms = (0..self.entries.len()).map(|entry| (entry, self.now_ms));
        self.last_contact_ms.push(last_contact_ms.collect());
        self.leaders.len() - 1
    }

    /// Adds an entry daemon.
    pub fn add_entry(&mut self) {
        let name: DaemonId = format!("entry-{}", self.entries.len()).parse().unwrap();
        self.entries.push(Entry {
            client: PermitClient::new(name.clone()),
            name,
            store: PermitStore::default(),
            waiting: VecDeque::new(),
            leader: Some(0),
            starts_ms: self.now_ms,
        });
    }

    /// Restarts an entry daemon, which loses its state.
    pub fn restart_entry(&mut self, entry: usize) {
        let entry = &mut self.entries[entry];
        entry.client = PermitClient::new(entry.name.clone());
        entry.store = PermitStore::default();
        entry.waiting.clear();
        entry.starts_ms = self.now_ms;
    }

    /// Lets these daemons reach only this leader, or none.
    pub fn set_reachable_leader(
        &mut self,
        entries: impl Iterator<Item = usize>,
        leader: Option<usize>,
    ) {
        for entry in entries {
            self.entries[entry].leader = leader;
        }
    }

    /// Replaces the rate that an upstream names; all daemons know the new rate at once.
    pub fn name_rate(&mut self, number: usize, rate: f64) {
        let rate = rate.to_string().parse().unwrap();
        self.rates.insert(upstream(number), rate);
    }

    /// Runs the simulation for `length_ms` milliseconds.
    pub fn run(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Returns the highest number of requests that an upstream got in any window of `window_ms`
    /// milliseconds.
    pub fn max_sent_within(&self, number: usize, window_ms: u64) -> usize {
        let Some(sent) = self.sent.get(&upstream(number)) else {
            return 0;
        };
        let mut max_sent = 0;
        let mut first = 0;
        for (last, at) in sent.iter().enumerate() {
            while sent[first] + window_ms <= *at {
                first += 1;
            }
            max_sent = max_sent.max(last + 1 - first);
        }
        max_sent
    }

    /// Returns how many requests an upstream got since `from_ms`.
    pub fn sent_since(&self, number: usize, from_ms: u64) -> usize {
        let sent = self.sent.get(&upstream(number)).into_iter().flatten();
        sent.filter(|at| **at >= from_ms).count()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        self.tick_leaders();
        self.tick_entries();
        self.generate_requests();
        self.serve_waiting();
        self.request_permits();
    }

    fn send_message(&mut self, make: impl Fn() -> Message) {
        for _ in 0..=usize::from(self.duplicates_messages) {
            self.last_message_number += 1;
            let delay_ms = self.random.random_range(1..=self.max_delay_ms);
            let key = (self.now_ms + delay_ms, self.last_message_number);
            self.messages.insert(key, make());
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.messages, later);
        for message in due.into_values() {
            match message {
                Message::Request(entry, leader, request) => {
                    self.handle_request(entry, leader, &request)
                }
                Message::Update(leader, entry, update) => self.handle_update(leader, entry, update),
            }
        }
    }

    fn handle_request(&mut self, entry: usize, leader: usize, request: &PermitAsk) {
        let now = Timestamp(self.now_ms);
        self.last_contact_ms[leader].insert(entry, self.now_ms);
        let name = self.entries[entry].name.clone();
        if self.leaders[leader].handle_permit_request(&name, request, now) {
            self.issue(leader);
        }
    }

    fn handle_update(&mut self, leader: usize, entry: usize, update: PermitUpdate) {
        let name: DaemonId = format!("control-{leader}").parse().unwrap();
        let now = self.clock_of(entry);
        let entry = &mut self.entries[entry];
        if entry.leader != Some(leader) {
            return;
        }
        let changes = entry.client.handle_permit_update(&name, update, now);
        entry.store.add(changes.permits);
        if let Some(shares) = changes.shares {
            entry.store.set_shares(shares);
        }
    }

    /// Returns the time on a daemon's clock, which starts with its process.
    fn clock_of(&self, entry: usize) -> Timestamp {
        Timestamp(self.now_ms - self.entries[entry].starts_ms + 1)
    }

    fn tick_leaders(&mut self) {
        if self.now_ms.is_multiple_of(LEADER_TICK_MS) {
            for leader in 0..self.leaders.len() {
                self.issue(leader);
            }
        }
    }

    fn issue(&mut self, leader: usize) {
        let now_ms = self.now_ms;
        let last_contact_ms = &self.last_contact_ms[leader];
        let count_within = |limit_ms: u64| {
            let inside = last_contact_ms
                .values()
                .filter(|at| now_ms - **at < limit_ms);
            inside.count()
        };
        let pools = self.rates.keys().map(|id| (id.clone(), pool())).collect();
        let mixed: BTreeSet<Pool> = self.is_mixed.then(pool).into_iter().collect();
        let updates = self.leaders[leader].tick(IssuerView {
            rates: &self.rates,
            pools: &pools,
            mixed: &mixed,
            live_entries: count_within(1_500),
            known_entries: count_within(KNOWN_FOR_MS),
            now: Timestamp(now_ms),
        });
        for (daemon, update) in updates {
            let entry = self.entries.iter().position(|entry| entry.name == daemon);
            let entry = entry.unwrap();
            self.send_message(|| Message::Update(leader, entry, update.clone()));
        }
    }

    fn tick_entries(&mut self) {
        if !self.now_ms.is_multiple_of(ENTRY_TICK_MS) {
            return;
        }
        let entries = u32::try_from(self.entries.len()).unwrap();
        for number in 0..self.entries.len() {
            let now = self.clock_of(number);
            let entry = &mut self.entries[number];
            let changes = entry.client.tick(&self.rates, entries, now);
            entry.store.add(changes.permits);
            if let Some(shares) = changes.shares {
                entry.store.set_shares(shares);
            }
        }
    }

    fn generate_requests(&mut self) {
        for (caller, per_s) in self.load.clone() {
            let mut expected = per_s * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    self.handle_caller_request(&caller);
                }
                expected -= 1.0;
            }
        }
    }

    fn handle_caller_request(&mut self, caller: &Caller) {
        let number = self.random.random_range(0..self.entries.len());
        let random = self.random.random();
        let now = self.clock_of(number);
        let store = &mut self.entries[number].store;
        store.record_request(&pool(), caller);
        let verdict = store.verdict(&pool(), caller, random);
        if self.send(number, caller, verdict, now) {
            return;
        }
        let entry = &mut self.entries[number];
        match verdict {
            Verdict::MayUse if !self.is_mixed => {
                entry.store.begin_wait(&pool(), caller);
                entry.waiting.push_back(Waiting {
                    caller: caller.clone(),
                    until_ms: self.now_ms + PERMIT_TIMEOUT_MS,
                });
            }
            _ => self.served.entry(caller.clone()).or_default().refused += 1,
        }
    }

    /// Sends a request to an upstream for which the daemon has a permit; returns whether there was
    /// one.
    fn send(&mut self, number: usize, caller: &Caller, verdict: Verdict, now: Timestamp) -> bool {
        let store = &mut self.entries[number].store;
        let may_use = |id: &&InstanceId| match verdict {
            Verdict::Refused => false,
            Verdict::MayUse => store.has_permit(id, now),
        };
        let Some(id) = self.rates.keys().find(may_use).cloned() else {
            return false;
        };
        assert!(store.consume_permit(&id, now));
        self.sent.entry(id).or_default().push(self.now_ms);
        self.served.entry(caller.clone()).or_default().sent += 1;
        true
    }

    fn serve_waiting(&mut self) {
        for number in 0..self.entries.len() {
            let now = self.clock_of(number);
            while let Some(waiting) = self.entries[number].waiting.pop_front() {
                let is_over = self.now_ms >= waiting.until_ms;
                let is_sent = self.send(number, &waiting.caller, Verdict::MayUse, now);
                let entry = &mut self.entries[number];
                if !is_sent && !is_over {
                    entry.waiting.push_front(waiting);
                    break;
                }
                entry.store.end_wait(&pool(), &waiting.caller);
                if !is_sent {
                    self.served.entry(waiting.caller).or_default().refused += 1;
                }
            }
        }
    }

    fn request_permits(&mut self) {
        for number in 0..self.entries.len() {
            let now = self.clock_of(number);
            let entry = &mut self.entries[number];
            let is_waiting = entry.store.has_waiting_requests();
            if !entry.client.is_request_due(is_waiting, now) {
                continue;
            }
            let (_, request) =
                entry
                    .client
                    .permit_request(entry.store.take_demands(), Vec::new(), now);
            if let Some(leader) = entry.leader {
                self.send_message(|| Message::Request(number, leader, request.clone()));
            }
        }
    }
}
