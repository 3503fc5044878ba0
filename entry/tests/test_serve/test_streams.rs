//! Complete responses: streams that break off, resume, get mixed up or lose their caller.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    },
};

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

/// More than the sockets between an engine and the daemon hold.
const SOCKET_BUFFERS_BYTES: usize = 16 * 1024 * 1024;

/// Starts an engine that breaks off after positions 0 and 1, and answers a resume with `rest`.
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

fn run_completion(fixture: &Fixture) -> Answer {
    let mut caller = fixture.caller();
    caller.complete("x-request-id: request-1\r\n");
    caller.answer()
}

fn stream_steps(events: Vec<Step>) -> Vec<Step> {
    let mut steps = vec![Step::stream_head()];
    steps.extend(events);
    steps.extend(Step::done());
    steps
}

/// Guards against gaps and duplicates in a resumed stream: the connection to the engine breaks in
/// the middle. The rest is requested from the same group, which sends a delivered position again.
/// The caller gets each position once.
#[test]
fn a_broken_stream_is_resumed_without_gap_or_duplicate() {
    let engine =
        engine_breaking_once(|| stream_steps(vec![Step::event(1, "b"), Step::event(2, "c")]));
    let fixture = Fixture::with_engines(&[engine.address]);

    let answer = run_completion(&fixture);

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

/// Guards against a stream that is put together from two responses: the engine refuses to resume,
/// starts another generation, leaves out a position, or answers another request. None of that is
/// delivered; the caller gets an error with its number of positions, and a broken connection.
#[rstest]
#[case::refused(vec![Step::not_started("404 Not Found")])]
#[case::other_generation(vec![Step::stream_head(), Step::event_of("gen-2", 2, "x"), Step::Close])]
#[case::gap(vec![Step::stream_head(), Step::event(3, "x"), Step::Close])]
#[case::other_request(vec![Step::stream_head(), Step::event_for("request-9", 2, "x"), Step::Close])]
fn a_rest_that_does_not_match_is_never_delivered(#[case] rest: Vec<Step>) {
    let engine = engine_breaking_once(move || rest.clone());
    let fixture = Fixture::with_engines(&[engine.address]);

    let answer = run_completion(&fixture);

    assert!(!answer.is_whole);
    assert_eq!(answer.tokens(), ["a", "b"]);
    let error = answer.error_event().unwrap();
    assert_eq!(error.code, ErrorCode::AnswerBroken);
    assert_eq!(error.delivered_positions, Some(2));
    assert!(!error.not_run);
    fixture.wait_for_counter("attempts_running", 0);
    assert_eq!(fixture.counter("refusals.answer_broken"), 1);
}

/// Guards against a truncated stream that counts as complete: the engine was stopped, and its
/// stream ends by a valid last chunk, but without the last event.
#[test]
fn an_end_without_the_last_event_is_resumed() {
    let engine = ScriptedUpstream::start(|_, request: &ReceivedRequest| {
        if request.header("x-cicadabend-resume-from").is_some() {
            return stream_steps(vec![Step::event(1, "b")]);
        }
        let mut steps = vec![Step::stream_head(), Step::event(0, "a")];
        steps.push(Step::last_chunk());
        steps
    });
    let fixture = Fixture::with_engines(&[engine.address]);

    let answer = run_completion(&fixture);

    assert!(answer.is_whole);
    assert_eq!(answer.tokens(), ["a", "b", "[DONE]"]);
}

/// Guards against a stream that stalls forever: the engine is paused in the middle and stays
/// connected. After the time limit the rest is requested.
#[test]
fn a_stream_of_a_silent_engine_is_resumed() {
    let engine = ScriptedUpstream::start(|_, request: &ReceivedRequest| {
        if request.header("x-cicadabend-resume-from").is_some() {
            return stream_steps(vec![Step::event(1, "b")]);
        }
        vec![Step::stream_head(), Step::event(0, "a"), Step::AwaitClose]
    });
    let fixture = Fixture::start(&[engine.address], &[], |settings| {
        settings.callers.first_byte_timeout_ms = 300;
    });

    let answer = run_completion(&fixture);

    assert_eq!(answer.tokens(), ["a", "b", "[DONE]"]);
    engine.wait_closed();
}

/// Guards against a sound stream that is given up for its silence: the engine pauses for longer
/// than the time limit, and the request for the rest brings nothing.
#[rstest]
#[case::refused(vec![Step::not_started("503 Service Unavailable")])]
#[case::reset(vec![Step::Close])]
#[case::never_answered(vec![Step::AwaitClose])]
#[case::broken_off(vec![Step::stream_head(), Step::Close])]
#[case::silent_too(vec![Step::stream_head(), Step::AwaitClose])]
#[case::other_generation(vec![Step::stream_head(), Step::event_of("gen-2", 1, "x"), Step::Close])]
fn a_stream_that_pauses_is_whole_although_its_rest_is_not_sent(#[case] rest: Vec<Step>) {
    let engine = ScriptedUpstream::start(move |_, request: &ReceivedRequest| {
        if request.header("x-cicadabend-resume-from").is_some() {
            return rest.clone();
        }
        stream_steps(vec![
            Step::event(0, "a"),
            Step::PauseMs(900),
            Step::event(1, "b"),
        ])
    });
    let fixture = Fixture::start(&[engine.address], &[], |settings| {
        settings.callers.first_byte_timeout_ms = 300;
    });

    let answer = run_completion(&fixture);

    assert!(answer.is_whole);
    assert_eq!(answer.tokens(), ["a", "b", "[DONE]"]);
    assert!(fixture.counter("serving.resumes") > 0);
    fixture.wait_for_counter("attempts_running", 0);
    engine.wait_closed();
}

/// Guards against a sound stream that is given up because its group was formed anew while it
/// paused, and against a stream without positions that is given up for its pause.
#[rstest]
#[case::other_token(Step::event(0, "a"), Step::event(1, "b"), 3)]
#[case::no_positions(
    Step::chunk("data: {\"token\":\"a\"}\n\n"),
    Step::chunk("data: {\"token\":\"b\"}\n\n"),
    2
)]
fn a_stream_that_pauses_is_whole_although_nobody_can_resume_it(
    #[case] first: Step,
    #[case] second: Step,
    #[case] sequence: u32,
) {
    let engine = ScriptedUpstream::start(move |_, _| {
        stream_steps(vec![first.clone(), Step::PauseMs(900), second.clone()])
    });
    let fixture = Fixture::start(&[engine.address], &[], |settings| {
        settings.callers.first_byte_timeout_ms = 300;
    });
    let mut caller = fixture.caller();
    caller.complete("");
    caller.head();

    fixture.change_snapshot(|snapshot| {
        snapshot.replicas[0].token = FencingToken { epoch: 1, sequence };
    });
    let mut body = String::new();
    while !body.contains("[DONE]")
        && let Some(chunk) = caller.chunk()
    {
        body.push_str(&chunk);
    }

    assert!(body.ends_with("[DONE]\n\n"), "{body}");
    assert_eq!(engine.requests().len(), 1);
}

/// Guards against a slot that is never released: the engine stays silent, and so does its rest.
#[rstest]
#[case::refused(vec![Step::not_started("503 Service Unavailable")])]
#[case::silent_too(vec![Step::AwaitClose])]
fn a_stream_whose_engine_stays_silent_ends_with_an_error(#[case] rest: Vec<Step>) {
    let engine = ScriptedUpstream::start(move |_, request: &ReceivedRequest| {
        if request.header("x-cicadabend-resume-from").is_some() {
            return rest.clone();
        }
        vec![Step::stream_head(), Step::event(0, "a"), Step::AwaitClose]
    });
    let fixture = Fixture::start(&[engine.address], &[], |settings| {
        settings.callers.first_byte_timeout_ms = 100;
    });

    let answer = run_completion(&fixture);

    assert!(!answer.is_whole);
    let error = answer.error_event().unwrap();
    assert_eq!(error.delivered_positions, Some(1));
    assert_eq!(fixture.counter("serving.resumes"), 4);
    fixture.wait_for_counter("attempts_running", 0);
}

/// Guards against a rest from another generation: the group was formed anew while the stream was
/// broken, and its new members would generate another response.
#[test]
fn a_group_with_another_token_is_not_asked_for_the_rest() {
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

/// Guards against a response that reaches the wrong caller: the first event belongs to another
/// request. Nothing was delivered yet, so the request is retried at another group.
#[test]
fn a_response_to_another_request_is_never_delivered() {
    let crossed = ScriptedUpstream::start(|_, _| {
        stream_steps(vec![Step::event_for("request-9", 0, "secret")])
    });
    let good = ScriptedUpstream::start(|_, _| stream_steps(vec![Step::event(0, "a")]));
    let fixture = Fixture::with_engines(&[crossed.address, good.address]);

    for _ in 0..2 {
        assert_eq!(run_completion(&fixture).tokens(), ["a", "[DONE]"]);
    }

    assert_eq!(crossed.requests().len(), 1);
}

/// Guards against an error for a response that can be retried: a response that is not streamed
/// breaks off half way. Nothing was delivered yet, so the request is sent again.
#[test]
fn a_broken_response_that_is_not_streamed_is_retried() {
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

/// Guards against an engine that continues without a caller, and a slot that is never released: the
/// caller disconnects in the middle of its stream. The engine gets one cancel request.
#[test]
fn a_caller_that_disconnects_releases_its_slot_once() {
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

/// Guards against an answer to a cancel request that is held whole, however long it is.
#[test]
fn an_endless_answer_to_a_cancel_request_is_not_held() {
    let written = Arc::new(AtomicUsize::new(0));
    let endless = Step::SendOn(vec![b'x'; 64 * 1024], Arc::clone(&written));
    let cancel_answer = vec![Step::send("HTTP/1.1 200 OK\r\n\r\n"), endless];
    let engine = ScriptedUpstream::start_answering_cancels(cancel_answer, |_, _| {
        vec![Step::stream_head(), Step::event(0, "a"), Step::AwaitClose]
    });
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();
    caller.complete("");
    caller.head();

    drop(caller);

    // The connections of the stream and of the cancel request.
    engine.wait_closed();
    engine.wait_closed();
    let written = written.load(Ordering::SeqCst);
    assert!(written < SOCKET_BUFFERS_BYTES, "{written} bytes were taken");
}

/// Guards against a cancel or resume of the wrong request: two callers use the same request id at
/// the same time. Engines cancel and resume by id, so the second request gets another id.
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

/// Guards against a slot that is never released: the caller disconnects before the first byte of
/// the response.
#[test]
fn a_caller_that_disconnects_before_the_response_releases_its_slot() {
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
