//! A simulation of control and entry daemons, with links between them that a test can cut.
//!
//! Time advances in steps; messages are delivered after a fixed delay, unless their link is cut.

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
    reach::{
        LinkGroup,
        Relay,
        RelayKey,
        RelayOffer, //
    },
    registry::{
        InstanceId,
        Registration,
        UpstreamState, //
    },
    routes::RouteVersion,
};

/// The simulated time of one step.
const STEP_MS: u64 = 10;
/// The time from a message's sending to its delivery.
const DELAY_MS: u64 = 10;
/// The interval of a control daemon's tick.
const CONTROL_TICK_MS: u64 = 50;
/// The interval of an entry daemon's tick.
const ENTRY_TICK_MS: u64 = 200;
/// The interval of an upstream's reports.
const REPORT_INTERVAL_MS: u64 = 1_200;
/// The interval of a daemon's hellos.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);

/// An upstream and the control daemon that it reports to.
struct Upstream {
    registration: Registration,
    reports_to: DaemonId,
    report_due_ms: u64,
}

/// A message that has been sent and not yet delivered.
struct InFlightMessage {
    arrives_ms: u64,
    from: DaemonId,
    to: DaemonId,
    message: PeerMessage,
}

/// The simulated daemons, upstreams and links.
pub struct World {
    now_ms: u64,
    controls: BTreeMap<DaemonId, ControlDiscovery>,
    entries: BTreeMap<DaemonId, EntryDiscovery>,
    upstreams: BTreeMap<InstanceId, Upstream>,
    in_flight: Vec<InFlightMessage>,
    /// The cut links, each in one direction as (sender, receiver); their messages are lost.
    cut: BTreeSet<(DaemonId, DaemonId)>,
    /// The number of upstream updates that each entry daemon has received.
    upstream_messages: BTreeMap<DaemonId, usize>,
    /// The number of crash updates that each entry daemon has received.
    crash_messages: BTreeMap<DaemonId, usize>,
    /// Each entry daemon's last table of suspected requests.
    suspects: BTreeMap<DaemonId, SuspectTable>,
    /// Each entry daemon's last table of upstreams' request rates.
    rates: BTreeMap<DaemonId, RateTable>,
    /// The number of rate updates that each entry daemon has received.
    rate_messages: BTreeMap<DaemonId, usize>,
    /// What each entry daemon offers to relay; none if it has no entry.
    offers: BTreeMap<DaemonId, RelayOffer>,
    /// The relays that were last named to each entry daemon, and how often any were.
    relays: BTreeMap<DaemonId, (Vec<Relay>, usize)>,
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
            in_flight: Vec::new(),
            cut: BTreeSet::new(),
            upstream_messages: BTreeMap::new(),
            crash_messages: BTreeMap::new(),
            suspects: BTreeMap::new(),
            rates: BTreeMap::new(),
            rate_messages: BTreeMap::new(),
            offers: BTreeMap::new(),
            relays: BTreeMap::new(),
        };
        for me in members {
            let (name, seeds) = (me.daemon.clone(), seeds.clone());
            match me.role {
                DaemonRole::Control => {
                    let discovery = ControlDiscovery::new(me, seeds, HELLO_INTERVAL, true);
                    world.controls.insert(name, discovery);
                }
                DaemonRole::Entry => {
                    let discovery = EntryDiscovery::new(me, seeds, HELLO_INTERVAL);
                    world.entries.insert(name, discovery);
                }
            }
        }
        world
    }

    /// Adds an upstream that reports to one control daemon.
    pub fn add_upstream(&mut self, name: &str, reports_to: &str) {
        self.add_upstream_started_at(name, reports_to, 0);
    }

    /// Adds an upstream whose reports have a start time, in Unix milliseconds.
    pub fn add_upstream_started_at(&mut self, name: &str, reports_to: &str, born_ms: u64) {
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

    /// Makes an upstream send its next reports to this control daemon.
    pub fn report_to(&mut self, name: &str, reports_to: &str) {
        let upstream = self.upstreams.get_mut(&upstream(name)).unwrap();
        upstream.reports_to = daemon(reports_to);
    }

    /// Makes an upstream report at once that it is draining.
    pub fn start_draining(&mut self, name: &str) {
        let upstream = self.upstreams.get_mut(&upstream(name)).unwrap();
        upstream.registration.state = UpstreamState::Draining;
        upstream.report_due_ms = self.now_ms;
    }

    /// Makes an upstream send no reports for `length_ms`.
    pub fn pause_reports(&mut self, name: &str, length_ms: u64) {
        let upstream = self.upstreams.get_mut(&upstream(name)).unwrap();
        upstream.report_due_ms = self.now_ms + length_ms;
    }

    /// Makes an upstream announce its leaving to its control daemon, and removes it.
    pub fn announce_leaving(&mut self, name: &str) {
        let control = self.upstreams[&upstream(name)].reports_to.clone();
        self.announce_leaving_to(name, control.as_str());
    }

    /// Makes an upstream announce its leaving to this control daemon, without its start time, and
    /// removes it.
    pub fn announce_leaving_to(&mut self, name: &str, control: &str) {
        self.upstreams.remove(&upstream(name)).unwrap();
        let control = self.controls.get_mut(&daemon(control)).unwrap();
        control.handle_upstream_leave(upstream(name), Timestamp(self.now_ms));
    }

    /// Restarts a control daemon, which loses its state.
    pub fn restart_control(&mut self, name: &str) {
        let control = self.controls.get_mut(&daemon(name)).unwrap();
        let me = control.members().me().clone();
        let seeds: Vec<(DaemonId, Address)> = control
            .members()
            .seeds()
            .map(|(daemon, address)| (daemon.clone(), address))
            .collect();
        *control = ControlDiscovery::new(me, seeds, HELLO_INTERVAL, true);
    }

    /// Restarts an entry daemon, which loses its state.
    pub fn restart_entry(&mut self, name: &str, domain: &str) {
        let controls = self.controls.values();
        let seeds: Vec<(DaemonId, Address)> = controls
            .map(|control| {
                let me = control.members().me();
                (me.daemon.clone(), me.address)
            })
            .collect();
        let me = member(name, DaemonRole::Entry, domain, 200);
        let discovery = EntryDiscovery::new(me, seeds, HELLO_INTERVAL);
        self.entries.insert(daemon(name), discovery);
        self.suspects.remove(&daemon(name));
        self.rates.remove(&daemon(name));
    }

    /// Makes an entry daemon observe that an upstream crashed with this request; the crash gets the
    /// number after those that the daemon knows of.
    pub fn observe_crash(&mut self, entry: &str, fingerprint: Fingerprint) {
        let known = self.suspects.get(&daemon(entry));
        let known = known.and_then(|table| table.get(&fingerprint));
        let number = known.map_or(0, |known| known.crashes) + 1;
        self.observe(entry, fingerprint, Observation::Crashed(number));
    }

    /// Makes an entry daemon record an observation of a request.
    pub fn observe(&mut self, entry: &str, fingerprint: Fingerprint, seen: Observation) {
        let name = daemon(entry);
        let discovery = self.entries.get_mut(&name).unwrap();
        discovery.observe(&[(fingerprint, seen)], Timestamp(self.now_ms));
        let actions = discovery.take_actions();
        self.send_messages(&name, actions);
        self.read_suspects();
    }

    /// Returns the entry daemons at which a request is quarantined.
    pub fn daemons_refusing(&self, fingerprint: Fingerprint) -> Vec<DaemonId> {
        let now = Timestamp(self.now_ms);
        let refuses = |table: &SuspectTable| {
            let status = table.suspect_status(&fingerprint, now);
            matches!(status, SuspectStatus::Quarantined { .. })
        };
        let tables = self.suspects.iter().filter(|(_, table)| refuses(table));
        tables.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of crash updates that an entry daemon has received.
    pub fn crash_messages(&self, entry: &str) -> usize {
        let messages = self.crash_messages.get(&daemon(entry));
        messages.copied().unwrap_or_default()
    }

    /// Makes an entry daemon receive an answer that names a rate, or none, 20 ms after its request.
    pub fn observe_rate_in_answer(&mut self, entry: &str, name: &str, rate: Option<&str>) {
        let rate = rate.map(|rate| rate.parse().unwrap());
        let (now, daemon) = (Timestamp(self.now_ms), daemon(entry));
        let times = (Timestamp(self.now_ms - 20), now);
        let discovery = self.entries.get_mut(&daemon).unwrap();
        discovery.observe_rate(&upstream(name), rate, times, now);
        let actions = discovery.take_actions();
        self.send_messages(&daemon, actions);
        self.read_rates();
    }

    /// Returns the entry daemons that know a rate of this upstream.
    pub fn daemons_knowing_rate(&self, name: &str) -> Vec<DaemonId> {
        let knows = |table: &RateTable| table.contains_key(&upstream(name));
        let tables = self.rates.iter().filter(|(_, table)| knows(table));
        tables.map(|(name, _)| name.clone()).collect()
    }

    /// Has an entry daemon offer to relay requests, except for lost groups of links.
    pub fn offer_relay(&mut self, entry: &str, lost: Vec<LinkGroup>) {
        let offer = RelayOffer {
            address: address(1),
            key: RelayKey(1),
            lost,
        };
        self.offers.insert(daemon(entry), offer);
        let discovery = self.entries.get_mut(&daemon(entry));
        discovery.unwrap().schedule_hello();
    }

    /// Returns the relays that an entry daemon knows.
    pub fn relays(&self, entry: &str) -> &[Relay] {
        let known = self.relays.get(&daemon(entry));
        known.map_or(&[], |(relays, _)| relays)
    }

    /// Returns how often relays were named to an entry daemon.
    pub fn relay_messages(&self, entry: &str) -> usize {
        let known = self.relays.get(&daemon(entry));
        known.map_or(0, |(_, messages)| *messages)
    }

    /// Returns the number of rate updates that an entry daemon has received.
    pub fn rate_messages(&self, entry: &str) -> usize {
        let messages = self.rate_messages.get(&daemon(entry));
        messages.copied().unwrap_or_default()
    }

    fn read_rates(&mut self) {
        for (name, discovery) in &mut self.entries {
            if let Some(table) = discovery.changed_rates() {
                self.rates.insert(name.clone(), table);
            }
        }
    }

    fn read_suspects(&mut self) {
        for (name, discovery) in &mut self.entries {
            if let Some(table) = discovery.changed_suspects() {
                self.suspects.insert(name.clone(), table);
            }
        }
    }

    /// Cuts the link between two daemons in both directions.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Cuts the link from one daemon to another, in this direction only.
    pub fn cut_one_way(&mut self, from: &str, to: &str) {
        self.cut.insert((daemon(from), daemon(to)));
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Advances the simulated time by `length_ms`.
    pub fn run(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Returns the entry daemons that would send new requests to an upstream.
    pub fn daemons_sending_to(&self, name: &str) -> Vec<DaemonId> {
        let sends = |discovery: &EntryDiscovery| {
            let instance = discovery.registry().latest_instance_of(&upstream(name));
            let known = instance.and_then(|instance| discovery.registry().get(&instance));
            known.is_some_and(|known| known.is_ready())
        };
        let entries = self
            .entries
            .iter()
            .filter(|(_, discovery)| sends(discovery));
        entries.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the entry daemons that know an upstream.
    pub fn daemons_knowing(&self, name: &str) -> Vec<DaemonId> {
        let knows =
            |discovery: &EntryDiscovery| discovery.registry().get(&upstream(name)).is_some();
        let entries = self
            .entries
            .iter()
            .filter(|(_, discovery)| knows(discovery));
        entries.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the longest time since the last contact with an upstream, over all entry daemons;
    /// `None` if any of them doesn't know it.
    pub fn longest_silence(&self, name: &str) -> Option<Duration> {
        let now = Timestamp(self.now_ms);
        let silences = self.entries.values().map(|discovery| {
            let known = discovery.registry().get(&upstream(name))?;
            Some(known.silent_for(now))
        });
        silences.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Returns the number of upstream updates that an entry daemon has received.
    pub fn upstream_messages(&self, entry: &str) -> usize {
        self.upstream_messages
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
            upstream.report_due_ms = self.now_ms + REPORT_INTERVAL_MS;
            upstream.registration.sequence += 1;
            let control = self.controls.get_mut(&upstream.reports_to).unwrap();
            control.handle_upstream_report(upstream.registration.clone(), Timestamp(self.now_ms));
        }
    }

    fn deliver(&mut self) {
        let now = Timestamp(self.now_ms);
        let is_due = |delivery: &InFlightMessage| delivery.arrives_ms <= now.0;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(is_due);
        self.in_flight = rest;
        for delivery in due {
            if self
                .cut
                .contains(&(delivery.from.clone(), delivery.to.clone()))
            {
                continue;
            }
            if self.controls.contains_key(&delivery.to) {
                self.deliver_to_control(delivery, now);
            } else {
                self.deliver_to_entry(delivery, now);
            }
        }
    }

    fn deliver_to_control(&mut self, delivery: InFlightMessage, now: Timestamp) {
        let control = self.controls.get_mut(&delivery.to).unwrap();
        match delivery.message {
            PeerMessage::Hello(hello) => control.handle_hello_message(*hello, routes(), now),
            PeerMessage::Roster(update) => control.handle_members_message(&update, now),
            PeerMessage::Upstreams(update) => {
                control.handle_upstreams_message(&delivery.from, *update, now);
            }
            PeerMessage::Crashes(update) => control.handle_crashes_message(&update, now),
            PeerMessage::Rates(update) => control.handle_rates_message(&update, now),
            PeerMessage::RelayHello(hello) => {
                control.handle_relay_hello(&delivery.from, *hello, now);
            }
            other => panic!("a control daemon got {other:?}"),
        }
        let actions = control.take_actions();
        self.send_messages(&delivery.to, actions);
    }

    fn deliver_to_entry(&mut self, delivery: InFlightMessage, now: Timestamp) {
        let entry = self.entries.get_mut(&delivery.to).unwrap();
        match delivery.message {
            PeerMessage::Roster(update) => {
                entry.handle_members_message(&delivery.from, &update, now);
            }
            PeerMessage::Upstreams(update) => {
                *self
                    .upstream_messages
                    .entry(delivery.to.clone())
                    .or_default() += 1;
                entry.handle_upstreams_message(&delivery.from, *update, now);
            }
            PeerMessage::Crashes(update) => {
                *self.crash_messages.entry(delivery.to.clone()).or_default() += 1;
                entry.handle_crashes_message(&update, now);
            }
            PeerMessage::Rates(update) => {
                *self.rate_messages.entry(delivery.to.clone()).or_default() += 1;
                entry.handle_rates_message(&update, now);
            }
            PeerMessage::Relays(update) => {
                entry.handle_relays_message(update.digest);
                let known = self.relays.entry(delivery.to.clone()).or_default();
                *known = (update.relays, known.1 + 1);
            }
            other => panic!("an entry daemon got {other:?}"),
        }
        let actions = entry.take_actions();
        self.send_messages(&delivery.to, actions);
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
                    relay: self.offers.get(name).cloned(),
                    routes: Some(RouteVersion(1)),
                    ..EntryStatus::default()
                };
                entry.send_hellos(status, now);
            }
            done.push((name.clone(), entry.take_actions()));
        }
        for (name, actions) in done {
            self.send_messages(&name, actions);
        }
    }

    fn send_messages(&mut self, from: &DaemonId, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send(to, message) = action {
                self.in_flight.push(InFlightMessage {
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
