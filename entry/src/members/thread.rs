//! The main loop of the thread `members`: handles messages of control daemons and notices of the
//! serving thread, and publishes the view.

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
        PartChange,
        PartId,
        PartTable,
        SuspectTable, //
    },
    rates::{
        PermitChanges,
        PermitClient,
        PermitSourceChange,
        RateChange,
        RateTable, //
    },
    reach::{
        LinkGroup,
        Relay,
        RelayOffer,
        RelayUpdate, //
    },
    registry::InstanceId,
    retry_budget::{
        BudgetSettings,
        GrantClient,
        GrantUpdate, //
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
    CrashNotice, changes,
    demand::Demand,
    events::LogEvent,
    grants::Grants,
    permits::{
        Permits,
        RateNotice, //
    },
    view::{
        RoutedView,
        usable_replicas, //
    },
};

/// How often the view is computed anew even without a message, since silence changes it, too.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a control daemon's confirmation that the routes are the newest stays valid.
const ROUTES_CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_400);
/// How long this daemon keeps reporting a stalled group head after noticing the stall last.
const STALL_REPORT_VALIDITY: Duration = Duration::from_millis(1_000);
/// The maximum number of messages handled before the view is computed anew.
const MAX_MESSAGES_PER_BATCH: usize = 256;

/// The settings and connections with which the thread starts.
pub(crate) struct MembersSetup {
    pub(crate) me: MemberAddress,
    pub(crate) seeds: SeedWatch,
    pub(crate) hello_every: Duration,
    pub(crate) peers: PeerSender,
    pub(crate) view: Arc<ArcSwap<RoutedView>>,
    /// The number of requests per model at this daemon.
    pub(crate) demand: Demand,
    /// The permits for sending requests to upstreams with a rate limit.
    pub(crate) permits: Permits,
    /// The retries that the leader grants from the slack.
    pub(crate) grants: Grants,
    pub(crate) retry_budget: BudgetSettings,
    /// This daemon's offer to relay requests; `None` if it takes none.
    pub(crate) relay: Option<RelayOffer>,
    /// Whether this daemon has served a caller; set by the serving thread.
    pub(crate) has_served: Arc<AtomicBool>,
    pub(crate) clock: Clock,
}

/// The state of the thread `members`.
pub(crate) struct MembersThread {
    setup: MembersSetup,
    discovery: EntryDiscovery,
    routes: Option<Arc<RouteIndex>>,
    /// When the last confirmation that the routes are the newest ends.
    certain_until: Timestamp,
    was_certain: bool,
    /// The group heads whose streams make no progress here, with the time of the last notice.
    stalled: BTreeMap<InstanceId, Timestamp>,
    suspects: Arc<SuspectTable>,
    suspect_parts: Arc<PartTable>,
    rates: Arc<RateTable>,
    relays: Arc<Vec<Relay>>,
    client: PermitClient,
    grant_client: GrantClient,
}

/// The rings of notices from the serving thread.
pub(crate) struct Notices {
    /// Group heads whose streams make no progress.
    pub(crate) stalls: Receiver<InstanceId>,
    /// Observations about requests whose upstreams crashed.
    pub(crate) crashes: Receiver<CrashNotice>,
    /// Rate limits that upstreams' answers named.
    pub(crate) rates: Receiver<RateNotice>,
    /// Wakes the thread when requests have begun to wait for a permit or a grant; a full ring drops
    /// entries, since one is enough.
    pub(crate) waits: Receiver<()>,
    /// All groups of links to upstreams that are lost, after each change.
    pub(crate) lost_groups: Receiver<Vec<LinkGroup>>,
}

impl MembersThread {
    /// Creates the state of the thread; [`Self::run`] starts its work.
    pub(crate) fn new(setup: MembersSetup) -> Self {
        let seeds = setup.seeds.current().to_vec();
        Self {
            discovery: EntryDiscovery::new(setup.me.clone(), seeds, setup.hello_every),
            routes: None,
            certain_until: Timestamp::default(),
            was_certain: false,
            stalled: BTreeMap::new(),
            suspects: Arc::default(),
            suspect_parts: Arc::default(),
            rates: Arc::default(),
            relays: Arc::default(),
            client: PermitClient::new(setup.me.daemon.clone()),
            grant_client: GrantClient::new(setup.retry_budget),
            setup,
        }
    }

    /// Runs until the ring of peer messages is closed or the process ends.
    pub(crate) async fn run(
        mut self,
        mut inbox: Receiver<Incoming>,
        mut notices: Notices,
        mut ended: watch::Receiver<bool>,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                incoming = inbox.next() => match incoming {
                    Some(incoming) => self.handle_message(incoming),
                    None => return,
                },
                Some(id) = notices.stalls.next() => self.record_stall(id),
                Some(notice) = notices.crashes.next() => self.record_crash(&notice),
                Some(notice) = notices.rates.next() => self.record_rate(&notice),
                Some(()) = notices.waits.next() => {}
                Some(lost) = notices.lost_groups.next() => self.record_lost_groups(lost),
                _ = tick.tick() => self.tick(),
                _ = ended.wait_for(|ended| *ended) => return,
            }
            for _ in 0..MAX_MESSAGES_PER_BATCH {
                match inbox.try_next() {
                    Some(incoming) => self.handle_message(incoming),
                    None => break,
                }
            }
            self.perform_actions();
            self.publish();
            self.request_permits();
            self.request_grants();
        }
    }

    fn now(&self) -> Timestamp {
        self.setup.clock.now()
    }

    /// Returns whether this daemon has no routes or no control daemon that sends it updates.
    ///
    /// Callers may be refused meanwhile, so the next hello must not wait for its interval.
    fn lacks_control(&self) -> bool {
        self.routes.is_none() || !self.discovery.has_source()
    }

    fn routes_version(&self) -> RouteVersion {
        let routes = self.routes.as_ref();
        routes.map_or(RouteVersion::default(), |routes| routes.version())
    }

    /// Records a stalled group head; a stall that is not being reported yet is sent at once.
    fn record_stall(&mut self, id: InstanceId) {
        let now = self.now();
        let before = self.stalled.insert(id, now);
        if before.is_none_or(|at| now.since(at) >= STALL_REPORT_VALIDITY) {
            self.discovery.schedule_hello();
            self.greet_if_due();
        }
    }

    /// Records the groups of links that are lost, so that others choose other relays at once.
    fn record_lost_groups(&mut self, lost: Vec<LinkGroup>) {
        if let Some(offer) = &mut self.setup.relay {
            offer.lost = lost;
            self.discovery.schedule_hello();
            self.greet_if_due();
        }
    }

    /// Passes the serving thread's observations about crashes to discovery, which sends them to the
    /// control daemons.
    fn record_crash(&mut self, notice: &CrashNotice) {
        let now = self.now();
        match notice {
            CrashNotice::Requests(observations) => self.discovery.observe(observations, now),
            CrashNotice::Parts(report) => self.discovery.observe_crashed_parts(report, now),
            CrashNotice::Answered(part, sent_at) => {
                self.discovery.observe_answered_part(*part, *sent_at, now);
            }
        }
    }

    /// Passes a rate limit that an upstream named to discovery, which sends a changed one to the
    /// control daemons.
    fn record_rate(&mut self, (id, rate, times): &RateNotice) {
        let now = self.now();
        self.discovery.observe_rate(id, *rate, *times, now);
    }

    /// Requests permits if any upstream has a rate limit and a request is due.
    fn request_permits(&mut self) {
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

    /// Requests retries from the slack if a request is due.
    fn request_grants(&mut self) {
        let now = self.now();
        let is_in_reach = self.grant_client.is_leader_in_reach(now);
        let demands = {
            let mut store = self.setup.grants.store();
            store.set_leader_in_reach(is_in_reach);
            store.demands(now)
        };
        if !self.grant_client.is_request_due(!demands.is_empty(), now) {
            return;
        }
        let controls = self.discovery.controls(now);
        if controls.is_empty() {
            return;
        }
        let (to, request) = self.grant_client.request(demands, controls, now);
        for daemon in to {
            let message = PeerMessage::GrantRequest(Box::new(request.clone()));
            self.setup.peers.send(&daemon, message);
        }
    }

    /// Stores granted retries, and wakes the requests that wait for them.
    fn handle_grants(&mut self, from: &DaemonId, update: GrantUpdate) {
        let now = self.now();
        let Some(expires_at) = self.grant_client.handle_update(from, &update, now) else {
            return;
        };
        self.setup
            .grants
            .store()
            .handle_update(update, expires_at, now);
        self.setup.grants.notify_filled();
    }

    /// Stores received permits and shares, and wakes the requests that wait for permits.
    fn add_permits(&mut self, received: PermitChanges) {
        if let Some(change) = received.change {
            log_permit_source(change);
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
        self.setup.permits.notify_filled();
    }

    fn handle_message(&mut self, incoming: Incoming) {
        let now = self.now();
        match incoming.message {
            PeerMessage::Roster(update) => self.handle_members_update(&incoming.from, &update, now),
            PeerMessage::Routes(table) => self.replace_routes(&incoming.from, *table),
            PeerMessage::Upstreams(update) => {
                self.discovery
                    .handle_upstreams_message(&incoming.from, *update, now);
            }
            PeerMessage::Crashes(update) => self.discovery.handle_crashes_message(&update, now),
            PeerMessage::Parts(update) => self.discovery.handle_parts_message(&update, now),
            PeerMessage::Rates(update) => self.discovery.handle_rates_message(&update, now),
            PeerMessage::Permits(update) => {
                let received = self
                    .client
                    .handle_permit_update(&incoming.from, *update, now);
                self.add_permits(received);
            }
            PeerMessage::Grants(update) => self.handle_grants(&incoming.from, *update),
            PeerMessage::Relays(update) => self.replace_relays(*update),
            // All other kinds are for control daemons.
            _ => {}
        }
    }

    /// Handles an update of the cluster members, which may also confirm that the routes in use are
    /// the newest.
    fn handle_members_update(&mut self, from: &DaemonId, update: &MembersUpdate, now: Timestamp) {
        let is_found = self.discovery.handle_members_message(from, update, now);
        if is_found && self.lacks_control() {
            self.discovery.schedule_hello();
        }
        self.greet_if_due();
        if update.is_in_touch && self.routes.is_some() && update.routes <= self.routes_version() {
            self.certain_until = now + ROUTES_CONFIRMATION_VALIDITY;
            if !self.was_certain {
                self.was_certain = true;
                let version = self.routes_version().0;
                let by = from.clone();
                LogEvent::RoutesCertain { version, by }.emit();
            }
        }
    }

    /// Replaces the table of routes if the received one is newer; an older one is dropped.
    fn replace_routes(&mut self, from: &DaemonId, table: RouteTable) {
        let held = self.routes_version();
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
        // An early hello tells the sender that the table has arrived, so that the sender does not
        // send it again.
        self.discovery.schedule_hello();
        self.greet_if_due();
    }

    fn replace_relays(&mut self, update: RelayUpdate) {
        self.discovery.handle_relays_message(update.digest);
        self.relays = Arc::new(update.relays);
    }

    fn tick(&mut self) {
        let now = self.now();
        self.greet_if_due();
        self.discovery.tick(now);
        let entries = self.discovery.entry_count();
        let own = self.client.tick(&self.rates, entries, now);
        self.add_permits(own);
        if self.was_certain && now >= self.certain_until {
            self.was_certain = false;
            let version = self.routes_version().0;
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
        self.stalled
            .retain(|_, at| now.since(*at) < STALL_REPORT_VALIDITY);
        let status = EntryStatus {
            routes: self.routes.as_ref().map(|routes| routes.version()),
            has_served: self.setup.has_served.load(Ordering::Relaxed),
            demand: self.setup.demand.counts().read(),
            stalled: self.stalled.keys().cloned().collect(),
            relay: self.setup.relay.clone(),
        };
        self.discovery.send_hellos(status, now);
        self.perform_actions();
    }

    /// Carries out the actions that discovery has queued.
    fn perform_actions(&mut self) {
        for action in self.discovery.take_actions() {
            match action {
                Action::AddPeer(daemon, address) => self.setup.peers.know(&daemon, address),
                Action::RemovePeer(daemon) => self.setup.peers.forget(&daemon),
                Action::Send(to, message) => self.setup.peers.send(&to, message),
                Action::Log(event) => log_discovery_event(event),
                // Only control daemons send tables of routes.
                Action::SendRoutes(_) => {}
            }
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        let before = self.setup.view.load();
        let fresh = usable_replicas(self.discovery.registry(), self.routes.as_deref(), now);
        let is_same = *before.replicas == fresh;
        if !is_same {
            changes::log_changes(&before.replicas, &fresh, self.discovery.registry(), now);
        }
        let replicas = match is_same {
            true => Arc::clone(&before.replicas),
            false => Arc::new(fresh),
        };
        if let Some(suspects) = self.discovery.changed_suspects() {
            self.suspects = Arc::new(suspects);
        }
        if let Some(parts) = self.discovery.changed_parts() {
            self.suspect_parts = Arc::new(parts);
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
            suspect_parts: Arc::clone(&self.suspect_parts),
            rates: Arc::clone(&self.rates),
            relays: Arc::clone(&self.relays),
        }));
    }
}

fn log_discovery_event(event: DiscoveryEvent) {
    match event {
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
        DiscoveryEvent::Quarantine(change) => log_quarantine_change(&change),
        DiscoveryEvent::PartQuarantine(change) => log_part_change(change),
        DiscoveryEvent::Rate(change) => log_rate_change(change),
        // `changes` logs the effect of these changes on the replicas instead.
        DiscoveryEvent::UpstreamFound(_)
        | DiscoveryEvent::UpstreamChanged(_)
        | DiscoveryEvent::UpstreamEnded(..)
        | DiscoveryEvent::UpstreamForgotten(_) => {}
    }
}

fn log_rate_change(change: RateChange) {
    LogEvent::RateChanged {
        instance: change.id,
        rate: RequestRate::text(change.rate),
        before: RequestRate::text(change.before),
        age_ms: change.age_ms,
    }
    .emit();
}

fn log_permit_source(change: PermitSourceChange) {
    match change {
        PermitSourceChange::Led { leader, term } => LogEvent::PermitsFrom { leader, term }.emit(),
        PermitSourceChange::Alone { entries } => LogEvent::PermitsOwn { entries }.emit(),
    }
}

fn log_quarantine_change(change: &Change) {
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

fn log_part_change(change: PartChange) {
    match change {
        PartChange::Quarantined {
            parts,
            crashes,
            since,
            hold,
        } => LogEvent::PartQuarantined {
            parts: PartId::text(&parts),
            crashes,
            since_ms: since.as_millis(),
            hold_ms: hold.as_millis(),
        }
        .emit(),
        PartChange::Released { parts } => LogEvent::PartReleased {
            parts: PartId::text(&parts),
        }
        .emit(),
    }
}

/// Returns this daemon's entry in the list of cluster members.
pub(crate) fn member_address(
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
