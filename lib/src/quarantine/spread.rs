//! Propagation of crashes between daemons.

use std::collections::VecDeque;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Change, Fingerprint, SuspectTable,
    ledger::{
        Ledger,
        MIN_RETENTION, //
    },
};
use crate::{
    prelude::*,
    rebroadcast_queue::RebroadcastQueue, //
    signed_timestamp::SignedTimestamp,
};

/// Maximum number of its own observations that a daemon retains for control daemons that reconnect.
const MAX_OWN: usize = 512;

/// A daemon's observation about one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Observation {
    /// An upstream crashed while it executed the request; holds the number of consecutive crashes,
    /// with this one included.
    Crashed(u32),
    /// The request was executed successfully although it was suspected.
    Cleared,
}

/// A message between daemons with observations about requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashUpdate {
    /// The request, the observation, and its age in milliseconds.
    pub observations: Vec<(Fingerprint, Observation, u32)>,
}

impl CrashUpdate {
    /// Returns whether the update holds no observations.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}

type Observed = (Fingerprint, Observation, SignedTimestamp);

/// A daemon's ledger of crashes, and the queue of observations to be sent to other daemons.
#[derive(Clone, Debug)]
pub struct CrashSpread {
    ledger: Ledger,
    rebroadcast_queue: RebroadcastQueue<Observed>,
    /// The latest observations of this daemon itself.
    own: VecDeque<Observed>,
    /// Whether the ledger has changed since the table was last returned.
    is_changed: bool,
}

impl CrashSpread {
    /// Returns an instance without observations.
    pub fn new(daemon: &DaemonId) -> Self {
        Self {
            ledger: Ledger::new(daemon),
            rebroadcast_queue: RebroadcastQueue::default(),
            own: VecDeque::new(),
            is_changed: false,
        }
    }

    /// Records and announces an observation of this daemon itself; returns the change that results.
    pub fn observe(
        &mut self,
        fingerprint: Fingerprint,
        observation: Observation,
        now: Timestamp,
    ) -> Option<Change> {
        let observed = (fingerprint, observation, SignedTimestamp::from(now));
        self.own.push_back(observed);
        if self.own.len() > MAX_OWN {
            self.own.pop_front();
        }
        if !self.record(observed) {
            return None;
        }
        self.rebroadcast_queue.enqueue(observed, now);
        self.change(observed)
    }

    /// Takes in an update from another daemon and relays new observations; returns the changes.
    pub fn handle_and_relay_crash_update(
        &mut self,
        update: &CrashUpdate,
        now: Timestamp,
    ) -> Vec<Change> {
        let unknown = self.record_all(update, now);
        for observed in &unknown {
            self.rebroadcast_queue.enqueue(*observed, now);
        }
        self.changes(&unknown)
    }

    /// Takes in an update from another daemon; returns the changes.
    pub fn handle_crash_update(&mut self, update: &CrashUpdate, now: Timestamp) -> Vec<Change> {
        let unknown = self.record_all(update, now);
        self.changes(&unknown)
    }

    /// Returns the announcements that are due.
    pub fn take_due_update(&mut self, now: Timestamp) -> CrashUpdate {
        crash_update(self.rebroadcast_queue.take_due(now), now)
    }

    /// Returns this daemon's own observations, for a daemon that may have missed them.
    pub fn own_update(&self, now: Timestamp) -> CrashUpdate {
        crash_update(self.own.iter().copied(), now)
    }

    /// Returns all known observations, for a daemon that knows none.
    pub fn all(&self, now: Timestamp) -> CrashUpdate {
        let crashed = self.ledger.suspects();
        let crashed = crashed
            .map(|(fingerprint, crashes, at)| (fingerprint, Observation::Crashed(crashes), at));
        let cleared = self.ledger.cleared();
        let cleared = cleared.map(|(fingerprint, at)| (fingerprint, Observation::Cleared, at));
        crash_update(crashed.chain(cleared), now)
    }

    /// Removes expired observations.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.is_changed |= self.ledger.remove_expired(now);
        // Daemons that reconnect after that learn them from control daemons.
        let now = SignedTimestamp::from(now);
        self.own.retain(|(_, _, at)| now.since(*at) < MIN_RETENTION);
    }

    /// Returns the table of suspected requests if it may have changed since the last call.
    pub fn changed_table(&mut self) -> Option<SuspectTable> {
        std::mem::take(&mut self.is_changed).then(|| self.ledger.table())
    }

    /// Records the observations of an update; returns those that were not known.
    fn record_all(&mut self, update: &CrashUpdate, now: Timestamp) -> Vec<Observed> {
        let observations = update.observations.iter();
        let observed = observations.map(|(fingerprint, observation, age_ms)| {
            (
                *fingerprint,
                *observation,
                SignedTimestamp::from_age(now, *age_ms),
            )
        });
        observed.filter(|observed| self.record(*observed)).collect()
    }

    /// Records an observation; returns whether it was not known.
    fn record(&mut self, (fingerprint, observation, at): Observed) -> bool {
        let is_new = match observation {
            Observation::Crashed(crashes) => self.ledger.record_crash(fingerprint, crashes, at),
            Observation::Cleared => self.ledger.record_cleared(fingerprint, at),
        };
        self.is_changed |= is_new;
        is_new
    }

    fn changes(&self, unknown: &[Observed]) -> Vec<Change> {
        unknown
            .iter()
            .filter_map(|observed| self.change(*observed))
            .collect()
    }

    fn change(&self, (fingerprint, observation, _): Observed) -> Option<Change> {
        match observation {
            Observation::Crashed(_) => self.ledger.last_change(fingerprint),
            Observation::Cleared => Some(Change::Cleared { fingerprint }),
        }
    }
}

fn crash_update(observed: impl IntoIterator<Item = Observed>, now: Timestamp) -> CrashUpdate {
    let observations = observed
        .into_iter()
        .map(|(fingerprint, observation, at)| (fingerprint, observation, at.age_ms(now)));
    CrashUpdate {
        observations: observations.collect(),
    }
}
