//! Rollout status of the accepted revision, by the reports of the failure domains.

use std::collections::BTreeMap;

use super::spread::{
    ReceivedDomainReport,
    is_fresh, //
};
use crate::{
    peer_api::DomainReport,
    prelude::*, //
};

/// The rollout status of a revision among the entry daemons.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolloutStatus {
    /// Whether every reachable daemon has applied the revision, and at least one is reachable.
    pub in_force: bool,
    /// Reachable daemons that have not applied the revision, with the one that they have applied.
    pub lagging: BTreeMap<DaemonId, Revision>,
    /// Daemons that their domain leader cannot reach, or whose domain has no recent report.
    pub unreachable: Vec<DaemonId>,
}

/// Returns the rollout status of `revision` among the entry daemons of the settings.
pub fn rollout_status(
    entries: &BTreeMap<DaemonId, FailureDomain>,
    reports: &BTreeMap<FailureDomain, ReceivedDomainReport>,
    revision: Revision,
    now: Timestamp,
) -> RolloutStatus {
    let mut rollout_status = RolloutStatus::default();
    let mut reachable: usize = 0;
    let mut all_applied = true;
    for (daemon, domain) in entries {
        let fresh_report = reports
            .get(domain)
            .filter(|received| is_fresh(received.at, now));
        let reachable_report =
            fresh_report.filter(|received| !received.report.unreachable.contains(daemon));
        let Some(received) = reachable_report else {
            rollout_status.unreachable.push(daemon.clone());
            continue;
        };
        reachable += 1;
        all_applied &= received.report.applied >= revision;
        if let Some(applied) = lagging_revision(&received.report, daemon, revision) {
            rollout_status.lagging.insert(daemon.clone(), applied);
        }
    }
    rollout_status.in_force = all_applied && reachable > 0;
    rollout_status
}

/// Returns the revision that a reachable daemon has applied, if it is below `revision`.
///
/// A domain leader that is itself behind names no daemon in `lagging`, because all its daemons have
/// applied what it has; then every daemon of the domain is behind.
fn lagging_revision(
    report: &DomainReport,
    daemon: &DaemonId,
    revision: Revision,
) -> Option<Revision> {
    let applied = match report.lagging.is_empty() {
        true => Some(report.applied),
        false => report.lagging.get(daemon).copied(),
    };
    applied.filter(|applied| *applied < revision)
}
