//! How soon a confirmed change is in force everywhere, by the number of daemons.

use std::time::Instant;

use cicadabend::{
    fleet::RoutingPolicy,
    prelude::*, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    BenchError,
    cluster::{
        Cluster,
        Shape, //
    },
    plot::{
        Line,
        Plot, //
    },
    progress, quantile,
    report::{
        Report,
        Table, //
    },
    sorted_ms,
};

/// Entry daemons in each failure domain.
const ENTRIES_PER_DOMAIN: [usize; 4] = [1, 3, 8, 16];
/// Changes at each size.
const CHANGES: u32 = 12;

/// The changes at one size.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Point {
    /// Entry daemons in all.
    pub entries: usize,
    /// From the accepted confirmation to "in force", sorted.
    pub in_force_ms: Vec<f64>,
}

/// Measures the part.
///
/// # Errors
///
/// Returns an error if a cluster cannot be measured.
pub fn measure() -> Result<Report, BenchError> {
    let mut points = Vec::new();
    for entries_per_domain in ENTRIES_PER_DOMAIN {
        progress(&format!(
            "spread: {entries_per_domain} entry daemons a domain"
        ));
        points.push(measure_at(entries_per_domain)?);
    }
    Ok(report(&points))
}

fn measure_at(entries_per_domain: usize) -> Result<Point, BenchError> {
    let shape = Shape {
        entries_per_domain,
        engines_per_domain: 2,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape, RoutingPolicy::LeastOutstanding)?;
    let mut config = cluster.config(RoutingPolicy::LeastOutstanding)?;
    let mut times = Vec::new();
    for change in 0..CHANGES {
        for team in config.teams.values_mut() {
            team.requests_per_second = RatePerSecond(1_000 + change);
        }
        let revision = cluster.put_in_force(config.clone())?;
        let accepted = Instant::now();
        cluster.wait_until_in_force(revision);
        times.push(accepted.elapsed());
    }
    let entries = cluster.entries().len();
    cluster.stop();
    Ok(Point {
        entries,
        in_force_ms: sorted_ms(times),
    })
}

fn report(points: &[Point]) -> Report {
    let mut table = Table::new(
        "From the accepted confirmation to \"in force\"",
        &["entry daemons", "changes", "p50 ms", "max ms"],
    );
    let line = |share: f64, name: &str| Line {
        name: name.to_owned(),
        points: points
            .iter()
            .map(|point| (point.entries as f64, quantile(&point.in_force_ms, share)))
            .collect(),
    };
    let lines = vec![line(0.5, "p50"), line(1.0, "max")];
    for point in points {
        table.rows.push(vec![
            point.entries.to_string(),
            point.in_force_ms.len().to_string(),
            format!("{:.0}", quantile(&point.in_force_ms, 0.5)),
            format!("{:.0}", quantile(&point.in_force_ms, 1.0)),
        ]);
    }
    Report {
        part: "spread",
        about: format!(
            "Control daemons: {}; entry daemons in three failure domains, with the default \
             timing. Each change sets every team's rate. The status is asked for every 20 ms, \
             which bounds the resolution.",
            Shape::default().controls
        ),
        json: serde_json::json!({ "points": points }),
        tables: vec![table],
        plots: vec![Plot {
            title: "Spread of a change".to_owned(),
            x: "entry daemons".to_owned(),
            y: "ms to in force".to_owned(),
            lines,
        }],
        violations: Vec::new(),
    }
}
