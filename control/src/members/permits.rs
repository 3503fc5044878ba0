//! A task of the leading control daemon: it issues permits to entry daemons.
//!
//! A permit allows an entry daemon to send requests to upstreams that have a rate limit.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use cicadabend::{
    discovery::ControlDiscovery,
    peer_api::PeerMessage,
    prelude::*,
    rates::{
        IssuerView,
        PermitAsk,
        PermitIssuer,
        Pool,
        RateTable, //
    },
    registry::{
        InstanceId,
        KnownInstance,
        MemberState,
        Registry, //
    },
};
use cicadabend_daemon::peers::PeerSender;

use super::events::LogEvent;

/// How often the pool of each upstream is determined anew.
const POOLS_INTERVAL: Duration = Duration::from_millis(400);

/// The pools of upstreams with a rate limit.
#[derive(Debug, Default)]
struct Pools {
    /// The pool of each upstream that has a rate limit.
    of_upstream: BTreeMap<InstanceId, Pool>,
    /// The pools that contain an upstream without a rate limit.
    mixed: BTreeSet<Pool>,
}

/// Issues permits while this daemon leads.
#[derive(Debug, Default)]
pub(super) struct Permits {
    /// The term in which this daemon leads, and the issuer of that term.
    issuer: Option<(u64, PermitIssuer)>,
    rates: RateTable,
    pools: Pools,
    pools_due: Timestamp,
}

impl Permits {
    /// Starts a new issuer when the leader's term changes; `None` means that another daemon leads.
    pub(super) fn update_term(&mut self, term: Option<u64>, now: Timestamp) {
        let issuer_term = self.issuer.as_ref().map(|(term, _)| *term);
        if term != issuer_term {
            self.issuer = term.map(|term| (term, PermitIssuer::new(term, now)));
        }
    }

    /// Records a permit request; returns whether a caller's request waits for the permits.
    pub(super) fn handle_permit_request(
        &mut self,
        from: &DaemonId,
        ask: &PermitAsk,
        now: Timestamp,
    ) -> bool {
        let issuer = self.issuer.as_mut();
        issuer.is_some_and(|(_, issuer)| issuer.handle_permit_request(from, ask, now))
    }

    /// Sends the permits that are due.
    pub(super) fn issue(
        &mut self,
        discovery: &mut ControlDiscovery,
        peers: &PeerSender,
        now: Timestamp,
    ) {
        if let Some(rates) = discovery.changed_rates() {
            self.rates = rates;
            self.pools_due = now;
        }
        let Some((_, issuer)) = &mut self.issuer else {
            return;
        };
        if now >= self.pools_due {
            self.pools_due = now + POOLS_INTERVAL;
            self.pools = find_pools(discovery.registry(), &self.rates);
        }
        let (live_entries, known_entries) = discovery.entry_counts(now);
        let updates = issuer.tick(IssuerView {
            rates: &self.rates,
            pools: &self.pools.of_upstream,
            mixed: &self.pools.mixed,
            live_entries,
            known_entries,
            now,
        });
        for (daemon, update) in updates {
            peers.send(&daemon, PeerMessage::Permits(Box::new(update)));
        }
        for change in issuer.take_changes() {
            LogEvent::PoolShort {
                service: change.pool.service,
                model: change
                    .pool
                    .model
                    .map_or(String::new(), |model| model.to_string()),
                is_short: change.is_short,
                asked_per_s: change.asked_per_s,
                rates_per_s: change.rates_per_s,
            }
            .emit();
        }
    }
}

/// Returns the pools of all ready upstreams; none if no upstream has a rate limit.
fn find_pools(registry: &Registry, rates: &RateTable) -> Pools {
    let mut pools = Pools::default();
    if rates.is_empty() {
        return pools;
    }
    for (id, known) in registry.iter() {
        let Some(pool) = pool_of(known) else {
            continue;
        };
        match rates.contains_key(id) {
            true => {
                pools.of_upstream.insert(id.clone(), pool);
            }
            false => {
                pools.mixed.insert(pool);
            }
        }
    }
    pools
}

/// Returns the pool of an upstream that takes requests: a plain service or the head of a group.
fn pool_of(known: &KnownInstance) -> Option<Pool> {
    let registration = &known.registration;
    let service = registration.service.clone();
    let Some(engine) = &registration.engine else {
        let model = None;
        return known.is_ready().then_some(Pool { service, model });
    };
    let status = engine.group.as_ref()?;
    let takes_requests = status.rank == 0 && status.state == MemberState::Open;
    let model = engine.model.clone();
    (known.is_ready() && takes_requests && model.is_some()).then_some(Pool { service, model })
}
