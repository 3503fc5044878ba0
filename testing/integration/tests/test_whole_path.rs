//! From an engine's announcement and an operator's intent to a caller's whole answer.

use cicadabend::operator_api::ConfirmReply;
use cicadabend_testutils::{
    client,
    deployment::{
        API_KEY,
        Deployment,
        MODEL_SERVICE,
        Shape,
        intent, //
    },
};
use serde_json::json;

/// An operator states an intent, reads the plan and confirms it. Nothing runs before
/// that. Then groups of two VMs form, the revision reaches every entry daemon, a
/// caller streams a whole answer, and SIGTERM ends every process with success.
#[test]
fn an_intent_is_confirmed_and_a_streamed_answer_comes_back_whole() {
    let deployment = Deployment::start(Shape::with_one_entry_per_domain());
    let plan = deployment.operator().plan(intent(deployment.shape()));
    let before = deployment.operator().status().expect("a leader");
    assert_eq!(before.revision.0, plan.base_revision.0);

    let reply = deployment.operator().confirm(plan.id, "confirm-1");
    let ConfirmReply::Accepted { revision } = reply else {
        panic!("refused: {reply:?}");
    };
    let entry = deployment.shape().entry_names().remove(0);
    deployment.wait_until_ready(&entry);
    let status = deployment.wait_until_groups_serve(3);
    let answer = stream_completion(&deployment, &entry, 20);

    assert_eq!(status.revision, revision);
    assert!(answer.complete, "{}", answer.text());
    assert_eq!(answer.status, 200, "{}", answer.text());
    let events = answer.events();
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    assert!(events.len() > 20, "{events:?}");
    deployment.stop_gracefully();
}

fn stream_completion(deployment: &Deployment, entry: &str, max_tokens: u32) -> client::Answer {
    let body = json!({
        "model": MODEL_SERVICE,
        "messages": [{ "role": "user", "content": "Draft the report." }],
        "max_tokens": max_tokens,
        "stream": true,
    });
    let authorization = format!("Bearer {API_KEY}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
    ];
    client::send(
        deployment.entry_address(entry),
        http::Method::POST,
        "/v1/chat/completions",
        &headers,
        body.to_string(),
    )
    .expect("an answer")
}
