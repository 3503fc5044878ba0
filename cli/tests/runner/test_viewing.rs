//! `status`, `watch`, `history`, `config`, `policies`, `init` and the help.

use std::collections::BTreeMap;

use cicadabend::{
    fleet::{
        FleetConfig,
        RoutingPolicy, //
    },
    operator_api::{
        AcceptedConfig,
        DomainStatus,
        FleetStatus,
        HistoryEntry,
        PlanChange,
        PlanProgress,
        PolicyStatistics, //
    },
    prelude::*,
};
use cicadabend_cli::settings::ClientSettings;
use cicadabend_daemon::settings::{
    ControlSettings,
    EntrySettings,
    Settings,
    load, //
};
use serde_json::json;

use super::support::{
    FakeControl,
    Operator,
    Step,
    run, //
};

fn status(in_force: bool, admitted: bool) -> FleetStatus {
    let load = json!({"running": 3, "queued": 1, "cache_used_percent": 40, "age_ms": 20});
    let vm = |name: &str, group: Option<&str>, service: Option<&str>| {
        json!({
            "vm": name, "fabric_domain": "fabric-1", "accelerators": 8, "state": "healthy",
            "group": group, "plain_service": service, "address": "127.0.0.1:9000",
            "slots": 16, "load": load,
        })
    };
    let report = json!({
        "failure_domain": "domain-a", "leader": "entry-1", "epoch": 2, "sequence": 40,
        "applied": 4, "lagging": {}, "unreachable": [],
        "groups": [{
            "assignment": {
                "group": "a/llm/1", "service": "llm", "model": "m", "version": "v",
                "adapters": [], "members": ["vm-1", "vm-2"],
                "token": {"epoch": 2, "sequence": 5}, "admits_requests": admitted,
            },
            "state": "serving", "address": "127.0.0.1:9000", "slots": 16, "load": load,
        }],
        "vms": [
            vm("vm-1", Some("a/llm/1"), None),
            vm("vm-2", Some("a/llm/1"), None),
            vm("vm-3", None, Some("field-api")),
            vm("vm-4", None, None),
        ],
        "group_downtime_ms": 1_500, "stranded_accelerator_ms": 240_000,
    });
    let mut lagging = BTreeMap::new();
    if !in_force {
        lagging.insert("entry-2".parse().unwrap(), Revision(3));
    }
    FleetStatus {
        leader: "control-1".parse().unwrap(),
        term: 9,
        revision: Revision(4),
        in_force,
        lagging,
        unreachable: vec!["entry-3".parse().unwrap()],
        domains: vec![DomainStatus {
            age_ms: 320,
            report: serde_json::from_value(report).unwrap(),
        }],
    }
}

#[test]
fn status_shows_groups_vms_and_lagging_daemons() {
    let control = FakeControl::start(vec![Step::ok(status(false, true))]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["status"]);

    let expected = "\
Revision 4 is spreading.
Control leader control-1, term 9.
Behind: entry-2 (at 3).
Not heard from: entry-3.

domain-a: leader entry-1, epoch 2, revision 4, report 320 ms old
  group downtime 1.5 s, stranded accelerators 4 min
  GROUP    SERVICE  STATE    TOKEN  RUNNING  QUEUED  MEMBERS
  a/llm/1  llm      serving  2.5    3        1       vm-1, vm-2
  VM    FABRIC DOMAIN  STATE    USED BY
  vm-1  fabric-1       healthy  a/llm/1
  vm-2  fabric-1       healthy  a/llm/1
  vm-3  fabric-1       healthy  field-api
  vm-4  fabric-1       healthy  -
";
    assert_eq!(seen.stdout, expected);
    assert_eq!(seen.code, 0);
}

fn progress(in_force: bool, remaining: &[PlanChange], not_serving: &[&str]) -> PlanProgress {
    let mut lagging = BTreeMap::new();
    if !in_force {
        lagging.insert("entry-2".parse().unwrap(), Revision(3));
    }
    PlanProgress {
        plan: PlanId(7),
        revision: Revision(4),
        state: "running".to_owned(),
        in_force,
        lagging,
        unreachable: vec!["entry-3".parse().unwrap()],
        remaining: remaining.to_vec(),
        not_serving: not_serving.iter().map(|g| g.parse().unwrap()).collect(),
    }
}

fn missing_capacity() -> PlanChange {
    PlanChange::MissingCapacity {
        service: "llm".parse().unwrap(),
        failure_domain: "domain-b".parse().unwrap(),
        groups: 1,
        reason: "2 of 3 VMs are free".to_owned(),
    }
}

#[test]
fn watch_shows_each_step_until_all_groups_serve() {
    let done = PlanProgress {
        state: "done".to_owned(),
        unreachable: Vec::new(),
        ..progress(true, &[], &[])
    };
    let control = FakeControl::start(vec![
        Step::ok(None::<PlanProgress>),
        Step::ok(progress(false, &[missing_capacity()], &[])),
        Step::ok(progress(false, &[missing_capacity()], &[])),
        Step::ok(progress(true, &[], &["a/llm/1"])),
        Step::ok(done),
    ]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["watch"]);

    let expected = "\
no plan has been accepted yet
revision 4 (plan 7) running: spreading; behind: entry-2 (at 3); 1 change to groups remaining
revision 4 (plan 7) running: in force on every daemon that can be reached; not serving: a/llm/1
revision 4 (plan 7) done: in force everywhere
";
    assert_eq!(seen.stdout, expected);
    assert_eq!(seen.code, 0);
}

#[test]
fn watch_that_ends_early_has_its_own_exit_code() {
    let control = FakeControl::start(vec![Step::ok(progress(false, &[], &[]))]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["watch", "--for-ms", "1"]);

    assert_eq!(
        seen.stderr,
        "Error: revision 4 was not in force everywhere after 1 ms\n\
         Hint: `cicadabend status` lists the daemons that have not applied it\n"
    );
    assert_eq!(seen.code, 8);
}

#[test]
fn watch_shows_the_remaining_changes_at_its_end() {
    let control = FakeControl::start(vec![Step::ok(progress(true, &[missing_capacity()], &[]))]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["watch", "--for-ms", "1"]);

    assert_eq!(
        seen.stderr,
        "Remaining:\n  \
         ! 1 group of llm cannot be built in domain-b: 2 of 3 VMs are free\n\
         Error: revision 4 is in force, but its groups did not all serve after 1 ms\n\
         Hint: `cicadabend status` shows each group and VM with its state\n"
    );
    assert_eq!(seen.code, 8);
}

#[test]
fn history_is_a_table() {
    let entry = HistoryEntry {
        revision: Revision(4),
        plan: PlanId(7),
        operator: "ana".to_owned(),
        reason: "a fourth group".to_owned(),
        accepted_at_unix_s: 1_796_233_500,
        changed_paths: vec!["$.teams.norte".to_owned(), "$.teams.sur".to_owned()],
    };
    let control = FakeControl::start(vec![Step::ok([entry])]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["history"]);

    let expected = "\
REVISION  ACCEPTED                  PLAN  OPERATOR  REASON          CHANGED
4         2026-12-02T17:45:00.000Z  7     ana       a fourth group  $.teams.norte, $.teams.sur
";
    assert_eq!(seen.stdout, expected);
}

#[test]
fn config_prints_an_intent_that_can_be_applied_again() {
    let config: FleetConfig = serde_json::from_str(<FleetConfig as Settings>::EXAMPLE).unwrap();
    let control = FakeControl::start(vec![Step::ok(AcceptedConfig {
        revision: Revision(4),
        config: config.clone(),
    })]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["config"]);

    let printed: FleetConfig = serde_json::from_str(&seen.stdout).unwrap();
    assert_eq!(printed, config);
    assert_eq!(seen.stderr, "Revision 4\n");
}

#[test]
fn policies_are_shown_side_by_side() {
    let statistics = |service: &str, policy, p50| PolicyStatistics {
        service: service.parse().unwrap(),
        policy,
        requests: 1_000,
        failures: 2,
        first_token_p50_ms: p50,
        first_token_p95_ms: 250.0,
        first_token_mean_ms: 110.0,
        first_token_mean_ci_ms: 3.0,
        between_tokens_p95_ms: 21.0,
        cache_hit_percent: 62.5,
    };
    let control = FakeControl::start(vec![Step::ok([
        statistics("llm", RoutingPolicy::RoundRobin, 95.0),
        statistics("other", RoutingPolicy::RoundRobin, 1.0),
        statistics("llm", RoutingPolicy::ExpectedLatency, 80.5),
    ])]);
    let operator = Operator::with_control(&[control.address]);

    let seen = operator.run(&["policies", "llm"]);

    let expected = "                    round_robin     expected_latency
service             llm             llm
requests            1000            1000
failures            2               2
first token p50     95.0 ms         80.5 ms
first token p95     250.0 ms        250.0 ms
first token mean    110.0 ± 3.0 ms  110.0 ± 3.0 ms
between tokens p95  21.0 ms         21.0 ms
prefix cached       62.5 %          62.5 %
";
    assert_eq!(seen.stdout, expected);
}

#[test]
fn init_writes_valid_settings_and_never_overwrites() {
    let operator = Operator::with_control(&[]);
    let folder = operator.path("new");
    let folder = folder.to_str().unwrap();

    let first = run(&["init", folder]);
    let second = run(&["init", folder]);

    assert_eq!(first.code, 0, "{}", first.stderr);
    assert!(load::<EntrySettings>(&format!("{folder}/entry.json")).is_ok());
    assert!(load::<ControlSettings>(&format!("{folder}/control.json")).is_ok());
    assert_eq!(second.code, 3);
    assert_eq!(
        second.stderr,
        format!(
            "Error: {folder}/entry.json exists already\n\
             Hint: give a folder that is empty or does not exist\n"
        )
    );
}

#[test]
fn the_example_deployments_have_valid_client_settings() {
    for name in ["auditorias", "lanterna"] {
        let root = env!("CARGO_MANIFEST_DIR");
        let path = format!("{root}/../examples/{name}/client.json");

        let settings = load::<ClientSettings>(&path).unwrap();

        assert_eq!(settings.control.len(), 3);
    }
}

#[test]
fn an_unreachable_address_is_listed_in_the_error() {
    let operator = Operator::with_control(&["127.0.0.1:1".parse().unwrap()]);

    let seen = operator.run(&["status"]);

    assert!(
        seen.stderr
            .starts_with("Error: no control daemon answered; tried 127.0.0.1:1 ("),
        "{}",
        seen.stderr
    );
    assert_eq!(seen.code, 6);
}

#[test]
fn a_missing_option_is_reported_with_a_hint() {
    let seen = run(&["status"]);

    assert_eq!(
        seen.stderr,
        "Error: the option --control is missing\n\
         Hint: give --control, or --config FILE with a file that holds it\n"
    );
    assert_eq!(seen.code, 2);
}

#[test]
fn the_help_lists_commands_an_example_and_exit_codes() {
    let seen = run(&["--help"]);

    for expected in [
        "apply",
        "confirm",
        "status",
        "watch",
        "history",
        "config",
        "drain",
        "policies",
        "init",
        "Example:",
        "Exit codes:",
        "--output",
        "--token-file",
    ] {
        assert!(
            seen.stdout.contains(expected),
            "{expected}: {}",
            seen.stdout
        );
    }
    assert_eq!(seen.code, 0);
}

#[test]
fn every_command_has_an_example() {
    for command in cicadabend_cli::commands::all() {
        let name = command.get_name().to_owned();

        let seen = run(&[&name, "--help"]);

        assert!(seen.stdout.contains("Example:"), "{name}: {}", seen.stdout);
    }
}

#[test]
fn an_unknown_command_is_a_wrong_command_line() {
    let seen = run(&["aply"]);

    assert!(seen.stderr.contains("aply"), "{}", seen.stderr);
    assert_eq!(seen.code, 2);
}
