//! How busy a replica is now, from a report that was made earlier.

use std::time::Duration;

use super::{
    OwnLoad,
    Replica, //
};
use crate::time::Timestamp;

/// A replica's load as it is believed to be now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Requests running or queued there.
    pub outstanding: f64,
    /// How many it runs side by side, at least one.
    pub slots: f64,
}

impl Estimate {
    /// Returns the load as a multiple of the slots.
    pub fn utilization(self) -> f64 {
        self.outstanding / self.slots
    }

    /// Returns whether one more request would wait.
    pub fn is_saturated(self) -> bool {
        self.outstanding + 1.0 > self.slots
    }

    /// Returns how many requests could start at once.
    pub fn free_slots(self) -> f64 {
        (self.slots - self.outstanding).max(0.0)
    }
}

/// Returns how many requests a replica is believed to have now.
///
/// The report holds this daemon's requests of that time too. They are taken out and
/// replaced by those of now, so that what was sent since the report counts at once
/// and what has ended since no longer does. Without it, each daemon would send all
/// its requests of a report's length to the replica that was idle when it reported.
pub fn estimated_outstanding(replica: &Replica, own: &OwnLoad) -> u32 {
    let (own_now, others) = own_and_others(replica, own);
    own_now.saturating_add(others)
}

fn own_and_others(replica: &Replica, own: &OwnLoad) -> (u32, u32) {
    let own_then = own.in_flight_at(&replica.id, report_time(replica));
    let reported = replica.load.running.saturating_add(replica.load.queued);
    (
        own.in_flight(&replica.id),
        reported.saturating_sub(own_then),
    )
}

fn report_time(replica: &Replica) -> Timestamp {
    let age_ms = replica.load.age_ms;
    Timestamp(replica.load_received_at.0.saturating_sub(age_ms))
}

/// Own requests that are assumed besides those counted, when others' are compared with them.
///
/// A daemon that has sent one request and sees a hundred would otherwise take each of
/// its own for a hundred of others.
const OWN_REQUESTS_ASSUMED: f64 = 4.0;

/// How the other daemons are taken to act since a replica's report.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerEcho {
    factor: f64,
}

impl PeerEcho {
    /// Measures how much of the load comes from others, over all replicas of a service.
    ///
    /// Other daemons see the same reports and follow the same policy, so they are
    /// taken to send in proportion to their share of the reported load.
    pub fn measure(replicas: &[&Replica], own: &OwnLoad, weight: f64) -> Self {
        if weight <= 0.0 {
            return Self { factor: 0.0 };
        }
        let mut own_total = 0_u64;
        let mut others_total = 0_u64;
        for replica in replicas {
            let (_, others) = own_and_others(replica, own);
            own_total += u64::from(own.in_flight_at(&replica.id, report_time(replica)));
            others_total += u64::from(others);
        }
        let ratio = others_total as f64 / (own_total as f64 + OWN_REQUESTS_ASSUMED);
        Self {
            factor: weight * ratio,
        }
    }

    /// Returns the load of a replica with what the others are taken to have changed.
    pub fn estimate(self, replica: &Replica, own: &OwnLoad, now: Timestamp) -> Estimate {
        let (own_now, others) = own_and_others(replica, own);
        let own_then = own.in_flight_at(&replica.id, report_time(replica));
        let own_change = f64::from(own_now) - f64::from(own_then);
        let echo = own_change * self.factor * freshness(replica, now);
        let outstanding = f64::from(own_now) + (f64::from(others) + echo).max(0.0);
        Estimate {
            outstanding,
            slots: f64::from(replica.slots.0.max(1)),
        }
    }
}

/// After this long without a report the others' requests of that time have ended.
const REPORT_MEANS_NOTHING: Duration = Duration::from_secs(10);

fn freshness(replica: &Replica, now: Timestamp) -> f64 {
    if now.since(report_time(replica)) > REPORT_MEANS_NOTHING {
        0.0
    } else {
        1.0
    }
}
