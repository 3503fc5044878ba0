//! When requests were sent that each model has answered.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::ModelPart;
use crate::signed_timestamp::SignedTimestamp;

/// Least time between two recorded times of one model.
const STEP: Duration = Duration::from_millis(250);
/// Maximum number of models; answers of further ones are not recorded.
const MAX_MODELS: usize = 64;

/// The times at which answered requests had been sent, by the model that answered.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerTimes {
    by_model: BTreeMap<u64, BTreeSet<SignedTimestamp>>,
}

impl AnswerTimes {
    /// Records that the part's model has answered a request that was sent at `sent_at`.
    pub(super) fn record(&mut self, part: &ModelPart, sent_at: SignedTimestamp) {
        let model = part.model();
        if self.by_model.len() >= MAX_MODELS && !self.by_model.contains_key(&model) {
            return;
        }
        let times = self.by_model.entry(model).or_default();
        let before = times.range(..=sent_at).next_back();
        if before.is_none_or(|before| sent_at.since(*before) >= STEP) {
            times.insert(sent_at);
        }
    }

    /// Returns whether a model has answered a request that was sent between two points in time.
    pub(super) fn has_between(
        &self,
        model: u64,
        from: SignedTimestamp,
        until: SignedTimestamp,
    ) -> bool {
        let times = self.by_model.get(&model);
        times.is_some_and(|times| from <= until && times.range(from..=until).next().is_some())
    }

    /// Removes the times that are older than `retention`.
    pub(super) fn remove_expired(&mut self, now: SignedTimestamp, retention: Duration) {
        for times in self.by_model.values_mut() {
            times.retain(|sent_at| now.since(*sent_at) < retention);
        }
        self.by_model.retain(|_, times| !times.is_empty());
    }
}
