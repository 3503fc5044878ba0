//! Check whether a plan's effects on groups are still the same.

use std::collections::BTreeSet;

use super::{
    FleetConfig,
    effects::group_effects, //
};
use crate::{
    operator_api::{
        Plan,
        PlanChange, //
    },
    peer_api::DomainReport,
    prelude::*,
};

/// Returns the effects that the plan would have on groups now, if they differ from those in the
/// plan.
///
/// Failure domains without a current report are left out: a change that no report shows must not
/// block a decision that a cut-off domain may need. Running requests come and go, so their number
/// is ignored.
pub fn objection(
    plan: &Plan,
    base: &FleetConfig,
    reports: &[DomainReport],
) -> Option<Vec<PlanChange>> {
    let reported: BTreeSet<&FailureDomain> = reports
        .iter()
        .map(|report| &report.failure_domain)
        .collect();
    let observed = |change: &&PlanChange| {
        failure_domain_of(change).is_some_and(|domain| reported.contains(domain))
    };
    let now = group_effects(base, &plan.config, reports).changes;
    let now: Vec<&PlanChange> = now.iter().filter(observed).collect();
    let planned: Vec<&PlanChange> = plan.changes.iter().filter(observed).collect();
    match comparable(&planned) == comparable(&now) {
        true => None,
        false => Some(now.into_iter().cloned().collect()),
    }
}

fn failure_domain_of(change: &PlanChange) -> Option<&FailureDomain> {
    match change {
        PlanChange::Value { .. } => None,
        PlanChange::StartGroup { failure_domain, .. }
        | PlanChange::StopGroup { failure_domain, .. }
        | PlanChange::MissingCapacity { failure_domain, .. } => Some(failure_domain),
    }
}

fn comparable(changes: &[&PlanChange]) -> Vec<PlanChange> {
    changes.iter().map(|change| without_load(change)).collect()
}

/// Returns a change without its number of running requests and its reason, which may vary.
fn without_load(change: &PlanChange) -> PlanChange {
    let mut change = change.clone();
    match &mut change {
        PlanChange::StopGroup {
            running_requests, ..
        } => *running_requests = 0,
        PlanChange::MissingCapacity { reason, .. } => reason.clear(),
        PlanChange::Value { .. } | PlanChange::StartGroup { .. } => {}
    }
    change
}
