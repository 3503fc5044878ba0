//! One loss after the other, and what the planner does about it.

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

fn pass(run: &mut Run, length_ms: u64) {
    for _ in 0..length_ms / STEP_MS {
        run.step();
    }
}

fn lose(run: &mut Run, vm: &'static str) {
    run.suffer(&Fault::Lose(vm));
}

fn bring_back(run: &mut Run, vm: &'static str, keeps_weights: bool) {
    run.suffer(&Fault::Return { vm, keeps_weights });
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
    pass(&mut run, 6_000);

    assert_eq!(kinds(&run), [RepairKind::Replace]);
    assert_eq!(group_of(&run, "f1-1").unwrap(), ["f1-2", "f1-1"]);
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn a_late_member_is_waited_for_until_its_lease_ends() {
    // The caller's next request goes elsewhere while one VM is silent for two seconds.
    // The VM was only paused; a repair begun in that time would cost a weight load.
    let mut run = run(&script(vec![("f1", 3)], 1, 1));

    lose(&mut run, "f1-0");
    pass(&mut run, 2_000);
    let plan = run.decide();
    bring_back(&mut run, "f1-0", true);
    pass(&mut run, 4_000);

    assert_eq!(plan.waits[0].reason, WaitReason::MemberSuspect);
    assert!(run.outcome.repairs.is_empty());
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn of_two_incomplete_groups_one_is_broken_to_complete_the_other() {
    let mut run = run(&script(vec![("f1", 4)], 2, 0));

    lose(&mut run, "f1-0");
    lose(&mut run, "f1-2");
    pass(&mut run, 8_000);

    assert_eq!(kinds(&run), [RepairKind::Merge]);
    assert_eq!(run.serving().len(), 1);
    assert_eq!(run.table().len(), 1);
}

#[test]
fn of_three_incomplete_groups_two_are_completed_from_the_third() {
    // Three groups lose a member in the same moment. The first is completed from the
    // second; if the second still took part in the same plan, a VM would stand in two.
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
    // Announcements of weights lag. A group that serves would go down if a free VM
    // that holds the weights took the place of a member that does not say so yet.
    let mut run = run(&script(vec![("f1", 3)], 1, 1));

    let mut vms = run.vms();
    vms[0].weights.clear();
    let plan = run.decide_with(&vms);

    assert!(plan.changes_nothing(), "{plan:?}");
}

#[test]
fn a_broken_group_is_formed_again_when_its_vms_are_back() {
    let mut run = run(&script(vec![("f1", 4)], 2, 0));
    lose(&mut run, "f1-0");
    lose(&mut run, "f1-2");
    pass(&mut run, 8_000);

    bring_back(&mut run, "f1-0", false);
    bring_back(&mut run, "f1-2", false);
    pass(&mut run, 60_000);

    assert_eq!(run.serving().len(), 2);
    assert_eq!(run.outcome.serving_groups_touched, 0);
}

#[test]
fn groups_of_a_dark_fabric_domain_are_rebuilt_elsewhere_and_stay_there() {
    // Callers wait while a whole fabric domain is dark; its groups are rebuilt from free
    // VMs of another one. When all comes back at once, what was rebuilt must go on
    // serving: moving it back would take it down a second time.
    let mut run = run(&script(vec![("f1", 2), ("f2", 4)], 2, 0));
    let lost = group_of(&run, "f1-0").is_some();
    let dark = if lost { "f1" } else { "f2" };

    run.suffer(&Fault::LoseFabric(dark));
    pass(&mut run, 60_000);
    let rebuilt = run.table();
    run.suffer(&Fault::ReturnFabric {
        fabric: dark,
        keeps_weights: false,
    });
    pass(&mut run, 60_000);

    assert_eq!(run.serving().len(), 2);
    assert_eq!(run.table(), rebuilt);
    assert_eq!(run.outcome.serving_groups_touched, 0);
}

#[test]
fn the_second_loss_during_a_repair_is_repaired_anew() {
    // The spare dies while the group forms around it. The caller sees one longer
    // outage; no VM may ever stand in two groups, and the third VM ends the outage.
    let mut run = run(&script(vec![("f1", 4)], 1, 1));

    lose(&mut run, "f1-0");
    pass(&mut run, 4_000);
    run.suffer(&Fault::LoseReplacement);
    pass(&mut run, 60_000);

    assert_eq!(run.outcome.repairs[&RepairKind::Replace], 2);
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn a_vm_that_returns_with_its_weights_ends_a_repair_that_still_loads() {
    let mut run = run(&script(vec![("f1", 3)], 1, 0));

    lose(&mut run, "f1-0");
    pass(&mut run, 8_000);
    bring_back(&mut run, "f1-0", true);
    pass(&mut run, 4_000);

    assert_eq!(kinds(&run), [RepairKind::Replace, RepairKind::Restore]);
    assert_eq!(run.serving().len(), 1);
    assert!(group_of(&run, "f1-0").is_some());
}

#[test]
fn a_fabric_domain_that_was_only_paused_takes_its_group_back_before_it_is_rebuilt() {
    // A whole fabric domain is silent for longer than the lease, and the rebuilt group
    // still loads when it is back with its weights. The callers' wait ends at once.
    let mut run = run(&script(vec![("f1", 2), ("f2", 2)], 1, 0));

    run.suffer(&Fault::LoseFabric("f1"));
    pass(&mut run, 10_000);
    run.suffer(&Fault::ReturnFabric {
        fabric: "f1",
        keeps_weights: true,
    });
    pass(&mut run, 4_000);

    assert_eq!(kinds(&run), [RepairKind::Rebuild, RepairKind::Restore]);
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn a_lost_vm_that_returns_after_the_repair_becomes_a_spare() {
    let mut run = run(&script(vec![("f1", 3)], 1, 1));
    lose(&mut run, "f1-0");
    pass(&mut run, 6_000);
    let repaired = run.table();

    bring_back(&mut run, "f1-0", false);
    let plan = run.decide();
    pass(&mut run, 60_000);

    assert_eq!(plan.load_spares[0].vm.as_str(), "f1-0");
    assert_eq!(run.table(), repaired);
}

#[test]
fn the_weight_store_serves_the_repair_that_is_worth_most_first() {
    // Two services lose a group each while the store can feed only one repair.
    // The one whose groups hold more accelerators idle loads first; the other waits
    // and takes no share of the rate.
    let mut run = run(&script(vec![("f1", 6)], 2, 0));
    run.config.recovery.concurrent_weight_loads = 1;

    lose(&mut run, "f1-0");
    lose(&mut run, "f1-2");
    pass(&mut run, 3_000);
    let plan = run.step();
    let at_once = run.decide();

    assert_eq!(plan.repairs.len(), 1);
    assert_eq!(at_once.waits[0].reason, WaitReason::WeightStoreBusy);
    pass(&mut run, 70_000);
    assert_eq!(run.outcome.most_loads, 1);
    assert_eq!(run.serving().len(), 2);
}

#[test]
fn a_vm_that_flaps_is_not_built_upon() {
    let mut run = run(&script(vec![("f1", 4)], 1, 1));
    for _ in 0..3 {
        lose(&mut run, "f1-3");
        pass(&mut run, 5_000);
        bring_back(&mut run, "f1-3", true);
        pass(&mut run, 40_000);
    }

    lose(&mut run, "f1-0");
    pass(&mut run, 40_000);

    assert!(group_of(&run, "f1-3").is_none());
    assert_eq!(run.serving().len(), 1);
}

#[test]
fn outages_seen_before_change_what_is_expected() {
    let mut run = run(&script(vec![("f1", 3)], 1, 0));
    let vm: VmId = "f1-2".parse().unwrap();
    let prior = std::time::Duration::from_secs(60);
    let expected = |run: &Run| {
        let now = Timestamp(run.now_ms);
        run.planner.history().expected_remaining(&vm, prior, now)
    };

    let before = expected(&run);
    lose(&mut run, "f1-2");
    pass(&mut run, 10_000);
    bring_back(&mut run, "f1-2", true);
    pass(&mut run, 10_000);
    let after_short_outage = expected(&run);
    lose(&mut run, "f1-2");
    pass(&mut run, 100_000);
    let while_away = expected(&run);

    assert_eq!(before, prior);
    assert!(after_short_outage < prior);
    assert!(while_away > prior);
}

#[rstest]
#[case(RecoveryPolicy::AlwaysWait, vec![])]
#[case(RecoveryPolicy::AlwaysRebuild, vec![RepairKind::Rebuild])]
#[case(RecoveryPolicy::LowestCost, vec![RepairKind::Replace])]
fn each_policy_repairs_in_its_way(
    #[case] policy: RecoveryPolicy,
    #[case] expected: Vec<RepairKind>,
) {
    let mut run = Run::new(&script(vec![("f1", 3)], 1, 1), auditorias(policy));

    lose(&mut run, "f1-0");
    pass(&mut run, 20_000);

    assert_eq!(kinds(&run), expected);
}

#[rstest]
#[case(auditorias)]
#[case(lanterna)]
fn lowest_cost_is_on_no_script_above_the_better_baseline(
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
