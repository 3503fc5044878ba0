//! The thread `spread`: sends the accepted configuration to entry daemons and handles their
//! reports.
//!
//! [`cicadabend::fleet::spread`] makes the decisions; this thread carries them out.

mod confirmation;

use std::{
    sync::Arc,
    time::Duration, //
};

use cicadabend::{
    fleet::{
        policy_statistics::PolicyTotals,
        spread::{
            ConfigMessage,
            ControlSpread,
            Topology, //
        }, //
    },
    ids::Address,
    peer_api::{
        ConfigBody,
        ControlHello,
        PeerMessage, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    metrics::Metrics,
    peers::{
        Incoming,
        PeerSender, //
    },
    ring::Receiver,
    settings::{
        ControlSettings,
        PeerRole, //
    },
};

use confirmation::Confirmation;

use crate::{
    counters::ConfigSent,
    events::LogEvent,
    replication::ReplicationHandle,
    view::SharedView, //
};

/// How often the thread checks the log's state; changes between two checks are sent as one.
const TICK_INTERVAL_MS: u64 = 50;
/// How often this daemon sends a hello to the other control daemons, to show that it is live.
const HELLO_INTERVAL_MS: u64 = 1_000;

/// The state of the thread `spread`.
pub(crate) struct Spread {
    decisions: ControlSpread,
    policies: PolicyTotals,
    replication: ReplicationHandle,
    peers: PeerSender,
    view: SharedView,
    metrics: Metrics,
    clock: Clock,
    /// The newest revision that all reachable entry daemons are known to have applied.
    in_force: Revision,
    confirmation: Confirmation,
    other_controls: Vec<DaemonId>,
    operators: Option<Address>,
}

/// Returns the control and entry daemons that the settings name, with their failure domains.
pub(crate) fn topology(settings: &ControlSettings, boot: BootId) -> Topology {
    let of_role = |role: PeerRole| {
        let peers = settings.peers.iter().filter(move |peer| peer.role == role);
        peers.map(|peer| (peer.daemon.clone(), peer.failure_domain.clone()))
    };
    let own = (settings.daemon.clone(), settings.failure_domain.clone());
    Topology {
        own: settings.daemon.clone(),
        boot,
        controls: of_role(PeerRole::Control).chain([own]).collect(),
        entries: of_role(PeerRole::Entry).collect(),
    }
}

impl Spread {
    /// Creates the state of the thread; [`Self::run`] starts its work.
    pub(crate) fn new(
        settings: &ControlSettings,
        replication: ReplicationHandle,
        peers: PeerSender,
        view: SharedView,
        metrics: Metrics,
        clock: Clock,
    ) -> Self {
        let topology = topology(settings, peers.identity().boot);
        let others = topology.controls.keys();
        let others = others.filter(|daemon| **daemon != topology.own);
        let operators = settings.operators.listen;
        Self {
            other_controls: others.cloned().collect(),
            decisions: ControlSpread::new(topology),
            policies: PolicyTotals::default(),
            replication,
            peers,
            view,
            metrics,
            clock,
            in_force: Revision::default(),
            confirmation: Confirmation::default(),
            // An unspecified address (0.0.0.0) is of no use to an operator, so it is not sent.
            operators: (!operators.ip().is_unspecified()).then_some(operators),
        }
    }

    /// Sends the configuration and handles messages until the ring of messages is closed.
    pub(crate) async fn run(mut self, mut messages: Receiver<Incoming>) {
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        let mut hello = tokio::time::interval(Duration::from_millis(HELLO_INTERVAL_MS));
        loop {
            tokio::select! {
                incoming = messages.next() => match incoming {
                    Some(incoming) => self.handle(incoming),
                    None => return,
                },
                _ = tick.tick() => self.spread(),
                _ = hello.tick() => {
                    self.update_gauges();
                    self.send_hellos();
                }
            }
        }
    }

    fn handle(&mut self, incoming: Incoming) {
        let now = self.clock.now();
        let (from, boot) = (incoming.from, incoming.boot);
        match incoming.message {
            PeerMessage::ConfigAck(ack) => self
                .decisions
                .handle_config_acknowledgement(&from, ack.applied),
            PeerMessage::ConfigRequest { have } => {
                self.update_accepted();
                if let Some(answer) = self.decisions.answer(&from, have, now) {
                    self.send(answer);
                }
            }
            PeerMessage::Report(report) => {
                self.decisions.handle_domain_report(&from, report, now);
                self.publish();
                self.update_in_force(now);
            }
            PeerMessage::ControlHello(hello) => {
                self.decisions.handle_control_hello(from, boot, hello, now);
                self.publish();
            }
            PeerMessage::Figures(statistics) => {
                for delta in &statistics {
                    self.policies.add(delta);
                }
                self.publish();
            }
            // The thread `inbox` passes only the kinds above to this thread.
            _ => {}
        }
    }

    /// Sends the messages about the configuration that are due.
    fn spread(&mut self) {
        self.update_accepted();
        self.update_confirmation();
        for sending in self.decisions.tick(self.clock.now()) {
            self.send(sending);
        }
    }

    /// Reads the accepted configuration from the log's state and hands a newer one to `decisions`.
    fn update_accepted(&mut self) {
        let state = self.replication.local();
        let revision = state.revision();
        if revision > self.decisions.revision() {
            let config = Arc::new(state.config().clone());
            self.policies.retain_configured(&config);
            self.decisions.accept(revision, config);
            LogEvent::RevisionSpreading { revision }.emit();
        }
    }

    fn publish(&self) {
        self.view.publish(&self.decisions, &self.policies);
    }

    /// Logs once when all reachable entry daemons have applied the newest revision.
    fn update_in_force(&mut self, now: Timestamp) {
        let revision = self.decisions.revision();
        if revision <= self.in_force {
            return;
        }
        let status = self.decisions.rollout_status(now);
        if status.in_force {
            self.in_force = revision;
            LogEvent::RevisionInForce {
                revision,
                unreachable: status.unreachable.len(),
            }
            .emit();
        }
    }

    fn send(&self, sending: ConfigMessage) {
        self.metrics.count(match sending.update.body {
            ConfigBody::Digest => ConfigSent::Digest,
            ConfigBody::Delta(_) => ConfigSent::Delta,
            ConfigBody::Whole(_) => ConfigSent::Whole,
        });
        let message = PeerMessage::Config(sending.update);
        self.peers.send(&sending.to, message);
    }

    fn update_gauges(&self) {
        let revision = self.decisions.revision().0;
        self.metrics.gauge("accepted_revision", revision);
        self.peers.counters().show(&self.metrics);
    }

    /// As leader, confirms the accepted revision and sends it to the other control daemons.
    fn update_confirmation(&mut self) {
        let now = self.clock.now();
        if let Some(revision) = self.confirmation.take_confirmed(now) {
            self.decisions.record_confirmed_revision(revision);
            self.send_hellos();
        }
        if self.replication.status().is_leader {
            let runs = self.decisions.control_boots();
            self.confirmation.start_if_due(&self.replication, runs, now);
        }
    }

    fn send_hellos(&self) {
        let now = self.clock.now();
        let is_leader = self.replication.status().is_leader;
        let confirmed = self.confirmation.valid(now).filter(|_| is_leader);
        let hello = ControlHello {
            operators: self.operators,
            hears: self.decisions.reachable_domains(now),
            is_level: self.decisions.is_level(),
            confirmed: confirmed.cloned(),
        };
        for control in &self.other_controls {
            self.peers
                .send(control, PeerMessage::ControlHello(hello.clone()));
        }
    }
}
