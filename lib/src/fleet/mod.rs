//! The accepted configuration of the fleet, and how an intent becomes a plan.
//!
//! - `config`: what operators state.
//! - [`diff`]: what differs between two configurations, by JSON path.
//! - [`plan`]: what an intent would change.
//! - [`state`]: the state machine that the control daemons replicate.

mod config;
pub mod diff;
pub mod plan;
pub mod state;

pub use config::{
    FleetConfig,
    ModelService,
    PlainService,
    RecoveryPolicy,
    RecoverySettings,
    RoutingArm,
    RoutingPolicy,
    Service,
    Team,
    Voter, //
};
pub use state::{
    FleetAnswer,
    FleetCommand,
    FleetState, //
};
