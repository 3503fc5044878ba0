//! Selects the failure domains whose replicas are candidates for a request.

use super::policy::Candidate;
use crate::prelude::*;

/// Share of a home replica's slots that must stay free while only the home domain is used.
///
/// Load reports lag, so a replica that looks nearly full may be full by now. Only the
/// expected-latency policy has this reserve: that policy weighs the network distance, so
/// other domains can be compared before the home domain is completely full.
const HOME_RESERVE: f64 = 0.1;

/// Returns whether any home replica still has the reserve free after one more request.
pub(super) fn has_home_reserve(candidates: &[Candidate<'_>], home: &FailureDomain) -> bool {
    candidates
        .iter()
        .filter(|c| c.replica.failure_domain == *home)
        .any(|c| c.load.utilization() + 1.0 / c.load.slots <= 1.0 - HOME_RESERVE)
}

/// Retains the unsaturated candidates of all domains; if all are saturated, the home domain's
/// candidates.
pub(super) fn retain_unsaturated<'a>(
    candidates: Vec<Candidate<'a>>,
    home: &FailureDomain,
) -> Vec<Candidate<'a>> {
    if candidates.iter().all(|c| c.load.is_saturated()) {
        return retain_nearest_domain_with_capacity(candidates, home);
    }
    candidates
        .into_iter()
        .filter(|c| !c.load.is_saturated())
        .collect()
}

/// Retains all candidates of one domain: the home domain if any of its replicas is unsaturated,
/// else the nearest other domain that has an unsaturated replica.
///
/// If all candidates are saturated, those of the home domain are retained, since a longer
/// way to another queue gains nothing. Without a home replica, all are retained then.
pub(super) fn retain_nearest_domain_with_capacity<'a>(
    candidates: Vec<Candidate<'a>>,
    home: &FailureDomain,
) -> Vec<Candidate<'a>> {
    let has_room = |c: &&Candidate<'_>| !c.load.is_saturated();
    let nearest = candidates
        .iter()
        .filter(has_room)
        .min_by_key(|c| (c.replica.failure_domain != *home, c.round_trip))
        .map(|c| c.replica.failure_domain.clone());
    let has_home = candidates.iter().any(|c| c.replica.failure_domain == *home);
    let domain = match nearest {
        Some(domain) => domain,
        None if has_home => home.clone(),
        None => return candidates,
    };
    candidates
        .into_iter()
        .filter(|c| c.replica.failure_domain == domain)
        .collect()
}
