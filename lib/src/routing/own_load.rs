//! Counts this daemon's requests in flight at each replica, now and at recent times.

use std::collections::{
    HashMap,
    VecDeque, //
};

use super::ReplicaId;
use crate::time::Timestamp;

/// Number of changes of the count that are stored for each replica.
///
/// For a load report that is older than the oldest stored change, the count before that
/// change is used as the best approximation.
const MAX_CHANGES: usize = 1_024;

/// This daemon's requests in flight, by replica.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    by_replica: HashMap<ReplicaId, InFlight>,
}

#[derive(Clone, Debug, Default)]
struct InFlight {
    now: u32,
    count_before_changes: u32,
    changes: VecDeque<Change>,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at: Timestamp,
    count: u32,
}

impl OwnLoad {
    /// Records that a request was sent to a replica.
    pub fn started(&mut self, replica: &ReplicaId, now: Timestamp) {
        if let Some(in_flight) = self.by_replica.get_mut(replica) {
            in_flight.set_count(in_flight.now.saturating_add(1), now);
            return;
        }
        let mut in_flight = InFlight::default();
        in_flight.set_count(1, now);
        self.by_replica.insert(replica.clone(), in_flight);
    }

    /// Records that a request ended, with whatever result; to be called once per [`Self::started`].
    pub fn ended(&mut self, replica: &ReplicaId, now: Timestamp) {
        if let Some(in_flight) = self.by_replica.get_mut(replica) {
            in_flight.set_count(in_flight.now.saturating_sub(1), now);
        }
    }

    /// Returns the number of this daemon's requests in flight at the replica now.
    pub fn in_flight(&self, replica: &ReplicaId) -> u32 {
        self.by_replica.get(replica).map_or(0, |entry| entry.now)
    }

    /// Returns the number of this daemon's requests in flight just before an earlier time.
    ///
    /// A request sent in the same millisecond is assumed not to have reached the replica at
    /// that time. Counting a request twice only sends one request elsewhere; not counting
    /// a request makes another one wait.
    pub fn in_flight_at(&self, replica: &ReplicaId, at: Timestamp) -> u32 {
        self.by_replica
            .get(replica)
            .map_or(0, |entry| entry.count_at(at))
    }

    /// Drops the counts of replicas without requests for which `is_present` returns false.
    pub fn forget(&mut self, is_present: impl Fn(&ReplicaId) -> bool) {
        self.by_replica
            .retain(|replica, entry| entry.now > 0 || is_present(replica));
    }
}

impl InFlight {
    fn set_count(&mut self, count: u32, at: Timestamp) {
        self.now = count;
        match self.changes.back_mut() {
            Some(last) if last.at == at => last.count = count,
            _ => self.changes.push_back(Change { at, count }),
        }
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.count_before_changes = oldest.count;
        }
    }

    fn count_at(&self, at: Timestamp) -> u32 {
        self.changes
            .iter()
            .rev()
            .find(|change| change.at < at)
            .map_or(self.count_before_changes, |change| change.count)
    }
}
