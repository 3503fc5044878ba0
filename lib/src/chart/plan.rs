//! The life of a plan, from an operator's wish until it is in force.

use super::{
    interpreter::Chart,
    names::chart_names, //
};

/// The chart of a plan.
pub type PlanChart = Chart<PlanState, PlanEvent, PlanGuard, PlanAction>;

chart_names! {
    /// Where a plan stands.
    PlanState {
        /// It was computed; nothing has happened.
        Proposed = "proposed",
        /// Its configuration is the accepted one.
        Confirmed = "confirmed",
        /// Daemons and groups are being brought to it.
        Running = "running",
        /// An operator stopped it; what has been done stays.
        Stopped = "stopped",
        /// Every reachable daemon has applied it and its groups stand.
        Done = "done",
        /// Another plan took its place.
        Superseded = "superseded",
        /// Its confirmation came too late.
        Refused = "refused",
    }
}

chart_names! {
    /// What happens to a plan.
    PlanEvent {
        /// An operator confirms it.
        Confirmed = "confirmed",
        /// Another plan was accepted.
        OtherAccepted = "other_accepted",
        /// It was not confirmed for so long that it is no longer kept open.
        Expired = "expired",
        /// The accepted configuration is on its way to the daemons.
        SpreadStarted = "spread_started",
        /// Every reachable daemon has applied it and its groups stand.
        InForce = "in_force",
        /// An operator stops it.
        StopOrdered = "stop_ordered",
        /// An operator lets it go on.
        ContinueOrdered = "continue_ordered",
        /// Another control daemon leads.
        LeaderChanged = "leader_changed",
    }
}

chart_names! {
    /// What must hold for a transition of a plan.
    PlanGuard {
        /// The accepted revision is the one the plan starts from.
        BaseIsCurrent = "base_is_current",
        /// The plan itself was accepted.
        WasConfirmed = "was_confirmed",
    }
}

chart_names! {
    /// What is to be done about a plan.
    PlanAction {
        /// Make its configuration the next accepted revision.
        AcceptRevision = "accept_revision",
        /// Answer with the plan that won and what it changed.
        ReportConflict = "report_conflict",
        /// Answer a resend as the first confirmation was answered.
        RepeatFirstAnswer = "repeat_first_answer",
        /// Send the revision to the failure domains.
        SpreadRevision = "spread_revision",
        /// Begin no further group changes; those begun are finished.
        HoldGroupChanges = "hold_group_changes",
        /// Record how long it took.
        RecordDuration = "record_duration",
    }
}
