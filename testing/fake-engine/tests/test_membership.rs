//! Commands, tokens, announcements and leaving.
#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a fixture that cannot go on fails its test"
)]

mod common;

use std::time::Duration;

use bytes::Bytes;
use cicadabend::upstream_api::{
    Announcement,
    AnnouncementReply,
    UpstreamKind, //
};
use common::{
    Caller,
    Upstreams,
    member,
    read,
    upstream, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use tokio::{
    net::TcpListener,
    sync::mpsc, //
};

/// Listens for announcements as an entry daemon does.
async fn listen() -> (String, mpsc::UnboundedReceiver<Announcement>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let sender = sender.clone();
            let service =
                hyper::service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
                    let sender = sender.clone();
                    async move {
                        let body = request.into_body().collect().await?.to_bytes();
                        let _ = sender.send(serde_json::from_slice(&body).unwrap());
                        let reply = AnnouncementReply {
                            interval_ms: 20,
                            lease_ms: 1_000,
                        };
                        let reply = serde_json::to_vec(&reply).unwrap();
                        let body = Full::new(Bytes::from(reply));
                        Ok::<_, hyper::Error>(http::Response::new(body))
                    }
                });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    (address, receiver)
}

fn join(token_sequence: u32, group: &str) -> Value {
    json!({
        "vm": "vm-1",
        "token": { "epoch": 1, "sequence": token_sequence },
        "action": { "join_group": {
            "group": group,
            "service": "drafting-llm",
            "model": "drafting-7b",
            "version": "v1",
            "adapters": [],
            "members": ["vm-1"],
        } },
    })
}

async fn next_engine(
    announcements: &mut mpsc::UnboundedReceiver<Announcement>,
    wanted: impl Fn(&cicadabend::upstream_api::EngineState) -> bool,
) -> Announcement {
    let search = async {
        loop {
            let announcement = announcements.recv().await.unwrap();
            let UpstreamKind::Engine(engine) = &announcement.kind else {
                panic!("not an engine");
            };
            if wanted(engine) {
                return announcement;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(20), search)
        .await
        .expect("never announced as wanted")
}

#[tokio::test]
async fn a_member_is_ready_once_its_weights_are_loaded() {
    let (address, mut announcements) = listen().await;
    let mut engine = upstream("vm-1", json!({ "engine": { "weight_load_ms": 100 } }));
    engine["announce_to"] = json!([address]);
    let upstreams = Upstreams::start(vec![engine]);
    let caller = Caller::new();
    next_engine(&mut announcements, |e| e.membership.is_none()).await;

    let url = upstreams.url("vm-1", "/cicadabend/v1/commands");
    let reply = caller.json("POST", &url, &join(1, "g1")).await;

    assert_eq!(reply, "accepted");
    let is = |ready| {
        move |e: &cicadabend::upstream_api::EngineState| {
            e.membership.as_ref().is_some_and(|m| m.ready == ready)
        }
    };
    let loading = next_engine(&mut announcements, is(false)).await;
    let ready = next_engine(&mut announcements, is(true)).await;
    assert!(loading.sequence < ready.sequence);
}

#[rstest]
#[case::checks(true, "g2")]
#[case::obeys_the_last(false, "g1")]
#[tokio::test]
async fn an_outdated_command_is_refused_if_tokens_are_checked(
    #[case] checks_tokens: bool,
    #[case] group: &str,
) {
    let settings = json!({ "engine": { "checks_tokens": checks_tokens } });
    let upstreams = Upstreams::start(vec![upstream("vm-1", settings)]);
    let caller = Caller::new();
    let url = upstreams.url("vm-1", "/cicadabend/v1/commands");

    caller.json("POST", &url, &join(5, "g2")).await;
    let reply = caller.json("POST", &url, &join(4, "g1")).await;

    assert_eq!(reply == "accepted", !checks_tokens);
    let state = upstreams.url("vm-1", "/fake/state");
    let state = caller.json("GET", &state, &Value::Null).await;
    assert_eq!(state["engine"]["membership"]["group"], group);
}

#[rstest]
#[case::second_member("vm-2", &[], 409)]
#[case::other_group("vm-1", &[("x-cicadabend-group", "g9")], 409)]
#[case::other_token("vm-1", &[("x-cicadabend-fencing-token", "77")], 409)]
#[case::right("vm-1", &[("x-cicadabend-group", "g1"), ("x-cicadabend-fencing-token", "0")], 200)]
#[tokio::test]
async fn a_request_for_another_membership_does_not_start(
    #[case] vm: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
) {
    let members = ["vm-1", "vm-2"];
    let upstreams = Upstreams::start(vec![
        member("vm-1", &members, json!({})),
        member("vm-2", &members, json!({})),
    ]);
    let caller = Caller::new();

    let response = caller.chat(&upstreams, vm, "r-1", headers, 1).await;

    assert_eq!(response.status(), status);
    let refused = response.headers().contains_key("x-cicadabend-not-started");
    assert_eq!(refused, status == 409);
    let ran = !caller.runs(&upstreams, vm).await.runs.is_empty();
    assert_eq!(ran, status == 200);
}

#[tokio::test]
async fn sigterm_announces_leaving_and_finishes_streams() {
    // The caller sees its whole answer. SIGTERM comes in the middle of a stream:
    // the engine first says that it is leaving, goes on, and exits 0 after the end.
    let (address, mut announcements) = listen().await;
    let mut engine = member("vm-1", &["vm-1"], json!({ "token_interval_us": 3_000 }));
    engine["announce_to"] = json!([address]);
    engine["leave_notice_ms"] = json!(50);
    let mut upstreams = Upstreams::start(vec![engine]);
    let caller = Caller::new();
    let response = caller.chat(&upstreams, "vm-1", "r-1", &[], 100).await;
    let mut body = response.into_body();
    read(&mut body, 1).await;

    upstreams.terminate();
    let mut left = false;
    while !left {
        left = announcements.recv().await.unwrap().leaving;
    }
    let rest = read(&mut body, usize::MAX).await;

    assert!(rest.done);
    assert_eq!(rest.positions.last(), Some(&99));
    assert!(upstreams.wait().success());
}
