//! Announcements passed on between the daemons of the domain.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    Action,
    Coordinator, //
};
use crate::{
    domain::membership::Source, peer_api::PeerMessage, prelude::*, upstream_api::Announcement,
};

impl Coordinator {
    /// Passes an upstream's own announcement on, if the leader has ordered that.
    pub(super) fn relay(&mut self, vm: &VmId) {
        let Some(receivers) = self.relays.receivers(vm).cloned() else {
            return;
        };
        let Some(upstream) = self.upstreams.get(vm) else {
            return;
        };
        let message = PeerMessage::Relay(Box::new(upstream.announcement.clone()));
        for receiver in receivers {
            self.send(&receiver, message.clone());
        }
    }

    pub(super) fn receive_relay(
        &mut self,
        from: &DaemonId,
        announcement: Announcement,
        now: Timestamp,
    ) {
        if !self.parameters.daemons.contains(from) {
            return;
        }
        let vm = announcement.vm.clone();
        // A relayed announcement that is refused is an old one, or the relaying daemon
        // has not yet noticed what this one has; either ends by itself.
        if let Ok(changed) = self
            .upstreams
            .handle_announcement(announcement, Source::Relayed, now)
        {
            self.note_tokens(&vm, now);
            self.actions.push(Action::Publish);
            if changed {
                self.lead(now);
            }
        }
    }

    pub(super) fn receive_list(&mut self, from: &DaemonId, vms: BTreeSet<VmId>, now: Timestamp) {
        if self.parameters.daemons.contains(from) {
            self.relays.note_list(from, vms, now);
        }
    }

    pub(super) fn receive_relay_order(
        &mut self,
        from: &DaemonId,
        orders: BTreeMap<VmId, BTreeSet<DaemonId>>,
        now: Timestamp,
    ) {
        let leader = self.lease.leader(now).map(|(leader, _)| leader);
        if leader == Some(from) {
            self.relays.obey(orders);
        }
    }

    /// Tells the leader what is heard here, or, as leader, orders relays.
    pub(super) fn arrange_relays(&mut self, now: Timestamp) {
        let own = self.parameters.daemon.clone();
        let heard = self.upstreams.heard_directly(now);
        if self.leader.is_none() {
            self.relays.stop_leading();
            let leader = self.lease.leader(now).map(|(leader, _)| leader.clone());
            if let Some(leader) = leader
                && self.relays.list_is_due(&leader, &heard, now)
            {
                self.send(&leader, PeerMessage::Heard(heard));
            }
            return;
        }
        let daemons = self.lease.live_daemons(now);
        let wanted = self.wanted_by_all();
        let due = self.relays.due_orders(&own, heard, &daemons, &wanted, now);
        for (daemon, orders) in due {
            match daemon == own {
                true => self.relays.obey(orders),
                false => self.send(&daemon, PeerMessage::RelayOrder(orders)),
            }
        }
    }

    fn wanted_by_all(&self) -> BTreeSet<VmId> {
        let groups = self.table.iter().flat_map(|table| &table.groups);
        let members = groups.flat_map(|group| group.members.iter().cloned());
        let upstreams = self.upstreams.iter();
        let plain = upstreams.filter(|(_, upstream)| upstream.plain_service().is_some());
        members.chain(plain.map(|(vm, _)| vm.clone())).collect()
    }
}
