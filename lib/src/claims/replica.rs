//! A control daemon's replica of the claims on idempotency keys.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    ClaimRecord,
    NumberedRecord,
    key_state::{
        CompactClaimant,
        DaemonProcesses,
        KeyHash,
        KeyState,
        Phase,
        stored_outcome, //
    },
    voter_status::VoterStatus, //
};
use crate::{
    fleet::Voter,
    peer_api::{
        ClaimAction,
        ClaimKey,
        ClaimReport,
        ClaimRequest,
        ClaimVerdict,
        Claimant,
        StoredOutcome,
        VoterSet, //
    },
    prelude::*,
};

/// The limits of what a replica stores.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaBounds {
    /// The time for which a key is remembered after its last change.
    pub retention: Duration,
    /// The most keys that are remembered; further keys are refused rather than older ones
    /// forgotten.
    pub max_keys: usize,
    /// The most bytes of an outcome's body; a longer one is stored without its body.
    pub max_body_bytes: usize,
    /// The most bytes of all outcomes together; beyond it the oldest outcomes lose their bodies.
    pub max_total_body_bytes: usize,
}

/// A verdict, with the records that must be on disk before the verdict is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsyncedVerdict {
    /// The answer to send after the records are synced.
    pub verdict: ClaimVerdict,
    /// The records to write and sync before the answer.
    pub records: Vec<NumberedRecord>,
}

/// Every claim that one disk remembers.
///
/// Changes are visible to later requests at once, but no answer may be sent before the
/// records of the changes are synced. The caller calls [`Self::commit`] after a successful
/// sync and [`Self::roll_back`] after a failed one that stored nothing.
#[derive(Clone, Debug)]
pub struct ClaimReplica {
    identity: Voter,
    bounds: ReplicaBounds,
    keys: HashMap<KeyHash, KeyState>,
    /// The keys with the earliest time at which they can expire.
    by_expiry: VecDeque<(Timestamp, KeyHash)>,
    /// The keys whose outcome was stored with a body, oldest first.
    keys_with_body: VecDeque<KeyHash>,
    processes: DaemonProcesses,
    next_number: u64,
    body_bytes: usize,
    voter_status: VoterStatus,
    /// The status at the last commit, restored by a roll-back.
    synced_voter_status: VoterStatus,
    /// The keys changed since the last commit, with their state before each change.
    undo: Vec<(KeyHash, Option<KeyState>)>,
}

impl ClaimReplica {
    /// Returns a replica restored from the records of its disk, which may be in any order.
    ///
    /// The age of a record is not known after a restart, since monotonic clocks start over, so
    /// each record is retained for the whole retention period again.
    pub fn recover(
        identity: Voter,
        bounds: ReplicaBounds,
        mut records: Vec<NumberedRecord>,
        now: Timestamp,
    ) -> Self {
        records.sort_by_key(|record| record.number);
        let mut replica = Self {
            identity,
            bounds,
            keys: HashMap::new(),
            by_expiry: VecDeque::new(),
            keys_with_body: VecDeque::new(),
            processes: DaemonProcesses::default(),
            next_number: 0,
            body_bytes: 0,
            voter_status: VoterStatus::default(),
            synced_voter_status: VoterStatus::default(),
            undo: Vec::new(),
        };
        for record in records {
            replica.next_number = record.number.saturating_add(1);
            replica.apply(record.record, now);
            replica.undo.clear();
        }
        replica.commit();
        replica
    }

    /// Returns the voter whose claims this replica stores: daemon and disk number.
    pub fn identity(&self) -> &Voter {
        &self.identity
    }

    /// Returns the number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Updates the voter status; returns a record to write if the disk's right to grant changes.
    ///
    /// The caller must also call this periodically while there are no requests, so that a disk
    /// that abstains begins to grant once its retention period is over.
    pub fn update_voters(&mut self, voters: &VoterSet, now: Timestamp) -> Option<NumberedRecord> {
        let before = self.voter_status.granting_number();
        let retention = self.bounds.retention;
        self.voter_status = self
            .voter_status
            .under_voters(&self.identity, voters, retention, now);
        match self.voter_status.granting_number() {
            Some(number) if before != Some(number) => self.grant_right_record(),
            _ => None,
        }
    }

    /// Returns a new record of the disk's right to grant, for use when older records are dropped;
    /// `None` if the disk may not grant.
    pub fn grant_right_record(&mut self) -> Option<NumberedRecord> {
        let voters_number = self.voter_status.granting_number()?;
        Some(self.assign_number(ClaimRecord::MayGrant { voters_number }))
    }

    /// Decides on one request; the verdict may be sent once its records are synced.
    pub fn handle(
        &mut self,
        request: &ClaimRequest,
        voters: &VoterSet,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        let grant_record = self.update_voters(voters, now);
        let mut handled = self.decide(request, voters, now);
        handled.records.extend(grant_record);
        handled
    }

    fn decide(
        &mut self,
        request: &ClaimRequest,
        voters: &VoterSet,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        if request.voters_number < voters.number {
            return without_records(ClaimVerdict::VotersChanged(voters.clone()));
        }
        if !voters.voters.contains(&self.identity) {
            return without_records(ClaimVerdict::Unavailable);
        }
        let key = &request.key;
        match &request.action {
            ClaimAction::Acquire {
                claimant,
                fingerprint,
            } => self.acquire(key, claimant, *fingerprint, now),
            ClaimAction::Probe {
                claimant,
                fingerprint,
            } => without_records(self.probe(key, claimant, *fingerprint)),
            ClaimAction::Release { claimant } => self.release(key, claimant, now),
            ClaimAction::Complete {
                claimant,
                fingerprint,
                outcome,
            } => self.complete(key, claimant, *fingerprint, outcome, now),
        }
    }

    /// Makes the changes since the last commit final, after their records were synced.
    pub fn commit(&mut self) {
        self.undo.clear();
        self.synced_voter_status = self.voter_status;
    }

    /// Undoes the changes since the last commit, after their records were not stored.
    pub fn roll_back(&mut self) {
        while let Some((key, before)) = self.undo.pop() {
            self.replace_state(key, before);
        }
        self.voter_status = self.synced_voter_status;
    }

    fn replace_state(&mut self, key: KeyHash, state: Option<KeyState>) {
        self.body_bytes += state.as_ref().map_or(0, KeyState::stored_bytes);
        let before = match state {
            Some(state) => self.keys.insert(key, state),
            None => self.keys.remove(&key),
        };
        self.body_bytes -= before.as_ref().map_or(0, KeyState::stored_bytes);
    }

    /// Drops the oldest bodies while all outcomes together exceed their limit. Client retries come
    /// soon after the first request or never, so the oldest bodies are needed least.
    fn drop_old_bodies(&mut self) {
        while self.body_bytes > self.bounds.max_total_body_bytes {
            let Some(key) = self.keys_with_body.pop_front() else {
                return;
            };
            if let Some(state) = self.keys.get_mut(&key) {
                self.body_bytes -= state.stored_bytes();
                state.drop_stored_body();
            }
        }
    }

    /// Forgets keys whose retention has ended; a client retry after that runs again.
    pub fn expire(&mut self, now: Timestamp) {
        while self.by_expiry.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.by_expiry.pop_front() else {
                return;
            };
            let changed_at = self.keys.get(&key).map(|state| state.changed_at);
            match changed_at.map(|at| at + self.bounds.retention) {
                Some(ends_at) if ends_at > now => self.by_expiry.push_back((ends_at, key)),
                _ => self.replace_state(key, None),
            }
        }
        self.drop_forgotten_body_keys();
    }

    fn drop_forgotten_body_keys(&mut self) {
        while let Some(key) = self.keys_with_body.front()
            && !self.keys.contains_key(key)
        {
            self.keys_with_body.pop_front();
        }
    }

    fn acquire(
        &mut self,
        key: &ClaimKey,
        claimant: &Claimant,
        fingerprint: u64,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        let attempt = self.processes.compact(claimant);
        if let Some(verdict) = self.verdict_from_state(KeyHash::of(key), attempt, fingerprint) {
            return without_records(verdict);
        }
        if self.voter_status.granting_number().is_none() {
            return without_records(ClaimVerdict::Unavailable);
        }
        let record = ClaimRecord::Held {
            key: key.clone(),
            claimant: claimant.clone(),
            fingerprint,
        };
        self.record_change(record, ClaimVerdict::Held, now)
    }

    /// Returns the answer to a probe, which tells whether an `Acquire` would succeed; records
    /// nothing.
    fn probe(&mut self, key: &ClaimKey, claimant: &Claimant, fingerprint: u64) -> ClaimVerdict {
        let attempt = self.processes.compact(claimant);
        let hash = KeyHash::of(key);
        match self.verdict_from_state(hash, attempt, fingerprint) {
            Some(ClaimVerdict::HeldByOther {
                holder,
                fingerprint_differs,
            }) => self.report(hash, Some(holder), fingerprint_differs),
            Some(verdict) => verdict,
            None if self.can_hold(hash) => self.report(hash, None, false),
            None => ClaimVerdict::Unavailable,
        }
    }

    fn can_hold(&self, key: KeyHash) -> bool {
        let has_room = self.keys.contains_key(&key) || self.keys.len() < self.bounds.max_keys;
        has_room && self.voter_status.granting_number().is_some()
    }

    fn report(
        &self,
        key: KeyHash,
        holder: Option<Claimant>,
        fingerprint_differs: bool,
    ) -> ClaimVerdict {
        let state = self.keys.get(&key).into_iter();
        let released = state.flat_map(KeyState::released);
        ClaimVerdict::Report(ClaimReport {
            holder,
            fingerprint_differs,
            released: released
                .filter_map(|attempt| self.processes.expand(attempt))
                .collect(),
        })
    }

    /// Returns the answer that follows from the key's state; `None` if the key is free.
    fn verdict_from_state(
        &self,
        key: KeyHash,
        attempt: CompactClaimant,
        fingerprint: u64,
    ) -> Option<ClaimVerdict> {
        let state = self.keys.get(&key)?;
        match &state.phase {
            Phase::Completed {
                fingerprint: first,
                status,
                stored,
            } => Some(ClaimVerdict::Completed {
                outcome: stored_outcome(*status, stored.as_deref()),
                fingerprint_differs: *first != fingerprint,
            }),
            Phase::Held { holder, .. } if *holder == attempt => Some(ClaimVerdict::Held),
            Phase::Held {
                holder,
                fingerprint: first,
            } => Some(ClaimVerdict::HeldByOther {
                holder: self.processes.expand(*holder)?,
                fingerprint_differs: *first != fingerprint,
            }),
            // A delayed `Acquire` must not block the key for an attempt whose caller was
            // already answered that it did not run.
            Phase::Free if state.has_released(attempt) => Some(ClaimVerdict::Unavailable),
            Phase::Free => None,
        }
    }

    fn release(&mut self, key: &ClaimKey, claimant: &Claimant, now: Timestamp) -> UnsyncedVerdict {
        let attempt = self.processes.compact(claimant);
        if let Some(state) = self.keys.get(&KeyHash::of(key))
            && !state.is_held_by(attempt)
            && state.has_released(attempt)
        {
            return without_records(ClaimVerdict::Recorded);
        }
        let record = ClaimRecord::Released {
            key: key.clone(),
            claimant: claimant.clone(),
        };
        self.record_change(record, ClaimVerdict::Recorded, now)
    }

    fn complete(
        &mut self,
        key: &ClaimKey,
        claimant: &Claimant,
        fingerprint: u64,
        outcome: &StoredOutcome,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        let state = self.keys.get(&KeyHash::of(key));
        if state.is_some_and(|state| matches!(state.phase, Phase::Completed { .. })) {
            return without_records(ClaimVerdict::Recorded);
        }
        let mut outcome = outcome.clone();
        let length = outcome.body.as_ref().map_or(0, Vec::len);
        if length > self.bounds.max_body_bytes {
            outcome.body = None;
        }
        let record = ClaimRecord::Completed {
            key: key.clone(),
            claimant: claimant.clone(),
            fingerprint,
            outcome,
        };
        self.record_change(record, ClaimVerdict::Recorded, now)
    }

    fn record_change(
        &mut self,
        record: ClaimRecord,
        verdict: ClaimVerdict,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        let hash = record.key().map(KeyHash::of);
        let is_known = hash.is_some_and(|hash| self.keys.contains_key(&hash));
        if !is_known && self.keys.len() >= self.bounds.max_keys {
            // Forgetting an older key instead would let a client retry of it run again.
            return without_records(ClaimVerdict::Unavailable);
        }
        self.apply(record.clone(), now);
        UnsyncedVerdict {
            verdict,
            records: vec![self.assign_number(record)],
        }
    }

    fn assign_number(&mut self, record: ClaimRecord) -> NumberedRecord {
        let number = self.next_number;
        self.next_number += 1;
        NumberedRecord { number, record }
    }

    fn apply(&mut self, record: ClaimRecord, now: Timestamp) {
        if let ClaimRecord::MayGrant { voters_number } = record {
            self.voter_status = VoterStatus::Grants { voters_number };
        }
        let Some(key) = record.key().map(KeyHash::of) else {
            return;
        };
        let before = self.keys.get(&key).cloned();
        if before.is_none() {
            let ends_at = now + self.bounds.retention;
            self.by_expiry.push_back((ends_at, key));
        }
        let mut state = before.clone().unwrap_or_else(|| KeyState::new(now));
        state.changed_at = now;
        self.apply_record(&mut state, record);
        let has_body = state.stored_bytes() > 0;
        self.replace_state(key, Some(state));
        self.undo.push((key, before));
        if has_body {
            self.keys_with_body.push_back(key);
            self.drop_old_bodies();
        }
    }

    fn apply_record(&mut self, state: &mut KeyState, record: ClaimRecord) {
        match record {
            ClaimRecord::Held {
                claimant,
                fingerprint,
                ..
            } => {
                let holder = self.processes.compact(&claimant);
                state.phase = Phase::Held {
                    holder,
                    fingerprint,
                };
            }
            ClaimRecord::Released { claimant, .. } => {
                state.release(self.processes.compact(&claimant));
            }
            ClaimRecord::Completed {
                fingerprint,
                outcome,
                ..
            } => state.complete(fingerprint, outcome),
            ClaimRecord::MayGrant { .. } => {}
        }
    }
}

impl ClaimRecord {
    fn key(&self) -> Option<&ClaimKey> {
        match self {
            ClaimRecord::Held { key, .. }
            | ClaimRecord::Released { key, .. }
            | ClaimRecord::Completed { key, .. } => Some(key),
            ClaimRecord::MayGrant { .. } => None,
        }
    }
}

fn without_records(verdict: ClaimVerdict) -> UnsyncedVerdict {
    UnsyncedVerdict {
        verdict,
        records: Vec::new(),
    }
}
