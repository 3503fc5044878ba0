//! The command against real control and entry daemons with fake engines.

use std::fs;

use cicadabend::operator_api::{
    FleetStatus,
    Plan, //
};
use cicadabend_testutils::deployment::{
    Deployment,
    Shape,
    intent, //
};

use super::support::{
    Seen,
    run, //
};

const WATCH_MS: &str = "40000";

fn started() -> Deployment {
    Deployment::start(Shape::with_one_entry_per_domain())
}

fn operate(deployment: &Deployment, arguments: &[&str]) -> Seen {
    let control = deployment.operator_addresses();
    let token_file = deployment.folder().join("operator-token");
    let connection = [
        "--control",
        &control,
        "--token-file",
        token_file.to_str().unwrap(),
        "--operator",
        "tester",
        "--output",
        "json",
    ];
    run(&[&connection, arguments].concat())
}

fn succeed(deployment: &Deployment, arguments: &[&str]) -> String {
    let seen = operate(deployment, arguments);
    assert_eq!(seen.code, 0, "{arguments:?}: {seen:?}");
    seen.stdout
}

fn apply(deployment: &Deployment) -> Plan {
    let path = deployment.folder().join("intent.json");
    let text = serde_json::to_string(&intent(deployment.shape())).unwrap();
    fs::write(&path, text).unwrap();
    let plan = succeed(deployment, &["apply", path.to_str().unwrap()]);
    serde_json::from_str(&plan).unwrap()
}

fn confirm(deployment: &Deployment, plan: &Plan) -> Seen {
    operate(deployment, &["confirm", &plan.id.to_string()])
}

fn members(deployment: &Deployment) -> Vec<String> {
    let status = succeed(deployment, &["status"]);
    let status: FleetStatus = serde_json::from_str(&status).unwrap();
    let groups = status.domains.iter().flat_map(|d| &d.report.groups);
    let members = groups.flat_map(|group| &group.assignment.members);
    members.map(ToString::to_string).collect()
}

/// An operator applies, confirms and watches until every group serves, then drains a
/// member's VM. The drain is a plan as well; when it is done, the VM is in no group
/// and its group serves on another one.
#[test]
fn an_operator_puts_an_intent_in_force_and_drains_a_vm() {
    let deployment = started();

    let first = apply(&deployment);
    assert_eq!(confirm(&deployment, &first).code, 0);
    succeed(&deployment, &["watch", "--for-ms", WATCH_MS]);
    let before = members(&deployment);
    let drained = &before[0];
    let drain = succeed(&deployment, &["drain", drained, "--reason", "a new disk"]);
    let drain: Plan = serde_json::from_str(&drain).unwrap();
    assert_eq!(confirm(&deployment, &drain).code, 0);
    succeed(&deployment, &["watch", "--for-ms", WATCH_MS]);

    let after = members(&deployment);
    let history = succeed(&deployment, &["history"]);
    assert_eq!(before.len(), after.len());
    assert!(!after.contains(drained), "{drained} in {after:?}");
    assert!(history.contains("a new disk"), "{history}");
    deployment.stop_gracefully();
}

/// Two operators make plans from the same revision and confirm both. One is accepted;
/// the other sees a conflict with its own exit code, and nothing of it happens.
#[test]
fn the_second_of_two_plans_on_one_revision_is_a_conflict() {
    let deployment = started();
    let first = apply(&deployment);
    let second = apply(&deployment);

    let accepted = confirm(&deployment, &first);
    let refused = confirm(&deployment, &second);

    assert_eq!(accepted.code, 0, "{accepted:?}");
    assert_eq!(refused.code, 4, "{refused:?}");
    deployment.stop_gracefully();
}
