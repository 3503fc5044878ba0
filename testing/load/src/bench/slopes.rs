//! What one entry daemon uses for control, as a function of the fleet.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

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
    process_stats::{
        self,
        Usage, //
    },
    progress,
    report::{
        Report,
        Table, //
    },
};

/// How long one point is watched.
const WINDOW: Duration = Duration::from_secs(3);

/// How long what the start has stirred up takes to settle.
const SETTLING: Duration = Duration::from_millis(500);

/// What varies.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Engines of the daemon's failure domain, in groups of two.
    Engines,
    /// Groups of the failure domain, with as many engines at each point.
    Groups,
    /// Entry daemons of the failure domain.
    Daemons,
    /// Changes of the configuration a second.
    Changes,
    /// Failure domains, each with as many daemons and engines.
    Domains,
}

impl Axis {
    const ALL: [Axis; 5] = [
        Axis::Engines,
        Axis::Groups,
        Axis::Daemons,
        Axis::Changes,
        Axis::Domains,
    ];

    fn name(self) -> &'static str {
        match self {
            Axis::Engines => "engines of the failure domain",
            Axis::Groups => "groups of the failure domain",
            Axis::Daemons => "entry daemons of the failure domain",
            Axis::Changes => "changes a second",
            Axis::Domains => "failure domains",
        }
    }

    /// Returns the values measured at.
    fn values(self) -> [u32; 4] {
        match self {
            Axis::Engines => [8, 24, 48, 96],
            Axis::Groups => [2, 8, 24, 48],
            Axis::Daemons => [3, 6, 12, 24],
            Axis::Changes => [0, 1, 2, 4],
            Axis::Domains => [1, 2, 3, 4],
        }
    }

    fn shape(self, value: u32) -> Shape {
        let base = Shape {
            domains: 1,
            controls: 1,
            entries_per_domain: 3,
            engines_per_domain: 24,
            vms_per_group: 2,
            plain_per_domain: 1,
            ..Shape::default()
        };
        match self {
            Axis::Engines => Shape {
                engines_per_domain: value as usize,
                ..base
            },
            // 48 engines at each point, in fewer and larger or more and smaller groups.
            Axis::Groups => Shape {
                engines_per_domain: 48,
                vms_per_group: 48 / value.max(1),
                ..base
            },
            Axis::Daemons => Shape {
                entries_per_domain: value as usize,
                ..base
            },
            Axis::Changes => base,
            Axis::Domains => Shape {
                domains: value as usize,
                ..base
            },
        }
    }
}

/// One entry daemon at one point.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Point {
    /// What varies.
    pub axis: Axis,
    /// Its value.
    pub value: u32,
    /// The daemon that used the most processor time, which is the domain leader as a rule.
    pub busiest: Usage,
    /// The median of the domain's entry daemons, by processor time.
    pub median: Usage,
}

/// Measures the part.
///
/// # Errors
///
/// Returns an error if a cluster cannot be measured.
pub fn measure() -> Result<Report, BenchError> {
    Ok(report(&measure_points()?))
}

/// Measures every point.
///
/// # Errors
///
/// Returns an error if a cluster cannot be measured.
pub fn measure_points() -> Result<Vec<Point>, BenchError> {
    let mut points = Vec::new();
    for axis in Axis::ALL {
        points.extend(measure_axis(axis)?);
    }
    Ok(points)
}

fn measure_axis(axis: Axis) -> Result<Vec<Point>, BenchError> {
    let mut points = Vec::new();
    let mut kept = None;
    for value in axis.values() {
        progress(&format!("slopes: {value} {}", axis.name()));
        // Changes are measured on one cluster, everything else needs a new one.
        // It is killed rather than stopped: all have to fit into two minutes.
        let reused = kept.take().filter(|_| axis == Axis::Changes);
        let mut cluster = match reused {
            Some(cluster) => cluster,
            None => start(axis, value)?,
        };
        points.push(measure_at(axis, value, &mut cluster)?);
        kept = Some(cluster);
    }
    Ok(points)
}

fn start(axis: Axis, value: u32) -> Result<Cluster, BenchError> {
    let cluster = Cluster::start(axis.shape(value), RoutingPolicy::LeastOutstanding)?;
    thread::sleep(SETTLING);
    Ok(cluster)
}

fn measure_at(axis: Axis, value: u32, cluster: &mut Cluster) -> Result<Point, BenchError> {
    let names = cluster.entry_names();
    let processes: Vec<_> = names
        .iter()
        .filter_map(|name| cluster.process_id(name))
        .collect();
    let before: Vec<_> = processes
        .iter()
        .map(|id| process_stats::look(*id))
        .collect();
    let changes = if axis == Axis::Changes { value } else { 0 };
    spend_window(cluster, changes)?;
    let mut usages: Vec<_> = processes
        .iter()
        .zip(&before)
        .zip(&names)
        .map(|((id, before), name)| {
            let after = process_stats::look(*id);
            process_stats::usage(before, &after, &cluster.listeners(name))
        })
        .collect();
    usages.sort_by(|a, b| a.core_percent.total_cmp(&b.core_percent));
    Ok(Point {
        axis,
        value,
        busiest: usages.last().copied().unwrap_or_default(),
        median: usages.get(usages.len() / 2).copied().unwrap_or_default(),
    })
}

/// Lets the window pass, with this many changes of the configuration a second.
fn spend_window(cluster: &mut Cluster, changes: u32) -> Result<(), BenchError> {
    let start = Instant::now();
    if changes == 0 {
        thread::sleep(WINDOW);
        return Ok(());
    }
    let mut config = cluster.config(RoutingPolicy::LeastOutstanding)?;
    let total = u32::try_from(WINDOW.as_secs()).unwrap_or(1) * changes;
    for change in 0..total {
        let due = start + Duration::from_secs(1) * change / changes;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        for team in config.teams.values_mut() {
            team.requests_per_second = RatePerSecond(1_000 + change);
        }
        cluster.put_in_force(config.clone())?;
    }
    thread::sleep((start + WINDOW).saturating_duration_since(Instant::now()));
    Ok(())
}

fn report(points: &[Point]) -> Report {
    let mut tables = Vec::new();
    let mut plots = Vec::new();
    for axis in Axis::ALL {
        let of_axis: Vec<_> = points.iter().filter(|point| point.axis == axis).collect();
        let mut table = Table::new(
            &format!("By {}", axis.name()),
            &[
                axis.name(),
                "core % (busiest)",
                "core % (median)",
                "MiB (busiest)",
                "peers B/s (busiest)",
                "peers B/s (median)",
                "announcements B/s (busiest)",
                "others B/s (busiest)",
            ],
        );
        for point in &of_axis {
            table.rows.push(row(point));
        }
        let row = |name: &str, figure: fn(&Usage) -> f64| {
            let fit = fit(&of_axis, figure);
            vec![
                name.to_owned(),
                format!("{:.4}", fit.1),
                format!("{:.3}", fit.0),
            ]
        };
        let mut fits = Table::new(
            &format!("Straight lines through them, by {}", axis.name()),
            &["figure (busiest)", "each one adds", "at zero"],
        );
        fits.rows.push(row("core %", |usage| usage.core_percent));
        fits.rows.push(row("MiB", |usage| usage.resident_mib));
        fits.rows.push(row("peers B/s", |usage| usage.peers.both()));
        fits.rows
            .push(row("announcements B/s", |usage| usage.announcements.both()));
        tables.push(table);
        tables.push(fits);
        plots.push(plot(axis, &of_axis));
    }
    Report {
        part: "slopes",
        about: format!(
            "One failure domain (but for the last axis), one control daemon, default timing, \
             no callers; each point but those by changes is a cluster of its own, watched for \
             {} s. Processor time is the sum over threads in \
             schedstat; bytes are sent and received ones together, of TCP connections that \
             `ss` shows: to other daemons, from announcing upstreams, others (commands, the \
             bench itself). The busiest daemon is the domain leader as a rule.",
            WINDOW.as_secs()
        ),
        json: serde_json::json!({ "points": points }),
        tables,
        plots,
        violations: Vec::new(),
    }
}

fn row(point: &Point) -> Vec<String> {
    vec![
        point.value.to_string(),
        format!("{:.2}", point.busiest.core_percent),
        format!("{:.2}", point.median.core_percent),
        format!("{:.1}", point.busiest.resident_mib),
        format!("{:.0}", point.busiest.peers.both()),
        format!("{:.0}", point.median.peers.both()),
        format!("{:.0}", point.busiest.announcements.both()),
        format!("{:.0}", point.busiest.others.both()),
    ]
}

/// Returns the least-squares line of the busiest daemon: its value at zero and its slope.
fn fit(points: &[&Point], figure: fn(&Usage) -> f64) -> (f64, f64) {
    line_through(points, |point| figure(&point.busiest))
}

/// Returns the least-squares line: its value at zero and its slope.
pub fn line_through(points: &[&Point], figure: impl Fn(&Point) -> f64) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|p| f64::from(p.value)).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| figure(p)).sum::<f64>() / count;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for point in points {
        let x = f64::from(point.value) - mean_x;
        covariance += x * (figure(point) - mean_y);
        variance += x * x;
    }
    let slope = covariance / f64::max(variance, 1e-9);
    (mean_y - slope * mean_x, slope)
}

fn plot(axis: Axis, points: &[&Point]) -> Plot {
    let line = |name: &str, figure: fn(&Point) -> f64| Line {
        name: name.to_owned(),
        points: points
            .iter()
            .map(|point| (f64::from(point.value), figure(point)))
            .collect(),
    };
    Plot {
        title: format!("Processor time of one entry daemon by {}", axis.name()),
        x: axis.name().to_owned(),
        y: "percent of one core".to_owned(),
        lines: vec![
            line("busiest", |point| point.busiest.core_percent),
            line("median", |point| point.median.core_percent),
        ],
    }
}
