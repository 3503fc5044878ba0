//! Control daemons are cut from each other while entry daemons reach all of them.

use std::time::Duration;

use crate::world::{
    World,
    daemon, //
};

/// How long daemons may take to find out who still hears whom.
const NOTICED_MS: u64 = 3_000;
/// How long entry daemons may go on sending to an upstream that has said that it leaves.
const LEAVING_MS: u64 = 2_000;
/// Upstreams that are silent for longer are in doubt.
const DOUBT: Duration = Duration::from_millis(2_600);

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
fn upstreams_that_report_to_the_other_side_of_a_cut_are_not_in_doubt() {
    // Callers of one domain crowd onto few upstreams, because all that report to the other
    // control daemons seem to be silent: their signs of life went to those only.
    let mut world = one_apart();

    world.run(10_000);

    let silence = world.longest_silence("u-1").unwrap();
    assert!(silence < DOUBT, "{silence:?}");
}

#[test]
fn a_new_upstream_is_used_by_all_domains_during_a_cut() {
    // Callers of one domain wait for room while an upstream that has just come stands idle.
    let mut world = one_apart();

    world.add_upstream("u-2", "control-c");
    world.run(LEAVING_MS);

    assert_eq!(world.knowing("u-2").len(), 6);
}

#[test]
fn what_only_the_lone_control_daemon_hears_reaches_all_domains() {
    // An upstream turns to the control daemon that is apart and tells it that it leaves;
    // the other domains' entry daemons reach that daemon too.
    let mut world = one_apart();
    world.report_elsewhere("u-1", "control-a");

    world.drain("u-1");
    world.run(LEAVING_MS);

    assert_eq!(world.sending_to("u-1"), []);
}

#[test]
fn two_control_daemons_that_a_third_hears_may_be_cut_from_each_other() {
    // The cut is between two daemons only; a third hears both, and passes on to neither
    // what the other was told.
    let mut world = three_domains();
    world.cut("control-a", "control-b");
    world.run(NOTICED_MS);

    world.drain("u-1");
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
fn halves_of_four_control_daemons_hide_no_leaving_from_each_other() {
    // Neither half has a majority; entry daemons of both reach all four.
    let mut world = World::new(&["a", "b", "c", "d"]);
    world.add_upstream("u-1", "control-c");
    world.run(5_000);
    for one in ["control-a", "control-b"] {
        for other in ["control-c", "control-d"] {
            world.cut(one, other);
        }
    }
    world.run(NOTICED_MS);

    world.drain("u-1");
    world.run(LEAVING_MS);

    assert_eq!(world.sending_to("u-1"), []);
}

#[test]
fn a_leaving_during_a_cut_is_known_to_the_lone_control_daemon_after_it() {
    // The cut ends long after an upstream has left, and the entry daemons of the domain
    // that was apart take reports from its control daemon again: it must not bring back
    // what it alone still takes for living.
    let mut world = one_apart();
    world.leave("u-1");
    world.run(10_000);

    world.heal();
    world.run(10_000);

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

#[test]
fn a_cut_of_minutes_ends_no_upstream_that_lives() {
    // After a failure domain was cut off for some minutes, callers of all domains are refused
    // for up to two more: each side had taken the other's upstreams for ended, told so to the
    // other side, and refused their reports as late ones. Silence is no end; it is only all
    // that one side knows.
    let mut world = three_domains();
    world.add_upstream("u-2", "control-a");
    world.run(2_000);
    for near in ["control-a", "entry-a-1", "entry-a-2"] {
        for far in ["control-b", "control-c", "entry-b-1", "entry-c-1"] {
            world.cut(near, far);
        }
    }
    world.run(100_000);

    world.heal();
    world.run(5_000);

    assert_eq!(world.sending_to("u-1").len(), 6);
    assert_eq!(world.sending_to("u-2").len(), 6);
}

#[test]
fn an_upstream_stopped_for_minutes_is_used_again() {
    // An upstream's process is stopped and goes on after two minutes, under its old number.
    let mut world = three_domains();
    world.pause_upstream("u-1", 120_000);
    world.run(119_000);
    assert_eq!(world.knowing("u-1"), []);

    world.run(5_000);

    assert_eq!(world.sending_to("u-1").len(), 6);
}

#[test]
fn an_upstream_that_leaves_by_name_at_a_daemon_that_does_not_know_it_is_gone_everywhere() {
    // A control daemon was started anew a moment ago and knows no upstream yet. One says to
    // it that it leaves, and gives its name only, not when it started.
    let mut world = World::new(&["a", "b"]);
    world.add_upstream_born("u-1", "control-b", 1_700_000_000_000);
    world.run(5_000);
    world.restart_control("control-a");

    world.leave_at("u-1", "control-a");
    world.run(LEAVING_MS);

    assert_eq!(world.sending_to("u-1"), []);
}
