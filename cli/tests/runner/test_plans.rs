//! `apply`, `confirm`, `drain` and `policies --set`: their output against a fake control daemon.

use cicadabend::{
    fleet::FleetConfig,
    operator_api::{
        AcceptedConfig,
        ConfirmReply,
        OperatorError,
        Plan,
        PlanChange,
        PlanImpact, //
    },
    prelude::*,
};
use cicadabend_daemon::settings::Settings;
use http::StatusCode;

use super::support::{
    FakeControl,
    Operator,
    Seen,
    Step,
    TOKEN, //
};

const INTENT: &str = <FleetConfig as Settings>::EXAMPLE;

fn config() -> FleetConfig {
    serde_json::from_str(INTENT).unwrap()
}

fn accepted() -> AcceptedConfig {
    AcceptedConfig {
        revision: Revision(3),
        config: config(),
    }
}

fn vms(names: &[&str]) -> Vec<VmId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn plan() -> Plan {
    let value = |path: &str, before: Option<&str>, after: Option<&str>| PlanChange::Value {
        path: path.to_owned(),
        before: before.map(str::to_owned),
        after: after.map(str::to_owned),
    };
    Plan {
        id: PlanId(7),
        base_revision: Revision(3),
        config: config(),
        operator: "ana".to_owned(),
        reason: "a fourth group".to_owned(),
        changes: vec![
            value("$.services.llm.model.vms_per_group", Some("2"), Some("3")),
            value("$.teams.norte", None, Some("{\"weight\":1}")),
            value("$.teams.sur", Some("{\"weight\":1}"), None),
            PlanChange::StopGroup {
                group: "a/llm/1".parse().unwrap(),
                failure_domain: "domain-a".parse().unwrap(),
                members: vms(&["vm-1", "vm-2"]),
                running_requests: 12,
            },
            PlanChange::StartGroup {
                service: "llm".parse().unwrap(),
                failure_domain: "domain-a".parse().unwrap(),
                members: vms(&["vm-1", "vm-2", "vm-3"]),
                spans_fabric_domains: true,
            },
            PlanChange::MissingCapacity {
                service: "llm".parse().unwrap(),
                failure_domain: "domain-b".parse().unwrap(),
                groups: 1,
                reason: "2 of 3 VMs are free".to_owned(),
            },
        ],
        impact: PlanImpact {
            groups_started: 1,
            groups_stopped: 1,
            requests_touched: 12,
            accelerators_touched: Accelerators(24),
            expected_duration_ms: 31_400,
        },
    }
}

#[test]
fn apply_prints_a_plan_that_reads_like_a_diff() {
    let control = FakeControl::start(vec![Step::ok(plan())]);
    let operator = Operator::with_control(&[control.address]);
    let intent = operator.write("intent.json", INTENT);

    let seen = operator.run(&["apply", &intent, "--reason", "a fourth group"]);

    let expected = "\
Plan 7 on revision 3, by ana: a fourth group

  ~ $.services.llm.model.vms_per_group: 2 -> 3
  + $.teams.norte: {\"weight\":1}
  - $.teams.sur: {\"weight\":1}
  - group a/llm/1 in domain-a on vm-1, vm-2 (12 running requests finish first)
  + group for llm in domain-a on vm-1, vm-2, vm-3 (spans fabric domains: slow)
  ! 1 group of llm cannot be built in domain-b: 2 of 3 VMs are free

Impact: 1 group started, 1 stopped, 12 requests and 24 accelerators touched, about 31.4 s.
";
    assert_eq!(
        seen,
        Seen {
            stdout: expected.to_owned(),
            stderr: "Hint: nothing has changed yet; `cicadabend confirm 7` puts it in force\n"
                .to_owned(),
            code: 0,
        }
    );
    let received = &control.received()[0];
    assert_eq!(received.path, "/v1/plans");
    assert_eq!(received.authorization, format!("Bearer {TOKEN}"));
    assert_eq!(received.body["operator"], "ana");
    assert_eq!(received.body["reason"], "a fourth group");
}

#[test]
fn apply_prints_the_same_plan_as_json() {
    let control = FakeControl::start(vec![Step::ok(plan())]);
    let operator = Operator::with_control(&[control.address]);
    let intent = operator.write("intent.json", INTENT);

    let seen = operator.run(&["apply", &intent, "--output", "json"]);

    assert_eq!(seen.stderr, "");
    let shown: Plan = serde_json::from_str(&seen.stdout).unwrap();
    assert_eq!(shown, plan());
}

#[test]
fn apply_reports_an_invalid_intent_without_sending_a_request() {
    let control = FakeControl::start(Vec::new());
    let operator = Operator::with_control(&[control.address]);
    let intent = operator.write("intent.json", r#"{"teams": {"a b": {}}, "service": {}}"#);

    let seen = operator.run(&["apply", &intent]);

    assert_eq!(seen.code, 3);
    assert!(seen.stderr.contains("teams"), "{}", seen.stderr);
    assert!(control.received().is_empty());
}

#[test]
fn confirm_prints_its_key_and_the_new_revision() {
    let control = FakeControl::start(vec![Step::ok(ConfirmReply::Accepted {
        revision: Revision(4),
    })]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["confirm", "7"]);

    let key = control.received()[0].body["idempotency_key"].clone();
    let key = key.as_str().unwrap();
    assert_eq!(key.len(), 32);
    assert_eq!(seen.stdout, "Plan 7 is accepted as revision 4.\n");
    assert_eq!(
        seen.stderr,
        format!(
            "Idempotency key: {key}\n\
             Hint: `cicadabend watch` shows when it is in force everywhere\n"
        )
    );
    assert_eq!(seen.code, 0);
}

/// Guards against a retry with a new key. The control daemon accepts the plan, but its answer is
/// lost, and the command retries. With a second key the retry would look like another operator's
/// confirmation of a plan that no longer fits.
#[test]
fn confirm_retries_with_the_same_key_after_a_lost_answer() {
    let accepted = ConfirmReply::Accepted {
        revision: Revision(4),
    };
    let control = FakeControl::start(vec![Step::LoseAnswer, Step::ok(accepted)]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["confirm", "7"]);

    let received = control.received();
    assert_eq!(seen.stdout, "Plan 7 is accepted as revision 4.\n");
    assert_eq!(received.len(), 2);
    assert_eq!(received[0].body, received[1].body);
}

/// Guards against reporting a failure while the plan may be accepted. The control daemon reads each
/// confirmation and never answers; the command must say that the outcome is not known and how to
/// retry.
#[test]
fn confirm_without_an_answer_does_not_claim_that_nothing_happened() {
    let control = FakeControl::start(vec![Step::LoseAnswer]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["confirm", "7", "--idempotency-key", "k-1"]);

    assert_eq!(
        seen,
        Seen {
            stdout: String::new(),
            stderr: "Idempotency key: k-1\n\
                     Error: the answer was lost, so the outcome of the confirmation is not known\n\
                     Hint: retry with `cicadabend confirm 7 --idempotency-key k-1`\n"
                .to_owned(),
            code: 7,
        }
    );
}

/// Guards against reporting a failure while the plan may be accepted: the control daemon answered,
/// but the answer cannot be parsed.
#[test]
fn confirm_with_an_invalid_answer_does_not_claim_that_nothing_happened() {
    let control = FakeControl::start(vec![Step::ok("hello")]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["confirm", "7", "--idempotency-key", "k-1"]);

    assert_eq!(seen.code, 7, "{seen:?}");
}

/// Guards against a loop without pauses. During an election two daemons can each name the other as
/// the leader; the command must not send requests to them as fast as it can.
#[test]
fn two_daemons_that_name_each_other_as_leader_get_few_requests() {
    let naming = |leader: &str| {
        let error = OperatorError::NotLeader {
            leader: Some(leader.to_owned()),
        };
        Step::refuse(StatusCode::MISDIRECTED_REQUEST, error)
    };
    let first = FakeControl::start(vec![naming("127.0.0.1:1")]);
    let second = FakeControl::start(vec![naming(&first.address.to_string())]);
    first.set_step(naming(&second.address.to_string()));
    let operator = Operator::with_control(&[first.address, second.address]);

    let seen = operator.run(&["status"]);

    let requests = first.received().len() + second.received().len();
    assert_eq!(seen.code, 6, "{seen:?}");
    assert!(requests <= 20, "{requests} requests in 700 ms");
}

#[test]
fn confirm_shows_a_conflict_with_what_has_changed() {
    let control = FakeControl::start(vec![Step::ok(ConfirmReply::Conflict {
        winner: PlanId(6),
        winner_operator: "luka".to_owned(),
        revision: Revision(4),
        changed_paths: vec!["$.teams.sur.weight".to_owned()],
    })]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["confirm", "7", "--idempotency-key", "k-1"]);

    assert_eq!(
        seen,
        Seen {
            stdout: "Changed since plan 7 was made:\n  $.teams.sur.weight\n".to_owned(),
            stderr: "Idempotency key: k-1\n\
                     Error: plan 7 no longer fits: plan 6 of luka was accepted first\n\
                     Hint: run `cicadabend apply` again for a plan on revision 4\n"
                .to_owned(),
            code: 4,
        }
    );
}

/// Checks that the operator sees the plan's changes as they would be now. Between plan and
/// confirmation a group came up on the VMs that the plan would take, so the listed changes are
/// wrong.
#[test]
fn confirm_shows_how_the_fleet_has_changed() {
    let changes_now = plan().changes[5..].to_vec();
    let control = FakeControl::start(vec![Step::ok(ConfirmReply::FleetChanged { changes_now })]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["confirm", "7", "--idempotency-key", "k-1"]);

    assert_eq!(
        seen,
        Seen {
            stdout: "The same configuration would do this now:\n  \
                     ! 1 group of llm cannot be built in domain-b: 2 of 3 VMs are free\n"
                .to_owned(),
            stderr: "Idempotency key: k-1\n\
                     Error: plan 7 no longer fits: the fleet has changed since it was made\n\
                     Hint: nothing was changed; run `cicadabend apply` again for a plan on the \
                     fleet as it is\n"
                .to_owned(),
            code: 4,
        }
    );
}

#[test]
fn a_key_that_confirmed_another_plan_is_refused() {
    let first_plan = PlanId(6);
    let control = FakeControl::start(vec![Step::ok(ConfirmReply::KeyReused { first_plan })]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["confirm", "7", "--idempotency-key", "k-1"]);

    assert_eq!(seen.code, 1);
    assert!(
        seen.stderr
            .contains("Error: this idempotency key was used to confirm plan 6\n"),
        "{}",
        seen.stderr
    );
}

/// Guards against a failure when the first address is no longer the leader: that daemon names the
/// leader, and the command sends the request there.
#[test]
fn the_command_retries_at_the_leader_that_a_follower_names() {
    let leader = FakeControl::start(vec![Step::ok(plan())]);
    let follower = FakeControl::start(vec![Step::refuse(
        StatusCode::MISDIRECTED_REQUEST,
        OperatorError::NotLeader {
            leader: Some(leader.address.to_string()),
        },
    )]);
    let operator = Operator::with_control(&[follower.address]);
    let intent = operator.write("intent.json", INTENT);

    let seen = operator.run(&["apply", &intent]);

    assert_eq!(seen.code, 0, "{}", seen.stderr);
    assert_eq!(leader.received().len(), 1);
}

#[test]
fn without_a_leader_the_error_lists_the_tried_addresses() {
    let refusal = OperatorError::NotLeader { leader: None };
    let control = FakeControl::start(vec![Step::refuse(StatusCode::MISDIRECTED_REQUEST, refusal)]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["config"]);

    let address = control.address;
    assert_eq!(
        seen.stderr,
        format!(
            "Error: none of the control daemons is the leader now; tried {address} \
             (this control daemon is not the leader)\n\
             Hint: an election takes a second or two; retry, and give the addresses of all \
             control daemons to --control\n"
        )
    );
    assert_eq!(seen.code, 6);
}

#[test]
fn a_wrong_token_is_refused_without_a_retry() {
    let control = FakeControl::start(vec![Step::refuse(
        StatusCode::UNAUTHORIZED,
        OperatorError::Unauthorized,
    )]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["status"]);

    assert_eq!(
        seen.stderr,
        "Error: the operator token is missing or wrong\n\
         Hint: compare --token-file with the file at operators.token_file of the control \
         daemons\n"
    );
    assert_eq!(seen.code, 5);
    assert_eq!(control.received().len(), 1);
}

#[test]
fn an_invalid_answer_is_reported_with_its_address() {
    let control = FakeControl::start(vec![Step::ok("hello")]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["status", "--output", "json"]);

    let error: serde_json::Value = serde_json::from_str(&seen.stderr).unwrap();
    assert_eq!(error["exit_code"], 1);
    let text = error["error"].as_str().unwrap();
    let start = format!(
        "{} answered, but not like a control daemon",
        control.address
    );
    assert!(text.starts_with(&start), "{text}");
}

#[test]
fn drain_requests_a_plan_with_the_vm_drained() {
    let control = FakeControl::start(vec![Step::ok(accepted()), Step::ok(plan())]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["drain", "vm-3"]);

    assert_eq!(seen.code, 0, "{}", seen.stderr);
    let sent = &control.received()[1].body["config"];
    assert_eq!(sent["drained_vms"], serde_json::json!(["vm-3"]));
}

/// Guards against a drain that silently reverts another plan. That plan is accepted after `drain`
/// has read the configuration and before it sends its own, so `drain` must read and send again.
#[test]
fn drain_starts_again_if_another_plan_is_accepted_meanwhile() {
    let newer = AcceptedConfig {
        revision: Revision(4),
        config: FleetConfig::default(),
    };
    let newer_plan = Plan {
        base_revision: Revision(4),
        ..plan()
    };
    let control = FakeControl::start(vec![
        Step::ok(accepted()),
        Step::ok(newer_plan.clone()),
        Step::ok(newer),
        Step::ok(newer_plan),
    ]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["drain", "vm-3"]);

    assert_eq!(seen.code, 0, "{}", seen.stderr);
    let sent = &control.received()[3].body["config"];
    assert_eq!(sent["services"], serde_json::json!({}));
    assert_eq!(sent["drained_vms"], serde_json::json!(["vm-3"]));
}

#[test]
fn apply_refuses_a_plan_on_another_revision_than_the_intent_was_written_from() {
    let control = FakeControl::start(vec![Step::ok(plan())]);
    let operator = Operator::with_control(&[control.address]);
    let intent = operator.write("intent.json", INTENT);

    let seen = operator.run(&["apply", &intent, "--base", "2"]);

    assert_eq!(
        seen,
        Seen {
            stdout: String::new(),
            stderr: "Error: the change was made from revision 2, but the revision is 3 now\n\
                     Hint: nothing was changed; `cicadabend history` shows what came between, \
                     `cicadabend config` the configuration to start from\n"
                .to_owned(),
            code: 4,
        }
    );
}

#[test]
fn a_vm_that_is_not_drained_cannot_be_undrained() {
    let control = FakeControl::start(vec![Step::ok(accepted())]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["drain", "vm-3", "--undo"]);

    assert_eq!(
        seen.stderr,
        "Error: vm-3 is not drained\n\
         Hint: `cicadabend config` shows the drained VMs under drained_vms\n"
    );
}

#[test]
fn policies_set_requests_a_plan_with_the_shares() {
    let control = FakeControl::start(vec![Step::ok(accepted()), Step::ok(plan())]);
    let operator = Operator::with_control(&[control.address]);
    let set = "round_robin=10,prefix_affinity=90";

    let seen = operator.run(&["policies", "drafting-llm", "--set", set]);

    assert_eq!(seen.code, 0, "{}", seen.stderr);
    let sent = &control.received()[1].body["config"]["services"]["drafting-llm"]["model"];
    assert_eq!(
        sent["routing"],
        serde_json::json!([
            {"policy": "round_robin", "share_percent": 10},
            {"policy": "prefix_affinity", "share_percent": 90},
        ])
    );
}

#[test]
fn shares_that_do_not_sum_to_100_are_a_wrong_command_line() {
    let operator = Operator::with_control(&["127.0.0.1:1".parse().unwrap()]);

    let seen = operator.run(&["policies", "drafting-llm", "--set", "round_robin=10"]);

    assert_eq!(
        seen.stderr,
        "Error: --set: \"round_robin=10\" is not allowed; the shares sum to 10, not 100\n"
    );
    assert_eq!(seen.code, 2);
}
