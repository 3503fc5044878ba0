//! Invalid requests of operators: each gets a clear error, is counted and changes nothing.

use std::{
    io::Write,
    net::TcpStream,
    time::Duration, //
};

use http::{
    Method,
    StatusCode, //
};
use rstest::rstest;
use serde_json::Value;

use crate::fixtures::{
    ANA,
    ControlDaemon,
    DEADLINE,
    MAX_REQUEST_BYTES,
    intent, //
};

/// The daemon's limit on concurrent requests of operators.
const CONCURRENT_REQUESTS: usize = 64;

struct Expected {
    status: StatusCode,
    counter: &'static str,
    text: &'static str,
}

fn expect(status: StatusCode, counter: &'static str, text: &'static str) -> Expected {
    Expected {
        status,
        counter,
        text,
    }
}

#[rstest]
#[case::no_json("/v1/plans", "{", expect(StatusCode::BAD_REQUEST, "malformed", "EOF"))]
#[case::rubbish_after_json(
    "/v1/confirm",
    r#"{"plan": 1, "idempotency_key": "k"} x"#,
    expect(StatusCode::BAD_REQUEST, "malformed", "trailing characters")
)]
#[case::wrong_type(
    "/v1/plans",
    r#"{"config": {"teams": {"a": {"weight": "x"}}}, "operator": ""}"#,
    expect(StatusCode::BAD_REQUEST, "malformed", "$.config.teams.a.weight: ")
)]
#[case::unknown_key(
    "/v1/plans",
    r#"{"config": {"teems": {}}, "operator": ""}"#,
    expect(StatusCode::BAD_REQUEST, "malformed", "unknown field `teems`")
)]
#[case::bad_name(
    "/v1/confirm",
    r#"{"plan": 1, "idempotency_key": ""}"#,
    expect(
        StatusCode::BAD_REQUEST,
        "malformed",
        "$.idempotency_key: the name is empty"
    )
)]
#[case::unknown_path(
    "/v1/plan",
    "",
    expect(StatusCode::NOT_FOUND, "not_found", "there is no POST /v1/plan")
)]
#[tokio::test]
async fn a_bad_request_is_refused_and_counted(
    #[case] path: &str,
    #[case] body: &str,
    #[case] expected: Expected,
) {
    let control = ControlDaemon::start(&[]);

    let (status, answer) = control.request(ANA, Method::POST, path, body).await;

    check(&control, status, &answer, &expected).await;
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_counted() {
    let control = ControlDaemon::start(&[]);
    let body = "x".repeat(MAX_REQUEST_BYTES + 1);

    let (status, answer) = control.request(ANA, Method::POST, "/v1/plans", &body).await;

    let expected = expect(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "too_large");
    check(&control, status, &answer, &expected).await;
}

#[rstest]
#[case::wrong("guess")]
#[case::empty("")]
#[tokio::test]
async fn a_wrong_token_is_refused_and_counted(#[case] token: &str) {
    let control = ControlDaemon::start(&[]);
    let body = intent(1).to_string();

    let (status, answer) = control
        .request(token, Method::POST, "/v1/plans", &body)
        .await;

    let expected = expect(StatusCode::UNAUTHORIZED, "unauthorized", "unauthorized");
    check(&control, status, &answer, &expected).await;
}

#[tokio::test]
async fn all_problems_of_an_intent_are_named_at_once() {
    let control = ControlDaemon::start(&[]);
    let mut intent = intent(0);
    intent["config"]["services"] = serde_json::json!({"field-api": {"plain": {"routing": []}}});

    let body = intent.to_string();
    let (status, answer) = control.request(ANA, Method::POST, "/v1/plans", &body).await;

    let text = "$.services.field-api.plain.routing: shares sum to 0 %; they must sum to 100 %\n\
                $.teams.quality.weight: is 0; a team without weight would never be served under load";
    assert_eq!(answer["bad_request"]["reason"], text);
    let expected = expect(StatusCode::BAD_REQUEST, "invalid_config", "");
    check(&control, status, &answer, &expected).await;
}

#[tokio::test]
async fn an_unknown_plan_is_answered_as_such_and_counted() {
    let control = ControlDaemon::start(&[]);

    let plan = serde_json::json!({"id": 7});
    let reply = control.confirm(ANA, &plan, "k").await;

    assert_eq!(reply, "unknown_plan");
    let figures = control.metrics().await;
    assert_eq!(figures["counters"]["confirm_answers.unknown_plan"], 1);
}

/// Guards against acting on an incomplete confirmation: the operator's connection breaks in the
/// middle of the body.
#[tokio::test]
async fn a_body_that_breaks_off_is_counted_and_changes_nothing() {
    let control = ControlDaemon::start(&[]);
    let plan = control.plan(ANA, &intent(1)).await;
    let body = format!(r#"{{"plan": {}, "idempotency_key": "k"}}"#, plan["id"]);

    drop(open_request(&control, "/v1/confirm", body.len() + 1, &body));

    wait_for_count(&control, "body_incomplete", 1).await;
    let (_, config) = control.request(ANA, Method::GET, "/v1/config", "").await;
    assert_eq!(config["revision"], 0);
}

/// Guards against requests that wait without end behind others. A script opens as many requests as
/// may run concurrently and never finishes their bodies. A further request is refused at once, and
/// is served after the other connections are closed.
#[tokio::test]
async fn more_requests_than_run_at_once_are_refused_at_once() {
    let control = ControlDaemon::start(&[]);
    let open: Vec<TcpStream> = (0..CONCURRENT_REQUESTS)
        .map(|_| open_request(&control, "/v1/plans", 10, ""))
        .collect();

    let deadline = tokio::time::Instant::now() + DEADLINE;
    let (status, answer) = loop {
        let (status, answer) = control.request(ANA, Method::GET, "/v1/config", "").await;
        // The open requests may not all have been read yet.
        if status != StatusCode::OK || tokio::time::Instant::now() > deadline {
            break (status, answer);
        }
    };

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");
    assert!(answer.to_string().contains("try again"), "{answer}");
    drop(open);
    wait_for_count(&control, "body_incomplete", CONCURRENT_REQUESTS as u64).await;
    let (status, _) = control.request(ANA, Method::GET, "/v1/config", "").await;
    assert_eq!(status, StatusCode::OK);
}

/// Guards against a forged operator name: the history must name the owner of the token, whatever
/// name the request contains.
#[tokio::test]
async fn a_request_cannot_name_another_operator() {
    let control = ControlDaemon::start(&[]);
    let mut intent = intent(1);
    intent["operator"] = "bojan".into();

    control.change(&intent, "k").await;

    let (_, history) = control.request(ANA, Method::GET, "/v1/history", "").await;
    assert_eq!(history[0]["operator"], "ana");
}

/// Sends a request's headers and a part of its body; returns the open connection.
fn open_request(control: &ControlDaemon, path: &str, length: usize, part: &str) -> TcpStream {
    let mut stream = TcpStream::connect(control.operators).expect("the daemon listens");
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: control\r\nauthorization: Bearer {ANA}\r\n\
         content-length: {length}\r\n\r\n{part}"
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request can be sent");
    stream
}

async fn wait_for_count(control: &ControlDaemon, refusal: &str, wanted: u64) {
    let deadline = tokio::time::Instant::now() + DEADLINE;
    let counter = format!("operator_refusals.{refusal}");
    loop {
        let figures = control.metrics().await;
        if figures["counters"][&counter] == wanted {
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "{figures}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn check(control: &ControlDaemon, status: StatusCode, answer: &Value, expected: &Expected) {
    assert_eq!(status, expected.status, "{answer}");
    assert!(answer.to_string().contains(expected.text), "{answer}");
    let figures = control.metrics().await;
    let counter = format!("operator_refusals.{}", expected.counter);
    assert_eq!(figures["counters"][counter], 1);
    let (_, config) = control.request(ANA, Method::GET, "/v1/config", "").await;
    assert_eq!(config["revision"], 0);
}
