//! Splits a team's limit between daemons so that the parts never sum above it.
//!
//! No entry daemon can ask the others for each request, and a daemon that restarts
//! remembers nothing. So each limit is split in steps:
//!
//! 1. Each failure domain has a fixed part, by its number of entry daemons
//!    ([`domain_limit`]); domains that part go on with theirs.
//! 2. Each daemon has half of an equal share for certain ([`guaranteed_share`]); that
//!    is what it uses until its domain leader tells it otherwise.
//! 3. The domain leader divides the rest by demand ([`divide_shares`]), and gives a
//!    daemon more only after another has acknowledged less ([`safe_grants`]).

use std::collections::BTreeMap;

use crate::prelude::*;

/// The part of an equal share that a daemon never lends.
///
/// A daemon that restarts uses this part at once, without knowing what its domain
/// leader lent to others meanwhile; it must therefore never be lent.
const GUARANTEED_DIVISOR: u64 = 2;

/// Returns the part of a team's limit that one failure domain may use.
pub fn domain_limit(limit: u64, daemons_of_domain: u32, daemons_of_fleet: u32) -> u64 {
    let all = u128::from(daemons_of_fleet.max(daemons_of_domain).max(1));
    let part = u128::from(limit) * u128::from(daemons_of_domain) / all;
    u64::try_from(part).unwrap_or(limit)
}

/// Returns what a daemon may use of its domain's limit without any word from the leader.
pub fn guaranteed_share(domain_limit: u64, daemons_of_domain: u32) -> u64 {
    domain_limit / u64::from(daemons_of_domain.max(1)) / GUARANTEED_DIVISOR
}

/// Divides a domain's limit by demand: max-min fair, and never more than the limit.
///
/// `demand` must name every entry daemon configured in the domain, also those that
/// are silent (with no demand): they may be alive and use their guaranteed share.
/// What nobody demands is spread evenly, so that new demand finds something.
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

/// Gives out `left` in equal parts to those that still want some; returns what nobody wanted.
fn fill_evenly(
    shares: &mut BTreeMap<DaemonId, u64>,
    mut left: u64,
    wants: impl Fn(&DaemonId, u64) -> u64,
) -> u64 {
    while left > 0 {
        let wanting = shares
            .iter()
            .filter(|(daemon, share)| wants(daemon, **share) > 0)
            .count() as u64;
        if wanting == 0 {
            return left;
        }
        let part = (left / wanting).max(1);
        for (daemon, share) in shares.iter_mut() {
            let given = wants(daemon, *share).min(part).min(left);
            *share += given;
            left -= given;
        }
    }
    left
}

/// Returns what may be granted now on the way to a target.
///
/// `held` is, for each daemon, the most that it may still believe to have: the larger
/// of what it last acknowledged and what was last sent to it. Less is granted at
/// once; more only from what nobody may still believe to have.
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
            let more = wanted.saturating_sub(held).min(left);
            left -= more;
            (daemon.clone(), wanted.min(held.saturating_add(more)))
        })
        .collect()
}
