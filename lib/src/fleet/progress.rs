//! Progress of the accepted plan.
//!
//! The progress is a pure function of the replicated state and the domains' reports, so that a new
//! leader returns the same as the old one.

use super::{
    FleetState,
    effects::remaining_changes,
    rollout_status::RolloutStatus, //
};
use crate::{
    chart::{
        ChartName,
        Charts,
        GroupState,
        PlanEvent,
        PlanState, //
    },
    operator_api::PlanProgress,
    peer_api::DomainReport,
    prelude::*,
};

/// Returns the progress of the last accepted plan; `None` before the first one.
pub fn progress(
    state: &FleetState,
    rollout_status: &RolloutStatus,
    reports: &[DomainReport],
) -> Option<PlanProgress> {
    let last = state.history().next()?;
    let remaining = remaining_changes(state.config(), reports);
    let all_serve = not_serving(reports).is_empty();
    let is_done = rollout_status.in_force && remaining.is_empty() && all_serve;
    Some(PlanProgress {
        plan: last.plan,
        revision: last.revision,
        state: chart_state(is_done).to_string(),
        in_force: rollout_status.in_force,
        lagging: rollout_status.lagging.clone(),
        unreachable: rollout_status.unreachable.clone(),
        remaining,
        not_serving: not_serving(reports),
    })
}

/// Returns the groups that were formed but do not take requests yet, or no longer.
fn not_serving(reports: &[DomainReport]) -> Vec<GroupId> {
    let groups = reports.iter().flat_map(|report| &report.groups);
    groups
        .filter(|group| group.state != GroupState::Serving.name())
        .map(|group| group.assignment.group.clone())
        .collect()
}

/// Returns the state of an accepted plan in the plan chart: running at once, and done once all
/// daemons have applied it and all groups serve.
fn chart_state(is_done: bool) -> PlanState {
    let Ok(charts) = Charts::shared() else {
        return PlanState::Confirmed;
    };
    let step = |state, event| charts.plan.step(state, event, |_| false).state;
    let running = step(PlanState::Confirmed, PlanEvent::SpreadStarted);
    match is_done {
        true => step(running, PlanEvent::InForce),
        false => running,
    }
}
