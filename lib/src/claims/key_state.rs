//! A replica's state of one idempotency key, compact enough for millions of keys.

use std::collections::{
    HashMap,
    VecDeque, //
};

use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    peer_api::{
        ClaimKey,
        Claimant,
        StoredOutcome, //
    },
    prelude::*,
};

/// The most released attempts that are remembered for one key.
///
/// Forgetting one is safe, but costs availability: its late `Acquire` would block the key for
/// an attempt that never runs, until retention ends.
const MAX_RELEASED_ATTEMPTS: usize = 64;
/// The memory that a stored outcome takes besides its content type and body.
const STORED_OUTCOME_OVERHEAD_BYTES: usize = 64;

/// The first half of the SHA-256 of team and key; storing the texts would take most of the
/// memory.
///
/// The hash is cryptographic, so that a team cannot construct a key that collides with
/// another team's key and read that team's outcome.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct KeyHash([u8; 16]);

impl KeyHash {
    pub fn of(key: &ClaimKey) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(key.team.as_str());
        hasher.update([0]);
        hasher.update(key.key.as_str());
        let digest = hasher.finalize();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(half)
    }
}

/// A [`Claimant`] in compact form: its daemon and boot are replaced by an index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CompactClaimant {
    process: u32,
    attempt: u64,
}

/// The processes of entry daemons that have sent claims, one for each boot, with their indices.
#[derive(Clone, Debug, Default)]
pub(super) struct DaemonProcesses {
    indices: HashMap<(DaemonId, BootId), u32>,
    processes: Vec<(DaemonId, BootId)>,
}

impl DaemonProcesses {
    pub fn compact(&mut self, claimant: &Claimant) -> CompactClaimant {
        let process = (claimant.daemon.clone(), claimant.boot);
        let index = match self.indices.get(&process) {
            Some(&index) => index,
            None => {
                let index = self.processes.len() as u32;
                self.indices.insert(process.clone(), index);
                self.processes.push(process);
                index
            }
        };
        CompactClaimant {
            process: index,
            attempt: claimant.attempt,
        }
    }

    pub fn expand(&self, holder: CompactClaimant) -> Option<Claimant> {
        let (daemon, boot) = self.processes.get(holder.process as usize)?;
        Some(Claimant {
            daemon: daemon.clone(),
            boot: *boot,
            attempt: holder.attempt,
        })
    }
}

/// The state of one key.
#[derive(Clone, Debug)]
pub(super) struct KeyState {
    pub phase: Phase,
    released: Option<Box<Released>>,
    pub changed_at: Timestamp,
}

/// The attempts that were released last; boxed, since few keys have any.
///
/// Each attempt is listed by itself: an earlier attempt of the same process may be running
/// while a later one was refused and released.
#[derive(Clone, Debug, Default)]
struct Released {
    attempts: VecDeque<CompactClaimant>,
}

#[derive(Clone, Debug)]
pub(super) enum Phase {
    Free,
    Held {
        holder: CompactClaimant,
        fingerprint: u64,
    },
    Completed {
        fingerprint: u64,
        status: u16,
        stored: Option<Box<StoredBody>>,
    },
}

/// The part of an outcome that is dropped when all outcomes together exceed their limit.
#[derive(Clone, Debug)]
pub(super) struct StoredBody {
    content_type: String,
    body: Vec<u8>,
}

impl KeyState {
    pub fn new(now: Timestamp) -> Self {
        Self {
            phase: Phase::Free,
            released: None,
            changed_at: now,
        }
    }

    pub fn complete(&mut self, fingerprint: u64, outcome: StoredOutcome) {
        let content_type = outcome.content_type;
        let stored = outcome
            .body
            .map(|body| Box::new(StoredBody { content_type, body }));
        self.phase = Phase::Completed {
            fingerprint,
            status: outcome.status,
            stored,
        };
    }

    pub fn release(&mut self, released: CompactClaimant) {
        if self.is_held_by(released) {
            self.phase = Phase::Free;
        }
        let attempts = &mut self.released.get_or_insert_default().attempts;
        if attempts.contains(&released) {
            return;
        }
        attempts.push_back(released);
        if attempts.len() > MAX_RELEASED_ATTEMPTS {
            attempts.pop_front();
        }
    }

    pub fn is_held_by(&self, attempt: CompactClaimant) -> bool {
        matches!(self.phase, Phase::Held { holder, .. } if holder == attempt)
    }

    /// Returns the released attempts that are still remembered, oldest first.
    pub fn released(&self) -> impl Iterator<Item = CompactClaimant> + '_ {
        let released = self.released.iter();
        released.flat_map(|released| released.attempts.iter().copied())
    }

    /// Returns whether an attempt is remembered as released.
    pub fn has_released(&self, attempt: CompactClaimant) -> bool {
        self.released().any(|released| released == attempt)
    }

    pub fn stored_bytes(&self) -> usize {
        match &self.phase {
            Phase::Completed {
                stored: Some(stored),
                ..
            } => stored.body.len() + stored.content_type.len() + STORED_OUTCOME_OVERHEAD_BYTES,
            _ => 0,
        }
    }

    pub fn drop_stored_body(&mut self) {
        if let Phase::Completed { stored, .. } = &mut self.phase {
            *stored = None;
        }
    }
}

/// Returns the stored outcome, without content type and body if these were dropped.
pub(super) fn stored_outcome(status: u16, stored: Option<&StoredBody>) -> StoredOutcome {
    StoredOutcome {
        status,
        content_type: stored.map_or_else(String::new, |stored| stored.content_type.clone()),
        body: stored.map(|stored| stored.body.clone()),
    }
}
