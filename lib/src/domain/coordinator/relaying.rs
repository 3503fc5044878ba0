//! Relaying of announcements between the daemons of the domain.

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
    /// Relays an announcement that came from the upstream itself to the daemons that the leader
    /// has ordered.
    pub(super) fn relay_announcement(&mut self, vm: &VmId) {
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

    pub(super) fn receive_relayed_announcement(
        &mut self,
        from: &DaemonId,
        announcement: Announcement,
        now: Timestamp,
    ) {
        if !self.parameters.daemons.contains(from) {
            return;
        }
        let vm = announcement.vm.clone();
        // A relayed announcement may be refused because it is old, or because the relaying
        // daemon hasn't yet detected a conflict that this one has. Both cases resolve by
        // themselves.
        if let Ok(changed) = self
            .upstreams
            .handle_announcement(announcement, Source::Relayed, now)
        {
            self.observe_token_epoch(&vm, now);
            self.actions.push(Action::Publish);
            if changed {
                self.run_leader(now);
            }
        }
    }

    /// Takes in the list of the upstreams that announce themselves to `from`.
    pub(super) fn receive_direct_upstreams(
        &mut self,
        from: &DaemonId,
        vms: BTreeSet<VmId>,
        now: Timestamp,
    ) {
        if self.parameters.daemons.contains(from) {
            self.relays.record_direct_upstreams(from, vms, now);
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
            self.relays.apply_orders(orders);
        }
    }

    /// Sends the leader the list of upstreams that announce themselves here; as leader, sends
    /// relay orders.
    pub(super) fn arrange_relays(&mut self, now: Timestamp) {
        let own = self.parameters.daemon.clone();
        let direct = self.upstreams.direct_upstreams(now);
        if self.leader.is_none() {
            self.relays.stop_leading();
            let leader = self.lease.leader(now).map(|(leader, _)| leader.clone());
            if let Some(leader) = leader
                && self.relays.is_list_due(&leader, &direct, now)
            {
                self.send(&leader, PeerMessage::Heard(direct));
            }
            return;
        }
        let daemons = self.lease.live_daemons(now);
        let wanted = self.upstreams_for_all_daemons();
        let due = self
            .relays
            .take_due_orders(&own, direct, &daemons, &wanted, now);
        for (daemon, orders) in due {
            match daemon == own {
                true => self.relays.apply_orders(orders),
                false => self.send(&daemon, PeerMessage::RelayOrder(orders)),
            }
        }
    }

    /// Returns the upstreams that every daemon may route to: the members of groups and the
    /// plain services.
    fn upstreams_for_all_daemons(&self) -> BTreeSet<VmId> {
        let groups = self.table.iter().flat_map(|table| &table.groups);
        let members = groups.flat_map(|group| group.members.iter().cloned());
        let upstreams = self.upstreams.iter();
        let plain = upstreams.filter(|(_, upstream)| upstream.plain_service().is_some());
        members.chain(plain.map(|(vm, _)| vm.clone())).collect()
    }
}
