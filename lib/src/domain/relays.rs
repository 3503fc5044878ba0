//! Relaying of announcements to daemons to which an upstream doesn't announce itself.
//!
//! Each daemon sends the leader the list of the upstreams that announce themselves to it. The
//! leader needs all announcements; the other daemons need those of group members and plain
//! services. For each announcement that a daemon lacks, the leader orders one daemon to relay
//! it, so that none is sent twice.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::prelude::*;

/// How often an unchanged list or order is sent again, in case the earlier message was lost.
const RETRANSMIT_INTERVAL: Duration = Duration::from_secs(5);
/// How long a daemon's list is used if no newer one arrives.
const LIST_LIFETIME: Duration = Duration::from_secs(12);

/// For each upstream: the daemons to which its announcements are to be relayed.
pub type RelayOrders = BTreeMap<VmId, BTreeSet<DaemonId>>;

/// The last list or order that was sent, and when.
#[derive(Clone, Debug)]
struct Sent<T> {
    content: T,
    at: Timestamp,
}

impl<T: PartialEq> Sent<T> {
    fn is_due(sent: Option<&Self>, content: &T, now: Timestamp) -> bool {
        sent.is_none_or(|sent| {
            sent.content != *content || now.since(sent.at) >= RETRANSMIT_INTERVAL
        })
    }
}

/// One daemon's state of relaying.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// The leader's newest orders to this daemon.
    orders: RelayOrders,
    /// The list that was last sent, and the leader that got it.
    sent_list: Option<Sent<(DaemonId, BTreeSet<VmId>)>>,
    /// As leader: the newest list of each daemon, and when it arrived.
    direct_upstreams: BTreeMap<DaemonId, (BTreeSet<VmId>, Timestamp)>,
    /// As leader: the orders that were last sent to each daemon.
    sent_orders: BTreeMap<DaemonId, Sent<RelayOrders>>,
}

impl Relays {
    /// Returns the daemons to which an upstream's own announcement is to be relayed.
    pub fn receivers(&self, vm: &VmId) -> Option<&BTreeSet<DaemonId>> {
        self.orders.get(vm)
    }

    /// Replaces the orders by newer ones of the leader.
    pub fn apply_orders(&mut self, orders: RelayOrders) {
        self.orders = orders;
    }

    /// Records the list of the upstreams that announce themselves to a daemon.
    pub fn record_direct_upstreams(
        &mut self,
        daemon: &DaemonId,
        vms: BTreeSet<VmId>,
        now: Timestamp,
    ) {
        self.direct_upstreams.insert(daemon.clone(), (vms, now));
    }

    /// Returns whether the list of upstreams that announce themselves here must be sent to the
    /// leader now; if so, records it as sent.
    pub fn is_list_due(&mut self, leader: &DaemonId, vms: &BTreeSet<VmId>, now: Timestamp) -> bool {
        let content = (leader.clone(), vms.clone());
        if !Sent::is_due(self.sent_list.as_ref(), &content, now) {
            return false;
        }
        self.sent_list = Some(Sent { content, at: now });
        true
    }

    /// Returns the orders that the leader must send now, those to itself included, and records
    /// them as sent. `upstreams_for_all_daemons` are the upstreams to which every daemon may
    /// route.
    pub fn take_due_orders(
        &mut self,
        own: &DaemonId,
        own_list: BTreeSet<VmId>,
        daemons: &BTreeSet<DaemonId>,
        upstreams_for_all_daemons: &BTreeSet<VmId>,
        now: Timestamp,
    ) -> Vec<(DaemonId, RelayOrders)> {
        self.direct_upstreams
            .retain(|_, (_, at)| now.since(*at) < LIST_LIFETIME);
        self.record_direct_upstreams(own, own_list, now);
        let mut orders = self.orders_for(own, daemons, upstreams_for_all_daemons);
        let mut due = Vec::new();
        for daemon in daemons {
            let content = orders.remove(daemon).unwrap_or_default();
            let sent = self.sent_orders.get(daemon);
            let is_first_and_empty = sent.is_none() && content.is_empty();
            if is_first_and_empty || !Sent::is_due(sent, &content, now) {
                continue;
            }
            let sent_now = Sent {
                content: content.clone(),
                at: now,
            };
            self.sent_orders.insert(daemon.clone(), sent_now);
            due.push((daemon.clone(), content));
        }
        due
    }

    /// Drops the lists and orders that this daemon stored as leader.
    pub fn stop_leading(&mut self) {
        self.direct_upstreams.clear();
        self.sent_orders.clear();
    }

    /// Returns the orders to each daemon, by the lists of all daemons.
    fn orders_for(
        &self,
        own: &DaemonId,
        daemons: &BTreeSet<DaemonId>,
        upstreams_for_all_daemons: &BTreeSet<VmId>,
    ) -> BTreeMap<DaemonId, RelayOrders> {
        let mut orders: BTreeMap<DaemonId, RelayOrders> = BTreeMap::new();
        let lists = self
            .direct_upstreams
            .iter()
            .filter(|(daemon, _)| daemons.contains(*daemon));
        let lists: BTreeMap<&DaemonId, &BTreeSet<VmId>> =
            lists.map(|(daemon, (vms, _))| (daemon, vms)).collect();
        let known: BTreeSet<&VmId> = lists.values().copied().flatten().collect();
        for vm in known {
            let receives_directly =
                |daemon: &DaemonId| lists.get(daemon).is_some_and(|vms| vms.contains(vm));
            let Some(relay) = daemons.iter().find(|daemon| receives_directly(daemon)) else {
                continue;
            };
            // A daemon whose list hasn't arrived yet may get the announcement directly.
            let lacks =
                |daemon: &&DaemonId| lists.contains_key(*daemon) && !receives_directly(daemon);
            let needs =
                |daemon: &&DaemonId| *daemon == own || upstreams_for_all_daemons.contains(vm);
            let receivers = daemons.iter().filter(lacks).filter(needs);
            let receivers: BTreeSet<DaemonId> = receivers.cloned().collect();
            if !receivers.is_empty() {
                let order = orders.entry(relay.clone()).or_default();
                order.insert(vm.clone(), receivers);
            }
        }
        orders
    }
}
