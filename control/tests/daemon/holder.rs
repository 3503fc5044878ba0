//! A domain leader's side of the spread, without the entry daemon.

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

/// What a domain leader holds, and how it asks and reports.
pub struct Holder {
    pub entry: EntryPeer,
    pub configs: RecentConfigs,
    pub older_seen: u64,
    /// Every revision that was held, in order.
    pub held: Vec<Revision>,
    reports: u64,
}

impl Holder {
    /// Holds nothing.
    pub fn new(entry: EntryPeer) -> Self {
        Self {
            entry,
            configs: RecentConfigs::default(),
            older_seen: 0,
            held: Vec::new(),
            reports: 0,
        }
    }

    /// Takes what comes until this revision is held.
    pub async fn hold(&mut self, wanted: Revision) {
        while self.configs.revision() < wanted {
            if let PeerMessage::Config(update) = self.entry.next().await.message {
                self.take(&update);
            }
        }
    }

    /// Asks for what is newer than what is held.
    pub fn ask(&self) {
        let have = self.configs.revision();
        self.entry.send(&PeerMessage::ConfigRequest { have });
    }

    /// Reports what is held.
    pub fn report(&mut self) {
        self.reports += 1;
        self.entry.report(self.configs.revision(), self.reports);
    }

    fn take(&mut self, update: &ConfigUpdate) {
        match self.configs.receive(update) {
            UpdateOutcome::Applied => {
                self.held.push(self.configs.revision());
                self.report();
            }
            UpdateOutcome::Behind => self.ask(),
            UpdateOutcome::Same => {}
            UpdateOutcome::Older => self.older_seen += 1,
        }
    }
}
