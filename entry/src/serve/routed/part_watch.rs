//! Prompt parts of requests that upstreams answer, as evidence that they crash no upstream.

use std::{
    cell::RefCell,
    collections::HashMap,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    quarantine::ModelPart, //
};

/// How long an upstream must have written an answer until the answer counts as evidence.
///
/// Upstreams may write some events of an answer before they crash by one of its parts.
pub(super) const MIN_WRITING: Duration = Duration::from_secs(1);
/// Least time between two reports that a part was answered.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long an answer is remembered.
const MEMORY: Duration = Duration::from_secs(900);
/// Maximum number of parts that are remembered.
const MAX_PARTS: usize = 8_192;
/// Share of the remembered parts that are dropped, the oldest first, when there are too many.
const DROPPED_SHARE: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Answered {
    /// When the last request with the part had been sent that was answered.
    sent_at: Timestamp,
    reported_at: Option<Timestamp>,
}

/// The parts of requests that upstreams have answered.
#[derive(Debug, Default)]
pub(super) struct PartWatch {
    answered: RefCell<HashMap<ModelPart, Answered>>,
}

impl PartWatch {
    /// Records that a request with the part, sent at `sent_at`, is being answered.
    pub(super) fn record_answered(&self, part: ModelPart, sent_at: Timestamp) {
        let mut answered = self.answered.borrow_mut();
        if answered.len() >= MAX_PARTS && !answered.contains_key(&part) {
            drop_oldest(&mut answered);
        }
        let known = answered.entry(part).or_insert(Answered {
            sent_at,
            reported_at: None,
        });
        known.sent_at = known.sent_at.max(sent_at);
    }

    /// Returns when the last request with the part had been sent that was answered; `None` if none
    /// is remembered.
    pub(super) fn last_answered(&self, part: ModelPart) -> Option<Timestamp> {
        let answered = self.answered.borrow();
        answered.get(&part).map(|known| known.sent_at)
    }

    /// Returns the same if it is to be reported now; the caller reports it.
    pub(super) fn take_report(&self, part: ModelPart, now: Timestamp) -> Option<Timestamp> {
        let mut answered = self.answered.borrow_mut();
        let known = answered.get_mut(&part)?;
        let is_due = |reported_at: Timestamp| now.since(reported_at) >= REPORT_INTERVAL;
        if !known.reported_at.is_none_or(is_due) {
            return None;
        }
        known.reported_at = Some(now);
        Some(known.sent_at)
    }

    /// Drops what is too old to matter.
    pub(super) fn forget_old(&self, now: Timestamp) {
        let mut answered = self.answered.borrow_mut();
        answered.retain(|_, known| now.since(known.sent_at) < MEMORY);
    }
}

fn drop_oldest(answered: &mut HashMap<ModelPart, Answered>) {
    let mut times: Vec<Timestamp> = answered.values().map(|known| known.sent_at).collect();
    let dropped = times.len() / DROPPED_SHARE;
    let (_, limit, _) = times.select_nth_unstable(dropped);
    let limit = *limit;
    answered.retain(|_, known| known.sent_at > limit);
}
