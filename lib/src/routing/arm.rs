//! Splits a service's requests between the routing policies under trial.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet::{
        RoutingArm,
        RoutingPolicy, //
    },
    prelude::*,
};

/// Returns the policy that decides for a request; the same request always gets the same one.
///
/// The shares need not sum to 100: each arm gets its part of the sum. Without any
/// arm with a share, round robin decides.
pub fn choose_arm(arms: &[RoutingArm], request: &RequestId) -> RoutingPolicy {
    let total: u64 = arms.iter().map(|arm| u64::from(arm.share_percent.0)).sum();
    if total == 0 {
        return RoutingPolicy::RoundRobin;
    }
    let mut point = xxh3_64(request.as_str().as_bytes()) % total;
    for arm in arms {
        let share = u64::from(arm.share_percent.0);
        if point < share {
            return arm.policy;
        }
        point -= share;
    }
    RoutingPolicy::RoundRobin
}
