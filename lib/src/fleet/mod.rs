//! The accepted configuration of the fleet, and how an intent becomes a plan.

mod config;

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
