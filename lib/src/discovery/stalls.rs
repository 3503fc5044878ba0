//! Heads whose streams stand still, as entry daemons see them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// For how long an entry daemon's word that a head stands still counts.
const SEEN_FOR: Duration = Duration::from_millis(1_500);
/// So many entry daemons must see it before the others are told.
///
/// One alone may have lost its own way to the head, or have been stopped itself.
const SEEN_BY: usize = 2;
/// How often the others are told while it lasts.
const TOLD_EVERY: Duration = Duration::from_millis(300);

/// What a control daemon knows of heads that stand still.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenStalls {
    seen: BTreeMap<InstanceId, BTreeMap<DaemonId, Timestamp>>,
    told: BTreeMap<InstanceId, Timestamp>,
}

impl SeenStalls {
    /// Notes an entry daemon's word; returns whether nobody had said so lately.
    pub(super) fn note(&mut self, id: &InstanceId, by: &DaemonId, now: Timestamp) -> bool {
        let seen = self.seen.entry(id.clone()).or_default();
        let is_first = seen.is_empty();
        seen.insert(by.clone(), now);
        is_first
    }

    /// Returns the heads that any entry daemon sees stand still.
    pub(super) fn heads(&mut self, now: Timestamp) -> BTreeSet<InstanceId> {
        self.forget_old(now);
        self.seen.keys().cloned().collect()
    }

    /// Returns the heads of which all entry daemons are to be told now.
    pub(super) fn due(&mut self, now: Timestamp) -> Vec<InstanceId> {
        self.forget_old(now);
        let seen = self.seen.iter().filter(|(_, by)| by.len() >= SEEN_BY);
        let is_due = |id: &&InstanceId| {
            let told_at = self.told.get(*id);
            told_at.is_none_or(|at| now.since(*at) >= TOLD_EVERY)
        };
        let due: Vec<InstanceId> = seen.map(|(id, _)| id).filter(is_due).cloned().collect();
        for id in &due {
            self.told.insert(id.clone(), now);
        }
        due
    }

    fn forget_old(&mut self, now: Timestamp) {
        for by in self.seen.values_mut() {
            by.retain(|_, at| now.since(*at) < SEEN_FOR);
        }
        self.seen.retain(|_, by| !by.is_empty());
        self.told.retain(|id, _| self.seen.contains_key(id));
    }
}
