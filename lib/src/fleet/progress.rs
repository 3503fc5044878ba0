//! What the accepted plan still has to bring about.
//!
//! A pure function of the log's state and the domains' reports, so that a new
//! leader goes on telling what the old one told.

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

/// Returns how far the last accepted plan has come; `None` before the first one.
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

/// Groups that were formed but do not take requests yet, or no longer.
fn not_serving(reports: &[DomainReport]) -> Vec<GroupId> {
    let groups = reports.iter().flat_map(|report| &report.groups);
    groups
        .filter(|group| group.state != GroupState::Serving.name())
        .map(|group| group.assignment.group.clone())
        .collect()
}

/// An accepted plan is spread at once, and done when everyone and every group is.
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
