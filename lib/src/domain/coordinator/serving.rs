//! The routing snapshot of this daemon.

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
    /// Returns the configuration and the replicas by which this daemon routes requests at
    /// `now`.
    pub fn snapshot(&self, now: Timestamp) -> RoutingSnapshot {
        let mut replicas = self.domain_group_replicas(now);
        replicas.extend(self.domain_plain_replicas(now));
        replicas.extend(self.foreign.replicas(now));
        RoutingSnapshot {
            ready: self.config.is_ready(),
            revision: self.config.revision(),
            config: Arc::clone(self.config.config()),
            replicas,
            team_shares: BTreeMap::new(),
        }
    }

    /// Returns the groups of this domain that may take requests.
    fn domain_group_replicas(&self, now: Timestamp) -> Vec<Replica> {
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

    /// Returns the live upstreams of plain services in this domain.
    fn domain_plain_replicas(&self, now: Timestamp) -> Vec<Replica> {
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
