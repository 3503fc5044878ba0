//! The state chart of a group at its domain leader.

use super::{
    interpreter::Chart,
    names::chart_names, //
};

/// The chart of a group.
pub type GroupChart = Chart<GroupState, GroupEvent, GroupGuard, GroupAction>;

chart_names! {
    /// The state of a group.
    GroupState {
        /// The configuration demands the group, and no members are chosen yet.
        Wanted = "wanted",
        /// The leader commands the members to join.
        Commanding = "commanding",
        /// All members have joined, and some still load weights.
        Loading = "loading",
        /// All members are present and ready; requests may be sent to the group.
        Serving = "serving",
        /// The group gets no new requests, and some daemons have not confirmed that yet.
        Draining = "draining",
        /// The leader commands the members to leave once their requests have ended.
        Releasing = "releasing",
        /// A member is lost, and recovery waits: for the member's return, or until a repair is
        /// possible.
        Incomplete = "incomplete",
        /// Recovery chose a repair, and the VMs that the repair takes are being freed.
        Repairing = "repairing",
        /// The group has ended, and its VMs are free.
        Retired = "retired",
    }
}

chart_names! {
    /// An event of a group.
    GroupEvent {
        /// The group's members are chosen, and all of them are free.
        MembersChosen = "members_chosen",
        /// A new domain leader found the group in announcements.
        Adopted = "adopted",
        /// Every member announces this group, token and member list.
        AllJoined = "all_joined",
        /// Every member announces that it is ready.
        AllReady = "all_ready",
        /// A member announces another group, token or member list, or is no longer ready.
        MemberDisagrees = "member_disagrees",
        /// The time for commands to take effect has passed.
        CommandOverdue = "command_overdue",
        /// A member is suspect, dead or in conflict.
        MemberLost = "member_lost",
        /// A lost member announces itself again.
        MemberReturned = "member_returned",
        /// Recovery replaces members or rebuilds the group.
        RepairChosen = "repair_chosen",
        /// Recovery ends the group to complete other groups with its VMs.
        BreakChosen = "break_chosen",
        /// Placement ends the group.
        StopOrdered = "stop_ordered",
        /// No daemon routes to the group any more.
        RoutingStopped = "routing_stopped",
        /// Every reachable member announces that it is in no group, and the others are fenced off.
        AllLeft = "all_left",
    }
}

chart_names! {
    /// A condition for a transition of a group.
    GroupGuard {
        /// Every member is alive.
        AllMembersAlive = "all_members_alive",
        /// Every member announces this group and its token, and announces that it is ready.
        AllMembersReady = "all_members_ready",
    }
}

chart_names! {
    /// An action of the domain leader on a group.
    GroupAction {
        /// Assigns a new fencing token to the group.
        TakeToken = "take_token",
        /// Commands every member to join under the group's token.
        SendJoin = "send_join",
        /// Commands every member to leave.
        SendLeave = "send_leave",
        /// Publishes a table in which the group admits requests.
        AdmitRequests = "admit_requests",
        /// Publishes a table in which the group admits no requests.
        StopRequests = "stop_requests",
        /// Starts the group's downtime.
        StartDowntime = "start_downtime",
        /// Ends the group's downtime.
        EndDowntime = "end_downtime",
        /// Has recovery choose whether to wait, to repair or to break the group.
        AskRecovery = "ask_recovery",
        /// Removes the group from the table, so that other groups may use its VMs.
        ReleaseMembers = "release_members",
    }
}
