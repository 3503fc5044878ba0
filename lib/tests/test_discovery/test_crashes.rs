//! Requests that crash upstreams are refused by all entry daemons, whichever daemon saw the crashes.

use cicadabend::quarantine::{
    Fingerprint,
    Observation, //
};

use crate::world::{
    World,
    daemon, //
};

/// The time within which a reconnected or restarted daemon must have all crashes.
const CONTACT_MS: u64 = 3_000;
/// The longest time that an update takes from one entry daemon via control daemons to another while
/// no link is cut: two transmissions of 10 ms and two ticks of 50 ms, rounded up.
const SPREAD_MS: u64 = 150;

fn fatal() -> Fingerprint {
    Fingerprint::of(None, "/path", &[b"what ends an upstream"])
}

fn three_domains() -> World {
    let mut world = World::new(&["a", "b", "c"]);
    world.run(5_000);
    world
}

/// Makes one entry daemon observe that three upstreams crash with the fatal request.
fn crash_three_upstreams(world: &mut World) {
    for _ in 0..3 {
        world.observe_crash("entry-a-1", fatal());
        world.run(SPREAD_MS);
    }
}

#[test]
fn crashes_seen_by_three_entry_daemons_add_up_and_the_request_is_refused_by_all() {
    // A request that crashes every upstream reaches a different entry daemon each time. Each daemon
    // observes one crash; only their combined count reaches three.
    let mut world = three_domains();

    for entry in ["entry-a-1", "entry-b-1", "entry-c-2"] {
        world.observe_crash(entry, fatal());
        world.run(SPREAD_MS);
    }

    assert_eq!(world.daemons_refusing(fatal()).len(), 6);
}

#[test]
fn a_restarted_entry_daemon_refuses_a_fatal_request() {
    let mut world = three_domains();
    crash_three_upstreams(&mut world);
    world.run(10_000);

    world.restart_entry("entry-b-2", "b");
    world.run(CONTACT_MS);

    assert_eq!(world.daemons_refusing(fatal()).len(), 6);
}

#[test]
fn a_restarted_control_daemon_relays_earlier_crashes_to_a_restarted_entry_daemon() {
    // The control daemon of a failure domain restarts, then one of its entry daemons, which learns
    // the crashes from control daemons only.
    let mut world = three_domains();
    crash_three_upstreams(&mut world);
    world.run(10_000);

    world.restart_control("control-b");
    world.run(CONTACT_MS);
    world.restart_entry("entry-b-1", "b");
    world.run(CONTACT_MS);

    assert_eq!(world.daemons_refusing(fatal()).len(), 6);
}

#[test]
fn crashes_in_an_isolated_domain_are_known_to_all_after_the_partition() {
    // During a partition, a request crashes three upstreams in an isolated failure domain;
    // afterwards the same request reaches the other domains.
    let mut world = three_domains();
    for near in ["control-a", "entry-a-1", "entry-a-2"] {
        for far in [
            "control-b",
            "control-c",
            "entry-b-1",
            "entry-b-2",
            "entry-c-1",
            "entry-c-2",
        ] {
            world.cut(near, far);
        }
    }
    world.run(CONTACT_MS);
    crash_three_upstreams(&mut world);
    assert_eq!(world.daemons_refusing(fatal()).len(), 2);
    world.run(10_000);

    world.heal();
    world.run(CONTACT_MS);

    assert_eq!(world.daemons_refusing(fatal()).len(), 6);
}

#[test]
fn crashes_seen_by_an_isolated_entry_daemon_are_known_to_all_after_the_partition() {
    let mut world = three_domains();
    for control in ["control-a", "control-b", "control-c"] {
        world.cut("entry-a-1", control);
    }
    world.run(CONTACT_MS);
    crash_three_upstreams(&mut world);
    assert_eq!(world.daemons_refusing(fatal()), [daemon("entry-a-1")]);
    world.run(10_000);

    world.heal();
    world.run(CONTACT_MS);

    assert_eq!(world.daemons_refusing(fatal()).len(), 6);
}

#[test]
fn crashes_add_up_while_control_daemons_are_partitioned() {
    // One control daemon is cut off from the other two, while entry daemons reach all three.
    let mut world = three_domains();
    world.cut("control-a", "control-b");
    world.cut("control-a", "control-c");
    world.run(CONTACT_MS);

    for entry in ["entry-a-1", "entry-b-1", "entry-c-1"] {
        world.observe_crash(entry, fatal());
        world.run(SPREAD_MS);
    }

    assert_eq!(world.daemons_refusing(fatal()).len(), 6);
}

#[test]
fn a_success_at_one_daemon_clears_the_request_at_all() {
    let mut world = three_domains();
    crash_three_upstreams(&mut world);

    world.observe("entry-b-1", fatal(), Observation::Cleared);
    world.run(SPREAD_MS);

    assert_eq!(world.daemons_refusing(fatal()), []);
}

#[test]
fn one_crash_costs_an_entry_daemon_three_messages() {
    // Control traffic may cost a daemon at most 5 KB/s, so a crash must not be relayed forever. The
    // entry daemon subscribes to one of three control daemons, which sends the update three times.
    let mut world = three_domains();
    let before = world.crash_messages("entry-b-2");

    world.observe_crash("entry-a-1", fatal());
    world.run(20_000);

    assert_eq!(world.crash_messages("entry-b-2") - before, 3);
}
