//! A plan as the log keeps it: with where it stands in the plan's chart.

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error, //
};

use crate::{
    chart::{
        Charts,
        PlanAction,
        PlanEvent,
        PlanGuard,
        PlanState, //
    },
    operator_api::Plan,
    prelude::*,
};

/// A plan and what became of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct StoredPlan {
    pub(super) plan: Plan,
    #[serde(serialize_with = "write_state", deserialize_with = "read_state")]
    pub(super) state: PlanState,
    /// The revision under which it was accepted.
    pub(super) accepted_as: Option<Revision>,
}

impl StoredPlan {
    /// Keeps a new plan in the chart's initial state.
    pub(super) fn new(plan: Plan) -> Self {
        Self {
            plan,
            state: Charts::shared().map_or(PlanState::Proposed, |charts| charts.plan.initial()),
            accepted_as: None,
        }
    }

    /// Follows the plan's chart and returns what it asks for.
    ///
    /// A process whose charts are faulty does not start; should one run all the same,
    /// nothing is asked for, so that nothing is accepted.
    pub(super) fn step(&mut self, event: PlanEvent, accepted: Revision) -> &'static [PlanAction] {
        let Ok(charts) = Charts::shared() else {
            return &[];
        };
        let step = charts.plan.step(self.state, event, |guard| match guard {
            PlanGuard::BaseIsCurrent => self.plan.base_revision == accepted,
            PlanGuard::WasConfirmed => self.accepted_as.is_some(),
        });
        self.state = step.state;
        step.actions
    }
}

/// By name, because the order of the chart's states may change between versions.
fn write_state<S: Serializer>(state: &PlanState, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(state)
}

fn read_state<'de, D: Deserializer<'de>>(deserializer: D) -> Result<PlanState, D::Error> {
    String::deserialize(deserializer)?
        .parse()
        .map_err(D::Error::custom)
}
