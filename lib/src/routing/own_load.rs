//! How many requests this daemon has at each replica, now and a short while ago.

use std::collections::{
    HashMap,
    VecDeque, //
};

use super::ReplicaId;
use crate::time::Timestamp;

/// How many changes are remembered for each replica.
///
/// A report that is older than the oldest remembered change is compared with the
/// count before that change, which is the best that is known.
const CHANGES_LIMIT: usize = 1_024;

/// The requests that this daemon has sent and not yet seen the end of.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    by_replica: HashMap<ReplicaId, InFlight>,
}

#[derive(Clone, Debug, Default)]
struct InFlight {
    now: u32,
    before_changes: u32,
    changes: VecDeque<Change>,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at: Timestamp,
    count: u32,
}

impl OwnLoad {
    /// Notes that a request was sent.
    pub fn started(&mut self, replica: &ReplicaId, now: Timestamp) {
        if let Some(in_flight) = self.by_replica.get_mut(replica) {
            in_flight.change_to(in_flight.now.saturating_add(1), now);
            return;
        }
        let mut in_flight = InFlight::default();
        in_flight.change_to(1, now);
        self.by_replica.insert(replica.clone(), in_flight);
    }

    /// Notes that a request ended, however it did; once for each one that started.
    pub fn ended(&mut self, replica: &ReplicaId, now: Timestamp) {
        if let Some(in_flight) = self.by_replica.get_mut(replica) {
            in_flight.change_to(in_flight.now.saturating_sub(1), now);
        }
    }

    /// Returns how many requests are at the replica now.
    pub fn in_flight(&self, replica: &ReplicaId) -> u32 {
        self.by_replica.get(replica).map_or(0, |entry| entry.now)
    }

    /// Returns how many requests were at the replica just before an earlier time.
    ///
    /// What was sent in the same millisecond had not arrived yet: counting it once
    /// too often sends a request elsewhere, once too seldom makes one wait.
    pub fn in_flight_at(&self, replica: &ReplicaId, at: Timestamp) -> u32 {
        self.by_replica
            .get(replica)
            .map_or(0, |entry| entry.count_at(at))
    }

    /// Drops what is remembered of replicas that have no request and are not kept.
    pub fn forget(&mut self, is_kept: impl Fn(&ReplicaId) -> bool) {
        self.by_replica
            .retain(|replica, entry| entry.now > 0 || is_kept(replica));
    }
}

impl InFlight {
    fn change_to(&mut self, count: u32, at: Timestamp) {
        self.now = count;
        match self.changes.back_mut() {
            Some(last) if last.at == at => last.count = count,
            _ => self.changes.push_back(Change { at, count }),
        }
        if self.changes.len() > CHANGES_LIMIT
            && let Some(oldest) = self.changes.pop_front()
        {
            self.before_changes = oldest.count;
        }
    }

    fn count_at(&self, at: Timestamp) -> u32 {
        self.changes
            .iter()
            .rev()
            .find(|change| change.at < at)
            .map_or(self.before_changes, |change| change.count)
    }
}
