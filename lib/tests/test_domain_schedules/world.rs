//! A simulated failure domain: coordinators with their own clocks, engines, and the network
//! between them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use cicadabend::{
    domain::{
        coordinator::{
            Action,
            Coordinator, //
        },
        membership::Source,
        parameters::{
            DomainParameters,
            DomainTiming, //
        },
    },
    fleet::{
        FleetConfig,
        ModelService,
        RecoveryPolicy,
        RecoverySettings,
        Service, //
    },
    peer_api::{
        ConfigBody,
        ConfigUpdate,
        PeerMessage, //
    },
    prelude::*,
    routing::ReplicaId,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    engine::Engine,
    network::{
        Event, //
        EventQueue,
    },
    schedule::{
        DeliberateFault,
        Fault,
        LENGTH_MS,
        Schedule, //
    },
};

pub const ENGINES: usize = 8;
pub const UPSTREAM_LEASE_MS: u64 = 2_000;
pub const CLOCK_RATE_ERROR: Percent = Percent(5);
pub const SLOWEST_MS: u64 = 3_000;
pub const LEADER_LEASE_MS: u64 = 2_000;
const TICK_MS: u64 = 50;
const ANNOUNCE_MS: u64 = 500;
const ANSWER_TIMEOUT_MS: u64 = 1_000;
const CONTROL: &str = "control-1";

/// One daemon and the coordinator of its present process.
pub struct Daemon {
    pub id: DaemonId,
    pub core: Option<Coordinator>,
    /// The number of its process; 0 if none has started since a crash.
    pub instance: u64,
    pub paused: bool,
    /// The groups to which the daemon routes, with their members.
    pub serving: BTreeMap<GroupId, Vec<VmId>>,
    rate_permille: u64,
    offset_ms: u64,
    /// Events that wait until the suspended daemon resumes.
    backlog: Vec<Event>,
    /// When the daemon last answered on each connection of an engine.
    last_answers: BTreeMap<(usize, u64), Timestamp>,
}

impl Daemon {
    /// Returns the daemon's clock at a true time.
    pub fn local_time(&self, true_ms: u64) -> Timestamp {
        Timestamp(self.offset_ms + true_ms * self.rate_permille / 1_000)
    }
}

/// The simulation's state.
pub struct World {
    pub now_ms: u64,
    pub daemons: Vec<Daemon>,
    pub engines: Vec<Engine>,
    pub deliberate_fault: DeliberateFault,
    events: EventQueue,
    random: SmallRng,
    instances_started: u64,
    /// For each partition: its end, and the sides of daemons and engines, by bit.
    partitions: Vec<(u64, u8, u8)>,
    slow_until_ms: u64,
    unannounced: u8,
    revision: u64,
    config: FleetConfig,
}

fn config(vms_per_group: u32, groups: u32, policy: RecoveryPolicy) -> FleetConfig {
    let model = ModelService {
        model: "drafting".parse().expect("a valid name"),
        version: "1".to_owned(),
        adapters: Vec::new(),
        vms_per_group,
        groups_by_failure_domain: BTreeMap::from([(
            "cumbaya".parse().expect("a valid name"),
            groups,
        )]),
        spare_vms_by_failure_domain: BTreeMap::new(),
        may_span_fabric_domains: false,
        routing: Vec::new(),
    };
    let service = "drafting-llm".parse().expect("a valid name");
    FleetConfig {
        services: BTreeMap::from([(service, Service::Model(model))]),
        recovery: RecoverySettings {
            policy,
            expected_return_ms: 3_000,
            weight_load_ms: 500,
            ..RecoverySettings::default()
        },
        ..FleetConfig::default()
    }
}

impl World {
    pub fn new(schedule: &Schedule, deliberate_fault: DeliberateFault) -> Self {
        let mut random = SmallRng::seed_from_u64(schedule.seed);
        let mut events = EventQueue::default();
        let spread = match deliberate_fault {
            DeliberateFault::ClocksBeyondError => 400,
            _ => 20,
        };
        let daemons = (0..schedule.daemons).map(|number| Daemon {
            id: format!("entry-{number}").parse().expect("a valid name"),
            core: None,
            instance: 0,
            paused: false,
            serving: BTreeMap::new(),
            rate_permille: random.random_range(1_000 - spread..=1_000 + spread),
            offset_ms: random.random_range(0..1_000_000),
            backlog: Vec::new(),
            last_answers: BTreeMap::new(),
        });
        let daemons: Vec<Daemon> = daemons.collect();
        let engines = (0..ENGINES).map(|number| {
            let ignores_tokens = schedule.ignores_tokens & (1 << number) != 0;
            Engine::new(number, 1_000 + number as u64, ignores_tokens, daemons.len())
        });
        let engines: Vec<Engine> = engines.collect();
        let policy = match schedule.seed % 3 {
            0 => RecoveryPolicy::AlwaysWait,
            1 => RecoveryPolicy::AlwaysRebuild,
            _ => RecoveryPolicy::LowestCost,
        };
        for daemon in 0..daemons.len() {
            events.add(random.random_range(0..200), Event::Start { daemon });
        }
        for engine in 0..ENGINES {
            events.add(random.random_range(0..500), Event::Announce { engine });
        }
        for (at_ms, fault) in &schedule.faults {
            events.add(*at_ms, Event::Fault(*fault));
        }
        Self {
            now_ms: 0,
            daemons,
            engines,
            deliberate_fault,
            events,
            random,
            instances_started: 0,
            partitions: Vec::new(),
            slow_until_ms: 0,
            unannounced: schedule.unannounced,
            revision: 1,
            config: config(2, 3, policy),
        }
    }

    /// Handles the next event; returns `false` at the end of the schedule.
    pub fn step(&mut self) -> bool {
        let Some((at_ms, event)) = self.events.next() else {
            return false;
        };
        if at_ms > LENGTH_MS {
            return false;
        }
        self.now_ms = at_ms;
        self.handle_event(event);
        true
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Fault(fault) => self.inject(fault),
            Event::Start { daemon } => self.start(daemon),
            Event::Wake { daemon, instance } => self.wake(daemon, instance),
            Event::Tick { daemon, instance } => self.tick(daemon, instance),
            Event::Message { from, to, message } => self.message(from, to, message),
            Event::Announce { engine } => self.announce(engine),
            Event::Announcement {
                engine,
                connection,
                daemon,
                body,
            } => self.announcement(engine, connection, daemon, body),
            Event::Answered {
                engine,
                connection,
                daemon,
            } => {
                let known = &mut self.engines[engine].connections[daemon];
                known.1 &= known.0 != connection;
            }
            Event::AnswerTimeout {
                engine,
                connection,
                daemon,
            } => {
                let known = &mut self.engines[engine].connections[daemon];
                if *known == (connection, true) {
                    *known = (connection + 1, false);
                }
            }
            Event::WriteCommand {
                daemon,
                instance,
                command,
            } => self.write_command(daemon, instance, command),
            Event::Command { engine, command } => self.command(engine, command),
            Event::Ready { engine, token } => self.engines[engine].become_ready(token),
            Event::WakeEngine { engine } => self.engines[engine].paused = false,
            Event::StartEngine { engine } => self.restart_engine(engine),
            Event::EndEngine { engine } => self.engines[engine].alive = false,
        }
    }

    /// Adds an event `after_ms` from now.
    fn schedule_after(&mut self, after_ms: u64, event: Event) {
        self.events.add(self.now_ms + after_ms, event);
    }

    fn delay_ms(&mut self) -> u64 {
        let is_slow = self.now_ms < self.slow_until_ms || self.random.random_ratio(1, 50);
        match is_slow {
            true => self.random.random_range(0..SLOWEST_MS),
            false => self.random.random_range(1..30),
        }
    }

    fn is_partitioned(&self, daemons: (usize, usize)) -> bool {
        let mut active = self
            .partitions
            .iter()
            .filter(|(until, _, _)| *until > self.now_ms);
        active.any(|(_, sides, _)| (sides >> daemons.0) & 1 != (sides >> daemons.1) & 1)
    }

    fn is_engine_partitioned(&self, daemon: usize, engine: usize) -> bool {
        let mut active = self
            .partitions
            .iter()
            .filter(|(until, _, _)| *until > self.now_ms);
        let vm = engine % ENGINES;
        active.any(|(_, daemons, engines)| (daemons >> daemon) & 1 != (engines >> vm) & 1)
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::PauseDaemon { daemon, length_ms } => {
                let daemon = daemon % self.daemons.len();
                let instance = self.daemons[daemon].instance;
                self.daemons[daemon].paused = true;
                self.daemons[daemon].serving.clear();
                self.schedule_after(length_ms, Event::Wake { daemon, instance });
            }
            Fault::CrashDaemon { daemon, length_ms } => {
                let daemon = daemon % self.daemons.len();
                let slot = &mut self.daemons[daemon];
                slot.core = None;
                slot.instance = 0;
                slot.paused = false;
                slot.serving.clear();
                slot.backlog.clear();
                slot.last_answers.clear();
                self.schedule_after(length_ms, Event::Start { daemon });
            }
            Fault::Partition {
                daemons,
                engines,
                length_ms,
            } => self
                .partitions
                .push((self.now_ms + length_ms, daemons, engines)),
            Fault::SlowNetwork { length_ms } => self.slow_until_ms = self.now_ms + length_ms,
            Fault::PauseEngine { engine, length_ms } => {
                self.engines[engine].paused = true;
                self.schedule_after(length_ms, Event::WakeEngine { engine });
            }
            Fault::CrashEngine { engine, length_ms } => {
                self.engines[engine].alive = false;
                self.schedule_after(length_ms, Event::StartEngine { engine });
            }
            Fault::MoveEngine { engine } => {
                let port = self.random.random_range(20_000..60_000);
                self.engines[engine].address.set_port(port);
            }
            Fault::DuplicateEngine {
                engine,
                length_ms,
                same_boot,
            } => self.duplicate_engine(engine, length_ms, same_boot),
            Fault::Regroup {
                vms_per_group,
                groups,
            } => self.send_new_config(config(vms_per_group, groups, self.config.recovery.policy)),
            Fault::Drain { engine } => {
                let mut config = self.config.clone();
                config.drained_vms = BTreeSet::from([self.engines[engine].vm.clone()]);
                self.send_new_config(config);
            }
        }
    }

    fn duplicate_engine(&mut self, engine: usize, length_ms: u64, same_boot: bool) {
        let mut second = self.engines[engine].clone();
        second
            .address
            .set_port(self.random.random_range(20_000..60_000));
        if !same_boot {
            second.boot = BootId(self.random.random());
        }
        for connection in &mut second.connections {
            *connection = (self.random.random::<u64>() >> 1, false);
        }
        self.engines.push(second);
        let engine = self.engines.len() - 1;
        self.schedule_after(1, Event::Announce { engine });
        self.schedule_after(length_ms, Event::EndEngine { engine });
    }

    fn send_new_config(&mut self, config: FleetConfig) {
        self.revision += 1;
        self.config = config;
        for daemon in 0..self.daemons.len() {
            let delay_ms = self.delay_ms();
            let message = Box::new(self.whole_config());
            let from = CONTROL.to_owned();
            self.schedule_after(
                delay_ms,
                Event::Message {
                    from,
                    to: daemon,
                    message,
                },
            );
        }
    }

    fn whole_config(&self) -> PeerMessage {
        PeerMessage::Config(ConfigUpdate {
            revision: Revision(self.revision),
            base: None,
            body: ConfigBody::Whole(Box::new(self.config.clone())),
        })
    }

    fn parameters(&self, daemon: usize, seed: u64) -> DomainParameters {
        let domain: FailureDomain = "cumbaya".parse().expect("a valid name");
        let control = CONTROL.parse().expect("a valid name");
        DomainParameters {
            daemon: self.daemons[daemon].id.clone(),
            failure_domain: domain.clone(),
            daemons: self
                .daemons
                .iter()
                .map(|daemon| daemon.id.clone())
                .collect(),
            control: BTreeMap::from([(control, domain)]),
            other_domains: BTreeMap::new(),
            timing: DomainTiming {
                leader_lease: Duration::from_millis(LEADER_LEASE_MS),
                heartbeat: Duration::from_millis(400),
                clock_rate_error: CLOCK_RATE_ERROR,
                settle: Duration::from_millis(1_500),
                upstream_lease: Duration::from_millis(UPSTREAM_LEASE_MS),
                announce_interval: Duration::from_millis(ANNOUNCE_MS),
            },
            seed,
        }
    }

    fn start(&mut self, daemon: usize) {
        if self.daemons[daemon].core.is_some() {
            return;
        }
        self.instances_started += 1;
        let instance = self.instances_started;
        let seed = self.random.random();
        let parameters = self.parameters(daemon, seed);
        let now = self.daemons[daemon].local_time(self.now_ms);
        let since = match self.deliberate_fault {
            DeliberateFault::VoterWithoutMemory => {
                Timestamp(now.0.saturating_sub(LEADER_LEASE_MS * 2))
            }
            _ => now,
        };
        let slot = &mut self.daemons[daemon];
        slot.core = Some(Coordinator::new(parameters, since));
        slot.instance = instance;
        self.schedule_after(1, Event::Tick { daemon, instance });
    }

    fn wake(&mut self, daemon: usize, instance: u64) {
        if self.daemons[daemon].instance != instance {
            return;
        }
        self.daemons[daemon].paused = false;
        let mut backlog = std::mem::take(&mut self.daemons[daemon].backlog);
        // A resumed process takes waiting events in no certain order.
        if self.random.random() {
            backlog.reverse();
        }
        for event in backlog {
            let delay_ms = self.random.random_range(0..20);
            self.schedule_after(delay_ms, event);
        }
    }

    /// Returns whether a daemon can act now; a suspended one gets the event once it resumes.
    fn is_awake(&mut self, daemon: usize, event: impl FnOnce() -> Event) -> bool {
        let slot = &mut self.daemons[daemon];
        if slot.core.is_some() && slot.paused {
            slot.backlog.push(event());
        }
        slot.core.is_some() && !slot.paused
    }

    fn tick(&mut self, daemon: usize, instance: u64) {
        if self.daemons[daemon].instance != instance
            || !self.is_awake(daemon, || Event::Tick { daemon, instance })
        {
            return;
        }
        self.schedule_after(TICK_MS, Event::Tick { daemon, instance });
        let now = self.daemons[daemon].local_time(self.now_ms);
        let core = self.daemons[daemon].core.as_mut();
        let actions = core.map(|core| core.tick(now)).unwrap_or_default();
        self.carry_out(daemon, actions);
    }

    fn message(&mut self, from: String, to: usize, message: Box<PeerMessage>) {
        let kept = (from.clone(), message.clone());
        let keep = || Event::Message {
            from: kept.0,
            to,
            message: kept.1,
        };
        if !self.is_awake(to, keep) {
            return;
        }
        let from: DaemonId = from.parse().expect("a valid name");
        let now = self.daemons[to].local_time(self.now_ms);
        let core = self.daemons[to].core.as_mut();
        let actions = core.map(|core| core.receive(&from, *message, now));
        self.carry_out(to, actions.unwrap_or_default());
    }

    /// Returns whether an engine announces itself to a daemon. Each engine does so to at least
    /// one.
    fn is_announced_to(&self, engine: usize, daemon: usize) -> bool {
        let is_heard = (self.unannounced >> ((engine + 3 * daemon) % 8)) & 1 == 0;
        is_heard || engine % self.daemons.len() == daemon
    }

    fn announce(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        self.schedule_after(ANNOUNCE_MS, Event::Announce { engine });
        if self.engines[engine].paused {
            return;
        }
        let body = self.engines[engine].announcement();
        for daemon in 0..self.daemons.len() {
            let (connection, is_waiting) = self.engines[engine].connections[daemon];
            if is_waiting || !self.is_announced_to(engine, daemon) {
                continue;
            }
            self.engines[engine].connections[daemon].1 = true;
            let timeout = Event::AnswerTimeout {
                engine,
                connection,
                daemon,
            };
            self.schedule_after(ANSWER_TIMEOUT_MS, timeout);
            if self.is_engine_partitioned(daemon, engine) {
                continue;
            }
            let delay_ms = self.delay_ms();
            let event = Event::Announcement {
                engine,
                connection,
                daemon,
                body: Box::new(body.clone()),
            };
            self.schedule_after(delay_ms, event);
        }
    }

    fn announcement(
        &mut self,
        engine: usize,
        connection: u64,
        daemon: usize,
        body: Box<cicadabend::upstream_api::Announcement>,
    ) {
        let kept = body.clone();
        let keep = || Event::Announcement {
            engine,
            connection,
            daemon,
            body: kept,
        };
        if !self.is_awake(daemon, keep) {
            return;
        }
        let slot = &mut self.daemons[daemon];
        let now = slot.local_time(self.now_ms);
        let made_after = slot.last_answers.insert((engine, connection), now);
        let source = Source::Direct { made_after };
        let core = slot.core.as_mut();
        let actions = core.and_then(|core| core.handle_announcement(*body, source, now).ok());
        self.carry_out(daemon, actions.unwrap_or_default());
        if !self.is_engine_partitioned(daemon, engine) {
            let delay_ms = self.delay_ms();
            let answered = Event::Answered {
                engine,
                connection,
                daemon,
            };
            self.schedule_after(delay_ms, answered);
        }
    }

    fn carry_out(&mut self, daemon: usize, actions: Vec<Action>) {
        let instance = self.daemons[daemon].instance;
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(daemon, &to, message),
                Action::Command(command) => {
                    let stalled = self.random.random_ratio(1, 10);
                    let longest_ms = if stalled { SLOWEST_MS } else { 5 };
                    let delay_ms = self.random.random_range(0..longest_ms);
                    let command = Box::new(command);
                    let event = Event::WriteCommand {
                        daemon,
                        instance,
                        command,
                    };
                    self.schedule_after(delay_ms, event);
                }
                Action::Publish => self.publish(daemon),
            }
        }
    }

    fn publish(&mut self, daemon: usize) {
        let deliberate_fault = self.deliberate_fault;
        let slot = &mut self.daemons[daemon];
        let now = slot.local_time(self.now_ms);
        let Some(core) = &slot.core else {
            return;
        };
        let groups = core.table().map(|table| table.groups.clone());
        let mut groups = groups.unwrap_or_default();
        if deliberate_fault == DeliberateFault::NoAnnouncementCheck {
            groups.retain(|group| group.admits_requests);
        } else {
            let replicas = core.snapshot(now).replicas;
            let admitted: BTreeSet<ReplicaId> = replicas.into_iter().map(|r| r.id).collect();
            groups.retain(|group| admitted.contains(&ReplicaId::Group(group.group.clone())));
        }
        let groups = groups.into_iter().map(|group| (group.group, group.members));
        slot.serving = groups.collect();
    }

    fn send(&mut self, daemon: usize, to: &DaemonId, message: PeerMessage) {
        if to.as_str() == CONTROL {
            if matches!(message, PeerMessage::ConfigRequest { .. }) {
                let delay_ms = self.delay_ms();
                let message = Box::new(self.whole_config());
                let from = CONTROL.to_owned();
                self.schedule_after(
                    delay_ms,
                    Event::Message {
                        from,
                        to: daemon,
                        message,
                    },
                );
            }
            return;
        }
        let to = self.daemons.iter().position(|daemon| daemon.id == *to);
        let Some(to) = to.filter(|to| !self.is_partitioned((daemon, *to))) else {
            return;
        };
        if self.random.random_ratio(1, 50) {
            return;
        }
        let copies = if self.random.random_ratio(1, 50) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay_ms = self.delay_ms();
            let event = Event::Message {
                from: self.daemons[daemon].id.to_string(),
                to,
                message: Box::new(message.clone()),
            };
            self.schedule_after(delay_ms, event);
        }
    }

    fn write_command(
        &mut self,
        daemon: usize,
        instance: u64,
        command: Box<cicadabend::domain::leader::AddressedCommand>,
    ) {
        let kept = command.clone();
        let keep = || Event::WriteCommand {
            daemon,
            instance,
            command: kept,
        };
        if self.daemons[daemon].instance != instance || !self.is_awake(daemon, keep) {
            return;
        }
        let now = self.daemons[daemon].local_time(self.now_ms);
        let core = self.daemons[daemon].core.as_ref();
        let permit = core.and_then(Coordinator::command_permit);
        let is_allowed = permit.is_some_and(|(epoch, until)| epoch == command.epoch && now < until);
        let is_receiver = |engine: &Engine| engine.alive && engine.address == command.address;
        let engine = self.engines.iter().position(is_receiver);
        let Some(engine) = engine.filter(|_| is_allowed) else {
            return;
        };
        if self.is_engine_partitioned(daemon, engine) {
            return;
        }
        // A suspension between the check of the permit and the write has the same effect as a
        // slow network.
        let delay_ms = self.delay_ms();
        let command = Box::new(command.command);
        self.schedule_after(delay_ms, Event::Command { engine, command });
    }

    fn command(&mut self, engine: usize, command: Box<cicadabend::upstream_api::Command>) {
        if !self.engines[engine].alive {
            return;
        }
        if self.engines[engine].paused {
            self.schedule_after(200, Event::Command { engine, command });
            return;
        }
        if let Some(token) = self.engines[engine].apply_command(*command) {
            let load_ms = self.random.random_range(0..1_000);
            let token = token.to_number();
            self.schedule_after(load_ms, Event::Ready { engine, token });
        }
    }

    fn restart_engine(&mut self, engine: usize) {
        let number = engine % ENGINES;
        let ignores_tokens = !self.engines[engine].state.checks_tokens;
        let boot = self.random.random::<u64>() >> 16;
        self.engines[engine] = Engine::new(number, boot, ignores_tokens, self.daemons.len());
        self.schedule_after(1, Event::Announce { engine });
    }
}
