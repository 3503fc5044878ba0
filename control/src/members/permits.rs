//! What the leader does besides: permits to send to upstreams that name a rate.

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

/// How often it is looked up which upstreams can stand in for each other.
const POOLS_EVERY: Duration = Duration::from_millis(400);

/// The upstreams that name a rate, and those beside them.
#[derive(Debug, Default)]
struct Pools {
    of_upstream: BTreeMap<InstanceId, Pool>,
    /// Pools that also have upstreams which name no rate.
    mixed: BTreeSet<Pool>,
}

/// Issues permits while this daemon leads.
#[derive(Debug, Default)]
pub(super) struct Permits {
    issuer: Option<(u64, PermitIssuer)>,
    rates: RateTable,
    pools: Pools,
    pools_due: Timestamp,
}

impl Permits {
    /// Follows whether this daemon leads, and in which term.
    pub(super) fn follow(&mut self, term: Option<u64>, now: Timestamp) {
        let issues_in = self.issuer.as_ref().map(|(term, _)| *term);
        if term != issues_in {
            self.issuer = term.map(|term| (term, PermitIssuer::new(term, now)));
        }
    }

    /// Takes an ask in; returns whether somebody waits for the answer.
    pub(super) fn hear(&mut self, from: &DaemonId, ask: &PermitAsk, now: Timestamp) -> bool {
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
            self.pools_due = now + POOLS_EVERY;
            self.pools = pools(discovery.registry(), &self.rates);
        }
        let (live_entries, known_entries) = discovery.entry_counts(now);
        let news = issuer.tick(IssuerView {
            rates: &self.rates,
            pools: &self.pools.of_upstream,
            mixed: &self.pools.mixed,
            live_entries,
            known_entries,
            now,
        });
        for (daemon, news) in news {
            peers.send(&daemon, PeerMessage::Permits(Box::new(news)));
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

fn pools(registry: &Registry, rates: &RateTable) -> Pools {
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

/// Returns the pool of an upstream that takes requests: a plain one, or the head of a group.
fn pool_of(known: &KnownInstance) -> Option<Pool> {
    let registration = &known.registration;
    let service = registration.service.clone();
    let Some(engine) = &registration.engine else {
        let model = None;
        return known.is_ready().then_some(Pool { service, model });
    };
    let standing = engine.group.as_ref()?;
    let takes_requests = standing.rank == 0 && standing.state == MemberState::Open;
    let model = engine.model.clone();
    (known.is_ready() && takes_requests && model.is_some()).then_some(Pool { service, model })
}
