//! Who passes announcements on to daemons that an upstream does not announce itself to.
//!
//! Each daemon tells the leader whose announcements it receives. The leader needs
//! all of them; the others need the members of groups and the plain services. For
//! each announcement that a daemon lacks the leader orders one daemon to relay it,
//! so that none travels twice.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::prelude::*;

/// How often a list or an order that did not change is sent again, in case it was lost.
const REPEAT_EVERY: Duration = Duration::from_secs(5);
/// How long a daemon's list counts without a newer one.
const LIST_KEPT: Duration = Duration::from_secs(12);

/// Whom each upstream's announcements are to be relayed to.
pub type RelayOrders = BTreeMap<VmId, BTreeSet<DaemonId>>;

/// A list or order as it was last sent.
#[derive(Clone, Debug)]
struct Sent<T> {
    content: T,
    at: Timestamp,
}

impl<T: PartialEq> Sent<T> {
    fn is_due(sent: Option<&Self>, content: &T, now: Timestamp) -> bool {
        sent.is_none_or(|sent| sent.content != *content || now.since(sent.at) >= REPEAT_EVERY)
    }
}

/// One daemon's part in relaying.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    orders: RelayOrders,
    sent_list: Option<Sent<(DaemonId, BTreeSet<VmId>)>>,
    heard_by: BTreeMap<DaemonId, (BTreeSet<VmId>, Timestamp)>,
    sent_orders: BTreeMap<DaemonId, Sent<RelayOrders>>,
}

impl Relays {
    /// Returns the daemons that an upstream's own announcement is to be passed on to.
    pub fn receivers(&self, vm: &VmId) -> Option<&BTreeSet<DaemonId>> {
        self.orders.get(vm)
    }

    /// Takes the leader's order, which replaces the one before.
    pub fn obey(&mut self, orders: RelayOrders) {
        self.orders = orders;
    }

    /// Takes the list of what a daemon receives itself.
    pub fn note_list(&mut self, daemon: &DaemonId, vms: BTreeSet<VmId>, now: Timestamp) {
        self.heard_by.insert(daemon.clone(), (vms, now));
    }

    /// Returns whether the leader must be told now what this daemon receives itself.
    pub fn list_is_due(&mut self, leader: &DaemonId, vms: &BTreeSet<VmId>, now: Timestamp) -> bool {
        let content = (leader.clone(), vms.clone());
        if !Sent::is_due(self.sent_list.as_ref(), &content, now) {
            return false;
        }
        self.sent_list = Some(Sent { content, at: now });
        true
    }

    /// Returns the orders that the leader must send now, its own among them.
    ///
    /// `wanted_by_all` are the upstreams that every daemon routes to or may route to.
    pub fn due_orders(
        &mut self,
        own: &DaemonId,
        own_list: BTreeSet<VmId>,
        daemons: &BTreeSet<DaemonId>,
        wanted_by_all: &BTreeSet<VmId>,
        now: Timestamp,
    ) -> Vec<(DaemonId, RelayOrders)> {
        self.heard_by
            .retain(|_, (_, at)| now.since(*at) < LIST_KEPT);
        self.note_list(own, own_list, now);
        let mut orders = self.orders_for(own, daemons, wanted_by_all);
        let mut due = Vec::new();
        for daemon in daemons {
            let content = orders.remove(daemon).unwrap_or_default();
            let sent = self.sent_orders.get(daemon);
            let is_first_and_empty = sent.is_none() && content.is_empty();
            if is_first_and_empty || !Sent::is_due(sent, &content, now) {
                continue;
            }
            let kept = Sent {
                content: content.clone(),
                at: now,
            };
            self.sent_orders.insert(daemon.clone(), kept);
            due.push((daemon.clone(), content));
        }
        due
    }

    /// Forgets what was learnt and sent as leader.
    pub fn stop_leading(&mut self) {
        self.heard_by.clear();
        self.sent_orders.clear();
    }

    fn orders_for(
        &self,
        own: &DaemonId,
        daemons: &BTreeSet<DaemonId>,
        wanted_by_all: &BTreeSet<VmId>,
    ) -> BTreeMap<DaemonId, RelayOrders> {
        let mut orders: BTreeMap<DaemonId, RelayOrders> = BTreeMap::new();
        let lists = self
            .heard_by
            .iter()
            .filter(|(daemon, _)| daemons.contains(*daemon));
        let lists: BTreeMap<&DaemonId, &BTreeSet<VmId>> =
            lists.map(|(daemon, (vms, _))| (daemon, vms)).collect();
        let known: BTreeSet<&VmId> = lists.values().copied().flatten().collect();
        for vm in known {
            let hears = |daemon: &DaemonId| lists.get(daemon).is_some_and(|vms| vms.contains(vm));
            let Some(relaying) = daemons.iter().find(|daemon| hears(daemon)) else {
                continue;
            };
            // A daemon whose list has not come yet may hear the upstream itself.
            let lacks = |daemon: &&DaemonId| lists.contains_key(*daemon) && !hears(daemon);
            let needs = |daemon: &&DaemonId| *daemon == own || wanted_by_all.contains(vm);
            let receivers = daemons.iter().filter(lacks).filter(needs);
            let receivers: BTreeSet<DaemonId> = receivers.cloned().collect();
            if !receivers.is_empty() {
                let order = orders.entry(relaying.clone()).or_default();
                order.insert(vm.clone(), receivers);
            }
        }
        orders
    }
}
