//! What an intent would change: a pure function of revision, intent and observed fleet.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    FleetConfig,
    diff::value_changes,
    effects::group_effects, //
};
use crate::{
    operator_api::{
        Plan,
        PlanChange,
        PlanImpact,
        PlanRequest, //
    },
    peer_api::DomainReport,
    prelude::*,
};

/// A plan before the log has given it a number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlanDraft {
    /// The revision it starts from.
    pub base_revision: Revision,
    /// The whole configuration it leads to.
    pub config: FleetConfig,
    /// Who asked.
    pub operator: String,
    /// Why.
    pub reason: String,
    /// What changes.
    pub changes: Vec<PlanChange>,
    /// Totals over all changes.
    pub impact: PlanImpact,
}

impl PlanDraft {
    /// Computes what `request` would change about the accepted configuration and the fleet.
    ///
    /// The outcome depends on the arguments alone, so that two leaders that see the
    /// same fleet make the same plan.
    pub fn new(
        base_revision: Revision,
        base: &FleetConfig,
        reports: &[DomainReport],
        request: PlanRequest,
    ) -> Self {
        let effects = group_effects(base, &request.config, reports);
        let mut changes = value_changes(base, &request.config);
        changes.extend(effects.changes);
        Self {
            base_revision,
            changes,
            impact: effects.impact,
            config: request.config,
            operator: request.operator,
            reason: request.reason,
        }
    }

    /// Returns the plan under its number.
    pub fn numbered(self, id: PlanId) -> Plan {
        Plan {
            id,
            base_revision: self.base_revision,
            config: self.config,
            operator: self.operator,
            reason: self.reason,
            changes: self.changes,
            impact: self.impact,
        }
    }
}
