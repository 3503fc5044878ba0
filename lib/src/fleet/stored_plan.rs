//! A plan in the replicated state, with its state in the plan chart.

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

/// A plan and its state in the plan chart.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct StoredPlan {
    pub(super) plan: Plan,
    #[serde(serialize_with = "write_state", deserialize_with = "read_state")]
    pub(super) state: PlanState,
    /// The revision that the plan became when it was accepted.
    pub(super) accepted_as: Option<Revision>,
}

impl StoredPlan {
    /// Creates an entry for a new plan, in the chart's initial state.
    pub(super) fn new(plan: Plan) -> Self {
        Self {
            plan,
            state: Charts::shared().map_or(PlanState::Proposed, |charts| charts.plan.initial()),
            accepted_as: None,
        }
    }

    /// Applies an event to the plan's state by the plan chart, and returns the actions to take.
    ///
    /// A process whose charts are invalid does not start; should one run all the same, no action is
    /// returned, so that no plan is accepted.
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

/// Serializes a state by name, because the order of the chart's states may change between versions.
fn write_state<S: Serializer>(state: &PlanState, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(state)
}

fn read_state<'de, D: Deserializer<'de>>(deserializer: D) -> Result<PlanState, D::Error> {
    String::deserialize(deserializer)?
        .parse()
        .map_err(D::Error::custom)
}
