//! Planned stops of the serving thread.

use crate::support::{
    Fixture,
    ScriptedUpstream,
    Step, //
};

/// Guards against a planned stop that cuts off a request: the daemon is stopped in the middle of a
/// stream. The daemon first becomes unready, the stream runs to its end, and then the thread ends.
#[test]
fn a_running_stream_ends_before_the_thread_does() {
    let engine = ScriptedUpstream::start(|_, _| {
        let mut steps = vec![Step::stream_head(), Step::event(0, "a")];
        steps.push(Step::PauseMs(400));
        steps.push(Step::event(1, "b"));
        steps.extend(Step::done());
        steps
    });
    let fixture = Fixture::with_engines(&[engine.address]);
    let mut caller = fixture.caller();
    caller.complete("");
    let head = caller.head();
    assert!(head.starts_with("HTTP/1.1 200"));

    fixture.stop();
    let mut balancer = fixture.caller();
    while balancer.get("/health/ready").status != 503 {}
    let mut body = String::new();
    while let Some(chunk) = caller.chunk().filter(|chunk| !chunk.is_empty()) {
        body.push_str(&chunk);
    }
    drop(balancer);

    assert!(body.contains("\"token\":\"b\""));
    assert!(body.ends_with("data: [DONE]\n\n"));
    fixture.join();
}
