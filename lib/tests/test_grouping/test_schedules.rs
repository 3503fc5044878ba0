//! Random schedules of faults; each seed gives one schedule, which can be run again.

use std::time::Duration;

use rstest::rstest;

use crate::world::{
    FaultRates,
    World, //
};

/// Number of seeds that CI runs; `GROUPING_SEEDS` sets another number, `GROUPING_FIRST_SEED` the
/// first seed.
const SEEDS: u64 = 150;

/// Returns a number from an environment variable, or the default.
fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Number of seconds in which serving engines are counted, from 40 s after the last fault on.
const OBSERVED_SECONDS: usize = 30;
/// Number of those seconds in which all engines that can serve must serve.
const MIN_SECONDS_ALL_SERVE: usize = 20;

const FAULTY: FaultRates = FaultRates {
    late_commands: 0.25,
    lost_answers: 0.1,
    crashes_per_s: 0.4,
    cuts_per_s: 0.25,
    drains_per_s: 0.1,
    leaders_per_s: 0.12,
};

/// Runs a minute of frequent faults, asserts both rules, and returns how often a group opened.
fn assert_rules_hold(seed: u64) -> u64 {
    assert_rules_hold_in(seed, World::new(seed, 3, 8))
}

fn assert_rules_hold_in(seed: u64, mut world: World) -> u64 {
    world.run(Duration::from_secs(60), FAULTY);
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}\n{}",
        world.violations,
        world.history.join("\n")
    );
    world.opened
}

/// Runs half a minute of faults, then 70 s without, in the last 30 s of which engines must serve.
fn assert_engines_serve_after_faults(seed: u64) {
    let mut world = World::new(seed, 3, 8);
    world.run(Duration::from_secs(30), FAULTY);
    world.run(Duration::from_secs(40), FaultRates::NONE);
    // One engine of each of the three domains may be left over. A planned change may be under way
    // in some seconds, but not in the last, and none may follow the other.
    let mut seconds_all_serve = 0;
    let mut all_serve = false;
    let mut counts = Vec::new();
    for _ in 0..OBSERVED_SECONDS {
        world.run(Duration::from_secs(1), FaultRates::NONE);
        let (up, in_open_groups) = world.engines_up_and_serving();
        all_serve = in_open_groups + 3 >= up;
        seconds_all_serve += usize::from(all_serve);
        counts.push(format!("{in_open_groups} of {up}"));
    }
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:?}\n{}",
        world.violations,
        world.history.join("\n")
    );
    let serve = all_serve && seconds_all_serve >= MIN_SECONDS_ALL_SERVE;
    if !serve {
        world.print_state();
    }
    assert!(
        serve,
        "seed {seed}: engines serve by seconds: {}\n{}",
        counts.join(", "),
        world.history.join("\n")
    );
}

#[test]
fn no_incomplete_group_serves_and_no_engine_serves_two_groups() {
    // Engines crash, leave and are cut off from the leader, which sees silence or refused
    // connections; commands are lost, late and duplicated; leaders follow each other and overlap.
    // Callers could see responses of a group without a member, or of two groups at once.
    let first = setting("GROUPING_FIRST_SEED", 1);
    let seeds = first..first + setting("GROUPING_SEEDS", SEEDS);

    let opened: u64 = seeds.map(assert_rules_hold).sum();

    // A leader that never opens a group would keep both rules.
    assert!(opened > 0);
}

#[test]
fn engines_that_start_again_under_their_name_break_neither_rule() {
    // The same faults, but an engine that crashes comes back under its old name and remembers
    // nothing. If it were taken for its former instance, it would count as a ready member, and a
    // group without it would serve callers.
    let first = setting("GROUPING_FIRST_SEED", 1);
    let seeds = first..first + setting("GROUPING_SEEDS", SEEDS);

    let worlds = seeds.map(|seed| {
        let mut world = World::new(seed, 3, 8);
        world.keeps_names = true;
        (seed, world)
    });
    let opened: u64 = worlds
        .map(|(seed, world)| assert_rules_hold_in(seed, world))
        .sum();

    assert!(opened > 0);
}

#[test]
fn every_engine_serves_again_once_the_faults_end() {
    // The same faults for 30 s, then none. Engines that can form a complete group must be in one
    // within a minute; otherwise accelerators would idle while work waits.
    let first = setting("GROUPING_FIRST_SEED", 1);

    (first..first + setting("GROUPING_SEEDS", SEEDS) / 2)
        .for_each(assert_engines_serve_after_faults);
}

#[test]
fn a_head_that_late_commands_brought_back_joins_no_other_group() {
    // A head has left; a late join and a late open bring it back while it is cut off from the
    // leader. The leader queries it, finds the late commands among those begun, and would have it
    // join another group while it is open: callers would be served by two groups.
    assert_rules_hold(1_555);
}

#[test]
fn lost_stage_commands_delay_no_other_loads() {
    // Three stage commands are lost. If they counted as running, the leader could have no model
    // staged for a minute, and no groups of the model that is short could be formed meanwhile.
    assert_engines_serve_after_faults(24);
}

#[test]
fn a_member_that_a_late_join_brought_back_is_not_retired_from_its_open_group() {
    // A member leaves a head that is cut off, is chosen for a new group, and a late join puts it
    // back first. The new group is given up; retiring the engine at once would take it away from
    // the head, whose group is complete again, and callers would be served by an incomplete group.
    assert_rules_hold(4_648);
}

#[test]
fn free_engines_with_one_model_each_do_not_wait_for_ever() {
    // Two engines are left over, each with another model on its host. A group of neither model
    // could ever be formed unless one of them gives up its model.
    assert_engines_serve_after_faults(1);
}

#[test]
fn a_member_that_a_late_join_took_to_an_older_group_holds_up_no_new_one() {
    // A late join of an older group is executed after a member was chosen for a new one. The new
    // group waited for it for ever, and its other members idled.
    assert_engines_serve_after_faults(44);
    assert_engines_serve_after_faults(1_326);
}

#[test]
fn an_engine_whose_old_group_is_not_over_is_not_free() {
    // A late join puts a chosen member into an older group, and the new group is given up. The
    // member must leave the older group, whose head may be open, before it is chosen again.
    assert_rules_hold(5_113);
    assert_rules_hold(3_447);
}

#[test]
fn members_of_a_head_that_was_lost_while_joining_serve_again() {
    // A head dies before it is ready, and another leader takes over. No member reports the group's
    // model then; the new leader could not take the group over, and its three other members idled
    // for good: 14 of 20 engines served.
    assert_engines_serve_after_faults(1_139);
}

// Guards against a group that waits for ever for a member that a late join has put into its own
// retired group: the other members idle with it.
#[rstest]
#[case(118)]
#[case(145)]
#[case(276)]
fn a_member_that_was_retired_late_joins_the_group_that_waits_for_it(#[case] seed: u64) {
    assert_engines_serve_after_faults(seed);
}

// Guards against engines that are out of service for one planned change after the other.
#[test]
fn planned_changes_do_not_follow_each_other() {
    assert_engines_serve_after_faults(490);
}

// Guards against engines that idle for good: after the faults of each of these seeds some did.
#[rstest]
#[case(149)]
#[case(406)]
#[case(1_349)]
#[case(1_326)]
fn engines_left_idle_by_faults_serve_again(#[case] seed: u64) {
    assert_engines_serve_after_faults(seed);
}
