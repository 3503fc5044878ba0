//! The state chart of an upstream at the daemons of its failure domain.

use super::{
    interpreter::Chart,
    names::chart_names, //
};

/// The chart of an upstream.
pub type UpstreamChart = Chart<UpstreamState, UpstreamEvent, UpstreamGuard, UpstreamAction>;

chart_names! {
    /// The state of an upstream.
    UpstreamState {
        /// The upstream has not announced itself to this daemon yet.
        Unknown = "unknown",
        /// The upstream announces itself in time.
        Alive = "alive",
        /// The next announcement is overdue; the upstream stays in its group but gets no new
        /// assignment.
        Suspect = "suspect",
        /// The upstream's lease has ended.
        Dead = "dead",
        /// The upstream announced that it is leaving.
        Leaving = "leaving",
        /// The configuration keeps the VM out of groups.
        Drained = "drained",
        /// Two upstreams announce the same VM id.
        Conflict = "conflict",
    }
}

chart_names! {
    /// An event of an upstream.
    UpstreamEvent {
        /// An announcement arrived that is newer than the last one and not marked as leaving.
        Announced = "announced",
        /// An announcement arrived that is marked as leaving.
        AnnouncedLeaving = "announced_leaving",
        /// No announcement arrived for the suspicion time.
        AnnouncementOverdue = "announcement_overdue",
        /// No announcement arrived for the length of the lease.
        LeaseEnded = "lease_ended",
        /// This daemon itself was paused, so missing announcements show nothing about the upstream.
        ObserverPaused = "observer_paused",
        /// The configuration began to keep the VM out of groups.
        DrainOrdered = "drain_ordered",
        /// The configuration no longer keeps the VM out of groups.
        DrainLifted = "drain_lifted",
        /// Announcements of two process instances with the same VM id alternate.
        DuplicateSeen = "duplicate_seen",
        /// For the length of a lease only one process instance has announced the VM id.
        DuplicateGone = "duplicate_gone",
        /// The retention time of a dead upstream's record has ended.
        RetentionEnded = "retention_ended",
    }
}

chart_names! {
    /// A condition for a transition of an upstream.
    UpstreamGuard {
        /// The configuration keeps the VM out of groups.
        IsDrained = "is_drained",
        /// The announcement is from another process instance than the last one.
        BootIsNew = "boot_is_new",
    }
}

chart_names! {
    /// An action of a daemon on an upstream.
    UpstreamAction {
        /// Records the upstream and starts its lease.
        StartLease = "start_lease",
        /// Restarts the lease from now.
        ExtendLease = "extend_lease",
        /// Routes no new requests to the upstream or its group.
        StopNewRequests = "stop_new_requests",
        /// Routes requests to the upstream's group again if all other conditions hold.
        AllowNewRequests = "allow_new_requests",
        /// Notifies recovery that the VM is lost.
        ReportLost = "report_lost",
        /// Notifies recovery that a lost VM has returned.
        ReportReturned = "report_returned",
        /// Notifies placement that groups must leave the VM.
        ReportEmptying = "report_emptying",
        /// Logs and counts that two upstreams announce the same VM id.
        WarnConflict = "warn_conflict",
        /// Removes the upstream's record.
        DropRecord = "drop_record",
    }
}
