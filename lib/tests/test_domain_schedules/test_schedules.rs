//! Random schedules keep every invariant; each deliberate fault violates one.

use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestCaseError,
        TestError,
        TestRng,
        TestRunner, //
    },
};
use rstest::rstest;

use crate::{
    invariants::Invariants,
    schedule::{
        DeliberateFault,
        Fault,
        Schedule,
        schedule, //
    },
    world::World,
};

/// Runs a schedule to its end; returns how often a group was found served by a daemon.
fn run_schedule(schedule: &Schedule, deliberate_fault: DeliberateFault) -> Result<u64, String> {
    let mut world = World::new(schedule, deliberate_fault);
    let mut invariants = Invariants::default();
    while world.step() {
        invariants
            .check(&world)
            .map_err(|broken| format!("at {} ms: {broken}", world.now_ms))?;
    }
    Ok(invariants.groups_served)
}

fn without_faults(daemons: usize) -> Schedule {
    Schedule {
        seed: 1,
        daemons,
        ignores_tokens: 0,
        unannounced: 0,
        faults: Vec::new(),
    }
}

proptest! {
    #![proptest_config(Config { cases: 150, failure_persistence: None, ..Config::default() })]

    /// No daemon may route to a group that isn't whole, or to one VM through two groups.
    /// Daemons are suspended, partitioned and restarted, engines restart and ignore fencing
    /// tokens, and the operator changes the groups, in any order and at once. The invariants
    /// hold after each event because admission needs the table and the announcements to agree.
    #[test]
    fn no_schedule_violates_an_invariant(schedule in schedule()) {
        run_schedule(&schedule, DeliberateFault::None).map_err(TestCaseError::fail)?;
    }
}

#[rstest]
#[case::one_daemon(1)]
#[case::three_daemons(3)]
#[case::five_daemons(5)]
fn groups_are_served_when_nothing_fails(#[case] daemons: usize) {
    let served = run_schedule(&without_faults(daemons), DeliberateFault::None)
        .expect("every invariant holds");

    assert!(served > 0);
}

/// Each engine announces itself to one daemon only. Every daemon still serves all groups,
/// because daemons relay announcements to each other.
#[test]
fn relayed_announcements_serve_at_every_daemon() {
    let schedule = Schedule {
        unannounced: 0xff,
        ..without_faults(3)
    };
    let mut world = World::new(&schedule, DeliberateFault::None);

    while world.step() {}

    for daemon in &world.daemons {
        assert_eq!(daemon.serving.len(), 3, "{}", daemon.id);
    }
}

/// Returns a schedule in which `leader` is partitioned off; the other daemons reach each other
/// and restart at that time if `others_restart`.
fn partitioned_leader(seed: u64, leader: usize, others_restart: bool) -> Schedule {
    let daemons = 3;
    let cut = Fault::Partition {
        daemons: 1 << leader,
        engines: 0,
        length_ms: 9_000,
    };
    let others = (0..daemons).filter(|daemon| others_restart && *daemon != leader);
    let restarts = others.map(|daemon| {
        let length_ms = 50;
        (10_001, Fault::CrashDaemon { daemon, length_ms })
    });
    Schedule {
        seed,
        daemons,
        ignores_tokens: 0xff,
        unannounced: 0,
        faults: std::iter::once((10_000, cut)).chain(restarts).collect(),
    }
}

fn partitioned_leaders(seeds: u64, others_restart: bool) -> impl Iterator<Item = Schedule> {
    let leaders = (0..seeds).flat_map(|seed| (0..3).map(move |leader| (seed, leader)));
    leaders.map(move |(seed, leader)| partitioned_leader(seed, leader, others_restart))
}

/// Two daemons never lead at once, although the old leader is partitioned off and the other
/// daemons may have lost their record of its grants: after a restart they grant nothing until
/// such a lease has ended.
#[rstest]
#[case::others_remember(false)]
#[case::others_restart(true)]
fn a_partitioned_leader_is_never_one_of_two(#[case] others_restart: bool) {
    for schedule in partitioned_leaders(10, others_restart) {
        let outcome = run_schedule(&schedule, DeliberateFault::None);

        assert!(outcome.is_ok(), "{schedule:?}: {outcome:?}");
    }
}

/// Like [`partitioned_leader`], but with the first daemon as the leader more often, whatever
/// its clock: the other daemons are suspended at the start.
fn partitioned_first_daemon(seed: u64) -> Schedule {
    let mut schedule = partitioned_leader(seed, 0, false);
    let sleeps = (1..schedule.daemons).map(|daemon| {
        let length_ms = 6_000;
        (300, Fault::PauseDaemon { daemon, length_ms })
    });
    schedule.faults.extend(sleeps.collect::<Vec<_>>());
    schedule
}

/// The invariants must detect voters that lost their record of grants and grant at once: the
/// domain then has two leaders.
#[test]
fn voters_without_memory_are_detected() {
    let mut outcomes = partitioned_leaders(20, true)
        .map(|schedule| run_schedule(&schedule, DeliberateFault::VoterWithoutMemory));

    let detected = outcomes.find_map(Result::err);

    let message = detected.expect("some schedule shows it");
    assert!(message.contains("hold the lease at once"), "{message}");
}

/// The invariants must detect clocks whose rates differ by more than the configured error: a
/// leader with a slow clock still counts on its lease after the others have granted a new one.
#[test]
fn clocks_beyond_the_configured_error_are_detected() {
    let schedules = (0..100).map(partitioned_first_daemon);
    let mut outcomes =
        schedules.map(|schedule| run_schedule(&schedule, DeliberateFault::ClocksBeyondError));

    let detected = outcomes.find_map(Result::err);

    let message = detected.expect("some schedule shows it");
    assert!(message.contains("hold the lease at once"), "{message}");
}

/// The invariants must detect routing by the table alone, which leads to groups that aren't
/// whole or to one VM through two groups. Some random schedule must show it.
#[test]
fn routing_without_announcements_is_detected() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);

    let outcome = runner.run(&schedule(), |schedule| {
        let outcome = run_schedule(&schedule, DeliberateFault::NoAnnouncementCheck);
        outcome.map(|_| ()).map_err(TestCaseError::fail)
    });

    let Err(TestError::Fail(reason, _)) = outcome else {
        panic!("not detected: {outcome:?}");
    };
    assert!(reason.message().contains("serves"), "{reason}");
}
