//! The accepted revisions, as a table.

use std::time::Duration;

use cicadabend::operator_api::HistoryEntry;
use cicadabend_daemon::logs::utc_text;

use super::{
    list,
    table, //
};

/// Returns the history as a table, newest first.
pub fn history(entries: &[HistoryEntry]) -> String {
    if entries.is_empty() {
        return "no revision has been accepted yet\n".to_owned();
    }
    let heading = [
        "REVISION", "ACCEPTED", "PLAN", "OPERATOR", "REASON", "CHANGED",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    rows.extend(entries.iter().map(row));
    table(&rows)
}

fn row(entry: &HistoryEntry) -> Vec<String> {
    vec![
        entry.revision.to_string(),
        utc_text(Duration::from_secs(entry.accepted_at_unix_s)),
        entry.plan.to_string(),
        entry.operator.clone(),
        entry.reason.clone(),
        list(&entry.changed_paths),
    ]
}
