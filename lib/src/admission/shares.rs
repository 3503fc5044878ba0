//! Splits a team's limit between entry daemons so that the shares never sum above the limit.
//!
//! An entry daemon cannot ask the others for each request, and a daemon that restarts
//! has lost its share. So each limit is split in steps:
//!
//! 1. Each failure domain has a fixed share, by its number of entry daemons
//!    ([`domain_limit`]); domains that lose contact with each other go on with theirs.
//! 2. Each daemon is guaranteed half of an equal share ([`guaranteed_share`]), and uses
//!    this half until its domain leader grants a different share.
//! 3. The domain leader divides the rest by demand ([`divide_shares`]), and raises one
//!    daemon's share only after another daemon has acknowledged a lower one
//!    ([`safe_grants`]).

use std::collections::BTreeMap;

use crate::prelude::*;

/// Divides an equal share to give the guaranteed share, which is never granted to others.
///
/// A daemon that restarts uses its guaranteed share at once, without knowing what its
/// domain leader granted to others in the meantime.
const GUARANTEED_DIVISOR: u64 = 2;

/// Returns one failure domain's share of a team's limit, by its number of entry daemons.
pub fn domain_limit(limit: u64, daemons_of_domain: u32, daemons_of_fleet: u32) -> u64 {
    let all = u128::from(daemons_of_fleet.max(daemons_of_domain).max(1));
    let domain_share = u128::from(limit) * u128::from(daemons_of_domain) / all;
    u64::try_from(domain_share).unwrap_or(limit)
}

/// Returns the share of its domain's limit that a daemon may use without a grant from the leader.
pub fn guaranteed_share(domain_limit: u64, daemons_of_domain: u32) -> u64 {
    domain_limit / u64::from(daemons_of_domain.max(1)) / GUARANTEED_DIVISOR
}

/// Divides a domain's limit by demand: max-min fair, and never more than the limit.
///
/// `demand` must name every entry daemon configured in the domain. Silent daemons are
/// listed with a demand of zero: they may be alive and use their guaranteed share.
/// The rest that no daemon demands is divided evenly, so that new demand can be served
/// before the next division.
pub fn divide_shares(limit: u64, demand: &BTreeMap<DaemonId, u64>) -> BTreeMap<DaemonId, u64> {
    let daemons = u32::try_from(demand.len()).unwrap_or(u32::MAX);
    let guaranteed = guaranteed_share(limit, daemons);
    let mut shares: BTreeMap<DaemonId, u64> = demand
        .keys()
        .map(|daemon| (daemon.clone(), guaranteed))
        .collect();
    let mut left = limit.saturating_sub(guaranteed.saturating_mul(u64::from(daemons)));
    left = fill_evenly(&mut shares, left, |daemon, share| {
        demand
            .get(daemon)
            .copied()
            .unwrap_or(0)
            .saturating_sub(share)
    });
    fill_evenly(&mut shares, left, |_, _| u64::MAX);
    shares
}

/// Adds `left` in equal parts to the shares with unmet demand; returns the rest that no daemon
/// demands.
fn fill_evenly(
    shares: &mut BTreeMap<DaemonId, u64>,
    mut left: u64,
    unmet_demand: impl Fn(&DaemonId, u64) -> u64,
) -> u64 {
    while left > 0 {
        let claimants = shares
            .iter()
            .filter(|(daemon, share)| unmet_demand(daemon, **share) > 0)
            .count() as u64;
        if claimants == 0 {
            return left;
        }
        let equal_part = (left / claimants).max(1);
        for (daemon, share) in shares.iter_mut() {
            let given = unmet_demand(daemon, *share).min(equal_part).min(left);
            *share += given;
            left -= given;
        }
    }
    left
}

/// Returns the shares that may be granted now on the way to `target`.
///
/// `held` is, for each daemon, the largest share that the daemon may still be using: the
/// larger of the share last acknowledged and the share last sent. A lower share is granted
/// at once. A higher one is granted only out of the part of `limit` that no daemon may
/// still be using.
pub fn safe_grants(
    limit: u64,
    held: &BTreeMap<DaemonId, u64>,
    target: &BTreeMap<DaemonId, u64>,
) -> BTreeMap<DaemonId, u64> {
    let mut left = limit.saturating_sub(held.values().sum());
    target
        .iter()
        .map(|(daemon, &wanted)| {
            let held = held.get(daemon).copied().unwrap_or(0);
            let increase = wanted.saturating_sub(held).min(left);
            left -= increase;
            (daemon.clone(), wanted.min(held.saturating_add(increase)))
        })
        .collect()
}
