//! What one daemon saw end upstreams is known to all.

use cicadabend::quarantine::{
    Fingerprint,
    Observation, //
};

use crate::world::{
    World,
    daemon, //
};

/// How soon every daemon in touch must know.
const CONTACT_MS: u64 = 3_000;
/// How long a message takes from one entry daemon through control daemons to another at the most
/// while nothing is cut: two ways of 10 ms and two ticks of 50 ms.
const SPREAD_MS: u64 = 150;

fn fatal() -> Fingerprint {
    Fingerprint::of(None, "/path", b"what ends an upstream")
}

fn three_domains() -> World {
    let mut world = World::new(&["a", "b", "c"]);
    world.run(5_000);
    world
}

/// Has one entry daemon see three upstreams end with the fatal request, one after the other.
fn end_three_upstreams(world: &mut World) {
    for _ in 0..3 {
        world.crash("entry-a-1", fatal());
        world.run(SPREAD_MS);
    }
}

#[test]
fn a_request_that_comes_to_another_daemon_each_time_is_refused_by_all_after_three_crashes() {
    // A request that ends whoever runs it comes to one entry daemon after the other. Each sees
    // one upstream end; only together they know that three have.
    let mut world = three_domains();

    for entry in ["entry-a-1", "entry-b-1", "entry-c-2"] {
        world.crash(entry, fatal());
        world.run(SPREAD_MS);
    }

    assert_eq!(world.refusing(fatal()).len(), 6);
}

#[test]
fn an_entry_daemon_that_has_started_since_refuses_it_too() {
    let mut world = three_domains();
    end_three_upstreams(&mut world);
    world.run(10_000);

    world.restart_entry("entry-b-2", "b");
    world.run(CONTACT_MS);

    assert_eq!(world.refusing(fatal()).len(), 6);
}

#[test]
fn a_control_daemon_that_has_started_since_tells_it_to_its_entry_daemons() {
    // All control daemons of a domain were started anew, then its entry daemons.
    let mut world = three_domains();
    end_three_upstreams(&mut world);
    world.run(10_000);

    world.restart_control("control-b");
    world.run(CONTACT_MS);
    world.restart_entry("entry-b-1", "b");
    world.run(CONTACT_MS);

    assert_eq!(world.refusing(fatal()).len(), 6);
}

#[test]
fn what_a_domain_that_was_cut_off_saw_is_known_to_all_after_the_cut() {
    // A failure domain is cut off and a request ends three upstreams in it; after the cut it
    // comes to the other domains.
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
    end_three_upstreams(&mut world);
    assert_eq!(world.refusing(fatal()).len(), 2);
    world.run(10_000);

    world.heal();
    world.run(CONTACT_MS);

    assert_eq!(world.refusing(fatal()).len(), 6);
}

#[test]
fn what_an_entry_daemon_without_any_control_daemon_saw_is_known_to_all_after_the_cut() {
    let mut world = three_domains();
    for control in ["control-a", "control-b", "control-c"] {
        world.cut("entry-a-1", control);
    }
    world.run(CONTACT_MS);
    end_three_upstreams(&mut world);
    assert_eq!(world.refusing(fatal()), [daemon("entry-a-1")]);
    world.run(10_000);

    world.heal();
    world.run(CONTACT_MS);

    assert_eq!(world.refusing(fatal()).len(), 6);
}

#[test]
fn crashes_on_both_sides_of_a_cut_between_control_daemons_count_together() {
    // Control daemons are cut from each other while entry daemons reach all of them.
    let mut world = three_domains();
    world.cut("control-a", "control-b");
    world.cut("control-a", "control-c");
    world.run(CONTACT_MS);

    for entry in ["entry-a-1", "entry-b-1", "entry-c-1"] {
        world.crash(entry, fatal());
        world.run(SPREAD_MS);
    }

    assert_eq!(world.refusing(fatal()).len(), 6);
}

#[test]
fn a_good_end_at_one_daemon_clears_the_request_at_all() {
    let mut world = three_domains();
    end_three_upstreams(&mut world);

    world.observe("entry-b-1", fatal(), Observation::Cleared);
    world.run(SPREAD_MS);

    assert_eq!(world.refusing(fatal()), []);
}

#[test]
fn one_crash_costs_an_entry_daemon_a_few_messages() {
    // Control costs a daemon 5 KB a second at the most, so nothing may be told on for ever. Each
    // of three control daemons tells the others; an entry daemon listens to one.
    let mut world = three_domains();
    let before = world.crash_messages("entry-b-2");

    world.crash("entry-a-1", fatal());
    world.run(20_000);

    assert_eq!(world.crash_messages("entry-b-2") - before, 3);
}
