//! Takes what control daemons tell and publishes the view.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration, //
};

use arc_swap::ArcSwap;
use cicadabend::{
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
        Heard,
        InstanceId,
        Registry, //
    },
    roster::{
        Members,
        MembersSettings, //
    },
    routes::{
        RouteIndex,
        RouteTable,
        RouteVersion, //
    },
};
use cicadabend_daemon::{
    clock::Clock,
    peers::{
        Incoming,
        PeerSender, //
    },
    ring::Receiver,
    seeds::SeedWatch,
};
use tokio::{
    sync::watch,
    time::MissedTickBehavior, //
};

use super::{
    changes,
    demand::Demand,
    events::LogEvent,
    view::{
        RoutedView,
        replicas, //
    },
};

/// How often the view is made anew although nothing has come: silence changes it, too.
const TICK: Duration = Duration::from_millis(200);
/// The longest pause between greetings while this daemon has no routes or nobody to ask.
const HELLO_WHILE_LOST: Duration = TICK;
/// How long a control daemon's word that the routes are the newest holds.
const CERTAIN_FOR: Duration = Duration::from_millis(1_400);
/// For how long a head that stands still is told of.
const STALL_TOLD_FOR: Duration = Duration::from_millis(1_000);
/// The most messages taken before the view is made anew.
const MOST_PER_TURN: usize = 256;

/// What the thread starts from.
pub(crate) struct MembersSetup {
    pub(crate) me: MemberAddress,
    pub(crate) seeds: SeedWatch,
    pub(crate) hello_every: Duration,
    pub(crate) peers: PeerSender,
    pub(crate) view: Arc<ArcSwap<RoutedView>>,
    /// How many requests each model has here.
    pub(crate) demand: Demand,
    /// Whether a caller has been served.
    pub(crate) has_served: Arc<AtomicBool>,
    pub(crate) clock: Clock,
}

/// The duty of the thread `members`.
pub(crate) struct MembersThread {
    setup: MembersSetup,
    members: Members,
    registry: Registry,
    routes: Option<Arc<RouteIndex>>,
    certain_until: Timestamp,
    was_certain: bool,
    wants_all: bool,
    has_upstreams: bool,
    entries: u32,
    source: Option<DaemonId>,
    /// Heads whose streams stand still here, and when that was noticed last.
    stalled: BTreeMap<InstanceId, Timestamp>,
    hello_due: Timestamp,
}

impl MembersThread {
    /// Makes the duty; it starts with [`Self::run`].
    pub(crate) fn new(setup: MembersSetup) -> Self {
        let seeds = setup.seeds.current().to_vec();
        Self {
            members: Members::new(setup.me.clone(), seeds, MembersSettings::default()),
            registry: Registry::default(),
            routes: None,
            certain_until: Timestamp::default(),
            was_certain: false,
            wants_all: true,
            has_upstreams: false,
            entries: 1,
            source: None,
            stalled: BTreeMap::new(),
            hello_due: Timestamp::default(),
            setup,
        }
    }

    /// Runs until the peers' ring is closed or the process ends.
    pub(crate) async fn run(
        mut self,
        mut inbox: Receiver<Incoming>,
        mut stalls: Receiver<InstanceId>,
        mut ended: watch::Receiver<bool>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                incoming = inbox.next() => match incoming {
                    Some(incoming) => self.hear(incoming),
                    None => return,
                },
                Some(id) = stalls.next() => self.note_stall(id),
                _ = tick.tick() => self.tick(),
                _ = ended.wait_for(|ended| *ended) => return,
            }
            for _ in 0..MOST_PER_TURN {
                match inbox.try_next() {
                    Some(incoming) => self.hear(incoming),
                    None => break,
                }
            }
            self.publish();
        }
    }

    fn now(&self) -> Timestamp {
        self.setup.clock.now()
    }

    /// Whether callers are refused because nobody has told the routes yet.
    fn is_lost(&self) -> bool {
        self.routes.is_none() || self.source.is_none()
    }

    fn held(&self) -> RouteVersion {
        let routes = self.routes.as_ref();
        routes.map_or(RouteVersion::default(), |routes| routes.version())
    }

    /// Passes on at once that a head stands still, if that is news.
    fn note_stall(&mut self, id: InstanceId) {
        let now = self.now();
        let before = self.stalled.insert(id, now);
        if before.is_none_or(|at| now.since(at) >= STALL_TOLD_FOR) {
            self.hello_due = Timestamp::default();
            self.greet_if_due();
        }
    }

    fn hear(&mut self, incoming: Incoming) {
        let now = self.now();
        match incoming.message {
            PeerMessage::Roster(news) => self.hear_roster(&incoming.from, &news, now),
            PeerMessage::Routes(table) => self.take_routes(&incoming.from, *table),
            PeerMessage::Upstreams(news) => self.hear_upstreams(*news, now),
            // Other kinds are meant for control daemons.
            _ => {}
        }
    }

    fn hear_roster(&mut self, from: &DaemonId, news: &RosterNews, now: Timestamp) {
        let sender = news.controls.iter().find(|member| member.daemon == *from);
        if let Some(sender) = sender
            && self.members.heard(sender.clone(), now)
        {
            let daemon = from.clone();
            LogEvent::ControlFound { daemon }.emit();
            if self.is_lost() {
                self.hello_due = Timestamp::default();
            }
        }
        self.members.take_roster(news, now);
        self.entries = news.entries.max(1);
        for control in &news.controls {
            self.setup.peers.know(&control.daemon, control.address);
        }
        self.greet_if_due();
        if news.is_in_touch && self.routes.is_some() && news.routes <= self.held() {
            self.certain_until = now + CERTAIN_FOR;
            if !self.was_certain {
                self.was_certain = true;
                let version = self.held().0;
                let by = from.clone();
                LogEvent::RoutesCertain { version, by }.emit();
            }
        }
    }

    /// Takes a table only if it is newer: what was in force once never comes back.
    fn take_routes(&mut self, from: &DaemonId, table: RouteTable) {
        let held = self.held();
        let version = table.version;
        if self.routes.is_some() && version <= held {
            LogEvent::RoutesStale {
                version: version.0,
                held: held.0,
                from: from.clone(),
            }
            .emit();
            return;
        }
        self.routes = Some(Arc::new(RouteIndex::new(Arc::new(table))));
        LogEvent::RoutesInForce {
            version: version.0,
            before: held.0,
            from: from.clone(),
        }
        .emit();
        // The sender learns at once that it need not be sent again.
        self.hello_due = Timestamp::default();
        self.greet_if_due();
    }

    fn hear_upstreams(&mut self, news: UpstreamNews, now: Timestamp) {
        if news.is_all {
            self.wants_all = false;
            self.has_upstreams = true;
        }
        for (registration, age_ms) in news.reports {
            let age = Duration::from_millis(age_ms.into());
            self.registry.take(Heard { registration, age }, now);
        }
        for (alive, age_ms) in news.alive {
            let age = Duration::from_millis(age_ms.into());
            if !self.registry.touch(&alive, age, now) {
                self.wants_all = true;
            }
        }
        for (id, how) in news.ended {
            self.registry.end(&id, how, now);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.greet_if_due();
        self.registry.forget_old(now);
        if self.was_certain && now >= self.certain_until {
            self.was_certain = false;
            let version = self.held().0;
            LogEvent::RoutesUncertain { version }.emit();
        }
    }

    fn greet_if_due(&mut self) {
        let now = self.now();
        if now < self.hello_due {
            return;
        }
        let pause = self.setup.hello_every;
        self.hello_due = now
            + match self.is_lost() {
                true => pause.min(HELLO_WHILE_LOST),
                false => pause,
            };
        if let Some(seeds) = self.setup.seeds.changed(now) {
            self.members.set_seeds(seeds);
        }
        for daemon in self.members.forget_old(now) {
            self.setup.peers.forget(&daemon);
        }
        self.choose_source(now);
        self.stalled.retain(|_, at| now.since(*at) < STALL_TOLD_FOR);
        let stalled: Vec<InstanceId> = self.stalled.keys().cloned().collect();
        let demand = self.setup.demand.read();
        for (daemon, address) in self.members.to_greet() {
            let hello = Hello {
                member: self.setup.me.clone(),
                routes: self.held(),
                subscribes: self.source.as_ref() == Some(&daemon),
                wants_all: self.wants_all,
                has_served: self.setup.has_served.load(Ordering::Relaxed),
                demand: demand.clone(),
                stalled: stalled.clone(),
            };
            self.setup.peers.know(&daemon, address);
            let message = PeerMessage::Hello(Box::new(hello));
            self.setup.peers.send(&daemon, message);
        }
    }

    fn choose_source(&mut self, now: Timestamp) {
        let source = self.members.source(now).map(|member| member.daemon.clone());
        if source == self.source {
            return;
        }
        // What the earlier source was telling when it fell silent may be lost.
        self.wants_all = true;
        LogEvent::SourceChanged {
            daemon: source
                .as_ref()
                .map_or("none".to_owned(), DaemonId::to_string),
        }
        .emit();
        self.source = source;
    }

    fn publish(&mut self) {
        let now = self.now();
        let before = self.setup.view.load();
        let fresh = replicas(&self.registry, self.routes.as_deref(), now);
        let is_same = *before.replicas == fresh;
        if !is_same {
            changes::log(&before.replicas, &fresh, &self.registry, now);
        }
        let replicas = match is_same {
            true => Arc::clone(&before.replicas),
            false => Arc::new(fresh),
        };
        self.setup.view.store(Arc::new(RoutedView {
            routes: self.routes.clone(),
            certain_until: self.certain_until,
            has_upstreams: self.has_upstreams,
            replicas,
            entries: self.entries,
        }));
    }
}

/// Returns this daemon as others are told of it.
pub(crate) fn me(
    daemon: DaemonId,
    address: cicadabend::ids::Address,
    failure_domain: FailureDomain,
) -> MemberAddress {
    MemberAddress {
        daemon,
        address,
        role: DaemonRole::Entry,
        failure_domain,
        operators: None,
        disk: None,
    }
}
