//! Distribution of configuration and table down the spread tree, and of acknowledgements up the
//! tree.

use super::{
    Action,
    Coordinator, //
};
use crate::{
    domain::spread_tree,
    fleet::UpdateOutcome,
    peer_api::{
        ConfigAck,
        ConfigUpdate,
        DomainTable,
        PeerMessage, //
    },
    prelude::*,
};

impl Coordinator {
    /// Applies a configuration if newer, then acknowledges and forwards it.
    pub(super) fn receive_config(&mut self, from: &DaemonId, update: ConfigUpdate, now: Timestamp) {
        match self.config.receive(&self.parameters, from, &update, now) {
            UpdateOutcome::Applied => {
                self.actions.push(Action::Publish);
                self.acknowledge_config(from);
                self.forward_config(now);
                self.run_leader(now);
            }
            UpdateOutcome::Behind => {
                let have = self.config.revision();
                self.send(from, PeerMessage::ConfigRequest { have });
            }
            UpdateOutcome::Same => self.acknowledge_config(from),
            UpdateOutcome::Older => {}
        }
    }

    /// Records the acknowledgement of a daemon below; reports to the parent if the total
    /// changed.
    pub(super) fn receive_config_ack(&mut self, from: &DaemonId, ack: ConfigAck) {
        let children = self.children();
        let own = self.parameters.daemon.clone();
        let before = self.config.acknowledgement(&own, &children);
        self.config.record_acknowledgement(from, ack);
        let after = self.config.acknowledgement(&own, &children);
        if before != after {
            self.acknowledge_to_parent();
        }
    }

    /// Sends the changes since revision `have` to a daemon that asked for them.
    pub(super) fn answer_config_request(&mut self, from: &DaemonId, have: Revision) {
        // A daemon that has itself just started must not count as one that knows the newest
        // revision.
        if !self.config.is_ready() {
            return;
        }
        let update = self.config.update_from(have);
        self.send(from, PeerMessage::Config(update));
    }

    /// Takes in a table from another daemon of the domain, forwards it if newer, and
    /// acknowledges the newest one.
    pub(super) fn receive_table(&mut self, from: &DaemonId, table: DomainTable, now: Timestamp) {
        let is_own_domain = table.failure_domain == self.parameters.failure_domain;
        if !is_own_domain || !self.parameters.daemons.contains(from) {
            return;
        }
        self.lease.observe_epoch(table.epoch, now);
        if self.lease.held_epoch(now).is_none() {
            self.leader = None;
        }
        if let Some(leader) = &mut self.leader {
            leader.handle_earlier_table(table);
            return;
        }
        let order = |table: &DomainTable| (table.epoch, table.sequence);
        let known = self.table.as_ref();
        let sent_by = self.leader_of(table.epoch).cloned();
        if known.is_none_or(|known| order(known) < order(&table)) {
            self.table = Some(table.clone());
            self.actions.push(Action::Publish);
            for child in self.children() {
                self.send(&child, PeerMessage::Table(table.clone()));
            }
        }
        // The acknowledgement names this daemon's newest table, not the received one. A leader
        // thereby notices that the newest table isn't its own.
        if let (Some(leader), Some(held)) = (sent_by, &self.table) {
            let (epoch, sequence) = (held.epoch, held.sequence);
            self.send(&leader, PeerMessage::TableAck { epoch, sequence });
        }
    }

    pub(super) fn receive_table_ack(
        &mut self,
        from: &DaemonId,
        epoch: u32,
        sequence: u64,
        now: Timestamp,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !leader.handle_acknowledgement(from, epoch, sequence) {
            // An earlier process of this daemon led under the same epoch.
            self.lease.observe_epoch(epoch.saturating_add(1), now);
        }
    }

    /// Sends unacknowledged messages again, and requests the configuration until this daemon
    /// may serve.
    pub(super) fn retransmit(&mut self, now: Timestamp) {
        if !self.config.is_ready() {
            self.config.update_revision_floor(&self.parameters, now);
            self.request_config();
        }
        let children = self.children();
        let digest = self.config.digest();
        for child in self.config.outdated_children(&children) {
            let message = PeerMessage::Config(digest.clone());
            self.actions.push(Action::Send(child.clone(), message));
        }
        self.acknowledge_to_parent();
        let Some(leader) = &self.leader else {
            return;
        };
        let Some(table) = leader.table() else {
            return;
        };
        for daemon in leader.outdated_daemons(&self.parameters) {
            let message = PeerMessage::Table(table.clone());
            self.actions.push(Action::Send(daemon.clone(), message));
        }
    }

    /// Returns the children of this daemon in the spread tree of its newest table.
    pub(super) fn children(&self) -> Vec<DaemonId> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let own = &self.parameters.daemon;
        let root = self.leader_of(table.epoch);
        root.map_or_else(Vec::new, |root| {
            spread_tree::children(root, &table.daemons, own)
        })
    }

    /// Returns the only daemon that can lead in `epoch`.
    fn leader_of(&self, epoch: u32) -> Option<&DaemonId> {
        let mut daemons = self.parameters.daemons.iter();
        daemons.find(|daemon| self.lease.is_epoch_of(daemon, epoch))
    }

    /// Sends the applied revision of this daemon and of all below it.
    fn acknowledge_config(&mut self, to: &DaemonId) {
        let own = &self.parameters.daemon;
        let ack = self.config.acknowledgement(own, &self.children());
        self.send(to, PeerMessage::ConfigAck(ack));
    }

    /// Acknowledges the configuration to the parent in the spread tree; as leader, to the domain's
    /// own control daemons, or to all control daemons if the domain has none.
    fn acknowledge_to_parent(&mut self) {
        let Some(table) = &self.table else {
            return;
        };
        let own = &self.parameters.daemon;
        let root = self.leader_of(table.epoch);
        let parent = root.and_then(|root| spread_tree::parent(root, &table.daemons, own));
        let above = match parent.cloned() {
            Some(parent) => vec![parent],
            None if self.leader.is_some() => self.parameters.preferred_control_daemons(),
            None => Vec::new(),
        };
        for daemon in above {
            self.acknowledge_config(&daemon);
        }
    }

    /// Sends the newest change to the children. The leader gets the revision's number, in case
    /// the change didn't come from it.
    fn forward_config(&mut self, now: Timestamp) {
        let children = self.children();
        let latest = self.config.latest();
        for child in self.config.outdated_children(&children) {
            let message = PeerMessage::Config(latest.clone());
            self.actions.push(Action::Send(child.clone(), message));
        }
        let leader = self.lease.leader(now).map(|(leader, _)| leader.clone());
        if let Some(leader) = leader
            && self.leader.is_none()
        {
            let digest = self.config.digest();
            self.send(&leader, PeerMessage::Config(digest));
        }
    }

    /// Requests the configuration from all daemons of the domain and all control daemons.
    fn request_config(&mut self) {
        // Requested from revision 0 each time: a daemon that has nothing newer than `have`
        // would not answer otherwise.
        let have = Revision::default();
        let peers = self.parameters.daemons.iter();
        let asked = peers.chain(self.parameters.control.keys());
        let asked: Vec<DaemonId> = asked.cloned().collect();
        for daemon in asked {
            self.send(&daemon, PeerMessage::ConfigRequest { have });
        }
    }
}
