//! Bad input of operators: a clear error, a counter, nothing changed.

use http::{
    Method,
    StatusCode, //
};
use rstest::rstest;
use serde_json::Value;

use crate::fixtures::{
    ANA,
    ControlDaemon,
    MAX_REQUEST_BYTES,
    intent, //
};

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
    let figures = control.figures().await;
    assert_eq!(figures["counters"]["confirm_answers.unknown_plan"], 1);
}

/// The operator of the history is the one whose token was used, whatever the request says.
#[tokio::test]
async fn a_request_cannot_name_another_operator() {
    let control = ControlDaemon::start(&[]);
    let mut intent = intent(1);
    intent["operator"] = "bojan".into();

    control.change(&intent, "k").await;

    let (_, history) = control.request(ANA, Method::GET, "/v1/history", "").await;
    assert_eq!(history[0]["operator"], "ana");
}

async fn check(control: &ControlDaemon, status: StatusCode, answer: &Value, expected: &Expected) {
    assert_eq!(status, expected.status, "{answer}");
    assert!(answer.to_string().contains(expected.text), "{answer}");
    let figures = control.figures().await;
    let counter = format!("operator_refusals.{}", expected.counter);
    assert_eq!(figures["counters"][counter], 1);
    let (_, config) = control.request(ANA, Method::GET, "/v1/config", "").await;
    assert_eq!(config["revision"], 0);
}
