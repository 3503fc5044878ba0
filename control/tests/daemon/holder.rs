//! Stands in for the leader of a failure domain, as the receiver of the configuration.

use cicadabend::{
    fleet::{
        RecentConfigs,
        UpdateOutcome, //
    },
    peer_api::{
        ConfigUpdate,
        PeerMessage, //
    },
    prelude::*,
};

use crate::fixtures::EntryPeer;

/// A stand-in for the leader of a failure domain: receives, requests and reports revisions.
pub struct Holder {
    pub entry: EntryPeer,
    pub configs: RecentConfigs,
    /// The number of received messages whose revision was older than the applied one.
    pub older_seen: u64,
    /// Every revision that was applied, in order.
    pub held: Vec<Revision>,
    reports: u64,
}

impl Holder {
    /// Creates a receiver that has applied no revision.
    pub fn new(entry: EntryPeer) -> Self {
        Self {
            entry,
            configs: RecentConfigs::default(),
            older_seen: 0,
            held: Vec::new(),
            reports: 0,
        }
    }

    /// Handles incoming messages until this revision or a newer one is applied.
    pub async fn wait_for_revision(&mut self, wanted: Revision) {
        while self.configs.revision() < wanted {
            if let PeerMessage::Config(update) = self.entry.next().await.message {
                self.handle_update(&update);
            }
        }
    }

    /// Requests the configuration if a newer revision than the applied one is accepted.
    pub fn request_newer(&self) {
        let have = self.configs.revision();
        self.entry.send(&PeerMessage::ConfigRequest { have });
    }

    /// Reports the applied revision to all control daemons.
    pub fn report(&mut self) {
        self.reports += 1;
        self.entry.report(self.configs.revision(), self.reports);
    }

    fn handle_update(&mut self, update: &ConfigUpdate) {
        match self.configs.receive(update) {
            UpdateOutcome::Applied => {
                self.held.push(self.configs.revision());
                self.report();
            }
            UpdateOutcome::Behind => self.request_newer(),
            UpdateOutcome::Same => {}
            UpdateOutcome::Older => self.older_seen += 1,
        }
    }
}
