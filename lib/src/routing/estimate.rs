//! Estimates a replica's present load from an earlier load report.

use std::time::Duration;

use super::{
    OwnLoad,
    Replica, //
};
use crate::time::Timestamp;

/// Estimate of a replica's present load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Number of requests running or queued at the replica.
    pub outstanding: f64,
    /// Number of requests that the replica runs at once, at least one.
    pub slots: f64,
}

impl Estimate {
    /// Returns outstanding requests per slot; above 1 if requests queue.
    pub fn utilization(self) -> f64 {
        self.outstanding / self.slots
    }

    /// Returns whether one more request would wait for a slot.
    pub fn is_saturated(self) -> bool {
        self.outstanding + 1.0 > self.slots
    }

    /// Returns how many more requests could start without waiting.
    pub fn free_slots(self) -> f64 {
        (self.slots - self.outstanding).max(0.0)
    }
}

/// Returns the estimated number of requests that a replica runs or queues now.
///
/// The report counts this daemon's own requests at the time of the report. These are
/// replaced by the own requests in flight now, so that requests sent since the report
/// count at once, and ended ones no longer do. Otherwise each daemon would send all its
/// requests between two reports to the replica that was idle in the first one.
pub fn estimated_outstanding(replica: &Replica, own: &OwnLoad) -> u32 {
    let (own_now, others) = own_and_others(replica, own);
    own_now.saturating_add(others)
}

/// Returns this daemon's requests in flight now, and the other daemons' requests at the time of
/// the report.
fn own_and_others(replica: &Replica, own: &OwnLoad) -> (u32, u32) {
    let own_at_report = own.in_flight_at(&replica.id, reported_at(replica));
    let reported = replica.load.running.saturating_add(replica.load.queued);
    (
        own.in_flight(&replica.id),
        reported.saturating_sub(own_at_report),
    )
}

fn reported_at(replica: &Replica) -> Timestamp {
    let age_ms = replica.load.age_ms;
    Timestamp(replica.load_received_at.0.saturating_sub(age_ms))
}

/// Number added to the own requests before others' requests are divided by them.
///
/// A daemon with one own request that sees a hundred of others would otherwise assume that
/// each new request of its own comes with a hundred new requests of others.
const OWN_REQUESTS_OFFSET: f64 = 4.0;

/// Estimates the requests that other daemons have sent since a replica's report.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoadEstimator {
    /// Requests of others assumed for each own request sent since the report.
    others_per_own: f64,
}

impl PeerLoadEstimator {
    /// Measures the ratio of others' to own requests over a service's replicas, times `weight`.
    ///
    /// Other daemons see the same reports and follow the same policy, so each is assumed to
    /// send new requests in proportion to its share of the reported load.
    pub fn measure(replicas: &[&Replica], own: &OwnLoad, weight: f64) -> Self {
        if weight <= 0.0 {
            return Self {
                others_per_own: 0.0,
            };
        }
        let mut own_total = 0_u64;
        let mut others_total = 0_u64;
        for replica in replicas {
            let (_, others) = own_and_others(replica, own);
            own_total += u64::from(own.in_flight_at(&replica.id, reported_at(replica)));
            others_total += u64::from(others);
        }
        let ratio = others_total as f64 / (own_total as f64 + OWN_REQUESTS_OFFSET);
        Self {
            others_per_own: weight * ratio,
        }
    }

    /// Returns a replica's estimated load, the assumed change of others' requests included.
    pub fn estimate(self, replica: &Replica, own: &OwnLoad, now: Timestamp) -> Estimate {
        let (own_now, others) = own_and_others(replica, own);
        let own_at_report = own.in_flight_at(&replica.id, reported_at(replica));
        let own_change = f64::from(own_now) - f64::from(own_at_report);
        let others_change = own_change * self.others_per_own * report_weight(replica, now);
        let outstanding = f64::from(own_now) + (f64::from(others) + others_change).max(0.0);
        Estimate {
            outstanding,
            slots: f64::from(replica.slots.0.max(1)),
        }
    }
}

/// Age of a report above which the change of others' requests since then is no longer extrapolated;
/// the reported number itself still counts.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Returns 1 while a report is recent enough to extrapolate others' requests, else 0.
fn report_weight(replica: &Replica, now: Timestamp) -> f64 {
    if now.since(reported_at(replica)) > MAX_REPORT_AGE {
        0.0
    } else {
        1.0
    }
}
