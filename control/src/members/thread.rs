//! Takes events, does what discovery asks for and acts as leader.

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
    quarantine::Change,
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
    demand::SmoothDemand,
    events::LogEvent,
    leading::Leading,
    permits::Permits, //
};
use crate::replication::ReplicationHandle;

/// How often news is passed on and the leader looks at its groups.
const TICK: Duration = Duration::from_millis(50);
/// How often the addresses of control daemons are published.
const ADDRESSES_EVERY: Duration = Duration::from_millis(400);
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
    pub(crate) orders: Sender<EngineCommand>,
    pub(crate) addresses: SharedAddresses,
    pub(crate) clock: Clock,
}

/// The duty of the thread `members`.
pub(crate) struct MembersThread {
    setup: MembersSetup,
    discovery: ControlDiscovery,
    leading: Leading,
    permits: Permits,
    /// Heads that stand still as entry daemons see them, and when that was last told.
    stalled: BTreeMap<InstanceId, Timestamp>,
    demand: SmoothDemand,
    /// The newest table of routes whose sending was begun.
    spread: RouteVersion,
    addresses_due: Timestamp,
}

impl MembersThread {
    /// Makes the duty; it starts with [`Self::run`].
    pub(crate) fn new(setup: MembersSetup) -> Self {
        let seeds = setup.seeds.current().to_vec();
        // A fleet that was founded before has served.
        let has_served = !setup.is_founding;
        let discovery =
            ControlDiscovery::new(setup.me.clone(), seeds, setup.hello_every, has_served);
        Self {
            discovery,
            leading: Leading::new(setup.grouping, setup.clock.now()),
            permits: Permits::default(),
            stalled: BTreeMap::new(),
            demand: SmoothDemand::default(),
            spread: RouteVersion::default(),
            addresses_due: Timestamp::default(),
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
                self.discovery.handle_upstream_report(*registration, now)
            }
            MembersEvent::Left(id) => self.discovery.handle_upstream_leave(id, now),
            MembersEvent::Answered(order, outcome) => {
                self.leading.answered(&order, outcome, now);
            }
        }
        self.act();
    }

    fn hear(&mut self, incoming: Incoming, now: Timestamp) {
        match incoming.message {
            PeerMessage::Hello(hello) => {
                self.note_stalled(&hello, now);
                let routes = self.newest_routes();
                self.discovery.handle_hello_message(*hello, routes, now);
            }
            PeerMessage::Roster(news) => self.discovery.handle_members_message(&news, now),
            PeerMessage::Upstreams(news) => {
                self.discovery
                    .handle_upstreams_message(&incoming.from, *news, now);
            }
            PeerMessage::Crashes(news) => self.discovery.handle_crashes_message(&news, now),
            PeerMessage::Rates(news) => self.discovery.handle_rates_message(&news, now),
            PeerMessage::PermitAsk(ask) => self.hear_ask(&incoming.from, &ask, now),
            // The inbox hands over the kinds above only.
            _ => {}
        }
    }

    /// Takes an ask in; who waits is answered at once, all others at the next tick.
    fn hear_ask(&mut self, from: &DaemonId, ask: &PermitAsk, now: Timestamp) {
        let is_waited_for = self.permits.hear(from, ask, now);
        if is_waited_for {
            self.issue_permits(now);
        }
    }

    fn issue_permits(&mut self, now: Timestamp) {
        let peers = &self.setup.peers;
        self.permits.issue(&mut self.discovery, peers, now);
    }

    fn note_stalled(&mut self, hello: &Hello, now: Timestamp) {
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
            version: state.routes().map(|held| held.version),
            is_in_touch: self.setup.replication.status().leader.is_some(),
        }
    }

    /// Does what discovery asks for.
    fn act(&mut self) {
        for action in self.discovery.take_actions() {
            match action {
                Action::AddPeer(daemon, address) => self.setup.peers.know(&daemon, address),
                Action::RemovePeer(daemon) => self.setup.peers.forget(&daemon),
                Action::Send(to, message) => self.setup.peers.send(&to, message),
                Action::SendRoutes(to) => self.send_routes(&to),
                Action::Log(learnt) => log(learnt),
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
        self.demand.weigh(&self.discovery, now);
        self.spread_routes(routes, now);
        self.act();
        self.lead(now);
    }

    fn publish_addresses(&mut self, now: Timestamp) {
        if now < self.addresses_due {
            return;
        }
        self.addresses_due = now + ADDRESSES_EVERY;
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

    fn lead(&mut self, now: Timestamp) {
        self.leading.follow(&self.setup.replication, now);
        self.permits.follow(self.leading.term(), now);
        self.issue_permits(now);
        let state = self.setup.replication.local();
        if let Some(document) = state.routes() {
            self.stalled.retain(|_, at| now.since(*at) < STALL_TOLD_FOR);
            let stalled: BTreeSet<InstanceId> = self.stalled.keys().cloned().collect();
            let table = &document.table;
            let is_before_first_request = !self.discovery.has_served();
            let orders = self.leading.orders(
                table,
                self.discovery.registry(),
                &stalled,
                self.demand.by_model(),
                is_before_first_request,
                now,
            );
            for order in orders {
                // A full ring loses the order; it counts as unanswered and comes again.
                let _ = self.setup.orders.push(order);
            }
        }
        let me = &self.setup.disk;
        let change =
            self.leading
                .voters(me, self.discovery.members(), &self.setup.replication, now);
        if let Some(command) = change {
            let replication = self.setup.replication.clone();
            // What comes of it shows in the log's state; it is proposed again if need be.
            tokio::task::spawn_local(async move { replication.propose(command).await.ok() });
        }
    }
}

fn log(learnt: DiscoveryEvent) {
    match learnt {
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
        DiscoveryEvent::UpstreamChanged(report) => log_change(&report),
        DiscoveryEvent::UpstreamEnded(instance, how) => {
            let how = format!("{how:?}");
            LogEvent::UpstreamEnded { instance, how }.emit();
        }
        DiscoveryEvent::UpstreamForgotten(instance) => {
            let how = "Forgotten".to_owned();
            LogEvent::UpstreamEnded { instance, how }.emit();
        }
        DiscoveryEvent::Quarantine(change) => log_quarantine(&change),
        DiscoveryEvent::Rate(change) => log_rate(change),
        // Only entry daemons choose sources.
        DiscoveryEvent::SourcesChanged(_) => {}
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
