//! Requests on each path of the API, and the form of errors.

use cicadabend::caller_api::ErrorCode;
use rstest::rstest;

use crate::support::{
    Fixture,
    MODEL,
    ScriptedUpstream,
    Step, //
};

fn start_engine(tokens: &'static [&'static str]) -> ScriptedUpstream {
    ScriptedUpstream::start(move |_, _| {
        let mut steps = vec![Step::stream_head()];
        for (index, token) in tokens.iter().enumerate() {
            steps.push(Step::event(index as u64, token));
        }
        steps.extend(Step::done());
        steps
    })
}

#[test]
fn a_completion_is_streamed_from_the_group() {
    let engine = start_engine(&["a", "b"]);
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();

    caller.complete("x-request-id: request-1\r\n");
    let answer = caller.answer();

    assert_eq!(answer.status, 200);
    assert!(answer.is_whole);
    assert_eq!(answer.tokens(), ["a", "b", "[DONE]"]);
    assert_eq!(answer.header("x-request-id"), Some("request-1"));
    assert_eq!(answer.header("x-cicadabend-group"), Some("group-0"));
    assert_eq!(answer.header("x-cicadabend-revision"), Some("3"));
    let request = &engine.requests()[0];
    assert_eq!(
        request.header("x-cicadabend-group").as_deref(),
        Some("group-0")
    );
    let token = ((1u64 << 32) | 2).to_string();
    assert_eq!(request.header("x-cicadabend-fencing-token"), Some(token));
    assert_eq!(request.header("authorization"), None);
}

#[test]
fn the_requests_of_one_connection_alternate_between_replicas() {
    let engines = [start_engine(&["a"]), start_engine(&["a"])];
    let fixture = Fixture::with_engines(&[engines[0].address, engines[1].address]);
    let mut caller = fixture.caller();

    for _ in 0..4 {
        caller.complete("");
        assert!(caller.answer().is_whole);
    }

    assert_eq!(engines[0].requests().len(), 2);
    assert_eq!(engines[1].requests().len(), 2);
}

#[test]
fn a_response_that_is_not_streamed_is_passed_on() {
    let engine = ScriptedUpstream::start(|_, _| vec![Step::whole("200 OK", "{\"choices\":[]}")]);
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();
    let body = format!("{{\"model\":\"{MODEL}\"}}");

    caller.send("POST", "/v1/completions", "", &body);
    let answer = caller.answer();

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, "{\"choices\":[]}");
    assert_eq!(engine.requests()[0].body, body.as_bytes());
}

#[test]
fn the_list_of_models_has_the_model_services_alone() {
    let fixture = Fixture::with_engines(&[]);

    let answer = fixture.caller().get("/v1/models");

    assert_eq!(answer.status, 200);
    let list: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(list["data"][0]["id"], MODEL);
    assert_eq!(list["data"].as_array().unwrap().len(), 1);
}

#[rstest]
#[case::unknown_model("/v1/completions", "{\"model\":\"nobody\"}", ErrorCode::UnknownService)]
#[case::no_json("/v1/completions", "{", ErrorCode::BadRequest)]
#[case::unknown_path("/v2/nothing", "", ErrorCode::UnknownService)]
#[case::unknown_plain("/services/nobody/x", "", ErrorCode::UnknownService)]
#[case::no_replica("/v1/completions", "{\"model\":\"drafting-llm\"}", ErrorCode::NotRun)]
fn errors_have_the_documented_form(
    #[case] path: &str,
    #[case] body: &str,
    #[case] code: ErrorCode,
) {
    let fixture = Fixture::with_engines(&[]);
    let mut caller = fixture.caller();

    caller.send("POST", path, "x-request-id: request-1\r\n", body);
    let answer = caller.answer();

    assert_eq!(answer.status, code.http_status());
    let error = answer.error();
    assert_eq!(error.code, code);
    assert_eq!(error.request_id, "request-1");
    assert_eq!(
        (error.not_run, error.retry_is_safe),
        (code.promises_not_run(), true)
    );
}

#[test]
fn an_unknown_api_key_is_refused() {
    let fixture = Fixture::with_engines(&[]);
    let mut caller = fixture.caller();

    caller.write("GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer wrong\r\n\r\n");

    assert_eq!(caller.answer().error().code, ErrorCode::Unauthorized);
}

#[test]
fn method_path_and_body_reach_a_plain_service_unchanged() {
    let upstream = ScriptedUpstream::start(|_, _| vec![Step::whole("207 Multi-Status", "done")]);
    let fixture = Fixture::with_plain(&[upstream.address]);
    let mut caller = fixture.caller();

    caller.send(
        "PROPFIND",
        "/services/field-api/a%20b?x=1",
        "x-own: 1\r\n",
        "body",
    );
    let answer = caller.answer();

    assert_eq!((answer.status, answer.body.as_str()), (207, "done"));
    let request = &upstream.requests()[0];
    assert!(
        request
            .head
            .starts_with("PROPFIND /services/field-api/a%20b?x=1 ")
    );
    assert_eq!(request.header("x-own").as_deref(), Some("1"));
    assert_eq!(request.body, b"body");
}

#[test]
fn readiness_follows_the_snapshot() {
    let fixture = Fixture::with_engines(&[]);
    let mut caller = fixture.caller();

    assert_eq!(caller.get("/health/ready").status, 200);
    fixture.change_snapshot(|snapshot| snapshot.ready = false);

    assert_eq!(caller.get("/health/ready").status, 503);
    assert_eq!(caller.get("/health/live").status, 200);
}
