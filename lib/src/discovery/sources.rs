//! The choice of the control daemons from which an entry daemon gets upstream reports.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::prelude::*;

/// Returns a small set of control daemons that together receive the reports of upstreams to all
/// `controls`, the one that covers the most first.
///
/// The choice is greedy, so the set may have one more daemon than is needed.
///
/// `controls` are the live control daemons in order of preference. `receives_from` maps each
/// control daemon to those that relay their reports to it. While all control daemons reach each
/// other, the result is the preferred one alone. During a partition that isolates it, a single
/// source would hide the reports to the others: entry daemons would keep sending requests to
/// upstreams that have announced to another control daemon that they leave, until the partition
/// ends.
pub(super) fn choose(
    controls: &[DaemonId],
    receives_from: &BTreeMap<DaemonId, BTreeSet<DaemonId>>,
) -> Vec<DaemonId> {
    let mut uncovered: BTreeSet<&DaemonId> = controls.iter().collect();
    let mut sources = Vec::new();
    while let Some(next) = most_useful(controls, receives_from, &uncovered) {
        uncovered.retain(|control| !covers(next, control, receives_from));
        sources.push(next.clone());
    }
    sources
}

/// Returns the first control daemon among those that cover the most of `uncovered`; `None` if none
/// covers any.
fn most_useful<'a>(
    controls: &'a [DaemonId],
    receives_from: &BTreeMap<DaemonId, BTreeSet<DaemonId>>,
    uncovered: &BTreeSet<&DaemonId>,
) -> Option<&'a DaemonId> {
    let gain = |source: &DaemonId| {
        let covered = uncovered
            .iter()
            .filter(|control| covers(source, control, receives_from));
        covered.count()
    };
    // `max_by_key` returns the last of equal elements, hence `rev`.
    let best = controls.iter().rev().max_by_key(|source| gain(source))?;
    (gain(best) > 0).then_some(best)
}

/// Returns whether `source` receives the reports of upstreams to `control`.
fn covers(
    source: &DaemonId,
    control: &DaemonId,
    receives_from: &BTreeMap<DaemonId, BTreeSet<DaemonId>>,
) -> bool {
    source == control
        || receives_from
            .get(source)
            .is_some_and(|received| received.contains(control))
}
