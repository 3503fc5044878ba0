//! Settings: every problem is found at once, with its JSON path.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cicadabend::fleet::FleetConfig;
use cicadabend_daemon::settings::{
    ControlSettings,
    EntrySettings,
    Problem,
    Settings,
    SettingsError,
    parse, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

fn entry_value() -> Value {
    serde_json::from_str(EntrySettings::EXAMPLE).unwrap()
}

fn problems_of(value: &Value) -> Vec<Problem> {
    match parse::<EntrySettings>(&value.to_string()) {
        Err(SettingsError::Invalid { list, .. }) => list.0,
        Err(other) => panic!("{other}"),
        Ok(_) => Vec::new(),
    }
}

fn paths_of(value: &Value) -> Vec<String> {
    let problems = problems_of(value);
    problems.into_iter().map(|problem| problem.path).collect()
}

#[test]
fn examples_are_valid() {
    let entry = parse::<EntrySettings>(EntrySettings::EXAMPLE);
    let control = parse::<ControlSettings>(ControlSettings::EXAMPLE);

    assert!(entry.is_ok(), "{entry:?}");
    assert!(control.is_ok(), "{control:?}");
}

#[test]
fn all_problems_of_types_and_rules_are_found_at_once() {
    let mut value = entry_value();
    value["callers"]["listen"] = json!("nowhere");
    value["callers"]["queue_capacity"] = json!(0);
    value["callers"]["max_conections"] = json!(1);
    value["upstreams"]["lease_ms"] = json!(600);
    value["peers"][1]["role"] = json!("observer");
    value["peers"][1]["daemon"] = json!("entry 1");
    value.as_object_mut().unwrap().remove("peer_listen");

    let mut paths = paths_of(&value);

    paths.sort();
    assert_eq!(
        paths,
        [
            "$.callers.listen",
            "$.callers.max_conections",
            "$.callers.queue_capacity",
            "$.peer_listen",
            "$.peers[1].daemon",
            "$.peers[1].role",
            "$.upstreams.lease_ms",
        ]
    );
}

#[rstest]
#[case("/callers/read_timeout_ms", json!(0), "$.callers.read_timeout_ms")]
#[case("/callers/read_timeout_ms", json!(-1), "$.callers.read_timeout_ms")]
#[case("/callers/read_timeout_ms", json!("5s"), "$.callers.read_timeout_ms")]
#[case("/domain/heartbeat_ms", json!(1_500), "$.domain.leader_lease_ms")]
#[case("/domain/clock_rate_error_percent", json!(51), "$.domain.clock_rate_error_percent")]
#[case("/logs/level", json!("loud"), "$.logs.level")]
#[case("/logs/format", json!("xml"), "$.logs.format")]
#[case("/peers/0/failure_domain", json!("domain-b"), "$.peers[0].failure_domain")]
#[case("/peers/1/daemon", json!("entry-1"), "$.peers[1].daemon")]
#[case("/peers/1/address", json!("127.0.0.1:8082"), "$.peers[1].address")]
#[case("/peers/1/address", json!("0.0.0.0:1"), "$.peers[1].address")]
#[case("/metrics/listen", json!("127.0.0.1:8080"), "$.metrics.listen")]
#[case("/cluster", json!(""), "$.cluster")]
#[case("/peers", json!({}), "$.peers")]
fn a_bad_value_is_named_by_its_path(
    #[case] pointer: &str,
    #[case] bad: Value,
    #[case] expected: &str,
) {
    let mut value = entry_value();
    *value.pointer_mut(pointer).unwrap() = bad;

    let paths = paths_of(&value);

    assert!(paths.contains(&expected.to_owned()), "{paths:?}");
}

#[test]
fn a_problem_says_what_was_found_and_what_is_allowed() {
    let mut value = entry_value();
    value["upstreams"]["lease_ms"] = json!(600);

    let error = parse::<EntrySettings>(&value.to_string()).unwrap_err();

    assert_eq!(
        error.to_string(),
        "the settings have 1 problem(s):\n  $.upstreams.lease_ms: found 600; \
         allowed: at least twice upstreams.announce_interval_ms (500)"
    );
}

#[test]
fn a_text_that_is_no_json_is_refused_with_line_and_column() {
    let error = parse::<EntrySettings>("{\n  \"cluster\": }").unwrap_err();

    assert_eq!(
        error.to_string(),
        "the settings are not JSON: expected value at line 2 column 14"
    );
}

/// The operator is told of both keys. Somebody copies a team and forgets to rename it;
/// keeping only the last one would silently drop the first team's limits.
#[test]
fn a_key_that_stands_twice_is_named_by_its_path() {
    let text = r#"{"teams": {"norte": {"weight": 1, "weight": 2}, "norte": {}}}"#;

    let error = parse::<FleetConfig>(text).unwrap_err().to_string();

    let twice = "this key stands twice in its object";
    assert!(
        error.contains(&format!("$.teams.norte.weight: {twice}")),
        "{error}"
    );
    assert!(
        error.contains(&format!("$.teams.norte: {twice}")),
        "{error}"
    );
}

#[test]
fn an_intent_is_checked_by_the_rules_of_the_control_daemon() {
    let mut intent: Value = serde_json::from_str(FleetConfig::EXAMPLE).unwrap();
    intent["services"]["drafting-llm"]["model"]["vms_per_group"] = json!(0);
    intent["teams"]["quito-norte"]["weight"] = json!(0);

    let error = parse::<FleetConfig>(&intent.to_string())
        .unwrap_err()
        .to_string();

    assert!(
        error.contains("$.services.drafting-llm.model.vms_per_group: is 0"),
        "{error}"
    );
    assert!(
        error.contains("$.teams.quito-norte.weight: is 0"),
        "{error}"
    );
}
