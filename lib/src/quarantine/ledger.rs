//! Record of the requests that upstreams were executing when they crashed.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    Fingerprint,
    SuspectTable,
    Suspicion,
    table::CRASHES_TO_QUARANTINE, //
};
use crate::{
    prelude::*, //
    signed_timestamp::SignedTimestamp,
};

/// Length of the first quarantine; it doubles with each further crash.
///
/// A trial of a request that still crashes upstreams stops one group for about 3 s. Once in two,
/// four or eight minutes, this costs less than 1/40 of one group's time.
const FIRST_HOLD: Duration = Duration::from_secs(120);
/// Maximum number of crashes that are counted for one request; further ones do not lengthen the
/// quarantine.
const MAX_CRASHES: u32 = 8;
/// Maximum length of a quarantine.
const MAX_HOLD: Duration = Duration::from_secs(3_600);
/// How long a request is retained at least after its last crash.
pub(super) const MIN_RETENTION: Duration = Duration::from_secs(900);
/// Maximum number of requests in the ledger; each takes up to 400 bytes.
///
/// One crash adds the 20 to 60 requests of its upstream, so the ledger holds at least the last 30
/// to 100 crashes. Requests with the fewest crashes are removed first, so a flood of different
/// requests does not push out any that are quarantined or nearly so.
const MAX_SUSPECTS: usize = 2_048;
/// Share of a quarantine's length by which it ends later at the last daemon than at the first.
///
/// If the quarantine ended at all daemons at once, each would try the request before the first
/// daemon could report the crash.
const END_SPREAD: f64 = 0.25;
/// How much later than the recorded crash a reported one of the same number must be to count as a
/// new one.
///
/// The ages in updates leave out their transit time, which is some milliseconds and rarely half a
/// second on a busy processor. Without this tolerance, each relayed update would seem newer than
/// the one before and be relayed again without end.
const AGE_TOLERANCE: Duration = Duration::from_millis(1_000);

/// A change of one request's status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The request is quarantined from now on, or again.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// Number of consecutive crashes.
        crashes: u32,
        /// Length of the quarantine.
        hold: Duration,
    },
    /// The request was executed successfully, so it did not cause the crashes.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// The crashes of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Time of each consecutive crash by its number, from 1; the latest time if several crashes are
    /// reported with the same number.
    crashes: BTreeMap<u32, SignedTimestamp>,
}

impl Suspect {
    /// Records a crash; returns whether the crash is new.
    fn record(&mut self, number: u32, at: SignedTimestamp) -> bool {
        match self.crashes.get(&number) {
            Some(known) if at.since(*known) <= AGE_TOLERANCE => false,
            _ => {
                self.crashes.insert(number, at);
                true
            }
        }
    }

    /// Returns the number of consecutive crashes.
    fn crash_count(&self) -> u32 {
        self.crashes.keys().last().copied().unwrap_or_default()
    }

    fn last_at(&self) -> Option<SignedTimestamp> {
        self.crashes.values().max().copied()
    }

    /// Returns the length of the quarantine after the last crash; `None` if there is no quarantine.
    fn hold(&self) -> Option<Duration> {
        let further = self.crash_count().checked_sub(CRASHES_TO_QUARANTINE)?;
        let doubled = 1_u32.checked_shl(further).unwrap_or(u32::MAX);
        Some(FIRST_HOLD.saturating_mul(doubled).min(MAX_HOLD))
    }

    fn is_expired(&self, now: SignedTimestamp) -> bool {
        let retention = self.hold().map_or(MIN_RETENTION, |hold| hold * 2);
        let age = self.last_at().map(|at| now.since(at));
        age.is_none_or(|age| age >= retention.max(MIN_RETENTION))
    }
}

/// Records which requests upstreams were executing when they crashed, as far as this daemon knows.
///
/// The ledger holds the highest number of consecutive crashes of each request. Crashes are
/// consecutive if the daemon that sent the request knew of the earlier one. A request that was at
/// many upstreams when they lost power together thus has one crash, not many, whatever the clocks
/// say. The result does not depend on the order or the number of updates between daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When requests last were executed successfully; earlier crashes do not count.
    cleared: BTreeMap<Fingerprint, SignedTimestamp>,
    /// This daemon's position within [`END_SPREAD`], from 0 to 1.
    end_position: f64,
}

impl Ledger {
    /// Returns an empty ledger of a daemon.
    pub(super) fn new(daemon: &DaemonId) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(daemon.as_str().as_bytes()) % 1_000;
        Self {
            end_position: hash as f64 / 1_000.0,
            ..Self::default()
        }
    }

    /// Records that an upstream crashed with a request; returns whether the crash is new. `crashes`
    /// is the number of consecutive crashes, with this one included.
    pub(super) fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crashes: u32,
        at: SignedTimestamp,
    ) -> bool {
        let cleared_at = self.cleared.get(&fingerprint);
        if cleared_at.is_some_and(|cleared_at| at <= *cleared_at) {
            return false;
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        let is_new = suspect.record(crashes.min(MAX_CRASHES), at);
        self.make_room(&fingerprint);
        is_new
    }

    /// Returns the change that results from a request's last crash, if it leads to quarantine.
    pub(super) fn last_change(&self, fingerprint: Fingerprint) -> Option<Change> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(Change::Quarantined {
            fingerprint,
            crashes: suspect.crash_count(),
            hold: suspect.hold()?,
        })
    }

    /// Records that a request was executed successfully; returns whether this removes any crash.
    pub(super) fn record_cleared(&mut self, fingerprint: Fingerprint, at: SignedTimestamp) -> bool {
        let cleared_at = self.cleared.entry(fingerprint).or_insert(at);
        *cleared_at = at.max(*cleared_at);
        self.drop_oldest_cleared();
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|_, crashed_at| *crashed_at > at);
        let was_suspected = suspect.crashes.len() < before;
        if suspect.crashes.is_empty() {
            self.suspects.remove(&fingerprint);
        }
        was_suspected
    }

    /// Removes expired entries; returns whether any suspected request was removed.
    pub(super) fn remove_expired(&mut self, now: Timestamp) -> bool {
        let now = SignedTimestamp::from(now);
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        // By then, all other daemons have removed any earlier crash, too.
        self.cleared.retain(|_, at| now.since(*at) < MIN_RETENTION);
        self.suspects.len() < before
    }

    /// Returns the table of suspected requests.
    pub(super) fn table(&self) -> SuspectTable {
        let held_until = |suspect: &Suspect| {
            let hold = suspect.hold()?;
            let spread = hold.mul_f64(END_SPREAD * self.end_position);
            Some(suspect.last_at()?.timestamp_after(hold + spread))
        };
        let suspicion = |suspect: &Suspect| Suspicion {
            crashes: suspect.crash_count(),
            held_until: held_until(suspect),
        };
        let suspects = self.suspects.iter();
        SuspectTable {
            suspicions: suspects
                .map(|(fingerprint, suspect)| (*fingerprint, suspicion(suspect)))
                .collect(),
        }
    }

    /// Returns all crashes of all suspected requests, with their numbers and times.
    pub(super) fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u32, SignedTimestamp)> {
        let suspects = self.suspects.iter();
        suspects.flat_map(|(fingerprint, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(|(number, at)| (*fingerprint, *number, *at))
        })
    }

    /// Returns the requests that were executed successfully after crashes, with the times.
    pub(super) fn cleared(&self) -> impl Iterator<Item = (Fingerprint, SignedTimestamp)> {
        self.cleared
            .iter()
            .map(|(fingerprint, at)| (*fingerprint, *at))
    }

    /// Removes the request with the fewest crashes, but not `newest`, if there are too many.
    fn make_room(&mut self, newest: &Fingerprint) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let others = self.suspects.iter().filter(|(known, _)| *known != newest);
        let least = others.min_by_key(|(_, suspect)| (suspect.crash_count(), suspect.last_at()));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }

    /// Removes the oldest cleared request if there are too many.
    fn drop_oldest_cleared(&mut self) {
        if self.cleared.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.cleared.remove(&oldest);
        }
    }
}
