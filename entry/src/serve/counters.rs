//! Counters of the serving thread, one for each variant of the closed enums.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use cicadabend::{
    admission::RetryReason,
    caller_api::ErrorCode,
    claims::ClaimRefusal, //
};

/// What callers were refused and what was sent again; read by the metrics thread.
#[derive(Debug, Default)]
pub struct ServeCounters {
    refusals: [AtomicU64; ErrorCode::ALL.len()],
    retries: [AtomicU64; RetryReason::ALL.len()],
    claim_refusals: [AtomicU64; ClaimRefusal::NAMES.len()],
    requests: AtomicU64,
    attempts_running: AtomicU64,
    requests_waiting: AtomicU64,
    resumes: AtomicU64,
    cancels: AtomicU64,
    hedges: AtomicU64,
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl ServeCounters {
    /// Notes an error answered to a caller.
    pub fn note_refusal(&self, code: ErrorCode) {
        let index = ErrorCode::ALL.iter().position(|known| *known == code);
        if let Some(counter) = index.and_then(|index| self.refusals.get(index)) {
            add(counter);
        }
    }

    /// Notes an attempt that is repeated.
    pub fn note_retry(&self, reason: RetryReason) {
        let index = RetryReason::ALL.iter().position(|known| *known == reason);
        if let Some(counter) = index.and_then(|index| self.retries.get(index)) {
            add(counter);
        }
    }

    /// Notes a claim that was not granted.
    pub fn note_claim_refusal(&self, refusal: &ClaimRefusal) {
        let mut names = ClaimRefusal::NAMES.iter();
        let index = names.position(|known| *known == refusal.name());
        if let Some(counter) = index.and_then(|index| self.claim_refusals.get(index)) {
            add(counter);
        }
    }

    /// Notes a request of a known team.
    pub fn note_request(&self) {
        add(&self.requests);
    }

    /// Notes an attempt that is counted at its replica from now on.
    pub fn note_attempt_started(&self) {
        add(&self.attempts_running);
    }

    /// Notes an attempt that is no longer counted at its replica.
    pub fn note_attempt_ended(&self) {
        self.attempts_running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Sets how many requests wait for their turn.
    pub fn set_requests_waiting(&self, count: u64) {
        self.requests_waiting.store(count, Ordering::Relaxed);
    }

    /// Notes a broken stream whose rest was asked for.
    pub fn note_resume(&self) {
        add(&self.resumes);
    }

    /// Notes a request that an upstream was told to stop.
    pub fn note_cancel(&self) {
        add(&self.cancels);
    }

    /// Notes a second copy that was sent because the first was slow.
    pub fn note_hedge(&self) {
        add(&self.hedges);
    }

    /// Returns every counter by its name, in a fixed order.
    pub fn all(&self) -> Vec<(String, u64)> {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let refusals = ErrorCode::ALL.iter().zip(&self.refusals);
        let retries = RetryReason::ALL.iter().zip(&self.retries);
        let claims = ClaimRefusal::NAMES.iter().zip(&self.claim_refusals);
        let totals = [
            ("requests", &self.requests),
            ("attempts_running", &self.attempts_running),
            ("requests_waiting", &self.requests_waiting),
            ("resumes", &self.resumes),
            ("cancels", &self.cancels),
            ("hedges", &self.hedges),
        ];
        let totals = totals.map(|(name, counter)| (name.to_owned(), read(counter)));
        totals
            .into_iter()
            .chain(refusals.map(|(code, n)| (format!("refused.{}", code.name()), read(n))))
            .chain(retries.map(|(reason, n)| (format!("retried.{}", reason.name()), read(n))))
            .chain(claims.map(|(name, n)| (format!("claim_refused.{name}"), read(n))))
            .collect()
    }
}
