//! Attribution of crashes to the prompt parts that caused them.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
};

use super::{
    PartId,
    answers::AnswerTimes, //
};
use crate::signed_timestamp::SignedTimestamp;

/// Number of successive crashes from which on a part may be held responsible.
const MIN_SUCCESSIVE: usize = 3;
/// Number of crashes from which on a part is held responsible even if other parts like it were
/// present at nearly as many.
const MAX_AMBIGUOUS: usize = 5;
/// Number of a part's crashes at which each rival must have been absent.
const MIN_LEAD: usize = 2;

/// A crash, and the parts that may have caused it with the times at which the last requests with
/// them had been sent to the upstream.
#[derive(Clone, Debug)]
pub(super) struct OpenCrash {
    pub(super) at: SignedTimestamp,
    /// The upstream's service and model; `None` if the upstream had no parts.
    pub(super) model: Option<u64>,
    pub(super) sent: BTreeMap<PartId, SignedTimestamp>,
}

/// Parts of which one is held responsible for crashes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Culprit {
    /// The parts, in order. The evidence does not separate them: all were present at each crash.
    pub(super) parts: Vec<PartId>,
    /// Times of the crashes, in order.
    pub(super) crashed_at: Vec<SignedTimestamp>,
}

/// The parts that are held responsible for crashes, and those that may be.
#[derive(Clone, Debug, Default)]
pub(super) struct Attribution {
    pub(super) culprits: Vec<Culprit>,
    /// Parts that were present at crashes for which no culprit is known, with the number of
    /// successive ones.
    pub(super) suspects: BTreeMap<PartId, usize>,
}

/// Indices of the crashes that each part may have caused.
type Charges = BTreeMap<PartId, Vec<usize>>;

/// What is known of answers.
#[derive(Clone, Debug)]
pub(super) struct Answers<'a> {
    /// Parts for which an answer is known, however old.
    pub(super) parts: BTreeSet<PartId>,
    /// When answered requests had been sent.
    pub(super) times: &'a AnswerTimes,
}

/// Attributes crashes, which must be in the order of time, to parts.
///
/// Many requests break off at a crash, and some of them meet another crash when they are retried.
/// The part that causes the crashes is present at all of them, other parts only at some. Parts are
/// therefore judged in the order of the number of their crashes, and a crash that is attributed to
/// one part is not held against any other. A part that all requests share is present at all crashes
/// as well, so parts that were never answered are judged first. One that was answered is held
/// responsible only if its model answered requests without it between the crashes; else the model is
/// ill, or nothing can be told.
pub(super) fn attribute(crashes: &[OpenCrash], answers: &Answers<'_>) -> Attribution {
    let mut evidence = Evidence::new(crashes, answers);
    let mut culprits = Vec::new();
    while let Some((parts, indices)) = evidence.next_culprit() {
        let crashed_at = indices.iter().map(|index| crashes[*index].at);
        culprits.push(Culprit {
            parts,
            crashed_at: crashed_at.collect(),
        });
        evidence.drop_crashes(&indices);
    }
    let suspects = evidence.charges.iter();
    Attribution {
        suspects: suspects
            .map(|(part, indices)| (*part, evidence.successive(*part, indices)))
            .collect(),
        culprits,
    }
}

/// The crashes that are not attributed yet.
struct Evidence<'a> {
    crashes: &'a [OpenCrash],
    answers: &'a Answers<'a>,
    charges: Charges,
}

impl<'a> Evidence<'a> {
    fn new(crashes: &'a [OpenCrash], answers: &'a Answers<'a>) -> Self {
        let mut charges = Charges::new();
        for (index, crash) in crashes.iter().enumerate() {
            for part in crash.sent.keys() {
                charges.entry(*part).or_default().push(index);
            }
        }
        Self {
            crashes,
            answers,
            charges,
        }
    }

    fn drop_crashes(&mut self, dropped: &[usize]) {
        for indices in self.charges.values_mut() {
            indices.retain(|index| !dropped.contains(index));
        }
        self.charges.retain(|_, indices| !indices.is_empty());
    }

    /// Returns the parts of which one is to be held responsible next, and their crashes; `None` if the
    /// evidence suffices for none.
    fn next_culprit(&self) -> Option<(Vec<PartId>, Vec<usize>)> {
        let frequent = self.charges.iter();
        let mut frequent: Vec<(PartId, &Vec<usize>)> = frequent
            .filter(|(_, indices)| indices.len() >= MIN_SUCCESSIVE)
            .map(|(part, indices)| (*part, indices))
            .collect();
        frequent.sort_by_key(|(part, indices)| (self.was_answered(*part), Reverse(indices.len())));
        let mut judged = frequent.iter();
        let (first, crashes) = judged.find(|(part, indices)| self.suffices(*part, indices))?;
        let inseparable = frequent.iter().filter(|(part, indices)| {
            indices == crashes && self.was_answered(*part) == self.was_answered(*first)
        });
        let parts: BTreeSet<PartId> = inseparable.map(|(part, _)| *part).collect();
        Some((parts.into_iter().collect(), (*crashes).clone()))
    }

    /// Returns whether the evidence against a part suffices to hold it responsible for its crashes.
    ///
    /// Its rivals are the other parts; but for a part that was never answered, only those that were
    /// not either.
    fn suffices(&self, part: PartId, indices: &[usize]) -> bool {
        if self.successive(part, indices) < MIN_SUCCESSIVE {
            return false;
        }
        let was_answered = self.was_answered(part);
        if was_answered && !self.model_answers_others(indices) {
            return false;
        }
        let rivals = self.presence_of_others(part, indices);
        let mut rivals = rivals
            .iter()
            .filter(|(rival, _)| was_answered || !self.was_answered(**rival));
        rivals.all(|(rival, present)| {
            let leads = present + MIN_LEAD <= indices.len();
            // A rival that was present at all these crashes and at more explains them better.
            let is_better = *present == indices.len() && self.charges[rival].len() > indices.len();
            let is_alike = self.was_answered(*rival) == was_answered;
            leads || (indices.len() >= MAX_AMBIGUOUS && !is_better && is_alike)
        })
    }

    /// Returns whether the model of some of a part's crashes answered requests that were sent between
    /// the first and the last of them.
    ///
    /// None of these requests had the part, since their answers would have cleared it. Answers after
    /// the last crash show nothing: those of the part may be on their way.
    fn model_answers_others(&self, indices: &[usize]) -> bool {
        let (Some(first), Some(last)) = (indices.first(), indices.last()) else {
            return false;
        };
        let (from, until) = (self.crashes[*first].at, self.crashes[*last].at);
        let mut models = indices
            .iter()
            .filter_map(|index| self.crashes[*index].model);
        models.any(|model| self.answers.times.has_between(model, from, until))
    }

    /// Returns at how many of a part's crashes each other part was present.
    fn presence_of_others(&self, part: PartId, indices: &[usize]) -> BTreeMap<PartId, usize> {
        let present = indices
            .iter()
            .flat_map(|index| self.crashes[*index].sent.keys());
        let mut presence = BTreeMap::new();
        for other in present.filter(|other| **other != part) {
            *presence.entry(*other).or_default() += 1;
        }
        presence
    }

    /// Returns the number of a part's crashes that followed each other: the request with the part
    /// had been sent after the crash before.
    ///
    /// Upstreams that lose power together had many parts in common, but no request with them was
    /// sent after the first of these crashes.
    fn successive(&self, part: PartId, indices: &[usize]) -> usize {
        let mut last_at = None;
        let mut count = 0;
        for crash in indices.iter().map(|index| &self.crashes[*index]) {
            let sent_at = crash.sent.get(&part).copied();
            if last_at.is_none_or(|last_at| sent_at > Some(last_at)) {
                count += 1;
                last_at = Some(crash.at);
            }
        }
        count
    }

    fn was_answered(&self, part: PartId) -> bool {
        self.answers.parts.contains(&part)
    }
}
