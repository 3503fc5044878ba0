//! From an engine's announcement and an operator's intent to a caller's whole answer.

use cicadabend::operator_api::ConfirmReply;
use cicadabend_testutils::{
    caller,
    deployment::{
        Deployment,
        Shape,
        intent, //
    },
};

const TOKENS: u32 = 20;

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
    let answer = caller::stream(deployment.entry_address(&entry), TOKENS).expect("an answer");

    assert_eq!(status.revision, revision);
    assert_eq!(caller::check_whole(&answer, TOKENS), Ok(()));
    deployment.stop_gracefully();
}
