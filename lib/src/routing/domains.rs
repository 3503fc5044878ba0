//! Which failure domains' replicas are candidates for a request.

use super::policy::Candidate;
use crate::prelude::*;

/// How much of a replica's slots the scoring policy leaves free before it looks farther.
///
/// A replica that looks nearly full in a lagging report may be full by now; the policy
/// weighs the distance, so it can compare other domains before home is quite full.
const HOME_RESERVE: f64 = 0.1;

/// Returns whether a home replica has more than the reserve free.
pub(super) fn has_reserve(candidates: &[Candidate<'_>], home: &FailureDomain) -> bool {
    candidates
        .iter()
        .filter(|c| c.replica.failure_domain == *home)
        .any(|c| c.load.utilization() + 1.0 / c.load.slots <= 1.0 - HOME_RESERVE)
}

/// Keeps what has room in any domain; without room anywhere, the home domain.
pub(super) fn with_room<'a>(
    candidates: Vec<Candidate<'a>>,
    home: &FailureDomain,
) -> Vec<Candidate<'a>> {
    if candidates.iter().all(|c| c.load.is_saturated()) {
        return nearest_with_capacity(candidates, home);
    }
    candidates
        .into_iter()
        .filter(|c| !c.load.is_saturated())
        .collect()
}

/// Keeps the home domain if it has room; else the nearest domain that has; else all.
///
/// Without room anywhere the home domain alone is kept, since a longer way to
/// another queue gains nothing; without a home replica all domains are.
pub(super) fn nearest_with_capacity<'a>(
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
