//! The state of a group, by its domain leader's observations.

use cicadabend::{
    chart::GroupState,
    domain::group::{
        GroupObservation,
        state_of, //
    },
};
use rstest::rstest;

const NOT_JOINED: GroupObservation = GroupObservation {
    all_alive: true,
    all_joined: false,
    all_ready: false,
    stopping: false,
    routing_stopped: false,
};
const JOINED: GroupObservation = GroupObservation {
    all_joined: true,
    ..NOT_JOINED
};
const READY: GroupObservation = GroupObservation {
    all_ready: true,
    ..JOINED
};
const STOPPING: GroupObservation = GroupObservation {
    stopping: true,
    ..READY
};

#[rstest]
#[case::nobody_has_joined(NOT_JOINED, GroupState::Commanding)]
#[case::all_have_joined(JOINED, GroupState::Loading)]
#[case::all_are_ready(READY, GroupState::Serving)]
#[case::ready_in_another_group(GroupObservation { all_ready: true, ..NOT_JOINED }, GroupState::Commanding)]
#[case::ready_but_one_is_lost(GroupObservation { all_alive: false, ..READY }, GroupState::Incomplete)]
#[case::stopping(STOPPING, GroupState::Draining)]
#[case::nobody_routes(GroupObservation { routing_stopped: true, ..STOPPING }, GroupState::Releasing)]
#[case::lost_while_stopping(GroupObservation { all_alive: false, ..STOPPING }, GroupState::Draining)]
fn the_chart_gives_the_state(#[case] observed: GroupObservation, #[case] expected: GroupState) {
    assert_eq!(state_of(observed), Ok(expected));
}

#[test]
fn a_group_serves_only_if_all_members_are_alive_joined_and_ready() {
    for bits in 0..32_u32 {
        let bit = |index: u32| bits & (1 << index) != 0;
        let observed = GroupObservation {
            all_alive: bit(0),
            all_joined: bit(1),
            all_ready: bit(2),
            stopping: bit(3),
            routing_stopped: bit(4),
        };

        let serves = state_of(observed) == Ok(GroupState::Serving);

        let whole = observed.all_alive && observed.all_joined && observed.all_ready;
        assert_eq!(serves, whole && !observed.stopping, "{observed:?}");
    }
}
