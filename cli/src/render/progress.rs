//! The progress of a plan, as one line.

use cicadabend::operator_api::PlanProgress;

use super::{
    counted,
    force_text,
    lagging_text,
    list, //
};

/// Returns one line on the progress of the last accepted plan.
pub fn progress_line(progress: Option<&PlanProgress>) -> String {
    let Some(progress) = progress else {
        return "no plan has been accepted yet".to_owned();
    };
    let mut line = format!(
        "revision {} (plan {}) {}: {}",
        progress.revision,
        progress.plan,
        progress.state,
        force_text(progress.in_force, &progress.unreachable),
    );
    if !progress.lagging.is_empty() {
        line.push_str(&format!("; behind: {}", lagging_text(&progress.lagging)));
    }
    if !progress.remaining.is_empty() {
        let changes = counted(progress.remaining.len() as u64, "change");
        line.push_str(&format!("; {changes} to groups remaining"));
    }
    if !progress.not_serving.is_empty() {
        let groups = list(&progress.not_serving);
        line.push_str(&format!("; not serving: {groups}"));
    }
    line
}
