//! An entry daemon's part: it finds control daemons and takes in what they pass on.

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
    news,
    sources, //
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
        CrashUpdate,
        Fingerprint,
        Observation,
        SuspectTable, //
    },
    rates::{
        RateSpread,
        RateTable,
        RateUpdate, //
    },
    registry::{
        InstanceId,
        ReceivedReport,
        Registry, //
    },
    routes::RouteVersion,
};

/// The longest pause between greetings while this daemon has no routes or nobody to ask.
const HELLO_WHILE_LOST: Duration = Duration::from_millis(200);

/// What an entry daemon tells of itself when it says hello.
#[derive(Clone, Debug, Default)]
pub struct EntryStatus {
    /// The table of routes in force; `None` until one is known.
    pub routes: Option<RouteVersion>,
    /// Whether it has served a caller since its start.
    pub has_served: bool,
    /// How many requests each model has.
    pub demand: Vec<(ServiceName, ModelName, u32)>,
    /// Heads whose streams stand still.
    pub stalled: Vec<InstanceId>,
}

/// An entry daemon's part in discovery.
#[derive(Debug)]
pub struct EntryDiscovery {
    members: Members,
    hello_every: Duration,
    registry: Registry,
    /// The control daemons that pass on to this daemon what upstreams report.
    sources: Vec<DaemonId>,
    /// Sources all of whose knowledge was taken in since they were chosen.
    level_with: BTreeSet<DaemonId>,
    /// Whose reports each control daemon gets, by its own word.
    told_by: BTreeMap<DaemonId, BTreeSet<DaemonId>>,
    /// Which requests upstreams had when they ended.
    crashes: CrashSpread,
    /// The rates that upstreams name.
    rates: RateSpread,
    has_upstreams: bool,
    entries: u32,
    place: u32,
    hello_due: Timestamp,
    actions: Vec<Action>,
}

impl EntryDiscovery {
    /// Starts with nothing but seeds.
    pub fn new(
        me: MemberAddress,
        seeds: impl IntoIterator<Item = (DaemonId, Address)>,
        hello_every: Duration,
    ) -> Self {
        Self {
            crashes: CrashSpread::new(&me.daemon),
            members: Members::new(me, seeds, MembersSettings::default()),
            hello_every,
            registry: Registry::default(),
            sources: Vec::new(),
            level_with: BTreeSet::new(),
            told_by: BTreeMap::new(),
            rates: RateSpread::default(),
            has_upstreams: false,
            entries: 1,
            place: 0,
            hello_due: Timestamp::default(),
            actions: Vec::new(),
        }
    }

    /// Returns what is known of upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns whether all reports of upstreams were heard once.
    pub fn has_upstreams(&self) -> bool {
        self.has_upstreams
    }

    /// Returns how many entry daemons there are.
    pub fn entry_count(&self) -> u32 {
        self.entries
    }

    /// Returns where this daemon stands among all entry daemons by name, from zero on.
    pub fn entry_index(&self) -> u32 {
        self.place
    }

    /// Returns whether some control daemon passes reports on to this daemon.
    pub fn has_source(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Returns what is to be done; each action is returned once.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = (DaemonId, Address)>) {
        self.members.set_seeds(seeds);
    }

    /// Says hello at the next opportunity.
    pub fn schedule_hello(&mut self) {
        self.hello_due = Timestamp::default();
    }

    /// Returns whether it is time to say hello.
    pub fn is_hello_due(&self, now: Timestamp) -> bool {
        now >= self.hello_due
    }

    /// Takes a control daemon's answer to a hello; returns whether it had been unknown or
    /// silent.
    pub fn handle_members_message(
        &mut self,
        from: &DaemonId,
        news: &MembersUpdate,
        now: Timestamp,
    ) -> bool {
        let sender = news.controls.iter().find(|member| member.daemon == *from);
        let is_found =
            sender.is_some_and(|sender| self.members.record_contact(sender.clone(), now));
        if is_found {
            let learnt = DiscoveryEvent::DaemonFound(from.clone(), DaemonRole::Control);
            self.actions.push(Action::Log(learnt));
            // What was told while it was not in touch is lost.
            let crashes = news::crashes(self.crashes.own_update(now));
            let rates = news::rates(self.rates.all(now));
            self.send_each(std::slice::from_ref(from), crashes.into_iter().chain(rates));
        }
        self.members.handle_update(news, now);
        self.told_by.insert(from.clone(), news.told_by.clone());
        self.entries = news.entries.max(1);
        self.place = news.place;
        for control in &news.controls {
            let known = Action::AddPeer(control.daemon.clone(), control.address);
            self.actions.push(known);
        }
        is_found
    }

    /// Takes in what a control daemon passes on.
    pub fn handle_upstreams_message(
        &mut self,
        from: &DaemonId,
        news: UpstreamUpdate,
        now: Timestamp,
    ) {
        if news.is_all {
            self.level_with.insert(from.clone());
            self.has_upstreams = true;
        }
        for (registration, age_ms) in news.reports {
            let age = Duration::from_millis(age_ms.into());
            self.registry
                .handle_report(ReceivedReport { registration, age }, now);
        }
        for (alive, age_ms) in news.alive {
            let age = Duration::from_millis(age_ms.into());
            if !self.registry.touch(&alive, age, now) {
                self.level_with.remove(from);
            }
        }
        for (id, how) in news.ended {
            let run = self.registry.resolve_instance(&id);
            self.registry.end(&run, how, now);
        }
    }

    /// Takes in which requests upstreams had when they ended.
    pub fn handle_crashes_message(&mut self, news: &CrashUpdate, now: Timestamp) {
        let changes = self.crashes.handle_crash_update(news, now);
        self.log(changes.into_iter().map(DiscoveryEvent::Quarantine));
    }

    /// Notes what was seen here of requests, and tells control daemons at once.
    pub fn observe(&mut self, observations: &[(Fingerprint, Observation)], now: Timestamp) {
        let mut changes = Vec::new();
        for (fingerprint, observation) in observations {
            let change = self.crashes.observe(*fingerprint, *observation, now);
            changes.extend(change);
        }
        self.log(changes.into_iter().map(DiscoveryEvent::Quarantine));
        self.tell_controls(now);
    }

    /// Takes in what upstreams named in answers to other daemons.
    pub fn handle_rates_message(&mut self, news: &RateUpdate, now: Timestamp) {
        let changes = self.rates.handle_rate_update(news, false, now);
        self.log(changes.into_iter().map(DiscoveryEvent::Rate));
        self.tell_controls(now);
    }

    /// Notes what an upstream named in an answer that came here, and tells control daemons at
    /// once if it is new; the times are those of the request and of the answer.
    pub fn observe_rate(
        &mut self,
        id: &InstanceId,
        rate: Option<RequestRate>,
        times: (Timestamp, Timestamp),
        now: Timestamp,
    ) {
        let change = self.rates.observe(id, rate, times, now);
        self.log(change.into_iter().map(DiscoveryEvent::Rate));
        self.tell_controls(now);
    }

    /// Returns the rates in force, if they may have changed since the last time.
    pub fn changed_rates(&mut self) -> Option<RateTable> {
        self.rates.changed_table()
    }

    /// Returns the control daemons that are heard, the most useful first.
    pub fn controls(&self, now: Timestamp) -> Vec<DaemonId> {
        self.members.controls_by_preference(now)
    }

    /// Returns what requests are judged by, if it may have changed since the last time.
    pub fn changed_suspects(&mut self) -> Option<SuspectTable> {
        self.crashes.changed_table()
    }

    fn log(&mut self, learnt: impl Iterator<Item = DiscoveryEvent>) {
        self.actions.extend(learnt.map(Action::Log));
    }

    /// Tells control daemons of crashes and of named rates, as far as it is due.
    fn tell_controls(&mut self, now: Timestamp) {
        let crashes = news::crashes(self.crashes.take_due_update(now));
        let rates = news::rates(self.rates.take_due_update(now));
        let controls = self.members.controls_by_preference(now);
        self.send_each(&controls, crashes.into_iter().chain(rates));
    }

    fn send_each(&mut self, to: &[DaemonId], messages: impl Iterator<Item = PeerMessage>) {
        for message in messages {
            let sends = to
                .iter()
                .map(|daemon| Action::Send(daemon.clone(), message.clone()));
            self.actions.extend(sends);
        }
    }

    /// Drops what is too old to matter, and logs who has fallen silent.
    pub fn tick(&mut self, now: Timestamp) {
        self.registry.forget_old(now);
        self.crashes.forget_old(now);
        let registry = &self.registry;
        let forgotten = self.rates.forget(|id| registry.ended(id).is_some(), now);
        self.log(forgotten.into_iter().map(DiscoveryEvent::Rate));
        self.tell_controls(now);
        for (daemon, silence) in self.members.newly_silent(now) {
            let learnt = DiscoveryEvent::DaemonSilent(daemon, silence);
            self.actions.push(Action::Log(learnt));
        }
    }

    /// Says hello to all control daemons, after choosing whom to get reports from.
    pub fn send_hellos(&mut self, status: EntryStatus, now: Timestamp) {
        let is_lost = status.routes.is_none() || self.sources.is_empty();
        let pause = match is_lost {
            true => self.hello_every.min(HELLO_WHILE_LOST),
            false => self.hello_every,
        };
        self.hello_due = now + pause;
        self.choose_sources(now);
        for daemon in self.members.forget_old(now) {
            self.told_by.remove(&daemon);
            self.actions.push(Action::RemovePeer(daemon));
        }
        for (daemon, address) in self.members.hello_targets() {
            let hello = Hello {
                member: self.members.me().clone(),
                routes: status.routes.unwrap_or_default(),
                subscribes: self.sources.contains(&daemon),
                wants_all: !self.level_with.contains(&daemon),
                passes_on: false,
                has_served: status.has_served,
                demand: status.demand.clone(),
                stalled: status.stalled.clone(),
            };
            self.actions.push(Action::AddPeer(daemon.clone(), address));
            let message = PeerMessage::Hello(Box::new(hello));
            self.actions.push(Action::Send(daemon, message));
        }
    }

    fn choose_sources(&mut self, now: Timestamp) {
        let heard = self.members.controls_by_preference(now);
        let sources = sources::choose(&heard, &self.told_by);
        if sources == self.sources {
            return;
        }
        // What a source tells before it knows that it is one is lost.
        self.level_with.retain(|control| sources.contains(control));
        let learnt = DiscoveryEvent::SourcesChanged(sources.clone());
        self.actions.push(Action::Log(learnt));
        self.sources = sources;
    }
}
