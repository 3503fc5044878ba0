//! The state of a group by its state chart.

use crate::chart::{
    ChartError,
    Charts,
    GroupEvent,
    GroupGuard,
    GroupState, //
};

/// A domain leader's observations of one group of its table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupObservation {
    /// Every member is alive.
    pub all_alive: bool,
    /// Every member announces this group with its token and member list.
    pub all_joined: bool,
    /// Every member announces that it is ready to serve.
    pub all_ready: bool,
    /// Placement has decided to end the group.
    pub stopping: bool,
    /// No daemon routes to the group any more.
    pub routing_stopped: bool,
}

impl GroupObservation {
    /// Returns the events of the chart that follow from the observations, in the order in which
    /// they occur.
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

/// Returns the state of a group by the chart, given the leader's observations.
///
/// The state is derived from the initial state each time: the leader stores no state of a group
/// that a new leader couldn't observe.
///
/// # Errors
///
/// Returns the error of an invalid chart file; a daemon with one doesn't start.
pub fn state_of(observed: GroupObservation) -> Result<GroupState, ChartError> {
    let chart = &Charts::shared()?.group;
    let mut state = chart.initial();
    for event in observed.events() {
        let holds = |guard| match guard {
            GroupGuard::AllMembersAlive => observed.all_alive,
            GroupGuard::AllMembersReady => observed.all_ready,
        };
        state = chart.step(state, event, holds).state;
    }
    Ok(state)
}
