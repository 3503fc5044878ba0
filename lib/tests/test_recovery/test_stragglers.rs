//! Detection of VMs that are much slower than their peers, and their removal from groups.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cicadabend::{
    domain::{
        placement::StopReason,
        recovery::StragglerDetector, //
    },
    fleet::RecoveryPolicy,
    prelude::*,
};
use rstest::rstest;

use crate::script::{
    Run,
    STEP_MS,
    Script,
    auditorias,
    scripts, //
};

fn step_times(count: u32, slow: &[(u32, u64)]) -> BTreeMap<VmId, Duration> {
    let step_time = |index: u32| {
        let slow = slow.iter().find(|(vm, _)| *vm == index);
        Duration::from_millis(slow.map_or(20, |(_, step_ms)| *step_ms))
    };
    (0..count)
        .map(|index| (vm(index), step_time(index)))
        .collect()
}

fn vm(index: u32) -> VmId {
    format!("vm-{index:02}").parse().unwrap()
}

fn observe(detector: &mut StragglerDetector, rounds: u64, times: &BTreeMap<VmId, Duration>) {
    for round in 0..rounds {
        detector.observe(times, Timestamp(round * 1_000));
    }
}

#[rstest]
#[case::slow(5, &[(3, 60)], vec![vm(3)])]
#[case::not_for_long(4, &[(3, 60)], vec![])]
#[case::a_little_slower(20, &[(3, 30)], vec![])]
#[case::the_ceiling_takes_the_slowest(20, &[(3, 60), (5, 90)], vec![vm(5)])]
fn a_vm_is_ejected_by_comparison_with_its_peers(
    #[case] rounds: u64,
    #[case] slow: &[(u32, u64)],
    #[case] expected: Vec<VmId>,
) {
    let mut detector = StragglerDetector::default();

    observe(&mut detector, rounds, &step_times(10, slow));

    let ejected: Vec<VmId> = detector.ejected().into_iter().cloned().collect();
    assert_eq!(ejected, expected);
}

#[test]
fn no_vm_is_ejected_when_all_are_equally_slow() {
    let mut detector = StragglerDetector::default();
    let all: Vec<(u32, u64)> = (0..10).map(|index| (index, 500)).collect();

    observe(&mut detector, 20, &step_times(10, &all));

    assert!(detector.ejected().is_empty());
}

#[test]
fn no_vm_is_ejected_with_too_few_peers() {
    let mut detector = StragglerDetector::default();

    observe(&mut detector, 20, &step_times(4, &[(0, 900)]));

    assert!(detector.ejected().is_empty());
}

#[test]
fn an_ejected_vm_comes_back_and_is_ejected_for_longer_if_it_is_still_slow() {
    let mut detector = StragglerDetector::default();
    let times = step_times(10, &[(3, 60)]);
    let mut out_at = Vec::new();

    for second in 0..2_000 {
        detector.observe(&times, Timestamp(second * 1_000));
        out_at.push(!detector.ejected().is_empty());
    }

    let runs = out_at.chunk_by(|a, b| a == b);
    let out: Vec<usize> = runs.filter(|run| run[0]).map(<[bool]>::len).collect();
    assert_eq!(out[..2], [300, 600]);
}

fn fleet(spares: u32, vms: u32) -> Run {
    let script = Script {
        fabrics: vec![("f1", vms)],
        groups: 2,
        spares,
        ..scripts().remove(0)
    };
    Run::new(&script, auditorias(RecoveryPolicy::LowestCost))
}

fn slow_down(run: &mut Run, slow: &VmId) {
    let times: BTreeMap<VmId, Duration> = run
        .vms()
        .into_iter()
        .map(|seen| {
            let step_ms = if seen.vm == *slow { 90 } else { 20 };
            (seen.vm, Duration::from_millis(step_ms))
        })
        .collect();
    for round in 0..5 {
        let now = Timestamp(run.now_ms + round);
        run.planner.observe_step_times(&times, now);
    }
}

#[test]
fn a_slow_member_is_drained_when_a_loaded_spare_exists() {
    let mut run = fleet(1, 9);
    let slow = run.table()[0].members[0].clone();

    slow_down(&mut run, &slow);
    let plan = run.decide();

    assert_eq!(plan.stop[0].reason, StopReason::MemberDrained);
    assert!(plan.repairs.is_empty(), "a serving group ends gracefully");
    for _ in 0..6_000 / STEP_MS {
        run.step();
    }
    let table = run.table();
    assert!(table.iter().all(|group| !group.members.contains(&slow)));
    assert_eq!(run.serving().len(), 2);
}

#[rstest]
#[case::no_vm_is_free(8)]
#[case::the_free_vm_lacks_the_weights(9)]
fn a_slow_member_stays_when_its_group_could_not_form_at_once(#[case] vms: u32) {
    // No spare with loaded weights exists. Requests on the slow replica take longer, but
    // without it they would queue for the other replicas, which serve fewer in all.
    let mut run = fleet(0, vms);
    let slow = run.table()[0].members[0].clone();

    slow_down(&mut run, &slow);
    let plan = run.decide();

    assert!(plan.changes_nothing(), "{plan:?}");
}
