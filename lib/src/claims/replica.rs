//! One control daemon's part in claims.

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
        Holder,
        KeyHash,
        KeyState,
        Phase,
        Runs,
        outcome, //
    },
    standing::Standing, //
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

/// What a replica may keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaBounds {
    /// How long a key is remembered after its last change.
    pub retention: Duration,
    /// The most keys remembered; further ones are refused, never older ones forgotten.
    pub max_keys: usize,
    /// The most bytes of an outcome's body; a longer one is stored without its body.
    pub max_body_bytes: usize,
    /// The most bytes of all outcomes together; beyond it the oldest lose their bodies.
    pub max_total_body_bytes: usize,
}

/// A verdict, with the records that must be on disk before the verdict is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsyncedVerdict {
    /// What to answer.
    pub verdict: ClaimVerdict,
    /// What to write and sync first.
    pub records: Vec<NumberedRecord>,
}

/// Every claim that one disk remembers.
///
/// Changes become visible to later requests at once, but nothing may be answered
/// before their records are synced: [`Self::commit`] is called after a sync and
/// [`Self::roll_back`] after one that stored nothing.
#[derive(Clone, Debug)]
pub struct ClaimReplica {
    identity: Voter,
    bounds: ReplicaBounds,
    keys: HashMap<KeyHash, KeyState>,
    by_expiry: VecDeque<(Timestamp, KeyHash)>,
    with_body: VecDeque<KeyHash>,
    runs: Runs,
    next_number: u64,
    body_bytes: usize,
    standing: Standing,
    synced_standing: Standing,
    undo: Vec<(KeyHash, Option<KeyState>)>,
}

impl ClaimReplica {
    /// Makes a replica from the records of its disk, in any order.
    ///
    /// The age of a record is not known after a restart, since monotonic clocks begin
    /// anew; each is kept for the whole retention once more.
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
            with_body: VecDeque::new(),
            runs: Runs::default(),
            next_number: 0,
            body_bytes: 0,
            standing: Standing::default(),
            synced_standing: Standing::default(),
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

    /// Returns whose disk this is.
    pub fn identity(&self) -> &Voter {
        &self.identity
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Takes note of the set of voters; returns a record if the disk's right to grant changes.
    ///
    /// To be called now and then also without requests, so that a disk that abstains
    /// learns that its time is over.
    pub fn update_voters(&mut self, voters: &VoterSet, now: Timestamp) -> Option<NumberedRecord> {
        let before = self.standing.granting_number();
        let retention = self.bounds.retention;
        self.standing = self.standing.follow(&self.identity, voters, retention, now);
        match self.standing.granting_number() {
            Some(number) if before != Some(number) => self.grant_right_record(),
            _ => None,
        }
    }

    /// Returns the record of the disk's right to grant, to keep it where older records go.
    pub fn grant_right_record(&mut self) -> Option<NumberedRecord> {
        let voters_number = self.standing.granting_number()?;
        Some(self.number(ClaimRecord::MayGrant { voters_number }))
    }

    /// Decides about one request.
    pub fn handle(
        &mut self,
        request: &ClaimRequest,
        voters: &VoterSet,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        let standing = self.update_voters(voters, now);
        let mut handled = self.decide(request, voters, now);
        handled.records.extend(standing);
        handled
    }

    fn decide(
        &mut self,
        request: &ClaimRequest,
        voters: &VoterSet,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        if request.voters_number < voters.number {
            return said(ClaimVerdict::VotersChanged(voters.clone()));
        }
        if !voters.voters.contains(&self.identity) {
            return said(ClaimVerdict::Unavailable);
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
            } => said(self.probe(key, claimant, *fingerprint)),
            ClaimAction::Release { claimant } => self.release(key, claimant, now),
            ClaimAction::Complete {
                claimant,
                fingerprint,
                outcome,
            } => self.complete(key, claimant, *fingerprint, outcome, now),
        }
    }

    /// Makes the changes since the last commit final: they are on disk.
    pub fn commit(&mut self) {
        self.undo.clear();
        self.synced_standing = self.standing;
    }

    /// Takes the changes since the last commit back: none of them is on disk.
    pub fn roll_back(&mut self) {
        while let Some((key, before)) = self.undo.pop() {
            self.replace(key, before);
        }
        self.standing = self.synced_standing;
    }

    fn replace(&mut self, key: KeyHash, state: Option<KeyState>) {
        self.body_bytes += state.as_ref().map_or(0, KeyState::kept_bytes);
        let before = match state {
            Some(state) => self.keys.insert(key, state),
            None => self.keys.remove(&key),
        };
        self.body_bytes -= before.as_ref().map_or(0, KeyState::kept_bytes);
    }

    /// Drops the oldest bodies while there are too many: a resend comes soon or never.
    fn drop_old_bodies(&mut self) {
        while self.body_bytes > self.bounds.max_total_body_bytes {
            let Some(key) = self.with_body.pop_front() else {
                return;
            };
            if let Some(state) = self.keys.get_mut(&key) {
                self.body_bytes -= state.kept_bytes();
                state.drop_kept();
            }
        }
    }

    /// Forgets keys whose retention has ended; a resend after that runs again.
    pub fn expire(&mut self, now: Timestamp) {
        while self.by_expiry.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.by_expiry.pop_front() else {
                return;
            };
            let changed_at = self.keys.get(&key).map(|state| state.changed_at);
            match changed_at.map(|at| at + self.bounds.retention) {
                Some(ends_at) if ends_at > now => self.by_expiry.push_back((ends_at, key)),
                _ => self.replace(key, None),
            }
        }
        self.forget_expired_bodies();
    }

    fn forget_expired_bodies(&mut self) {
        while let Some(key) = self.with_body.front()
            && !self.keys.contains_key(key)
        {
            self.with_body.pop_front();
        }
    }

    fn acquire(
        &mut self,
        key: &ClaimKey,
        claimant: &Claimant,
        fingerprint: u64,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        let attempt = self.runs.holder(claimant);
        if let Some(verdict) = self.known(KeyHash::of(key), attempt, fingerprint) {
            return said(verdict);
        }
        if self.standing.granting_number().is_none() {
            return said(ClaimVerdict::Unavailable);
        }
        let record = ClaimRecord::Held {
            key: key.clone(),
            claimant: claimant.clone(),
            fingerprint,
        };
        self.change(record, ClaimVerdict::Held, now)
    }

    /// Returns what an `Acquire` would meet; records nothing.
    fn probe(&mut self, key: &ClaimKey, claimant: &Claimant, fingerprint: u64) -> ClaimVerdict {
        let attempt = self.runs.holder(claimant);
        let hash = KeyHash::of(key);
        match self.known(hash, attempt, fingerprint) {
            Some(ClaimVerdict::HeldByOther {
                holder,
                fingerprint_differs,
            }) => self.report(hash, Some(holder), fingerprint_differs),
            Some(verdict) => verdict,
            None if self.may_hold(hash) => self.report(hash, None, false),
            None => ClaimVerdict::Unavailable,
        }
    }

    fn may_hold(&self, key: KeyHash) -> bool {
        let has_room = self.keys.contains_key(&key) || self.keys.len() < self.bounds.max_keys;
        has_room && self.standing.granting_number().is_some()
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
                .filter_map(|attempt| self.runs.claimant(attempt))
                .collect(),
        })
    }

    /// Returns the answer that what is known of a key gives; `None` if it is free.
    fn known(&self, key: KeyHash, attempt: Holder, fingerprint: u64) -> Option<ClaimVerdict> {
        let state = self.keys.get(&key)?;
        match &state.phase {
            Phase::Completed {
                fingerprint: first,
                status,
                kept,
            } => Some(ClaimVerdict::Completed {
                outcome: outcome(*status, kept.as_deref()),
                fingerprint_differs: *first != fingerprint,
            }),
            Phase::Held { holder, .. } if *holder == attempt => Some(ClaimVerdict::Held),
            Phase::Held {
                holder,
                fingerprint: first,
            } => Some(ClaimVerdict::HeldByOther {
                holder: self.runs.claimant(*holder)?,
                fingerprint_differs: *first != fingerprint,
            }),
            // A delayed `Acquire` must not block the key for an attempt that has
            // already told its caller that it did not run.
            Phase::Free if state.has_released(attempt) => Some(ClaimVerdict::Unavailable),
            Phase::Free => None,
        }
    }

    fn release(&mut self, key: &ClaimKey, claimant: &Claimant, now: Timestamp) -> UnsyncedVerdict {
        let attempt = self.runs.holder(claimant);
        if let Some(state) = self.keys.get(&KeyHash::of(key))
            && !state.is_held_by(attempt)
            && state.has_released(attempt)
        {
            return said(ClaimVerdict::Recorded);
        }
        let record = ClaimRecord::Released {
            key: key.clone(),
            claimant: claimant.clone(),
        };
        self.change(record, ClaimVerdict::Recorded, now)
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
            return said(ClaimVerdict::Recorded);
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
        self.change(record, ClaimVerdict::Recorded, now)
    }

    fn change(
        &mut self,
        record: ClaimRecord,
        verdict: ClaimVerdict,
        now: Timestamp,
    ) -> UnsyncedVerdict {
        let hash = record.key().map(KeyHash::of);
        let is_known = hash.is_some_and(|hash| self.keys.contains_key(&hash));
        if !is_known && self.keys.len() >= self.bounds.max_keys {
            // Forgetting an older key instead would let its resend run again.
            return said(ClaimVerdict::Unavailable);
        }
        self.apply(record.clone(), now);
        UnsyncedVerdict {
            verdict,
            records: vec![self.number(record)],
        }
    }

    fn number(&mut self, record: ClaimRecord) -> NumberedRecord {
        let number = self.next_number;
        self.next_number += 1;
        NumberedRecord { number, record }
    }

    fn apply(&mut self, record: ClaimRecord, now: Timestamp) {
        if let ClaimRecord::MayGrant { voters_number } = record {
            self.standing = Standing::Grants { voters_number };
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
        self.apply_to(&mut state, record);
        let has_body = state.kept_bytes() > 0;
        self.replace(key, Some(state));
        self.undo.push((key, before));
        if has_body {
            self.with_body.push_back(key);
            self.drop_old_bodies();
        }
    }

    fn apply_to(&mut self, state: &mut KeyState, record: ClaimRecord) {
        match record {
            ClaimRecord::Held {
                claimant,
                fingerprint,
                ..
            } => {
                let holder = self.runs.holder(&claimant);
                state.phase = Phase::Held {
                    holder,
                    fingerprint,
                };
            }
            ClaimRecord::Released { claimant, .. } => {
                state.release(self.runs.holder(&claimant));
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

fn said(verdict: ClaimVerdict) -> UnsyncedVerdict {
    UnsyncedVerdict {
        verdict,
        records: Vec::new(),
    }
}
