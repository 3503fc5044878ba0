//! Who goes first when requests come faster than the upstreams take them.

use std::collections::BTreeMap;

use super::Caller;

/// Returns which part of each caller's requests may go, if so many a second are asked for and
/// `capacity` a second can go.
///
/// Ranks are served in their order. Within the rank that is served in part, teams get equal
/// parts, but none more than it asks for: a team with many requests takes nothing from one
/// with few.
pub(super) fn share_out(asked: &BTreeMap<Caller, f64>, capacity: f64) -> BTreeMap<Caller, f64> {
    let mut left = capacity.max(0.0);
    let mut parts = BTreeMap::new();
    let mut ranks: Vec<u8> = asked.keys().map(|caller| caller.rank).collect();
    ranks.dedup();
    for rank in ranks {
        let of_rank: Vec<(&Caller, f64)> = asked
            .iter()
            .filter(|(caller, rate)| caller.rank == rank && **rate > 0.0)
            .map(|(caller, rate)| (caller, *rate))
            .collect();
        let most = equal_part(of_rank.iter().map(|(_, rate)| *rate).collect(), left);
        for (caller, rate) in of_rank {
            let given = rate.min(most);
            left -= given;
            parts.insert(caller.clone(), given / rate);
        }
    }
    parts
}

/// Returns the most that each may get, so that all of `left` is given out or nobody lacks.
fn equal_part(mut rates: Vec<f64>, left: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut left = left.max(0.0);
    let mut others = rates.len();
    for rate in rates {
        let part = left / others as f64;
        if rate > part {
            return part;
        }
        left -= rate;
        others -= 1;
    }
    f64::INFINITY
}
