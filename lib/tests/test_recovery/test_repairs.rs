//! Repairs after single losses of VMs or fabric domains.

use cicadabend::{
    domain::recovery::{
        RepairKind,
        WaitReason, //
    },
    fleet::{
        RecoveryPolicy,
        RecoverySettings, //
    },
    prelude::*,
};
use rstest::rstest;

use crate::{
    script::{
        Fault,
        Run,
        STEP_MS,
        Script,
        auditorias,
        lanterna,
        scripts, //
    },
    test_properties::checked_step,
};

pub(crate) fn script(fabrics: Vec<(&'static str, u32)>, groups: u32, spares: u32) -> Script {
    Script {
        name: "test",
        fabrics,
        groups,
        vms_per_group: 2,
        spares,
        concurrent_weight_loads: 4,
        faults: Vec::new(),
        end_ms: 0,
    }
}

pub(crate) fn run(script: &Script) -> Run {
    Run::new(script, auditorias(RecoveryPolicy::LowestCost))
}

fn advance(run: &mut Run, length_ms: u64) {
    for _ in 0..length_ms / STEP_MS {
        run.step();
    }
}

fn lose(run: &mut Run, vm: &'static str) {
    run.apply_fault(&Fault::Lose(vm));
}

fn return_vm(run: &mut Run, vm: &'static str, keeps_weights: bool) {
    run.apply_fault(&Fault::Return { vm, keeps_weights });
}

fn kinds(run: &Run) -> Vec<RepairKind> {
    run.outcome.repairs.keys().copied().collect()
}

pub(crate) fn group_of(run: &Run, vm: &str) -> Option<Vec<String>> {
    let mut table = run.table().into_iter();
    let group = table.find(|group| group.members.iter().any(|member| member.as_str() == vm));
    group.map(|group| group.members.iter().map(VmId::to_string).collect())
}

#[test]
fn a_loaded_spare_takes_the_place_of_a_lost_vm() {
    let mut run = run(&script(vec![("f1", 3)], 1, 1));

    lose(&mut run, "f1-0");
    advance(&mut run, 6_000);

    assert_eq!(kinds(&run), [RepairKind::Replace]);
    assert_eq!(group_of(&run, "f1-1").unwrap(), ["f1-2", "f1-1"]);
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn a_late_member_is_waited_for_until_its_lease_ends() {
    // A VM is paused and silent for two seconds, during which routing already avoids it. A
    // repair begun in that time would cost a weight load for nothing.
    let mut run = run(&script(vec![("f1", 3)], 1, 1));

    lose(&mut run, "f1-0");
    advance(&mut run, 2_000);
    let plan = run.decide();
    return_vm(&mut run, "f1-0", true);
    advance(&mut run, 4_000);

    assert_eq!(plan.waits[0].reason, WaitReason::MemberSuspect);
    assert!(run.outcome.repairs.is_empty());
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn of_two_incomplete_groups_one_is_dissolved_to_complete_the_other() {
    let mut run = run(&script(vec![("f1", 4)], 2, 0));

    lose(&mut run, "f1-0");
    lose(&mut run, "f1-2");
    advance(&mut run, 8_000);

    assert_eq!(kinds(&run), [RepairKind::Merge]);
    assert_eq!(run.serving().len(), 1);
    assert_eq!(run.table().len(), 1);
}

#[test]
fn of_three_incomplete_groups_two_are_completed_from_the_third() {
    // Three groups lose a member at the same time. The first is completed from the second. If
    // the second still took part in the same plan, a VM would be in two groups.
    let mut fleet = script(vec![("f1", 9)], 3, 0);
    fleet.vms_per_group = 3;
    let mut run = run(&fleet);

    for vm in ["f1-0", "f1-3", "f1-6"] {
        lose(&mut run, vm);
    }
    for _ in 0..40_000 / STEP_MS {
        checked_step(&mut run);
    }

    assert_eq!(run.serving().len(), 2);
}

#[test]
fn a_serving_group_is_left_alone_whatever_its_members_announce() {
    // Announcements of loaded weights lag. If a free VM that holds the weights replaced a
    // member that doesn't announce them yet, a serving group would go down.
    let mut run = run(&script(vec![("f1", 3)], 1, 1));

    let mut vms = run.vms();
    vms[0].weights.clear();
    let plan = run.decide_for(&vms);

    assert!(plan.changes_nothing(), "{plan:?}");
}

#[test]
fn a_dissolved_group_is_formed_again_when_its_vms_are_back() {
    let mut run = run(&script(vec![("f1", 4)], 2, 0));
    lose(&mut run, "f1-0");
    lose(&mut run, "f1-2");
    advance(&mut run, 8_000);

    return_vm(&mut run, "f1-0", false);
    return_vm(&mut run, "f1-2", false);
    advance(&mut run, 60_000);

    assert_eq!(run.serving().len(), 2);
    assert_eq!(run.outcome.serving_groups_touched, 0);
}

#[test]
fn groups_of_a_lost_fabric_domain_are_rebuilt_elsewhere_and_stay_there() {
    // All VMs of a fabric domain are lost, and its groups are rebuilt from free VMs of another.
    // When the lost VMs return, the rebuilt groups must stay: moving them back would take them
    // down a second time.
    let mut run = run(&script(vec![("f1", 2), ("f2", 4)], 2, 0));
    let lost = group_of(&run, "f1-0").is_some();
    let lost_fabric = if lost { "f1" } else { "f2" };

    run.apply_fault(&Fault::LoseFabric(lost_fabric));
    advance(&mut run, 60_000);
    let rebuilt = run.table();
    run.apply_fault(&Fault::ReturnFabric {
        fabric: lost_fabric,
        keeps_weights: false,
    });
    advance(&mut run, 60_000);

    assert_eq!(run.serving().len(), 2);
    assert_eq!(run.table(), rebuilt);
    assert_eq!(run.outcome.serving_groups_touched, 0);
}

#[test]
fn a_second_loss_during_a_repair_is_repaired_too() {
    // The spare is lost while the group forms with it. No VM may ever be in two groups, and a
    // third VM completes the group.
    let mut run = run(&script(vec![("f1", 4)], 1, 1));

    lose(&mut run, "f1-0");
    advance(&mut run, 4_000);
    run.apply_fault(&Fault::LoseReplacement);
    advance(&mut run, 60_000);

    assert_eq!(run.outcome.repairs[&RepairKind::Replace], 2);
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn a_vm_that_returns_with_its_weights_ends_a_repair_that_still_loads() {
    let mut run = run(&script(vec![("f1", 3)], 1, 0));

    lose(&mut run, "f1-0");
    advance(&mut run, 8_000);
    return_vm(&mut run, "f1-0", true);
    advance(&mut run, 4_000);

    assert_eq!(kinds(&run), [RepairKind::Replace, RepairKind::Restore]);
    assert_eq!(run.serving().len(), 1);
    assert!(group_of(&run, "f1-0").is_some());
}

#[test]
fn a_fabric_domain_that_was_only_paused_takes_its_group_back_before_it_is_rebuilt() {
    // All VMs of a fabric domain are silent for longer than the lease, and return with their
    // weights while the rebuilt group still loads. The group moves back, which ends the outage
    // at once.
    let mut run = run(&script(vec![("f1", 2), ("f2", 2)], 1, 0));

    run.apply_fault(&Fault::LoseFabric("f1"));
    advance(&mut run, 10_000);
    run.apply_fault(&Fault::ReturnFabric {
        fabric: "f1",
        keeps_weights: true,
    });
    advance(&mut run, 4_000);

    assert_eq!(kinds(&run), [RepairKind::Rebuild, RepairKind::Restore]);
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn a_lost_vm_that_returns_after_the_repair_becomes_a_spare() {
    let mut run = run(&script(vec![("f1", 3)], 1, 1));
    lose(&mut run, "f1-0");
    advance(&mut run, 6_000);
    let repaired = run.table();

    return_vm(&mut run, "f1-0", false);
    let plan = run.decide();
    advance(&mut run, 60_000);

    assert_eq!(plan.load_spares[0].vm.as_str(), "f1-0");
    assert_eq!(run.table(), repaired);
}

#[test]
fn the_most_valuable_repair_loads_weights_first() {
    // Two groups lose a member each while the store has capacity for one repair only. The more
    // valuable repair loads first; the other waits and takes no share of the store's rate.
    let mut run = run(&script(vec![("f1", 6)], 2, 0));
    run.config.recovery.concurrent_weight_loads = 1;

    lose(&mut run, "f1-0");
    lose(&mut run, "f1-2");
    advance(&mut run, 3_000);
    let plan = run.step();
    let at_once = run.decide();

    assert_eq!(plan.repairs.len(), 1);
    assert_eq!(at_once.waits[0].reason, WaitReason::WeightStoreBusy);
    advance(&mut run, 70_000);
    assert_eq!(run.outcome.most_loads, 1);
    assert_eq!(run.serving().len(), 2);
}

#[test]
fn a_flapping_vm_joins_no_new_group() {
    let mut run = run(&script(vec![("f1", 4)], 1, 1));
    for _ in 0..3 {
        lose(&mut run, "f1-3");
        advance(&mut run, 5_000);
        return_vm(&mut run, "f1-3", true);
        advance(&mut run, 40_000);
    }

    lose(&mut run, "f1-0");
    advance(&mut run, 40_000);

    assert!(group_of(&run, "f1-3").is_none());
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn earlier_outages_change_the_expected_time_of_return() {
    let mut run = run(&script(vec![("f1", 3)], 1, 0));
    let vm: VmId = "f1-2".parse().unwrap();
    let prior = std::time::Duration::from_secs(60);
    let expected = |run: &Run| {
        let now = Timestamp(run.now_ms);
        run.planner.history().expected_remaining(&vm, prior, now)
    };

    let before = expected(&run);
    lose(&mut run, "f1-2");
    advance(&mut run, 10_000);
    return_vm(&mut run, "f1-2", true);
    advance(&mut run, 10_000);
    let after_short_outage = expected(&run);
    lose(&mut run, "f1-2");
    advance(&mut run, 100_000);
    let while_away = expected(&run);

    assert_eq!(before, prior);
    assert!(after_short_outage < prior);
    assert!(while_away > prior);
}

#[rstest]
#[case(RecoveryPolicy::AlwaysWait, vec![])]
#[case(RecoveryPolicy::AlwaysRebuild, vec![RepairKind::Rebuild])]
#[case(RecoveryPolicy::LowestCost, vec![RepairKind::Replace])]
fn each_policy_chooses_its_kind_of_repair(
    #[case] policy: RecoveryPolicy,
    #[case] expected: Vec<RepairKind>,
) {
    let mut run = Run::new(&script(vec![("f1", 3)], 1, 1), auditorias(policy));

    lose(&mut run, "f1-0");
    advance(&mut run, 20_000);

    assert_eq!(kinds(&run), expected);
}

#[rstest]
#[case(auditorias)]
#[case(lanterna)]
fn lowest_cost_never_costs_more_than_the_better_baseline(
    #[case] settings: fn(RecoveryPolicy) -> RecoverySettings,
) {
    for script in scripts() {
        let cost = |policy| {
            let settings = settings(policy);
            let outcome = Run::new(&script, settings.clone()).run(&script);
            f64::from(settings.group_downtime_weight) * outcome.group_downtime_s
                + f64::from(settings.stranded_accelerator_weight) * outcome.stranded_accelerator_s
        };
        let wait = cost(RecoveryPolicy::AlwaysWait);
        let rebuild = cost(RecoveryPolicy::AlwaysRebuild);
        let lowest = cost(RecoveryPolicy::LowestCost);
        assert!(lowest <= wait.min(rebuild), "{}: {lowest}", script.name);
    }
}
