//! Discovery at a control daemon, which receives upstream reports and relays them.

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
    updates::{
        self,
        PendingReports,
        RecentEnds, //
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
        CrashUpdate,
        PartSpread,
        PartUpdate, //
    },
    rates::{
        RateSpread,
        RateTable,
        RateUpdate, //
    },
    reach::{
        Relay,
        RelayHello,
        RelayOffer,
        relays_for, //
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

/// The interval at which signs of life are relayed; upstreams report about once a second.
const ALIVE_INTERVAL: Duration = Duration::from_millis(300);
/// The interval at which the ends of instances are sent again.
const ENDS_INTERVAL: Duration = Duration::from_millis(300);
/// The time for which an entry daemon may lack the newest route table before control daemons that
/// it doesn't subscribe to send it, too; also the time before a sent table is sent again.
const ROUTES_OVERDUE: Duration = Duration::from_millis(700);

/// The state of the replicated route table at this control daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NewestRoutes {
    /// The version of the newest table that this daemon has applied; `None` before the first.
    pub version: Option<RouteVersion>,
    /// Whether this daemon knows a leader of the replicated log, so that `version` is the newest but
    /// for a short delay.
    pub is_in_touch: bool,
}

impl NewestRoutes {
    fn version_or_default(self) -> RouteVersion {
        self.version.unwrap_or_default()
    }
}

/// An entry daemon's state, from its `Hello` messages.
#[derive(Debug)]
struct EntryDaemon {
    routes: RouteVersion,
    subscribes: bool,
    last_contact: Timestamp,
    demand: Vec<(ServiceName, ModelName, u32)>,
    /// The version of the route table that was sent last, and the time of sending.
    sent: Option<(RouteVersion, Timestamp)>,
    /// When this daemon first saw that the entry daemon's table is outdated; `None` if it is not.
    behind_since: Option<Timestamp>,
    failure_domain: FailureDomain,
    /// The daemon's offer to relay requests.
    relay: Option<RelayOffer>,
    /// The digest of the relays to name to the daemon, and the version of the offers that it was
    /// computed from.
    relays: Option<(u64, u64)>,
}

impl EntryDaemon {
    /// Returns whether a `Hello` has arrived within the silence limit.
    fn is_live(&self, now: Timestamp) -> bool {
        now.since(self.last_contact) <= MembersSettings::default().silent_limit
    }
}

/// Discovery at a control daemon.
#[derive(Debug)]
pub struct ControlDiscovery {
    members: Members,
    hello_every: Duration,
    registry: Registry,
    entries: BTreeMap<DaemonId, EntryDaemon>,
    /// Pending reports that upstreams sent to this daemon, for the other control daemons.
    own: PendingReports,
    /// Pending reports from upstreams and other control daemons, for the subscribed entry daemons.
    all: PendingReports,
    ends: RecentEnds,
    /// Control daemons that relay to this one the reports that upstreams send to them.
    receives_from: BTreeSet<DaemonId>,
    /// Control daemons from which a full update has arrived since they were last found.
    ///
    /// During a partition, control daemons miss each other's reports, and ends of instances are
    /// sent for [`updates::ENDS_RESEND_PERIOD`] only. A full update makes up for that. A control
    /// daemon is removed when one of its signs of life refers to a report that is unknown here.
    synced_with: BTreeSet<DaemonId>,
    /// The crashes of upstreams, with the requests that were running.
    crashes: CrashSpread,
    /// The prompt parts that upstreams had when they crashed, and those that were answered.
    parts: PartSpread,
    /// The request rates that upstreams name in their answers.
    rates: RateSpread,
    /// The number of changes of the offers to relay requests, and of the daemons that are live.
    offers_version: u64,
    /// Whether any caller has been served since the fleet's first start.
    has_served: bool,
    alive_due: Timestamp,
    ends_due: Timestamp,
    hello_due: Timestamp,
    actions: Vec<Action>,
}

impl ControlDiscovery {
    /// Returns an instance that knows only the seeds.
    pub fn new(
        me: MemberAddress,
        seeds: impl IntoIterator<Item = (DaemonId, Address)>,
        hello_every: Duration,
        has_served: bool,
    ) -> Self {
        Self {
            crashes: CrashSpread::new(&me.daemon),
            parts: PartSpread::new(&me.daemon),
            rates: RateSpread::default(),
            members: Members::new(me, seeds, MembersSettings::default()),
            hello_every,
            registry: Registry::default(),
            entries: BTreeMap::new(),
            own: PendingReports::default(),
            all: PendingReports::default(),
            ends: RecentEnds::default(),
            receives_from: BTreeSet::new(),
            synced_with: BTreeSet::new(),
            offers_version: 0,
            has_served,
            alive_due: Timestamp::default(),
            ends_due: Timestamp::default(),
            hello_due: Timestamp::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the known cluster members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the registry of upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns whether any caller has been served since the fleet's first start.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// Returns the actions to carry out, and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Replaces the seeds; known members stay.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = (DaemonId, Address)>) {
        self.members.set_seeds(seeds);
    }

    /// Returns the number of requests for each model, summed over all live entry daemons.
    pub fn demand(&self, now: Timestamp) -> BTreeMap<(ServiceName, ModelName), f64> {
        let mut sum: BTreeMap<(ServiceName, ModelName), f64> = BTreeMap::new();
        for (_, entry) in self.live_entries(now) {
            for (service, model, requests) in &entry.demand {
                let key = (service.clone(), model.clone());
                *sum.entry(key).or_default() += f64::from(*requests);
            }
        }
        sum
    }

    /// Takes in a report that an upstream has sent to this daemon.
    pub fn handle_upstream_report(&mut self, registration: Registration, now: Timestamp) {
        let id = registration.id.clone();
        match self.apply_report(registration, Duration::ZERO, now) {
            ReportEffect::New | ReportEffect::Changed => self.own.mark_changed(id),
            ReportEffect::Refreshed => self.own.mark_alive(id),
            ReportEffect::Stale => {}
        }
    }

    /// Takes in an upstream's announcement to this daemon that it leaves; `id` may have no start
    /// time.
    pub fn handle_upstream_leave(&mut self, id: InstanceId, now: Timestamp) {
        let instance = self.registry.resolve_instance(&id);
        self.end(&instance, Ended::Left, now);
    }

    /// Takes in another daemon's `Hello` and answers it: with the live members, and as needed with
    /// a full update of upstreams and with the route table.
    pub fn handle_hello_message(&mut self, hello: Hello, routes: NewestRoutes, now: Timestamp) {
        let member = hello.member.clone();
        let daemon = member.daemon.clone();
        let role = member.role;
        self.add_peer(&daemon, member.address);
        let was_known = self.members.silent_for(&daemon, now).is_some();
        if self.members.record_contact(member, now) {
            self.log(DiscoveryEvent::DaemonFound(daemon.clone(), role));
            if was_known {
                self.synced_with.remove(&daemon);
            }
        }
        self.has_served |= hello.has_served;
        if role == DaemonRole::Entry {
            self.record_entry_daemon(&daemon, &hello, routes, now);
        }
        match hello.passes_on {
            true => self.receives_from.insert(daemon.clone()),
            false => self.receives_from.remove(&daemon),
        };
        self.send_members(&daemon, routes, now);
        if hello.wants_all && (role == DaemonRole::Control || hello.subscribes) {
            let all = updates::all(&self.registry, now);
            self.send(&daemon, PeerMessage::Upstreams(Box::new(all)));
            let crashes = updates::crashes_message(self.crashes.all(now));
            let parts = updates::parts_message(self.parts.all(now));
            let rates = updates::rates_message(self.rates.all(now));
            for message in [crashes, parts, rates].into_iter().flatten() {
                self.send(&daemon, message);
            }
        }
        self.send_routes(&daemon, routes, now);
    }

    /// Takes in an entry daemon's offer to relay requests, and names relays to it if it asks.
    pub fn handle_relay_hello(&mut self, from: &DaemonId, hello: RelayHello, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(from) else {
            return;
        };
        if entry.relay != hello.offer {
            entry.relay = hello.offer;
            self.offers_version += 1;
        }
        if let Some(digest) = hello.known {
            self.send_relays(from, digest, now);
        }
    }

    /// Sends an entry daemon the relays that it may use, unless `digest` shows that it has them.
    fn send_relays(&mut self, to: &DaemonId, digest: u64, now: Timestamp) {
        let version = self.offers_version;
        let Some(entry) = self.entries.get(to) else {
            return;
        };
        if entry.relays == Some((version, digest)) {
            return;
        }
        let offers = self.live_entries(now).filter_map(|(daemon, entry)| {
            Some(Relay {
                daemon: daemon.clone(),
                failure_domain: entry.failure_domain.clone(),
                offer: entry.relay.clone()?,
            })
        });
        let update = relays_for(to, &entry.failure_domain, offers);
        if let Some(entry) = self.entries.get_mut(to) {
            entry.relays = Some((version, update.digest));
        }
        if update.digest != digest {
            self.send(to, PeerMessage::Relays(Box::new(update)));
        }
    }

    fn record_entry_daemon(
        &mut self,
        daemon: &DaemonId,
        hello: &Hello,
        newest: NewestRoutes,
        now: Timestamp,
    ) {
        let before = self.entries.get(daemon);
        let is_live = before.is_some_and(|entry| entry.is_live(now));
        if !is_live {
            self.offers_version += 1;
        }
        let known = self.entries.entry(daemon.clone());
        let known = known.or_insert(EntryDaemon {
            routes: hello.routes,
            subscribes: hello.subscribes,
            last_contact: now,
            demand: Vec::new(),
            sent: None,
            behind_since: None,
            failure_domain: hello.member.failure_domain.clone(),
            relay: None,
            relays: None,
        });
        if hello.routes < known.routes {
            // The entry daemon has restarted and lost the table that was sent to it before.
            known.sent = None;
        }
        known.routes = hello.routes;
        known.subscribes = hello.subscribes;
        known.last_contact = now;
        known.demand.clone_from(&hello.demand);
        known
            .failure_domain
            .clone_from(&hello.member.failure_domain);
        match hello.routes < newest.version_or_default() {
            true => {
                known.behind_since.get_or_insert(now);
            }
            false => known.behind_since = None,
        }
    }

    fn send_members(&mut self, to: &DaemonId, routes: NewestRoutes, now: Timestamp) {
        let me = self.members.me();
        let others = self.members.live_members(DaemonRole::Control, now).cloned();
        let controls = others.chain([me.clone()]).collect();
        let mut told_by = &self.live_controls(now) & &self.receives_from;
        told_by.insert(me.daemon.clone());
        let entries = self.members.live_members(DaemonRole::Entry, now);
        let entries: Vec<&DaemonId> = entries.map(|entry| &entry.daemon).collect();
        let index = entries.iter().position(|entry| *entry == to);
        let update = MembersUpdate {
            controls,
            told_by,
            entries: u32::try_from(entries.len()).unwrap_or(u32::MAX),
            place: index
                .and_then(|index| u32::try_from(index).ok())
                .unwrap_or(0),
            routes: routes.version_or_default(),
            is_in_touch: routes.is_in_touch,
        };
        self.send(to, PeerMessage::Roster(Box::new(update)));
    }

    /// Sends the newest route table to an entry daemon that lacks it, if it subscribes to this
    /// daemon or has lacked the table for `ROUTES_OVERDUE`.
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
        let was_sent_recently = entry
            .sent
            .is_some_and(|(version, at)| version == newest && now.since(at) < ROUTES_OVERDUE);
        if was_sent_recently {
            return;
        }
        entry.sent = Some((newest, now));
        self.actions.push(Action::SendRoutes(daemon.clone()));
    }

    /// Takes in the list of live members from another control daemon.
    pub fn handle_members_message(&mut self, update: &MembersUpdate, now: Timestamp) {
        self.members.handle_update(update, now);
        for control in &update.controls {
            self.add_peer(&control.daemon, control.address);
        }
    }

    /// Takes in upstream reports that another control daemon relays.
    pub fn handle_upstreams_message(
        &mut self,
        from: &DaemonId,
        update: UpstreamUpdate,
        now: Timestamp,
    ) {
        if update.is_all {
            self.synced_with.insert(from.clone());
        }
        for (registration, age_ms) in update.reports {
            let age = Duration::from_millis(age_ms.into());
            self.apply_report(registration, age, now);
        }
        for (alive, age_ms) in update.alive {
            let age = Duration::from_millis(age_ms.into());
            if !self.registry.touch(&alive, age, now) {
                self.synced_with.remove(from);
            }
            self.all.mark_alive(alive.id);
        }
        for (id, how) in update.ended {
            let instance = self.registry.resolve_instance(&id);
            if self.registry.ended(&instance).is_none() {
                self.end(&instance, how, now);
            }
        }
    }

    /// Takes in crashes of upstreams that another daemon has reported, and queues new ones for
    /// relaying.
    pub fn handle_crashes_message(&mut self, update: &CrashUpdate, now: Timestamp) {
        for change in self.crashes.handle_and_relay_crash_update(update, now) {
            self.log(DiscoveryEvent::Quarantine(change));
        }
    }

    /// Takes in observations of prompt parts by another daemon, and relays new ones.
    pub fn handle_parts_message(&mut self, update: &PartUpdate, now: Timestamp) {
        for change in self.parts.handle_and_relay_update(update, now) {
            self.log(DiscoveryEvent::PartQuarantine(change));
        }
        self.relay_observations(now);
    }

    /// Takes in rates that another daemon has received in upstreams' answers, and relays changes.
    pub fn handle_rates_message(&mut self, update: &RateUpdate, now: Timestamp) {
        for change in self.rates.handle_rate_update(update, true, now) {
            self.log(DiscoveryEvent::Rate(change));
        }
        self.relay_observations(now);
    }

    /// Returns the current rates if they may have changed since the last call.
    pub fn changed_rates(&mut self) -> Option<RateTable> {
        self.rates.changed_table()
    }

    /// Returns the number of live entry daemons, and the number of known ones, which includes those
    /// that have become silent recently.
    pub fn entry_counts(&self, now: Timestamp) -> (usize, usize) {
        (self.live_entries(now).count(), self.entries.len())
    }

    fn apply_report(
        &mut self,
        registration: Registration,
        age: Duration,
        now: Timestamp,
    ) -> ReportEffect {
        let report = registration.clone();
        let id = registration.id.clone();
        let ended_before = self.registry.all_ended().count();
        let effect = self
            .registry
            .handle_report(ReceivedReport { registration, age }, now);
        match effect {
            ReportEffect::New => {
                self.log(DiscoveryEvent::UpstreamFound(report));
                self.all.mark_changed(id);
            }
            ReportEffect::Changed => {
                self.log(DiscoveryEvent::UpstreamChanged(report));
                self.all.mark_changed(id);
            }
            ReportEffect::Refreshed => self.all.mark_alive(id),
            ReportEffect::Stale => {}
        }
        if self.registry.all_ended().count() > ended_before {
            for (id, how) in self.registry.all_ended() {
                self.ends.record(id.clone(), how, now);
            }
            self.ends_due = now;
        }
        effect
    }

    fn end(&mut self, id: &InstanceId, how: Ended, now: Timestamp) {
        if self.registry.end(id, how, now) {
            self.log(DiscoveryEvent::UpstreamEnded(id.clone(), how));
        }
        self.ends.record(id.clone(), how, now);
        self.ends_due = now;
    }

    /// Does the periodic work that is due: hellos, relaying, and removal of expired entries.
    pub fn tick(&mut self, routes: NewestRoutes, now: Timestamp) {
        if now >= self.hello_due {
            self.hello_due = now + self.hello_every;
            self.send_hellos(routes, now);
            self.forget_old(now);
            self.log_silent_daemons(now);
        }
        self.relay_reports(now);
        self.relay_observations(now);
    }

    fn send_hellos(&mut self, routes: NewestRoutes, now: Timestamp) {
        let live_controls = self.live_controls(now);
        for (daemon, address) in self.members.hello_targets() {
            let hello = Hello {
                member: self.members.me().clone(),
                routes: routes.version_or_default(),
                subscribes: true,
                wants_all: !self.synced_with.contains(&daemon),
                passes_on: live_controls.contains(&daemon),
                has_served: self.has_served,
                demand: Vec::new(),
                stalled: Vec::new(),
            };
            self.add_peer(&daemon, address);
            self.send(&daemon, PeerMessage::Hello(Box::new(hello)));
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        for daemon in self.members.forget_old(now) {
            self.entries.remove(&daemon);
            self.receives_from.remove(&daemon);
            self.synced_with.remove(&daemon);
            self.actions.push(Action::RemovePeer(daemon));
        }
        self.crashes.forget_old(now);
        self.parts.forget_old(now);
        let registry = &self.registry;
        let forgotten = self.rates.forget(|id| registry.ended(id).is_some(), now);
        for change in forgotten {
            self.log(DiscoveryEvent::Rate(change));
        }
        for id in self.registry.forget_old(now) {
            self.log(DiscoveryEvent::UpstreamForgotten(id));
        }
    }

    fn log_silent_daemons(&mut self, now: Timestamp) {
        for (daemon, silence) in self.members.newly_silent(now) {
            self.offers_version += 1;
            self.log(DiscoveryEvent::DaemonSilent(daemon, silence));
        }
    }

    fn relay_reports(&mut self, now: Timestamp) {
        let with_alive = now >= self.alive_due;
        if with_alive {
            self.alive_due = now + ALIVE_INTERVAL;
        }
        let mut ended = Vec::new();
        if now >= self.ends_due {
            self.ends_due = now + ENDS_INTERVAL;
            ended = self.ends.retain_unexpired(now);
        }
        let mut own = self.own.take_update(&self.registry, with_alive, now);
        own.ended.clone_from(&ended);
        let mut all = self.all.take_update(&self.registry, with_alive, now);
        all.ended = ended;
        if !updates::is_empty(&own) {
            for control in self.live_controls(now) {
                self.send(&control, PeerMessage::Upstreams(Box::new(own.clone())));
            }
        }
        if updates::is_empty(&all) {
            return;
        }
        for daemon in self.subscribers(now) {
            self.send(&daemon, PeerMessage::Upstreams(Box::new(all.clone())));
        }
    }

    /// Sends the crashes, parts and rates that are due to the subscribers and live control daemons.
    fn relay_observations(&mut self, now: Timestamp) {
        let crashes = updates::crashes_message(self.crashes.take_due_update(now));
        let parts = updates::parts_message(self.parts.take_due_update(now));
        let rates = updates::rates_message(self.rates.take_due_update(now));
        for message in [crashes, parts, rates].into_iter().flatten() {
            let mut to = self.subscribers(now);
            to.extend(self.live_controls(now));
            for daemon in to {
                self.send(&daemon, message.clone());
            }
        }
    }

    /// Returns the live control daemons, to which this daemon relays its own reports.
    ///
    /// Silent ones get none. Reports that wait in a connection during a partition would arrive at
    /// its end with an age that doesn't include the wait, and dead upstreams would seem alive.
    fn live_controls(&self, now: Timestamp) -> BTreeSet<DaemonId> {
        let controls = self.members.live_members(DaemonRole::Control, now);
        controls.map(|member| member.daemon.clone()).collect()
    }

    /// Returns the live entry daemons that subscribe to this daemon's reports.
    pub fn subscribers(&self, now: Timestamp) -> Vec<DaemonId> {
        let subscribed = self.live_entries(now).filter(|(_, entry)| entry.subscribes);
        subscribed.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Returns the live entry daemons: those with a `Hello` within the silence limit.
    fn live_entries(&self, now: Timestamp) -> impl Iterator<Item = (&DaemonId, &EntryDaemon)> {
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| entry.is_live(now))
    }

    fn add_peer(&mut self, daemon: &DaemonId, address: Address) {
        self.actions.push(Action::AddPeer(daemon.clone(), address));
    }

    fn send(&mut self, to: &DaemonId, message: PeerMessage) {
        self.actions.push(Action::Send(to.clone(), message));
    }

    fn log(&mut self, event: DiscoveryEvent) {
        self.actions.push(Action::Log(event));
    }
}
