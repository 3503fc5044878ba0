//! Requests that were broken off, until it is known whether their upstream has crashed.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        HashSet, //
    },
};

use cicadabend::{
    prelude::*,
    quarantine::{
        Fingerprint,
        KnownCrashes,
        ModelPart, //
    },
    registry::InstanceId, //
};

/// A request whose response from an upstream broke off before its end.
#[derive(Clone, Debug)]
pub(super) struct BrokenRequest {
    /// The request's id.
    pub(super) request: String,
    /// Hash of team, path and body, which is the same when the caller sends the request again.
    pub(super) fingerprint: Fingerprint,
    /// Names and ids of the parts of its prompt that other requests may share.
    pub(super) parts: Vec<(String, ModelPart)>,
    /// When it had been sent to the upstream.
    pub(super) sent_at: Timestamp,
    /// When it broke off.
    pub(super) broken_at: Timestamp,
    /// Numbers of crashes with this fingerprint that were known when the request was sent.
    pub(super) known: KnownCrashes,
    /// Upstreams that broke off earlier attempts of this request.
    pub(super) broken_before: Vec<InstanceId>,
}

/// Broken-off requests by upstream, and the upstreams that have crashed.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    broken_off: RefCell<HashMap<InstanceId, Vec<BrokenRequest>>>,
    /// Upstreams that this daemon has found crashed.
    crashed: RefCell<HashSet<InstanceId>>,
}

impl CrashWatch {
    /// Adds a request that an upstream broke off; returns whether no other one is stored for it.
    pub(super) fn add_broken(&self, upstream: &InstanceId, broken: BrokenRequest) -> bool {
        let mut broken_off = self.broken_off.borrow_mut();
        let requests = broken_off.entry(upstream.clone()).or_default();
        requests.push(broken);
        requests.len() == 1
    }

    /// Removes and returns the requests that an upstream broke off.
    pub(super) fn take(&self, upstream: &InstanceId) -> Vec<BrokenRequest> {
        let requests = self.broken_off.borrow_mut().remove(upstream);
        requests.unwrap_or_default()
    }

    /// Records that an upstream has crashed.
    pub(super) fn record_crash(&self, upstream: &InstanceId) {
        self.crashed.borrow_mut().insert(upstream.clone());
    }

    /// Drops crashed upstreams for which the filter returns false.
    pub(super) fn retain_upstreams(&self, is_retained: impl Fn(&InstanceId) -> bool) {
        self.crashed.borrow_mut().retain(is_retained);
    }

    /// Returns the number of this crash in the request's sequence of successive crashes.
    pub(super) fn crash_number(&self, broken: &BrokenRequest) -> u32 {
        let crashed = self.crashed.borrow();
        let before = broken
            .broken_before
            .iter()
            .filter(|id| crashed.contains(id));
        let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
        broken.known.next_crash_number(before)
    }
}
