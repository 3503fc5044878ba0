//! State charts: what the loader refuses, and what the charts in the files promise.

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

/// Replaces one text in the chart of plans, which must stand there, and loads it.
fn fault_after(from: &str, to: &str) -> ChartFault {
    assert!(PLAN_CHART_JSON.contains(from), "{from} is not in the file");
    let text = PLAN_CHART_JSON.replacen(from, to, 1);
    PlanChart::load("plan", &text).unwrap_err().fault
}

fn fault_of_request_after(from: &str, to: &str) -> ChartFault {
    assert!(
        REQUEST_CHART_JSON.contains(from),
        "{from} is not in the file"
    );
    let text = REQUEST_CHART_JSON.replacen(from, to, 1);
    load_request_chart(&text).unwrap_err().fault
}

#[test]
fn the_charts_that_are_built_in_load() {
    assert_eq!(validate_all_charts(), Ok(()));
}

#[test]
fn the_page_of_charts_is_drawn_from_the_files() {
    let page = include_str!("../../docs/charts.md");

    let drawn = Charts::load().unwrap().to_markdown();

    assert_eq!(
        page, drawn,
        "run the command that stands at the top of docs/charts.md"
    );
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
#[case(r#""chart": "plan""#, r#""chart": "group""#, "of the chart \"group\"")]
#[case(r#""final": true,"#, "", "has no way out")]
#[case(r#""initial""#, r#""begin""#, "cannot be read")]
fn a_faulty_file_is_refused(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    let fault = fault_after(from, to);

    assert!(fault.to_string().contains(message), "{fault}");
}

#[test]
fn an_event_without_an_answer_is_named_with_its_state() {
    let fault = fault_after(r#""ignore": ["spread_started", "#, r#""ignore": ["#);

    let expected = ChartFault::MissingTransition {
        state: "proposed".to_owned(),
        event: "spread_started".to_owned(),
    };
    assert_eq!(fault, expected);
}

#[test]
fn an_event_that_is_answered_and_ignored_is_refused() {
    let fault = fault_after(r#""ignore": ["#, r#""ignore": ["confirmed", "#);

    assert!(matches!(fault, ChartFault::AnsweredTwice { .. }), "{fault}");
}

#[test]
fn a_key_that_stands_twice_is_refused() {
    let expired = r#""expired": [{"to": "superseded"}]"#;

    let fault = fault_after(expired, &format!("{expired}, {expired}"));

    assert!(
        fault.to_string().contains("\"expired\" stands twice"),
        "{fault}"
    );
}

#[test]
fn a_state_that_cannot_be_reached_is_refused() {
    let fault = fault_after(r#"{"to": "refused", "do""#, r#"{"to": "superseded", "do""#);

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
fn an_upstream_that_leaves_comes_back_only_as_a_new_run() {
    // The caller sees no request sent to an upstream that said it is leaving.
    // An announcement of the same run that does not say "leaving" may follow, for
    // example from a thread that lags; it must not bring the upstream back.
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
fn a_request_chart_that_breaks_its_promise_is_refused(#[case] event: &str) {
    // If a replica that died while the request was being sent led to "not run", the
    // caller would send the request again and a receipt could be filed twice.
    let mut file: serde_json::Value = serde_json::from_str(REQUEST_CHART_JSON).unwrap();
    let answer = &mut file["states"]["sending"]["on"][event];
    assert!(
        answer.is_array(),
        "the chart does not answer {event} in this state"
    );
    *answer = serde_json::json!([{"to": "refused_not_run", "do": ["answer_not_run"]}]);
    let text = file.to_string();

    let fault = load_request_chart(&text).unwrap_err().fault;

    let expected = ChartFault::PromiseBroken {
        state: "sending".to_owned(),
        event: event.to_owned(),
    };
    assert_eq!(fault, expected);
}

#[test]
fn a_claim_is_not_given_back_after_the_end() {
    // A doubled grant arrives after the caller left while its request was being sent.
    // If that gave the claim back, a resend could run the request a second time.
    let mut file: serde_json::Value = serde_json::from_str(REQUEST_CHART_JSON).unwrap();
    let cancelled = &mut file["states"]["cancelled"];
    cancelled["on"]["claim_granted"] = serde_json::json!([{"do": ["release_claim"]}]);
    let ignored = cancelled["ignore"].as_array_mut().unwrap();
    ignored.retain(|event| event != "claim_granted");

    let fault = load_request_chart(&file.to_string()).unwrap_err().fault;

    assert!(matches!(fault, ChartFault::PromiseBroken { .. }), "{fault}");
}

#[test]
fn the_guard_for_earlier_attempts_may_not_be_taken_out() {
    let guarded = r#"{"if": "earlier_attempt_may_have_run", "to": "outcome_unknown", "do": ["free_slot", "keep_claim", "answer_outcome_unknown"]},"#;

    let fault = fault_of_request_after(guarded, "");

    assert!(matches!(fault, ChartFault::PromiseBroken { .. }), "{fault}");
}

/// What a request has behind it, as the walk below keeps it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Walk {
    state: RequestState,
    /// An attempt before the present one may have run.
    earlier_may_have_run: bool,
    slots_held: u8,
}

/// Every state of a request that any sequence of events leads to, with its history.
fn request_walks() -> BTreeSet<Walk> {
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
                open.push(after(walk, *event, step.state, step.actions));
            }
        }
    }
    seen
}

fn after(walk: Walk, event: RequestEvent, to: RequestState, actions: &[RequestAction]) -> Walk {
    let sent = matches!(
        walk.state,
        RequestState::Sending
            | RequestState::AwaitingFirstByte
            | RequestState::Streaming
            | RequestState::Resuming
    );
    let leaves_attempt = to != walk.state && sent && event != RequestEvent::NotStarted;
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
fn no_sequence_of_events_answers_not_run_after_a_request_may_have_run() {
    let walks = request_walks();

    let refused = walks
        .iter()
        .filter(|w| w.state == RequestState::RefusedNotRun);
    assert!(refused.clone().count() > 0);
    assert!(refused.into_iter().all(|walk| !walk.earlier_may_have_run));
    let retried = walks.iter().filter(|w| w.earlier_may_have_run);
    assert!(retried.count() > 0, "no walk tries a request again");
}

#[test]
fn no_sequence_of_events_frees_a_slot_twice_or_never() {
    let chart = &Charts::shared().unwrap().request;

    let walks = request_walks();

    assert!(walks.iter().all(|walk| walk.slots_held <= 1));
    let ended = walks.iter().filter(|walk| chart.is_final(walk.state));
    assert!(ended.into_iter().all(|walk| walk.slots_held == 0));
}

#[test]
fn a_group_counts_as_down_exactly_while_it_is_wanted_and_does_not_serve() {
    let chart = &Charts::shared().unwrap().group;
    let down = |state| match state {
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
            !down(transition.from) && down(transition.to),
            "{transition:?}"
        );
        assert_eq!(
            ends,
            down(transition.from) && !down(transition.to),
            "{transition:?}"
        );
    }
}

#[test]
fn requests_are_admitted_in_no_state_but_serving() {
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
fn every_name_is_read_as_it_is_written() {
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
