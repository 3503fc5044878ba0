//! Properties that hold for every sequence of events in a fleet.

use std::collections::BTreeSet;

use cicadabend::{
    chart::UpstreamState,
    domain::{
        placement::NewGroup,
        recovery::RepairPlanner, //
    },
    fleet::{
        RecoveryPolicy,
        RecoverySettings,
        Service, //
    },
    prelude::*,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::{
    script::{
        Fault,
        Run,
        Script, //
    },
    test_repairs::{
        group_of,
        run,
        script, //
    },
};

/// An event in a generated fleet.
#[derive(Clone, Debug)]
enum Event {
    Lose(usize),
    Return(usize, bool),
    LoseFabric(usize),
    ReturnAll(bool),
    /// A new domain leader takes over, with an empty planner.
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

fn apply_event(run: &mut Run, event: &Event) {
    let names: Vec<VmId> = run.vms().into_iter().map(|vm| vm.vm).collect();
    let name = |index: &usize| &names[index % names.len()];
    match event {
        Event::Lose(vm) => run.lose_vm(name(vm)),
        Event::Return(vm, keeps_weights) => run.return_vm(name(vm), *keeps_weights),
        Event::LoseFabric(fabric) => run.apply_fault(&Fault::LoseFabric(FABRICS[*fabric])),
        Event::ReturnAll(keeps_weights) => {
            for vm in &names {
                run.return_vm(vm, *keeps_weights);
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

/// Returns every violation of a rule in the table.
fn rule_violations(run: &Run) -> Vec<String> {
    let mut violations = Vec::new();
    let vms = run.vms();
    let mut seen = BTreeSet::new();
    for group in run.table() {
        let Some(Service::Model(model)) = run.config.services.get(&group.service) else {
            violations.push(format!("{} has no service", group.group));
            continue;
        };
        for vm in &group.members {
            if !seen.insert(vm.clone()) {
                violations.push(format!("{vm} is in two groups"));
            }
        }
        if group.members.len() != model.vms_per_group as usize {
            violations.push(format!("{} has another size", group.group));
        }
        let fabrics: BTreeSet<&FabricDomain> = vms
            .iter()
            .filter(|vm| group.members.contains(&vm.vm))
            .map(|vm| &vm.fabric_domain)
            .collect();
        if fabrics.len() > 1 && !model.may_span_fabric_domains {
            violations.push(format!("{} spans fabric domains", group.group));
        }
    }
    violations
}

/// Takes one step; checks that new groups are built on live VMs that aren't drained, and that
/// the table violates no rule.
pub(crate) fn checked_step(run: &mut Run) {
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
    assert_eq!(rule_violations(run), Vec::<String>::new());
}

fn run_events(run: &mut Run, events: &[Event]) {
    for event in events {
        apply_event(run, event);
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
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_sequence_of_events_violates_a_rule(fleet in any_fleet()) {
        let mut run = start(&fleet);

        run_events(&mut run, &fleet.events);
    }

    #[test]
    fn a_serving_group_is_never_touched_while_the_configuration_stays(fleet in any_fleet()) {
        let mut run = start(&fleet);
        let mut events = fleet.events.clone();
        events.retain(|event| !matches!(event, Event::Drain(_) | Event::Undrain));

        run_events(&mut run, &events);

        prop_assert_eq!(run.outcome.serving_groups_touched, 0);
    }

    #[test]
    fn the_table_becomes_stable_when_no_more_events_happen(fleet in any_fleet()) {
        let mut run = start(&fleet);
        run_events(&mut run, &fleet.events);

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
        run_events(&mut run, &fleet.events);

        apply_event(&mut run, &Event::Undrain);
        apply_event(&mut run, &Event::ReturnAll(false));
        // A VM is kept out of new groups for ten minutes after flapping.
        run.step_ms = QUIET_STEP_MS;
        for _ in 0..1_200_000 / QUIET_STEP_MS {
            checked_step(&mut run);
        }

        prop_assert!(run.serving().len() >= could_serve);
    }

    #[test]
    fn simultaneous_loads_never_exceed_the_limit_of_the_store(fleet in any_fleet()) {
        let mut fleet = fleet;
        fleet.settings.policy = RecoveryPolicy::LowestCost;
        fleet.events.retain(|event| !matches!(event, Event::NewLeader));
        let mut run = start(&fleet);

        run_events(&mut run, &fleet.events);

        let one_group = fleet.script.vms_per_group;
        let bound = fleet.script.concurrent_weight_loads.max(one_group);
        prop_assert!(run.outcome.most_loads <= bound, "{} loads", run.outcome.most_loads);
    }
}

#[rstest]
#[case(["f1-0", "f1-3"], "f1-0 is in two groups")]
#[case(["f1-2", "f2-0"], "spans fabric domains")]
#[case(["f1-2"], "another size")]
fn an_invalid_plan_is_detected<const N: usize>(#[case] members: [&str; N], #[case] rule: &str) {
    // Shows that the checks above detect an invalid plan.
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

    let violations = rule_violations(&run);
    assert!(
        violations.iter().any(|found| found.contains(rule)),
        "{violations:?}"
    );
}
