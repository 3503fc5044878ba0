//! State charts: loaded from files, validated against the code's enums, then interpreted.
//!
//! The files are in `lib/charts/`. Loading fails if a chart has a name that the code does not
//! know, lacks a name that the code has, or has a state that neither handles nor ignores an event.
//! Every daemon calls [`validate_all_charts`] before it starts anything else.

mod breaker;
mod draw;
mod error;
mod file;
mod group;
mod interpreter;
mod load;
mod names;
mod plan;
mod request;
mod upstream;

use std::sync::LazyLock;

pub use breaker::{
    BreakerAction,
    BreakerChart,
    BreakerEvent,
    BreakerGuard,
    BreakerState, //
};
pub use error::{
    ChartError,
    ChartFault,
    UnknownName, //
};
pub use group::{
    GroupAction,
    GroupChart,
    GroupEvent,
    GroupGuard,
    GroupState, //
};
pub use interpreter::{
    Chart,
    Step,
    TransitionView, //
};
pub use names::ChartName;
pub use plan::{
    PlanAction,
    PlanChart,
    PlanEvent,
    PlanGuard,
    PlanState, //
};
pub use request::{
    RequestAction,
    RequestChart,
    RequestEvent,
    RequestGuard,
    RequestState,
    load_request_chart, //
};
pub use upstream::{
    UpstreamAction,
    UpstreamChart,
    UpstreamEvent,
    UpstreamGuard,
    UpstreamState, //
};

/// The content of the file with the chart of circuit breakers.
pub const BREAKER_CHART_JSON: &str = include_str!("../../charts/breaker.json");
/// The content of the file with the chart of groups.
pub const GROUP_CHART_JSON: &str = include_str!("../../charts/group.json");
/// The content of the file with the chart of plans.
pub const PLAN_CHART_JSON: &str = include_str!("../../charts/plan.json");
/// The content of the file with the chart of requests.
pub const REQUEST_CHART_JSON: &str = include_str!("../../charts/request.json");
/// The content of the file with the chart of upstreams.
pub const UPSTREAM_CHART_JSON: &str = include_str!("../../charts/upstream.json");

/// All charts, loaded and validated.
#[derive(Clone, Debug)]
pub struct Charts {
    /// The chart of a circuit breaker.
    pub breaker: BreakerChart,
    /// The chart of a group.
    pub group: GroupChart,
    /// The chart of a plan.
    pub plan: PlanChart,
    /// The chart of a caller's request.
    pub request: RequestChart,
    /// The chart of an upstream.
    pub upstream: UpstreamChart,
}

static CHARTS: LazyLock<Result<Charts, ChartError>> = LazyLock::new(Charts::load);

impl Charts {
    /// Loads all charts from the files that are compiled in.
    ///
    /// # Errors
    ///
    /// Returns the first fault of the first faulty chart.
    pub fn load() -> Result<Self, ChartError> {
        Ok(Self {
            breaker: Chart::load("breaker", BREAKER_CHART_JSON)?,
            group: Chart::load("group", GROUP_CHART_JSON)?,
            plan: Chart::load("plan", PLAN_CHART_JSON)?,
            request: load_request_chart(REQUEST_CHART_JSON)?,
            upstream: Chart::load("upstream", UPSTREAM_CHART_JSON)?,
        })
    }

    /// Returns the charts of this process, which are loaded once.
    ///
    /// # Errors
    ///
    /// Returns the same fault as [`Self::load`] at each call.
    pub fn shared() -> Result<&'static Self, ChartError> {
        CHARTS.as_ref().map_err(Clone::clone)
    }

    /// Returns the Markdown page with all charts.
    pub fn to_markdown(&self) -> String {
        let sections = [
            self.group.to_markdown(),
            self.upstream.to_markdown(),
            self.plan.to_markdown(),
            self.request.to_markdown(),
            self.breaker.to_markdown(),
        ];
        format!("{PAGE_INTRODUCTION}\n{}", sections.join("\n"))
    }
}

const PAGE_INTRODUCTION: &str = "# State charts

Drawn from `lib/charts/*.json`, which the code interprets. To draw this page again:
`cargo run -p cicadabend --example draw_charts > docs/charts.md`.
A label reads `event [guard] / actions`.
";

/// Loads and validates all charts; a daemon that gets an error must not start.
///
/// # Errors
///
/// Returns the first fault of the first faulty chart.
pub fn validate_all_charts() -> Result<(), ChartError> {
    Charts::shared().map(|_| ())
}
