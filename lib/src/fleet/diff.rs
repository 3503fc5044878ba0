//! Differences between two configurations, by JSON path.

use serde_json::Value;

use super::FleetConfig;
use crate::operator_api::PlanChange;

/// The sections of a configuration, in the order in which their changes are listed.
const READING_ORDER: [&str; 4] = ["services", "teams", "drained_vms", "recovery"];

/// Returns all values that differ, services first.
pub fn value_changes(before: &FleetConfig, after: &FleetConfig) -> Vec<PlanChange> {
    let mut changes = Vec::new();
    let (Ok(before), Ok(after)) = (serde_json::to_value(before), serde_json::to_value(after))
    else {
        return changes;
    };
    for part in READING_ORDER {
        let path = format!("$.{part}");
        add_value_changes(&path, before.get(part), after.get(part), &mut changes);
    }
    changes
}

/// Returns the JSON paths of the changed values among `changes`.
pub fn changed_paths(changes: &[PlanChange]) -> Vec<String> {
    let path_of = |change: &PlanChange| match change {
        PlanChange::Value { path, .. } => Some(path.clone()),
        PlanChange::StartGroup { .. }
        | PlanChange::StopGroup { .. }
        | PlanChange::MissingCapacity { .. } => None,
    };
    changes.iter().filter_map(path_of).collect()
}

/// Adds the values that differ below a path.
fn add_value_changes(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<PlanChange>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        let added = new.keys().filter(|key| !old.contains_key(*key));
        for key in old.keys().chain(added) {
            add_value_changes(&member_path(path, key), old.get(key), new.get(key), changes);
        }
        return;
    }
    changes.push(PlanChange::Value {
        path: path.to_owned(),
        before: before.map(Value::to_string),
        after: after.map(Value::to_string),
    });
}

/// Returns the path of a member; names with dots or other special characters go into brackets,
/// since a dot would read as a further member.
pub(super) fn member_path(path: &str, key: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    if key.chars().all(plain) {
        format!("{path}.{key}")
    } else {
        format!("{path}[{key:?}]")
    }
}
