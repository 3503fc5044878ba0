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
    discovery::{
        Action,
        DiscoveryEvent,
        EntryDiscovery,
        EntryStatus, //
    },
    peer_api::{
        DaemonRole,
        MemberAddress,
        MembersUpdate,
        PeerMessage, //
    },
    prelude::*,
    quarantine::{
        Change,
        SuspectTable, //
    },
    rates::{
        PermitChanges,
        PermitClient,
        PermitSourceChange,
        RateChange,
        RateTable, //
    },
    registry::InstanceId,
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
    CrashNotice, changes,
    demand::Demand,
    events::LogEvent,
    permits::{
        Permits,
        RateNotice, //
    },
    view::{
        RoutedView,
        replicas, //
    },
};

/// How often the view is made anew although nothing has come: silence changes it, too.
const TICK: Duration = Duration::from_millis(200);
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
    /// Permits to send to upstreams that name a rate.
    pub(crate) permits: Permits,
    /// Whether a caller has been served.
    pub(crate) has_served: Arc<AtomicBool>,
    pub(crate) clock: Clock,
}

/// The duty of the thread `members`.
pub(crate) struct MembersThread {
    setup: MembersSetup,
    discovery: EntryDiscovery,
    routes: Option<Arc<RouteIndex>>,
    certain_until: Timestamp,
    was_certain: bool,
    /// Heads whose streams stand still here, and when that was noticed last.
    stalled: BTreeMap<InstanceId, Timestamp>,
    suspects: Arc<SuspectTable>,
    rates: Arc<RateTable>,
    client: PermitClient,
}

/// What the serving thread tells.
pub(crate) struct Notices {
    /// Heads whose streams stand still.
    pub(crate) stalls: Receiver<InstanceId>,
    /// Upstreams that ended.
    pub(crate) crashes: Receiver<CrashNotice>,
    /// What upstreams name.
    pub(crate) rates: Receiver<RateNotice>,
    /// A request waits for a permit.
    pub(crate) permit_waits: Receiver<()>,
}

impl MembersThread {
    /// Makes the duty; it starts with [`Self::run`].
    pub(crate) fn new(setup: MembersSetup) -> Self {
        let seeds = setup.seeds.current().to_vec();
        Self {
            discovery: EntryDiscovery::new(setup.me.clone(), seeds, setup.hello_every),
            routes: None,
            certain_until: Timestamp::default(),
            was_certain: false,
            stalled: BTreeMap::new(),
            suspects: Arc::default(),
            rates: Arc::default(),
            client: PermitClient::new(setup.me.daemon.clone()),
            setup,
        }
    }

    /// Runs until the peers' ring is closed or the process ends.
    pub(crate) async fn run(
        mut self,
        mut inbox: Receiver<Incoming>,
        mut notices: Notices,
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
                Some(id) = notices.stalls.next() => self.note_stall(id),
                Some(notice) = notices.crashes.next() => self.note_crash(&notice),
                Some(notice) = notices.rates.next() => self.note_rate(&notice),
                Some(()) = notices.permit_waits.next() => {}
                _ = tick.tick() => self.tick(),
                _ = ended.wait_for(|ended| *ended) => return,
            }
            for _ in 0..MOST_PER_TURN {
                match inbox.try_next() {
                    Some(incoming) => self.hear(incoming),
                    None => break,
                }
            }
            self.act();
            self.publish();
            self.ask_for_permits();
        }
    }

    fn now(&self) -> Timestamp {
        self.setup.clock.now()
    }

    /// Whether callers are refused because nobody has told the routes yet.
    fn is_lost(&self) -> bool {
        self.routes.is_none() || !self.discovery.has_source()
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
            self.discovery.schedule_hello();
            self.greet_if_due();
        }
    }

    /// Passes on at once what the serving thread has seen of upstreams that end.
    fn note_crash(&mut self, notice: &CrashNotice) {
        let now = self.now();
        self.discovery.observe(notice, now);
    }

    /// Passes on at once what an upstream has named, if it is new.
    fn note_rate(&mut self, (id, rate, times): &RateNotice) {
        let now = self.now();
        self.discovery.observe_rate(id, *rate, *times, now);
    }

    /// Asks for permits, if some upstream names a rate and it is time.
    fn ask_for_permits(&mut self) {
        if self.rates.is_empty() {
            return;
        }
        let now = self.now();
        let is_waiting = self.setup.permits.store().has_waiting_requests();
        if !self.client.is_request_due(is_waiting, now) {
            return;
        }
        let asks = self.setup.permits.store().take_demands();
        let (to, ask) = self
            .client
            .permit_request(asks, self.discovery.controls(now), now);
        for daemon in to {
            let message = PeerMessage::PermitAsk(Box::new(ask.clone()));
            self.setup.peers.send(&daemon, message);
        }
    }

    fn take_permits(&mut self, received: PermitChanges) {
        if let Some(change) = received.change {
            log_client(change);
        }
        let mut store = self.setup.permits.store();
        if let Some(shares) = received.shares {
            store.set_shares(shares);
        }
        if received.permits.is_empty() {
            return;
        }
        store.add(received.permits);
        drop(store);
        self.setup.permits.tell_added();
    }

    fn hear(&mut self, incoming: Incoming) {
        let now = self.now();
        match incoming.message {
            PeerMessage::Roster(news) => self.handle_members_message(&incoming.from, &news, now),
            PeerMessage::Routes(table) => self.take_routes(&incoming.from, *table),
            PeerMessage::Upstreams(news) => {
                self.discovery
                    .handle_upstreams_message(&incoming.from, *news, now);
            }
            PeerMessage::Crashes(news) => self.discovery.handle_crashes_message(&news, now),
            PeerMessage::Rates(news) => self.discovery.handle_rates_message(&news, now),
            PeerMessage::Permits(news) => {
                let received = self.client.handle_permit_update(&incoming.from, *news, now);
                self.take_permits(received);
            }
            // Other kinds are meant for control daemons.
            _ => {}
        }
    }

    fn handle_members_message(&mut self, from: &DaemonId, news: &MembersUpdate, now: Timestamp) {
        let is_found = self.discovery.handle_members_message(from, news, now);
        if is_found && self.is_lost() {
            self.discovery.schedule_hello();
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
        self.discovery.schedule_hello();
        self.greet_if_due();
    }

    fn tick(&mut self) {
        let now = self.now();
        self.greet_if_due();
        self.discovery.tick(now);
        let entries = self.discovery.entry_count();
        let own = self.client.tick(&self.rates, entries, now);
        self.take_permits(own);
        if self.was_certain && now >= self.certain_until {
            self.was_certain = false;
            let version = self.held().0;
            LogEvent::RoutesUncertain { version }.emit();
        }
    }

    fn greet_if_due(&mut self) {
        let now = self.now();
        if !self.discovery.is_hello_due(now) {
            return;
        }
        if let Some(seeds) = self.setup.seeds.changed(now) {
            self.discovery.set_seeds(seeds);
        }
        self.stalled.retain(|_, at| now.since(*at) < STALL_TOLD_FOR);
        let status = EntryStatus {
            routes: self.routes.as_ref().map(|routes| routes.version()),
            has_served: self.setup.has_served.load(Ordering::Relaxed),
            demand: self.setup.demand.counts().read(),
            stalled: self.stalled.keys().cloned().collect(),
        };
        self.discovery.send_hellos(status, now);
        self.act();
    }

    /// Does what discovery asks for.
    fn act(&mut self) {
        for action in self.discovery.take_actions() {
            match action {
                Action::AddPeer(daemon, address) => self.setup.peers.know(&daemon, address),
                Action::RemovePeer(daemon) => self.setup.peers.forget(&daemon),
                Action::Send(to, message) => self.setup.peers.send(&to, message),
                Action::Log(learnt) => log(learnt),
                // Only control daemons send tables.
                Action::SendRoutes(_) => {}
            }
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        let before = self.setup.view.load();
        let fresh = replicas(self.discovery.registry(), self.routes.as_deref(), now);
        let is_same = *before.replicas == fresh;
        if !is_same {
            changes::log(&before.replicas, &fresh, self.discovery.registry(), now);
        }
        let replicas = match is_same {
            true => Arc::clone(&before.replicas),
            false => Arc::new(fresh),
        };
        if let Some(suspects) = self.discovery.changed_suspects() {
            self.suspects = Arc::new(suspects);
        }
        if let Some(rates) = self.discovery.changed_rates() {
            self.rates = Arc::new(rates);
        }
        self.setup.view.store(Arc::new(RoutedView {
            routes: self.routes.clone(),
            certain_until: self.certain_until,
            has_upstreams: self.discovery.has_upstreams(),
            replicas,
            entries: self.discovery.entry_count(),
            place: self.discovery.entry_index(),
            suspects: Arc::clone(&self.suspects),
            rates: Arc::clone(&self.rates),
        }));
    }
}

fn log(learnt: DiscoveryEvent) {
    match learnt {
        DiscoveryEvent::DaemonFound(daemon, _) => LogEvent::ControlFound { daemon }.emit(),
        DiscoveryEvent::DaemonSilent(daemon, silence) => {
            let silent_ms = silence.as_millis();
            LogEvent::ControlSilent { daemon, silent_ms }.emit();
        }
        DiscoveryEvent::SourcesChanged(sources) => {
            let names: Vec<String> = sources.iter().map(DaemonId::to_string).collect();
            let daemon = match names.is_empty() {
                true => "none".to_owned(),
                false => names.join(" "),
            };
            LogEvent::SourceChanged { daemon }.emit();
        }
        DiscoveryEvent::Quarantine(change) => log_quarantine(&change),
        DiscoveryEvent::Rate(change) => log_rate(change),
        // What changes in the registry is logged by the replicas that come of it.
        DiscoveryEvent::UpstreamFound(_)
        | DiscoveryEvent::UpstreamChanged(_)
        | DiscoveryEvent::UpstreamEnded(..)
        | DiscoveryEvent::UpstreamForgotten(_) => {}
    }
}

fn log_rate(change: RateChange) {
    LogEvent::RateChanged {
        instance: change.id,
        rate: RequestRate::text(change.rate),
        before: RequestRate::text(change.before),
        age_ms: change.age_ms,
    }
    .emit();
}

fn log_client(change: PermitSourceChange) {
    match change {
        PermitSourceChange::Led { leader, term } => LogEvent::PermitsFrom { leader, term }.emit(),
        PermitSourceChange::Alone { entries } => LogEvent::PermitsOwn { entries }.emit(),
    }
}

fn log_quarantine(change: &Change) {
    match *change {
        Change::Quarantined {
            fingerprint,
            crashes,
            hold,
        } => LogEvent::RequestQuarantined {
            fingerprint,
            crashes,
            hold_ms: hold.as_millis(),
        }
        .emit(),
        Change::Cleared { fingerprint } => LogEvent::RequestCleared { fingerprint }.emit(),
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
