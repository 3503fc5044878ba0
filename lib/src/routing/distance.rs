//! How far other failure domains are, as measured.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use crate::prelude::*;

/// Over how many measurements the minimum is taken.
const WINDOW: usize = 32;

/// Round-trip times to failure domains.
///
/// The distance is the moving minimum: queueing only ever adds to a round trip, so
/// the smallest of the recent ones is the path itself, and a path that became
/// longer shows after one window.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    by_domain: BTreeMap<FailureDomain, VecDeque<Duration>>,
}

impl Distances {
    /// Notes a measured round trip, for example of a request's connection set-up.
    pub fn record(&mut self, domain: &FailureDomain, round_trip: Duration) {
        let window = self.by_domain.entry(domain.clone()).or_default();
        window.push_back(round_trip);
        if window.len() > WINDOW {
            window.pop_front();
        }
    }

    /// Returns the distance, or `None` if no round trip was measured yet.
    pub fn round_trip(&self, domain: &FailureDomain) -> Option<Duration> {
        self.by_domain.get(domain)?.iter().min().copied()
    }
}
