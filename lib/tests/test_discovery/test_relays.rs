//! Which relays control daemons name to entry daemons.

use std::collections::BTreeSet;

use cicadabend::reach::LinkGroup;

use crate::world::World;

/// The time within which a change at one daemon must be known to the others: hellos in both directions.
const KNOWN_MS: u64 = 1_000;
/// The time after which a silent daemon must no longer be named.
const SILENT_MS: u64 = 3_000;
const ENTRIES: [&str; 6] = [
    "entry-a-1",
    "entry-a-2",
    "entry-b-1",
    "entry-b-2",
    "entry-c-1",
    "entry-c-2",
];

fn group() -> LinkGroup {
    LinkGroup {
        service: "llm".parse().unwrap(),
        failure_domain: "a".parse().unwrap(),
    }
}

fn with_offers() -> World {
    let mut world = World::new(&["a", "b", "c"]);
    for entry in ENTRIES {
        world.offer_relay(entry, Vec::new());
    }
    world.run(SILENT_MS);
    world
}

fn names(world: &World, entry: &str) -> BTreeSet<String> {
    let relays = world.relays(entry).iter();
    relays.map(|relay| relay.daemon.to_string()).collect()
}

/// Guards against a daemon that has to ask for relays once its links are lost.
#[test]
fn each_entry_daemon_knows_the_others_before_it_needs_them() {
    let world = with_offers();

    for entry in ENTRIES {
        let others = ENTRIES.iter().filter(|other| **other != entry);
        let others: BTreeSet<String> = others.map(|other| (*other).to_owned()).collect();
        assert_eq!(names(&world, entry), others, "{entry}");
    }
}

/// Guards against traffic that repeats what has not changed.
#[test]
fn relays_are_named_again_only_after_a_change() {
    let mut world = with_offers();
    let before = world.relay_messages("entry-a-1");

    world.run(10_000);

    assert_eq!(world.relay_messages("entry-a-1"), before);
}

/// Guards against requests that are given to a relay whose links are lost too.
#[test]
fn lost_links_of_a_relay_are_known_to_the_others_soon() {
    let mut world = with_offers();

    world.offer_relay("entry-b-1", vec![group()]);
    world.run(KNOWN_MS);
    let while_lost: Vec<bool> = ["entry-a-1", "entry-b-2", "entry-c-1"]
        .iter()
        .map(|entry| {
            let mut relays = world.relays(entry).iter();
            relays.any(|relay| relay.daemon.as_str() == "entry-b-1" && relay.has_lost(&group()))
        })
        .collect();
    world.offer_relay("entry-b-1", Vec::new());
    world.run(KNOWN_MS);

    assert_eq!(while_lost, [true, true, true]);
    let mut relays = world.relays("entry-a-1").iter();
    assert!(!relays.any(|relay| relay.has_lost(&group())));
}

/// Guards against relays that have ended and cost each request a connection.
#[test]
fn a_silent_daemon_is_no_longer_named() {
    let mut world = with_offers();

    for control in ["control-a", "control-b", "control-c"] {
        world.cut("entry-b-1", control);
    }
    world.run(SILENT_MS);

    assert!(!names(&world, "entry-a-1").contains("entry-b-1"));
}

/// Guards against a daemon that forgets its relays when it loses control as well.
#[test]
fn relays_stay_known_while_control_is_out_of_reach() {
    let mut world = with_offers();

    for control in ["control-a", "control-b", "control-c"] {
        world.cut("entry-b-1", control);
    }
    world.run(SILENT_MS);

    assert_eq!(names(&world, "entry-b-1").len(), ENTRIES.len() - 1);
}
