//! "Not run" is said only where nothing can have run.

use cicadabend::caller_api::ErrorCode;
use rstest::rstest;

use crate::support::{
    Answer,
    Fixture,
    ScriptedUpstream,
    Step, //
};

/// An address at which nobody listens.
fn nobody() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn engine_that(steps: impl Fn() -> Vec<Step> + Send + Sync + 'static) -> ScriptedUpstream {
    ScriptedUpstream::start(move |_, _| steps())
}

fn good_stream() -> Vec<Step> {
    let mut steps = vec![Step::stream_head(), Step::event(0, "a")];
    steps.extend(Step::done());
    steps
}

/// Sends a request whose method HTTP calls unsafe, so that it must not run twice.
fn receipt(fixture: &Fixture) -> Answer {
    let mut caller = fixture.caller();
    caller.send("POST", "/services/field-api/receipt", "", "finding");
    caller.answer()
}

#[test]
fn a_replica_that_cannot_be_reached_makes_no_difference_to_the_caller() {
    let engine = engine_that(good_stream);
    let fixture = Fixture::with_engines(&[nobody(), engine.address]);
    let mut caller = fixture.caller();

    for _ in 0..2 {
        caller.complete("");
        assert_eq!(caller.answer().tokens(), ["a", "[DONE]"]);
    }

    assert_eq!(fixture.counter("retries.connect_failed"), 1);
}

#[test]
fn a_request_that_reached_nobody_did_not_run() {
    let fixture = Fixture::with_plain(&[nobody()]);

    let answer = receipt(&fixture);

    let error = answer.error();
    assert_eq!(error.code, ErrorCode::NotRun);
    assert!(error.not_run && error.retry_is_safe);
    assert!(error.retry_after_ms.is_some());
    assert!(answer.header("retry-after").is_some());
}

/// The upstream reads so many bytes of a request that must not run twice and
/// closes the connection without an answer. From the first byte on it may have
/// run the request, so the caller is told so, and no other replica sees it.
#[rstest]
#[case::one_byte(1)]
#[case::inside_the_head(40)]
#[case::inside_the_body(400)]
fn a_byte_that_was_written_may_have_run(#[case] bytes: usize) {
    let (closing, closed) = ScriptedUpstream::closing_after(bytes);
    let (other, other_closed) = ScriptedUpstream::closing_after(bytes);
    let fixture = Fixture::with_plain(&[closing, other]);
    let mut caller = fixture.caller();
    let body = "x".repeat(400);

    caller.send("POST", "/services/field-api/receipt", "", &body);
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::OutcomeUnknown);
    assert!(!error.not_run && !error.retry_is_safe);
    let connections = closed.load(std::sync::atomic::Ordering::SeqCst)
        + other_closed.load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(connections, 1);
}

/// The same for a completion, which may be repeated: the other replica answers.
#[rstest]
#[case::one_byte(1)]
#[case::inside_the_head(40)]
fn a_repeatable_request_goes_to_another_replica(#[case] bytes: usize) {
    let (closing, _) = ScriptedUpstream::closing_after(bytes);
    let engine = engine_that(good_stream);
    let fixture = Fixture::with_engines(&[closing, engine.address]);
    let mut caller = fixture.caller();

    for _ in 0..2 {
        caller.complete("");
        assert_eq!(caller.answer().tokens(), ["a", "[DONE]"]);
    }

    assert_eq!(fixture.counter("retries.broken_before_answer"), 1);
}

/// The upstream keeps a connection for a while and closes it when it is idle, as
/// servers do. The next request finds the closed connection in the pool; nothing
/// of it was written, so it goes out on a new one and runs once.
#[test]
fn a_closed_connection_in_the_pool_costs_nothing() {
    let upstream = engine_that(|| vec![Step::whole("200 OK", "receipt"), Step::Close]);
    let fixture = Fixture::with_plain(&[upstream.address]);

    for number in 1..=20 {
        let answer = receipt(&fixture);
        assert_eq!((answer.status, answer.body.as_str()), (200, "receipt"));
        assert_eq!(upstream.requests().len(), number);
    }
}

/// An engine whose group has changed refuses before it starts and says so. That
/// is a proof, so even a request that must not run twice goes to another one.
#[test]
fn an_upstream_that_did_not_start_proves_that_nothing_ran() {
    let refusing = engine_that(|| vec![Step::not_started("409 Conflict")]);
    let good = engine_that(|| vec![Step::whole("200 OK", "receipt")]);
    let fixture = Fixture::with_plain(&[refusing.address, good.address]);

    for _ in 0..2 {
        assert_eq!(receipt(&fixture).body, "receipt");
    }

    assert_eq!(refusing.requests().len(), 1);
    assert_eq!(good.requests().len(), 2);
}

#[test]
fn refusals_by_all_replicas_are_a_true_not_run() {
    let refusing = engine_that(|| vec![Step::not_started("503 Service Unavailable")]);
    let fixture = Fixture::with_engines(&[refusing.address]);
    let mut caller = fixture.caller();

    caller.complete("");
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::NotRun);
    assert!(error.not_run);
}

/// The first replica breaks off after it saw the request, the second says that it
/// did not start. The second speaks for itself only: the first may have run it.
#[test]
fn a_denial_does_not_speak_for_an_earlier_attempt() {
    let (closing, _) = ScriptedUpstream::closing_after(40);
    let refusing = engine_that(|| vec![Step::not_started("503 Service Unavailable")]);
    let fixture = Fixture::with_engines(&[closing, refusing.address]);
    let mut caller = fixture.caller();

    for _ in 0..2 {
        caller.complete("");
        let error = caller.answer().error();
        assert!(!error.not_run, "{error:?}");
    }
}

/// The engine takes the request and stays silent beyond the caller's deadline. The
/// caller is told at once that it may have run, and the engine is told to stop.
#[test]
fn a_deadline_after_sending_leaves_the_outcome_unknown() {
    let silent = engine_that(|| vec![Step::AwaitClose]);
    let fixture = Fixture::with_engines(&[silent.address]);
    let mut caller = fixture.caller();

    caller.complete("x-cicadabend-deadline-ms: 150\r\nx-request-id: request-1\r\n");
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::OutcomeUnknown);
    assert!(!error.not_run);
    silent.wait_closed();
    fixture.wait_for_counter("serving.cancels", 1);
}

#[test]
fn a_deadline_before_sending_is_a_true_not_run() {
    let engine = engine_that(good_stream);
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();

    caller.complete("x-cicadabend-deadline-ms: 0\r\n");
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::DeadlineCannotBeMet);
    assert!(error.not_run);
    assert!(engine.requests().is_empty());
}

/// An engine answers bytes that are no answer. Nothing of it reaches the caller; a
/// repeatable request is answered by another group.
#[rstest]
#[case::no_events(Step::whole("200 OK", "{{{"))]
#[case::no_http(Step::send("\u{1}{{{ no answer"))]
#[case::own_error(Step::whole("500 Internal Server Error", ""))]
fn garbage_is_answered_by_another_group(#[case] garbage: Step) {
    let bad = ScriptedUpstream::start(move |_, _| vec![garbage.clone(), Step::Close]);
    let good = engine_that(good_stream);
    let fixture = Fixture::with_engines(&[bad.address, good.address]);
    let mut caller = fixture.caller();

    for _ in 0..2 {
        caller.complete("");
        assert_eq!(caller.answer().tokens(), ["a", "[DONE]"]);
    }

    assert_eq!(bad.requests().len(), 1);
}
