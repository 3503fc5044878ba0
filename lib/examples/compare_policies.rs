//! Compares the routing policies in a queueing simulation, to choose their parameters.
//!
//! `cargo run --release -p cicadabend --example compare_policies [SEEDS [short] [NAME=VALUE…]]`
//!
//! Replicas are simulated as slots with service times; daemons are real [`Router`]s that get
//! delayed load reports and lose some cache events. Failures are not simulated: the program
//! `cicadabend-load` measures the policies on real processes.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap,
        VecDeque, //
    },
    error::Error,
    sync::Arc,
    time::Duration,
};

use cicadabend::{
    fleet::{
        FleetConfig,
        PlainService,
        RoutingArm,
        RoutingPolicy,
        Service, //
    },
    prelude::*,
    routing::{
        AnswerTiming,
        CacheNotice,
        OwnLoad,
        Prefix,
        Replica,
        ReplicaId,
        RouteQuery,
        Router,
        RouterSettings,
        RoutingSnapshot, //
    },
    upstream_api::{
        CacheEvent,
        LoadReport, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const DOMAINS: usize = 3;
const DAEMONS: usize = 9;
const REPLICAS: usize = 12;
const SLOTS: usize = 8;
/// The factor by which the straggler is slower than other replicas.
const STRAGGLER: f64 = 5.0;
const PREFILL_US_PER_TOKEN: f64 = 100.0;
const DECODE_US_PER_TOKEN: f64 = 8_000.0;
const MEAN_OUTPUT_TOKENS: f64 = 100.0;
const PREFIX_TOKENS: u64 = 2_000;
const OWN_TOKENS: u64 = 300;
const SESSIONS: u64 = 400;
/// The number of prefixes that a replica's cache holds.
const CACHE_PREFIXES: usize = 60;
const CACHE_EVENT_LOSS: f64 = 0.1;
const REPORT_INTERVAL_US: u64 = 100_000;
const ROUND_TRIP_US: u64 = 2_000;
const WARM_UP_US: u64 = 20_000_000;
const LENGTH_US: u64 = 120_000_000;
/// The time from a request's arrival until its caller gives up without a first token.
const DEADLINE_US: u64 = 10_000_000;
/// The shortest time before the deadline at which a request is still sent; later the request is
/// refused.
const START_BEFORE_US: u64 = 1_000_000;

const POLICIES: [RoutingPolicy; 5] = [
    RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastOutstanding,
    RoutingPolicy::PowerOfTwoChoices,
    RoutingPolicy::PrefixAffinity,
    RoutingPolicy::ExpectedLatency,
];

#[derive(Clone, Copy, Debug)]
struct Scenario {
    load: f64,
    lag_us: u64,
    has_straggler: bool,
    settings: RouterSettings,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Reach {
        request: usize,
        replica: usize,
    },
    FirstToken(usize),
    End(usize),
    Report,
    CacheChanged {
        replica: usize,
        sequence: u64,
        hash: u64,
        stored: bool,
    },
}

#[derive(Clone, Debug)]
struct Request {
    daemon: usize,
    arrived: u64,
    session: u64,
    output_tokens: u64,
    sent: u64,
    first_token: u64,
    replica: usize,
    was_unqueued: bool,
    is_hit: bool,
}

#[derive(Clone, Debug, Default)]
struct ModelReplica {
    running: usize,
    queue: VecDeque<usize>,
    cache: VecDeque<u64>,
    cache_sequence: u64,
    history: VecDeque<(u64, u32, u32)>,
}

struct Daemon {
    router: Router,
    own: OwnLoad,
    snapshot: RoutingSnapshot,
    queue: VecDeque<usize>,
    home: FailureDomain,
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    first_tokens_us: Vec<u64>,
    hits: u64,
    late: u64,
    to_straggler: u64,
}

struct Model {
    scenario: Scenario,
    policy: RoutingPolicy,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    now: u64,
    requests: Vec<Request>,
    replicas: Vec<ModelReplica>,
    ids: Vec<ReplicaId>,
    index: HashMap<ReplicaId, usize>,
    daemons: Vec<Daemon>,
    service: ServiceName,
    outcome: Outcome,
}

fn timestamp(us: u64) -> Timestamp {
    Timestamp(us / 1_000)
}

impl Model {
    fn new(scenario: Scenario, policy: RoutingPolicy, seed: u64) -> Result<Self, Box<dyn Error>> {
        let service: ServiceName = "drafting-llm".parse()?;
        let mut ids = Vec::new();
        for number in 0..REPLICAS {
            ids.push(ReplicaId::Group(format!("group-{number}").parse()?));
        }
        let mut model = Self {
            scenario,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            order: 0,
            now: 0,
            requests: Vec::new(),
            replicas: vec![ModelReplica::default(); REPLICAS],
            index: ids.iter().cloned().zip(0..).collect(),
            ids,
            daemons: Vec::new(),
            service,
            outcome: Outcome::default(),
        };
        for number in 0..DAEMONS {
            let daemon = model.new_daemon(number)?;
            model.daemons.push(daemon);
        }
        Ok(model)
    }

    fn new_daemon(&self, number: usize) -> Result<Daemon, Box<dyn Error>> {
        let mut router = Router::new(self.scenario.settings);
        let mut replicas = Vec::new();
        for (index, id) in self.ids.iter().enumerate() {
            let domain: FailureDomain = format!("domain-{}", index % DOMAINS).parse()?;
            router.record_round_trip(&domain, Duration::from_micros(ROUND_TRIP_US));
            replicas.push(Replica {
                id: id.clone(),
                service: self.service.clone(),
                failure_domain: domain,
                token: FencingToken::default(),
                address: "127.0.0.1:1".parse()?,
                slots: Slots(SLOTS as u32),
                load: LoadReport::default(),
                load_received_at: Timestamp(0),
            });
        }
        let arm = RoutingArm {
            policy: self.policy,
            share_percent: Percent(100),
        };
        let service = Service::Plain(PlainService {
            routing: vec![arm],
            unsafe_methods_are_repeatable: false,
        });
        let config = FleetConfig {
            services: BTreeMap::from([(self.service.clone(), service)]),
            ..FleetConfig::default()
        };
        Ok(Daemon {
            router,
            own: OwnLoad::default(),
            snapshot: RoutingSnapshot {
                ready: true,
                config: Arc::new(config),
                replicas,
                ..RoutingSnapshot::default()
            },
            queue: VecDeque::new(),
            home: format!("domain-{}", number % DOMAINS).parse()?,
        })
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn run(mut self) -> Result<Outcome, Box<dyn Error>> {
        self.schedule_arrivals();
        self.schedule(0, Event::Report);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > LENGTH_US + 2 * DEADLINE_US {
                break;
            }
            self.now = now;
            match event {
                Event::Arrive(request) => {
                    let daemon = self.requests[request].daemon;
                    self.daemons[daemon].queue.push_back(request);
                    self.send_queued(daemon)?;
                }
                Event::Reach { request, replica } => self.enqueue_at_replica(request, replica),
                Event::FirstToken(request) => self.deliver_first_token(request),
                Event::End(request) => self.end_request(request)?,
                Event::Report => self.report_load()?,
                Event::CacheChanged {
                    replica,
                    sequence,
                    hash,
                    stored,
                } => self.deliver_cache_event(replica, sequence, hash, stored),
            }
        }
        Ok(self.outcome)
    }

    fn schedule_arrivals(&mut self) {
        let mean_service_us = MEAN_OUTPUT_TOKENS * DECODE_US_PER_TOKEN
            + (PREFIX_TOKENS / 2 + OWN_TOKENS) as f64 * PREFILL_US_PER_TOKEN;
        let speed = match self.scenario.has_straggler {
            true => (REPLICAS - 1) as f64 + 1.0 / STRAGGLER,
            false => REPLICAS as f64,
        };
        let per_us = self.scenario.load * speed * SLOTS as f64 / mean_service_us;
        let mut time = 0.0;
        loop {
            time -= (1.0 - self.rng.random::<f64>()).ln() / per_us;
            if time as u64 > LENGTH_US {
                return;
            }
            // The cube gives a skewed choice: few sessions have most of the requests.
            let session = (SESSIONS as f64 * self.rng.random::<f64>().powi(3)) as u64;
            let tail = (1.0 - self.rng.random::<f64>()).powf(-0.5) - 1.0;
            let request = Request {
                daemon: self.rng.random_range(0..DAEMONS),
                arrived: time as u64,
                session,
                output_tokens: 2 + (MEAN_OUTPUT_TOKENS * tail).min(2_000.0) as u64,
                sent: 0,
                first_token: 0,
                replica: 0,
                was_unqueued: false,
                is_hit: false,
            };
            let index = self.requests.len();
            self.requests.push(request);
            self.schedule(time as u64, Event::Arrive(index));
        }
    }

    /// Sends the requests in a daemon's queue, in order, while its router counts free slots.
    fn send_queued(&mut self, daemon: usize) -> Result<(), Box<dyn Error>> {
        while let Some(&request) = self.daemons[daemon].queue.front() {
            if self.scenario.lag_us == 0 {
                self.refresh(daemon, self.now);
            }
            if self.now + START_BEFORE_US > self.requests[request].arrived + DEADLINE_US {
                self.daemons[daemon].queue.pop_front();
                self.record_outcome(request, None);
                continue;
            }
            let sender = &self.daemons[daemon];
            let now = timestamp(self.now);
            let free = sender
                .router
                .free_slots(&self.service, &sender.snapshot, &sender.own, now);
            if free == 0 {
                return Ok(());
            }
            self.daemons[daemon].queue.pop_front();
            self.send(daemon, request)?;
        }
        Ok(())
    }

    fn send(&mut self, daemon: usize, request: usize) -> Result<(), Box<dyn Error>> {
        let session = self.requests[request].session;
        let prefixes = [Prefix {
            hash: session,
            tokens: TokenCount(PREFIX_TOKENS),
        }];
        let id = format!("request-{request}").parse()?;
        let sender = &mut self.daemons[daemon];
        let query = RouteQuery {
            service: &self.service,
            request: &id,
            session: Some(session),
            prefixes: &prefixes,
            excluded: &[],
            home: &sender.home,
            may_probe: true,
            prompt_tokens: TokenCount(PREFIX_TOKENS + OWN_TOKENS),
        };
        let now = timestamp(self.now);
        let random = self.rng.random();
        let choice = sender
            .router
            .choose(&query, &sender.snapshot, &sender.own, now, random)
            .ok_or("no replica")?;
        sender.own.started(&choice.replica.id, now);
        let replica = self.index[&choice.replica.id];
        let sent = &mut self.requests[request];
        sent.sent = self.now;
        sent.replica = replica;
        let one_way_us = match choice.is_remote {
            true => ROUND_TRIP_US / 2,
            false => ROUND_TRIP_US / 20,
        };
        self.schedule(self.now + one_way_us, Event::Reach { request, replica });
        Ok(())
    }

    fn enqueue_at_replica(&mut self, request: usize, replica: usize) {
        self.requests[request].was_unqueued = self.replicas[replica].running < SLOTS;
        self.replicas[replica].queue.push_back(request);
        self.start_queued(replica);
    }

    fn start_queued(&mut self, replica: usize) {
        while self.replicas[replica].running < SLOTS {
            let Some(request) = self.replicas[replica].queue.pop_front() else {
                return;
            };
            self.replicas[replica].running += 1;
            let is_hit = self.use_cache(replica, self.requests[request].session);
            self.requests[request].is_hit = is_hit;
            let uncached = OWN_TOKENS + if is_hit { 0 } else { PREFIX_TOKENS };
            let prefill = uncached as f64 * PREFILL_US_PER_TOKEN * self.slowness(replica);
            self.schedule(self.now + prefill as u64, Event::FirstToken(request));
        }
    }

    /// Returns the factor by which the replica is slower than others.
    fn slowness(&self, replica: usize) -> f64 {
        match self.scenario.has_straggler && replica == 0 {
            true => STRAGGLER,
            false => 1.0,
        }
    }

    /// Marks a prefix as used last, or stores it; returns whether the prefix was cached.
    fn use_cache(&mut self, replica: usize, hash: u64) -> bool {
        let cache = &mut self.replicas[replica].cache;
        if let Some(index) = cache.iter().position(|cached| *cached == hash) {
            cache.remove(index);
            cache.push_back(hash);
            return true;
        }
        cache.push_back(hash);
        let evicted = (cache.len() > CACHE_PREFIXES).then(|| cache.pop_front());
        self.send_cache_event(replica, hash, true);
        if let Some(hash) = evicted.flatten() {
            self.send_cache_event(replica, hash, false);
        }
        false
    }

    /// Sends a cache event to all daemons, unless the event gets lost.
    fn send_cache_event(&mut self, replica: usize, hash: u64, stored: bool) {
        self.replicas[replica].cache_sequence += 1;
        let sequence = self.replicas[replica].cache_sequence;
        if self.rng.random_bool(CACHE_EVENT_LOSS) {
            return;
        }
        let event = Event::CacheChanged {
            replica,
            sequence,
            hash,
            stored,
        };
        self.schedule(self.now + self.scenario.lag_us + 1_000, event);
    }

    fn deliver_cache_event(&mut self, replica: usize, sequence: u64, hash: u64, stored: bool) {
        let notice = CacheNotice {
            replica: self.ids[replica].clone(),
            boot: BootId(1),
            event: CacheEvent {
                sequence,
                prefix_hash: hash,
                stored,
                tokens: TokenCount(PREFIX_TOKENS),
            },
        };
        let now = timestamp(self.now);
        for daemon in &mut self.daemons {
            daemon.router.apply_cache_notice(&notice, now);
        }
    }

    fn deliver_first_token(&mut self, request: usize) {
        self.requests[request].first_token = self.now;
        self.record_outcome(request, Some(self.now - self.requests[request].arrived));
        let ended = &self.requests[request];
        let steps = (ended.output_tokens - 1) as f64;
        let decode = steps * DECODE_US_PER_TOKEN * self.slowness(ended.replica);
        self.schedule(self.now + decode as u64, Event::End(request));
    }

    fn end_request(&mut self, request: usize) -> Result<(), Box<dyn Error>> {
        let ended = self.requests[request].clone();
        self.replicas[ended.replica].running -= 1;
        self.start_queued(ended.replica);
        let now = timestamp(self.now);
        let id = &self.ids[ended.replica];
        let daemon = &mut self.daemons[ended.daemon];
        daemon.own.ended(id, now);
        let uncached = OWN_TOKENS + if ended.is_hit { 0 } else { PREFIX_TOKENS };
        let timing = AnswerTiming {
            first_token: Duration::from_micros(ended.first_token - ended.sent),
            total: Duration::from_micros(self.now - ended.sent),
            output_tokens: TokenCount(ended.output_tokens),
            uncached_tokens: TokenCount(uncached),
            was_unqueued: ended.was_unqueued,
        };
        let prefixes = [Prefix {
            hash: ended.session,
            tokens: TokenCount(PREFIX_TOKENS),
        }];
        daemon
            .router
            .record_answer(&self.service, id, &prefixes, timing, now);
        self.send_queued(ended.daemon)
    }

    /// Counts a request, unless it arrived during the warm-up; without a first token it counts as
    /// late.
    fn record_outcome(&mut self, request: usize, first_token_us: Option<u64>) {
        let recorded = &self.requests[request];
        if recorded.arrived < WARM_UP_US {
            return;
        }
        match first_token_us {
            Some(time) if time <= DEADLINE_US => {
                self.outcome.first_tokens_us.push(time);
                self.outcome.hits += u64::from(recorded.is_hit);
                self.outcome.to_straggler += u64::from(recorded.replica == 0);
            }
            _ => self.outcome.late += 1,
        }
    }

    /// Samples the load of every replica, and gives the daemons the sample that is as old as the
    /// reports' lag.
    fn report_load(&mut self) -> Result<(), Box<dyn Error>> {
        for replica in &mut self.replicas {
            let load = (replica.running as u32, replica.queue.len() as u32);
            replica.history.push_back((self.now, load.0, load.1));
            replica.history.truncate(64);
            while replica.history.len() > 1
                && replica.history[1].0 + self.scenario.lag_us <= self.now
            {
                replica.history.pop_front();
            }
        }
        self.schedule(self.now + REPORT_INTERVAL_US, Event::Report);
        for daemon in 0..DAEMONS {
            if self.scenario.lag_us > 0 && self.now >= self.scenario.lag_us {
                self.refresh(daemon, self.now - self.scenario.lag_us);
            }
            self.send_queued(daemon)?;
        }
        Ok(())
    }

    /// Gives a daemon the load of all replicas as it was at `sampled_at`.
    fn refresh(&mut self, daemon: usize, sampled_at: u64) {
        let now = timestamp(self.now);
        let age_ms = (self.now - sampled_at) / 1_000;
        for (shown, replica) in self.daemons[daemon]
            .snapshot
            .replicas
            .iter_mut()
            .zip(&self.replicas)
        {
            let (running, queued) = match (self.scenario.lag_us, replica.history.front()) {
                (0, _) | (_, None) => (replica.running as u32, replica.queue.len() as u32),
                (_, Some((_, running, queued))) => (*running, *queued),
            };
            shown.load = LoadReport {
                running,
                queued,
                age_ms,
                ..LoadReport::default()
            };
            shown.load_received_at = now;
        }
    }
}

fn percentile_ms(sorted: &[u64], per_mille: usize) -> f64 {
    match sorted.get(sorted.len() * per_mille / 1_000) {
        Some(time) => *time as f64 / 1_000.0,
        None => f64::NAN,
    }
}

fn settings_from_arguments() -> Result<RouterSettings, Box<dyn Error>> {
    let mut settings = RouterSettings::default();
    for argument in std::env::args()
        .skip(2)
        .filter(|argument| argument != "short")
    {
        let (name, value) = argument.split_once('=').ok_or("NAME=VALUE is expected")?;
        match name {
            "peer_echo" => settings.peer_echo = value.parse()?,
            "prefix_load_bound" => settings.prefix_load_bound = value.parse()?,
            "slowness_half_life_s" => {
                settings.slowness_half_life = Duration::from_secs(value.parse()?);
            }
            _ => return Err(format!("unknown parameter {name}").into()),
        }
    }
    Ok(settings)
}

fn main() -> Result<(), Box<dyn Error>> {
    let seeds: u64 = match std::env::args().nth(1) {
        Some(text) => text.parse()?,
        None => 3,
    };
    let settings = settings_from_arguments()?;
    println!(
        "load straggler lag_ms policy               p50_ms   p99_ms  hits late of_capacity straggler"
    );
    let is_short = std::env::args().any(|argument| argument == "short");
    let (scenarios, lags): (&[(f64, bool)], &[u64]) = match is_short {
        true => (&[(0.8, true), (1.5, true)], &[500_000]),
        false => (
            &[(0.5, true), (0.8, true), (0.8, false), (1.5, true)],
            &[0, 100_000, 500_000],
        ),
    };
    for &(load, has_straggler) in scenarios {
        for &lag_us in lags {
            for policy in POLICIES {
                let scenario = Scenario {
                    load,
                    lag_us,
                    has_straggler,
                    settings,
                };
                print_row(scenario, policy, seeds)?;
            }
        }
    }
    Ok(())
}

fn print_row(scenario: Scenario, policy: RoutingPolicy, seeds: u64) -> Result<(), Box<dyn Error>> {
    let mut all = Outcome::default();
    for seed in 0..seeds {
        let outcome = Model::new(scenario, policy, seed)?.run()?;
        all.first_tokens_us.extend(outcome.first_tokens_us);
        all.hits += outcome.hits;
        all.late += outcome.late;
        all.to_straggler += outcome.to_straggler;
    }
    all.first_tokens_us.sort_unstable();
    let answered = all.first_tokens_us.len() as f64;
    println!(
        "{:>3.0}% {:<9} {:>6} {:<20} {:>7.1} {:>8.1} {:>4.0}% {:>3.0}% {:>10.0}% {:>8.1}%",
        scenario.load * 100.0,
        scenario.has_straggler,
        scenario.lag_us / 1_000,
        format!("{policy:?}"),
        percentile_ms(&all.first_tokens_us, 500),
        percentile_ms(&all.first_tokens_us, 990),
        100.0 * all.hits as f64 / answered,
        100.0 * all.late as f64 / (answered + all.late as f64),
        100.0 * scenario.load * answered / (answered + all.late as f64),
        100.0 * all.to_straggler as f64 / answered,
    );
    Ok(())
}
