//! Plans that change a part of what is in force.

use cicadabend::{
    fleet::FleetConfig,
    operator_api::Plan, //
};

use super::Context;
use crate::error::CommandError;

/// How often a change is planned anew because another plan was accepted meanwhile.
const ATTEMPTS: usize = 5;

/// Has a plan made that differs from the accepted configuration by `change` only.
///
/// The configuration is read first and sent back as a whole. Were another plan accepted
/// in between, the one made here would silently lead back to what was before that; so
/// it is dropped and made again.
pub(super) async fn plan_change(
    context: &Context<'_, '_>,
    reason: &str,
    change: impl Fn(&mut FleetConfig) -> Result<(), CommandError>,
) -> Result<Plan, CommandError> {
    let mut base_revision = None;
    for _ in 0..ATTEMPTS {
        let accepted = context.client.config().await?;
        let mut config = accepted.config;
        change(&mut config)?;
        let plan = context.client.plan(config, reason).await?;
        if plan.base_revision == accepted.revision {
            return Ok(plan);
        }
        base_revision = Some((accepted.revision, plan.base_revision));
    }
    let (expected, found) = base_revision.unwrap_or_default();
    Err(CommandError::BaseChanged { expected, found })
}
