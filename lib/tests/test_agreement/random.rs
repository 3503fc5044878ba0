//! The agreement under random schedules, checked after every event.
//!
//! Messages are lost, late, doubled and reordered; processes stop, go on, die and
//! lose what they had not synced, or their disk; clocks differ within the allowed
//! error; voters change. After every event: one leader a term, committed entries
//! never change and are on the disks of a majority, equal positions mean equal logs,
//! state machines apply the same entries in order and never go back over a restart,
//! who was told "not done" is right, and reads show what was shown before.

use cicadabend::agreement::{
    ReadMode,
    Settings, //
};
use proptest::test_runner::{
    Config,
    RngSeed,
    TestCaseError,
    TestError,
    TestRunner, //
};
use rstest::rstest;

use super::cluster::{
    Cluster,
    PlantedFault,
    Step,
    Violation,
    steps, //
};

const MOST_STEPS: usize = 250;

fn settings(read_mode: ReadMode) -> Settings {
    Settings {
        read_mode,
        trailing_entries: 2,
        appends_in_flight: 3,
        append_limit_bytes: 100,
        ..Settings::default()
    }
}

fn run(
    size: usize,
    read_mode: ReadMode,
    fault: PlantedFault,
    schedule: &[Step],
) -> Result<Cluster, Violation> {
    let mut cluster = Cluster::new(size, settings(read_mode), fault);
    for step in schedule {
        cluster.step(step)?;
    }
    Ok(cluster)
}

/// Returns the shortest failing schedule found, with what it violates.
fn search(
    size: usize,
    read_mode: ReadMode,
    fault: PlantedFault,
    cases: u32,
    seed: u64,
) -> Result<(), (Violation, Vec<Step>)> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&steps(MOST_STEPS), |schedule| {
        let done = run(size, read_mode, fault, &schedule);
        done.map(|_| ()).map_err(TestCaseError::fail)
    });
    match outcome {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, schedule)) => Err((reason.to_string(), schedule)),
        Err(TestError::Abort(reason)) => panic!("the search was aborted: {reason}"),
    }
}

#[rstest]
#[case::three_quorum_reads(3, ReadMode::Quorum, 1)]
#[case::three_lease_reads(3, ReadMode::Lease, 2)]
#[case::five_quorum_reads(5, ReadMode::Quorum, 3)]
#[case::five_lease_reads(5, ReadMode::Lease, 4)]
fn nothing_is_violated(#[case] size: usize, #[case] read_mode: ReadMode, #[case] seed: u64) {
    if let Err((violation, schedule)) = search(size, read_mode, PlantedFault::None, 400, seed) {
        panic!("{violation}\n{schedule:#?}");
    }
}

// The checks must be able to fail: with a fault planted on purpose the same search
// finds a violation and shrinks it to a schedule that a person can follow.
#[rstest]
#[case::ack_before_sync(PlantedFault::AckBeforeSync)]
#[case::lost_disk_keeps_its_number(PlantedFault::LostDiskKeepsItsNumber)]
fn a_planted_fault_is_found(#[case] fault: PlantedFault) {
    let (violation, schedule) = search(3, ReadMode::Quorum, fault, 1_000, 5).unwrap_err();

    println!("{violation}\n{schedule:?}");
    assert!(schedule.len() < 40, "{} steps", schedule.len());
}

// A clock far too slow breaks lease reads only: reads by quorum do not look at it.
#[test]
fn quorum_reads_do_not_depend_on_clocks() {
    let outcome = search(3, ReadMode::Quorum, PlantedFault::SlowClock, 400, 6);
    assert!(outcome.is_ok(), "{outcome:#?}");
}

// Schedules are of use only if they let the cluster work: most must commit something.
#[test]
fn random_schedules_commit_and_read() {
    use proptest::strategy::{
        Strategy,
        ValueTree, //
    };
    let config = Config {
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let (mut committing, mut reading) = (0, 0);
    for _ in 0..50 {
        let schedule = steps(MOST_STEPS).new_tree(&mut runner).unwrap().current();
        let cluster = run(3, ReadMode::Quorum, PlantedFault::None, &schedule).unwrap();
        committing += usize::from(!cluster.answered.is_empty());
        reading += usize::from(!cluster.reads_ready.is_empty());
    }
    println!("{committing} of 50 schedules commit, {reading} serve reads");
    assert!(committing >= 25 && reading >= 15, "{committing} {reading}");
}
