//! Configuration and table on their way down the spread tree, acknowledgements upwards.

use super::{
    Action,
    Coordinator, //
};
use crate::{
    domain::spread_tree,
    fleet::Update,
    peer_api::{
        ConfigAck,
        ConfigUpdate,
        DomainTable,
        PeerMessage, //
    },
    prelude::*,
};

impl Coordinator {
    pub(super) fn receive_config(&mut self, from: &DaemonId, update: ConfigUpdate, now: Timestamp) {
        match self.config.receive(&self.parameters, from, &update, now) {
            Update::Applied => {
                self.actions.push(Action::Publish);
                self.acknowledge_config(from);
                self.pass_config_on(now);
                self.lead(now);
            }
            Update::Behind => {
                let have = self.config.revision();
                self.send(from, PeerMessage::ConfigRequest { have });
            }
            Update::Same => self.acknowledge_config(from),
            Update::Older => {}
        }
    }

    pub(super) fn receive_config_ack(&mut self, from: &DaemonId, ack: ConfigAck) {
        let children = self.children();
        let own = self.parameters.daemon.clone();
        let before = self.config.acknowledgement(&own, &children);
        self.config.acknowledged(from, ack);
        let after = self.config.acknowledgement(&own, &children);
        if before != after {
            self.acknowledge_upwards();
        }
    }

    pub(super) fn answer_config(&mut self, from: &DaemonId, have: Revision) {
        // A daemon that has itself just started must not count as one that knows.
        if !self.config.is_ready() {
            return;
        }
        let update = self.config.update_from(have);
        self.send(from, PeerMessage::Config(update));
    }

    pub(super) fn receive_table(&mut self, from: &DaemonId, table: DomainTable, now: Timestamp) {
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
        let sent_by = self.leader_of(table.epoch).cloned();
        if known.is_none_or(|known| order(known) < order(&table)) {
            self.table = Some(table.clone());
            self.actions.push(Action::Publish);
            for child in self.children() {
                self.send(&child, PeerMessage::Table(table.clone()));
            }
        }
        // Of what is held, not of what came: the leader sees if it is not its own.
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
        if !leader.acknowledge(from, epoch, sequence) {
            // An earlier run of this daemon led under the same epoch.
            self.lease.note_epoch(epoch.saturating_add(1), now);
        }
    }

    /// Sends again what was not acknowledged.
    pub(super) fn repeat(&mut self, now: Timestamp) {
        if !self.config.is_ready() {
            self.config.look_at_floor(&self.parameters, now);
            self.ask_for_config();
        }
        let children = self.children();
        let digest = self.config.digest();
        for child in self.config.behind(&children) {
            let message = PeerMessage::Config(digest.clone());
            self.actions.push(Action::Send(child.clone(), message));
        }
        self.acknowledge_upwards();
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

    /// Returns the daemons below this one in the tree of the table that it holds.
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

    fn leader_of(&self, epoch: u32) -> Option<&DaemonId> {
        let mut daemons = self.parameters.daemons.iter();
        daemons.find(|daemon| self.lease.is_epoch_of(daemon, epoch))
    }

    fn acknowledge_config(&mut self, to: &DaemonId) {
        let own = &self.parameters.daemon;
        let ack = self.config.acknowledgement(own, &self.children());
        self.send(to, PeerMessage::ConfigAck(ack));
    }

    /// Acknowledges to the daemon above; the leader to the control daemons of its domain.
    fn acknowledge_upwards(&mut self) {
        let Some(table) = &self.table else {
            return;
        };
        let own = &self.parameters.daemon;
        let root = self.leader_of(table.epoch);
        let parent = root.and_then(|root| spread_tree::parent(root, &table.daemons, own));
        let above = match parent.cloned() {
            Some(parent) => vec![parent],
            None if self.leader.is_some() => self.parameters.own_control(),
            None => Vec::new(),
        };
        for daemon in above {
            self.acknowledge_config(&daemon);
        }
    }

    /// Sends the configuration to those below, and its number to the leader if it came past it.
    fn pass_config_on(&mut self, now: Timestamp) {
        let children = self.children();
        let latest = self.config.latest();
        for child in self.config.behind(&children) {
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

    fn ask_for_config(&mut self) {
        // From the start each time: one that has nothing newer would not answer otherwise.
        let have = Revision::default();
        let fellows = self.parameters.daemons.iter();
        let asked = fellows.chain(self.parameters.control.keys());
        let asked: Vec<DaemonId> = asked.cloned().collect();
        for daemon in asked {
            self.send(&daemon, PeerMessage::ConfigRequest { have });
        }
    }
}
