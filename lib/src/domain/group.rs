//! Where a group stands, by its state chart.

use crate::chart::{
    ChartError,
    Charts,
    GroupEvent,
    GroupGuard,
    GroupState, //
};

/// What a domain leader sees of one group of its table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupSeen {
    /// Every member is alive.
    pub all_alive: bool,
    /// Every member announces this group, token and member list.
    pub all_joined: bool,
    /// Every member announces that it is ready there.
    pub all_ready: bool,
    /// Placement ends the group.
    pub stopping: bool,
    /// No daemon routes to it any more.
    pub routing_stopped: bool,
}

impl GroupSeen {
    fn events(self) -> impl Iterator<Item = GroupEvent> {
        let events = [
            (true, GroupEvent::MembersChosen),
            (!self.all_alive, GroupEvent::MemberLost),
            (self.all_joined, GroupEvent::AllJoined),
            (self.all_joined && self.all_ready, GroupEvent::AllReady),
            (self.stopping, GroupEvent::StopOrdered),
            (self.routing_stopped, GroupEvent::RoutingStopped),
        ];
        let happened = events.into_iter().filter(|(happened, _)| *happened);
        happened.map(|(_, event)| event)
    }
}

/// Returns the state to which the chart leads a group of which this is seen.
///
/// The leader keeps no state of its own for a group that a new leader could not see,
/// so the state is always led to from the start.
///
/// # Errors
///
/// Returns the fault of the chart files; a daemon does not start with one.
pub fn state_of(seen: GroupSeen) -> Result<GroupState, ChartError> {
    let chart = &Charts::shared()?.group;
    let mut state = chart.initial();
    for event in seen.events() {
        let holds = |guard| match guard {
            GroupGuard::AllMembersAlive => seen.all_alive,
            GroupGuard::AllMembersReady => seen.all_ready,
        };
        state = chart.step(state, event, holds).state;
    }
    Ok(state)
}
