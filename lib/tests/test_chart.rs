//! State charts: faults that the loader detects, and properties of the charts in the files.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::collections::BTreeSet;

use cicadabend::chart::{
    Chart,
    ChartFault,
    ChartName,
    Charts,
    GroupAction,
    GroupState,
    PLAN_CHART_JSON,
    PlanChart,
    PlanEvent,
    PlanGuard,
    PlanState,
    REQUEST_CHART_JSON,
    RequestAction,
    RequestEvent,
    RequestGuard,
    RequestState,
    UpstreamEvent,
    UpstreamGuard,
    UpstreamState,
    load_request_chart,
    validate_all_charts, //
};
use rstest::rstest;

/// Replaces one text in the chart of plans, which must contain it, and returns the fault that
/// loading reports.
fn plan_chart_fault_after(from: &str, to: &str) -> ChartFault {
    assert!(PLAN_CHART_JSON.contains(from), "{from} is not in the file");
    let text = PLAN_CHART_JSON.replacen(from, to, 1);
    PlanChart::load("plan", &text).unwrap_err().fault
}

/// Does the same as [`plan_chart_fault_after`] with the chart of requests.
fn request_chart_fault_after(from: &str, to: &str) -> ChartFault {
    assert!(
        REQUEST_CHART_JSON.contains(from),
        "{from} is not in the file"
    );
    let text = REQUEST_CHART_JSON.replacen(from, to, 1);
    load_request_chart(&text).unwrap_err().fault
}

#[test]
fn the_compiled_in_charts_are_valid() {
    assert_eq!(validate_all_charts(), Ok(()));
}

#[test]
fn the_page_of_charts_matches_the_files() {
    let page = include_str!("../../docs/charts.md");

    let drawn = Charts::load().unwrap().to_markdown();

    assert_eq!(page, drawn, "run the command at the top of docs/charts.md");
}

#[rstest]
#[case(
    r#""initial": "proposed""#,
    r#""initial": "thought_of""#,
    "no state \"thought_of\""
)]
#[case(r#""stopped": {"#, r#""halted": {"#, "no state \"halted\"")]
#[case(
    r#""expired": [{"to": "superseded"}]"#,
    r#""rotten": []"#,
    "no event \"rotten\""
)]
#[case(
    r#"[{"to": "superseded"}]"#,
    r#"[{"to": "gone"}]"#,
    "no state \"gone\""
)]
#[case(r#""if": "base_is_current""#, r#""if": "lucky""#, "no guard \"lucky\"")]
#[case(
    r#""do": ["accept_revision"]"#,
    r#""do": ["hope"]"#,
    "no action \"hope\""
)]
#[case(r#", "do": ["record_duration"]"#, "", "action record_duration")]
#[case(r#""if": "was_confirmed", "#, "", "last transition must have no guard")]
#[case(
    r#""expired": [{"to": "superseded"}]"#,
    r#""expired": []"#,
    "last transition must"
)]
#[case(
    r#""chart": "plan""#,
    r#""chart": "group""#,
    "contains the chart \"group\""
)]
#[case(r#""final": true,"#, "", "has no transition to another state")]
#[case(r#""initial""#, r#""begin""#, "cannot be read")]
fn a_chart_file_with_a_fault_is_refused(
    #[case] from: &str,
    #[case] to: &str,
    #[case] message: &str,
) {
    let fault = plan_chart_fault_after(from, to);

    assert!(fault.to_string().contains(message), "{fault}");
}

#[test]
fn an_event_that_a_state_neither_handles_nor_ignores_is_refused() {
    let fault = plan_chart_fault_after(r#""ignore": ["spread_started", "#, r#""ignore": ["#);

    let expected = ChartFault::MissingTransition {
        state: "proposed".to_owned(),
        event: "spread_started".to_owned(),
    };
    assert_eq!(fault, expected);
}

#[test]
fn an_event_that_is_handled_and_ignored_is_refused() {
    let fault = plan_chart_fault_after(r#""ignore": ["#, r#""ignore": ["confirmed", "#);

    assert!(
        matches!(fault, ChartFault::HandledAndIgnored { .. }),
        "{fault}"
    );
}

#[test]
fn a_duplicate_key_is_refused() {
    let expired = r#""expired": [{"to": "superseded"}]"#;

    let fault = plan_chart_fault_after(expired, &format!("{expired}, {expired}"));

    assert!(
        fault.to_string().contains("duplicate key \"expired\""),
        "{fault}"
    );
}

#[test]
fn a_state_that_cannot_be_reached_is_refused() {
    let fault = plan_chart_fault_after(r#"{"to": "refused", "do""#, r#"{"to": "superseded", "do""#);

    let expected = ChartFault::Unreachable {
        state: "refused".to_owned(),
    };
    assert_eq!(fault, expected);
}

#[test]
fn a_state_that_the_file_lacks_is_refused() {
    let start = PLAN_CHART_JSON.find("    \"refused\": {").unwrap();
    let before = PLAN_CHART_JSON[..start].trim_end().trim_end_matches(',');

    let fault = PlanChart::load("plan", &format!("{before}\n  }}\n}}")).unwrap_err();

    let expected = "the state chart plan: the code knows a state refused that the file lacks";
    assert_eq!(fault.to_string(), expected);
}

#[test]
fn the_first_transition_whose_guard_holds_is_taken() {
    let chart = &Charts::shared().unwrap().plan;

    let current = |guard| guard == PlanGuard::BaseIsCurrent;
    let accepted = chart.step(PlanState::Proposed, PlanEvent::Confirmed, current);
    let refused = chart.step(PlanState::Proposed, PlanEvent::Confirmed, |_| false);
    let ignored = chart.step(PlanState::Proposed, PlanEvent::InForce, |_| true);

    assert_eq!(accepted.state, PlanState::Confirmed);
    assert_eq!(refused.state, PlanState::Refused);
    assert_eq!(
        (ignored.state, ignored.ignored),
        (PlanState::Proposed, true)
    );
}

#[test]
fn a_leaving_upstream_returns_only_as_a_new_process_instance() {
    // Requests must not go to an upstream that announced that it is leaving. A late announcement
    // of the same process instance that is not marked as leaving may follow, for example from a
    // slow thread; it must not make the upstream alive again.
    let chart = &Charts::shared().unwrap().upstream;
    let new_boot = |guard| guard == UpstreamGuard::BootIsNew;

    let same = chart.step(UpstreamState::Leaving, UpstreamEvent::Announced, |_| false);
    let new = chart.step(UpstreamState::Leaving, UpstreamEvent::Announced, new_boot);

    assert_eq!(same.state, UpstreamState::Leaving);
    assert_eq!(new.state, UpstreamState::Alive);
}

#[rstest]
#[case("upstream_failed")]
#[case("deadline_passed")]
#[case("caller_gone")]
#[case("first_byte")]
fn a_request_chart_that_answers_not_run_after_sending_is_refused(#[case] event: &str) {
    // A replica may have run a request that was being sent to it when it died. If the chart
    // answered "not run", the caller would retry and the request could run twice.
    let mut file: serde_json::Value = serde_json::from_str(REQUEST_CHART_JSON).unwrap();
    let transitions = &mut file["states"]["sending"]["on"][event];
    assert!(
        transitions.is_array(),
        "the chart has no transition on {event} in this state"
    );
    *transitions = serde_json::json!([{"to": "refused_not_run", "do": ["answer_not_run"]}]);
    let text = file.to_string();

    let fault = load_request_chart(&text).unwrap_err().fault;

    let expected = ChartFault::PromiseBroken {
        state: "sending".to_owned(),
        event: event.to_owned(),
    };
    assert_eq!(fault, expected);
}

#[test]
fn a_request_chart_that_releases_a_claim_after_cancellation_is_refused() {
    // A duplicate grant can arrive after the caller disconnected while its request was being
    // sent. If the grant released the claim, a client retry could run the request a second time.
    let mut file: serde_json::Value = serde_json::from_str(REQUEST_CHART_JSON).unwrap();
    let cancelled = &mut file["states"]["cancelled"];
    cancelled["on"]["claim_granted"] = serde_json::json!([{"do": ["release_claim"]}]);
    let ignored = cancelled["ignore"].as_array_mut().unwrap();
    ignored.retain(|event| event != "claim_granted");

    let fault = load_request_chart(&file.to_string()).unwrap_err().fault;

    assert!(matches!(fault, ChartFault::PromiseBroken { .. }), "{fault}");
}

#[test]
fn a_request_chart_without_the_guard_for_earlier_attempts_is_refused() {
    let guarded = r#"{"if": "earlier_attempt_may_have_run", "to": "outcome_unknown", "do": ["free_slot", "keep_claim", "answer_outcome_unknown"]},"#;

    let fault = request_chart_fault_after(guarded, "");

    assert!(matches!(fault, ChartFault::PromiseBroken { .. }), "{fault}");
}

/// A request's state and the part of its history that the tests below check.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Walk {
    state: RequestState,
    /// Whether an attempt before the present one may have run.
    earlier_may_have_run: bool,
    slots_held: u8,
}

/// Returns every state that a request can reach by any sequence of events, with its history.
fn reachable_request_walks() -> BTreeSet<Walk> {
    let chart = &Charts::shared().unwrap().request;
    let mut seen = BTreeSet::new();
    let mut open = vec![Walk {
        state: chart.initial(),
        earlier_may_have_run: false,
        slots_held: 0,
    }];
    while let Some(walk) = open.pop() {
        if !seen.insert(walk) {
            continue;
        }
        for event in RequestEvent::ALL {
            for choice in 0..1_u32 << RequestGuard::ALL.len() {
                let holds = |guard: RequestGuard| match guard {
                    RequestGuard::EarlierAttemptMayHaveRun => walk.earlier_may_have_run,
                    _ => choice & (1 << guard.index()) != 0,
                };
                let step = chart.step(walk.state, *event, holds);
                open.push(next_walk(walk, *event, step.state, step.actions));
            }
        }
    }
    seen
}

/// Returns the walk after a transition.
fn next_walk(walk: Walk, event: RequestEvent, to: RequestState, actions: &[RequestAction]) -> Walk {
    let may_have_been_sent = matches!(
        walk.state,
        RequestState::Sending
            | RequestState::AwaitingFirstByte
            | RequestState::Streaming
            | RequestState::Resuming
    );
    let leaves_attempt =
        to != walk.state && may_have_been_sent && event != RequestEvent::NotStarted;
    let mut slots_held = walk.slots_held;
    for action in actions {
        match action {
            RequestAction::TakeSlot => slots_held += 1,
            RequestAction::FreeSlot => slots_held = slots_held.checked_sub(1).unwrap(),
            _ => {}
        }
    }
    Walk {
        state: to,
        earlier_may_have_run: walk.earlier_may_have_run
            || (leaves_attempt && to == RequestState::Connecting)
            || (leaves_attempt && to == RequestState::RefusedNotRun),
        slots_held,
    }
}

#[test]
fn not_run_is_never_answered_after_a_request_may_have_run() {
    let walks = reachable_request_walks();

    let refused = walks
        .iter()
        .filter(|w| w.state == RequestState::RefusedNotRun);
    assert!(refused.clone().count() > 0);
    assert!(refused.into_iter().all(|walk| !walk.earlier_may_have_run));
    let retried = walks.iter().filter(|w| w.earlier_may_have_run);
    assert!(retried.count() > 0, "no walk retries a request");
}

#[test]
fn every_slot_is_freed_exactly_once() {
    let chart = &Charts::shared().unwrap().request;

    let walks = reachable_request_walks();

    assert!(walks.iter().all(|walk| walk.slots_held <= 1));
    let ended = walks.iter().filter(|walk| chart.is_final(walk.state));
    assert!(ended.into_iter().all(|walk| walk.slots_held == 0));
}

#[test]
fn a_group_has_downtime_exactly_while_it_is_demanded_and_does_not_serve() {
    let chart = &Charts::shared().unwrap().group;
    let is_down = |state| match state {
        GroupState::Wanted
        | GroupState::Commanding
        | GroupState::Loading
        | GroupState::Incomplete
        | GroupState::Repairing => true,
        GroupState::Serving
        | GroupState::Draining
        | GroupState::Releasing
        | GroupState::Retired => false,
    };

    for transition in chart.transitions() {
        let starts = transition.actions.contains(&GroupAction::StartDowntime);
        let ends = transition.actions.contains(&GroupAction::EndDowntime);

        assert_eq!(
            starts,
            !is_down(transition.from) && is_down(transition.to),
            "{transition:?}"
        );
        assert_eq!(
            ends,
            is_down(transition.from) && !is_down(transition.to),
            "{transition:?}"
        );
    }
}

#[test]
fn a_group_admits_requests_only_while_it_serves() {
    let chart = &Charts::shared().unwrap().group;

    for transition in chart.transitions() {
        let admits = transition.actions.contains(&GroupAction::AdmitRequests);
        let stops = transition.actions.contains(&GroupAction::StopRequests);
        let enters = transition.to == GroupState::Serving && transition.from != transition.to;
        let leaves = transition.from == GroupState::Serving && transition.to != transition.from;

        assert_eq!(admits, enters, "{transition:?}");
        assert!(stops || !leaves, "{transition:?}");
    }
}

#[test]
fn members_are_released_only_after_routing_stopped_and_all_have_left() {
    let chart = &Charts::shared().unwrap().group;

    for transition in chart.transitions() {
        if transition.actions.contains(&GroupAction::ReleaseMembers) {
            assert_eq!(transition.from, GroupState::Releasing);
        }
        if transition.to == GroupState::Releasing && transition.from != transition.to {
            assert_eq!(transition.from, GroupState::Draining);
        }
    }
}

#[test]
fn every_variant_is_found_by_its_name_and_index() {
    fn check<N: ChartName + std::fmt::Debug>() {
        for (index, name) in N::ALL.iter().enumerate() {
            assert_eq!(N::from_name(name.name()), Some(*name));
            assert_eq!(name.index(), index);
        }
    }
    check::<GroupState>();
    check::<UpstreamState>();
    check::<PlanState>();
    check::<RequestState>();
    assert!("asleep".parse::<UpstreamState>().is_err());
}

#[test]
fn a_chart_of_another_name_is_refused() {
    let loaded: Result<PlanChart, _> = Chart::load("plan", REQUEST_CHART_JSON);

    assert!(loaded.is_err());
}
