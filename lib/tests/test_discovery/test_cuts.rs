//! Propagation of upstream reports while links between control daemons are cut.

use std::time::Duration;

use crate::world::{
    World,
    daemon, //
};

/// The time within which daemons must detect which control daemons still reach each other.
const DETECTION_MS: u64 = 3_000;
/// The time within which a report must reach all entry daemons, e.g. that an upstream leaves.
const PROPAGATION_MS: u64 = 2_000;
/// The silence after which entry daemons no longer trust that an upstream is alive.
const DOUBT_LIMIT: Duration = Duration::from_millis(2_600);

/// Returns three failure domains and an upstream that reports to the second one's control daemon.
fn three_domains() -> World {
    let mut world = World::new(&["a", "b", "c"]);
    world.add_upstream("u-1", "control-b");
    world.run(5_000);
    assert_eq!(world.daemons_sending_to("u-1").len(), 6);
    world
}

/// Cuts off one control daemon of three from the other two, and waits until that is detected.
fn isolate_one_control() -> World {
    let mut world = three_domains();
    world.cut("control-a", "control-b");
    world.cut("control-a", "control-c");
    world.run(DETECTION_MS);
    world
}

#[test]
fn a_draining_upstream_gets_nothing_from_a_domain_whose_control_daemon_is_isolated() {
    // The control daemon of one domain is cut off from the other two, one of which learns that an
    // upstream leaves. The entry daemons of that domain reach all three. If they took reports only
    // from the nearest one, they would send requests to the leaving upstream until the partition
    // ends, and callers would get errors. Elsewhere the report arrived within 63 ms.
    let mut world = isolate_one_control();

    world.start_draining("u-1");
    world.run(PROPAGATION_MS);

    assert_eq!(world.daemons_sending_to("u-1"), []);
}

#[test]
fn an_upstream_that_has_left_gets_nothing_from_a_domain_whose_control_daemon_is_isolated() {
    // As above, with an upstream that announces its leaving without draining first.
    let mut world = isolate_one_control();

    world.announce_leaving("u-1");
    world.run(PROPAGATION_MS);

    assert_eq!(world.daemons_sending_to("u-1"), []);
}

#[test]
fn upstreams_that_report_to_the_other_side_of_a_partition_are_not_in_doubt() {
    // Signs of life of upstreams that report to other control daemons would not reach the domain of
    // the isolated one. Its entry daemons would take them for silent and send all requests to the
    // few remaining upstreams.
    let mut world = isolate_one_control();

    world.run(10_000);

    let silence = world.longest_silence("u-1").unwrap();
    assert!(silence < DOUBT_LIMIT, "{silence:?}");
}

#[test]
fn a_new_upstream_is_known_to_all_domains_during_a_partition() {
    // If one domain missed a new upstream, its callers would wait while the upstream is idle.
    let mut world = isolate_one_control();

    world.add_upstream("u-2", "control-c");
    world.run(PROPAGATION_MS);

    assert_eq!(world.daemons_knowing("u-2").len(), 6);
}

#[test]
fn a_report_to_the_isolated_control_daemon_reaches_all_domains() {
    // An upstream switches to the isolated control daemon and reports to it that it leaves; the
    // entry daemons of the other domains reach that control daemon, too.
    let mut world = isolate_one_control();
    world.report_to("u-1", "control-a");

    world.start_draining("u-1");
    world.run(PROPAGATION_MS);

    assert_eq!(world.daemons_sending_to("u-1"), []);
}

#[test]
fn a_cut_between_two_control_daemons_that_a_third_reaches_hides_no_leaving() {
    // Only the link between two control daemons is cut. The third one reaches both, but doesn't
    // relay the reports of one to the other.
    let mut world = three_domains();
    world.cut("control-a", "control-b");
    world.run(DETECTION_MS);

    world.start_draining("u-1");
    world.run(PROPAGATION_MS);

    assert_eq!(world.daemons_sending_to("u-1"), []);
}

#[test]
fn a_link_cut_in_one_direction_hides_no_leaving() {
    // Messages from one control daemon to another are lost, but not those in the other direction.
    // A daemon that gets no messages from another one relays no reports to it, so neither gets the
    // other's reports.
    let mut world = three_domains();
    world.cut_one_way("control-a", "control-b");
    world.run(DETECTION_MS);

    world.start_draining("u-1");
    world.run(PROPAGATION_MS);

    assert_eq!(world.daemons_sending_to("u-1"), []);
}

#[test]
fn a_partition_into_two_halves_hides_no_leaving() {
    // Neither half has a majority; entry daemons of both reach all four.
    let mut world = World::new(&["a", "b", "c", "d"]);
    world.add_upstream("u-1", "control-c");
    world.run(5_000);
    for one in ["control-a", "control-b"] {
        for other in ["control-c", "control-d"] {
            world.cut(one, other);
        }
    }
    world.run(DETECTION_MS);

    world.start_draining("u-1");
    world.run(PROPAGATION_MS);

    assert_eq!(world.daemons_sending_to("u-1"), []);
}

#[test]
fn an_isolated_control_daemon_learns_of_a_leaving_after_the_partition() {
    // The partition ends long after an upstream has left, and the entry daemons of the isolated
    // domain get reports from its control daemon again. That daemon missed the end and must not
    // bring the upstream back.
    let mut world = isolate_one_control();
    world.announce_leaving("u-1");
    world.run(10_000);

    world.heal();
    world.run(10_000);

    assert_eq!(world.daemons_sending_to("u-1"), []);
}

#[test]
fn entry_daemons_get_each_report_once_while_no_link_is_cut() {
    // Each further source costs an entry daemon the same traffic again, and control traffic may
    // cost it at most 5 KB/s in all.
    let mut world = three_domains();
    let before = world.upstream_messages("entry-a-1");

    world.run(12_000);

    // One upstream reports every 1.2 s, so ten signs of life come in 12 s.
    assert_eq!(world.upstream_messages("entry-a-1") - before, 10);
}

#[test]
fn entry_daemons_return_to_one_source_after_a_partition() {
    let mut world = isolate_one_control();
    world.heal();
    world.run(5_000);
    let before = world.upstream_messages("entry-a-1");

    world.run(12_000);

    assert_eq!(world.upstream_messages("entry-a-1") - before, 10);
}

#[test]
fn entry_daemons_that_reach_only_the_isolated_control_daemon_use_its_reports() {
    // A whole domain is isolated; its entry daemons serve by the reports of its control daemon.
    let mut world = three_domains();
    world.add_upstream("u-2", "control-a");
    for near in ["control-a", "entry-a-1", "entry-a-2"] {
        for far in ["control-b", "control-c"] {
            world.cut(near, far);
        }
    }
    world.run(DETECTION_MS);

    world.start_draining("u-2");
    world.run(PROPAGATION_MS);

    let still = world.daemons_sending_to("u-2");
    assert!(!still.contains(&daemon("entry-a-1")), "{still:?}");
    assert!(!still.contains(&daemon("entry-a-2")), "{still:?}");
}

#[test]
fn live_upstreams_are_used_again_after_a_partition_of_minutes() {
    // If silent upstreams were recorded as ended during a partition of minutes, each side would
    // afterwards send these ends to the other and refuse the upstreams' reports as late ones.
    // Callers of all domains would be refused for up to two more minutes.
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

    assert_eq!(world.daemons_sending_to("u-1").len(), 6);
    assert_eq!(world.daemons_sending_to("u-2").len(), 6);
}

#[test]
fn an_upstream_stopped_for_minutes_is_used_again() {
    // An upstream's process is stopped and continues after two minutes as the same instance.
    let mut world = three_domains();
    world.pause_reports("u-1", 120_000);
    world.run(119_000);
    assert_eq!(world.daemons_knowing("u-1"), []);

    world.run(5_000);

    assert_eq!(world.daemons_sending_to("u-1").len(), 6);
}

#[test]
fn a_leaving_announced_by_name_to_a_daemon_without_reports_reaches_all_daemons() {
    // A control daemon has just restarted and knows no upstream yet. An upstream announces to it
    // that it leaves, with its name only and without its start time.
    let mut world = World::new(&["a", "b"]);
    world.add_upstream_started_at("u-1", "control-b", 1_700_000_000_000);
    world.run(5_000);
    world.restart_control("control-a");

    world.announce_leaving_to("u-1", "control-a");
    world.run(PROPAGATION_MS);

    assert_eq!(world.daemons_sending_to("u-1"), []);
}
