//! Sends the accepted configuration to entry daemons and takes in what they report.
//!
//! The decisions are in [`cicadabend::fleet::spread`]; this thread carries them out.

use std::{
    sync::Arc,
    time::Duration, //
};

use cicadabend::{
    fleet::spread::{
        ControlSpread,
        Sending,
        Topology, //
    },
    ids::Address,
    peer_api::{
        ControlHello,
        PeerMessage, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
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

use crate::{
    replication::ReplicationHandle,
    view::SharedView, //
};

/// How often the log's state is looked at; changes in between go out as one.
const TICK_MS: u64 = 50;
/// How often the other control daemons are told that this one lives.
const HELLO_INTERVAL_MS: u64 = 500;

/// The duty of the `spread` thread.
pub(crate) struct Spread {
    decisions: ControlSpread,
    replication: ReplicationHandle,
    peers: PeerSender,
    view: SharedView,
    clock: Clock,
    other_controls: Vec<DaemonId>,
    operators: Option<Address>,
}

/// Returns the processes that the settings name.
pub(crate) fn topology(settings: &ControlSettings) -> Topology {
    let of_role = |role: PeerRole| {
        let peers = settings.peers.iter().filter(move |peer| peer.role == role);
        peers.map(|peer| (peer.daemon.clone(), peer.failure_domain.clone()))
    };
    let own = (settings.daemon.clone(), settings.failure_domain.clone());
    Topology {
        own: settings.daemon.clone(),
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
        clock: Clock,
    ) -> Self {
        let topology = topology(settings);
        let others = topology.controls.keys();
        let others = others.filter(|daemon| **daemon != topology.own);
        let operators = settings.operators.listen;
        Self {
            other_controls: others.cloned().collect(),
            decisions: ControlSpread::new(topology),
            replication,
            peers,
            view,
            clock,
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
                _ = hello.tick() => self.say_hello(),
            }
        }
    }

    fn handle(&mut self, incoming: Incoming) {
        let now = self.clock.now();
        let from = incoming.from;
        match incoming.message {
            PeerMessage::ConfigAck(ack) => self.decisions.hear_acknowledgement(&from, ack.applied),
            PeerMessage::ConfigRequest { have } => {
                self.take_accepted();
                let answer = self.decisions.answer(&from, have, now);
                self.send(answer);
            }
            PeerMessage::Report(report) => {
                self.decisions.hear_report(&from, report, now);
                self.view.publish(&self.decisions);
            }
            PeerMessage::ControlHello(hello) => {
                self.decisions.hear_control(from, hello, now);
                self.view.publish(&self.decisions);
            }
            // The inbox hands over the kinds above only.
            _ => {}
        }
    }

    fn spread(&mut self) {
        self.take_accepted();
        let sendings = self.decisions.tick(self.clock.now());
        self.send(sendings);
    }

    fn take_accepted(&mut self) {
        let state = self.replication.local();
        if state.revision() > self.decisions.revision() {
            let config = Arc::new(state.config().clone());
            self.decisions.accept(state.revision(), config);
        }
    }

    fn send(&self, sendings: impl IntoIterator<Item = Sending>) {
        for sending in sendings {
            self.peers
                .send(&sending.to, PeerMessage::Config(sending.update));
        }
    }

    fn say_hello(&self) {
        let hello = ControlHello {
            operators: self.operators,
            hears: self.decisions.hears(self.clock.now()),
        };
        for control in &self.other_controls {
            self.peers
                .send(control, PeerMessage::ControlHello(hello.clone()));
        }
    }
}
