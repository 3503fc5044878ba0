//! Control daemons are cut from each other while entry daemons reach all of them.

use crate::world::{
    World,
    daemon, //
};

/// How long daemons may take to find out who still hears whom.
const NOTICED_MS: u64 = 3_000;
/// How long entry daemons may go on sending to an upstream that has said that it leaves.
const LEAVING_MS: u64 = 2_000;

/// Returns three failure domains with an upstream that reports in the second.
fn three_domains() -> World {
    let mut world = World::new(&["a", "b", "c"]);
    world.add_upstream("u-1", "control-b");
    world.run(5_000);
    assert_eq!(world.sending_to("u-1").len(), 6);
    world
}

/// Cuts one control daemon of three off from the others, and waits until that is noticed.
fn one_apart() -> World {
    let mut world = three_domains();
    world.cut("control-a", "control-b");
    world.cut("control-a", "control-c");
    world.run(NOTICED_MS);
    world
}

#[test]
fn a_leaving_upstream_gets_nothing_from_a_domain_whose_control_daemon_is_apart() {
    // Callers get failures from an upstream that has gone. The control daemon of one domain
    // is cut off from the other two, which acknowledge that an upstream leaves; that
    // domain's entry daemons reach all three, but took reports from the nearest one only.
    // Evidence: the entry daemons elsewhere had the report within 63 ms, these had the
    // upstream's first one until the cut ended.
    let mut world = one_apart();

    world.drain("u-1");
    world.run(LEAVING_MS);

    assert_eq!(world.sending_to("u-1"), []);
}

#[test]
fn an_upstream_that_has_left_gets_nothing_from_a_domain_whose_control_daemon_is_apart() {
    // As above, with an upstream that says so only as it goes.
    let mut world = one_apart();

    world.leave("u-1");
    world.run(LEAVING_MS);

    assert_eq!(world.sending_to("u-1"), []);
}

#[test]
fn a_link_that_is_dead_in_one_direction_hides_no_leaving() {
    // One control daemon hears another and is not heard by it, so neither is told by it
    // what upstreams report.
    let mut world = three_domains();
    world.cut_one_way("control-a", "control-b");
    world.run(NOTICED_MS);

    world.drain("u-1");
    world.run(LEAVING_MS);

    assert_eq!(world.sending_to("u-1"), []);
}

#[test]
fn entry_daemons_get_reports_once_while_nothing_is_cut() {
    // Each further source costs an entry daemon as many bytes again, of 5 KB a second that
    // it may use in all.
    let mut world = three_domains();
    let before = world.news_messages("entry-a-1");

    world.run(12_000);

    // One upstream reports every 1.2 s, so ten signs of life come in 12 s.
    assert_eq!(world.news_messages("entry-a-1") - before, 10);
}

#[test]
fn entry_daemons_go_back_to_one_source_after_a_cut() {
    let mut world = one_apart();
    world.heal();
    world.run(5_000);
    let before = world.news_messages("entry-a-1");

    world.run(12_000);

    assert_eq!(world.news_messages("entry-a-1") - before, 10);
}

#[test]
fn an_entry_daemon_that_reaches_only_the_lone_control_daemon_goes_on_by_it() {
    // A whole domain is cut off: its entry daemons serve by what its own control daemon says.
    let mut world = three_domains();
    world.add_upstream("u-2", "control-a");
    for near in ["control-a", "entry-a-1", "entry-a-2"] {
        for far in ["control-b", "control-c"] {
            world.cut(near, far);
        }
    }
    world.run(NOTICED_MS);

    world.drain("u-2");
    world.run(LEAVING_MS);

    let still = world.sending_to("u-2");
    assert!(!still.contains(&daemon("entry-a-1")), "{still:?}");
    assert!(!still.contains(&daemon("entry-a-2")), "{still:?}");
}
