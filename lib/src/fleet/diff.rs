//! What differs between two configurations, by JSON path.

use serde_json::Value;

use super::FleetConfig;
use crate::operator_api::PlanChange;

/// The parts of a configuration, in the order in which people should read their changes.
const READING_ORDER: [&str; 4] = ["services", "teams", "drained_vms", "recovery"];

/// Returns every value that differs, services first.
pub fn value_changes(before: &FleetConfig, after: &FleetConfig) -> Vec<PlanChange> {
    let mut changes = Vec::new();
    let (Ok(before), Ok(after)) = (serde_json::to_value(before), serde_json::to_value(after))
    else {
        return changes;
    };
    for part in READING_ORDER {
        let path = format!("$.{part}");
        collect(&path, before.get(part), after.get(part), &mut changes);
    }
    changes
}

/// Returns the paths of the values among `changes`.
pub fn changed_paths(changes: &[PlanChange]) -> Vec<String> {
    let path_of = |change: &PlanChange| match change {
        PlanChange::Value { path, .. } => Some(path.clone()),
        PlanChange::StartGroup { .. }
        | PlanChange::StopGroup { .. }
        | PlanChange::MissingCapacity { .. } => None,
    };
    changes.iter().filter_map(path_of).collect()
}

fn collect(
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
            collect(&member(path, key), old.get(key), new.get(key), changes);
        }
        return;
    }
    changes.push(PlanChange::Value {
        path: path.to_owned(),
        before: before.map(Value::to_string),
        after: after.map(Value::to_string),
    });
}

/// Names may hold dots, which would read as further members of the path.
pub(super) fn member(path: &str, key: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    if key.chars().all(plain) {
        format!("{path}.{key}")
    } else {
        format!("{path}[{key:?}]")
    }
}
