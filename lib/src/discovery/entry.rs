//! Discovery at an entry daemon, which finds control daemons and receives their updates.

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
    sources,
    updates, //
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
        CrashReport,
        CrashSpread,
        CrashUpdate,
        Fingerprint,
        ModelPart,
        Observation,
        PartSpread,
        PartTable,
        PartUpdate,
        SuspectTable, //
    },
    rates::{
        RateSpread,
        RateTable,
        RateUpdate, //
    },
    reach::{
        RelayHello,
        RelayOffer, //
    },
    registry::{
        InstanceId,
        ReceivedReport,
        Registry, //
    },
    routes::RouteVersion,
};

/// The longest interval between hellos while this daemon has no route table or no source of
/// upstream reports.
const HELLO_INTERVAL_WHILE_SEARCHING: Duration = Duration::from_millis(200);

/// An entry daemon's own state, sent in its hellos.
#[derive(Clone, Debug, Default)]
pub struct EntryStatus {
    /// The version of the route table in use; `None` until one has arrived.
    pub routes: Option<RouteVersion>,
    /// Whether this daemon has served a caller since its start.
    pub has_served: bool,
    /// The number of requests for each model at this daemon.
    pub demand: Vec<(ServiceName, ModelName, u32)>,
    /// Heads of groups all of whose response streams have made no progress recently.
    pub stalled: Vec<InstanceId>,
    /// This daemon's offer to relay requests; `None` if it takes none.
    pub relay: Option<RelayOffer>,
}

/// Discovery at an entry daemon.
#[derive(Debug)]
pub struct EntryDiscovery {
    members: Members,
    hello_every: Duration,
    registry: Registry,
    /// The control daemons that this daemon subscribes to for upstream reports.
    sources: Vec<DaemonId>,
    /// The sources from which a full update has arrived since they were chosen, and whose signs of
    /// life have since referred only to reports that are known here.
    synced_with: BTreeSet<DaemonId>,
    /// For each control daemon, those that relay their reports to it, according to its own message.
    receives_from: BTreeMap<DaemonId, BTreeSet<DaemonId>>,
    /// The crashes of upstreams, with the requests that were running.
    crashes: CrashSpread,
    /// The prompt parts that upstreams had when they crashed, and those that were answered.
    parts: PartSpread,
    /// The request rates that upstreams name in their answers.
    rates: RateSpread,
    has_upstreams: bool,
    entry_count: u32,
    entry_index: u32,
    /// The digest of the relays that a control daemon has named last.
    relays_digest: u64,
    hello_due: Timestamp,
    actions: Vec<Action>,
}

impl EntryDiscovery {
    /// Returns an instance that knows only the seeds.
    pub fn new(
        me: MemberAddress,
        seeds: impl IntoIterator<Item = (DaemonId, Address)>,
        hello_every: Duration,
    ) -> Self {
        Self {
            crashes: CrashSpread::new(&me.daemon),
            parts: PartSpread::new(&me.daemon),
            members: Members::new(me, seeds, MembersSettings::default()),
            hello_every,
            registry: Registry::default(),
            sources: Vec::new(),
            synced_with: BTreeSet::new(),
            receives_from: BTreeMap::new(),
            rates: RateSpread::default(),
            has_upstreams: false,
            entry_count: 1,
            entry_index: 0,
            relays_digest: 0,
            hello_due: Timestamp::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the registry of upstreams.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns whether a full update of upstreams has arrived since this daemon's start.
    pub fn has_upstreams(&self) -> bool {
        self.has_upstreams
    }

    /// Returns the number of live entry daemons, as a control daemon last reported it; at least 1.
    pub fn entry_count(&self) -> u32 {
        self.entry_count
    }

    /// Returns the zero-based index of this daemon among the live entry daemons, sorted by
    /// name, as a control daemon last reported it; 0 until then.
    pub fn entry_index(&self) -> u32 {
        self.entry_index
    }

    /// Takes in the digest of the relays that a control daemon has named.
    pub fn handle_relays_message(&mut self, digest: u64) {
        self.relays_digest = digest;
    }

    /// Returns whether this daemon subscribes to the reports of any control daemon.
    pub fn has_source(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Returns the actions to carry out, and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Replaces the seeds; known members stay.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = (DaemonId, Address)>) {
        self.members.set_seeds(seeds);
    }

    /// Makes the next hello due at once.
    pub fn schedule_hello(&mut self) {
        self.hello_due = Timestamp::default();
    }

    /// Returns whether the hellos are due; the caller then calls [`Self::send_hellos`].
    pub fn is_hello_due(&self, now: Timestamp) -> bool {
        now >= self.hello_due
    }

    /// Takes in a control daemon's answer to a hello; returns whether that daemon was unknown or
    /// silent before.
    pub fn handle_members_message(
        &mut self,
        from: &DaemonId,
        update: &MembersUpdate,
        now: Timestamp,
    ) -> bool {
        let sender = update.controls.iter().find(|member| member.daemon == *from);
        let is_found =
            sender.is_some_and(|sender| self.members.record_contact(sender.clone(), now));
        if is_found {
            let event = DiscoveryEvent::DaemonFound(from.clone(), DaemonRole::Control);
            self.actions.push(Action::Log(event));
            // The control daemon has missed what was sent while it was unreachable.
            let crashes = updates::crashes_message(self.crashes.own_update(now));
            let parts = updates::parts_message(self.parts.own_update(now));
            let rates = updates::rates_message(self.rates.all(now));
            let missed = [crashes, parts, rates].into_iter().flatten();
            self.send_each(std::slice::from_ref(from), missed);
        }
        self.members.handle_update(update, now);
        self.receives_from
            .insert(from.clone(), update.told_by.clone());
        self.entry_count = update.entries.max(1);
        self.entry_index = update.place;
        for control in &update.controls {
            let action = Action::AddPeer(control.daemon.clone(), control.address);
            self.actions.push(action);
        }
        is_found
    }

    /// Takes in upstream reports that a control daemon relays.
    pub fn handle_upstreams_message(
        &mut self,
        from: &DaemonId,
        update: UpstreamUpdate,
        now: Timestamp,
    ) {
        if update.is_all {
            self.synced_with.insert(from.clone());
            self.has_upstreams = true;
        }
        for (registration, age_ms) in update.reports {
            let age = Duration::from_millis(age_ms.into());
            self.registry
                .handle_report(ReceivedReport { registration, age }, now);
        }
        for (alive, age_ms) in update.alive {
            let age = Duration::from_millis(age_ms.into());
            if !self.registry.touch(&alive, age, now) {
                self.synced_with.remove(from);
            }
        }
        for (id, how) in update.ended {
            let instance = self.registry.resolve_instance(&id);
            self.registry.end(&instance, how, now);
        }
    }

    /// Takes in crashes of upstreams that other daemons have reported.
    pub fn handle_crashes_message(&mut self, update: &CrashUpdate, now: Timestamp) {
        let changes = self.crashes.handle_crash_update(update, now);
        self.log(changes.into_iter().map(DiscoveryEvent::Quarantine));
    }

    /// Records observations of requests at this daemon, and sends them to control daemons at once.
    pub fn observe(&mut self, observations: &[(Fingerprint, Observation)], now: Timestamp) {
        let mut changes = Vec::new();
        for (fingerprint, observation) in observations {
            let change = self.crashes.observe(*fingerprint, *observation, now);
            changes.extend(change);
        }
        self.log(changes.into_iter().map(DiscoveryEvent::Quarantine));
        self.send_due_updates(now);
    }

    /// Takes in observations of prompt parts by other daemons.
    pub fn handle_parts_message(&mut self, update: &PartUpdate, now: Timestamp) {
        let changes = self.parts.handle_update(update, now);
        self.log(changes.into_iter().map(DiscoveryEvent::PartQuarantine));
    }

    /// Records the prompt parts that an upstream had of this daemon when it crashed, and sends them
    /// to control daemons at once.
    pub fn observe_crashed_parts(&mut self, report: &CrashReport, now: Timestamp) {
        let changes = self.parts.observe_crash(report, now);
        self.log(changes.into_iter().map(DiscoveryEvent::PartQuarantine));
        self.send_due_updates(now);
    }

    /// Records that a request with the part, which this daemon had sent at `sent_at`, was answered,
    /// and tells control daemons at once.
    pub fn observe_answered_part(&mut self, part: ModelPart, sent_at: Timestamp, now: Timestamp) {
        let changes = self.parts.observe_answer(part, sent_at, now);
        self.log(changes.into_iter().map(DiscoveryEvent::PartQuarantine));
        self.send_due_updates(now);
    }

    /// Takes in rates that upstreams named in answers to other daemons.
    pub fn handle_rates_message(&mut self, update: &RateUpdate, now: Timestamp) {
        let changes = self.rates.handle_rate_update(update, false, now);
        self.log(changes.into_iter().map(DiscoveryEvent::Rate));
        self.send_due_updates(now);
    }

    /// Records the rate, if any, that an upstream named in an answer to this daemon, and sends a
    /// change to control daemons at once; `times` are those of the request and of the answer.
    pub fn observe_rate(
        &mut self,
        id: &InstanceId,
        rate: Option<RequestRate>,
        times: (Timestamp, Timestamp),
        now: Timestamp,
    ) {
        let change = self.rates.observe(id, rate, times, now);
        self.log(change.into_iter().map(DiscoveryEvent::Rate));
        self.send_due_updates(now);
    }

    /// Returns the current rates if they may have changed since the last call.
    pub fn changed_rates(&mut self) -> Option<RateTable> {
        self.rates.changed_table()
    }

    /// Returns the live control daemons, the preferred one first.
    pub fn controls(&self, now: Timestamp) -> Vec<DaemonId> {
        self.members.controls_by_preference(now)
    }

    /// Returns the table of suspected requests if it may have changed since the last call.
    pub fn changed_suspects(&mut self) -> Option<SuspectTable> {
        self.crashes.changed_table()
    }

    /// Returns the table of suspected prompt parts if it may have changed since the last call.
    pub fn changed_parts(&mut self) -> Option<PartTable> {
        self.parts.changed_table()
    }

    fn log(&mut self, events: impl Iterator<Item = DiscoveryEvent>) {
        self.actions.extend(events.map(Action::Log));
    }

    /// Sends the crashes, parts and rates that are due to all live control daemons.
    fn send_due_updates(&mut self, now: Timestamp) {
        let crashes = updates::crashes_message(self.crashes.take_due_update(now));
        let parts = updates::parts_message(self.parts.take_due_update(now));
        let rates = updates::rates_message(self.rates.take_due_update(now));
        let controls = self.members.controls_by_preference(now);
        self.send_each(&controls, [crashes, parts, rates].into_iter().flatten());
    }

    fn send_each(&mut self, to: &[DaemonId], messages: impl Iterator<Item = PeerMessage>) {
        for message in messages {
            let sends = to
                .iter()
                .map(|daemon| Action::Send(daemon.clone(), message.clone()));
            self.actions.extend(sends);
        }
    }

    /// Removes expired entries, sends due updates, and logs the daemons that have become silent.
    pub fn tick(&mut self, now: Timestamp) {
        self.registry.forget_old(now);
        self.crashes.forget_old(now);
        self.parts.forget_old(now);
        let registry = &self.registry;
        let forgotten = self.rates.forget(|id| registry.ended(id).is_some(), now);
        self.log(forgotten.into_iter().map(DiscoveryEvent::Rate));
        self.send_due_updates(now);
        for (daemon, silence) in self.members.newly_silent(now) {
            let event = DiscoveryEvent::DaemonSilent(daemon, silence);
            self.actions.push(Action::Log(event));
        }
    }

    /// Chooses the sources of upstream reports, then sends a `Hello` to all control daemons.
    pub fn send_hellos(&mut self, status: EntryStatus, now: Timestamp) {
        let is_searching = status.routes.is_none() || self.sources.is_empty();
        let interval = match is_searching {
            true => self.hello_every.min(HELLO_INTERVAL_WHILE_SEARCHING),
            false => self.hello_every,
        };
        self.hello_due = now + interval;
        self.choose_sources(now);
        for daemon in self.members.forget_old(now) {
            self.receives_from.remove(&daemon);
            self.actions.push(Action::RemovePeer(daemon));
        }
        let preferred = self.members.controls_by_preference(now).into_iter().next();
        for (daemon, address) in self.members.hello_targets() {
            let names_relays = preferred.as_ref() == Some(&daemon);
            let hello = Hello {
                member: self.members.me().clone(),
                routes: status.routes.unwrap_or_default(),
                subscribes: self.sources.contains(&daemon),
                wants_all: !self.synced_with.contains(&daemon),
                passes_on: false,
                has_served: status.has_served,
                demand: status.demand.clone(),
                stalled: status.stalled.clone(),
            };
            self.actions.push(Action::AddPeer(daemon.clone(), address));
            let message = PeerMessage::Hello(Box::new(hello));
            self.actions.push(Action::Send(daemon.clone(), message));
            let relay_hello = RelayHello {
                offer: status.relay.clone(),
                known: names_relays.then_some(self.relays_digest),
            };
            let message = PeerMessage::RelayHello(Box::new(relay_hello));
            self.actions.push(Action::Send(daemon, message));
        }
    }

    fn choose_sources(&mut self, now: Timestamp) {
        let controls = self.members.controls_by_preference(now);
        let sources = sources::choose(&controls, &self.receives_from);
        if sources == self.sources {
            return;
        }
        // A control daemon sends no updates while this daemon doesn't subscribe to it. A former
        // source that is chosen again must therefore send a full update first.
        self.synced_with.retain(|control| sources.contains(control));
        let event = DiscoveryEvent::SourcesChanged(sources.clone());
        self.actions.push(Action::Log(event));
        self.sources = sources;
    }
}
