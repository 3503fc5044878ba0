//! One control daemon's part in claims.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    ClaimRecord,
    NumberedRecord,
    standing::Standing, //
};
use crate::{
    fleet::Voter,
    peer_api::{
        ClaimAction,
        ClaimKey,
        ClaimRequest,
        ClaimVerdict,
        Claimant,
        StoredOutcome,
        VoterSet, //
    },
    prelude::*,
};

/// How many runs of entry daemons a key remembers released attempts of.
///
/// Forgetting one is harmless to safety: its late `Acquire` would block the key for
/// an attempt that never runs, until retention ends.
const RELEASED_RUNS_LIMIT: usize = 64;

/// What a replica may keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaBounds {
    /// How long a key is remembered after its last change.
    pub retention: Duration,
    /// The most keys remembered; further ones are refused, never older ones forgotten.
    pub max_keys: usize,
    /// The most bytes of an outcome's body; a longer one is stored without its body.
    pub max_body_bytes: usize,
    /// The most bytes of all bodies together; beyond it outcomes are stored without.
    pub max_total_body_bytes: usize,
}

/// A verdict, with the records that must be on disk before the verdict is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Handled {
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
    keys: HashMap<ClaimKey, KeyState>,
    by_expiry: VecDeque<(Timestamp, ClaimKey)>,
    next_number: u64,
    body_bytes: usize,
    standing: Standing,
    synced_standing: Standing,
    undo: Vec<(ClaimKey, Option<KeyState>)>,
}

#[derive(Clone, Debug)]
struct KeyState {
    phase: Phase,
    released: BTreeMap<Run, u64>,
    changed_at: Timestamp,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Free,
    Held {
        claimant: Claimant,
        fingerprint: u64,
    },
    Completed {
        fingerprint: u64,
        outcome: StoredOutcome,
    },
}

type Run = (DaemonId, BootId);

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
            next_number: 0,
            body_bytes: 0,
            standing: Standing::default(),
            synced_standing: Standing::default(),
            undo: Vec::new(),
        };
        for record in records {
            replica.next_number = record.number.saturating_add(1);
            replica.apply(record.record, now);
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
    pub fn follow_voters(&mut self, voters: &VoterSet, now: Timestamp) -> Option<NumberedRecord> {
        let before = self.standing.granting_number();
        let retention = self.bounds.retention;
        self.standing = self.standing.follow(&self.identity, voters, retention, now);
        match self.standing.granting_number() {
            Some(number) if before != Some(number) => self.standing_record(),
            _ => None,
        }
    }

    /// Returns the record of the disk's right to grant, to keep it where older records go.
    pub fn standing_record(&mut self) -> Option<NumberedRecord> {
        let voters_number = self.standing.granting_number()?;
        Some(self.number(ClaimRecord::MayGrant { voters_number }))
    }

    /// Decides about one request.
    pub fn handle(&mut self, request: &ClaimRequest, voters: &VoterSet, now: Timestamp) -> Handled {
        let standing = self.follow_voters(voters, now);
        let mut handled = self.decide(request, voters, now);
        handled.records.extend(standing);
        handled
    }

    fn decide(&mut self, request: &ClaimRequest, voters: &VoterSet, now: Timestamp) -> Handled {
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
            self.replace(&key, before);
        }
        self.standing = self.synced_standing;
    }

    fn replace(&mut self, key: &ClaimKey, state: Option<KeyState>) {
        self.body_bytes += state.as_ref().map_or(0, KeyState::body_bytes);
        let before = match state {
            Some(state) => self.keys.insert(key.clone(), state),
            None => self.keys.remove(key),
        };
        self.body_bytes -= before.as_ref().map_or(0, KeyState::body_bytes);
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
                _ => self.replace(&key, None),
            }
        }
    }

    fn acquire(
        &mut self,
        key: &ClaimKey,
        claimant: &Claimant,
        fingerprint: u64,
        now: Timestamp,
    ) -> Handled {
        if let Some(state) = self.keys.get(key) {
            match &state.phase {
                Phase::Completed {
                    fingerprint: first,
                    outcome,
                } => {
                    return said(ClaimVerdict::Completed {
                        outcome: outcome.clone(),
                        fingerprint_differs: *first != fingerprint,
                    });
                }
                Phase::Held {
                    claimant: holder, ..
                } if holder == claimant => return said(ClaimVerdict::Held),
                Phase::Held {
                    claimant: holder,
                    fingerprint: first,
                } => {
                    return said(ClaimVerdict::HeldByOther {
                        holder: holder.clone(),
                        fingerprint_differs: *first != fingerprint,
                    });
                }
                // A delayed `Acquire` must not block the key for an attempt that has
                // already told its caller that it did not run.
                Phase::Free if state.has_released(claimant) => {
                    return said(ClaimVerdict::Unavailable);
                }
                Phase::Free => {}
            }
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

    fn release(&mut self, key: &ClaimKey, claimant: &Claimant, now: Timestamp) -> Handled {
        if let Some(state) = self.keys.get(key) {
            let is_held =
                matches!(&state.phase, Phase::Held { claimant: holder, .. } if holder == claimant);
            if !is_held && state.has_released(claimant) {
                return said(ClaimVerdict::Recorded);
            }
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
    ) -> Handled {
        let state = self.keys.get(key);
        if state.is_some_and(|state| matches!(state.phase, Phase::Completed { .. })) {
            return said(ClaimVerdict::Recorded);
        }
        let mut outcome = outcome.clone();
        let length = outcome.body.as_ref().map_or(0, Vec::len);
        let is_too_much = self.body_bytes + length > self.bounds.max_total_body_bytes;
        if length > self.bounds.max_body_bytes || is_too_much {
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

    fn change(&mut self, record: ClaimRecord, verdict: ClaimVerdict, now: Timestamp) -> Handled {
        let is_known = record.key().is_some_and(|key| self.keys.contains_key(key));
        if !is_known && self.keys.len() >= self.bounds.max_keys {
            // Forgetting an older key instead would let its resend run again.
            return said(ClaimVerdict::Unavailable);
        }
        self.apply(record.clone(), now);
        Handled {
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
        let Some(key) = record.key().cloned() else {
            return;
        };
        let before = self.keys.get(&key).cloned();
        if before.is_none() {
            let ends_at = now + self.bounds.retention;
            self.by_expiry.push_back((ends_at, key.clone()));
        }
        let mut state = before.clone().unwrap_or(KeyState {
            phase: Phase::Free,
            released: BTreeMap::new(),
            changed_at: now,
        });
        state.changed_at = now;
        state.apply(record);
        self.replace(&key, Some(state));
        self.undo.push((key, before));
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

impl KeyState {
    fn apply(&mut self, record: ClaimRecord) {
        match record {
            ClaimRecord::Held {
                claimant,
                fingerprint,
                ..
            } => {
                self.phase = Phase::Held {
                    claimant,
                    fingerprint,
                };
            }
            ClaimRecord::Released { claimant, .. } => self.apply_release(claimant),
            ClaimRecord::Completed {
                fingerprint,
                outcome,
                ..
            } => {
                self.phase = Phase::Completed {
                    fingerprint,
                    outcome,
                };
            }
            ClaimRecord::MayGrant { .. } => {}
        }
    }

    fn body_bytes(&self) -> usize {
        match &self.phase {
            Phase::Completed { outcome, .. } => outcome.body.as_ref().map_or(0, Vec::len),
            Phase::Free | Phase::Held { .. } => 0,
        }
    }

    fn apply_release(&mut self, released: Claimant) {
        let is_held = matches!(&self.phase, Phase::Held { claimant, .. } if *claimant == released);
        if is_held {
            self.phase = Phase::Free;
        }
        let run = (released.daemon, released.boot);
        let highest = self.released.entry(run).or_default();
        *highest = (*highest).max(released.attempt);
        if self.released.len() > RELEASED_RUNS_LIMIT {
            self.released.pop_first();
        }
    }

    /// Returns whether an attempt, or a later one of the same run, was released.
    fn has_released(&self, claimant: &Claimant) -> bool {
        let run = (claimant.daemon.clone(), claimant.boot);
        self.released
            .get(&run)
            .is_some_and(|highest| *highest >= claimant.attempt)
    }
}

fn said(verdict: ClaimVerdict) -> Handled {
    Handled {
        verdict,
        records: Vec::new(),
    }
}
