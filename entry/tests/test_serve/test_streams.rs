//! Whole answers: streams that break, resume, cross, or lose their caller.

use cicadabend::{
    caller_api::ErrorCode,
    prelude::*, //
};
use rstest::rstest;

use crate::support::{
    Answer,
    Fixture,
    ReceivedRequest,
    ScriptedUpstream,
    Step, //
};

/// An engine whose first answer breaks off after positions 0 and 1.
fn engine_breaking_once(rest: impl Fn() -> Vec<Step> + Send + Sync + 'static) -> ScriptedUpstream {
    ScriptedUpstream::start(move |_, request: &ReceivedRequest| {
        if request.header("x-cicadabend-resume-from").is_some() {
            return rest();
        }
        vec![
            Step::stream_head(),
            Step::event(0, "a"),
            Step::event(1, "b"),
            Step::Close,
        ]
    })
}

fn complete(fixture: &Fixture) -> Answer {
    let mut caller = fixture.caller();
    caller.complete("x-request-id: request-1\r\n");
    caller.answer()
}

fn stream(events: Vec<Step>) -> Vec<Step> {
    let mut steps = vec![Step::stream_head()];
    steps.extend(events);
    steps.extend(Step::done());
    steps
}

/// The connection to the engine breaks in the middle. The rest is asked for from
/// the same group; it repeats a position that was delivered, which is left out.
/// The caller sees one whole answer.
#[test]
fn a_broken_stream_is_resumed_without_a_seam() {
    let engine = engine_breaking_once(|| stream(vec![Step::event(1, "b"), Step::event(2, "c")]));
    let fixture = Fixture::with_engines(&[engine.address]);

    let answer = complete(&fixture);

    assert!(answer.is_whole);
    assert_eq!(answer.tokens(), ["a", "b", "c", "[DONE]"]);
    assert_eq!(fixture.counter("serving.resumes"), 1);
    let requests = engine.requests();
    assert_eq!(
        requests[1].header("x-cicadabend-resume-from").as_deref(),
        Some("2")
    );
    assert_eq!(
        requests[1].header("x-request-id").as_deref(),
        Some("request-1")
    );
    assert_eq!(requests[1].body, requests[0].body);
}

/// The engine cannot give the rest: it refuses, or it starts another generation,
/// or it leaves out a position. The caller is told how much it has, and the end of
/// the connection is no end of an answer. Nothing of the wrong rest is delivered.
#[rstest]
#[case::refused(vec![Step::not_started("404 Not Found")])]
#[case::other_generation(vec![Step::stream_head(), Step::event_of("gen-2", 2, "x"), Step::Close])]
#[case::gap(vec![Step::stream_head(), Step::event(3, "x"), Step::Close])]
#[case::other_request(vec![Step::stream_head(), Step::event_for("request-9", 2, "x"), Step::Close])]
fn a_rest_that_does_not_fit_is_never_spliced_in(#[case] rest: Vec<Step>) {
    let engine = engine_breaking_once(move || rest.clone());
    let fixture = Fixture::with_engines(&[engine.address]);

    let answer = complete(&fixture);

    assert!(!answer.is_whole);
    assert_eq!(answer.tokens(), ["a", "b"]);
    let error = answer.error_event().unwrap();
    assert_eq!(error.code, ErrorCode::AnswerBroken);
    assert_eq!(error.delivered_positions, Some(2));
    assert!(!error.not_run);
    fixture.wait_for_counter("attempts_running", 0);
    assert_eq!(fixture.counter("refusals.answer_broken"), 1);
}

/// A stream ends properly, but without its last event: the engine was stopped.
#[test]
fn an_end_without_the_last_event_is_no_end() {
    let engine = ScriptedUpstream::start(|_, request: &ReceivedRequest| {
        if request.header("x-cicadabend-resume-from").is_some() {
            return stream(vec![Step::event(1, "b")]);
        }
        let mut steps = vec![Step::stream_head(), Step::event(0, "a")];
        steps.push(Step::last_chunk());
        steps
    });
    let fixture = Fixture::with_engines(&[engine.address]);

    let answer = complete(&fixture);

    assert!(answer.is_whole);
    assert_eq!(answer.tokens(), ["a", "b", "[DONE]"]);
}

/// The engine is paused in the middle of an answer and stays connected. Silence
/// beyond the limit counts as a break.
#[test]
fn a_silent_engine_is_asked_again() {
    let engine = ScriptedUpstream::start(|_, request: &ReceivedRequest| {
        if request.header("x-cicadabend-resume-from").is_some() {
            return stream(vec![Step::event(1, "b")]);
        }
        vec![Step::stream_head(), Step::event(0, "a"), Step::AwaitClose]
    });
    let fixture = Fixture::start(&[engine.address], &[], |settings| {
        settings.callers.first_byte_timeout_ms = 300;
    });

    let answer = complete(&fixture);

    assert_eq!(answer.tokens(), ["a", "b", "[DONE]"]);
}

/// The group was formed anew while the stream was broken. What the new one
/// generates is another answer, so it is not asked.
#[test]
fn a_group_under_another_token_is_not_asked_for_the_rest() {
    let engine = ScriptedUpstream::start(|_, _| {
        vec![
            Step::stream_head(),
            Step::event(0, "a"),
            Step::PauseMs(300),
            Step::Close,
        ]
    });
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();
    caller.complete("");
    caller.head();

    fixture.change_snapshot(|snapshot| {
        snapshot.replicas[0].token = FencingToken {
            epoch: 1,
            sequence: 3,
        };
    });
    let mut body = String::new();
    while let Some(chunk) = caller.chunk() {
        body.push_str(&chunk);
    }

    assert!(body.contains("answer_broken"));
    assert_eq!(engine.requests().len(), 1);
}

/// The first event belongs to another request. Nothing was sent on yet, so
/// another group answers.
#[test]
fn a_crossed_answer_is_refused_before_its_first_byte() {
    let crossed =
        ScriptedUpstream::start(|_, _| stream(vec![Step::event_for("request-9", 0, "secret")]));
    let good = ScriptedUpstream::start(|_, _| stream(vec![Step::event(0, "a")]));
    let fixture = Fixture::with_engines(&[crossed.address, good.address]);

    for _ in 0..2 {
        assert_eq!(complete(&fixture).tokens(), ["a", "[DONE]"]);
    }

    assert_eq!(crossed.requests().len(), 1);
}

/// A whole answer breaks off half way. Nothing was sent on, so it is started again.
#[test]
fn a_broken_whole_answer_is_started_again() {
    let body = "{\"id\":\"gen-1\"}";
    let engine = ScriptedUpstream::start(move |number, _| match number {
        0 => vec![
            Step::send("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"id\""),
            Step::Close,
        ],
        _ => vec![Step::whole("200 OK", body)],
    });
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();

    caller.send(
        "POST",
        "/v1/completions",
        "",
        "{\"model\":\"drafting-llm\"}",
    );
    let answer = caller.answer();

    assert_eq!((answer.status, answer.body.as_str()), (200, body));
    assert_eq!(engine.requests().len(), 2);
}

/// The caller leaves in the middle of its stream. The engine is told to stop once,
/// and the request is no longer counted at its replica.
#[test]
fn a_caller_that_leaves_frees_its_slot_once() {
    let engine = ScriptedUpstream::start(|_, _| {
        vec![Step::stream_head(), Step::event(0, "a"), Step::AwaitClose]
    });
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();
    caller.complete("x-request-id: request-1\r\n");
    caller.head();
    assert_eq!(fixture.counter("attempts_running"), 1);

    drop(caller);

    fixture.wait_for_counter("attempts_running", 0);
    engine.wait_closed();
    fixture.wait_for_counter("serving.cancels", 1);
    let cancels = engine.wait_for_cancels();
    assert_eq!(cancels.len(), 1);
    assert!(cancels[0].head.contains("/cancel/request-1 "));
}

/// Two callers use the same request id at the same time. Engines cancel and resume by
/// id, so the second one gets an id of its own, and the end of the first does not
/// stop it.
#[test]
fn two_requests_in_progress_never_share_an_id() {
    let engine = ScriptedUpstream::start(|_, _| {
        vec![Step::stream_head(), Step::event(0, "a"), Step::AwaitClose]
    });
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut callers = [fixture.caller(), fixture.caller()];

    for caller in &mut callers {
        caller.complete("x-request-id: request-1\r\n");
        caller.head();
    }

    let ids: Vec<_> = engine
        .requests()
        .iter()
        .map(|r| r.header("x-request-id"))
        .collect();
    assert_eq!(ids.len(), 2);
    assert_ne!(ids[0], ids[1]);
}

/// The caller leaves before the first byte of the answer.
#[test]
fn a_caller_that_leaves_while_waiting_frees_its_slot() {
    let engine = ScriptedUpstream::start(|_, _| vec![Step::AwaitClose]);
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();
    caller.complete("");
    fixture.wait_for_counter("attempts_running", 1);
    while engine.requests().is_empty() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }

    drop(caller);

    fixture.wait_for_counter("attempts_running", 0);
    fixture.wait_for_counter("serving.cancels", 1);
}
