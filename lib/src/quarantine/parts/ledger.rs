//! Record of the prompt parts that upstreams had when they crashed, and of those answered since.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    CrashId, ModelPart, PartId, PartTable,
    answers::AnswerTimes,
    attribution::{
        Answers,
        Attribution,
        Culprit,
        OpenCrash,
        attribute, //
    },
};
use crate::{
    prelude::*,
    quarantine::Suspicion,
    signed_timestamp::SignedTimestamp, //
};

/// Length of the first quarantine; it doubles with each trial that crashes an upstream.
///
/// A trial costs one group some seconds of its time.
const FIRST_HOLD: Duration = Duration::from_secs(300);
/// Maximum length of a quarantine.
const MAX_HOLD: Duration = Duration::from_secs(3_600);
/// A crash that follows the one before by at least this time was caused by a trial.
const MIN_TRIAL_PAUSE: Duration = Duration::from_secs(150);
/// How long a crash is retained at least.
const MIN_RETENTION: Duration = Duration::from_secs(900);
/// Maximum number of crashes in the ledger.
const MAX_CRASHES: usize = 128;
/// Maximum number of parts that are retained of one crash.
const MAX_PARTS: usize = 1_024;
/// Maximum number of parts for which the time of the last answer is retained.
const MAX_ANSWERED: usize = 2_048;
/// A part is not held responsible for a crash if a request with it that was sent at most this long
/// before the crash, or later, was answered.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);
/// How much newer than the known one an answer must be to be relayed.
const ANSWER_STEP: Duration = Duration::from_millis(500);
/// Share of a quarantine's length by which it ends later at the last daemon than at the first.
///
/// If it ended everywhere at once, each daemon would try a request before the first of them could
/// report the crash.
const END_SPREAD: f64 = 0.25;

/// A crash with the parts of the requests that the upstream had.
#[derive(Clone, Debug)]
struct Crash {
    at: SignedTimestamp,
    /// When the last request with the part had been sent to the upstream.
    sent: BTreeMap<ModelPart, SignedTimestamp>,
}

/// Records crashes and answers, as far as this daemon knows of them.
///
/// The result depends neither on the order nor on the number of the updates from other daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct PartLedger {
    crashes: BTreeMap<CrashId, Crash>,
    /// When the last request with the part had been sent that was answered.
    answered: BTreeMap<ModelPart, SignedTimestamp>,
    answer_times: AnswerTimes,
    attribution: Attribution,
    /// This daemon's position within [`END_SPREAD`], from 0 to 1.
    end_position: f64,
}

impl PartLedger {
    /// Returns an empty ledger of a daemon.
    pub(super) fn new(daemon: &DaemonId) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(daemon.as_str().as_bytes()) % 1_000;
        Self {
            end_position: hash as f64 / 1_000.0,
            ..Self::default()
        }
    }

    /// Records parts that an upstream had when it crashed; returns whether any of them is new.
    pub(super) fn record_crash(
        &mut self,
        id: CrashId,
        at: SignedTimestamp,
        parts: impl IntoIterator<Item = (ModelPart, SignedTimestamp)>,
    ) -> bool {
        let sent = BTreeMap::new();
        let crash = self.crashes.entry(id).or_insert(Crash { at, sent });
        // An update's age leaves out its transit, so the earliest time is the most precise one.
        crash.at = at.min(crash.at);
        let before = crash.sent.len();
        for (part, sent_at) in parts {
            if crash.sent.len() >= MAX_PARTS {
                break;
            }
            let last = crash.sent.entry(part).or_insert(sent_at);
            *last = sent_at.max(*last);
        }
        let is_new = crash.sent.len() > before;
        self.make_room(id);
        if is_new {
            self.attribute();
        }
        is_new
    }

    /// Records that a request with the part, sent at `sent_at`, was answered; returns whether this
    /// is news.
    pub(super) fn record_answered(&mut self, part: ModelPart, sent_at: SignedTimestamp) -> bool {
        let known = self.answered.get(&part);
        let is_new = known.is_none_or(|known| known.precedes_by_more_than(sent_at, ANSWER_STEP));
        if !is_new {
            return false;
        }
        self.answered.insert(part, sent_at);
        self.answer_times.record(&part, sent_at);
        self.drop_oldest_answered();
        self.attribute();
        true
    }

    /// Removes expired entries; returns whether there were any.
    pub(super) fn remove_expired(&mut self, now: Timestamp) -> bool {
        let now = SignedTimestamp::from(now);
        let retained_until = self.retained_crashes();
        let before = self.crashes.len();
        self.crashes.retain(|_, crash| {
            let is_recent = now.since(crash.at) < MIN_RETENTION;
            is_recent
                || retained_until
                    .get(&crash.at)
                    .is_some_and(|until| now < *until)
        });
        self.answered
            .retain(|_, sent_at| now.since(*sent_at) < MIN_RETENTION);
        self.answer_times.remove_expired(now, MIN_RETENTION);
        let is_changed = self.crashes.len() < before;
        if is_changed {
            self.attribute();
        }
        is_changed
    }

    /// Returns the prompt parts that are held responsible for crashes.
    pub(super) fn culprits(&self) -> impl Iterator<Item = &Culprit> {
        let culprits = self.attribution.culprits.iter();
        // The ledger of whole requests decides on these.
        culprits.filter(|culprit| culprit.parts.iter().all(|part| part.is_named()))
    }

    /// Returns the table of suspected and quarantined parts.
    pub(super) fn table(&self) -> PartTable {
        let culprits = self.culprits();
        let suspects = self.attribution.suspects.iter();
        PartTable::new(
            culprits.map(|culprit| (culprit.parts.clone(), self.suspicion_of(culprit))),
            suspects.map(|(part, crashes)| (*part, count(*crashes))),
            self.sound_parts(),
        )
    }

    /// Returns the parts that were answered and are suspected of no crash of the same model.
    fn sound_parts(&self) -> BTreeSet<ModelPart> {
        let mut sound: BTreeSet<ModelPart> = self.answered.keys().copied().collect();
        for crash in self.crashes.values() {
            let suspected = crash
                .sent
                .keys()
                .filter(|part| !self.is_cleared(crash, part));
            for part in suspected {
                sound.remove(part);
            }
        }
        sound
    }

    /// Returns all crashes with their parts and times.
    pub(super) fn crashes(
        &self,
    ) -> impl Iterator<
        Item = (
            CrashId,
            SignedTimestamp,
            &BTreeMap<ModelPart, SignedTimestamp>,
        ),
    > {
        let crashes = self.crashes.iter();
        crashes.map(|(id, crash)| (*id, crash.at, &crash.sent))
    }

    /// Returns the parts that were answered, with the times at which the requests had been sent.
    pub(super) fn answered(&self) -> impl Iterator<Item = (ModelPart, SignedTimestamp)> {
        self.answered.iter().map(|(part, at)| (*part, *at))
    }

    fn suspicion_of(&self, culprit: &Culprit) -> Suspicion {
        let hold = hold(culprit);
        let spread = hold.mul_f64(END_SPREAD * self.end_position);
        let last_at = culprit.crashed_at.last();
        Suspicion {
            crashes: count(culprit.crashed_at.len()),
            held_until: last_at.map(|last_at| last_at.timestamp_after(hold + spread)),
        }
    }

    /// Attributes the crashes anew.
    fn attribute(&mut self) {
        let mut open: Vec<OpenCrash> = self
            .crashes
            .values()
            .map(|crash| self.open(crash))
            .collect();
        open.sort_by_key(|crash| crash.at);
        let answers = Answers {
            parts: self.answered.keys().map(|answered| answered.part).collect(),
            times: &self.answer_times,
        };
        self.attribution = attribute(&open, &answers);
    }

    /// Returns a crash with only those parts that may have caused it.
    fn open(&self, crash: &Crash) -> OpenCrash {
        let mut sent: BTreeMap<PartId, SignedTimestamp> = BTreeMap::new();
        let suspected = crash.sent.iter();
        for (part, sent_at) in suspected.filter(|(part, _)| !self.is_cleared(crash, part)) {
            sent.insert(part.part, *sent_at);
        }
        OpenCrash {
            at: crash.at,
            model: crash.sent.keys().next().map(ModelPart::model),
            sent,
        }
    }

    /// Returns whether a part was answered so late that it did not cause a crash.
    fn is_cleared(&self, crash: &Crash, part: &ModelPart) -> bool {
        let answered = self.answered.get(part);
        answered.is_some_and(|sent_at| crash.at.since(*sent_at) <= ANSWER_VALIDITY)
    }

    /// Returns until when the crashes of culprits are retained, by their times.
    fn retained_crashes(&self) -> BTreeMap<SignedTimestamp, SignedTimestamp> {
        let mut retained = BTreeMap::new();
        for culprit in &self.attribution.culprits {
            let Some(last_at) = culprit.crashed_at.last() else {
                continue;
            };
            let until = last_at.after(hold(culprit) * 2);
            for at in &culprit.crashed_at {
                let known = retained.entry(*at).or_insert(until);
                *known = until.max(*known);
            }
        }
        retained
    }

    /// Removes the oldest crash that is not attributed to a culprit, but not `newest`, if there are
    /// too many; the oldest of all if each is attributed.
    fn make_room(&mut self, newest: CrashId) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let attributed = self.retained_crashes();
        let others = self.crashes.iter().filter(|(id, _)| **id != newest);
        let oldest = others.min_by_key(|(_, crash)| (attributed.contains_key(&crash.at), crash.at));
        if let Some(oldest) = oldest.map(|(id, _)| *id) {
            self.crashes.remove(&oldest);
        }
    }

    /// Removes the part whose answer is the oldest if there are too many.
    fn drop_oldest_answered(&mut self) {
        if self.answered.len() <= MAX_ANSWERED {
            return;
        }
        let oldest = self.answered.iter().min_by_key(|(_, at)| **at);
        if let Some(oldest) = oldest.map(|(part, _)| *part) {
            self.answered.remove(&oldest);
        }
    }
}

/// Returns the length of a culprit's quarantine after its last crash.
pub(super) fn hold(culprit: &Culprit) -> Duration {
    let pairs = culprit.crashed_at.windows(2);
    let trials = pairs.filter(|pair| pair[1].since(pair[0]) >= MIN_TRIAL_PAUSE);
    let doubled = 1_u32.checked_shl(count(trials.count())).unwrap_or(u32::MAX);
    FIRST_HOLD.saturating_mul(doubled).min(MAX_HOLD)
}

fn count(crashes: usize) -> u32 {
    u32::try_from(crashes).unwrap_or(u32::MAX)
}
