//! Measured network distances (round-trip times) to failure domains.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use crate::prelude::*;

/// Number of latest measurements over which the minimum is taken.
const WINDOW_SAMPLES: usize = 32;

/// Round-trip times to failure domains.
///
/// The distance is the moving minimum. Queueing only adds to a round trip, so the smallest
/// recent one is the delay of the path itself. A path that became longer shows after
/// one window of measurements.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    by_domain: BTreeMap<FailureDomain, VecDeque<Duration>>,
}

impl Distances {
    /// Records a measured round trip, for example that of opening a connection for a request.
    pub fn record(&mut self, domain: &FailureDomain, round_trip: Duration) {
        let window = self.by_domain.entry(domain.clone()).or_default();
        window.push_back(round_trip);
        if window.len() > WINDOW_SAMPLES {
            window.pop_front();
        }
    }

    /// Returns the smallest recent round trip, or `None` if none was measured yet.
    pub fn round_trip(&self, domain: &FailureDomain) -> Option<Duration> {
        self.by_domain.get(domain)?.iter().min().copied()
    }
}
