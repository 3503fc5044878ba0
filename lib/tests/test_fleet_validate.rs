//! Validation of intents: all problems at once, by JSON path.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::collections::BTreeSet;

use cicadabend::{
    fleet::{
        FleetConfig,
        validate::config_problems, //
    },
    prelude::*,
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

fn valid_intent() -> Value {
    json!({
        "services": {
            "drafting-llm": {"model": {
                "model": "drafting",
                "version": "1",
                "vms_per_group": 3,
                "groups_by_failure_domain": {"cumbaya": 2},
                "routing": [{"policy": "round_robin", "share_percent": 100}],
            }},
            "field-api": {"plain": {
                "routing": [
                    {"policy": "round_robin", "share_percent": 40},
                    {"policy": "least_outstanding", "share_percent": 60},
                ],
            }},
        },
        "teams": {
            "a": {"api_key_sha256": "a".repeat(64), "weight": 1,
                  "requests_per_second": 1, "max_concurrent_requests": 1},
            "b": {"api_key_sha256": "b".repeat(64), "weight": 1,
                  "requests_per_second": 1, "max_concurrent_requests": 1},
        },
    })
}

fn problems(value: Value) -> Vec<String> {
    let config: FleetConfig = serde_json::from_value(value).unwrap();
    let known: BTreeSet<FailureDomain> = ["cumbaya", "carcelen"]
        .iter()
        .map(|name| name.parse().unwrap())
        .collect();
    let problems = config_problems(&config, &known);
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_intent_has_no_problems() {
    assert_eq!(problems(valid_intent()), Vec::<String>::new());
}

#[rstest]
#[case("/services/drafting-llm/model/version", json!(""), "$.services.drafting-llm.model.version: is empty")]
#[case("/services/drafting-llm/model/vms_per_group", json!(0), "$.services.drafting-llm.model.vms_per_group: is 0; a group needs at least one VM")]
#[case("/services/drafting-llm/model/vms_per_group", json!(4_000_000_000_u32), "$.services.drafting-llm.model.groups_by_failure_domain.cumbaya: needs 8000000000 VMs; at most 65536 are allowed")]
#[case("/services/drafting-llm/model/groups_by_failure_domain", json!({"quito.1": 1}), "$.services.drafting-llm.model.groups_by_failure_domain[\"quito.1\"]: is no failure domain; known are carcelen, cumbaya")]
#[case("/services/drafting-llm/model/routing", json!([]), "$.services.drafting-llm.model.routing: shares sum to 0 %; they must sum to 100 %")]
#[case("/services/field-api/plain/routing/1/share_percent", json!(50), "$.services.field-api.plain.routing: shares sum to 90 %; they must sum to 100 %")]
#[case("/services/field-api/plain/routing/1/policy", json!("round_robin"), "$.services.field-api.plain.routing[1].policy: repeats a policy, whose figures could not be told apart")]
#[case("/teams/a/api_key_sha256", json!("xyz"), "$.teams.a.api_key_sha256: is no SHA-256; 64 hexadecimal digits are needed")]
#[case("/teams/b/api_key_sha256", json!("A".repeat(64)), "$.teams.b.api_key_sha256: is also the key of a; a request could not be told apart")]
#[case("/teams/b/api_key_sha256", json!("a".repeat(64)), "$.teams.b.api_key_sha256: is also the key of a; a request could not be told apart")]
#[case("/teams/b/weight", json!(0), "$.teams.b.weight: is 0; a team without weight would never be served under load")]
fn an_invalid_value_is_reported_with_its_path(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut intent = valid_intent();
    *intent.pointer_mut(pointer).unwrap() = value;

    assert_eq!(problems(intent), vec![expected.to_owned()]);
}

#[test]
fn all_problems_are_reported_at_once() {
    let mut intent = valid_intent();
    *intent
        .pointer_mut("/services/drafting-llm/model/vms_per_group")
        .unwrap() = json!(0);
    *intent.pointer_mut("/teams/a/weight").unwrap() = json!(0);
    intent["services"]["a/b"] = intent["services"]["field-api"].clone();
    intent["recovery"] = json!({
        "policy": "lowest_cost", "group_downtime_weight": 0, "stranded_accelerator_weight": 0,
        "expected_return_ms": 1, "weight_load_ms": 1, "concurrent_weight_loads": 0,
    });

    let found = problems(intent);

    let paths: Vec<&str> = found
        .iter()
        .filter_map(|line| line.split(": ").next())
        .collect();
    let expected = [
        "$.services[\"a/b\"].plain",
        "$.services.drafting-llm.model.vms_per_group",
        "$.teams.a.weight",
        "$.recovery.concurrent_weight_loads",
        "$.recovery",
    ];
    assert_eq!(paths, expected);
}
