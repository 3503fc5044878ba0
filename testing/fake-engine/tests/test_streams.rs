//! Streams: whole, broken, resumed, cancelled.

mod common;

use common::{
    Caller,
    Upstreams,
    member,
    read, //
};
use fake_engine::run::RunState;
use serde_json::{
    Value,
    json, //
};

fn one_engine(engine: Value) -> Upstreams {
    Upstreams::start(vec![member("vm-1", &["vm-1"], engine)])
}

#[tokio::test]
async fn each_token_names_request_and_position() {
    let upstreams = one_engine(json!({ "token_interval_us": 100 }));
    let caller = Caller::new();

    let response = caller.chat(&upstreams, "vm-1", "r-1", &[], 4).await;
    let streamed = read(&mut response.into_body(), usize::MAX).await;

    assert!(streamed.done);
    assert_eq!(streamed.positions, [0, 1, 2, 3]);
    let words: Vec<_> = streamed.content.split_whitespace().collect();
    assert_eq!(words.len(), 4);
    for (position, word) in words.iter().enumerate() {
        assert!(word.starts_with("r-1~"), "{word}");
        assert!(word.ends_with(&format!("~{position}")), "{word}");
    }
    let report = caller.runs(&upstreams, "vm-1").await;
    assert_eq!(report.runs.len(), 1);
    assert_eq!(report.runs[0].state, RunState::Complete);
    assert_eq!(report.runs[0].tokens_sent, 4);
}

#[tokio::test]
async fn death_of_another_member_breaks_the_stream() {
    // The caller sees its stream end early. The second member of the group dies
    // while the first one streams; the first notices at its next look and breaks
    // off, because a replica that lost a rank cannot compute the next token.
    let members = ["vm-1", "vm-2"];
    let upstreams = Upstreams::start(vec![
        member("vm-1", &members, json!({ "member_check_ms": 10 })),
        member("vm-2", &members, json!({})),
    ]);
    let caller = Caller::new();
    let mut body = caller
        .chat(&upstreams, "vm-1", "r-1", &[], 100_000)
        .await
        .into_body();
    read(&mut body, 2).await;

    let die = upstreams.url("vm-2", "/fake/die");
    let _ = caller.send("POST", &die, &[], &Value::Null).await;
    let streamed = read(&mut body, usize::MAX).await;

    assert!(streamed.broken);
    assert!(!streamed.done);
    let ended = |r: &fake_engine::run::RunReport| r.runs[0].state == RunState::Broken;
    caller.wait_for_runs(&upstreams, "vm-1", ended).await;
}

#[tokio::test]
async fn a_broken_stream_resumes_as_the_same_generation() {
    let upstreams = one_engine(json!({ "token_interval_us": 100 }));
    let caller = Caller::new();
    let faults = json!({ "break_after_tokens": 3, "break_count": 1 });
    let url = upstreams.url("vm-1", "/fake/faults");
    caller.json("POST", &url, &faults).await;

    let response = caller.chat(&upstreams, "vm-1", "r-1", &[], 6).await;
    let first = read(&mut response.into_body(), usize::MAX).await;
    let resume = [("x-cicadabend-resume-from", "3")];
    let response = caller.chat(&upstreams, "vm-1", "r-1", &resume, 6).await;
    let second = read(&mut response.into_body(), usize::MAX).await;

    assert!(first.broken);
    assert_eq!(first.positions, [0, 1, 2]);
    assert!(second.done);
    assert_eq!(second.positions, [3, 4, 5]);
    assert_eq!(first.generations[0], second.generations[0]);
    let report = caller.runs(&upstreams, "vm-1").await;
    assert_eq!(report.runs.len(), 1);
    assert_eq!(report.runs[0].resumes, 1);
    assert_eq!(report.runs[0].tokens_sent, 6);
}

/// Guards against a rest that breaks off because the connection before it ends only afterwards.
#[tokio::test]
async fn a_stream_whose_connection_is_still_open_resumes_on_another_one() {
    let upstreams = one_engine(json!({ "token_interval_us": 20_000 }));
    let caller = Caller::new();
    let mut first = caller
        .chat(&upstreams, "vm-1", "r-1", &[], 6)
        .await
        .into_body();
    read(&mut first, 2).await;

    let resume = [("x-cicadabend-resume-from", "2")];
    let response = caller.chat(&upstreams, "vm-1", "r-1", &resume, 6).await;
    let second = read(&mut response.into_body(), usize::MAX).await;

    assert!(second.done);
    assert_eq!(second.positions, [2, 3, 4, 5]);
    assert!(read(&mut first, usize::MAX).await.broken);
    let report = caller.runs(&upstreams, "vm-1").await;
    assert_eq!(report.runs[0].state, RunState::Complete);
}

#[tokio::test]
async fn an_unknown_generation_is_not_resumed() {
    let upstreams = one_engine(json!({}));
    let caller = Caller::new();

    let resume = [("x-cicadabend-resume-from", "3")];
    let response = caller.chat(&upstreams, "vm-1", "r-1", &resume, 6).await;

    assert_eq!(response.status(), 404);
    assert_eq!(response.headers()["x-cicadabend-not-started"], "true");
    assert!(caller.runs(&upstreams, "vm-1").await.runs.is_empty());
}

#[tokio::test]
async fn a_caller_that_leaves_frees_its_slot_once() {
    // One slot. The first caller closes its connection in the middle; the second,
    // queued, then gets the slot, and the third must wait for the second: had the
    // slot been freed twice, second and third would run side by side.
    let mut engine = member("vm-1", &["vm-1"], json!({ "token_interval_us": 2_000 }));
    engine["slots"] = json!(1);
    let upstreams = Upstreams::start(vec![engine]);
    let callers = [Caller::new(), Caller::new(), Caller::new()];
    let response = callers[0].chat(&upstreams, "vm-1", "r-1", &[], 100_000);
    let mut first = response.await.into_body();
    read(&mut first, 2).await;

    let ask = async |index: usize, id: &str| {
        let response = callers[index].chat(&upstreams, "vm-1", id, &[], 50).await;
        read(&mut response.into_body(), usize::MAX).await
    };
    let leave = async {
        let queued = |r: &fake_engine::run::RunReport| r.runs.len() == 3;
        callers[0].wait_for_runs(&upstreams, "vm-1", queued).await;
        drop(first);
    };
    let (second, third, ()) = tokio::join!(ask(1, "r-2"), ask(2, "r-3"), leave);

    assert!(second.done && third.done);
    let report = callers[0].runs(&upstreams, "vm-1").await;
    assert_eq!(report.runs[0].state, RunState::CallerGone);
    let starts: Vec<_> = report.runs[1..]
        .iter()
        .map(|run| run.arrived_ms + run.queued_ms)
        .collect();
    // 49 intervals of 2 ms lie between the first and the last token of the other.
    assert!(starts[0].abs_diff(starts[1]) >= 90, "{report:#?}");
}

#[tokio::test]
async fn a_request_cancelled_in_the_queue_did_not_start() {
    let mut engine = member("vm-1", &["vm-1"], json!({}));
    engine["slots"] = json!(1);
    let upstreams = Upstreams::start(vec![engine]);
    let caller = Caller::new();
    let response = caller.chat(&upstreams, "vm-1", "r-1", &[], 100_000).await;
    let mut running = response.into_body();
    read(&mut running, 1).await;

    let cancel = async {
        let queued = |r: &fake_engine::run::RunReport| r.runs.len() == 2;
        caller.wait_for_runs(&upstreams, "vm-1", queued).await;
        let url = upstreams.url("vm-1", "/cicadabend/v1/cancel/r-2");
        caller.json("POST", &url, &Value::Null).await
    };
    let queued = caller.chat(&upstreams, "vm-1", "r-2", &[], 5);
    let (response, cancelled) = tokio::join!(queued, cancel);

    assert_eq!(cancelled["cancelled"], 1);
    assert_eq!(response.headers()["x-cicadabend-not-started"], "true");
    let report = caller.runs(&upstreams, "vm-1").await;
    assert!(!report.runs[1].started);
    assert_eq!(report.runs[1].state, RunState::Cancelled);
}
