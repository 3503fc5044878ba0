//! Random schedules of the replicated log, with all safety properties checked after every event.
//!
//! Messages are lost, delayed, duplicated and reordered; processes pause, resume, crash and
//! lose unsynced records or their disk; clocks differ within the allowed error; voters change.
//! Checked properties: a term has one leader; committed entries never change and are on the
//! disks of a majority; logs that share a position are equal up to it; state machines apply the
//! same entries in order and never go back over a restart; a proposal reported as failed is never
//! committed; reads show everything that was shown before they began.

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
    InjectedFault,
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
    fault: InjectedFault,
    schedule: &[Step],
) -> Result<Cluster, Violation> {
    let mut cluster = Cluster::new(size, settings(read_mode), fault);
    for step in schedule {
        cluster.step(step)?;
    }
    Ok(cluster)
}

/// Runs random schedules; returns the shortest failing one found, with the violation.
fn search(
    size: usize,
    read_mode: ReadMode,
    fault: InjectedFault,
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
fn no_random_schedule_violates_a_safety_property(
    #[case] size: usize,
    #[case] read_mode: ReadMode,
    #[case] seed: u64,
) {
    if let Err((violation, schedule)) = search(size, read_mode, InjectedFault::None, 400, seed) {
        panic!("{violation}\n{schedule:#?}");
    }
}

// Guards against checks that cannot fail: with an injected fault the same search must find a
// violation and shrink it to fewer than 40 steps.
#[rstest]
#[case::ack_before_sync(InjectedFault::AckBeforeSync)]
#[case::lost_disk_keeps_its_number(InjectedFault::LostDiskKeepsItsNumber)]
fn an_injected_fault_is_found(#[case] fault: InjectedFault) {
    let (violation, schedule) = search(3, ReadMode::Quorum, fault, 1_000, 5).unwrap_err();

    println!("{violation}\n{schedule:?}");
    assert!(schedule.len() < 40, "{} steps", schedule.len());
}

// Guards against quorum reads that depend on clocks: one clock runs far slower than allowed, which
// breaks lease reads only.
#[test]
fn quorum_reads_do_not_depend_on_clocks() {
    let outcome = search(3, ReadMode::Quorum, InjectedFault::SlowClock, 400, 6);
    assert!(outcome.is_ok(), "{outcome:#?}");
}

// Guards against schedules with too many faults: most must commit something, and many serve reads.
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
        let cluster = run(3, ReadMode::Quorum, InjectedFault::None, &schedule).unwrap();
        committing += usize::from(!cluster.answered.is_empty());
        reading += usize::from(!cluster.reads_ready.is_empty());
    }
    println!("{committing} of 50 schedules commit, {reading} serve reads");
    assert!(committing >= 25 && reading >= 15, "{committing} {reading}");
}
