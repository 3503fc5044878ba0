//! Permits for requests to upstreams that limit their request rate.

use std::time::Duration;

use cicadabend::{
    rates::{
        Caller,
        Pool,
        Verdict, //
    },
    registry::InstanceId,
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    counts::{
        Routed,
        RoutedRefusal, //
    },
    execution::RoutedExecution,
};
use crate::members::{
    RoutedReplica,
    RoutedView, //
};

/// Longest time that a request waits for a permit; the leader answers within a few milliseconds.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

fn pool_of(replica: &RoutedReplica) -> Pool {
    Pool {
        service: replica.service.clone(),
        model: replica.model.clone(),
    }
}

impl RoutedExecution {
    fn caller(&self) -> Caller {
        Caller {
            rank: self.prepared.terms.precedence.rank,
            team: self.prepared.terms.team.clone(),
        }
    }

    /// Records the request's demand for a permit, and decides whether the request may use one.
    ///
    /// Has no effect if no upstream that could take the request names a request rate.
    pub(super) fn record_permit_demand(&mut self) {
        let view = self.server.view.load_full();
        if view.rates.is_empty() {
            return;
        }
        let model = self.prepared.caller_headers.model.as_deref();
        let mut replicas = view.replicas_of(&self.prepared.terms.service, model);
        let Some(named) = replicas.find(|replica| view.rates.contains_key(&replica.id)) else {
            return;
        };
        let (pool, caller) = (pool_of(named), self.caller());
        let random = self.server.random_fraction();
        let mut store = self.server.permits.store();
        store.record_request(&pool, &caller);
        self.verdict = store.verdict(&pool, &caller, random);
    }

    /// Returns whether a permit for the replica is available, or the replica needs none.
    pub(super) fn has_needed_permit(&self, replica: &RoutedReplica, view: &RoutedView) -> bool {
        if !view.rates.contains_key(&replica.id) {
            return true;
        }
        let now = self.server.clock.now();
        match self.verdict {
            Verdict::MayUse => self.server.permits.store().has_permit(&replica.id, now),
            Verdict::Refused => false,
        }
    }

    /// Takes a permit for the chosen replica if it needs one; returns whether the request may be
    /// sent there.
    pub(super) fn take_permit(&mut self, id: &InstanceId, view: &RoutedView) -> bool {
        self.rate = view.rates.get(id).copied();
        if self.rate.is_none() {
            return true;
        }
        let now = self.server.clock.now();
        let is_used = self.server.permits.store().consume_permit(id, now);
        if is_used {
            self.server.counts.count(Routed::PermitsUsed);
        }
        is_used
    }

    /// Returns the pool of the untried, admitted replicas if every one of them limits its rate.
    pub(super) fn limited_pool(&self) -> Option<Pool> {
        let view = self.server.view.load();
        if view.rates.is_empty() {
            return None;
        }
        let model = self.prepared.caller_headers.model.as_deref();
        let replicas = view.replicas_of(&self.prepared.terms.service, model);
        let left: Vec<&RoutedReplica> = replicas
            .filter(|replica| !self.tried.contains(&replica.id))
            .filter(|replica| self.admission(replica).is_admitted())
            .collect();
        let names_rate = |replica: &&RoutedReplica| view.rates.contains_key(&replica.id);
        match left.iter().all(names_rate) {
            true => left.first().map(|replica| pool_of(replica)),
            false => None,
        }
    }

    /// Returns whether a permit is all that is missing for a replica to take the request.
    pub(super) fn may_request_permit(&self) -> bool {
        self.verdict == Verdict::MayUse && self.limited_pool().is_some()
    }

    /// Chooses a replica; requests a permit and waits for it if only that is missing.
    pub(super) async fn choose_or_request_permit(&mut self) -> bool {
        if self.choose_replica() {
            return true;
        }
        let pool = self.limited_pool();
        let Some(pool) = pool.filter(|_| self.verdict == Verdict::MayUse) else {
            return false;
        };
        let until = self
            .prepared
            .terms
            .deadline
            .min(Instant::now() + PERMIT_TIMEOUT);
        let permits = self.server.permits.clone();
        let _wait = permits.wait(pool, self.caller(), &self.server.waits);
        loop {
            let mut filled = std::pin::pin!(permits.filled().notified());
            filled.as_mut().enable();
            if self.choose_replica() {
                return true;
            }
            if timeout_at(until, filled).await.is_err() {
                return self.choose_replica();
            }
        }
    }

    /// Returns the reason of refusal, and a message for people, if no replica can take the request.
    pub(super) fn refusal_without_replica(&self) -> (RoutedRefusal, &'static str) {
        if self.time_to_next_admission().is_some() {
            self.record_unserved();
            return (
                RoutedRefusal::BackoffAsked,
                "all replicas ask for backoff or are shutting down",
            );
        }
        if self.is_out_of_reach() {
            self.record_unserved();
            return (
                RoutedRefusal::OutOfReach,
                "all links to the replicas are lost, and no relay reaches one",
            );
        }
        if self.limited_pool().is_none() {
            return (
                RoutedRefusal::NoReplica,
                "no replica can take the request now",
            );
        }
        self.record_unserved();
        let why = match self.verdict {
            Verdict::MayUse => "all replicas limit their request rate, and it is used up",
            Verdict::Refused => {
                "all replicas limit their request rate, and other requests go first"
            }
        };
        (RoutedRefusal::RateUsedUp, why)
    }

    /// Adds the request to its model's demand although it doesn't run.
    ///
    /// Otherwise the model's groups would look idle while requests are refused for seconds.
    fn record_unserved(&self) {
        let view = self.server.view.load();
        let terms = &self.prepared.terms;
        let model = self.prepared.caller_headers.model.as_deref();
        let models = view.replicas_of(&terms.service, model);
        let model = models.filter_map(|replica| replica.model.as_ref()).next();
        if let Some(model) = model {
            let mut counts = self.server.demand.counts();
            counts.record_unpermitted(&terms.service, model);
        }
    }

    /// Returns the retry delay of a caller whose request got no permit.
    ///
    /// Callers are told to retry one after the other, at the rate at which the replicas take
    /// requests. `None` if no permit is missing, the rate is unknown, or the delay would exceed
    /// `latest`.
    pub(super) fn retry_after_for_permit(&self, latest: Duration) -> Option<Duration> {
        let pool = self.limited_pool()?;
        let now = self.server.clock.now();
        let mut store = self.server.permits.store();
        store.reserve_retry_time(&pool, latest, now)
    }
}
