//! Sends the accepted configuration to entry daemons and takes in what they report.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use cicadabend::{
    fleet::FleetState,
    peer_api::{
        ConfigBody,
        ConfigUpdate,
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
    observed::ObservedFleet,
    replication::ReplicationHandle, //
};

/// How often a change is looked for and a digest sent.
const DIGEST_INTERVAL_MS: u64 = 300;

/// The revision that each entry daemon last acknowledged; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acknowledged {
    revisions: Arc<Mutex<BTreeMap<DaemonId, Revision>>>,
}

impl Acknowledged {
    /// Returns the last acknowledged revision of each daemon that was heard.
    pub(crate) fn revisions(&self) -> BTreeMap<DaemonId, Revision> {
        self.lock().clone()
    }

    fn raise(&self, daemon: DaemonId, applied: Revision) {
        // Acknowledgements overtake each other, and a daemon never goes back.
        let mut revisions = self.lock();
        let known = revisions.entry(daemon).or_default();
        *known = applied.max(*known);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<DaemonId, Revision>> {
        self.revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The duty of the `spread` thread.
pub(crate) struct Spread {
    /// The log's state.
    pub(crate) replication: ReplicationHandle,
    /// To all peers.
    pub(crate) peers: PeerSender,
    /// Where reports are kept.
    pub(crate) observed: ObservedFleet,
    /// Where acknowledgements are kept.
    pub(crate) acknowledged: Acknowledged,
    /// This process's clock.
    pub(crate) clock: Clock,
    /// The entry daemons of the settings.
    pub(crate) entries: Vec<DaemonId>,
}

/// Returns the entry daemons that the settings name.
pub(crate) fn entry_daemons(settings: &ControlSettings) -> Vec<DaemonId> {
    let entries = settings
        .peers
        .iter()
        .filter(|peer| peer.role == PeerRole::Entry);
    entries.map(|peer| peer.daemon.clone()).collect()
}

impl Spread {
    /// Spreads until the ring of messages is closed.
    pub(crate) async fn run(self, mut messages: Receiver<Incoming>) {
        let mut interval = tokio::time::interval(Duration::from_millis(DIGEST_INTERVAL_MS));
        let mut sent = Revision::default();
        loop {
            tokio::select! {
                incoming = messages.next() => match incoming {
                    Some(incoming) => self.handle(incoming),
                    None => return,
                },
                _ = interval.tick() => sent = self.send_to_all(sent),
            }
        }
    }

    fn handle(&self, incoming: Incoming) {
        match incoming.message {
            PeerMessage::ConfigAck(ack) => self.acknowledged.raise(incoming.from, ack.applied),
            PeerMessage::Report(report) => self.observed.keep(report, self.clock.now()),
            PeerMessage::ConfigRequest { have } => {
                let state = self.replication.local();
                if state.revision() > have {
                    self.peers.send(&incoming.from, whole(&state));
                }
            }
            _ => {}
        }
    }

    fn send_to_all(&self, sent: Revision) -> Revision {
        let state = self.replication.local();
        let message = match state.revision() > sent {
            true => whole(&state),
            false => digest(&state),
        };
        for entry in &self.entries {
            self.peers.send(entry, message.clone());
        }
        state.revision()
    }
}

fn digest(state: &FleetState) -> PeerMessage {
    PeerMessage::Config(ConfigUpdate {
        revision: state.revision(),
        base: None,
        body: ConfigBody::Digest,
    })
}

fn whole(state: &FleetState) -> PeerMessage {
    PeerMessage::Config(ConfigUpdate {
        revision: state.revision(),
        base: None,
        body: ConfigBody::Whole(Box::new(state.config().clone())),
    })
}
