//! Propagation of the request rates that upstreams name to all entry daemons.

use crate::world::{
    World,
    daemon, //
};

/// The time within which a reconnected or restarted daemon must have all rates.
const CONTACT_MS: u64 = 3_000;
/// The time within which all daemons must have a new rate while no link is cut.
const SPREAD_MS: u64 = 500;

fn three_domains() -> World {
    let mut world = World::new(&["a", "b", "c"]);
    world.add_upstream("i-1", "control-a");
    world.run(3_000);
    world
}

#[test]
fn a_rate_and_its_end_reach_all_entry_daemons() {
    let mut world = three_domains();

    world.observe_rate_in_answer("entry-a-1", "i-1", Some("1.6"));
    world.run(SPREAD_MS);
    let while_named = world.daemons_knowing_rate("i-1").len();
    world.run(1_000);
    world.observe_rate_in_answer("entry-b-1", "i-1", None);
    world.run(SPREAD_MS);

    assert_eq!(
        (while_named, world.daemons_knowing_rate("i-1").len()),
        (6, 0)
    );
}

#[test]
fn a_restarted_entry_daemon_learns_the_rate() {
    // A daemon that has just started has seen no answers of an overloaded upstream, and would send
    // to it at full rate.
    let mut world = three_domains();
    world.observe_rate_in_answer("entry-a-1", "i-1", Some("1.6"));
    world.run(20_000);

    world.restart_entry("entry-c-2", "c");
    world.run(CONTACT_MS);

    assert_eq!(world.daemons_knowing_rate("i-1").len(), 6);
}

#[test]
fn an_isolated_entry_daemon_learns_the_rate_after_the_partition() {
    let mut world = three_domains();
    for control in ["control-a", "control-b", "control-c"] {
        world.cut("entry-c-1", control);
    }
    world.run(3_000);
    world.observe_rate_in_answer("entry-a-1", "i-1", Some("1.6"));
    world.run(10_000);
    assert!(
        !world
            .daemons_knowing_rate("i-1")
            .contains(&daemon("entry-c-1"))
    );

    world.heal();
    world.run(CONTACT_MS);

    assert_eq!(world.daemons_knowing_rate("i-1").len(), 6);
}

#[test]
fn a_rate_received_by_an_isolated_entry_daemon_reaches_all_after_the_partition() {
    let mut world = three_domains();
    for control in ["control-a", "control-b", "control-c"] {
        world.cut("entry-c-1", control);
    }
    world.run(3_000);
    world.observe_rate_in_answer("entry-c-1", "i-1", Some("1.6"));
    world.run(10_000);
    assert_eq!(world.daemons_knowing_rate("i-1"), [daemon("entry-c-1")]);

    world.heal();
    world.run(CONTACT_MS);

    assert_eq!(world.daemons_knowing_rate("i-1").len(), 6);
}

#[test]
fn the_end_of_a_rate_is_not_undone_by_an_older_rate_after_a_partition() {
    // During a partition, an upstream stops naming a rate, which only one side learns. After the
    // partition, the other side's older rate must not come back into force.
    let mut world = three_domains();
    world.observe_rate_in_answer("entry-a-1", "i-1", Some("1.6"));
    world.run(1_000);
    for control in ["control-a", "control-b", "control-c"] {
        world.cut("entry-c-1", control);
    }
    world.run(3_000);
    world.observe_rate_in_answer("entry-a-2", "i-1", None);
    world.run(5_000);

    world.heal();
    world.run(CONTACT_MS);

    assert!(world.daemons_knowing_rate("i-1").is_empty());
}

#[test]
fn restarted_control_daemons_learn_the_rate_from_others() {
    // An entry daemon that starts later learns rates from control daemons only. All of them
    // restart, one after the other, and must get the rate back from other daemons.
    let mut world = three_domains();
    world.observe_rate_in_answer("entry-a-1", "i-1", Some("1.6"));
    world.run(5_000);
    for control in ["control-a", "control-b", "control-c"] {
        world.restart_control(control);
        world.run(4_000);
    }

    world.restart_entry("entry-c-2", "c");
    world.run(CONTACT_MS);

    assert_eq!(world.daemons_knowing_rate("i-1").len(), 6);
}

#[test]
fn an_unchanged_rate_costs_an_entry_daemon_three_messages() {
    // Control traffic may cost a daemon at most 5 KB/s; an upstream names its rate in each answer,
    // so an unchanged rate must not be sent again.
    let mut world = three_domains();
    let before = world.rate_messages("entry-b-2");

    for _ in 0..40 {
        world.observe_rate_in_answer("entry-a-1", "i-1", Some("1.6"));
        world.run(500);
    }

    assert_eq!(world.rate_messages("entry-b-2") - before, 3);
}
