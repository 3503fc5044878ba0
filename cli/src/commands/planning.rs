//! Plans that change a part of the accepted configuration.

use cicadabend::{
    fleet::FleetConfig,
    operator_api::Plan, //
};

use super::Context;
use crate::error::CommandError;

/// The number of attempts to plan a change while other plans are being accepted.
const ATTEMPTS: usize = 5;

/// Requests a plan that differs from the accepted configuration by `change` only.
///
/// The configuration is read, changed and sent back as a whole. If another plan is accepted in
/// between, the new plan would silently revert it; so the new plan is dropped and the change is
/// planned again.
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
