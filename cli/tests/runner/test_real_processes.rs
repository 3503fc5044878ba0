//! The command against real control and entry daemons with fake engines.

use std::fs;

use cicadabend::operator_api::{
    FleetStatus,
    Plan, //
};
use cicadabend_testutils::{
    deployment::{
        Deployment,
        STEP_LIMIT,
        Shape,
        intent, //
    },
    wait::eventually,
};

use super::support::{
    Seen,
    run, //
};

const WATCH_MS: &str = "40000";

/// Starts a fleet and waits until every VM is reported.
///
/// A plan lists the VMs that it takes. If it is made while engines still announce themselves for
/// the first time, it is out of date and refused when it is confirmed.
fn start_fleet(shape: Shape) -> Deployment {
    let deployment = Deployment::start(shape);
    let wanted = deployment.shape().vm_names().len();
    eventually("every VM is reported", STEP_LIMIT, || {
        let seen = run_command(&deployment, &["status"]);
        let status: FleetStatus = serde_json::from_str(&seen.stdout).ok()?;
        let vms = status.domains.iter().map(|d| d.report.vms.len());
        (vms.sum::<usize>() == wanted).then_some(())
    });
    deployment
}

fn run_command(deployment: &Deployment, arguments: &[&str]) -> Seen {
    run_command_at(deployment, &deployment.operator_addresses(), arguments)
}

fn run_command_at(deployment: &Deployment, control: &str, arguments: &[&str]) -> Seen {
    let token_file = deployment.folder().join("operator-token");
    let connection = [
        "--control",
        control,
        "--token-file",
        token_file.to_str().unwrap(),
        "--operator",
        "tester",
        "--output",
        "json",
    ];
    run(&[&connection, arguments].concat())
}

/// Runs the command, which must succeed, and returns its standard output.
fn run_successfully(deployment: &Deployment, arguments: &[&str]) -> String {
    let seen = run_command(deployment, arguments);
    assert_eq!(seen.code, 0, "{arguments:?}: {seen:?}");
    seen.stdout
}

fn write_intent(deployment: &Deployment) -> String {
    let path = deployment.folder().join("intent.json");
    let text = serde_json::to_string(&intent(deployment.shape())).unwrap();
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

fn apply(deployment: &Deployment) -> Plan {
    let plan = run_successfully(deployment, &["apply", &write_intent(deployment)]);
    serde_json::from_str(&plan).unwrap()
}

fn confirm(deployment: &Deployment, plan: &Plan) -> Seen {
    run_command(deployment, &["confirm", &plan.id.to_string()])
}

fn members(deployment: &Deployment) -> Vec<String> {
    let status = run_successfully(deployment, &["status"]);
    let status: FleetStatus = serde_json::from_str(&status).unwrap();
    let groups = status.domains.iter().flat_map(|d| &d.report.groups);
    let members = groups.flat_map(|group| &group.assignment.members);
    members.map(ToString::to_string).collect()
}

/// Checks the whole path of a plan and of a drain: an operator applies, confirms and watches until
/// every group serves, then drains a member's VM. At the end the VM is in no group, and its group
/// serves on another VM.
#[test]
fn an_operator_puts_an_intent_in_force_and_drains_a_vm() {
    let deployment = start_fleet(Shape::with_one_entry_per_domain());

    let first = apply(&deployment);
    assert_eq!(confirm(&deployment, &first).code, 0);
    run_successfully(&deployment, &["watch", "--for-ms", WATCH_MS]);
    let before = members(&deployment);
    let drained = &before[0];
    let drain = run_successfully(&deployment, &["drain", drained, "--reason", "a new disk"]);
    let drain: Plan = serde_json::from_str(&drain).unwrap();
    assert_eq!(confirm(&deployment, &drain).code, 0);
    run_successfully(&deployment, &["watch", "--for-ms", WATCH_MS]);

    let after = members(&deployment);
    let history = run_successfully(&deployment, &["history"]);
    assert_eq!(before.len(), after.len());
    assert!(!after.contains(drained), "{drained} in {after:?}");
    assert!(history.contains("a new disk"), "{history}");
    deployment.stop_gracefully();
}

/// Guards against accepting both of two plans that were made from the same revision. The second
/// operator gets a conflict with its own exit code.
#[test]
fn the_second_of_two_plans_on_one_revision_is_a_conflict() {
    let deployment = start_fleet(Shape::with_one_entry_per_domain());
    let first = apply(&deployment);
    let second = apply(&deployment);

    let accepted = confirm(&deployment, &first);
    let refused = confirm(&deployment, &second);

    assert_eq!(accepted.code, 0, "{accepted:?}");
    assert_eq!(refused.code, 4, "{refused:?}");
    deployment.stop_gracefully();
}

/// Guards against a plan that is lost with its leader. A command that knows the address of one
/// control daemon only reaches the leader through it. The leader then dies between plan and
/// confirmation, and the command finds the new leader, which has the plan.
#[test]
fn the_command_finds_the_leader_also_after_the_leader_died() {
    let mut deployment = start_fleet(Shape {
        controls: 3,
        ..Shape::with_one_entry_per_domain()
    });
    let status = run_successfully(&deployment, &["status"]);
    let status: FleetStatus = serde_json::from_str(&status).unwrap();
    let leader = status.leader.to_string();
    let names = deployment.shape().control_names();
    let follower = names.iter().position(|name| *name != leader).unwrap();
    let addresses = deployment.operator_addresses();
    let follower = addresses.split(',').nth(follower).unwrap();

    let applied = run_command_at(
        &deployment,
        follower,
        &["apply", &write_intent(&deployment)],
    );
    assert_eq!(applied.code, 0, "{applied:?}");
    let plan: Plan = serde_json::from_str(&applied.stdout).unwrap();
    deployment.process(&leader).kill();
    let plan = plan.id.to_string();
    let confirmed = run_command(&deployment, &["confirm", &plan, "--timeout-ms", WATCH_MS]);

    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    let history = run_successfully(&deployment, &["history"]);
    assert!(history.contains("\"revision\":1"), "{history}");
    deployment.stop_gracefully();
}
