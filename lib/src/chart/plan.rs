//! The state chart of a plan, from an operator's request until the plan is in force.

use super::{
    interpreter::Chart,
    names::chart_names, //
};

/// The chart of a plan.
pub type PlanChart = Chart<PlanState, PlanEvent, PlanGuard, PlanAction>;

chart_names! {
    /// The state of a plan.
    PlanState {
        /// The plan was made, and nothing has changed yet.
        Proposed = "proposed",
        /// The plan's configuration is the accepted one.
        Confirmed = "confirmed",
        /// Daemons apply the plan's configuration, and groups are started and stopped.
        Running = "running",
        /// An operator stopped the plan; the changes made so far stay.
        Stopped = "stopped",
        /// Every reachable daemon has applied the plan's configuration, and its groups serve.
        Done = "done",
        /// Another plan was accepted, or the plan was not confirmed in time.
        Superseded = "superseded",
        /// The confirmation came after another plan had been accepted.
        Refused = "refused",
    }
}

chart_names! {
    /// An event of a plan.
    PlanEvent {
        /// An operator confirms the plan.
        Confirmed = "confirmed",
        /// Another plan was accepted.
        OtherAccepted = "other_accepted",
        /// The plan was not confirmed within the time for which plans are stored.
        Expired = "expired",
        /// The accepted configuration is being sent to the daemons.
        SpreadStarted = "spread_started",
        /// Every reachable daemon has applied the plan's configuration, and its groups serve.
        InForce = "in_force",
        /// An operator stops the plan.
        StopOrdered = "stop_ordered",
        /// An operator lets a stopped plan continue.
        ContinueOrdered = "continue_ordered",
        /// Another control daemon became the leader.
        LeaderChanged = "leader_changed",
    }
}

chart_names! {
    /// A condition for a transition of a plan.
    PlanGuard {
        /// The accepted revision is the plan's base revision.
        BaseIsCurrent = "base_is_current",
        /// The plan itself was accepted.
        WasConfirmed = "was_confirmed",
    }
}

chart_names! {
    /// An action of the control leader on a plan.
    PlanAction {
        /// Makes the plan's configuration the next accepted revision.
        AcceptRevision = "accept_revision",
        /// Answers with the plan that was accepted instead and the values that changed.
        ReportConflict = "report_conflict",
        /// Answers a client retry with the answer to the first confirmation.
        RepeatFirstAnswer = "repeat_first_answer",
        /// Sends the revision to the failure domains.
        SpreadRevision = "spread_revision",
        /// Starts no further group changes; those already started are finished.
        HoldGroupChanges = "hold_group_changes",
        /// Records the time that the plan took.
        RecordDuration = "record_duration",
    }
}
