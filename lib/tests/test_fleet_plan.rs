//! Contents of plans: changed values, groups that start, stop or are missing, and totals.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::collections::BTreeMap;

use cicadabend::{
    fleet::{
        FleetCommand,
        FleetConfig,
        FleetState,
        ModelService,
        RoutingArm,
        RoutingPolicy,
        Service,
        objection::objection,
        plan::PlanDraft,
        progress::progress,
        rollout_status::RolloutStatus,
        state::Confirmation, //
    },
    operator_api::{
        Plan,
        PlanChange,
        PlanImpact,
        PlanRequest, //
    },
    peer_api::{
        Assignment,
        DomainReport,
        GroupReport,
        VmReport, //
    },
    prelude::*,
    upstream_api::LoadReport,
};
use rstest::rstest;

const VMS_PER_GROUP: u32 = 2;

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn config(groups: u32) -> FleetConfig {
    let model = ModelService {
        model: "drafting".parse().unwrap(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        vms_per_group: VMS_PER_GROUP,
        groups_by_failure_domain: BTreeMap::from([(domain("cumbaya"), groups)]),
        spare_vms_by_failure_domain: BTreeMap::new(),
        may_span_fabric_domains: false,
        routing: vec![RoutingArm {
            policy: RoutingPolicy::RoundRobin,
            share_percent: Percent(100),
        }],
    };
    FleetConfig {
        services: BTreeMap::from([("drafting-llm".parse().unwrap(), Service::Model(model))]),
        ..FleetConfig::default()
    }
}

fn vm_report(number: usize, state: &str) -> VmReport {
    VmReport {
        vm: vm(number),
        fabric_domain: "fabric-1".parse().unwrap(),
        accelerators: Accelerators(8),
        state: state.to_owned(),
        group: None,
        plain_service: None,
        address: "127.0.0.1:1".parse().unwrap(),
        slots: Slots(4),
        load: LoadReport::default(),
    }
}

fn group_report(name: &str, members: [usize; 2], running: u32) -> GroupReport {
    GroupReport {
        assignment: Assignment {
            group: name.parse().unwrap(),
            service: "drafting-llm".parse().unwrap(),
            model: "drafting".parse().unwrap(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            members: members.map(vm).to_vec(),
            token: FencingToken {
                epoch: 1,
                sequence: members[0] as u32,
            },
            admits_requests: true,
        },
        state: "serving".to_owned(),
        address: None,
        slots: Slots(4),
        load: LoadReport {
            running,
            ..LoadReport::default()
        },
    }
}

/// Returns a report of four VMs in one fabric domain, the first two of which form a serving group.
fn report() -> DomainReport {
    DomainReport {
        failure_domain: domain("cumbaya"),
        leader: "entry-1".parse().unwrap(),
        epoch: 1,
        sequence: 1,
        applied: Revision(1),
        lagging: BTreeMap::new(),
        unreachable: Vec::new(),
        groups: vec![group_report("group-1", [1, 2], 3)],
        vms: (1..=4).map(|number| vm_report(number, "alive")).collect(),
        group_downtime_ms: 0,
        stranded_accelerator_ms: 0,
    }
}

fn plan(before: &FleetConfig, after: FleetConfig, reports: &[DomainReport]) -> Plan {
    let request = PlanRequest {
        config: after,
        operator: "ana".to_owned(),
        reason: String::new(),
    };
    PlanDraft::new(Revision(1), before, reports, request).numbered(PlanId(1))
}

fn group_changes(plan: &Plan) -> Vec<PlanChange> {
    let is_group = |change: &&PlanChange| !matches!(change, PlanChange::Value { .. });
    plan.changes.iter().filter(is_group).cloned().collect()
}

fn start_of_second_group() -> PlanChange {
    PlanChange::StartGroup {
        service: "drafting-llm".parse().unwrap(),
        failure_domain: domain("cumbaya"),
        members: vec![vm(3), vm(4)],
        spans_fabric_domains: false,
    }
}

#[test]
fn an_added_group_is_listed_with_its_vms_and_its_cost() {
    let plan = plan(&config(1), config(2), &[report()]);

    let value = PlanChange::Value {
        path: "$.services.drafting-llm.model.groups_by_failure_domain.cumbaya".to_owned(),
        before: Some("1".to_owned()),
        after: Some("2".to_owned()),
    };
    assert_eq!(plan.changes, vec![value, start_of_second_group()]);
    let impact = PlanImpact {
        groups_started: 1,
        groups_stopped: 0,
        requests_touched: 0,
        accelerators_touched: Accelerators(16),
        expected_duration_ms: 30_000,
    };
    assert_eq!(plan.impact, impact);
}

#[test]
fn a_removed_group_is_listed_with_its_running_requests() {
    let plan = plan(&config(1), config(0), &[report()]);

    let stop = PlanChange::StopGroup {
        group: "group-1".parse().unwrap(),
        failure_domain: domain("cumbaya"),
        members: vec![vm(1), vm(2)],
        running_requests: 3,
    };
    assert_eq!(group_changes(&plan), vec![stop]);
    assert_eq!(plan.impact.requests_touched, 3);
    assert_eq!(plan.impact.expected_duration_ms, 0);
}

#[test]
fn groups_without_enough_vms_are_listed_as_missing() {
    let plan = plan(&config(1), config(4), &[report()]);

    let changes = group_changes(&plan);

    assert_eq!(changes[0], start_of_second_group());
    assert!(
        matches!(&changes[1], PlanChange::MissingCapacity { groups: 2, .. }),
        "{changes:?}"
    );
}

#[test]
fn groups_of_a_failure_domain_without_a_report_are_listed_as_missing() {
    let plan = plan(&FleetConfig::default(), config(2), &[]);

    let missing = PlanChange::MissingCapacity {
        service: "drafting-llm".parse().unwrap(),
        failure_domain: domain("cumbaya"),
        groups: 2,
        reason: "no report of this failure domain has been received".to_owned(),
    };
    assert_eq!(group_changes(&plan), vec![missing]);
}

#[test]
fn draining_a_vm_stops_its_group_and_builds_another() {
    let mut drained = config(1);
    drained.drained_vms.insert(vm(2));

    let plan = plan(&config(1), drained, &[report()]);

    assert_eq!(
        (plan.impact.groups_stopped, plan.impact.groups_started),
        (1, 1)
    );
    let changes = group_changes(&plan);
    assert!(matches!(changes[0], PlanChange::StopGroup { .. }));
    assert!(matches!(changes[1], PlanChange::StartGroup { .. }));
}

/// The domain leader is about to build a group that the accepted configuration requires. A plan
/// that changes something else must not list that group among its effects.
#[test]
fn changes_that_would_happen_anyway_are_no_part_of_a_plan() {
    let mut after = config(2);
    after.recovery.expected_return_ms += 1;

    let plan = plan(&config(2), after, &[report()]);

    assert_eq!(group_changes(&plan), Vec::new());
    assert_eq!(plan.impact, PlanImpact::default());
}

#[test]
fn the_order_of_reports_does_not_change_a_plan() {
    let other = DomainReport {
        failure_domain: domain("carcelen"),
        groups: Vec::new(),
        ..report()
    };

    let one = plan(&config(1), config(2), &[report(), other.clone()]);
    let two = plan(&config(1), config(2), &[other, report()]);

    assert_eq!(one, two);
}

/// A VM that the plan would use dies between plan and confirmation. The confirmation is refused
/// with the effects that the same intent would have now.
#[test]
fn a_plan_whose_vm_has_died_is_objected_to() {
    let plan = plan(&config(1), config(2), &[report()]);
    let mut later = report();
    later.vms[3] = vm_report(4, "dead");

    let objection = objection(&plan, &config(1), &[later]);

    let changes_now = objection.unwrap();
    assert!(
        matches!(
            changes_now[..],
            [PlanChange::MissingCapacity { groups: 1, .. }]
        ),
        "{changes_now:?}"
    );
}

#[test]
fn a_plan_without_group_effects_fits_whatever_the_fleet_does() {
    let mut after = config(1);
    after.recovery.expected_return_ms += 1;
    let plan = plan(&config(1), after, &[report()]);
    let mut later = report();
    later.vms[0] = vm_report(1, "dead");

    assert_eq!(objection(&plan, &config(1), &[later]), None);
}

#[test]
fn requests_that_come_and_go_are_no_objection() {
    let plan = plan(&config(1), config(0), &[report()]);
    let mut later = report();
    later.groups[0].load.running = 40;

    assert_eq!(objection(&plan, &config(1), &[later]), None);
}

/// The leader of the control daemons has just changed and has received no report yet. A domain
/// without a report must not keep an operator from acting.
#[test]
fn a_failure_domain_without_a_report_is_no_objection() {
    let plan = plan(&config(1), config(2), &[report()]);

    assert_eq!(objection(&plan, &config(1), &[]), None);
}

/// Returns the state of a fleet whose last accepted plan asks for `groups` groups.
fn state_wanting(groups: u32) -> FleetState {
    let mut state = FleetState::default();
    let request = PlanRequest {
        config: config(groups),
        operator: "ana".to_owned(),
        reason: String::new(),
    };
    let draft = PlanDraft::new(Revision(0), &FleetConfig::default(), &[], request);
    state.apply(FleetCommand::StorePlan(Box::new(draft)));
    state.apply(FleetCommand::Confirm(Confirmation {
        plan: PlanId(1),
        operator: "ana".to_owned(),
        idempotency_key: "k".parse().unwrap(),
        at_unix_s: 0,
        objection: None,
    }));
    state
}

fn in_force() -> RolloutStatus {
    RolloutStatus {
        in_force: true,
        ..RolloutStatus::default()
    }
}

#[test]
fn progress_lists_the_remaining_changes() {
    let progress = progress(&state_wanting(2), &in_force(), &[report()]).unwrap();

    assert_eq!(progress.state, "running");
    assert_eq!(progress.remaining, vec![start_of_second_group()]);
}

#[rstest]
#[case::all_serve(1, "serving", true, "done")]
#[case::a_group_loads(1, "loading", true, "running")]
#[case::a_daemon_lags(1, "serving", false, "running")]
#[case::one_group_too_many(0, "serving", true, "running")]
fn a_plan_is_done_when_all_daemons_have_applied_it_and_all_groups_serve(
    #[case] groups: u32,
    #[case] group_state: &str,
    #[case] in_force: bool,
    #[case] expected: &str,
) {
    let mut report = report();
    report.groups[0].state = group_state.to_owned();
    let rollout_status = RolloutStatus {
        in_force,
        ..RolloutStatus::default()
    };

    let progress = progress(&state_wanting(groups), &rollout_status, &[report]).unwrap();

    assert_eq!(progress.state, expected);
}

#[test]
fn a_plan_is_not_done_while_a_domain_has_no_report() {
    let progress = progress(&state_wanting(1), &in_force(), &[]).unwrap();

    assert_eq!(progress.state, "running");
    assert_eq!(progress.remaining.len(), 1);
}

#[test]
fn before_the_first_plan_there_is_no_progress() {
    assert_eq!(progress(&FleetState::default(), &in_force(), &[]), None);
}
