//! Entry daemons, leaders and upstreams that name rates, with messages that a test harms.

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

/// The length of one step.
const STEP_MS: u64 = 10;
/// How often a leader's thread looks.
const LEADER_TICK_MS: u64 = 50;
/// How often an entry daemon's thread looks.
const ENTRY_TICK_MS: u64 = 200;
/// How long a request waits for a permit.
const PATIENCE_MS: u64 = 100;
/// How long a leader counts a daemon that fell silent.
const KNOWN_FOR_MS: u64 = 60_000;

/// An entry daemon.
struct Entry {
    name: DaemonId,
    client: PermitClient,
    store: PermitStore,
    waiting: VecDeque<Waiting>,
    /// The leader that it reaches.
    leader: Option<usize>,
    starts_ms: u64,
}

/// A request that waits for a permit.
struct Waiting {
    caller: Caller,
    until_ms: u64,
}

enum Letter {
    Ask(usize, usize, PermitAsk),
    Permits(usize, usize, PermitUpdate),
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    pub sent: u32,
    pub refused: u32,
}

pub struct World {
    pub now_ms: u64,
    /// How many requests a second come to all daemons together, by caller.
    pub load: Vec<(Caller, f64)>,
    /// The longest time for which a message is on its way.
    pub longest_way_ms: u64,
    /// Whether messages come twice.
    pub doubles: bool,
    /// Whether other upstreams stand beside those that name a rate.
    pub is_mixed: bool,
    rates: RateTable,
    entries: Vec<Entry>,
    leaders: Vec<PermitIssuer>,
    /// When each leader heard each daemon last.
    heard: Vec<BTreeMap<usize, u64>>,
    letters: BTreeMap<(u64, u64), Letter>,
    numbers: u64,
    random: SmallRng,
    /// When requests were sent to each upstream.
    pub sent: BTreeMap<InstanceId, Vec<u64>>,
    /// What became of each caller's requests.
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
    /// Starts so many entry daemons, one leader, and upstreams that name these rates.
    pub fn new(daemons: usize, rates: &[f64], seed: u64) -> Self {
        let named = rates.iter().enumerate();
        let named = named.map(|(number, rate)| (upstream(number), rate.to_string()));
        let mut world = Self {
            now_ms: 1_000,
            load: vec![(caller(1, "a"), 100.0)],
            longest_way_ms: 5,
            doubles: false,
            is_mixed: true,
            rates: named
                .map(|(id, rate)| (id, rate.parse().unwrap()))
                .collect(),
            entries: Vec::new(),
            leaders: Vec::new(),
            heard: Vec::new(),
            letters: BTreeMap::new(),
            numbers: 0,
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

    /// Adds a leader of the next term and returns its number; nobody reaches it yet.
    pub fn add_leader(&mut self) -> usize {
        let term = self.leaders.len() as u64 + 1;
        let issuer = PermitIssuer::new(term, Timestamp(self.now_ms));
        self.leaders.push(issuer);
        // It has heard all daemons, as every control daemon does.
        let heard = (0..self.entries.len()).map(|entry| (entry, self.now_ms));
        self.heard.push(heard.collect());
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

    /// Starts an entry daemon anew, with nothing in its memory.
    pub fn restart_entry(&mut self, entry: usize) {
        let entry = &mut self.entries[entry];
        entry.client = PermitClient::new(entry.name.clone());
        entry.store = PermitStore::default();
        entry.waiting.clear();
        entry.starts_ms = self.now_ms;
    }

    /// Has these daemons reach this leader only, or none.
    pub fn reach(&mut self, entries: impl Iterator<Item = usize>, leader: Option<usize>) {
        for entry in entries {
            self.entries[entry].leader = leader;
        }
    }

    /// Replaces the rate that an upstream names; all daemons know at once.
    pub fn name_rate(&mut self, number: usize, rate: f64) {
        let rate = rate.to_string().parse().unwrap();
        self.rates.insert(upstream(number), rate);
    }

    /// Lets time pass.
    pub fn run(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Returns the most requests that an upstream got in a span of so many milliseconds.
    pub fn most_in(&self, number: usize, span_ms: u64) -> usize {
        let Some(sent) = self.sent.get(&upstream(number)) else {
            return 0;
        };
        let mut most = 0;
        let mut first = 0;
        for (last, at) in sent.iter().enumerate() {
            while sent[first] + span_ms <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Returns how many requests an upstream got from a moment on.
    pub fn sent_since(&self, number: usize, from_ms: u64) -> usize {
        let sent = self.sent.get(&upstream(number)).into_iter().flatten();
        sent.filter(|at| **at >= from_ms).count()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        self.lead();
        self.tick();
        self.arrive();
        self.serve_waiting();
        self.ask();
    }

    fn post(&mut self, make: impl Fn() -> Letter) {
        for _ in 0..=usize::from(self.doubles) {
            self.numbers += 1;
            let way_ms = self.random.random_range(1..=self.longest_way_ms);
            let key = (self.now_ms + way_ms, self.numbers);
            self.letters.insert(key, make());
        }
    }

    fn deliver(&mut self) {
        let later = self.letters.split_off(&(self.now_ms + 1, 0));
        let due = std::mem::replace(&mut self.letters, later);
        for letter in due.into_values() {
            match letter {
                Letter::Ask(entry, leader, ask) => self.hear_ask(entry, leader, &ask),
                Letter::Permits(leader, entry, news) => self.hear_permits(leader, entry, news),
            }
        }
    }

    fn hear_ask(&mut self, entry: usize, leader: usize, ask: &PermitAsk) {
        let now = Timestamp(self.now_ms);
        self.heard[leader].insert(entry, self.now_ms);
        let name = self.entries[entry].name.clone();
        if self.leaders[leader].handle_permit_request(&name, ask, now) {
            self.issue(leader);
        }
    }

    fn hear_permits(&mut self, leader: usize, entry: usize, news: PermitUpdate) {
        let name: DaemonId = format!("control-{leader}").parse().unwrap();
        let now = self.clock_of(entry);
        let entry = &mut self.entries[entry];
        if entry.leader != Some(leader) {
            return;
        }
        let received = entry.client.handle_permit_update(&name, news, now);
        entry.store.add(received.permits);
        if let Some(shares) = received.shares {
            entry.store.set_shares(shares);
        }
    }

    /// Each daemon's clock begins with its process.
    fn clock_of(&self, entry: usize) -> Timestamp {
        Timestamp(self.now_ms - self.entries[entry].starts_ms + 1)
    }

    fn lead(&mut self) {
        if self.now_ms.is_multiple_of(LEADER_TICK_MS) {
            for leader in 0..self.leaders.len() {
                self.issue(leader);
            }
        }
    }

    fn issue(&mut self, leader: usize) {
        let now_ms = self.now_ms;
        let heard = &self.heard[leader];
        let since = |limit_ms: u64| {
            let inside = heard.values().filter(|at| now_ms - **at < limit_ms);
            inside.count()
        };
        let pools = self.rates.keys().map(|id| (id.clone(), pool())).collect();
        let mixed: BTreeSet<Pool> = self.is_mixed.then(pool).into_iter().collect();
        let news = self.leaders[leader].tick(IssuerView {
            rates: &self.rates,
            pools: &pools,
            mixed: &mixed,
            live_entries: since(1_500),
            known_entries: since(KNOWN_FOR_MS),
            now: Timestamp(now_ms),
        });
        for (daemon, news) in news {
            let entry = self.entries.iter().position(|entry| entry.name == daemon);
            let entry = entry.unwrap();
            self.post(|| Letter::Permits(leader, entry, news.clone()));
        }
    }

    fn tick(&mut self) {
        if !self.now_ms.is_multiple_of(ENTRY_TICK_MS) {
            return;
        }
        let entries = u32::try_from(self.entries.len()).unwrap();
        for number in 0..self.entries.len() {
            let now = self.clock_of(number);
            let entry = &mut self.entries[number];
            let own = entry.client.tick(&self.rates, entries, now);
            entry.store.add(own.permits);
            if let Some(shares) = own.shares {
                entry.store.set_shares(shares);
            }
        }
    }

    fn arrive(&mut self) {
        for (caller, per_s) in self.load.clone() {
            let mut expected = per_s * STEP_MS as f64 / 1_000.0;
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    self.take_in(&caller);
                }
                expected -= 1.0;
            }
        }
    }

    fn take_in(&mut self, caller: &Caller) {
        let number = self.random.random_range(0..self.entries.len());
        let drawn = self.random.random();
        let now = self.clock_of(number);
        let store = &mut self.entries[number].store;
        store.record_request(&pool(), caller);
        let verdict = store.verdict(&pool(), caller, drawn);
        if self.send(number, caller, verdict, now) {
            return;
        }
        let entry = &mut self.entries[number];
        match verdict {
            Verdict::MayUse if !self.is_mixed => {
                entry.store.begin_wait(&pool(), caller);
                entry.waiting.push_back(Waiting {
                    caller: caller.clone(),
                    until_ms: self.now_ms + PATIENCE_MS,
                });
            }
            _ => self.served.entry(caller.clone()).or_default().refused += 1,
        }
    }

    /// Sends a request to an upstream that there is a permit for.
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

    fn ask(&mut self) {
        for number in 0..self.entries.len() {
            let now = self.clock_of(number);
            let entry = &mut self.entries[number];
            let is_waiting = entry.store.has_waiting_requests();
            if !entry.client.is_request_due(is_waiting, now) {
                continue;
            }
            let (_, ask) = entry
                .client
                .permit_request(entry.store.take_demands(), Vec::new(), now);
            if let Some(leader) = entry.leader {
                self.post(|| Letter::Ask(number, leader, ask.clone()));
            }
        }
    }
}
