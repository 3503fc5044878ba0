//! The main loop of the thread `members`: handles events, carries out the actions that
//! discovery returns, and runs the leader's tasks.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
};

use cicadabend::{
    discovery::{
        Action,
        ControlDiscovery,
        DiscoveryEvent,
        NewestRoutes, //
    },
    fleet::Voter,
    grouping::{
        EngineCommand,
        GroupingSettings, //
    },
    peer_api::{
        DaemonRole,
        Hello,
        MemberAddress,
        PeerMessage, //
    },
    prelude::*,
    quarantine::{
        Change,
        PartChange,
        PartId, //
    },
    rates::{
        PermitAsk,
        RateChange, //
    },
    registry::{
        InstanceId,
        Registration, //
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
    MembersEvent,
    SharedAddresses,
    demand::SmoothedDemand,
    events::LogEvent,
    grants::Grants,
    leading::LeaderTasks,
    permits::Permits, //
};
use crate::replication::ReplicationHandle;

/// How often updates are passed on and the leader's tasks run.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often the addresses of control daemons are published.
const ADDRESSES_INTERVAL: Duration = Duration::from_millis(400);
/// How long an entry daemon's report that a group's head is stalled stays valid.
const STALL_REPORT_VALIDITY: Duration = Duration::from_millis(1_500);
/// The maximum number of events handled before the timer is checked again.
const MAX_EVENTS_PER_BATCH: usize = 256;

/// The settings and connections with which the thread starts.
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
    pub(crate) commands: Sender<EngineCommand>,
    pub(crate) addresses: SharedAddresses,
    pub(crate) clock: Clock,
}

/// The duty of the thread `members`.
pub(crate) struct MembersThread {
    setup: MembersSetup,
    discovery: ControlDiscovery,
    leader_tasks: LeaderTasks,
    permits: Permits,
    grants: Grants,
    /// The groups' heads that entry daemons report as stalled, with the time of the last report.
    stalled: BTreeMap<InstanceId, Timestamp>,
    demand: SmoothedDemand,
    /// The version of the newest table of routes that this daemon has begun to send.
    spread: RouteVersion,
    addresses_due: Timestamp,
}

impl MembersThread {
    /// Creates the state of the thread; [`Self::run`] starts its work.
    pub(crate) fn new(setup: MembersSetup) -> Self {
        let seeds = setup.seeds.current().to_vec();
        // A fleet that this start does not found may have served requests already.
        let has_served = !setup.is_founding;
        let discovery =
            ControlDiscovery::new(setup.me.clone(), seeds, setup.hello_every, has_served);
        Self {
            discovery,
            leader_tasks: LeaderTasks::new(setup.grouping, setup.clock.now()),
            permits: Permits::default(),
            grants: Grants::default(),
            stalled: BTreeMap::new(),
            demand: SmoothedDemand::default(),
            spread: RouteVersion::default(),
            addresses_due: Timestamp::default(),
            setup,
        }
    }

    /// Handles events until `ended` becomes true, which means that the process is stopping.
    ///
    /// The closing of the ring of events cannot serve as the sign to stop: the thread `orders`
    /// holds a sender of the ring until this thread drops the ring of commands.
    pub(crate) async fn run(
        mut self,
        mut events: Receiver<MembersEvent>,
        mut ended: watch::Receiver<bool>,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.next() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
                _ = ended.wait_for(|ended| *ended) => return,
            }
            for _ in 0..MAX_EVENTS_PER_BATCH {
                match events.try_next() {
                    Some(event) => self.handle_event(event),
                    None => break,
                }
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.setup.clock.now()
    }

    fn handle_event(&mut self, event: MembersEvent) {
        let now = self.now();
        match event {
            MembersEvent::Peer(incoming) => self.handle_peer_message(incoming, now),
            MembersEvent::Reported(registration) => {
                self.discovery.handle_upstream_report(*registration, now)
            }
            MembersEvent::Left(id) => self.discovery.handle_upstream_leave(id, now),
            MembersEvent::Answered(command, outcome) => {
                self.leader_tasks.record_outcome(&command, outcome, now);
            }
        }
        self.perform_actions();
    }

    fn handle_peer_message(&mut self, incoming: Incoming, now: Timestamp) {
        match incoming.message {
            PeerMessage::Hello(hello) => {
                self.record_stalled(&hello, now);
                let routes = self.newest_routes();
                self.discovery.handle_hello_message(*hello, routes, now);
            }
            PeerMessage::Roster(update) => self.discovery.handle_members_message(&update, now),
            PeerMessage::Upstreams(update) => {
                self.discovery
                    .handle_upstreams_message(&incoming.from, *update, now);
            }
            PeerMessage::Crashes(update) => self.discovery.handle_crashes_message(&update, now),
            PeerMessage::Parts(update) => self.discovery.handle_parts_message(&update, now),
            PeerMessage::Rates(update) => self.discovery.handle_rates_message(&update, now),
            PeerMessage::PermitAsk(ask) => self.handle_permit_request(&incoming.from, &ask, now),
            PeerMessage::GrantRequest(request) => {
                // A daemon that was paused may have lost its leader lease since the last tick.
                self.update_term(now);
                let (_, known_entries) = self.discovery.entry_counts(now);
                let peers = &self.setup.peers;
                self.grants
                    .handle_request(&incoming.from, &request, known_entries, peers, now);
            }
            PeerMessage::RelayHello(hello) => {
                self.discovery
                    .handle_relay_hello(&incoming.from, *hello, now);
            }
            // The thread `inbox` passes only the kinds above to this thread.
            _ => {}
        }
    }

    /// Records a permit request.
    ///
    /// Permits are issued at once if a caller's request waits for them, else at the next tick.
    fn handle_permit_request(&mut self, from: &DaemonId, ask: &PermitAsk, now: Timestamp) {
        let has_waiting_caller = self.permits.handle_permit_request(from, ask, now);
        if has_waiting_caller {
            self.issue_permits(now);
        }
    }

    fn issue_permits(&mut self, now: Timestamp) {
        let peers = &self.setup.peers;
        self.permits.issue(&mut self.discovery, peers, now);
    }

    fn record_stalled(&mut self, hello: &Hello, now: Timestamp) {
        for id in &hello.stalled {
            if self.stalled.insert(id.clone(), now).is_none() {
                LogEvent::HeadStalled {
                    instance: id.clone(),
                    by: hello.member.daemon.clone(),
                }
                .emit();
            }
        }
    }

    fn newest_routes(&self) -> NewestRoutes {
        let state = self.setup.replication.local();
        NewestRoutes {
            version: state.routes().map(|document| document.version),
            is_in_touch: self.setup.replication.status().leader.is_some(),
        }
    }

    /// Carries out the actions that discovery has queued.
    fn perform_actions(&mut self) {
        for action in self.discovery.take_actions() {
            match action {
                Action::AddPeer(daemon, address) => self.setup.peers.know(&daemon, address),
                Action::RemovePeer(daemon) => self.setup.peers.forget(&daemon),
                Action::Send(to, message) => self.setup.peers.send(&to, message),
                Action::SendRoutes(to) => self.send_routes(&to),
                Action::Log(event) => log_discovery_event(event),
            }
        }
    }

    fn send_routes(&self, to: &DaemonId) {
        let state = self.setup.replication.local();
        if let Some(document) = state.routes() {
            let table = Box::new(document.table.clone());
            self.setup.peers.send(to, PeerMessage::Routes(table));
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if let Some(seeds) = self.setup.seeds.changed(now) {
            self.discovery.set_seeds(seeds);
        }
        let routes = self.newest_routes();
        self.discovery.tick(routes, now);
        self.publish_addresses(now);
        self.demand.update(&self.discovery, now);
        self.spread_routes(routes, now);
        self.perform_actions();
        self.run_leader_tasks(now);
    }

    fn publish_addresses(&mut self, now: Timestamp) {
        if now < self.addresses_due {
            return;
        }
        self.addresses_due = now + ADDRESSES_INTERVAL;
        let controls = self
            .discovery
            .members()
            .live_members(DaemonRole::Control, now);
        let addresses =
            controls.filter_map(|member| Some((member.daemon.clone(), member.operators?)));
        self.setup.addresses.store(Arc::new(addresses.collect()));
    }

    fn spread_routes(&mut self, routes: NewestRoutes, now: Timestamp) {
        let newest = routes.version.unwrap_or_default();
        if newest <= self.spread {
            return;
        }
        self.spread = newest;
        let daemons = self.discovery.subscribers(now);
        LogEvent::RoutesSpreading {
            version: newest.0,
            daemons: daemons.len(),
        }
        .emit();
        for daemon in daemons {
            self.discovery.send_routes(&daemon, routes, now);
        }
    }

    /// Starts or ends the leader's tasks if this daemon has become leader or no longer leads.
    fn update_term(&mut self, now: Timestamp) {
        self.leader_tasks
            .update_leadership(&self.setup.replication, now);
        let term = self.leader_tasks.term();
        self.permits.update_term(term, now);
        self.grants
            .update_term(term, self.discovery.has_served(), now);
    }

    fn run_leader_tasks(&mut self, now: Timestamp) {
        self.update_term(now);
        self.issue_permits(now);
        let state = self.setup.replication.local();
        if let Some(document) = state.routes() {
            self.stalled
                .retain(|_, at| now.since(*at) < STALL_REPORT_VALIDITY);
            let stalled: BTreeSet<InstanceId> = self.stalled.keys().cloned().collect();
            let table = &document.table;
            let is_before_first_request = !self.discovery.has_served();
            let commands = self.leader_tasks.commands(
                table,
                self.discovery.registry(),
                &stalled,
                self.demand.by_model(),
                is_before_first_request,
                now,
            );
            for command in commands {
                // If the ring is full, the command is lost; it counts as unanswered and is
                // sent again.
                let _ = self.setup.commands.push(command);
            }
        }
        let me = &self.setup.disk;
        let change = self.leader_tasks.voter_change(
            me,
            self.discovery.members(),
            &self.setup.replication,
            now,
        );
        if let Some(command) = change {
            let replication = self.setup.replication.clone();
            // The outcome is not needed: if the proposal fails, the replicated log's set of
            // voters stays as it is, and the next check proposes the change again.
            tokio::task::spawn_local(async move { replication.propose(command).await.ok() });
        }
    }
}

fn log_discovery_event(event: DiscoveryEvent) {
    match event {
        DiscoveryEvent::DaemonFound(daemon, role) => {
            let role = match role {
                DaemonRole::Control => "control",
                DaemonRole::Entry => "entry",
            };
            LogEvent::DaemonFound { daemon, role }.emit();
        }
        DiscoveryEvent::DaemonSilent(daemon, silence) => {
            let silent_ms = silence.as_millis();
            LogEvent::DaemonSilent { daemon, silent_ms }.emit();
        }
        DiscoveryEvent::UpstreamFound(report) => LogEvent::UpstreamFound {
            instance: report.id,
            service: report.service,
            address: report.address,
            sequence: report.sequence,
        }
        .emit(),
        DiscoveryEvent::UpstreamChanged(report) => log_upstream_change(&report),
        DiscoveryEvent::UpstreamEnded(instance, how) => {
            let how = format!("{how:?}");
            LogEvent::UpstreamEnded { instance, how }.emit();
        }
        DiscoveryEvent::UpstreamForgotten(instance) => {
            let how = "Forgotten".to_owned();
            LogEvent::UpstreamEnded { instance, how }.emit();
        }
        DiscoveryEvent::Quarantine(change) => log_quarantine_change(&change),
        DiscoveryEvent::PartQuarantine(change) => log_part_change(change),
        DiscoveryEvent::Rate(change) => log_rate_change(change),
        // Only entry daemons choose the control daemons from which they get updates.
        DiscoveryEvent::SourcesChanged(_) => {}
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

fn log_upstream_change(report: &Registration) {
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
