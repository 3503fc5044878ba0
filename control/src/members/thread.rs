//! Takes events, passes news on and acts as leader.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
};

use cicadabend::{
    fleet::Voter,
    grouping::{
        GroupingSettings,
        Order, //
    },
    peer_api::{
        DaemonRole,
        Hello,
        MemberAddress,
        PeerMessage,
        RosterNews,
        UpstreamNews, //
    },
    prelude::*,
    registry::{
        Ended,
        Heard,
        InstanceId,
        Registration,
        Registry,
        Taken, //
    },
    roster::{
        Members,
        MembersSettings, //
    },
    routes::RouteVersion,
};
use cicadabend_daemon::{
    clock::Clock,
    peers::{
        Incoming,
        PeerSender, //
    },
    ring::{
        Receiver,
        Sender, //
    },
    seeds::SeedWatch,
};
use tokio::{
    sync::watch,
    time::MissedTickBehavior, //
};

use super::{
    MembersEvent, SharedAddresses,
    events::LogEvent,
    leading::Leading,
    news::{
        self,
        Ends,
        Gathered, //
    },
};
use crate::replication::ReplicationHandle;

/// How often news is passed on and the leader looks at its groups.
const TICK: Duration = Duration::from_millis(50);
/// How often signs of life are passed on; upstreams report every second or so.
const ALIVE_EVERY: Duration = Duration::from_millis(300);
/// How often the ends of runs are told again.
const ENDS_EVERY: Duration = Duration::from_millis(300);
/// How long an entry daemon may lack the newest routes before another control daemon
/// than its own sends them.
const ROUTES_OVERDUE: Duration = Duration::from_millis(700);
/// How often the load of all entry daemons is summed.
const DEMAND_EVERY: Duration = Duration::from_millis(400);
/// What a new sum counts against the smoothed one; half is new after two seconds.
const DEMAND_NEW_WEIGHT: f64 = 0.13;
/// For how long an entry daemon's word that a head stands still counts.
const STALL_TOLD_FOR: Duration = Duration::from_millis(1_500);
/// The most events taken before the ticks get their turn.
const MOST_PER_TURN: usize = 256;

/// What the thread starts from.
pub(crate) struct MembersSetup {
    pub(crate) me: MemberAddress,
    pub(crate) disk: Voter,
    pub(crate) seeds: SeedWatch,
    pub(crate) hello_every: Duration,
    /// Whether this is the first start of the fleet.
    pub(crate) is_founding: bool,
    pub(crate) grouping: GroupingSettings,
    pub(crate) replication: ReplicationHandle,
    pub(crate) peers: PeerSender,
    pub(crate) orders: Sender<Order>,
    pub(crate) addresses: SharedAddresses,
    pub(crate) clock: Clock,
}

/// An entry daemon as its hellos show it.
struct EntryDaemon {
    routes: RouteVersion,
    subscribes: bool,
    heard_at: Timestamp,
    demand: Vec<(ServiceName, ModelName, u32)>,
    /// The table that was sent last, and when.
    sent: Option<(RouteVersion, Timestamp)>,
    /// Since when it has lacked the newest table.
    behind_since: Option<Timestamp>,
}

/// The duty of the thread `members`.
pub(crate) struct MembersThread {
    setup: MembersSetup,
    members: Members,
    registry: Registry,
    leading: Leading,
    entries: BTreeMap<DaemonId, EntryDaemon>,
    silent: BTreeSet<DaemonId>,
    /// Heads that stand still as entry daemons see them, and when that was last told.
    stalled: BTreeMap<InstanceId, Timestamp>,
    /// Reports that came to this daemon itself, for the other control daemons.
    own: Gathered,
    /// All reports, for the entry daemons that get them from here.
    all: Gathered,
    ends: Ends,
    wants_all: bool,
    /// Whether any caller has been served since the fleet's first start.
    has_served: bool,
    /// How many requests each model has at all entry daemons, smoothed.
    demand: BTreeMap<(ServiceName, ModelName), f64>,
    demand_due: Timestamp,
    spread: RouteVersion,
    alive_due: Timestamp,
    ends_due: Timestamp,
    hello_due: Timestamp,
}

impl MembersThread {
    /// Makes the duty; it starts with [`Self::run`].
    pub(crate) fn new(setup: MembersSetup) -> Self {
        let seeds = setup.seeds.current().to_vec();
        let members = Members::new(setup.me.clone(), seeds, MembersSettings::default());
        Self {
            members,
            registry: Registry::default(),
            leading: Leading::new(setup.grouping, setup.clock.now()),
            stalled: BTreeMap::new(),
            entries: BTreeMap::new(),
            silent: BTreeSet::new(),
            own: Gathered::default(),
            all: Gathered::default(),
            ends: Ends::default(),
            wants_all: true,
            // A fleet that was founded before has served.
            has_served: !setup.is_founding,
            demand: BTreeMap::new(),
            demand_due: Timestamp::default(),
            spread: RouteVersion::default(),
            alive_due: Timestamp::default(),
            ends_due: Timestamp::default(),
            hello_due: Timestamp::default(),
            setup,
        }
    }

    /// Runs until it is told that the process ends.
    ///
    /// The ring of events stays open: the thread `orders` puts answers into it for as
    /// long as this thread may give orders.
    pub(crate) async fn run(
        mut self,
        mut events: Receiver<MembersEvent>,
        mut ended: watch::Receiver<bool>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.next() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
                _ = ended.wait_for(|ended| *ended) => return,
            }
            for _ in 0..MOST_PER_TURN {
                match events.try_next() {
                    Some(event) => self.take(event),
                    None => break,
                }
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.setup.clock.now()
    }

    fn take(&mut self, event: MembersEvent) {
        let now = self.now();
        match event {
            MembersEvent::Peer(incoming) => self.hear(incoming, now),
            MembersEvent::Reported(registration) => {
                let id = registration.id.clone();
                let taken = self.take_report(*registration, Duration::ZERO, now);
                match taken {
                    Taken::New | Taken::Changed => self.own.changed(id),
                    Taken::Refreshed => self.own.alive(id),
                    Taken::Stale => {}
                }
            }
            MembersEvent::Left(id) => {
                // An upstream that leaves gives its name only.
                let run = self.registry.run_of(&id).unwrap_or(id);
                self.end(&run, Ended::Left, now);
            }
            MembersEvent::Answered(order, outcome) => {
                self.leading.answered(&order, outcome, now);
            }
        }
    }

    fn hear(&mut self, incoming: Incoming, now: Timestamp) {
        match incoming.message {
            PeerMessage::Hello(hello) => self.hear_hello(*hello, now),
            PeerMessage::Roster(news) => self.hear_roster(&news, now),
            PeerMessage::Upstreams(news) => self.hear_upstreams(*news, now),
            // The inbox hands over the kinds above only.
            _ => {}
        }
    }

    fn hear_hello(&mut self, hello: Hello, now: Timestamp) {
        let member = hello.member.clone();
        let daemon = member.daemon.clone();
        self.setup.peers.know(&daemon, member.address);
        let role = match member.role {
            DaemonRole::Control => "control",
            DaemonRole::Entry => "entry",
        };
        if self.members.heard(member, now) {
            self.silent.remove(&daemon);
            LogEvent::DaemonFound {
                daemon: daemon.clone(),
                role,
            }
            .emit();
        }
        self.has_served |= hello.has_served;
        for id in &hello.stalled {
            if self.stalled.insert(id.clone(), now).is_none() {
                LogEvent::HeadStalled {
                    instance: id.clone(),
                    by: daemon.clone(),
                }
                .emit();
            }
        }
        if hello.member.role == DaemonRole::Entry {
            self.note_entry(&daemon, &hello, now);
        }
        self.send_roster(&daemon, now);
        let is_control = hello.member.role == DaemonRole::Control;
        if hello.wants_all && (is_control || hello.subscribes) {
            let all = news::all(&self.registry, now);
            self.send(&daemon, PeerMessage::Upstreams(Box::new(all)));
        }
        self.send_routes(&daemon, now);
    }

    fn note_entry(&mut self, daemon: &DaemonId, hello: &Hello, now: Timestamp) {
        let newest = self.newest_routes();
        let known = self.entries.entry(daemon.clone());
        let known = known.or_insert(EntryDaemon {
            routes: hello.routes,
            subscribes: hello.subscribes,
            heard_at: now,
            demand: Vec::new(),
            sent: None,
            behind_since: None,
        });
        if hello.routes < known.routes {
            // It has been started anew; what it was sent before is gone.
            known.sent = None;
        }
        known.routes = hello.routes;
        known.subscribes = hello.subscribes;
        known.heard_at = now;
        known.demand.clone_from(&hello.demand);
        match hello.routes < newest {
            true => {
                known.behind_since.get_or_insert(now);
            }
            false => known.behind_since = None,
        }
    }

    fn send_roster(&self, to: &DaemonId, now: Timestamp) {
        let others = self.members.here(DaemonRole::Control, now).cloned();
        let controls = others.chain([self.setup.me.clone()]).collect();
        let entries = self.members.here(DaemonRole::Entry, now).count();
        let news = RosterNews {
            controls,
            entries: u32::try_from(entries).unwrap_or(u32::MAX),
            routes: self.newest_routes(),
            is_in_touch: self.setup.replication.status().leader.is_some(),
        };
        self.send(to, PeerMessage::Roster(Box::new(news)));
    }

    fn newest_routes(&self) -> RouteVersion {
        let state = self.setup.replication.local();
        state
            .routes()
            .map_or(RouteVersion::default(), |held| held.version)
    }

    /// Sends the newest table to an entry daemon that lacks it and is this daemon's to serve.
    fn send_routes(&mut self, daemon: &DaemonId, now: Timestamp) {
        let state = self.setup.replication.local();
        let Some(document) = state.routes() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(daemon) else {
            return;
        };
        if entry.routes >= document.version {
            return;
        }
        let overdue = entry.behind_since.map(|since| now.since(since));
        let is_overdue = overdue.is_some_and(|overdue| overdue >= ROUTES_OVERDUE);
        if !entry.subscribes && !is_overdue {
            return;
        }
        let is_fresh = entry.sent.is_some_and(|(version, at)| {
            version == document.version && now.since(at) < ROUTES_OVERDUE
        });
        if is_fresh {
            return;
        }
        entry.sent = Some((document.version, now));
        let table = Box::new(document.table.clone());
        self.send(daemon, PeerMessage::Routes(table));
    }

    fn hear_roster(&mut self, news: &RosterNews, now: Timestamp) {
        self.members.take_roster(news, now);
        for control in &news.controls {
            self.setup.peers.know(&control.daemon, control.address);
        }
    }

    fn hear_upstreams(&mut self, news: UpstreamNews, now: Timestamp) {
        if news.is_all {
            self.wants_all = false;
        }
        for (registration, age_ms) in news.reports {
            let age = Duration::from_millis(age_ms.into());
            self.take_report(registration, age, now);
        }
        for (alive, age_ms) in news.alive {
            let age = Duration::from_millis(age_ms.into());
            if !self.registry.touch(&alive, age, now) {
                self.wants_all = true;
            }
            self.all.alive(alive.id);
        }
        for (id, how) in news.ended {
            if self.registry.ended(&id).is_none() {
                self.end(&id, how, now);
            }
        }
    }

    fn take_report(&mut self, registration: Registration, age: Duration, now: Timestamp) -> Taken {
        let heard = Heard { registration, age };
        let id = heard.registration.id.clone();
        let ended_before = self.registry.all_ended().count();
        let report = heard.registration.clone();
        let taken = self.registry.take(heard, now);
        match taken {
            Taken::New => {
                LogEvent::UpstreamFound {
                    instance: id.clone(),
                    service: report.service.clone(),
                    address: report.address,
                    sequence: report.sequence,
                }
                .emit();
                self.all.changed(id);
            }
            Taken::Changed => {
                log_change(&report);
                self.all.changed(id);
            }
            Taken::Refreshed => self.all.alive(id),
            Taken::Stale => {}
        }
        if self.registry.all_ended().count() > ended_before {
            let ended: Vec<(InstanceId, Ended)> = self
                .registry
                .all_ended()
                .map(|(id, how)| (id.clone(), how))
                .collect();
            for (id, how) in ended {
                self.ends.note(id, how, now);
            }
            self.ends_due = now;
        }
        taken
    }

    fn end(&mut self, id: &InstanceId, how: Ended, now: Timestamp) {
        if self.registry.end(id, how, now) {
            LogEvent::UpstreamEnded {
                instance: id.clone(),
                how: format!("{how:?}"),
            }
            .emit();
        }
        self.ends.note(id.clone(), how, now);
        self.ends_due = now;
    }

    fn tick(&mut self) {
        let now = self.now();
        if now >= self.hello_due {
            self.hello_due = now + self.setup.hello_every;
            self.greet(now);
            self.housekeep(now);
        }
        self.weigh_demand(now);
        self.pass_on(now);
        self.spread_routes(now);
        self.lead(now);
    }

    /// Sums what the entry daemons tell of their models' load, and smooths it.
    fn weigh_demand(&mut self, now: Timestamp) {
        if now < self.demand_due {
            return;
        }
        self.demand_due = now + DEMAND_EVERY;
        let limit = MembersSettings::default().silent_limit;
        let mut sum: BTreeMap<(ServiceName, ModelName), f64> = BTreeMap::new();
        let entries = self.entries.values();
        for entry in entries.filter(|entry| now.since(entry.heard_at) <= limit) {
            for (service, model, requests) in &entry.demand {
                let key = (service.clone(), model.clone());
                *sum.entry(key).or_default() += f64::from(*requests);
            }
        }
        for (key, requests) in &sum {
            let smooth = self.demand.entry(key.clone()).or_insert(*requests);
            *smooth += (requests - *smooth) * DEMAND_NEW_WEIGHT;
        }
        for (key, smooth) in &mut self.demand {
            if !sum.contains_key(key) {
                *smooth *= 1.0 - DEMAND_NEW_WEIGHT;
            }
        }
    }

    fn greet(&mut self, now: Timestamp) {
        if let Some(seeds) = self.setup.seeds.changed(now) {
            self.members.set_seeds(seeds);
        }
        let hello = Hello {
            member: self.setup.me.clone(),
            routes: self.newest_routes(),
            subscribes: true,
            wants_all: self.wants_all,
            has_served: self.has_served,
            demand: Vec::new(),
            stalled: Vec::new(),
        };
        for (daemon, address) in self.members.to_greet() {
            self.setup.peers.know(&daemon, address);
            self.send(&daemon, PeerMessage::Hello(Box::new(hello.clone())));
        }
    }

    fn housekeep(&mut self, now: Timestamp) {
        for daemon in self.members.forget_old(now) {
            self.setup.peers.forget(&daemon);
            self.entries.remove(&daemon);
        }
        for id in self.registry.forget_old(now) {
            let how = "Silent".to_owned();
            LogEvent::UpstreamEnded { instance: id, how }.emit();
        }
        self.log_silence(now);
        self.publish_addresses(now);
    }

    fn log_silence(&mut self, now: Timestamp) {
        let limit = MembersSettings::default().silent_limit;
        let daemons: Vec<DaemonId> = self.members.to_greet().into_keys().collect();
        for daemon in daemons.into_iter().chain(self.entries.keys().cloned()) {
            let Some(silence) = self.members.silent_for(&daemon, now) else {
                continue;
            };
            if silence > limit && self.silent.insert(daemon.clone()) {
                let silent_ms = silence.as_millis();
                LogEvent::DaemonSilent { daemon, silent_ms }.emit();
            }
        }
    }

    fn publish_addresses(&self, now: Timestamp) {
        let controls = self.members.here(DaemonRole::Control, now);
        let addresses =
            controls.filter_map(|member| Some((member.daemon.clone(), member.operators?)));
        self.setup.addresses.store(Arc::new(addresses.collect()));
    }

    fn pass_on(&mut self, now: Timestamp) {
        let with_alive = now >= self.alive_due;
        if with_alive {
            self.alive_due = now + ALIVE_EVERY;
        }
        let mut ended = Vec::new();
        if now >= self.ends_due {
            self.ends_due = now + ENDS_EVERY;
            ended = self.ends.still_told(now);
        }
        let mut own = self.own.take(&self.registry, with_alive, now);
        own.ended.clone_from(&ended);
        let mut all = self.all.take(&self.registry, with_alive, now);
        all.ended = ended;
        if !news::is_empty(&own) {
            let controls: Vec<DaemonId> = self
                .members
                .here(DaemonRole::Control, now)
                .map(|member| member.daemon.clone())
                .collect();
            for control in controls {
                self.send(&control, PeerMessage::Upstreams(Box::new(own.clone())));
            }
        }
        if news::is_empty(&all) {
            return;
        }
        for daemon in self.subscribers(now) {
            self.send(&daemon, PeerMessage::Upstreams(Box::new(all.clone())));
        }
    }

    fn subscribers(&self, now: Timestamp) -> Vec<DaemonId> {
        let limit = MembersSettings::default().silent_limit;
        let entries = self.entries.iter();
        let here =
            entries.filter(|(_, entry)| entry.subscribes && now.since(entry.heard_at) <= limit);
        here.map(|(daemon, _)| daemon.clone()).collect()
    }

    fn spread_routes(&mut self, now: Timestamp) {
        let newest = self.newest_routes();
        if newest <= self.spread {
            return;
        }
        self.spread = newest;
        let daemons = self.subscribers(now);
        LogEvent::RoutesSpreading {
            version: newest.0,
            daemons: daemons.len(),
        }
        .emit();
        for daemon in daemons {
            self.send_routes(&daemon, now);
        }
    }

    fn lead(&mut self, now: Timestamp) {
        self.leading.follow(&self.setup.replication, now);
        let state = self.setup.replication.local();
        if let Some(document) = state.routes() {
            self.stalled.retain(|_, at| now.since(*at) < STALL_TOLD_FOR);
            let stalled: BTreeSet<InstanceId> = self.stalled.keys().cloned().collect();
            let table = &document.table;
            let is_prelude = !self.has_served;
            let orders = self.leading.orders(
                table,
                &self.registry,
                &stalled,
                &self.demand,
                is_prelude,
                now,
            );
            for order in orders {
                // A full ring loses the order; it counts as unanswered and comes again.
                let _ = self.setup.orders.push(order);
            }
        }
        let me = &self.setup.disk;
        let change = self
            .leading
            .voters(me, &self.members, &self.setup.replication, now);
        if let Some(command) = change {
            let replication = self.setup.replication.clone();
            // What comes of it shows in the log's state; it is proposed again if need be.
            tokio::task::spawn_local(async move { replication.propose(command).await.ok() });
        }
    }

    fn send(&self, to: &DaemonId, message: PeerMessage) {
        self.setup.peers.send(to, message);
    }
}

fn log_change(report: &Registration) {
    LogEvent::UpstreamChanged {
        instance: report.id.clone(),
        sequence: report.sequence,
        state: format!("{:?}", report.state),
        group: match report.group() {
            Some(group) => format!(
                "{} epoch {} rank {} {:?}",
                group.group, group.epoch, group.rank, group.state
            ),
            None => "none".to_owned(),
        },
    }
    .emit();
}
