//! What requests are judged by, as the serving thread reads it.

use std::collections::BTreeMap;

use super::Fingerprint;
use crate::prelude::*;

/// So many crashes, one after the other, quarantine a request.
///
/// With two, innocent requests would be refused with each guilty one: of 45 that broke off
/// together, one in ten meets the guilty one again (`lib/tests/test_dispatch/test_crashes.rs`).
pub(super) const CRASHES_TO_QUARANTINE: u32 = 3;
/// From so many crashes on a daemon sends a request to one upstream only, and no second one if
/// that fails.
const CRASHES_TO_STOP_REPEATS: u32 = CRASHES_TO_QUARANTINE - 1;

/// How many crashes of a request were known while it was on its way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownCrashes {
    /// When it was sent to the first upstream.
    pub at_first: u32,
    /// When it was sent to the last one.
    pub at_last: u32,
}

impl KnownCrashes {
    /// Returns which crash it is, one after the other, if the last upstream has ended too.
    ///
    /// `ended_before` counts the upstreams that ended with the request between the first and the
    /// last; the daemon may have sent it on before it was certain of their end. Left out, a
    /// request that had ended one upstream elsewhere and two here counted two crashes, and went
    /// on to a fourth.
    pub fn next_crash_number(self, ended_before: u32) -> u32 {
        let by_own_way = self.at_first.saturating_add(ended_before);
        self.at_last.max(by_own_way).saturating_add(1)
    }
}

/// How a request that was seen under crashes stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// No crash is known.
    Trusted,
    /// It was there when an upstream ended; many were.
    Suspected,
    /// Only one crash is missing: it may run, but is not repeated.
    Doubtful,
    /// It must not run before this time.
    Quarantined {
        /// When it may be tried again.
        until: Timestamp,
    },
    /// Its quarantine is over: one may run at a time until it is known how that ended.
    OnTrial,
}

impl SuspectStatus {
    /// Returns how a request stands now of which this is known.
    pub fn of(suspicion: Option<&Suspicion>, now: Timestamp) -> Self {
        let Some(suspicion) = suspicion else {
            return SuspectStatus::Trusted;
        };
        match suspicion.held_until {
            Some(until) if now < until => SuspectStatus::Quarantined { until },
            Some(_) => SuspectStatus::OnTrial,
            None if suspicion.crashes >= CRASHES_TO_STOP_REPEATS => SuspectStatus::Doubtful,
            None => SuspectStatus::Suspected,
        }
    }
}

/// What is known of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspicion {
    /// How many crashes it was under, one after the other.
    pub crashes: u32,
    /// Until when it must not run; `None` if it was under too few.
    pub held_until: Option<Timestamp>,
}

/// All requests that were seen under crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectTable {
    pub(super) suspicions: BTreeMap<Fingerprint, Suspicion>,
}

impl SuspectTable {
    /// Returns whether nothing is suspected, so that no fingerprint need be worked out.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Returns what is known of a request.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Suspicion> {
        self.suspicions.get(fingerprint)
    }

    /// Returns how a request stands now.
    pub fn suspect_status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        SuspectStatus::of(self.get(fingerprint), now)
    }
}
