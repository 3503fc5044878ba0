//! A control daemon's part: it takes reports in and passes them on.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    action::{
        Action,
        DiscoveryEvent, //
    },
    news::{
        self,
        Ends,
        Gathered, //
    },
};
use crate::{
    cluster::{
        Members,
        MembersSettings, //
    },
    ids::Address,
    peer_api::{
        DaemonRole,
        Hello,
        MemberAddress,
        MembersUpdate,
        PeerMessage,
        UpstreamUpdate, //
    },
    prelude::*,
    quarantine::{
        CrashSpread,
        CrashUpdate, //
    },
    rates::{
        RateSpread,
        RateTable,
        RateUpdate, //
    },
    registry::{
        Ended,
        InstanceId,
        ReceivedReport,
        Registration,
        Registry,
        ReportEffect, //
    },
    routes::RouteVersion,
};

/// How often signs of life are passed on; upstreams report every second or so.
const ALIVE_EVERY: Duration = Duration::from_millis(300);
/// How often the ends of runs are told again.
const ENDS_EVERY: Duration = Duration::from_millis(300);
/// How long an entry daemon may lack the newest routes before another control daemon
/// than its own sends them.
const ROUTES_OVERDUE: Duration = Duration::from_millis(700);

/// What this daemon knows of the replicated table of routes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NewestRoutes {
    /// The newest table it has applied; `None` before the first.
    pub version: Option<RouteVersion>,
    /// Whether it is in touch with a leader.
    pub is_in_touch: bool,
}

impl NewestRoutes {
    fn number(self) -> RouteVersion {
        self.version.unwrap_or_default()
    }
}

/// An entry daemon as its hellos show it.
#[derive(Debug)]
struct EntryDaemon {
    routes: RouteVersion,
    subscribes: bool,
    last_contact: Timestamp,
    demand: Vec<(ServiceName, ModelName, u32)>,
    /// The table that was sent last, and when.
    sent: Option<(RouteVersion, Timestamp)>,
    /// Since when it has lacked the newest table.
    behind_since: Option<Timestamp>,
}

/// A control daemon's part in discovery.
#[derive(Debug)]
pub struct ControlDiscovery {
    members: Members,
    hello_every: Duration,
    registry: Registry,
    entries: BTreeMap<DaemonId, EntryDaemon>,
    /// Reports that came to this daemon itself, for the other control daemons.
    own: Gathered,
    /// All reports, for the entry daemons that get them from here.
    all: Gathered,
    ends: Ends,
    /// Control daemons that pass their own reports on to this one.
    told_by: BTreeSet<DaemonId>,
    /// Control daemons all of whose knowledge was taken in since they were last found.
    ///
    /// Two that were apart have each missed what the other was told, and ends are told for
    /// [`news::ENDS_REPEATED_FOR`] only.
    level_with: BTreeSet<DaemonId>,
    /// Which requests upstreams had when they ended.
    crashes: CrashSpread,
    /// The rates that upstreams name.
    rates: RateSpread,
    /// Whether any caller has been served since the fleet's first start.
    has_served: bool,
    alive_due: Timestamp,
    ends_due: Timestamp,
    hello_due: Timestamp,
    actions: Vec<Action>,
}

impl ControlDiscovery {
    /// Starts with nothing but seeds.
    pub fn new(
        me: MemberAddress,
        seeds: impl IntoIterator<Item = (DaemonId, Address)>,
        hello_every: Duration,
        has_served: bool,
    ) -> Self {
        Self {
            crashes: CrashSpread::new(&me.daemon),
            rates: RateSpread::default(),
            members: Members::new(me, seeds, MembersSettings::default()),
            hello_every,
            registry: Registry::default(),
            entries: BTreeMap::new(),
            own: Gathered::default(),
            all: Gathered::default(),
            ends: Ends::default(),
            told_by: BTreeSet::new(),
            level_with: BTreeSet::new(),
            has_served,
            alive_due: Timestamp::default(),
            ends_due: Timestamp::default(),
            hello_due: Timestamp::default(),
            actions: Vec::new(),
        }
    }

    /// Returns who is there.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns what is known of upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns whether any caller has been served since the fleet's first start.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// Returns what is to be done; each action is returned once.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = (DaemonId, Address)>) {
        self.members.set_seeds(seeds);
    }

    /// Returns how many requests each model has at all entry daemons that are heard.
    pub fn demand(&self, now: Timestamp) -> BTreeMap<(ServiceName, ModelName), f64> {
        let mut sum: BTreeMap<(ServiceName, ModelName), f64> = BTreeMap::new();
        for (_, entry) in self.entries_here(now) {
            for (service, model, requests) in &entry.demand {
                let key = (service.clone(), model.clone());
                *sum.entry(key).or_default() += f64::from(*requests);
            }
        }
        sum
    }

    /// Takes a report that an upstream has sent to this daemon itself.
    pub fn handle_upstream_report(&mut self, registration: Registration, now: Timestamp) {
        let id = registration.id.clone();
        match self.take_report(registration, Duration::ZERO, now) {
            ReportEffect::New | ReportEffect::Changed => self.own.changed(id),
            ReportEffect::Refreshed => self.own.alive(id),
            ReportEffect::Stale => {}
        }
    }

    /// Takes an upstream's word to this daemon that it leaves; it gives its name only.
    pub fn handle_upstream_leave(&mut self, id: InstanceId, now: Timestamp) {
        let run = self.registry.resolve_instance(&id);
        self.end(&run, Ended::Left, now);
    }

    /// Takes another daemon's sign of life and answers it.
    pub fn handle_hello_message(&mut self, hello: Hello, routes: NewestRoutes, now: Timestamp) {
        let member = hello.member.clone();
        let daemon = member.daemon.clone();
        let role = member.role;
        self.know(&daemon, member.address);
        let was_known = self.members.silent_for(&daemon, now).is_some();
        if self.members.record_contact(member, now) {
            self.log(DiscoveryEvent::DaemonFound(daemon.clone(), role));
            if was_known {
                self.level_with.remove(&daemon);
            }
        }
        self.has_served |= hello.has_served;
        if role == DaemonRole::Entry {
            self.note_entry(&daemon, &hello, routes, now);
        }
        match hello.passes_on {
            true => self.told_by.insert(daemon.clone()),
            false => self.told_by.remove(&daemon),
        };
        self.send_roster(&daemon, routes, now);
        if hello.wants_all && (role == DaemonRole::Control || hello.subscribes) {
            let all = news::all(&self.registry, now);
            self.send(&daemon, PeerMessage::Upstreams(Box::new(all)));
            let crashes = news::crashes(self.crashes.all(now));
            let rates = news::rates(self.rates.all(now));
            for message in crashes.into_iter().chain(rates) {
                self.send(&daemon, message);
            }
        }
        self.send_routes(&daemon, routes, now);
    }

    fn note_entry(
        &mut self,
        daemon: &DaemonId,
        hello: &Hello,
        newest: NewestRoutes,
        now: Timestamp,
    ) {
        let known = self.entries.entry(daemon.clone());
        let known = known.or_insert(EntryDaemon {
            routes: hello.routes,
            subscribes: hello.subscribes,
            last_contact: now,
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
        known.last_contact = now;
        known.demand.clone_from(&hello.demand);
        match hello.routes < newest.number() {
            true => {
                known.behind_since.get_or_insert(now);
            }
            false => known.behind_since = None,
        }
    }

    fn send_roster(&mut self, to: &DaemonId, routes: NewestRoutes, now: Timestamp) {
        let me = self.members.me();
        let others = self.members.live_members(DaemonRole::Control, now).cloned();
        let controls = others.chain([me.clone()]).collect();
        let mut told_by = &self.controls_here(now) & &self.told_by;
        told_by.insert(me.daemon.clone());
        let entries = self.members.live_members(DaemonRole::Entry, now);
        let entries: Vec<&DaemonId> = entries.map(|entry| &entry.daemon).collect();
        let place = entries.iter().position(|entry| *entry == to);
        let news = MembersUpdate {
            controls,
            told_by,
            entries: u32::try_from(entries.len()).unwrap_or(u32::MAX),
            place: place
                .and_then(|place| u32::try_from(place).ok())
                .unwrap_or(0),
            routes: routes.number(),
            is_in_touch: routes.is_in_touch,
        };
        self.send(to, PeerMessage::Roster(Box::new(news)));
    }

    /// Sends the newest table to an entry daemon that lacks it and is this daemon's to serve.
    pub fn send_routes(&mut self, daemon: &DaemonId, routes: NewestRoutes, now: Timestamp) {
        let Some(newest) = routes.version else {
            return;
        };
        let Some(entry) = self.entries.get_mut(daemon) else {
            return;
        };
        if entry.routes >= newest {
            return;
        }
        let overdue = entry.behind_since.map(|since| now.since(since));
        let is_overdue = overdue.is_some_and(|overdue| overdue >= ROUTES_OVERDUE);
        if !entry.subscribes && !is_overdue {
            return;
        }
        let is_fresh = entry
            .sent
            .is_some_and(|(version, at)| version == newest && now.since(at) < ROUTES_OVERDUE);
        if is_fresh {
            return;
        }
        entry.sent = Some((newest, now));
        self.actions.push(Action::SendRoutes(daemon.clone()));
    }

    /// Takes in whom another control daemon hears.
    pub fn handle_members_message(&mut self, news: &MembersUpdate, now: Timestamp) {
        self.members.handle_update(news, now);
        for control in &news.controls {
            self.know(&control.daemon, control.address);
        }
    }

    /// Takes in what another control daemon was told by upstreams.
    pub fn handle_upstreams_message(
        &mut self,
        from: &DaemonId,
        news: UpstreamUpdate,
        now: Timestamp,
    ) {
        if news.is_all {
            self.level_with.insert(from.clone());
        }
        for (registration, age_ms) in news.reports {
            let age = Duration::from_millis(age_ms.into());
            self.take_report(registration, age, now);
        }
        for (alive, age_ms) in news.alive {
            let age = Duration::from_millis(age_ms.into());
            if !self.registry.touch(&alive, age, now) {
                self.level_with.remove(from);
            }
            self.all.alive(alive.id);
        }
        for (id, how) in news.ended {
            let run = self.registry.resolve_instance(&id);
            if self.registry.ended(&run).is_none() {
                self.end(&run, how, now);
            }
        }
    }

    /// Takes in which requests upstreams had when they ended.
    pub fn handle_crashes_message(&mut self, news: &CrashUpdate, now: Timestamp) {
        for change in self.crashes.handle_and_relay_crash_update(news, now) {
            self.log(DiscoveryEvent::Quarantine(change));
        }
    }

    /// Takes in what upstreams named in their answers.
    pub fn handle_rates_message(&mut self, news: &RateUpdate, now: Timestamp) {
        for change in self.rates.handle_rate_update(news, true, now) {
            self.log(DiscoveryEvent::Rate(change));
        }
        self.pass_news_on(now);
    }

    /// Returns the rates in force, if they may have changed since the last time.
    pub fn changed_rates(&mut self) -> Option<RateTable> {
        self.rates.changed_table()
    }

    /// Returns how many entry daemons are heard, and how many there are with those that fell
    /// silent a short while ago.
    pub fn entry_counts(&self, now: Timestamp) -> (usize, usize) {
        (self.entries_here(now).count(), self.entries.len())
    }

    fn take_report(
        &mut self,
        registration: Registration,
        age: Duration,
        now: Timestamp,
    ) -> ReportEffect {
        let report = registration.clone();
        let id = registration.id.clone();
        let ended_before = self.registry.all_ended().count();
        let taken = self
            .registry
            .handle_report(ReceivedReport { registration, age }, now);
        match taken {
            ReportEffect::New => {
                self.log(DiscoveryEvent::UpstreamFound(report));
                self.all.changed(id);
            }
            ReportEffect::Changed => {
                self.log(DiscoveryEvent::UpstreamChanged(report));
                self.all.changed(id);
            }
            ReportEffect::Refreshed => self.all.alive(id),
            ReportEffect::Stale => {}
        }
        if self.registry.all_ended().count() > ended_before {
            for (id, how) in self.registry.all_ended() {
                self.ends.note(id.clone(), how, now);
            }
            self.ends_due = now;
        }
        taken
    }

    fn end(&mut self, id: &InstanceId, how: Ended, now: Timestamp) {
        if self.registry.end(id, how, now) {
            self.log(DiscoveryEvent::UpstreamEnded(id.clone(), how));
        }
        self.ends.note(id.clone(), how, now);
        self.ends_due = now;
    }

    /// Does what is due.
    pub fn tick(&mut self, routes: NewestRoutes, now: Timestamp) {
        if now >= self.hello_due {
            self.hello_due = now + self.hello_every;
            self.send_hellos(routes, now);
            self.forget_old(now);
            self.log_silence(now);
        }
        self.pass_on(now);
        self.pass_news_on(now);
    }

    fn send_hellos(&mut self, routes: NewestRoutes, now: Timestamp) {
        let passed_on_to = self.controls_here(now);
        for (daemon, address) in self.members.hello_targets() {
            let hello = Hello {
                member: self.members.me().clone(),
                routes: routes.number(),
                subscribes: true,
                wants_all: !self.level_with.contains(&daemon),
                passes_on: passed_on_to.contains(&daemon),
                has_served: self.has_served,
                demand: Vec::new(),
                stalled: Vec::new(),
            };
            self.know(&daemon, address);
            self.send(&daemon, PeerMessage::Hello(Box::new(hello)));
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        for daemon in self.members.forget_old(now) {
            self.entries.remove(&daemon);
            self.told_by.remove(&daemon);
            self.level_with.remove(&daemon);
            self.actions.push(Action::RemovePeer(daemon));
        }
        self.crashes.forget_old(now);
        let registry = &self.registry;
        let forgotten = self.rates.forget(|id| registry.ended(id).is_some(), now);
        for change in forgotten {
            self.log(DiscoveryEvent::Rate(change));
        }
        for id in self.registry.forget_old(now) {
            self.log(DiscoveryEvent::UpstreamForgotten(id));
        }
    }

    fn log_silence(&mut self, now: Timestamp) {
        for (daemon, silence) in self.members.newly_silent(now) {
            self.log(DiscoveryEvent::DaemonSilent(daemon, silence));
        }
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
            for control in self.controls_here(now) {
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

    /// Passes on what is known of crashes and of named rates, as far as it is due.
    fn pass_news_on(&mut self, now: Timestamp) {
        let crashes = news::crashes(self.crashes.take_due_update(now));
        let rates = news::rates(self.rates.take_due_update(now));
        for message in crashes.into_iter().chain(rates) {
            let mut to = self.subscribers(now);
            to.extend(self.controls_here(now));
            for daemon in to {
                self.send(&daemon, message.clone());
            }
        }
    }

    /// Returns the control daemons that get this daemon's own reports.
    ///
    /// Those that are not heard get none: what waits for them during a cut would arrive at
    /// its end with an age that leaves out the wait, and dead upstreams would seem alive.
    fn controls_here(&self, now: Timestamp) -> BTreeSet<DaemonId> {
        let controls = self.members.live_members(DaemonRole::Control, now);
        controls.map(|member| member.daemon.clone()).collect()
    }

    /// Returns the entry daemons that get all reports from here.
    pub fn subscribers(&self, now: Timestamp) -> Vec<DaemonId> {
        let subscribed = self.entries_here(now).filter(|(_, entry)| entry.subscribes);
        subscribed.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Returns the entry daemons that were heard lately.
    fn entries_here(&self, now: Timestamp) -> impl Iterator<Item = (&DaemonId, &EntryDaemon)> {
        let limit = MembersSettings::default().silent_limit;
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| now.since(entry.last_contact) <= limit)
    }

    fn know(&mut self, daemon: &DaemonId, address: Address) {
        self.actions.push(Action::AddPeer(daemon.clone(), address));
    }

    fn send(&mut self, to: &DaemonId, message: PeerMessage) {
        self.actions.push(Action::Send(to.clone(), message));
    }

    fn log(&mut self, learnt: DiscoveryEvent) {
        self.actions.push(Action::Log(learnt));
    }
}
