//! Statistics of routing policies, side by side.

use cicadabend::operator_api::PolicyStatistics;

use super::table;
use crate::commands::policy_name;

/// Returns a table with one column for each policy.
pub fn policies(statistics: &[PolicyStatistics]) -> String {
    if statistics.is_empty() {
        return "no statistics yet\n".to_owned();
    }
    type Cell = fn(&PolicyStatistics) -> String;
    let rows: [(&str, Cell); 9] = [
        ("", |f| policy_name(f.policy).to_owned()),
        ("service", |f| f.service.to_string()),
        ("requests", |f| f.requests.to_string()),
        ("failures", |f| f.failures.to_string()),
        ("first token p50", |f| {
            format!("{:.1} ms", f.first_token_p50_ms)
        }),
        ("first token p95", |f| {
            format!("{:.1} ms", f.first_token_p95_ms)
        }),
        ("first token mean", |f| {
            let (mean, ci) = (f.first_token_mean_ms, f.first_token_mean_ci_ms);
            format!("{mean:.1} ± {ci:.1} ms")
        }),
        ("between tokens p95", |f| {
            format!("{:.1} ms", f.between_tokens_p95_ms)
        }),
        ("prefix cached", |f| format!("{:.1} %", f.cache_hit_percent)),
    ];
    let row = |(name, cell): &(&str, Cell)| {
        let mut row = vec![(*name).to_owned()];
        row.extend(statistics.iter().map(cell));
        row
    };
    table(&rows.iter().map(row).collect::<Vec<_>>())
}
