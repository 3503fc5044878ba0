//! The accepted configuration of the fleet, and how an intent becomes a plan.
//!
//! - `config`: what operators state.
//! - [`diff`]: what differs between two configurations, by JSON path.
//! - [`validate`]: what is wrong with a configuration, all at once.
//! - [`effects`]: what a configuration would do to the groups of the observed fleet.
//! - [`plan`]: what an intent would change.
//! - [`objection`]: whether the fleet still fits what a plan told.
//! - [`progress`]: what the accepted plan still has to bring about.
//! - [`policy_statistics`]: what routing policies did, summed over all entry daemons.
//! - [`delta`]: the changed parts of a configuration, for spreading it.
//! - [`spread`]: which control daemon sends what to which entry daemon.
//! - [`rollout_status`]: how far the accepted revision has come.
//! - [`state`]: the state machine that the control daemons replicate.

mod config;
pub mod delta;
pub mod diff;
pub mod effects;
pub mod objection;
pub mod plan;
pub mod policy_statistics;
pub mod progress;
mod recent_configs;
pub mod rollout_status;
pub mod spread;
pub mod state;
mod stored_plan;
pub mod validate;

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
pub use recent_configs::{
    MAX_RECENT_CONFIGS,
    RecentConfigs,
    UpdateOutcome, //
};
pub use state::{
    FleetAnswer,
    FleetCommand,
    FleetState, //
};
