//! One entry daemon's part in its failure domain: events in, actions out.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use crate::{
    domain::{
        admission_gate,
        config_spread::{
            ConfigSpread,
            Received, //
        },
        leader::{
            AddressedCommand,
            Leader,
            LeaderView, //
        },
        lease::Lease,
        membership::{
            AnnouncementRefusal,
            Liveness,
            Source,
            Upstreams, //
        },
        parameters::DomainParameters,
        report::{
            self,
            ForeignReports,
            Losses, //
        },
        spread_tree,
    },
    peer_api::{
        ConfigUpdate,
        DomainReport,
        DomainTable,
        LeaseMessage,
        PeerMessage, //
    },
    prelude::*,
    routing::{
        Replica,
        ReplicaId,
        RoutingSnapshot, //
    },
    upstream_api::Announcement,
};

/// How often what was not acknowledged is sent again.
const REPEAT_EVERY: Duration = Duration::from_millis(500);
/// How often a report is sent though nothing changed.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// A tick that is later than this tells that the process itself was stopped.
const PAUSE_NOTICED: Duration = Duration::from_millis(500);

/// What a daemon wants done by the thread around it.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer.
    Send(DaemonId, PeerMessage),
    /// Send a command to an engine, if [`Coordinator::command_permit`] still allows it.
    Command(AddressedCommand),
    /// Something that requests are served by has changed.
    Publish,
}

/// The state of one daemon in its failure domain.
#[derive(Clone, Debug)]
pub struct Coordinator {
    parameters: DomainParameters,
    lease: Lease,
    upstreams: Upstreams,
    config: ConfigSpread,
    table: Option<DomainTable>,
    leader: Option<Leader>,
    foreign: ForeignReports,
    losses: Losses,
    report_sequence: u64,
    last_report: Option<DomainReport>,
    last_tick: Timestamp,
    repeat_at: Timestamp,
    report_at: Timestamp,
    actions: Vec<Action>,
}

impl Coordinator {
    /// Makes the coordinator of a daemon that has just started.
    pub fn new(parameters: DomainParameters, now: Timestamp) -> Self {
        let domain = parameters.failure_domain.clone();
        Self {
            lease: Lease::new(parameters.clone(), now),
            upstreams: Upstreams::new(domain, parameters.timing),
            config: ConfigSpread::default(),
            table: None,
            leader: None,
            foreign: ForeignReports::default(),
            losses: Losses::default(),
            report_sequence: 0,
            last_report: None,
            last_tick: now,
            repeat_at: now,
            report_at: now,
            actions: Vec::new(),
            parameters,
        }
    }

    /// Returns the lease's state, for reports and tests.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the upstreams known.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the table that this daemon routes by.
    pub fn table(&self) -> Option<&DomainTable> {
        self.table.as_ref()
    }

    /// Returns the revision in force here.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Returns until when commands may be sent, and under which epoch.
    ///
    /// A process that was stopped since it decided on a command must look again
    /// immediately before it sends: its lease may have ended meanwhile.
    pub fn command_permit(&self) -> Option<(u32, Timestamp)> {
        let leader = self.leader.as_ref()?;
        let until = self.lease.held_until()?;
        Some((leader.epoch(), until))
    }

    /// Takes an upstream's announcement.
    ///
    /// # Errors
    ///
    /// Returns [`AnnouncementRefusal`] if it must not be used.
    pub fn hear(
        &mut self,
        announcement: Announcement,
        source: Source,
        now: Timestamp,
    ) -> Result<Vec<Action>, AnnouncementRefusal> {
        let vm = announcement.vm.clone();
        let changed = self.upstreams.hear(announcement, source, now)?;
        self.note_tokens(&vm, now);
        self.actions.push(Action::Publish);
        if changed {
            self.lead(now);
        }
        Ok(self.take_actions())
    }

    /// Takes a message of another process.
    pub fn receive(
        &mut self,
        from: &DaemonId,
        message: PeerMessage,
        now: Timestamp,
    ) -> Vec<Action> {
        match message {
            PeerMessage::Lease(message) => self.receive_lease(from, &message, now),
            PeerMessage::Config(update) => self.receive_config(from, update, now),
            PeerMessage::ConfigAck(ack) => {
                self.config.acknowledged(from, ack);
            }
            PeerMessage::ConfigRequest { have } => self.answer_config(from, have),
            PeerMessage::Table(table) => self.receive_table(from, table, now),
            PeerMessage::TableAck { epoch, sequence } => {
                self.receive_table_ack(from, epoch, sequence, now);
            }
            PeerMessage::Report(report) => self.receive_report(from, report, now),
            PeerMessage::Relay(announcement) => self.receive_relay(from, *announcement, now),
            _ => {}
        }
        self.take_actions()
    }

    /// Moves on with time; to be called several times in each heartbeat.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let passed = now.since(self.last_tick);
        if passed >= PAUSE_NOTICED {
            self.upstreams.credit_pause(passed);
        }
        self.last_tick = now;
        let behind = match &self.leader {
            Some(leader) => leader.behind(&self.parameters),
            None => self.parameters.daemons.iter().collect(),
        };
        let behind = behind.into_iter().cloned().collect();
        self.lease.withhold_routing_leases(behind);
        for (to, message) in self.lease.tick(now) {
            self.actions
                .push(Action::Send(to, PeerMessage::Lease(message)));
        }
        self.lead(now);
        self.add_losses(passed, now);
        if now >= self.repeat_at {
            self.repeat_at = now + REPEAT_EVERY;
            self.repeat(now);
        }
        self.report(now);
        self.upstreams.forget_old(now);
        self.actions.push(Action::Publish);
        self.take_actions()
    }

    /// Returns what requests are served by now.
    pub fn snapshot(&self, now: Timestamp) -> RoutingSnapshot {
        let mut replicas = self.own_groups(now);
        replicas.extend(self.own_plain_services(now));
        replicas.extend(self.foreign.replicas(now));
        RoutingSnapshot {
            ready: self.config.is_ready(),
            revision: self.config.revision(),
            config: Arc::clone(self.config.config()),
            replicas,
            team_shares: BTreeMap::new(),
        }
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, to: &DaemonId, message: PeerMessage) {
        if *to != self.parameters.daemon {
            self.actions.push(Action::Send(to.clone(), message));
        }
    }

    fn note_tokens(&mut self, vm: &VmId, now: Timestamp) {
        let Some(engine) = self
            .upstreams
            .get(vm)
            .and_then(|upstream| upstream.engine())
        else {
            return;
        };
        let member = engine
            .membership
            .as_ref()
            .map(|membership| membership.token);
        let highest = engine.highest_token.max(member.unwrap_or_default());
        let is_foreign = |leader: &Leader| leader.is_foreign(highest);
        // An earlier run of this daemon led under the same epoch; a token of that run
        // may be the one that this run would give out next.
        let epoch = match self.leader.as_ref().is_some_and(is_foreign) {
            true => highest.epoch.saturating_add(1),
            false => highest.epoch,
        };
        self.lease.note_epoch(epoch, now);
    }

    fn receive_relay(&mut self, from: &DaemonId, announcement: Announcement, now: Timestamp) {
        if !self.parameters.daemons.contains(from) {
            return;
        }
        let vm = announcement.vm.clone();
        // A relayed announcement that is refused is an old one, or the relaying daemon
        // has not yet noticed what this one has; either ends by itself.
        if self
            .upstreams
            .hear(announcement, Source::Relayed, now)
            .is_ok()
        {
            self.note_tokens(&vm, now);
            self.actions.push(Action::Publish);
        }
    }

    fn receive_lease(&mut self, from: &DaemonId, message: &LeaseMessage, now: Timestamp) {
        let led_before = self
            .lease
            .leader(now)
            .map(|(leader, epoch)| (leader.clone(), epoch));
        for (to, message) in self.lease.handle(from, message, now) {
            self.actions
                .push(Action::Send(to, PeerMessage::Lease(message)));
        }
        let leads = self
            .lease
            .leader(now)
            .map(|(leader, epoch)| (leader.clone(), epoch));
        // The new leader continues from the newest table that a majority knows.
        if leads != led_before
            && let Some((leader, _)) = leads
            && let Some(table) = self.table.clone()
        {
            self.send(&leader, PeerMessage::Table(table));
        }
    }

    fn receive_config(&mut self, from: &DaemonId, update: ConfigUpdate, now: Timestamp) {
        match self.config.receive(&self.parameters, from, update) {
            Received::Applied => {
                self.actions.push(Action::Publish);
                self.acknowledge_config(from);
                self.pass_config_on(now);
                self.lead(now);
            }
            Received::Behind => {
                let have = self.config.revision();
                self.send(from, PeerMessage::ConfigRequest { have });
            }
            Received::Same => self.acknowledge_config(from),
            Received::Older => {}
        }
    }

    fn acknowledge_config(&mut self, to: &DaemonId) {
        let ack = self
            .config
            .acknowledgement(&self.parameters.daemon, &self.children());
        self.send(to, PeerMessage::ConfigAck(ack));
    }

    fn answer_config(&mut self, from: &DaemonId, have: Revision) {
        // A daemon that has itself just started must not count as one that knows.
        if !self.config.is_ready() {
            return;
        }
        let update = match self.config.revision() > have {
            true => self.config.whole(),
            false => self.config.digest(),
        };
        self.send(from, PeerMessage::Config(update));
    }

    fn children(&self) -> Vec<DaemonId> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let own = &self.parameters.daemon;
        let root = table
            .daemons
            .iter()
            .find(|daemon| self.led_by(daemon, table.epoch));
        root.map_or_else(Vec::new, |root| {
            spread_tree::children(root, &table.daemons, own)
        })
    }

    fn led_by(&self, daemon: &DaemonId, epoch: u32) -> bool {
        self.lease.is_epoch_of(daemon, epoch)
    }

    /// Sends the configuration to those below, and its number to the leader if it came past it.
    fn pass_config_on(&mut self, now: Timestamp) {
        let children = self.children();
        let whole = self.config.whole();
        for child in self.config.behind(&children) {
            self.actions.push(Action::Send(
                child.clone(),
                PeerMessage::Config(whole.clone()),
            ));
        }
        if let Some((leader, _)) = self.lease.leader(now) {
            let leader = leader.clone();
            let digest = self.config.digest();
            self.send(&leader, PeerMessage::Config(digest));
        }
    }

    fn receive_table(&mut self, from: &DaemonId, table: DomainTable, now: Timestamp) {
        let is_own_domain = table.failure_domain == self.parameters.failure_domain;
        if !is_own_domain || !self.parameters.daemons.contains(from) {
            return;
        }
        self.lease.note_epoch(table.epoch, now);
        if self.lease.held_epoch(now).is_none() {
            self.leader = None;
        }
        if let Some(leader) = &mut self.leader {
            leader.inherit(table);
            return;
        }
        let order = |table: &DomainTable| (table.epoch, table.sequence);
        let known = self.table.as_ref();
        let is_newer = known.is_none_or(|known| order(known) < order(&table));
        // The sender is the leader of that epoch, or a daemon that hands an older table over.
        let is_from_leader = self.lease.is_epoch_of(from, table.epoch);
        if is_newer {
            self.table = Some(table);
            self.actions.push(Action::Publish);
        }
        if is_from_leader && let Some(held) = &self.table {
            // Of what is held, not of what came: the leader sees if it is not its own.
            let ack = PeerMessage::TableAck {
                epoch: held.epoch,
                sequence: held.sequence,
            };
            self.send(from, ack);
        }
    }

    fn receive_table_ack(&mut self, from: &DaemonId, epoch: u32, sequence: u64, now: Timestamp) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !leader.acknowledge(from, epoch, sequence) {
            // An earlier run of this daemon led under the same epoch.
            self.lease.note_epoch(epoch.saturating_add(1), now);
        }
    }

    fn receive_report(&mut self, from: &DaemonId, report: DomainReport, now: Timestamp) {
        if report.failure_domain == self.parameters.failure_domain {
            return;
        }
        if !self.foreign.hear(&report, now) {
            return;
        }
        self.actions.push(Action::Publish);
        let leader = self.lease.leader(now).map(|(leader, _)| leader.clone());
        let is_leader = leader.as_ref() == Some(&self.parameters.daemon);
        let is_from_outside = !self.parameters.daemons.contains(from);
        if is_from_outside
            && !is_leader
            && let Some(leader) = leader
        {
            self.send(&leader, PeerMessage::Report(report));
            return;
        }
        for child in self.children() {
            self.send(&child, PeerMessage::Report(report.clone()));
        }
    }

    /// Acts as leader if the lease says so, and stops at once if it no longer does.
    fn lead(&mut self, now: Timestamp) {
        let Some(epoch) = self.lease.held_epoch(now) else {
            self.leader = None;
            return;
        };
        if self
            .leader
            .as_ref()
            .is_none_or(|leader| leader.epoch() != epoch)
        {
            let run = (self.parameters.seed & u64::from(u32::MAX)) as u32;
            self.leader = Some(Leader::new(epoch, self.table.clone(), run, now));
            self.losses = Losses::default();
            self.report_sequence = 0;
        }
        // A leader that does not know the configuration would dissolve every group.
        if !self.config.is_ready() {
            return;
        }
        let view = LeaderView {
            parameters: &self.parameters,
            lease: &self.lease,
            config: self.config.config(),
            revision: self.config.revision(),
            upstreams: &self.upstreams,
        };
        let Some(leader) = &mut self.leader else {
            return;
        };
        let work = leader.tick(view, now);
        for command in work.commands {
            self.actions.push(Action::Command(command));
        }
        if let Some(table) = work.table {
            self.table = Some(table.clone());
            let others = self.parameters.daemons.clone();
            for daemon in others {
                self.send(&daemon, PeerMessage::Table(table.clone()));
            }
            self.actions.push(Action::Publish);
        }
    }

    fn add_losses(&mut self, passed: Duration, now: Timestamp) {
        let view = LeaderView {
            parameters: &self.parameters,
            lease: &self.lease,
            config: self.config.config(),
            revision: self.config.revision(),
            upstreams: &self.upstreams,
        };
        if let Some(leader) = &self.leader
            && leader.is_settled()
        {
            self.losses.add(leader, view, passed, now);
        }
    }

    /// Sends again what was not acknowledged.
    fn repeat(&mut self, now: Timestamp) {
        if !self.config.is_ready() {
            self.ask_for_config();
        }
        let children = self.children();
        let digest = self.config.digest();
        for child in self.config.behind(&children) {
            self.actions.push(Action::Send(
                child.clone(),
                PeerMessage::Config(digest.clone()),
            ));
        }
        if let Some((leader, _)) = self.lease.leader(now) {
            let leader = leader.clone();
            self.acknowledge_config(&leader);
        }
        let Some(leader) = &self.leader else {
            return;
        };
        let Some(table) = leader.table() else {
            return;
        };
        for daemon in leader.behind(&self.parameters) {
            let message = PeerMessage::Table(table.clone());
            self.actions.push(Action::Send(daemon.clone(), message));
        }
    }

    fn ask_for_config(&mut self) {
        let have = self.config.revision();
        let fellows = self.parameters.daemons.iter();
        let asked: Vec<DaemonId> = fellows
            .chain(self.parameters.control.keys())
            .cloned()
            .collect();
        for daemon in asked {
            self.send(&daemon, PeerMessage::ConfigRequest { have });
        }
    }

    fn report(&mut self, now: Timestamp) {
        let Some(leader) = &self.leader else {
            return;
        };
        if now < self.report_at || !leader.is_settled() {
            return;
        }
        self.report_at = now + REPORT_EVERY;
        self.report_sequence += 1;
        let ack = self
            .config
            .acknowledgement(&self.parameters.daemon, &self.children());
        let sequence = self.report_sequence;
        let report = report::report(
            leader,
            LeaderView {
                parameters: &self.parameters,
                lease: &self.lease,
                config: self.config.config(),
                revision: self.config.revision(),
                upstreams: &self.upstreams,
            },
            ack,
            self.losses,
            sequence,
            now,
        );
        let mut receivers: Vec<DaemonId> = self.parameters.control.keys().cloned().collect();
        for (domain, daemons) in &self.parameters.other_domains {
            match self.foreign.leader(domain, now) {
                Some(leader) => receivers.push(leader.clone()),
                None => receivers.extend(daemons.iter().cloned()),
            }
        }
        for receiver in receivers {
            self.send(&receiver, PeerMessage::Report(report.clone()));
        }
        self.last_report = Some(report);
    }

    fn own_groups(&self, now: Timestamp) -> Vec<Replica> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let routing_lease_since = self.lease.routing_lease_since(now);
        let groups =
            admission_gate::admitted_groups(table, &self.upstreams, routing_lease_since, now);
        let replicas = groups.into_iter().map(|group| Replica {
            id: ReplicaId::Group(group.assignment.group.clone()),
            service: group.assignment.service.clone(),
            failure_domain: self.parameters.failure_domain.clone(),
            token: group.assignment.token,
            address: group.first.announcement.address,
            slots: group.first.announcement.slots,
            load: group.first.announcement.load,
            load_received_at: group.first.received_at,
        });
        replicas.collect()
    }

    fn own_plain_services(&self, now: Timestamp) -> Vec<Replica> {
        let live = self.upstreams.iter().filter(|(vm, upstream)| {
            let is_live = self.upstreams.liveness(vm, now) == Liveness::Live;
            is_live && !upstream.announcement.leaving
        });
        let replicas = live.filter_map(|(vm, upstream)| {
            Some(Replica {
                id: ReplicaId::Vm(vm.clone()),
                service: upstream.plain_service()?.clone(),
                failure_domain: self.parameters.failure_domain.clone(),
                token: FencingToken::default(),
                address: upstream.announcement.address,
                slots: upstream.announcement.slots,
                load: upstream.announcement.load,
                load_received_at: upstream.received_at,
            })
        });
        replicas.collect()
    }
}
