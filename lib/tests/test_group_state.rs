//! Where a group stands, by what its domain leader sees.

use cicadabend::{
    chart::GroupState,
    domain::group::{
        GroupSeen,
        state_of, //
    },
};
use rstest::rstest;

const NOTHING: GroupSeen = GroupSeen {
    all_alive: true,
    all_joined: false,
    all_ready: false,
    stopping: false,
    routing_stopped: false,
};
const JOINED: GroupSeen = GroupSeen {
    all_joined: true,
    ..NOTHING
};
const READY: GroupSeen = GroupSeen {
    all_ready: true,
    ..JOINED
};
const STOPPING: GroupSeen = GroupSeen {
    stopping: true,
    ..READY
};

#[rstest]
#[case::nobody_has_joined(NOTHING, GroupState::Commanding)]
#[case::all_have_joined(JOINED, GroupState::Loading)]
#[case::all_are_ready(READY, GroupState::Serving)]
#[case::ready_in_another_group(GroupSeen { all_ready: true, ..NOTHING }, GroupState::Commanding)]
#[case::ready_but_one_is_lost(GroupSeen { all_alive: false, ..READY }, GroupState::Incomplete)]
#[case::stopping(STOPPING, GroupState::Draining)]
#[case::nobody_routes(GroupSeen { routing_stopped: true, ..STOPPING }, GroupState::Releasing)]
#[case::lost_while_stopping(GroupSeen { all_alive: false, ..STOPPING }, GroupState::Draining)]
fn the_chart_names_the_state(#[case] seen: GroupSeen, #[case] expected: GroupState) {
    assert_eq!(state_of(seen), Ok(expected));
}

#[test]
fn a_group_serves_only_if_all_members_are_alive_joined_and_ready() {
    for bits in 0..32_u32 {
        let bit = |index: u32| bits & (1 << index) != 0;
        let seen = GroupSeen {
            all_alive: bit(0),
            all_joined: bit(1),
            all_ready: bit(2),
            stopping: bit(3),
            routing_stopped: bit(4),
        };

        let serves = state_of(seen) == Ok(GroupState::Serving);

        let whole = seen.all_alive && seen.all_joined && seen.all_ready;
        assert_eq!(serves, whole && !seen.stopping, "{seen:?}");
    }
}
