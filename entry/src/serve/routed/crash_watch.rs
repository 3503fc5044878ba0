//! Requests that were broken off, until it is known whether their upstream has ended.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        HashSet, //
    },
};

use cicadabend::{
    quarantine::{
        Fingerprint,
        KnownCrashes, //
    },
    registry::InstanceId, //
};

/// A request that an upstream broke off.
#[derive(Clone, Debug)]
pub(super) struct BrokenOff {
    /// Its id.
    pub(super) request: String,
    /// What it is known again by.
    pub(super) fingerprint: Fingerprint,
    /// How many crashes of it were known when it was sent.
    pub(super) known: KnownCrashes,
    /// The upstreams that broke it off before, on its way to this one.
    pub(super) broken_before: Vec<InstanceId>,
}

/// Requests that were broken off, and upstreams that have ended.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    broken_off: RefCell<HashMap<InstanceId, Vec<BrokenOff>>>,
    /// Upstreams that were seen to have ended.
    ended: RefCell<HashSet<InstanceId>>,
}

impl CrashWatch {
    /// Gathers a request that an upstream broke off; returns whether it is the first.
    pub(super) fn gather(&self, upstream: &InstanceId, broken: BrokenOff) -> bool {
        let mut broken_off = self.broken_off.borrow_mut();
        let gathered = broken_off.entry(upstream.clone()).or_default();
        gathered.push(broken);
        gathered.len() == 1
    }

    /// Takes what was gathered of an upstream.
    pub(super) fn take(&self, upstream: &InstanceId) -> Vec<BrokenOff> {
        let gathered = self.broken_off.borrow_mut().remove(upstream);
        gathered.unwrap_or_default()
    }

    /// Notes that an upstream has ended.
    pub(super) fn note_end(&self, upstream: &InstanceId) {
        self.ended.borrow_mut().insert(upstream.clone());
    }

    /// Drops upstreams that nobody speaks of any more.
    pub(super) fn forget(&self, is_kept: impl Fn(&InstanceId) -> bool) {
        self.ended.borrow_mut().retain(is_kept);
    }

    /// Returns which crash of the request this one is, counted one after the other.
    pub(super) fn number(&self, broken: &BrokenOff) -> u32 {
        let ended = self.ended.borrow();
        let before = broken.broken_before.iter().filter(|id| ended.contains(id));
        let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
        broken.known.next_crash_number(before)
    }
}
