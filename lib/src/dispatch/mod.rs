//! Choice of the upstream for a routed request.
//!
//! - [`LoadTracker`]: tracks each upstream's load, speed and failures, as seen by this daemon.
//! - [`choose`]: chooses an upstream for a request, mostly by the expected time to the first event.
//! - [`DemandCounts`]: counts each model's requests, for the placement of models on groups.
//! - [`urgency`]: orders the requests in an upstream's queue.
//! - [`LatencyBaselines`]: learns how long answers usually take.

mod choose;
mod demand;
mod latency_baseline;
mod load_tracker;
mod urgency;

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
