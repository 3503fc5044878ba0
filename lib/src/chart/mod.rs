//! State charts: read from files, checked against closed enums, then interpreted.
//!
//! The files stand in `lib/charts/`. A chart that names what the code does not know,
//! lacks what the code has, or leaves an event without an answer does not load; every
//! daemon calls [`validate_all_charts`] before it starts anything else.

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

/// The file of the chart of circuit breakers.
pub const BREAKER_CHART_JSON: &str = include_str!("../../charts/breaker.json");
/// The file of the chart of groups.
pub const GROUP_CHART_JSON: &str = include_str!("../../charts/group.json");
/// The file of the chart of plans.
pub const PLAN_CHART_JSON: &str = include_str!("../../charts/plan.json");
/// The file of the chart of requests.
pub const REQUEST_CHART_JSON: &str = include_str!("../../charts/request.json");
/// The file of the chart of upstreams.
pub const UPSTREAM_CHART_JSON: &str = include_str!("../../charts/upstream.json");

/// All charts, checked.
#[derive(Clone, Debug)]
pub struct Charts {
    /// Whether requests are sent to an upstream.
    pub breaker: BreakerChart,
    /// The life of a group.
    pub group: GroupChart,
    /// The life of a plan.
    pub plan: PlanChart,
    /// The life of a request.
    pub request: RequestChart,
    /// The life of an upstream.
    pub upstream: UpstreamChart,
}

static CHARTS: LazyLock<Result<Charts, ChartError>> = LazyLock::new(Charts::load);

impl Charts {
    /// Reads all charts from the files that were built in.
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

    /// Returns the charts of this process; they are read once.
    ///
    /// # Errors
    ///
    /// Returns the same fault as [`Self::load`] each time.
    pub fn shared() -> Result<&'static Self, ChartError> {
        CHARTS.as_ref().map_err(Clone::clone)
    }

    /// Returns the page on which all charts are drawn.
    pub fn to_markdown(&self) -> String {
        let sections = [
            self.group.to_markdown(),
            self.upstream.to_markdown(),
            self.plan.to_markdown(),
            self.request.to_markdown(),
            self.breaker.to_markdown(),
        ];
        format!("{PAGE_HEAD}\n{}", sections.join("\n"))
    }
}

const PAGE_HEAD: &str = "# State charts

Drawn from `lib/charts/*.json`, which the code interprets. To draw this page again:
`cargo run -p cicadabend --example draw_charts > docs/charts.md`.
A label reads `event [guard] / actions`.
";

/// Checks every chart; a daemon that gets an error must not start.
///
/// # Errors
///
/// Returns the first fault of the first faulty chart.
pub fn validate_all_charts() -> Result<(), ChartError> {
    Charts::shared().map(|_| ())
}
