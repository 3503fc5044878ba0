//! What a replica keeps of one key, small enough for millions of them.

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

/// How many released attempts a key remembers.
///
/// Forgetting one is harmless to safety: its late `Acquire` would block the key for
/// an attempt that never runs, until retention ends.
const RELEASED_LIMIT: usize = 64;
/// What an outcome that is kept costs besides its text and body.
const KEPT_OVERHEAD_BYTES: usize = 64;

/// Half of a SHA-256 of team and key; the texts themselves would be most of the memory.
///
/// The hash is a cryptographic one, so that a team cannot choose a key that meets
/// another team's and be told the other's outcome.
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

/// An attempt with its daemon's run as a number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Holder {
    run: u32,
    attempt: u64,
}

/// The runs of entry daemons that were heard of; one for each start of a daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct Runs {
    numbers: HashMap<(DaemonId, BootId), u32>,
    runs: Vec<(DaemonId, BootId)>,
}

impl Runs {
    pub fn holder(&mut self, claimant: &Claimant) -> Holder {
        let run = (claimant.daemon.clone(), claimant.boot);
        let number = match self.numbers.get(&run) {
            Some(&number) => number,
            None => {
                let number = self.runs.len() as u32;
                self.numbers.insert(run.clone(), number);
                self.runs.push(run);
                number
            }
        };
        Holder {
            run: number,
            attempt: claimant.attempt,
        }
    }

    pub fn claimant(&self, holder: Holder) -> Option<Claimant> {
        let (daemon, boot) = self.runs.get(holder.run as usize)?;
        Some(Claimant {
            daemon: daemon.clone(),
            boot: *boot,
            attempt: holder.attempt,
        })
    }
}

/// What is known of one key.
#[derive(Clone, Debug)]
pub(super) struct KeyState {
    pub phase: Phase,
    released: Option<Box<Released>>,
    pub changed_at: Timestamp,
}

/// The attempts released last; boxed, since few keys have any.
///
/// Each stands for itself alone: an earlier attempt of the same run may be running while a
/// later one was refused and released.
#[derive(Clone, Debug, Default)]
struct Released {
    attempts: VecDeque<Holder>,
}

#[derive(Clone, Debug)]
pub(super) enum Phase {
    Free,
    Held {
        holder: Holder,
        fingerprint: u64,
    },
    Completed {
        fingerprint: u64,
        status: u16,
        kept: Option<Box<Kept>>,
    },
}

/// The part of an outcome that is dropped when there is too much of it.
#[derive(Clone, Debug)]
pub(super) struct Kept {
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
        let kept = outcome
            .body
            .map(|body| Box::new(Kept { content_type, body }));
        self.phase = Phase::Completed {
            fingerprint,
            status: outcome.status,
            kept,
        };
    }

    pub fn release(&mut self, released: Holder) {
        if self.is_held_by(released) {
            self.phase = Phase::Free;
        }
        let attempts = &mut self.released.get_or_insert_default().attempts;
        if attempts.contains(&released) {
            return;
        }
        attempts.push_back(released);
        if attempts.len() > RELEASED_LIMIT {
            attempts.pop_front();
        }
    }

    pub fn is_held_by(&self, attempt: Holder) -> bool {
        matches!(self.phase, Phase::Held { holder, .. } if holder == attempt)
    }

    /// Returns the attempts that were released, as far as they are remembered.
    pub fn released(&self) -> impl Iterator<Item = Holder> + '_ {
        let released = self.released.iter();
        released.flat_map(|released| released.attempts.iter().copied())
    }

    /// Returns whether an attempt was released.
    pub fn has_released(&self, attempt: Holder) -> bool {
        self.released().any(|released| released == attempt)
    }

    pub fn kept_bytes(&self) -> usize {
        match &self.phase {
            Phase::Completed {
                kept: Some(kept), ..
            } => kept.body.len() + kept.content_type.len() + KEPT_OVERHEAD_BYTES,
            _ => 0,
        }
    }

    pub fn drop_kept(&mut self) {
        if let Phase::Completed { kept, .. } = &mut self.phase {
            *kept = None;
        }
    }
}

/// Returns an outcome as far as it was kept.
pub(super) fn outcome(status: u16, kept: Option<&Kept>) -> StoredOutcome {
    StoredOutcome {
        status,
        content_type: kept.map_or_else(String::new, |kept| kept.content_type.clone()),
        body: kept.map(|kept| kept.body.clone()),
    }
}
