//! The life of a group as its domain leader sees it.

use super::{
    interpreter::Chart,
    names::chart_names, //
};

/// The chart of a group.
pub type GroupChart = Chart<GroupState, GroupEvent, GroupGuard, GroupAction>;

chart_names! {
    /// Where a group stands.
    GroupState {
        /// It is to exist and has no members yet.
        Wanted = "wanted",
        /// Its members are being told to join.
        Commanding = "commanding",
        /// All members have joined and some still load weights.
        Loading = "loading",
        /// All members are present and ready; requests may be sent.
        Serving = "serving",
        /// It gets no new requests; daemons have yet to confirm that.
        Draining = "draining",
        /// Its members are being told to leave once their requests have ended.
        Releasing = "releasing",
        /// A member is lost, and recovery waits.
        Incomplete = "incomplete",
        /// A repair was chosen; the VMs it takes are being freed.
        Repairing = "repairing",
        /// It is over, and its VMs are free.
        Retired = "retired",
    }
}

chart_names! {
    /// What happens to a group.
    GroupEvent {
        /// Its members are fixed and all of them are free.
        MembersChosen = "members_chosen",
        /// A new domain leader learnt of it from announcements.
        Adopted = "adopted",
        /// Every member announces this group, token and member list.
        AllJoined = "all_joined",
        /// Every member announces that it is ready.
        AllReady = "all_ready",
        /// A member announces another group, token or member list, or is not ready any more.
        MemberDisagrees = "member_disagrees",
        /// Commands have not had their effect in time.
        CommandOverdue = "command_overdue",
        /// A member is suspect, dead or in conflict.
        MemberLost = "member_lost",
        /// A lost member announces itself again.
        MemberReturned = "member_returned",
        /// Recovery replaces members or builds the group anew.
        RepairChosen = "repair_chosen",
        /// Recovery breaks the group to complete others.
        BreakChosen = "break_chosen",
        /// Placement ends the group.
        StopOrdered = "stop_ordered",
        /// No daemon routes to the group any more.
        RoutingStopped = "routing_stopped",
        /// Every member that can be heard announces no membership, and the others are fenced off.
        AllLeft = "all_left",
    }
}

chart_names! {
    /// What must hold for a transition of a group.
    GroupGuard {
        /// Every member is alive.
        AllMembersAlive = "all_members_alive",
        /// Every member's own announcement names this group and token and says that it is ready.
        AllMembersReady = "all_members_ready",
    }
}

chart_names! {
    /// What is to be done about a group.
    GroupAction {
        /// Give the group a new fencing token.
        TakeToken = "take_token",
        /// Command every member to join under the group's token.
        SendJoin = "send_join",
        /// Command every member to leave.
        SendLeave = "send_leave",
        /// Publish a table in which the group admits requests.
        AdmitRequests = "admit_requests",
        /// Publish a table in which the group admits none.
        StopRequests = "stop_requests",
        /// Count the group as down from now.
        StartDowntime = "start_downtime",
        /// Stop counting the group as down.
        EndDowntime = "end_downtime",
        /// Ask recovery what to do.
        AskRecovery = "ask_recovery",
        /// Take the group out of the table; its VMs may be used elsewhere.
        ReleaseMembers = "release_members",
    }
}
