//! What requests are served by at this daemon.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::Coordinator;
use crate::{
    domain::{
        admission_gate,
        membership::Liveness, //
    },
    prelude::*,
    routing::{
        Replica,
        ReplicaId,
        RoutingSnapshot, //
    },
};

impl Coordinator {
    /// Returns what requests are served by now.
    pub fn snapshot(&self, now: Timestamp) -> RoutingSnapshot {
        let mut replicas = self.own_groups(now);
        replicas.extend(self.own_plain_services(now));
        replicas.extend(self.foreign.replicas(now));
        RoutingSnapshot {
            ready: self.config.is_ready(),
            revision: self.config.revision(),
            config: Arc::clone(self.config.config()),
            replicas,
            team_shares: BTreeMap::new(),
        }
    }

    fn own_groups(&self, now: Timestamp) -> Vec<Replica> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let routing_lease_since = self.lease.routing_lease_since(now);
        let groups =
            admission_gate::admitted_groups(table, &self.upstreams, routing_lease_since, now);
        let replicas = groups.into_iter().map(|group| Replica {
            id: ReplicaId::Group(group.assignment.group.clone()),
            service: group.assignment.service.clone(),
            failure_domain: self.parameters.failure_domain.clone(),
            token: group.assignment.token,
            address: group.first.announcement.address,
            slots: group.first.announcement.slots,
            load: group.first.announcement.load,
            load_received_at: group.first.received_at,
        });
        replicas.collect()
    }

    fn own_plain_services(&self, now: Timestamp) -> Vec<Replica> {
        let live = self.upstreams.iter().filter(|(vm, upstream)| {
            let is_live = self.upstreams.liveness(vm, now) == Liveness::Live;
            is_live && !upstream.announcement.leaving
        });
        let replicas = live.filter_map(|(vm, upstream)| {
            Some(Replica {
                id: ReplicaId::Vm(vm.clone()),
                service: upstream.plain_service()?.clone(),
                failure_domain: self.parameters.failure_domain.clone(),
                token: FencingToken::default(),
                address: upstream.announcement.address,
                slots: upstream.announcement.slots,
                load: upstream.announcement.load,
                load_received_at: upstream.received_at,
            })
        });
        replicas.collect()
    }
}
