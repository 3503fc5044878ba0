//! Sends the accepted configuration to entry daemons and takes in what they report.
//!
//! The decisions are in [`cicadabend::fleet::spread`]; this thread carries them out.

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

/// How often the log's state is looked at; changes in between go out as one.
const TICK_MS: u64 = 50;
/// How often the other control daemons are told that this one lives.
const HELLO_INTERVAL_MS: u64 = 1_000;

/// The duty of the `spread` thread.
pub(crate) struct Spread {
    decisions: ControlSpread,
    policies: PolicyTotals,
    replication: ReplicationHandle,
    peers: PeerSender,
    view: SharedView,
    metrics: Metrics,
    clock: Clock,
    in_force: Revision,
    confirmation: Confirmation,
    other_controls: Vec<DaemonId>,
    operators: Option<Address>,
}

/// Returns the processes that the settings name.
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
    /// Makes the duty; it starts with [`Self::run`].
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
            // An operator cannot be sent to a listener on all addresses.
            operators: (!operators.ip().is_unspecified()).then_some(operators),
        }
    }

    /// Spreads until the ring of messages is closed.
    pub(crate) async fn run(mut self, mut messages: Receiver<Incoming>) {
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
        let mut hello = tokio::time::interval(Duration::from_millis(HELLO_INTERVAL_MS));
        loop {
            tokio::select! {
                incoming = messages.next() => match incoming {
                    Some(incoming) => self.handle(incoming),
                    None => return,
                },
                _ = tick.tick() => self.spread(),
                _ = hello.tick() => {
                    self.show_gauges();
                    self.say_hello();
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
                self.take_accepted();
                if let Some(answer) = self.decisions.answer(&from, have, now) {
                    self.send(answer);
                }
            }
            PeerMessage::Report(report) => {
                self.decisions.handle_domain_report(&from, report, now);
                self.publish();
                self.note_in_force(now);
            }
            PeerMessage::ControlHello(hello) => {
                self.decisions.handle_control_hello(from, boot, hello, now);
                self.publish();
            }
            PeerMessage::Figures(figures) => {
                for delta in &figures {
                    self.policies.add(delta);
                }
                self.publish();
            }
            // The inbox hands over the kinds above only.
            _ => {}
        }
    }

    fn spread(&mut self) {
        self.take_accepted();
        self.confirm();
        for sending in self.decisions.tick(self.clock.now()) {
            self.send(sending);
        }
    }

    fn take_accepted(&mut self) {
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

    fn note_in_force(&mut self, now: Timestamp) {
        let revision = self.decisions.revision();
        if revision <= self.in_force {
            return;
        }
        let rollout_status = self.decisions.rollout_status(now);
        if rollout_status.in_force {
            self.in_force = revision;
            LogEvent::RevisionInForce {
                revision,
                unreachable: rollout_status.unreachable.len(),
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

    fn show_gauges(&self) {
        let revision = self.decisions.revision().0;
        self.metrics.gauge("accepted_revision", revision);
        self.peers.counters().show(&self.metrics);
    }

    /// As leader, finds out what is accepted and lets the other control daemons know.
    fn confirm(&mut self) {
        let now = self.clock.now();
        if let Some(revision) = self.confirmation.take(now) {
            self.decisions.record_confirmed_revision(revision);
            self.say_hello();
        }
        if self.replication.status().is_leader {
            let runs = self.decisions.control_boots();
            self.confirmation.ask(&self.replication, runs, now);
        }
    }

    fn say_hello(&self) {
        let now = self.clock.now();
        let is_leader = self.replication.status().is_leader;
        let confirmed = self.confirmation.fresh(now).filter(|_| is_leader);
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
