//! Responses of upstreams in trouble, whose heads are none.

use rstest::rstest;

use crate::support::{
    Fixture,
    ScriptedUpstream,
    Step, //
};

const PATH: &str = "/services/field-api/a";

/// Guards against a broken response that reaches its caller as a whole one.
#[rstest]
#[case::two_lengths("HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 4\r\n\r\nbody")]
#[case::unknown_coding(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: xhunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)]
#[case::length_beside_coding(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)]
#[case::no_status_of_http("HTTP/1.1 600 OK\r\ncontent-length: 4\r\n\r\nbody")]
#[case::another_protocol("HTTP/1.1 101 Switching Protocols\r\n\r\n")]
#[case::a_line_feed_alone("HTTP/1.1 200 OK\r\n\ncontent-length: 4\r\n\r\nbody")]
fn a_broken_head_is_no_response(#[case] response: &'static str) {
    let upstream = ScriptedUpstream::start(|_, _| vec![Step::send(response), Step::Close]);
    let fixture = Fixture::with_plain(&[upstream.address]);
    let mut caller = fixture.caller();

    caller.send("POST", PATH, "", "");
    let answer = caller.answer();

    assert_eq!(answer.status, 502);
    assert_eq!(upstream.requests().len(), 1);
}
