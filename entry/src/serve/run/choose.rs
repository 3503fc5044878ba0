//! Choice of the replicas for a request and for its hedge.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    routing::{
        Choice,
        Prefix,
        Replica,
        ReplicaId,
        RouteQuery,
        RoutingSnapshot, //
    },
    upstream_api::session_prefix_hash,
};
use tokio::time::Instant;

use super::{
    super::{
        attempt::Attempt,
        counts::Serving,
        upstream::SentBytes, //
    },
    RequestExecution,
};

impl RequestExecution {
    /// Chooses a replica, one that was tried before only if there is no other.
    ///
    /// Returns whether there is any.
    pub(in super::super) fn choose_replica(&mut self) -> bool {
        let snapshot = self.server.snapshot.load_full();
        let choice = self.choose_excluding(&snapshot, &self.tried);
        self.choice = choice.or_else(|| self.choose_excluding(&snapshot, &[]));
        self.choice.is_some()
    }

    fn choose_excluding(
        &self,
        snapshot: &RoutingSnapshot,
        excluded: &[ReplicaId],
    ) -> Option<Choice> {
        let prefixes = self.prefixes();
        let query = RouteQuery {
            service: &self.spec.service,
            request: &self.spec.caller.request_id,
            session: prefixes.first().map(|prefix| prefix.hash),
            prefixes: &prefixes,
            excluded,
            home: &self.server.settings.failure_domain,
            prompt_tokens: self.spec.prompt_tokens,
            may_probe: self.spec.traits.is_repeatable,
        };
        let own = self.server.own_load.borrow();
        let now = self.server.clock.now();
        let mut router = self.server.router.borrow_mut();
        router.choose(&query, snapshot, &own, now, self.server.random())
    }

    /// Returns the prompt prefix that the session's requests share; empty without a session.
    pub(super) fn prefixes(&self) -> Vec<Prefix> {
        let session = self.spec.options.session.as_deref();
        let prefix = |session| Prefix {
            hash: session_prefix_hash(session),
            tokens: self.spec.prompt_tokens,
        };
        session.map(prefix).into_iter().collect()
    }

    /// Starts an attempt at the chosen replica, which counts the request there.
    pub(super) fn take_slot(&mut self) {
        let Some(choice) = self.choice.take() else {
            return;
        };
        if self.attempts == 0 {
            self.server.retry_budget.borrow_mut().note_request();
        }
        self.attempts += 1;
        self.tried.push(choice.replica.id.clone());
        self.sent_at = Instant::now();
        self.policy = Some(choice.policy);
        self.server.counts.record_choice(choice.reason);
        self.outcome.was_cached = choice.expected_cached_tokens.0 > 0;
        let id = &self.spec.caller.request_id;
        self.attempt = Some(Attempt::start(&self.server, choice, id));
        if let Some(admission) = &self.admission {
            admission.mark_counted();
        }
    }

    /// Returns the time after which a hedge is sent; `None` for never.
    pub(in super::super) fn hedge_after(&self) -> Option<Duration> {
        let is_repeatable = self.spec.traits.is_repeatable && self.spec.can_replay();
        let times = self.server.times.borrow();
        times.hedge_after(&self.spec.service, is_repeatable, self.attempts == 1)
    }

    /// Starts a hedge at another replica, if there is one and the retry budget allows it.
    pub(in super::super) fn start_hedge(&mut self) -> Option<(Replica, Rc<SentBytes>)> {
        let snapshot = self.server.snapshot.load_full();
        let choice = self.choose_excluding(&snapshot, &self.tried)?;
        if !self.server.retry_budget.borrow_mut().withdraw() {
            return None;
        }
        self.server.counts.count(Serving::Hedges);
        self.tried.push(choice.replica.id.clone());
        let id = &self.spec.caller.request_id;
        let attempt = Attempt::start(&self.server, choice, id);
        let started = (attempt.replica().clone(), Rc::clone(&attempt.sent));
        self.hedge = Some(attempt);
        Some(started)
    }

    /// Continues with the attempt that answered, and cancels the other one.
    pub(in super::super) fn end_hedge(&mut self, has_hedge_won: bool) {
        if has_hedge_won {
            std::mem::swap(&mut self.attempt, &mut self.hedge);
        }
        if let Some(mut other) = self.hedge.take()
            && other.sent.seal() > 0
        {
            other.cancel();
        }
    }
}
