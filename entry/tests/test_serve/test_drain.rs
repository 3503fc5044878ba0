//! Planned stops of the serving thread.

use std::{
    net::TcpStream,
    thread,
    time::Duration, //
};

use crate::support::{
    Fixture,
    ScriptedUpstream,
    Step, //
};

/// Guards against a planned stop that cuts off a request: the daemon is stopped in the middle of a
/// stream. The daemon first becomes unready, the stream runs to its end, and then the thread ends.
#[test]
fn a_running_stream_ends_before_the_thread_does() {
    let engine = ScriptedUpstream::start(|_, _| {
        let mut steps = vec![Step::stream_head(), Step::event(0, "a")];
        steps.push(Step::PauseMs(400));
        steps.push(Step::event(1, "b"));
        steps.extend(Step::done());
        steps
    });
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();
    caller.complete("");
    let head = caller.head();
    assert!(head.starts_with("HTTP/1.1 200"));

    fixture.stop();
    let mut balancer = fixture.caller();
    while balancer.get("/health/ready").status != 503 {}
    let mut body = String::new();
    while let Some(chunk) = caller.chunk().filter(|chunk| !chunk.is_empty()) {
        body.push_str(&chunk);
    }
    drop(balancer);

    assert!(body.contains("\"token\":\"b\""));
    assert!(body.ends_with("data: [DONE]\n\n"));
    fixture.join();
}

/// Guards against a request that is taken so late in a planned stop that it is cut off, whether it has run
/// or not. It is refused, and its upstream doesn't see it.
#[test]
fn a_request_that_comes_too_late_to_end_is_refused() {
    let upstream = ScriptedUpstream::start(|_, _| vec![Step::PauseMs(8_000)]);
    let fixture = Fixture::with_plain(&[upstream.address]);
    let mut caller = fixture.caller();
    caller.write("POST /services/field-api/a HTTP/1.1\r\nhost: x\r\n");

    fixture.stop();
    let address = caller.stream.peer_addr().unwrap();
    while TcpStream::connect(address).is_ok() {
        thread::sleep(Duration::from_millis(5));
    }
    caller.write("authorization: Bearer key-of-team-one\r\ncontent-length: 0\r\n\r\n");
    let answer = caller.answer();

    assert_eq!(answer.status, 503);
    assert_eq!(answer.error().code.name(), "shutting_down");
    assert!(upstream.requests().is_empty());
    fixture.join();
}
