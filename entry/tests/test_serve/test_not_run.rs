//! A caller gets "not run" only if no upstream can have run its request.

use cicadabend::caller_api::ErrorCode;
use rstest::rstest;

use crate::support::{
    Answer,
    Fixture,
    ScriptedUpstream,
    Step, //
};

/// Returns an address at which nothing listens.
fn closed_address() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn start_engine(steps: impl Fn() -> Vec<Step> + Send + Sync + 'static) -> ScriptedUpstream {
    ScriptedUpstream::start(move |_, _| steps())
}

fn good_stream() -> Vec<Step> {
    let mut steps = vec![Step::stream_head(), Step::event(0, "a")];
    steps.extend(Step::done());
    steps
}

/// Sends a request with an unsafe method, which must not run twice, and returns its response.
fn request_receipt(fixture: &Fixture) -> Answer {
    let mut caller = fixture.caller();
    caller.send("POST", "/services/field-api/receipt", "", "finding");
    caller.answer()
}

#[test]
fn a_request_to_an_unreachable_replica_is_retried_at_another_one() {
    let engine = start_engine(good_stream);
    let fixture = Fixture::with_engines(&[closed_address(), engine.address]);
    let mut caller = fixture.caller();

    for _ in 0..2 {
        caller.complete("");
        assert_eq!(caller.answer().tokens(), ["a", "[DONE]"]);
    }

    assert_eq!(fixture.counter("retries.connect_failed"), 1);
}

#[test]
fn a_request_that_reached_no_upstream_did_not_run() {
    let fixture = Fixture::with_plain(&[closed_address()]);

    let answer = request_receipt(&fixture);

    let error = answer.error();
    assert_eq!(error.code, ErrorCode::NotRun);
    assert!(error.not_run && error.retry_is_safe);
    assert!(error.retry_after_ms.is_some());
    assert!(answer.header("retry-after").is_some());
}

/// Guards against a second run, and against a false "not run": the upstream reads `bytes` bytes of
/// a request that is not idempotent and closes the connection. From the first byte on it may have
/// run the request, so the caller gets an unknown outcome, and no other replica gets the request.
#[rstest]
#[case::one_byte(1)]
#[case::inside_the_head(40)]
#[case::inside_the_body(400)]
fn a_request_of_which_a_byte_was_written_may_have_run(#[case] bytes: usize) {
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

/// Guards against an error for an idempotent request whose first attempt broke off: the other
/// replica answers.
#[rstest]
#[case::one_byte(1)]
#[case::inside_the_head(40)]
fn an_idempotent_request_is_retried_at_another_replica(#[case] bytes: usize) {
    let (closing, _) = ScriptedUpstream::closing_after(bytes);
    let engine = start_engine(good_stream);
    let fixture = Fixture::with_engines(&[closing, engine.address]);
    let mut caller = fixture.caller();

    for _ in 0..2 {
        caller.complete("");
        assert_eq!(caller.answer().tokens(), ["a", "[DONE]"]);
    }

    assert_eq!(fixture.counter("retries.broken_before_answer"), 1);
}

/// Guards against an error when the upstream has closed an idle connection, as servers do: the
/// next request finds that connection in the pool. No byte of the request was written, so it is
/// sent on a new connection and runs once.
#[test]
fn a_closed_connection_in_the_pool_costs_nothing() {
    let upstream = start_engine(|| vec![Step::whole("200 OK", "receipt"), Step::Close]);
    let fixture = Fixture::with_plain(&[upstream.address]);

    for number in 1..=20 {
        let answer = request_receipt(&fixture);
        assert_eq!((answer.status, answer.body.as_str()), (200, "receipt"));
        assert_eq!(upstream.requests().len(), number);
    }
}

/// Guards against an unknown outcome where the upstream reports that it did not start the request,
/// as an engine does whose group has changed. Then even a request that is not idempotent can be
/// retried.
#[test]
fn a_request_that_an_upstream_did_not_start_is_retried() {
    let refusing = start_engine(|| vec![Step::not_started("409 Conflict")]);
    let good = start_engine(|| vec![Step::whole("200 OK", "receipt")]);
    let fixture = Fixture::with_plain(&[refusing.address, good.address]);

    for _ in 0..2 {
        assert_eq!(request_receipt(&fixture).body, "receipt");
    }

    assert_eq!(refusing.requests().len(), 1);
    assert_eq!(good.requests().len(), 2);
}

#[test]
fn a_request_that_all_replicas_refuse_did_not_run() {
    let refusing = start_engine(|| vec![Step::not_started("503 Service Unavailable")]);
    let fixture = Fixture::with_engines(&[refusing.address]);
    let mut caller = fixture.caller();

    caller.complete("");
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::NotRun);
    assert!(error.not_run);
}

/// Guards against a false "not run": the first replica breaks off after it has read the request,
/// and the second reports that it did not start it. The first may still have run it.
#[test]
fn a_not_started_response_does_not_cover_an_earlier_attempt() {
    let (closing, _) = ScriptedUpstream::closing_after(40);
    let refusing = start_engine(|| vec![Step::not_started("503 Service Unavailable")]);
    let fixture = Fixture::with_engines(&[closing, refusing.address]);
    let mut caller = fixture.caller();

    for _ in 0..2 {
        caller.complete("");
        let error = caller.answer().error();
        assert!(!error.not_run, "{error:?}");
    }
}

/// Guards against a false "not run", and an engine that continues without a caller: the engine
/// reads the request and stays silent beyond the deadline. The caller gets an unknown outcome at
/// once, and the engine a cancel request.
#[test]
fn a_deadline_after_sending_leaves_the_outcome_unknown() {
    let silent = start_engine(|| vec![Step::AwaitClose]);
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
fn a_deadline_before_sending_means_not_run() {
    let engine = start_engine(good_stream);
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();

    caller.complete("x-cicadabend-deadline-ms: 0\r\n");
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::DeadlineCannotBeMet);
    assert!(error.not_run);
    assert!(engine.requests().is_empty());
}

/// Guards against invalid responses that reach the caller: the engine sends bytes that are no valid
/// response. None of them is passed on, and the idempotent request is retried at another group.
#[rstest]
#[case::no_events(Step::whole("200 OK", "{{{"))]
#[case::no_http(Step::send("\u{1}{{{ no answer"))]
#[case::own_error(Step::whole("500 Internal Server Error", ""))]
fn an_invalid_response_is_retried_at_another_group(#[case] garbage: Step) {
    let bad = ScriptedUpstream::start(move |_, _| vec![garbage.clone(), Step::Close]);
    let good = start_engine(good_stream);
    let fixture = Fixture::with_engines(&[bad.address, good.address]);
    let mut caller = fixture.caller();

    for _ in 0..2 {
        caller.complete("");
        assert_eq!(caller.answer().tokens(), ["a", "[DONE]"]);
    }

    assert_eq!(bad.requests().len(), 1);
}
