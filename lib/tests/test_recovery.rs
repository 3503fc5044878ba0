//! What becomes of groups that lost a member.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a fixture that cannot be built fails its test"
)]

mod recovery_script;

use std::collections::BTreeSet;

use cicadabend::{
    chart::UpstreamState,
    domain::{
        placement::NewGroup,
        recovery::{
            RepairKind,
            RepairPlanner,
            WaitReason, //
        },
    },
    fleet::{
        RecoveryPolicy,
        RecoverySettings,
        Service, //
    },
    prelude::*,
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use recovery_script::{
    Fault,
    Run,
    STEP_MS,
    Script,
    auditorias,
    lanterna,
    scripts, //
};
use rstest::rstest;

fn script(fabrics: Vec<(&'static str, u32)>, groups: u32, spares: u32) -> Script {
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

fn run(script: &Script) -> Run {
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

fn group_of(run: &Run, vm: &str) -> Option<Vec<String>> {
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
fn lowest_cost_is_never_far_above_both_baselines(
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
        assert!(lowest <= wait.max(rebuild), "{}: {lowest}", script.name);
    }
}

/// Something that happens to a generated fleet.
#[derive(Clone, Debug)]
enum Event {
    Lose(usize),
    Return(usize, bool),
    LoseFabric(usize),
    ReturnAll(bool),
    /// A new domain leader without memory takes over.
    NewLeader,
    Drain(usize),
    Undrain,
    Pass(u64),
}

#[derive(Clone, Debug)]
struct Fleet {
    script: Script,
    settings: RecoverySettings,
    may_span: bool,
    events: Vec<Event>,
}

const QUIET_STEP_MS: u64 = 4_000;
const FABRICS: [&str; 3] = ["f1", "f2", "f3"];

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..18_usize).prop_map(Event::Lose),
        4 => (0..18_usize, any::<bool>()).prop_map(|(vm, keeps)| Event::Return(vm, keeps)),
        1 => (0..3_usize).prop_map(Event::LoseFabric),
        1 => any::<bool>().prop_map(Event::ReturnAll),
        1 => Just(Event::NewLeader),
        1 => (0..18_usize).prop_map(Event::Drain),
        1 => Just(Event::Undrain),
        8 => (1..120_u64).prop_map(Event::Pass),
    ]
}

fn any_fleet() -> impl Strategy<Value = Fleet> {
    let policy = prop_oneof![
        1 => Just(RecoveryPolicy::AlwaysWait),
        1 => Just(RecoveryPolicy::AlwaysRebuild),
        4 => Just(RecoveryPolicy::LowestCost),
    ];
    let sizes = (1..7_u32, 1..7_u32, 0..7_u32, 1..4_u32, 1..5_u32, 0..3_u32);
    let weights = (0..200_u32, 0..20_u32, 1..6_u32);
    let events = prop::collection::vec(any_event(), 1..25);
    (policy, sizes, weights, any::<bool>(), events).prop_map(
        |(policy, (a, b, c, groups, vms_per_group, spares), weights, may_span, events)| Fleet {
            script: Script {
                fabrics: vec![("f1", a), ("f2", b), ("f3", c)],
                vms_per_group,
                concurrent_weight_loads: weights.2,
                ..script(Vec::new(), groups, spares)
            },
            settings: RecoverySettings {
                policy,
                group_downtime_weight: weights.0,
                stranded_accelerator_weight: weights.1,
                ..RecoverySettings::default()
            },
            may_span,
            events,
        },
    )
}

fn start(fleet: &Fleet) -> Run {
    let mut run = Run::new(&fleet.script, fleet.settings.clone());
    for service in run.config.services.values_mut() {
        if let Service::Model(model) = service {
            model.may_span_fabric_domains = fleet.may_span;
        }
    }
    run
}

fn happen(run: &mut Run, event: &Event) {
    let names: Vec<VmId> = run.vms().into_iter().map(|vm| vm.vm).collect();
    let name = |index: &usize| &names[index % names.len()];
    match event {
        Event::Lose(vm) => run.lose(name(vm)),
        Event::Return(vm, keeps_weights) => run.bring_back(name(vm), *keeps_weights),
        Event::LoseFabric(fabric) => run.suffer(&Fault::LoseFabric(FABRICS[*fabric])),
        Event::ReturnAll(keeps_weights) => {
            for vm in &names {
                run.bring_back(vm, *keeps_weights);
            }
        }
        Event::NewLeader => run.planner = RepairPlanner::new(),
        Event::Drain(vm) => {
            run.config.drained_vms.insert(name(vm).clone());
        }
        Event::Undrain => run.config.drained_vms.clear(),
        Event::Pass(_) => {}
    }
}

/// Returns every rule that the table breaks.
fn broken_rules(run: &Run) -> Vec<String> {
    let mut broken = Vec::new();
    let vms = run.vms();
    let mut seen = BTreeSet::new();
    for group in run.table() {
        let Some(Service::Model(model)) = run.config.services.get(&group.service) else {
            broken.push(format!("{} has no service", group.group));
            continue;
        };
        for vm in &group.members {
            if !seen.insert(vm.clone()) {
                broken.push(format!("{vm} is in two groups"));
            }
        }
        if group.members.len() != model.vms_per_group as usize {
            broken.push(format!("{} has another size", group.group));
        }
        let fabrics: BTreeSet<&FabricDomain> = vms
            .iter()
            .filter(|vm| group.members.contains(&vm.vm))
            .map(|vm| &vm.fabric_domain)
            .collect();
        if fabrics.len() > 1 && !model.may_span_fabric_domains {
            broken.push(format!("{} spans fabric domains", group.group));
        }
    }
    broken
}

/// Takes one step and checks the rules, and that new groups are built on VMs that are there.
fn checked_step(run: &mut Run) {
    let alive: BTreeSet<VmId> = run
        .vms()
        .into_iter()
        .filter(|vm| vm.state == UpstreamState::Alive)
        .map(|vm| vm.vm)
        .collect();
    let drained = run.config.drained_vms.clone();
    let plan = run.step();
    for (_, members) in plan.formed() {
        for vm in members {
            assert!(alive.contains(vm), "{vm} is not alive");
            assert!(!drained.contains(vm), "{vm} is drained");
        }
    }
    assert_eq!(broken_rules(run), Vec::<String>::new());
}

fn live_through(run: &mut Run, events: &[Event]) {
    for event in events {
        happen(run, event);
        let steps = match event {
            Event::Pass(steps) => *steps,
            _ => 1,
        };
        for _ in 0..steps {
            checked_step(run);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_sequence_of_events_breaks_a_rule(fleet in any_fleet()) {
        let mut run = start(&fleet);

        live_through(&mut run, &fleet.events);
    }

    #[test]
    fn a_serving_group_is_never_touched_while_the_configuration_stays(fleet in any_fleet()) {
        let mut run = start(&fleet);
        let mut events = fleet.events.clone();
        events.retain(|event| !matches!(event, Event::Drain(_) | Event::Undrain));

        live_through(&mut run, &events);

        prop_assert_eq!(run.outcome.serving_groups_touched, 0);
    }

    #[test]
    fn decisions_stop_when_nothing_more_happens(fleet in any_fleet()) {
        let mut run = start(&fleet);
        live_through(&mut run, &fleet.events);

        let stopped_at_ms = run.now_ms;
        run.step_ms = QUIET_STEP_MS;
        while run.now_ms < stopped_at_ms + 3_600_000 {
            checked_step(&mut run);
        }

        prop_assert!(run.outcome.last_change_ms < stopped_at_ms + 1_800_000);
    }

    #[test]
    fn all_groups_serve_again_once_every_vm_is_back(fleet in any_fleet()) {
        let mut run = start(&fleet);
        let could_serve = run.serving().len();
        live_through(&mut run, &fleet.events);

        happen(&mut run, &Event::Undrain);
        happen(&mut run, &Event::ReturnAll(false));
        // Flapping counts against a VM for ten minutes.
        run.step_ms = QUIET_STEP_MS;
        for _ in 0..1_200_000 / QUIET_STEP_MS {
            checked_step(&mut run);
        }

        prop_assert!(run.serving().len() >= could_serve);
    }

    #[test]
    fn loads_never_exceed_the_rate_of_the_store(fleet in any_fleet()) {
        let mut fleet = fleet;
        fleet.settings.policy = RecoveryPolicy::LowestCost;
        fleet.events.retain(|event| !matches!(event, Event::NewLeader));
        let mut run = start(&fleet);

        live_through(&mut run, &fleet.events);

        let one_group = fleet.script.vms_per_group;
        let bound = fleet.script.concurrent_weight_loads.max(one_group);
        prop_assert!(run.outcome.most_loads <= bound, "{} loads", run.outcome.most_loads);
    }
}

#[rstest]
#[case(["f1-0", "f1-3"], "f1-0 is in two groups")]
#[case(["f1-2", "f2-0"], "spans fabric domains")]
#[case(["f1-2"], "another size")]
fn a_planted_fault_is_caught<const N: usize>(#[case] members: [&str; N], #[case] rule: &str) {
    // The checks above are worth nothing if they pass whatever the planner does.
    let mut run = run(&script(vec![("f1", 4), ("f2", 1)], 1, 0));
    assert_eq!(group_of(&run, "f1-0").unwrap(), ["f1-0", "f1-1"]);
    let mut plan = run.decide();

    plan.start.push(NewGroup {
        service: "drafts".parse().unwrap(),
        members: members.iter().map(|vm| vm.parse().unwrap()).collect(),
        spans_fabric_domains: false,
        waits_for: Vec::new(),
    });
    run.apply(&plan, &BTreeSet::new());

    let broken = broken_rules(&run);
    assert!(
        broken.iter().any(|found| found.contains(rule)),
        "{broken:?}"
    );
}
