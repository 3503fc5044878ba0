//! The coordinator of one entry daemon: takes in events of its failure domain and returns the
//! actions to carry out.

mod policy_statistics;
mod relaying;
mod reporting;
mod serving;
mod spreading;

use std::time::Duration;

use crate::{
    domain::{
        config_spread::ConfigSpread,
        leader::{
            AddressedCommand,
            Leader,
            LeaderView, //
        },
        lease::Lease,
        membership::{
            AnnouncementRefusal,
            Source,
            Upstreams, //
        },
        parameters::DomainParameters,
        relays::Relays,
        report::{
            ForeignReports,
            Losses, //
        },
    },
    peer_api::{
        DomainReport,
        DomainTable,
        LeaseMessage,
        PeerMessage,
        PolicyStatisticsDelta, //
    },
    prelude::*,
    upstream_api::Announcement,
};

/// How often unacknowledged messages are sent again.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(500);
/// A gap of at least this length between two events shows that this process was suspended.
const MIN_NOTICED_PAUSE: Duration = Duration::from_millis(500);

/// An action that the thread around the coordinator carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer.
    Send(DaemonId, PeerMessage),
    /// Send a command to an engine, if [`Coordinator::command_permit`] still allows it.
    Command(AddressedCommand),
    /// Take a new [`Coordinator::snapshot`] for routing, since its content may have changed.
    Publish,
}

/// The state of one entry daemon in its failure domain.
#[derive(Clone, Debug)]
pub struct Coordinator {
    parameters: DomainParameters,
    lease: Lease,
    upstreams: Upstreams,
    config: ConfigSpread,
    /// The newest table of this domain, by which this daemon routes.
    table: Option<DomainTable>,
    /// Set while this daemon holds the leader's lease.
    leader: Option<Leader>,
    relays: Relays,
    /// The newest reports of the other domains.
    foreign: ForeignReports,
    losses: Losses,
    /// The sequence number of this leader's newest report.
    report_sequence: u64,
    last_report: Option<DomainReport>,
    reported_at: Timestamp,
    /// Statistics that wait for a leader.
    pending_statistics: Vec<PolicyStatisticsDelta>,
    /// When the last event was taken in, to detect suspensions of this process.
    last_event: Timestamp,
    last_tick: Timestamp,
    next_retransmission_at: Timestamp,
    /// Actions to return at the end of the present event.
    actions: Vec<Action>,
}

impl Coordinator {
    /// Returns the coordinator of a daemon that has just started.
    pub fn new(parameters: DomainParameters, now: Timestamp) -> Self {
        let domain = parameters.failure_domain.clone();
        Self {
            lease: Lease::new(parameters.clone(), now),
            upstreams: Upstreams::new(domain, parameters.timing),
            config: ConfigSpread::default(),
            table: None,
            leader: None,
            relays: Relays::default(),
            foreign: ForeignReports::default(),
            losses: Losses::default(),
            report_sequence: 0,
            last_report: None,
            reported_at: now,
            pending_statistics: Vec::new(),
            last_event: now,
            last_tick: now,
            next_retransmission_at: now,
            actions: Vec::new(),
            parameters,
        }
    }

    /// Returns this daemon's state of the leader's lease, for reports and tests.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the upstreams whose announcements this daemon has received, dead ones included.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the table that this daemon routes by.
    pub fn table(&self) -> Option<&DomainTable> {
        self.table.as_ref()
    }

    /// Returns the downtime and stranded accelerator time of this epoch; counted only while
    /// this daemon leads and has settled.
    pub fn losses(&self) -> Losses {
        self.losses
    }

    /// Returns the revision of the configuration that this daemon has applied.
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Returns the epoch under which commands may be sent, and the time at which that
    /// permission ends; `None` if this daemon doesn't lead.
    ///
    /// The sender checks the permit immediately before each send: if the process was suspended
    /// after the decision on a command, the lease may have ended meanwhile.
    pub fn command_permit(&self) -> Option<(u32, Timestamp)> {
        let leader = self.leader.as_ref()?;
        let until = self.lease.held_until()?;
        Some((leader.epoch(), until))
    }

    /// Takes in an announcement from the upstream itself.
    ///
    /// # Errors
    ///
    /// Returns [`AnnouncementRefusal`] if the announcement must not be used.
    pub fn handle_announcement(
        &mut self,
        announcement: Announcement,
        source: Source,
        now: Timestamp,
    ) -> Result<Vec<Action>, AnnouncementRefusal> {
        self.notice_pause(now);
        let vm = announcement.vm.clone();
        let changed = self
            .upstreams
            .handle_announcement(announcement, source, now)?;
        self.observe_token_epoch(&vm, now);
        self.relay_announcement(&vm);
        self.actions.push(Action::Publish);
        if changed {
            self.run_leader(now);
        }
        Ok(self.take_actions())
    }

    /// Takes in a message from a peer.
    pub fn receive(
        &mut self,
        from: &DaemonId,
        message: PeerMessage,
        now: Timestamp,
    ) -> Vec<Action> {
        self.notice_pause(now);
        match message {
            PeerMessage::Lease(message) => self.receive_lease(from, &message, now),
            PeerMessage::Config(update) => self.receive_config(from, update, now),
            PeerMessage::ConfigAck(ack) => self.receive_config_ack(from, ack),
            PeerMessage::ConfigRequest { have } => self.answer_config_request(from, have),
            PeerMessage::Table(table) => self.receive_table(from, table, now),
            PeerMessage::TableAck { epoch, sequence } => {
                self.receive_table_ack(from, epoch, sequence, now);
            }
            PeerMessage::Report(report) => self.receive_report(from, report, now),
            PeerMessage::Relay(announcement) => {
                self.receive_relayed_announcement(from, *announcement, now)
            }
            PeerMessage::Figures(statistics) => self.relay_policy_statistics(from, statistics),
            PeerMessage::Heard(vms) => self.receive_direct_upstreams(from, vms, now),
            PeerMessage::RelayOrder(orders) => self.receive_relay_order(from, orders, now),
            _ => {}
        }
        self.take_actions()
    }

    /// Lets time pass: renews the lease, acts as leader, and sends what is due. Must be called
    /// several times in each heartbeat.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.notice_pause(now);
        let passed = now.since(self.last_tick);
        self.last_tick = now;
        let outdated_daemons = match &self.leader {
            Some(leader) => leader.outdated_daemons(&self.parameters),
            None => self.parameters.daemons.iter().collect(),
        };
        let outdated_daemons = outdated_daemons.into_iter().cloned().collect();
        self.lease.withhold_routing_leases(outdated_daemons);
        for (to, message) in self.lease.tick(now) {
            self.actions
                .push(Action::Send(to, PeerMessage::Lease(message)));
        }
        self.run_leader(now);
        self.record_losses(passed, now);
        if now >= self.next_retransmission_at {
            self.next_retransmission_at = now + RETRANSMIT_INTERVAL;
            self.retransmit(now);
            self.arrange_relays(now);
        }
        self.send_report_if_due(now);
        self.send_policy_statistics(now);
        self.upstreams.forget_old(now);
        self.actions.push(Action::Publish);
        self.take_actions()
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, to: &DaemonId, message: PeerMessage) {
        if *to != self.parameters.daemon {
            self.actions.push(Action::Send(to.clone(), message));
        }
    }

    /// Credits the upstreams with the time in which this process was suspended.
    ///
    /// Ticks are far more frequent, so a longer gap between two events means that the process
    /// or its VM was suspended. The silence of that time must not count as that of the
    /// upstreams.
    fn notice_pause(&mut self, now: Timestamp) {
        let gap = now.since(self.last_event);
        if gap >= MIN_NOTICED_PAUSE {
            self.upstreams.credit_pause(gap);
        }
        self.last_event = now;
    }

    /// Passes the highest epoch that an engine has seen to the lease.
    fn observe_token_epoch(&mut self, vm: &VmId, now: Timestamp) {
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
        let is_token_of_other_instance =
            |leader: &Leader| leader.is_token_of_other_instance(highest);
        // A token that this process didn't issue, but that has its epoch, comes from an earlier
        // process of this daemon that led under the same epoch. This process might issue the
        // same token next, so it must lead under a higher epoch.
        let epoch = match self.leader.as_ref().is_some_and(is_token_of_other_instance) {
            true => highest.epoch.saturating_add(1),
            false => highest.epoch,
        };
        self.lease.observe_epoch(epoch, now);
    }

    /// Takes in a lease message; sends the newest known table to a leader that this voter newly
    /// follows.
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
        // The new leader adopts the groups of the newest table that a majority knows.
        if leads != led_before
            && let Some((leader, _)) = leads
            && let Some(table) = self.table.clone()
        {
            self.send(&leader, PeerMessage::Table(table));
        }
    }

    /// Lets the leader decide while this daemon holds the lease; drops the leader once it
    /// doesn't.
    fn run_leader(&mut self, now: Timestamp) {
        let Some(epoch) = self.lease.held_epoch(now) else {
            self.leader = None;
            return;
        };
        if self
            .leader
            .as_ref()
            .is_none_or(|leader| leader.epoch() != epoch)
        {
            let instance = (self.parameters.seed & u64::from(u32::MAX)) as u32;
            self.leader = Some(Leader::new(epoch, self.table.clone(), instance, now));
            self.losses = Losses::default();
            self.report_sequence = 0;
        }
        // Without the configuration, a leader would dissolve every group.
        if !self.config.is_ready() {
            return;
        }
        let view = leader_view(&self.parameters, &self.lease, &self.config, &self.upstreams);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let output = leader.tick(view, now);
        for command in output.commands {
            self.actions.push(Action::Command(command));
        }
        if let Some(table) = output.table {
            self.table = Some(table.clone());
            for child in self.children() {
                self.send(&child, PeerMessage::Table(table.clone()));
            }
            self.actions.push(Action::Publish);
        }
    }
}

fn leader_view<'a>(
    parameters: &'a DomainParameters,
    lease: &'a Lease,
    config: &'a ConfigSpread,
    upstreams: &'a Upstreams,
) -> LeaderView<'a> {
    LeaderView {
        parameters,
        lease,
        config: config.config(),
        revision: config.revision(),
        upstreams,
    }
}
