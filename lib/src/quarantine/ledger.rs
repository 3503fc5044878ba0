//! Which requests upstreams had when they ended.

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
    moment::Moment,
    prelude::*, //
};

/// How long a request is quarantined at first; it doubles with each further crash.
///
/// A request that is tried again ends one upstream for 3 s or so and strands its group. Once in
/// two, four, eight minutes that is under one part in forty of one group.
const FIRST_HOLD: Duration = Duration::from_secs(120);
/// So many crashes of one request are told apart; the quarantine grows no longer.
const MOST_CRASHES: u32 = 8;
/// The longest quarantine.
const LONGEST_HOLD: Duration = Duration::from_secs(3_600);
/// How long a request is remembered at least after its last crash.
pub(super) const REMEMBERED: Duration = Duration::from_secs(900);
/// How many requests are kept; one takes up to 400 bytes.
///
/// A crash brings as many as the upstream had, 20 to 60, so these are the last 30 to 100
/// crashes at least. Beyond, those with the fewest crashes go first: a flood of different
/// requests pushes out none that is nearly or already quarantined.
const MOST_SUSPECTS: usize = 2_048;
/// By how much of its length a quarantine ends later at the last daemon than at the first.
///
/// If it ended everywhere at once, each daemon would try the request before the first could
/// tell of the crash.
const END_SPREAD: f64 = 0.25;
/// How much later a crash must seem to be to count as another one of the same number.
///
/// The age of what daemons tell each other leaves out the way, which takes some milliseconds and
/// rarely half a second where little processor time is left. Without a margin each telling would
/// look newer than the one before, and be told on for ever.
const AGE_MARGIN: Duration = Duration::from_millis(1_000);

/// What has become of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is quarantined from now on, or again.
    Quarantined {
        /// Which.
        fingerprint: Fingerprint,
        /// After how many crashes.
        crashes: u32,
        /// For how long.
        hold: Duration,
    },
    /// It ran to a good end, so it did not cause the crashes that it was under.
    Cleared {
        /// Which.
        fingerprint: Fingerprint,
    },
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// When the first, second and each further crash was, the newest if several are told.
    crashes: BTreeMap<u32, Moment>,
}

impl Suspect {
    /// Notes a crash; returns whether it is news.
    fn note(&mut self, number: u32, at: Moment) -> bool {
        match self.crashes.get(&number) {
            Some(known) if at.since(*known) <= AGE_MARGIN => false,
            _ => {
                self.crashes.insert(number, at);
                true
            }
        }
    }

    /// Returns how many crashes came one after the other.
    fn number(&self) -> u32 {
        self.crashes.keys().last().copied().unwrap_or_default()
    }

    fn last_at(&self) -> Option<Moment> {
        self.crashes.values().max().copied()
    }

    /// Returns how long it is quarantined after its last crash; `None` if it is not.
    fn hold(&self) -> Option<Duration> {
        let further = self.number().checked_sub(CRASHES_TO_QUARANTINE)?;
        let doubled = 1_u32.checked_shl(further).unwrap_or(u32::MAX);
        Some(FIRST_HOLD.saturating_mul(doubled).min(LONGEST_HOLD))
    }

    fn is_forgotten(&self, now: Moment) -> bool {
        let kept = self.hold().map_or(REMEMBERED, |hold| hold * 2);
        let age = self.last_at().map(|at| now.since(at));
        age.is_none_or(|age| age >= kept.max(REMEMBERED))
    }
}

/// Which requests upstreams had when they ended, as far as this daemon knows.
///
/// Of each request it holds the greatest number of crashes that came one after the other, each
/// after the one before was known where the request was sent. A request that was at many
/// upstreams when they lost power together has one crash, not many, whatever clocks say; and it
/// does not matter in which order, or how often, daemons tell each other.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When requests ran to a good end; crashes before that are not theirs.
    cleared: BTreeMap<Fingerprint, Moment>,
    /// Where in [`END_SPREAD`] quarantines end at this daemon, from 0 to 1.
    end_at: f64,
}

impl Ledger {
    /// Makes an empty ledger of a daemon.
    pub(super) fn new(daemon: &DaemonId) -> Self {
        let drawn = xxhash_rust::xxh3::xxh3_64(daemon.as_str().as_bytes()) % 1_000;
        Self {
            end_at: drawn as f64 / 1_000.0,
            ..Self::default()
        }
    }

    /// Notes that an upstream ended with a request, and how many did so one after the other, this
    /// one included; returns whether that is news.
    pub(super) fn note(&mut self, fingerprint: Fingerprint, crashes: u32, at: Moment) -> bool {
        let cleared_at = self.cleared.get(&fingerprint);
        if cleared_at.is_some_and(|cleared_at| at <= *cleared_at) {
            return false;
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        let is_news = suspect.note(crashes.min(MOST_CRASHES), at);
        self.make_room(&fingerprint);
        is_news
    }

    /// Returns the change that a request's last crash has made.
    pub(super) fn change(&self, fingerprint: Fingerprint) -> Option<Change> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(Change::Quarantined {
            fingerprint,
            crashes: suspect.number(),
            hold: suspect.hold()?,
        })
    }

    /// Notes that a request ran to a good end; returns whether it was suspected until now.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint, at: Moment) -> bool {
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

    /// Drops what is too old to matter; returns whether there was any.
    pub(super) fn forget_old(&mut self, now: Timestamp) -> bool {
        let now = Moment::from(now);
        let before = self.suspects.len();
        self.suspects
            .retain(|_, suspect| !suspect.is_forgotten(now));
        // Whoever could tell of an earlier crash has forgotten it by then.
        self.cleared.retain(|_, at| now.since(*at) < REMEMBERED);
        self.suspects.len() < before
    }

    /// Returns what requests are judged by.
    pub(super) fn table(&self) -> SuspectTable {
        let held_until = |suspect: &Suspect| {
            let hold = suspect.hold()?;
            let spread = hold.mul_f64(END_SPREAD * self.end_at);
            Some(suspect.last_at()?.plus(hold + spread))
        };
        let suspicion = |suspect: &Suspect| Suspicion {
            crashes: suspect.number(),
            held_until: held_until(suspect),
        };
        let suspects = self.suspects.iter();
        SuspectTable {
            suspicions: suspects
                .map(|(fingerprint, suspect)| (*fingerprint, suspicion(suspect)))
                .collect(),
        }
    }

    /// Returns all crashes of all suspected requests, their numbers and when they were.
    pub(super) fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u32, Moment)> {
        let suspects = self.suspects.iter();
        suspects.flat_map(|(fingerprint, suspect)| {
            let crashes = suspect.crashes.iter();
            crashes.map(|(number, at)| (*fingerprint, *number, *at))
        })
    }

    /// Returns the requests that were cleared, and when.
    pub(super) fn cleared(&self) -> impl Iterator<Item = (Fingerprint, Moment)> {
        self.cleared
            .iter()
            .map(|(fingerprint, at)| (*fingerprint, *at))
    }

    /// Drops the least suspected request but the newest, if there are too many.
    fn make_room(&mut self, newest: &Fingerprint) {
        if self.suspects.len() <= MOST_SUSPECTS {
            return;
        }
        let others = self.suspects.iter().filter(|(known, _)| *known != newest);
        let least = others.min_by_key(|(_, suspect)| (suspect.number(), suspect.last_at()));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }

    fn drop_oldest_cleared(&mut self) {
        if self.cleared.len() <= MOST_SUSPECTS {
            return;
        }
        let oldest = self.cleared.iter().min_by_key(|(_, at)| **at);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.cleared.remove(&oldest);
        }
    }
}
