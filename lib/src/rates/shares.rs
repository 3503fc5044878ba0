//! Allocation of a pool's rate to callers when requests arrive faster than upstreams take them.

use std::collections::BTreeMap;

use super::Caller;

/// Returns the share, from 0 to 1, of each caller's requests that is admitted.
///
/// `demand_per_s` holds the requests per second of each caller, and `capacity` is the number of
/// requests per second that can be admitted. Ranks are served in ascending order. Within the rank
/// that can be served only in part, the allocation is max-min fair: callers get equal rates, but
/// none more than its demand, so a team with many requests takes nothing from one with few.
pub(super) fn allocate_shares(
    demand_per_s: &BTreeMap<Caller, f64>,
    capacity: f64,
) -> BTreeMap<Caller, f64> {
    let mut remaining = capacity.max(0.0);
    let mut shares = BTreeMap::new();
    let mut ranks: Vec<u8> = demand_per_s.keys().map(|caller| caller.rank).collect();
    ranks.dedup();
    for rank in ranks {
        let callers: Vec<(&Caller, f64)> = demand_per_s
            .iter()
            .filter(|(caller, rate)| caller.rank == rank && **rate > 0.0)
            .map(|(caller, rate)| (caller, *rate))
            .collect();
        let limit = max_min_limit(callers.iter().map(|(_, rate)| *rate).collect(), remaining);
        for (caller, rate) in callers {
            let admitted = rate.min(limit);
            remaining -= admitted;
            shares.insert(caller.clone(), admitted / rate);
        }
    }
    shares
}

/// Returns the upper limit for each caller's rate under a max-min fair allocation of `remaining`
/// requests per second; infinite if `remaining` covers all rates.
fn max_min_limit(mut rates: Vec<f64>, remaining: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut remaining = remaining.max(0.0);
    let mut callers_left = rates.len();
    for rate in rates {
        let equal_rate = remaining / callers_left as f64;
        if rate > equal_rate {
            return equal_rate;
        }
        remaining -= rate;
        callers_left -= 1;
    }
    f64::INFINITY
}
