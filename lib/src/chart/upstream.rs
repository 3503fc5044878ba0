//! The life of an upstream as the daemons of its failure domain see it.

use super::{
    interpreter::Chart,
    names::chart_names, //
};

/// The chart of an upstream.
pub type UpstreamChart = Chart<UpstreamState, UpstreamEvent, UpstreamGuard, UpstreamAction>;

chart_names! {
    /// What is known of an upstream.
    UpstreamState {
        /// It has not announced itself to this daemon yet.
        Unknown = "unknown",
        /// It announces in time.
        Alive = "alive",
        /// Announcements are overdue; it keeps its place but gets no new one.
        Suspect = "suspect",
        /// Its lease has ended.
        Dead = "dead",
        /// It has said that it is leaving.
        Leaving = "leaving",
        /// The configuration keeps it out of groups.
        Drained = "drained",
        /// Two upstreams announce its id.
        Conflict = "conflict",
    }
}

chart_names! {
    /// What happens to an upstream.
    UpstreamEvent {
        /// An announcement, newer than the last one, that does not say "leaving".
        Announced = "announced",
        /// An announcement that says "leaving".
        AnnouncedLeaving = "announced_leaving",
        /// No announcement came for the suspicion time.
        AnnouncementOverdue = "announcement_overdue",
        /// No announcement came for the length of the lease.
        LeaseEnded = "lease_ended",
        /// This daemon itself was stopped, so silence says nothing about the upstream.
        ObserverPaused = "observer_paused",
        /// The configuration began to keep the VM out of groups.
        DrainOrdered = "drain_ordered",
        /// The configuration no longer keeps the VM out of groups.
        DrainLifted = "drain_lifted",
        /// Two runs announce the id in turns.
        DuplicateSeen = "duplicate_seen",
        /// For the length of a lease only one run has announced the id.
        DuplicateGone = "duplicate_gone",
        /// The record of a dead upstream has been kept long enough.
        RetentionEnded = "retention_ended",
    }
}

chart_names! {
    /// What must hold for a transition of an upstream.
    UpstreamGuard {
        /// The configuration keeps the VM out of groups.
        IsDrained = "is_drained",
        /// The announcement is of another run than the last one.
        BootIsNew = "boot_is_new",
    }
}

chart_names! {
    /// What is to be done about an upstream.
    UpstreamAction {
        /// Record the upstream and start its lease.
        StartLease = "start_lease",
        /// Start the lease again from now.
        ExtendLease = "extend_lease",
        /// Route no new requests to it or its group.
        StopNewRequests = "stop_new_requests",
        /// Let its group be routed to again if all else agrees.
        AllowNewRequests = "allow_new_requests",
        /// Tell recovery that the VM is lost.
        ReportLost = "report_lost",
        /// Tell recovery that a lost VM is back.
        ReportReturned = "report_returned",
        /// Tell placement that the VM is to be emptied.
        ReportEmptying = "report_emptying",
        /// Log and count that two upstreams have one id.
        WarnConflict = "warn_conflict",
        /// Forget the upstream.
        DropRecord = "drop_record",
    }
}
