//! Which control daemons an entry daemon takes reports from.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::prelude::*;

/// Returns the fewest control daemons that between them are told what every control daemon
/// heard here was told by upstreams, the most useful one first.
///
/// The choice is greedy, so there may be one more than is needed.
///
/// `heard` holds the control daemons that this daemon hears, those it prefers first;
/// `told_by` says whose reports each of them gets. While all control daemons hear each other
/// the result is the preferred one alone. Without the others a control daemon that is cut
/// off from the rest hides from its entry daemons what the rest were told: they went on
/// sending to upstreams that had said that they leave for as long as the cut lasted.
pub(super) fn choose(
    heard: &[DaemonId],
    told_by: &BTreeMap<DaemonId, BTreeSet<DaemonId>>,
) -> Vec<DaemonId> {
    let mut missing: BTreeSet<&DaemonId> = heard.iter().collect();
    let mut sources = Vec::new();
    while let Some(next) = most_useful(heard, told_by, &missing) {
        missing.retain(|control| !covers(next, control, told_by));
        sources.push(next.clone());
    }
    sources
}

/// Returns the first of those that cover the most of what is missing; none if nothing is.
fn most_useful<'a>(
    heard: &'a [DaemonId],
    told_by: &BTreeMap<DaemonId, BTreeSet<DaemonId>>,
    missing: &BTreeSet<&DaemonId>,
) -> Option<&'a DaemonId> {
    let gain = |source: &DaemonId| {
        let covered = missing
            .iter()
            .filter(|control| covers(source, control, told_by));
        covered.count()
    };
    // Of equals `max_by_key` returns the last.
    let best = heard.iter().rev().max_by_key(|source| gain(source))?;
    (gain(best) > 0).then_some(best)
}

fn covers(
    source: &DaemonId,
    control: &DaemonId,
    told_by: &BTreeMap<DaemonId, BTreeSet<DaemonId>>,
) -> bool {
    source == control
        || told_by
            .get(source)
            .is_some_and(|told| told.contains(control))
}
