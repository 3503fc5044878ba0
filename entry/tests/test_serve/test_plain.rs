//! Plain services: methods, bodies and trailers are passed on unchanged and streamed.

use crate::support::{
    Fixture,
    ScriptedUpstream,
    Step, //
};

/// Guards against bodies that are buffered: the upstream answers while the caller is still sending.
/// The caller gets the first chunk of the response before it has sent its last one.
#[test]
fn a_response_starts_while_the_request_body_is_still_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = std::thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut stream, _) = listener.accept().unwrap();
        let mut seen = Vec::new();
        while !seen.ends_with(b"first\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            seen.push(byte[0]);
        }
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nearly\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        while !seen.ends_with(b"0\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            seen.push(byte[0]);
        }
        stream.write_all(b"0\r\n\r\n").unwrap();
        String::from_utf8(seen).unwrap()
    });
    let fixture = Fixture::with_plain(&[address]);
    let mut caller = fixture.caller();

    caller.write(
        "POST /services/field-api/upload HTTP/1.1\r\nhost: x\r\n\
         authorization: Bearer key-of-team-one\r\ntransfer-encoding: chunked\r\n\r\n\
         5\r\nfirst\r\n",
    );
    let head = caller.head();
    let early = caller.chunk();
    caller.write("6\r\nsecond\r\n0\r\n\r\n");
    let end = caller.chunk();

    assert!(head.starts_with("HTTP/1.1 200"));
    assert_eq!(early.as_deref(), Some("early"));
    assert_eq!(end.as_deref(), Some(""));
    assert!(
        upstream
            .join()
            .unwrap()
            .ends_with("6\r\nsecond\r\n0\r\n\r\n")
    );
}

#[test]
fn trailers_are_passed_on_in_both_directions() {
    let upstream = ScriptedUpstream::start(|_, _| {
        vec![Step::send(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
                 4\r\nbody\r\n0\r\nx-sum: 42\r\n\r\n",
        )]
    });
    let fixture = Fixture::with_plain(&[upstream.address]);
    let mut caller = fixture.caller();

    caller.write(
        "PUT /services/field-api/a HTTP/1.1\r\nhost: x\r\nte: trailers\r\n\
         authorization: Bearer key-of-team-one\r\ntransfer-encoding: chunked\r\n\
         trailer: x-check\r\n\r\n4\r\nsent\r\n0\r\nx-check: 7\r\n\r\n",
    );
    caller.head();
    let body = caller.chunk();
    let mut rest = [0; 16];
    std::io::Read::read_exact(&mut caller.stream, &mut rest).unwrap();

    assert_eq!(body.as_deref(), Some("body"));
    assert_eq!(&rest, b"0\r\nx-sum: 42\r\n\r\n");
    let received = String::from_utf8(upstream.requests()[0].body.clone()).unwrap();
    assert!(
        received.ends_with("0\r\nx-check: 7\r\n\r\n"),
        "{received:?}"
    );
}

/// Guards against a partial response that looks complete: the upstream breaks off in the middle.
/// The caller's connection ends without the last chunk.
#[test]
fn a_broken_response_is_visibly_incomplete() {
    let upstream = ScriptedUpstream::start(|_, _| {
        vec![
            Step::send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"),
            Step::Close,
        ]
    });
    let fixture = Fixture::with_plain(&[upstream.address]);

    let answer = fixture.caller().get("/services/field-api/a");

    assert!(!answer.is_whole);
    fixture.wait_for_counter("attempts_running", 0);
}

#[test]
fn a_header_can_name_the_service() {
    let upstream = ScriptedUpstream::start(|_, _| vec![Step::whole("200 OK", "done")]);
    let fixture = Fixture::with_plain(&[upstream.address]);
    let mut caller = fixture.caller();

    caller.send(
        "GET",
        "/own/path",
        "x-cicadabend-service: field-api\r\n",
        "",
    );

    assert_eq!(caller.answer().body, "done");
    assert!(upstream.requests()[0].head.starts_with("GET /own/path "));
}
