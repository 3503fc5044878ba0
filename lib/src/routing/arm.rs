//! Splits a service's requests between the arms of a routing experiment.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet::{
        RoutingArm,
        RoutingPolicy, //
    },
    prelude::*,
};

/// Returns the routing policy for a request, by a hash of the request's id.
///
/// All attempts of a request get the same policy. The shares need not sum to 100: an arm's
/// fraction of the requests is its share divided by the sum. Round robin is used if the
/// sum is zero.
pub fn choose_arm(arms: &[RoutingArm], request: &RequestId) -> RoutingPolicy {
    let total_share: u64 = arms.iter().map(|arm| u64::from(arm.share_percent.0)).sum();
    if total_share == 0 {
        return RoutingPolicy::RoundRobin;
    }
    let mut remainder = xxh3_64(request.as_str().as_bytes()) % total_share;
    for arm in arms {
        let share = u64::from(arm.share_percent.0);
        if remainder < share {
            return arm.policy;
        }
        remainder -= share;
    }
    RoutingPolicy::RoundRobin
}
