//! A plan, in a form like a diff.

use cicadabend::operator_api::{
    Plan,
    PlanChange,
    PlanImpact, //
};

use super::{
    counted,
    duration,
    list, //
};

/// Returns the plan as text: its changes, then the totals.
pub fn plan(plan: &Plan) -> String {
    let mut text = format!(
        "Plan {} on revision {}, by {}",
        plan.id, plan.base_revision, plan.operator
    );
    if !plan.reason.is_empty() {
        text.push_str(&format!(": {}", plan.reason));
    }
    text.push_str("\n\n");
    if plan.changes.is_empty() {
        text.push_str("  nothing changes\n");
    }
    text.push_str(&changes(&plan.changes));
    text.push_str(&format!("\n{}\n", impact(&plan.impact)));
    text
}

/// Returns one line for each change, indented.
pub fn changes(changes: &[PlanChange]) -> String {
    let lines = changes.iter().map(|change| format!("  {}\n", line(change)));
    lines.collect()
}

fn line(change: &PlanChange) -> String {
    match change {
        PlanChange::Value {
            path,
            before,
            after,
        } => value(path, before.as_deref(), after.as_deref()),
        PlanChange::StartGroup {
            service,
            failure_domain,
            members,
            spans_fabric_domains,
        } => {
            let slow = match spans_fabric_domains {
                true => " (spans fabric domains: slow)",
                false => "",
            };
            let members = list(members);
            format!("+ group for {service} in {failure_domain} on {members}{slow}")
        }
        PlanChange::StopGroup {
            group,
            failure_domain,
            members,
            running_requests,
        } => {
            let members = list(members);
            let requests = counted(u64::from(*running_requests), "running request");
            format!("- group {group} in {failure_domain} on {members} ({requests} finish first)")
        }
        PlanChange::MissingCapacity {
            service,
            failure_domain,
            groups,
            reason,
        } => {
            let groups = counted(u64::from(*groups), "group");
            format!("! {groups} of {service} cannot be built in {failure_domain}: {reason}")
        }
    }
}

fn value(path: &str, before: Option<&str>, after: Option<&str>) -> String {
    match (before, after) {
        (Some(before), Some(after)) => format!("~ {path}: {before} -> {after}"),
        (None, Some(after)) => format!("+ {path}: {after}"),
        (Some(before), None) => format!("- {path}: {before}"),
        (None, None) => format!("~ {path}"),
    }
}

fn impact(impact: &PlanImpact) -> String {
    format!(
        "Impact: {} started, {} stopped, {} and {} touched, about {}.",
        counted(u64::from(impact.groups_started), "group"),
        impact.groups_stopped,
        counted(u64::from(impact.requests_touched), "request"),
        counted(u64::from(impact.accelerators_touched.0), "accelerator"),
        duration(impact.expected_duration_ms),
    )
}
