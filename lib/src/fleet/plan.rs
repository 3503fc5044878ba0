//! Plan of an operator's intent: a pure function of the revision, the intent and the observed
//! fleet.

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

/// A plan before the replicated state has numbered it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlanDraft {
    /// The accepted revision that the plan would replace.
    pub base_revision: Revision,
    /// The whole configuration after the plan.
    pub config: FleetConfig,
    /// The operator who asked for the plan.
    pub operator: String,
    /// The operator's reason.
    pub reason: String,
    /// The changed values, and the groups that start, stop or are missing.
    pub changes: Vec<PlanChange>,
    /// The totals over all changes.
    pub impact: PlanImpact,
}

impl PlanDraft {
    /// Computes the changes that `request` would make to the accepted configuration and the fleet.
    ///
    /// The result depends on the arguments alone, so that two leaders that observe the same fleet
    /// make the same plan.
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
