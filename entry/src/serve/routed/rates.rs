//! Upstreams that name the rate of requests which they take, and the permits to send to them.

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
    run::RoutedRun,
};
use crate::members::{
    RoutedReplica,
    RoutedView, //
};

/// How long a request waits for the leader's answer, which takes a few milliseconds.
const PERMIT_PATIENCE: Duration = Duration::from_millis(100);

fn pool_of(replica: &RoutedReplica) -> Pool {
    Pool {
        service: replica.service.clone(),
        model: replica.model.clone(),
    }
}

impl RoutedRun {
    fn caller(&self) -> Caller {
        Caller {
            rank: self.plan.terms.precedence.rank,
            team: self.plan.terms.team.clone(),
        }
    }

    /// Counts the request, and finds out whether it may use a permit, if upstreams that could
    /// take it name a rate.
    pub(super) fn note_wish(&mut self) {
        let view = self.server.view.load_full();
        if view.rates.is_empty() {
            return;
        }
        let model = self.plan.words.model.as_deref();
        let mut replicas = view.replicas_of(&self.plan.terms.service, model);
        let Some(named) = replicas.find(|replica| view.rates.contains_key(&replica.id)) else {
            return;
        };
        let (pool, caller) = (pool_of(named), self.caller());
        let random = self.server.random_share();
        let mut store = self.server.permits.store();
        store.record_request(&pool, &caller);
        self.verdict = store.verdict(&pool, &caller, random);
    }

    /// Returns whether the request may go to a replica as far as named rates are concerned.
    pub(super) fn is_permitted(&self, replica: &RoutedReplica, view: &RoutedView) -> bool {
        if !view.rates.contains_key(&replica.id) {
            return true;
        }
        let now = self.server.clock.now();
        match self.verdict {
            Verdict::MayUse => self.server.permits.store().has_permit(&replica.id, now),
            Verdict::Refused => false,
        }
    }

    /// Uses a permit for the replica that was chosen, if it names a rate; returns whether the
    /// request may go there.
    pub(super) fn use_permit(&mut self, id: &InstanceId, view: &RoutedView) -> bool {
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

    /// Returns the pool of the request's replicas if each one that is left names a rate.
    pub(super) fn limited_pool(&self) -> Option<Pool> {
        let view = self.server.view.load();
        if view.rates.is_empty() {
            return None;
        }
        let model = self.plan.words.model.as_deref();
        let replicas = view.replicas_of(&self.plan.terms.service, model);
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

    /// Returns whether a replica may be had by asking for a permit.
    pub(super) fn may_ask(&self) -> bool {
        self.verdict == Verdict::MayUse && self.limited_pool().is_some()
    }

    /// Chooses a replica; if only a permit is missing, asks for one.
    pub(super) async fn choose_or_ask(&mut self) -> bool {
        if self.choose() {
            return true;
        }
        let pool = self.limited_pool();
        let Some(pool) = pool.filter(|_| self.verdict == Verdict::MayUse) else {
            return false;
        };
        let until = self
            .plan
            .terms
            .deadline
            .min(Instant::now() + PERMIT_PATIENCE);
        let permits = self.server.permits.clone();
        let _wait = permits.wait(pool, self.caller(), &self.server.permit_waits);
        loop {
            let mut added = std::pin::pin!(permits.added().notified());
            added.as_mut().enable();
            if self.choose() {
                return true;
            }
            if timeout_at(until, added).await.is_err() {
                return self.choose();
            }
        }
    }

    /// Returns why no replica can take the request.
    pub(super) fn refusal_without_replica(&self) -> (RoutedRefusal, &'static str) {
        if self.next_admission().is_some() {
            self.note_unserved();
            return (
                RoutedRefusal::BackoffAsked,
                "all replicas ask for backoff or leave",
            );
        }
        if self.limited_pool().is_none() {
            return (RoutedRefusal::NoReplica, "no replica can take it now");
        }
        self.note_unserved();
        let why = match self.verdict {
            Verdict::MayUse => "all replicas name a rate of requests, which is used up",
            Verdict::Refused => "all replicas name a rate of requests, and others go first",
        };
        (RoutedRefusal::RateUsedUp, why)
    }

    /// Counts the request for its model as if it had run: a need of some seconds must not make
    /// the model's groups seem idle.
    fn note_unserved(&self) {
        let view = self.server.view.load();
        let terms = &self.plan.terms;
        let model = self.plan.words.model.as_deref();
        let models = view.replicas_of(&terms.service, model);
        let model = models.filter_map(|replica| replica.model.as_ref()).next();
        if let Some(model) = model {
            let mut counts = self.server.demand.counts();
            counts.record_unpermitted(&terms.service, model);
        }
    }

    /// Returns when a request that found no permit should come back: one after the other, as fast
    /// as the replicas take them, if there is time for that.
    pub(super) fn come_back_for_permit(&self, latest: Duration) -> Option<Duration> {
        let pool = self.limited_pool()?;
        let now = self.server.clock.now();
        let mut store = self.server.permits.store();
        store.reserve_retry_time(&pool, latest, now)
    }
}
