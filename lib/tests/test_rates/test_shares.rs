//! Who goes first while all upstreams of a pool name rates.

use rstest::rstest;

use crate::world::{
    World,
    caller, //
};

/// Runs a load against three upstreams that accept twelve requests per second together.
fn run_load(daemons: usize, load: &[(u8, &str, f64)]) -> World {
    let mut world = World::new(daemons, &[4.0, 4.0, 4.0], 11);
    world.is_mixed = false;
    let callers = load.iter();
    world.load = callers
        .map(|(rank, team, per_s)| (caller(*rank, team), *per_s))
        .collect();
    world.run(8_000);
    world.served.clear();
    world.run(40_000);
    world
}

fn sent_per_s(world: &World, rank: u8, team: &str) -> f64 {
    f64::from(world.served[&caller(rank, team)].sent) / 40.0
}

#[rstest]
fn a_higher_rank_goes_first_over_all_daemons(#[values(9, 71)] daemons: usize) {
    // Guards against urgent requests that are refused while others are served, because permits are
    // issued in order of arrival.
    let load = [(0, "urgent", 6.0), (1, "other", 60.0)];

    let world = run_load(daemons, &load);

    let urgent = sent_per_s(&world, 0, "urgent");
    assert!(urgent >= 4.8, "{urgent} a second of 6");
    let all = urgent + sent_per_s(&world, 1, "other");
    assert!(all >= 9.0, "{all} a second of 12");
}

#[rstest]
fn a_team_with_many_requests_takes_nothing_from_one_with_few(#[values(9, 71)] daemons: usize) {
    // Guards against a small team that is nearly always refused because a large one sends twenty
    // times as many requests.
    let load = [(1, "large", 60.0), (1, "small", 3.0)];

    let world = run_load(daemons, &load);

    let small = sent_per_s(&world, 1, "small");
    assert!(small >= 2.2, "{small} a second of 3");
}
