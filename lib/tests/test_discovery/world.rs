//! Control and entry daemons with links between them that a test can cut.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use cicadabend::{
    discovery::{
        Action,
        ControlDiscovery,
        EntryDiscovery,
        EntryStatus,
        NewestRoutes, //
    },
    ids::Address,
    peer_api::{
        DaemonRole,
        MemberAddress,
        PeerMessage, //
    },
    prelude::*,
    quarantine::{
        Fingerprint,
        Observation,
        SuspectStatus,
        SuspectTable, //
    },
    rates::RateTable,
    registry::{
        InstanceId,
        Registration,
        UpstreamState, //
    },
    routes::RouteVersion,
};

/// The length of one step of the world.
const STEP_MS: u64 = 10;
/// How long a message is on its way.
const DELAY_MS: u64 = 10;
/// How often a control daemon's thread looks.
const CONTROL_TICK_MS: u64 = 50;
/// How often an entry daemon's thread looks.
const ENTRY_TICK_MS: u64 = 200;
/// How often an upstream reports.
const REPORT_EVERY_MS: u64 = 1_200;
/// The pause between a daemon's hellos.
const HELLO_EVERY: Duration = Duration::from_millis(400);

/// An upstream and the control daemon that it reports to.
struct Upstream {
    registration: Registration,
    reports_to: DaemonId,
    report_due_ms: u64,
}

/// A message on its way.
struct Letter {
    arrives_ms: u64,
    from: DaemonId,
    to: DaemonId,
    message: PeerMessage,
}

pub struct World {
    now_ms: u64,
    controls: BTreeMap<DaemonId, ControlDiscovery>,
    entries: BTreeMap<DaemonId, EntryDiscovery>,
    upstreams: BTreeMap<InstanceId, Upstream>,
    letters: Vec<Letter>,
    /// Links in one direction over which nothing arrives.
    cut: BTreeSet<(DaemonId, DaemonId)>,
    /// How many messages on upstreams each entry daemon has received.
    news_messages: BTreeMap<DaemonId, usize>,
    /// How many messages on crashes each entry daemon has received.
    crash_messages: BTreeMap<DaemonId, usize>,
    /// What each entry daemon judges requests by.
    suspects: BTreeMap<DaemonId, SuspectTable>,
    /// The rates in force at each entry daemon.
    rates: BTreeMap<DaemonId, RateTable>,
    /// How many messages on rates each entry daemon has received.
    rate_messages: BTreeMap<DaemonId, usize>,
}

pub fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

pub fn upstream(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn address(last_byte: usize) -> Address {
    ([10, 0, 0, u8::try_from(last_byte).unwrap()], 7000).into()
}

fn member(name: &str, role: DaemonRole, domain: &str, last_byte: usize) -> MemberAddress {
    MemberAddress {
        daemon: daemon(name),
        address: address(last_byte),
        role,
        failure_domain: domain.parse().unwrap(),
        operators: None,
        disk: None,
    }
}

impl World {
    /// Starts one control daemon and two entry daemons in each failure domain, named
    /// `control-DOMAIN`, `entry-DOMAIN-1` and `entry-DOMAIN-2`.
    pub fn new(domains: &[&str]) -> Self {
        let mut members = Vec::new();
        for domain in domains {
            let names = [
                (format!("control-{domain}"), DaemonRole::Control),
                (format!("entry-{domain}-1"), DaemonRole::Entry),
                (format!("entry-{domain}-2"), DaemonRole::Entry),
            ];
            for (name, role) in names {
                members.push(member(&name, role, domain, members.len() + 1));
            }
        }
        let is_control = |member: &&MemberAddress| member.role == DaemonRole::Control;
        let seeds: Vec<(DaemonId, Address)> = members
            .iter()
            .filter(is_control)
            .map(|member| (member.daemon.clone(), member.address))
            .collect();
        let mut world = Self {
            now_ms: 0,
            controls: BTreeMap::new(),
            entries: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            letters: Vec::new(),
            cut: BTreeSet::new(),
            news_messages: BTreeMap::new(),
            crash_messages: BTreeMap::new(),
            suspects: BTreeMap::new(),
            rates: BTreeMap::new(),
            rate_messages: BTreeMap::new(),
        };
        for me in members {
            let (name, seeds) = (me.daemon.clone(), seeds.clone());
            match me.role {
                DaemonRole::Control => {
                    let part = ControlDiscovery::new(me, seeds, HELLO_EVERY, true);
                    world.controls.insert(name, part);
                }
                DaemonRole::Entry => {
                    let part = EntryDiscovery::new(me, seeds, HELLO_EVERY);
                    world.entries.insert(name, part);
                }
            }
        }
        world
    }

    /// Adds an upstream that reports to one control daemon.
    pub fn add_upstream(&mut self, name: &str, reports_to: &str) {
        self.add_upstream_born(name, reports_to, 0);
    }

    /// Adds an upstream that tells when it started, in Unix milliseconds.
    pub fn add_upstream_born(&mut self, name: &str, reports_to: &str, born_ms: u64) {
        let number = self.upstreams.len() + 100;
        let registration = Registration {
            id: upstream(name).born_at(born_ms),
            service: "portal".parse().unwrap(),
            address: address(number),
            failure_domain: "a".parse().unwrap(),
            slots: Slots(4),
            state: UpstreamState::Ready,
            sequence: 0,
            engine: None,
        };
        let added = Upstream {
            registration,
            reports_to: daemon(reports_to),
            report_due_ms: self.now_ms,
        };
        self.upstreams.insert(upstream(name), added);
    }

    /// Has an upstream report to another control daemon from its next report on.
    pub fn report_elsewhere(&mut self, name: &str, reports_to: &str) {
        let upstream = self.upstreams.get_mut(&upstream(name)).unwrap();
        upstream.reports_to = daemon(reports_to);
    }

    /// Has an upstream report at once that it leaves.
    pub fn drain(&mut self, name: &str) {
        let upstream = self.upstreams.get_mut(&upstream(name)).unwrap();
        upstream.registration.state = UpstreamState::Draining;
        upstream.report_due_ms = self.now_ms;
    }

    /// Has an upstream report nothing for a while.
    pub fn pause_upstream(&mut self, name: &str, length_ms: u64) {
        let upstream = self.upstreams.get_mut(&upstream(name)).unwrap();
        upstream.report_due_ms = self.now_ms + length_ms;
    }

    /// Has an upstream say that it has left; it reports no more.
    pub fn leave(&mut self, name: &str) {
        let control = self.upstreams[&upstream(name)].reports_to.clone();
        self.leave_at(name, control.as_str());
    }

    /// Has an upstream say to this control daemon that it has left, by its name only.
    pub fn leave_at(&mut self, name: &str, control: &str) {
        self.upstreams.remove(&upstream(name)).unwrap();
        let control = self.controls.get_mut(&daemon(control)).unwrap();
        control.handle_upstream_leave(upstream(name), Timestamp(self.now_ms));
    }

    /// Starts a control daemon anew, with nothing in its memory.
    pub fn restart_control(&mut self, name: &str) {
        let control = self.controls.get_mut(&daemon(name)).unwrap();
        let me = control.members().me().clone();
        let seeds: Vec<(DaemonId, Address)> = control
            .members()
            .seeds()
            .map(|(daemon, address)| (daemon.clone(), address))
            .collect();
        *control = ControlDiscovery::new(me, seeds, HELLO_EVERY, true);
    }

    /// Starts an entry daemon anew, with nothing in its memory.
    pub fn restart_entry(&mut self, name: &str, domain: &str) {
        let controls = self.controls.values();
        let seeds: Vec<(DaemonId, Address)> = controls
            .map(|control| {
                let me = control.members().me();
                (me.daemon.clone(), me.address)
            })
            .collect();
        let me = member(name, DaemonRole::Entry, domain, 200);
        let part = EntryDiscovery::new(me, seeds, HELLO_EVERY);
        self.entries.insert(daemon(name), part);
        self.suspects.remove(&daemon(name));
        self.rates.remove(&daemon(name));
    }

    /// Has an entry daemon see an upstream end with a request, after as many crashes of it as it
    /// knows.
    pub fn crash(&mut self, entry: &str, fingerprint: Fingerprint) {
        let known = self.suspects.get(&daemon(entry));
        let known = known.and_then(|table| table.get(&fingerprint));
        let number = known.map_or(0, |known| known.crashes) + 1;
        self.observe(entry, fingerprint, Observation::Crashed(number));
    }

    /// Has an entry daemon see something of a request.
    pub fn observe(&mut self, entry: &str, fingerprint: Fingerprint, seen: Observation) {
        let name = daemon(entry);
        let part = self.entries.get_mut(&name).unwrap();
        part.observe(&[(fingerprint, seen)], Timestamp(self.now_ms));
        let actions = part.take_actions();
        self.act(&name, actions);
        self.read_suspects();
    }

    /// Returns the entry daemons at which a request is quarantined.
    pub fn refusing(&self, fingerprint: Fingerprint) -> Vec<DaemonId> {
        let now = Timestamp(self.now_ms);
        let refuses = |table: &SuspectTable| {
            let standing = table.suspect_status(&fingerprint, now);
            matches!(standing, SuspectStatus::Quarantined { .. })
        };
        let tables = self.suspects.iter().filter(|(_, table)| refuses(table));
        tables.map(|(name, _)| name.clone()).collect()
    }

    /// Returns how many messages on crashes have reached an entry daemon.
    pub fn crash_messages(&self, entry: &str) -> usize {
        let messages = self.crash_messages.get(&daemon(entry));
        messages.copied().unwrap_or_default()
    }

    /// Has an entry daemon get an answer that names a rate, or none, 20 ms after its request.
    pub fn answer(&mut self, entry: &str, name: &str, rate: Option<&str>) {
        let rate = rate.map(|rate| rate.parse().unwrap());
        let (now, daemon) = (Timestamp(self.now_ms), daemon(entry));
        let times = (Timestamp(self.now_ms - 20), now);
        let part = self.entries.get_mut(&daemon).unwrap();
        part.observe_rate(&upstream(name), rate, times, now);
        let actions = part.take_actions();
        self.act(&daemon, actions);
        self.read_rates();
    }

    /// Returns the entry daemons that know of a rate which an upstream names.
    pub fn knowing_rate(&self, name: &str) -> Vec<DaemonId> {
        let knows = |table: &RateTable| table.contains_key(&upstream(name));
        let tables = self.rates.iter().filter(|(_, table)| knows(table));
        tables.map(|(name, _)| name.clone()).collect()
    }

    /// Returns how many messages on rates have reached an entry daemon.
    pub fn rate_messages(&self, entry: &str) -> usize {
        let messages = self.rate_messages.get(&daemon(entry));
        messages.copied().unwrap_or_default()
    }

    fn read_rates(&mut self) {
        for (name, part) in &mut self.entries {
            if let Some(table) = part.changed_rates() {
                self.rates.insert(name.clone(), table);
            }
        }
    }

    fn read_suspects(&mut self) {
        for (name, part) in &mut self.entries {
            if let Some(table) = part.changed_suspects() {
                self.suspects.insert(name.clone(), table);
            }
        }
    }

    /// Cuts the links between two daemons.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Cuts the link from one daemon to another.
    pub fn cut_one_way(&mut self, from: &str, to: &str) {
        self.cut.insert((daemon(from), daemon(to)));
    }

    /// Mends all links.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Lets time pass.
    pub fn run(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Returns the entry daemons that would still send new work to an upstream.
    pub fn sending_to(&self, name: &str) -> Vec<DaemonId> {
        let sends = |part: &EntryDiscovery| {
            let run = part.registry().latest_instance_of(&upstream(name));
            let known = run.and_then(|run| part.registry().get(&run));
            known.is_some_and(|known| known.is_ready())
        };
        let entries = self.entries.iter().filter(|(_, part)| sends(part));
        entries.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the entry daemons that know an upstream.
    pub fn knowing(&self, name: &str) -> Vec<DaemonId> {
        let knows = |part: &EntryDiscovery| part.registry().get(&upstream(name)).is_some();
        let entries = self.entries.iter().filter(|(_, part)| knows(part));
        entries.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the longest time for which any entry daemon has heard nothing of an upstream.
    pub fn longest_silence(&self, name: &str) -> Option<Duration> {
        let now = Timestamp(self.now_ms);
        let silences = self.entries.values().map(|part| {
            let known = part.registry().get(&upstream(name))?;
            Some(known.silent_for(now))
        });
        silences.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Returns how many messages on upstreams have reached an entry daemon.
    pub fn news_messages(&self, entry: &str) -> usize {
        self.news_messages
            .get(&daemon(entry))
            .copied()
            .unwrap_or_default()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.report();
        self.deliver();
        self.tick();
        self.read_suspects();
        self.read_rates();
    }

    fn report(&mut self) {
        for upstream in self.upstreams.values_mut() {
            if self.now_ms < upstream.report_due_ms {
                continue;
            }
            upstream.report_due_ms = self.now_ms + REPORT_EVERY_MS;
            upstream.registration.sequence += 1;
            let control = self.controls.get_mut(&upstream.reports_to).unwrap();
            control.handle_upstream_report(upstream.registration.clone(), Timestamp(self.now_ms));
        }
    }

    fn deliver(&mut self) {
        let now = Timestamp(self.now_ms);
        let is_due = |letter: &Letter| letter.arrives_ms <= now.0;
        let (due, rest) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(is_due);
        self.letters = rest;
        for letter in due {
            if self.cut.contains(&(letter.from.clone(), letter.to.clone())) {
                continue;
            }
            if self.controls.contains_key(&letter.to) {
                self.deliver_to_control(letter, now);
            } else {
                self.deliver_to_entry(letter, now);
            }
        }
    }

    fn deliver_to_control(&mut self, letter: Letter, now: Timestamp) {
        let control = self.controls.get_mut(&letter.to).unwrap();
        match letter.message {
            PeerMessage::Hello(hello) => control.handle_hello_message(*hello, routes(), now),
            PeerMessage::Roster(news) => control.handle_members_message(&news, now),
            PeerMessage::Upstreams(news) => {
                control.handle_upstreams_message(&letter.from, *news, now);
            }
            PeerMessage::Crashes(news) => control.handle_crashes_message(&news, now),
            PeerMessage::Rates(news) => control.handle_rates_message(&news, now),
            other => panic!("a control daemon got {other:?}"),
        }
        let actions = control.take_actions();
        self.act(&letter.to, actions);
    }

    fn deliver_to_entry(&mut self, letter: Letter, now: Timestamp) {
        let entry = self.entries.get_mut(&letter.to).unwrap();
        match letter.message {
            PeerMessage::Roster(news) => {
                entry.handle_members_message(&letter.from, &news, now);
            }
            PeerMessage::Upstreams(news) => {
                *self.news_messages.entry(letter.to.clone()).or_default() += 1;
                entry.handle_upstreams_message(&letter.from, *news, now);
            }
            PeerMessage::Crashes(news) => {
                *self.crash_messages.entry(letter.to.clone()).or_default() += 1;
                entry.handle_crashes_message(&news, now);
            }
            PeerMessage::Rates(news) => {
                *self.rate_messages.entry(letter.to.clone()).or_default() += 1;
                entry.handle_rates_message(&news, now);
            }
            other => panic!("an entry daemon got {other:?}"),
        }
        let actions = entry.take_actions();
        self.act(&letter.to, actions);
    }

    fn tick(&mut self) {
        let now = Timestamp(self.now_ms);
        let mut done = Vec::new();
        if self.now_ms.is_multiple_of(CONTROL_TICK_MS) {
            for (name, control) in &mut self.controls {
                control.tick(routes(), now);
                done.push((name.clone(), control.take_actions()));
            }
        }
        if self.now_ms.is_multiple_of(ENTRY_TICK_MS) {
            for entry in self.entries.values_mut() {
                entry.tick(now);
            }
        }
        for (name, entry) in &mut self.entries {
            if entry.is_hello_due(now) {
                let status = EntryStatus {
                    routes: Some(RouteVersion(1)),
                    ..EntryStatus::default()
                };
                entry.send_hellos(status, now);
            }
            done.push((name.clone(), entry.take_actions()));
        }
        for (name, actions) in done {
            self.act(&name, actions);
        }
    }

    fn act(&mut self, from: &DaemonId, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send(to, message) = action {
                self.letters.push(Letter {
                    arrives_ms: self.now_ms + DELAY_MS,
                    from: from.clone(),
                    to,
                    message,
                });
            }
        }
    }
}

fn routes() -> NewestRoutes {
    NewestRoutes {
        version: Some(RouteVersion(1)),
        is_in_touch: true,
    }
}
