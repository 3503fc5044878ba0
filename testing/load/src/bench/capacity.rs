//! The size to design for, worked out from measured slopes.
//!
//! The slopes come from `slopes.json` in the output folder if an earlier run left
//! it there, and are measured otherwise. The tables also replace those of the page
//! `docs/CAPACITY.md`, between its two marks, where that page is found.

use std::{
    fs,
    path::Path, //
};

use serde_json::json;

use super::{
    BenchError,
    process_stats::Usage,
    report::{
        self,
        Report,
        Table, //
    },
    slopes::{
        self,
        Axis,
        Point,
        line_through, //
    },
};

const PAGE: &str = "docs/CAPACITY.md";
const BEGIN_MARK: &str = "<!-- capacity tables begin -->";
const END_MARK: &str = "<!-- capacity tables end -->";

/// What the users plan for in two years, over the whole fleet.
mod target {
    pub const DAEMONS: f64 = 520.0;
    pub const ENGINES: f64 = 6_400.0;
    pub const VMS_PER_GROUP: f64 = 8.0;
    pub const FAILURE_DOMAINS: f64 = 19.0;
    pub const CHANGES_PER_S: f64 = 30_000.0 / 86_400.0;
    /// The limits for control in one daemon.
    pub const CORE_PERCENT: f64 = 2.2;
    pub const RESIDENT_MIB: f64 = 256.0;
    pub const BYTES_PER_S: f64 = 5_000.0;
}

/// The shape around which [`slopes`] varies one thing at a time.
mod base {
    pub const DAEMONS: f64 = 3.0;
    pub const ENGINES: f64 = 24.0;
    pub const VMS_PER_GROUP: f64 = 2.0;
    pub const FAILURE_DOMAINS: f64 = 1.0;
}

/// Which daemon of a failure domain is meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    Leader,
    Other,
}

impl Role {
    const ALL: [Role; 2] = [Role::Leader, Role::Other];

    fn name(self) -> &'static str {
        match self {
            Role::Leader => "entry daemon that leads its failure domain",
            Role::Other => "any other entry daemon (median)",
        }
    }

    fn usage(self, point: &Point) -> &Usage {
        match self {
            Role::Leader => &point.busiest,
            Role::Other => &point.median,
        }
    }
}

/// What is worked out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Figure {
    CorePercent,
    ResidentMib,
    PeerBytes,
    AnnouncementBytes,
}

impl Figure {
    const ALL: [Figure; 4] = [
        Figure::CorePercent,
        Figure::ResidentMib,
        Figure::PeerBytes,
        Figure::AnnouncementBytes,
    ];

    fn name(self) -> &'static str {
        match self {
            Figure::CorePercent => "processor time, % of a core",
            Figure::ResidentMib => "memory, MiB",
            Figure::PeerBytes => "to and from other daemons, B/s",
            Figure::AnnouncementBytes => "announcements heard, B/s",
        }
    }

    fn limit(self) -> f64 {
        match self {
            Figure::CorePercent => target::CORE_PERCENT,
            Figure::ResidentMib => target::RESIDENT_MIB,
            Figure::PeerBytes | Figure::AnnouncementBytes => target::BYTES_PER_S,
        }
    }

    fn of(self, usage: &Usage) -> f64 {
        match self {
            Figure::CorePercent => usage.core_percent,
            Figure::ResidentMib => usage.resident_mib,
            Figure::PeerBytes => usage.peers.both(),
            Figure::AnnouncementBytes => usage.announcements.both(),
        }
    }
}

/// How one figure of one role depends on each axis, and its value at the base.
struct Lines {
    at_base: f64,
    engine: f64,
    group: f64,
    daemon: f64,
    change: f64,
    domain: f64,
}

impl Lines {
    fn through(points: &[Point], role: Role, figure: Figure) -> Self {
        let fit = |axis: Axis| {
            let of_axis: Vec<_> = points.iter().filter(|point| point.axis == axis).collect();
            line_through(&of_axis, |point| figure.of(role.usage(point)))
        };
        // More of anything costs no less: a falling line is the machine's noise, and
        // extrapolated 19 times it would hide a limit that is missed.
        let slope = |axis: Axis| fit(axis).1.max(0.0);
        let (at_zero, engine) = fit(Axis::Engines);
        Self {
            at_base: at_zero + engine * base::ENGINES,
            engine: engine.max(0.0),
            group: slope(Axis::Groups),
            daemon: slope(Axis::Daemons),
            change: slope(Axis::Changes),
            domain: slope(Axis::Domains),
        }
    }

    /// Returns the value at the size to design for, one term for each axis.
    fn at_target(&self) -> Terms {
        let engines = target::ENGINES / target::FAILURE_DOMAINS;
        let groups = engines / target::VMS_PER_GROUP;
        let groups_on_line = engines / base::VMS_PER_GROUP;
        let daemons = target::DAEMONS / target::FAILURE_DOMAINS;
        // What another failure domain reports grows with its groups, not with its name.
        let report_scale = groups / (base::ENGINES / base::VMS_PER_GROUP);
        let other_domains = target::FAILURE_DOMAINS - base::FAILURE_DOMAINS;
        Terms {
            base: self.at_base,
            // A point of the engines' line has a group for each two engines, the target one
            // for each eight; the groups' line takes the difference off again.
            engines: self.engine * (engines - base::ENGINES)
                + self.group * (groups - groups_on_line),
            daemons: self.daemon * (daemons - base::DAEMONS),
            changes: self.change * target::CHANGES_PER_S,
            domains: self.domain * other_domains * report_scale,
        }
    }
}

/// The parts of a value at the size to design for.
struct Terms {
    base: f64,
    engines: f64,
    daemons: f64,
    changes: f64,
    domains: f64,
}

impl Terms {
    fn total(&self) -> f64 {
        self.base + self.engines + self.daemons + self.changes + self.domains
    }
}

/// Works the page's tables out.
///
/// # Errors
///
/// Returns an error if the slopes cannot be read or measured, or the page not be written.
pub fn measure(out: &Path) -> Result<Report, BenchError> {
    let points = points(out)?;
    let mut tables = vec![summary(&points)];
    tables.extend(Role::ALL.map(|role| details(&points, role)));
    write_page(&tables)?;
    Ok(Report {
        part: "capacity",
        about: "The size to design for, worked out from straight lines through the measured \
                slopes; docs/CAPACITY.md says how far that carries."
            .to_owned(),
        json: json!({ "points": points.len() }),
        tables,
        plots: Vec::new(),
        violations: Vec::new(),
    })
}

fn points(out: &Path) -> Result<Vec<Point>, BenchError> {
    let Ok(text) = fs::read_to_string(out.join("slopes.json")) else {
        return slopes::measure_points();
    };
    let mut json: serde_json::Value = serde_json::from_str(&text)?;
    Ok(serde_json::from_value(json["points"].take())?)
}

fn summary(points: &[Point]) -> Table {
    let mut table = Table::new(
        "Each limit at the size to design for",
        &[
            "role",
            "figure",
            "worked out",
            "limit",
            "share of the limit",
            "verdict",
        ],
    );
    for role in Role::ALL {
        for figure in Figure::ALL {
            let total = Lines::through(points, role, figure).at_target().total();
            let share = total / figure.limit();
            let verdict = if share <= 1.0 { "met" } else { "MISSED" };
            table.rows.push(vec![
                role.name().to_owned(),
                figure.name().to_owned(),
                format!("{total:.1}"),
                format!("{:.1}", figure.limit()),
                format!("{:.0} %", share * 100.0),
                verdict.to_owned(),
            ]);
        }
    }
    table
}

fn details(points: &[Point], role: Role) -> Table {
    let mut table = Table::new(
        &format!("What it is made of: {}", role.name()),
        &[
            "figure",
            "measured base",
            "engines and groups",
            "daemons of the domain",
            "changes",
            "other domains",
            "each engine adds",
            "each daemon adds",
            "each domain adds",
        ],
    );
    for figure in Figure::ALL {
        let lines = Lines::through(points, role, figure);
        let terms = lines.at_target();
        let numbers = [
            terms.base,
            terms.engines,
            terms.daemons,
            terms.changes,
            terms.domains,
            lines.engine,
            lines.daemon,
            lines.domain,
        ];
        let mut row = vec![figure.name().to_owned()];
        row.extend(numbers.map(|number| format!("{number:.2}")));
        table.rows.push(row);
    }
    table
}

/// Puts the tables between the marks of the page, if the page is there.
fn write_page(tables: &[Table]) -> Result<(), BenchError> {
    let Ok(page) = fs::read_to_string(PAGE) else {
        return Ok(());
    };
    let unmarked = || BenchError::Unusable(format!("{PAGE} lacks the marks of its tables"));
    let (before, rest) = page.split_once(BEGIN_MARK).ok_or_else(unmarked)?;
    let (_, after) = rest.split_once(END_MARK).ok_or_else(unmarked)?;
    let tables: String = tables.iter().map(report::markdown).collect();
    fs::write(
        PAGE,
        format!("{before}{BEGIN_MARK}\n{tables}\n{END_MARK}{after}"),
    )?;
    Ok(())
}
