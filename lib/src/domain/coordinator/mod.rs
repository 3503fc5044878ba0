//! One entry daemon's part in its failure domain: events in, actions out.

mod figures;
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
        FiguresDelta,
        LeaseMessage,
        PeerMessage, //
    },
    prelude::*,
    upstream_api::Announcement,
};

/// How often what was not acknowledged is sent again.
const REPEAT_EVERY: Duration = Duration::from_millis(500);
/// A pause between two events that is longer than this tells that the process was stopped.
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
    relays: Relays,
    foreign: ForeignReports,
    losses: Losses,
    report_sequence: u64,
    last_report: Option<DomainReport>,
    reported_at: Timestamp,
    waiting_figures: Vec<FiguresDelta>,
    last_event: Timestamp,
    last_tick: Timestamp,
    repeat_at: Timestamp,
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
            relays: Relays::default(),
            foreign: ForeignReports::default(),
            losses: Losses::default(),
            report_sequence: 0,
            last_report: None,
            reported_at: now,
            waiting_figures: Vec::new(),
            last_event: now,
            last_tick: now,
            repeat_at: now,
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

    /// Returns what was lost in this epoch, as far as this daemon led.
    pub fn losses(&self) -> Losses {
        self.losses
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
        self.note_tokens(&vm, now);
        self.relay(&vm);
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
        self.notice_pause(now);
        match message {
            PeerMessage::Lease(message) => self.receive_lease(from, &message, now),
            PeerMessage::Config(update) => self.receive_config(from, update, now),
            PeerMessage::ConfigAck(ack) => self.receive_config_ack(from, ack),
            PeerMessage::ConfigRequest { have } => self.answer_config(from, have),
            PeerMessage::Table(table) => self.receive_table(from, table, now),
            PeerMessage::TableAck { epoch, sequence } => {
                self.receive_table_ack(from, epoch, sequence, now);
            }
            PeerMessage::Report(report) => self.receive_report(from, report, now),
            PeerMessage::Relay(announcement) => self.receive_relay(from, *announcement, now),
            PeerMessage::Figures(figures) => self.receive_figures(from, figures),
            PeerMessage::Heard(vms) => self.receive_list(from, vms, now),
            PeerMessage::RelayOrder(orders) => self.receive_relay_order(from, orders, now),
            _ => {}
        }
        self.take_actions()
    }

    /// Moves on with time; to be called several times in each heartbeat.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        self.notice_pause(now);
        let passed = now.since(self.last_tick);
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
            self.arrange_relays(now);
        }
        self.report(now);
        self.send_figures(now);
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

    /// Credits upstreams with time in which this process did nothing, whatever woke it.
    ///
    /// Ticks come many times as often, so a longer gap means that the process or its
    /// VM was stopped. Its silence must not be taken for that of the upstreams.
    fn notice_pause(&mut self, now: Timestamp) {
        let gap = now.since(self.last_event);
        if gap >= PAUSE_NOTICED {
            self.upstreams.credit_pause(gap);
        }
        self.last_event = now;
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
        let view = leader_view(&self.parameters, &self.lease, &self.config, &self.upstreams);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let work = leader.tick(view, now);
        for command in work.commands {
            self.actions.push(Action::Command(command));
        }
        if let Some(table) = work.table {
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
