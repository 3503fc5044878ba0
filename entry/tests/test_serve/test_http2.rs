//! HTTP/2 callers: several requests on one connection, and responses that break off.

use bytes::Bytes;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    client::conn::http2::SendRequest, //
};
use hyper_util::rt::{
    TokioExecutor,
    TokioIo, //
};

use crate::support::{
    API_KEY,
    Fixture,
    MODEL,
    ScriptedUpstream,
    Step, //
};

async fn connect(fixture: &Fixture) -> SendRequest<Full<Bytes>> {
    let stream = tokio::net::TcpStream::connect(fixture.address)
        .await
        .unwrap();
    let executor = TokioExecutor::new();
    let handshake = hyper::client::conn::http2::handshake(executor, TokioIo::new(stream));
    let (sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    sender
}

fn completion() -> Request<Full<Bytes>> {
    Request::post("http://entry/v1/chat/completions")
        .header("authorization", format!("Bearer {API_KEY}"))
        .body(Full::from(format!(
            "{{\"model\":\"{MODEL}\",\"stream\":true}}"
        )))
        .unwrap()
}

/// Returns the received part of the body, and whether the body is complete.
async fn read(mut body: Incoming) -> (String, bool) {
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap();
                text.push_str(std::str::from_utf8(&data).unwrap());
            }
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

fn block_on_test<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(test);
}

#[test]
fn several_streams_share_a_connection() {
    let engine = ScriptedUpstream::start(|number, _| {
        let mut steps = vec![Step::stream_head()];
        steps.push(Step::event(0, &format!("token-{number}")));
        steps.extend(Step::done());
        steps
    });
    let fixture = Fixture::with_engines(&[engine.address]);

    block_on_test(async {
        let mut sender = connect(&fixture).await;
        let (first, second) = (
            sender.send_request(completion()),
            sender.clone().send_request(completion()),
        );
        let answers = [first.await.unwrap(), second.await.unwrap()];
        for answer in answers {
            let (text, is_complete) = read(answer.into_body()).await;
            assert!(is_complete);
            assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        }
    });
    assert_eq!(engine.requests().len(), 2);
}

/// Guards against a broken stream that looks complete, or that ends the whole connection: the
/// engine breaks off and cannot resume. The caller gets the error event and a reset of the stream;
/// the connection serves the next request.
#[test]
fn a_broken_stream_is_reset_and_the_connection_stays_open() {
    let engine = ScriptedUpstream::start(|_, request| {
        if request.header("x-cicadabend-resume-from").is_some() {
            return vec![Step::not_started("404 Not Found")];
        }
        vec![Step::stream_head(), Step::event(0, "a"), Step::Close]
    });
    let fixture = Fixture::with_engines(&[engine.address]);

    block_on_test(async {
        let mut sender = connect(&fixture).await;
        for _ in 0..2 {
            let answer = sender.send_request(completion()).await.unwrap();
            let (text, is_complete) = read(answer.into_body()).await;
            assert!(!is_complete);
            assert!(text.contains("\"code\":\"answer_broken\""), "{text}");
            assert!(text.contains("\"delivered_positions\":1"), "{text}");
        }
    });
}

/// Guards against a dropped stream that cancels the other requests of its connection.
#[test]
fn a_dropped_stream_cancels_only_its_own_request() {
    let engine = ScriptedUpstream::start(|_, _| {
        vec![Step::stream_head(), Step::event(0, "a"), Step::AwaitClose]
    });
    let fixture = Fixture::with_engines(&[engine.address]);

    block_on_test(async {
        let mut sender = connect(&fixture).await;
        let first = sender.send_request(completion()).await.unwrap();
        let second = sender.send_request(completion()).await.unwrap();
        fixture.wait_for_counter("attempts_running", 2);
        drop(first);
        tokio::task::yield_now().await;
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        fixture.wait_for_counter("attempts_running", 1);
        drop(second);
    });
}

/// Guards against a slot that is never released: a caller stops reading one stream of its
/// connection. That request is cancelled, and another stream of the connection is served.
#[test]
fn a_stalled_stream_is_cancelled_and_the_others_are_served() {
    let large = "x".repeat(16 * 1024 * 1024);
    let upstream = ScriptedUpstream::start(move |number, _| match number {
        0 => vec![Step::whole("200 OK", &large)],
        _ => vec![Step::whole("200 OK", "small")],
    });
    let fixture = Fixture::start(&[], &[upstream.address], |settings| {
        settings.callers.read_timeout_ms = 300;
    });
    let get = || {
        Request::get("http://entry/services/field-api/a")
            .header("authorization", format!("Bearer {API_KEY}"))
            .body(Full::default())
            .unwrap()
    };

    block_on_test(async {
        let mut sender = connect(&fixture).await;
        let stopped = sender.send_request(get()).await.unwrap();
        assert_eq!(fixture.counter("attempts_running"), 1);
        let end = std::time::Instant::now() + std::time::Duration::from_secs(10);
        while fixture.counter("attempts_running") > 0 {
            assert!(std::time::Instant::now() < end);
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        let other = sender.send_request(get()).await.unwrap();
        assert_eq!(read(other.into_body()).await, ("small".to_owned(), true));
        drop(stopped);
    });
}
