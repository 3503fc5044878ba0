//! SIGTERM does not abort running requests of operators.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration,
};

use http::Method;

use crate::fixtures::{
    ANA,
    ControlDaemon,
    DEADLINE,
    intent,
    wait_until, //
};

fn head(path: &str, body_bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: control\r\nauthorization: Bearer {ANA}\r\n\
         content-length: {body_bytes}\r\n\r\n"
    )
}

fn refuses_connections(address: SocketAddr) -> bool {
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).is_err()
}

/// Guards against aborting a running request at a stop. An operator has sent half of a confirmation
/// when the daemon gets SIGTERM. The listener closes; the operator sends the rest and gets the
/// answer, the revision is on the disk, and the daemon exits with 0.
#[tokio::test]
async fn a_request_in_progress_is_answered_and_synced_before_the_daemon_ends() {
    let mut control = ControlDaemon::start(&[]);
    let plan = control.plan(ANA, &intent(1)).await;
    let body = format!(r#"{{"plan": {}, "idempotency_key": "k"}}"#, plan["id"]);
    let (first, rest) = body.split_at(body.len() / 2);
    let mut stream = TcpStream::connect(control.operators).expect("the daemon listens");
    stream
        .set_read_timeout(Some(DEADLINE))
        .expect("a timeout can be set");
    stream
        .write_all((head("/v1/confirm", body.len()) + first).as_bytes())
        .expect("the first half can be sent");
    // The daemon answers a second request, which shows that the first one is in progress.
    control.request(ANA, Method::GET, "/v1/config", "").await;

    control.signal_stop();
    let operators = control.operators;
    wait_until("the listener's end", || refuses_connections(operators));
    stream
        .write_all(rest.as_bytes())
        .expect("the rest can be sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer comes");

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        answer.ends_with(r#"{"accepted":{"revision":1}}"#),
        "{answer}"
    );
    assert_eq!(control.wait_for_exit(), Some(0));
    control.start_again();
    let resent = control.confirm(ANA, &plan, "k").await;
    assert_eq!(resent["accepted"]["revision"], 1);
}
