//! The table of suspected requests, which the serving thread reads.

use std::collections::BTreeMap;

use super::Fingerprint;
use crate::prelude::*;

/// Number of consecutive crashes after which a request is quarantined.
///
/// With two, innocent requests would be refused along with the guilty one: of 45 requests that one
/// crash breaks, one in ten runs beside the guilty one again
/// (`lib/tests/test_dispatch/test_crashes.rs`).
pub(super) const CRASHES_TO_QUARANTINE: u32 = 3;
/// Number of consecutive crashes from which on a request is not retried on a second upstream.
const CRASHES_TO_STOP_RETRIES: u32 = CRASHES_TO_QUARANTINE - 1;

/// The numbers of crashes that a daemon knew of a request at the times of its attempts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownCrashes {
    /// Number of crashes known when the request was sent to the first upstream.
    pub at_first: u32,
    /// Number of crashes known when the request was sent to the last upstream.
    pub at_last: u32,
}

impl KnownCrashes {
    /// Returns the number of the crash, among the request's consecutive ones, if the last upstream
    /// has crashed too.
    ///
    /// `ended_before` is the number of upstreams that crashed with the request from the first one
    /// until the last one, which is excluded. The daemon may have retried the request before it
    /// knew of these crashes. Without them, a request that had crashed one upstream at another
    /// daemon and two here would count two crashes, and go on to a fourth upstream.
    pub fn next_crash_number(self, ended_before: u32) -> u32 {
        let seen_here = self.at_first.saturating_add(ended_before);
        self.at_last.max(seen_here).saturating_add(1)
    }
}

/// The status of a request, by the crashes known of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// No crash with the request is known.
    Trusted,
    /// An upstream crashed while it executed the request and probably many others.
    Suspected,
    /// One more crash leads to quarantine: the request may be executed, but is not retried.
    Doubtful,
    /// The request must not be executed until a given time.
    Quarantined {
        /// When the request may be tried again.
        until: Timestamp,
    },
    /// The quarantine has ended: each daemon executes one such request at a time until the outcome
    /// is known.
    OnTrial,
}

impl SuspectStatus {
    /// Returns the status of a request; `suspicion` is the request's entry in the table.
    pub fn of(suspicion: Option<&Suspicion>, now: Timestamp) -> Self {
        let Some(suspicion) = suspicion else {
            return SuspectStatus::Trusted;
        };
        match suspicion.held_until {
            Some(until) if now < until => SuspectStatus::Quarantined { until },
            Some(_) => SuspectStatus::OnTrial,
            None if suspicion.crashes >= CRASHES_TO_STOP_RETRIES => SuspectStatus::Doubtful,
            None => SuspectStatus::Suspected,
        }
    }
}

impl SuspectStatus {
    /// Returns the stricter one of two statuses.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        match other.strictness() > self.strictness() {
            true => other,
            false => self,
        }
    }

    /// Returns the position in the order of strictness, and the end of the quarantine if there is one.
    pub(super) fn strictness(self) -> (u8, Timestamp) {
        match self {
            SuspectStatus::Trusted => (0, Timestamp::default()),
            SuspectStatus::Suspected => (1, Timestamp::default()),
            SuspectStatus::Doubtful => (2, Timestamp::default()),
            SuspectStatus::OnTrial => (3, Timestamp::default()),
            SuspectStatus::Quarantined { until } => (4, until),
        }
    }
}

/// The crashes known of one request or prompt part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspicion {
    /// Number of consecutive crashes during which it was being executed.
    pub crashes: u32,
    /// End of the quarantine; `None` if there were too few crashes for one.
    pub held_until: Option<Timestamp>,
}

/// All requests that were being executed during crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectTable {
    pub(super) suspicions: BTreeMap<Fingerprint, Suspicion>,
}

impl SuspectTable {
    /// Returns whether no request is suspected, so that fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Returns the entry of a request, if the request is suspected.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Suspicion> {
        self.suspicions.get(fingerprint)
    }

    /// Returns the status of a request at the time `now`.
    pub fn suspect_status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        SuspectStatus::of(self.get(fingerprint), now)
    }
}
