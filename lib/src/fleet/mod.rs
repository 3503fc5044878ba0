//! The accepted configuration of the fleet, and how an operator's intent becomes a plan.
//!
//! - `config`: the configuration that operators write.
//! - [`diff`]: the differences between two configurations, by JSON path.
//! - [`validate`]: all problems of a configuration.
//! - [`effects`]: the changes that a configuration would make to the groups of the observed fleet.
//! - [`plan`]: the changes that an intent would make.
//! - [`objection`]: whether a plan's effects on groups are still the same.
//! - [`progress`]: the changes of the accepted plan that are still to be made.
//! - [`policy_statistics`]: statistics by routing policy, summed over all entry daemons.
//! - [`delta`]: the changed entries of a configuration, for its propagation.
//! - [`spread`]: propagation of configurations from control daemons to entry daemons.
//! - [`rollout_status`]: the daemons that have applied the accepted revision.
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
