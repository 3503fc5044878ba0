//! Which upstream a routed request goes to, and whether it may go to a second one.
//!
//! - [`LoadTracker`]: what this daemon knows of each upstream's load, speed and failures.
//! - [`choose`]: the upstream with the lowest expected time to its first event.
//! - [`DemandCounts`]: how many requests each model has, as whoever places models is told.
//! - [`urgency`]: which of the requests that wait at one upstream goes first.
//! - [`LatencyBaselines`]: how long answers usually take.
//! - [`WindowBudget`]: how many requests may be sent once more.

mod budget;
mod choose;
mod demand;
mod latency_baseline;
mod load_tracker;
mod urgency;

pub use budget::{
    BudgetSettings,
    RoutedRetryReason,
    WindowBudget, //
};
pub use choose::{
    Candidate,
    Chosen,
    RequestNeeds,
    choose, //
};
pub use demand::DemandCounts;
pub use latency_baseline::{
    AnswerClass,
    LatencyBaseline,
    LatencyBaselines, //
};
pub use load_tracker::{
    LoadReport,
    LoadTracker,
    Outcome, //
};
pub use urgency::{
    most_urgent,
    urgency, //
};
