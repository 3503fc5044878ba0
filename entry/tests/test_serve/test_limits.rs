//! Limits: a caller that exceeds one gets an error, and other callers are not affected.

use std::io::Read;

use cicadabend::{
    caller_api::ErrorCode,
    prelude::*, //
};
use rstest::rstest;

use crate::support::{
    Fixture,
    ScriptedUpstream,
    Step, //
};

fn start_plain_upstream() -> ScriptedUpstream {
    ScriptedUpstream::start(|_, _| vec![Step::whole("200 OK", "done")])
}

#[test]
fn large_headers_get_an_error_in_the_documented_form() {
    let fixture = Fixture::start(&[], &[], |settings| {
        settings.callers.max_header_bytes = ByteCount(8_192);
    });
    let mut caller = fixture.caller();
    let header = format!("x-large: {}\r\n", "x".repeat(9_000));

    caller.send("GET", "/v1/models", &header, "");

    assert_eq!(caller.answer().error().code, ErrorCode::TooLarge);
}

#[rstest]
#[case::completion("/v1/completions")]
#[case::plain("/services/field-api/a")]
fn large_bodies_are_refused_before_anything_is_sent(#[case] path: &str) {
    let upstream = start_plain_upstream();
    let fixture = Fixture::start(&[upstream.address], &[upstream.address], |settings| {
        settings.callers.max_body_bytes = ByteCount(100);
    });
    let mut caller = fixture.caller();

    caller.send("POST", path, "", &"x".repeat(101));
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::TooLarge);
    assert!(error.not_run);
    assert!(upstream.requests().is_empty());
}

#[test]
fn a_slow_sender_gets_an_error() {
    let fixture = Fixture::start(&[], &[], |settings| {
        settings.callers.read_timeout_ms = 200;
    });
    let mut caller = fixture.caller();

    caller.write(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-of-team-one\r\n\
         content-length: 100\r\n\r\n{",
    );
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::CallerTooSlow);
    assert!(error.not_run);
}

#[rstest]
#[case::nothing("")]
#[case::half_a_preface("PRI * HT")]
#[case::half_a_head("GET / HTTP/1.1\r\nho")]
fn a_silent_connection_is_closed(#[case] start: &str) {
    let fixture = Fixture::start(&[], &[], |settings| {
        settings.callers.read_timeout_ms = 200;
    });
    let mut caller = fixture.caller();

    caller.write(start);
    let mut rest = Vec::new();
    let ended = caller.stream.read_to_end(&mut rest);

    assert!(ended.is_ok(), "{ended:?}");
}

#[test]
fn connections_beyond_the_limit_are_closed_and_the_others_are_served() {
    let fixture = Fixture::start(&[], &[], |settings| {
        settings.callers.max_connections = 1;
    });
    let mut first = fixture.caller();
    assert_eq!(first.get("/health/live").status, 200);

    let mut second = fixture.caller();
    let closed = second.stream.read(&mut [0; 1]);

    assert!(matches!(closed, Ok(0) | Err(_)));
    assert_eq!(first.get("/health/live").status, 200);
}

/// Guards against a slow reader that delays others: one caller stops reading a large response. The
/// daemon's full buffers hold its upstream back, and other callers are served meanwhile.
#[test]
fn a_slow_reader_does_not_delay_other_callers() {
    let large = "x".repeat(64 * 1024 * 1024);
    let upstream = ScriptedUpstream::start(move |_, request| {
        match request.head.starts_with("GET /services/field-api/large") {
            true => vec![Step::whole("200 OK", &large)],
            false => vec![Step::whole("200 OK", "small")],
        }
    });
    let fixture = Fixture::with_plain(&[upstream.address]);
    let mut slow = fixture.caller();
    slow.send("GET", "/services/field-api/large", "", "");
    slow.head();

    for _ in 0..10 {
        let answer = fixture.caller().get("/services/field-api/small");
        assert_eq!(answer.body, "small");
    }

    assert_eq!(fixture.counter("attempts_running"), 1);
    drop(slow);
    fixture.wait_for_counter("attempts_running", 0);
}

/// Guards against a slot that is never released: a caller stops reading but keeps its connection
/// open. Its request is cancelled after the read timeout.
#[test]
fn the_request_of_a_stalled_reader_is_cancelled() {
    let large = "x".repeat(64 * 1024 * 1024);
    let upstream = ScriptedUpstream::start(move |_, _| vec![Step::whole("200 OK", &large)]);
    let fixture = Fixture::start(&[], &[upstream.address], |settings| {
        settings.callers.read_timeout_ms = 300;
    });
    let mut stopped = fixture.caller();

    stopped.send("GET", "/services/field-api/large", "", "");
    stopped.head();

    fixture.wait_for_counter("attempts_running", 0);
}

#[rstest]
#[case::deadline("x-cicadabend-deadline-ms: soon\r\n")]
#[case::repeatable("x-cicadabend-not-repeatable: maybe\r\n")]
#[case::no_key("x-cicadabend-not-repeatable: true\r\n")]
fn the_error_names_a_malformed_header(#[case] header: &str) {
    let fixture = Fixture::with_engines(&[]);
    let mut caller = fixture.caller();

    caller.complete(header);
    let error = caller.answer().error();

    assert_eq!(error.code, ErrorCode::BadRequest);
    let name = header.split(':').next().unwrap();
    assert!(error.message.contains(name), "{}", error.message);
}
