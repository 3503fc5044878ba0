//! How far the accepted revision has come, by the failure domains' own reports.

use std::collections::BTreeMap;

use super::spread::{
    ReceivedReport,
    is_fresh, //
};
use crate::{
    peer_api::DomainReport,
    prelude::*, //
};

/// How far the accepted revision has come.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutStatus {
    /// Whether every reachable daemon has applied it, and at least one is reachable.
    pub in_force: bool,
    /// Daemons that have not applied it, with what they have applied.
    pub lagging: BTreeMap<DaemonId, Revision>,
    /// Daemons that have not been heard from lately.
    pub unreachable: Vec<DaemonId>,
}

/// Returns how far `revision` has come among the entry daemons of the settings.
pub fn rollout_status(
    entries: &BTreeMap<DaemonId, FailureDomain>,
    reports: &BTreeMap<FailureDomain, ReceivedReport>,
    revision: Revision,
    now: Timestamp,
) -> RolloutStatus {
    let mut rollout_status = RolloutStatus::default();
    let mut reachable: usize = 0;
    let mut all_applied = true;
    for (daemon, domain) in entries {
        let fresh = reports.get(domain).filter(|heard| is_fresh(heard.at, now));
        let reaching = fresh.filter(|heard| !heard.report.unreachable.contains(daemon));
        let Some(heard) = reaching else {
            rollout_status.unreachable.push(daemon.clone());
            continue;
        };
        reachable += 1;
        all_applied &= heard.report.applied >= revision;
        if let Some(applied) = behind(&heard.report, daemon, revision) {
            rollout_status.lagging.insert(daemon.clone(), applied);
        }
    }
    rollout_status.in_force = all_applied && reachable > 0;
    rollout_status
}

/// Returns what a reachable daemon has applied, if that is too little.
///
/// A leader that is itself behind names nobody, because all its daemons are level
/// with it; then everyone in its domain is behind.
fn behind(report: &DomainReport, daemon: &DaemonId, revision: Revision) -> Option<Revision> {
    let applied = match report.lagging.is_empty() {
        true => Some(report.applied),
        false => report.lagging.get(daemon).copied(),
    };
    applied.filter(|applied| *applied < revision)
}
