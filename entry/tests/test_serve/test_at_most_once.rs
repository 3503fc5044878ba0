//! Requests that must run at most once, across client retries, entry daemons and failures.

use cicadabend::caller_api::ErrorCode;
use rstest::rstest;

use crate::support::{
    Answer,
    ClaimVoters,
    Fixture,
    RawCaller,
    ScriptedUpstream,
    Step, //
};

const KEY_HEADER: &str = "idempotency-key: \"visit-17\"\r\n";

fn send_receipt(fixture: &Fixture, body: &str) -> RawCaller {
    let mut caller = fixture.caller();
    caller.send("POST", "/services/field-api/receipt", KEY_HEADER, body);
    caller
}

fn request_receipt(fixture: &Fixture) -> Answer {
    send_receipt(fixture, "finding").answer()
}

fn retry_until_receipt(fixture: &Fixture) -> Answer {
    const TRIES: u32 = 100;
    for _ in 0..TRIES {
        let answer = request_receipt(fixture);
        if answer.status == 201 {
            return answer;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    panic!("no receipt after {TRIES} tries");
}

fn good_upstream() -> ScriptedUpstream {
    ScriptedUpstream::start(|number, _| vec![Step::whole("201 Created", &format!("run {number}"))])
}

/// Starts an upstream that answers after a pause, so that a client retry finds the first request
/// running.
fn slow_upstream(pause_ms: u64) -> ScriptedUpstream {
    ScriptedUpstream::start(move |number, _| {
        vec![
            Step::PauseMs(pause_ms),
            Step::whole("200 OK", &format!("run {number}")),
        ]
    })
}

fn wait_for_request(upstream: &ScriptedUpstream) {
    while upstream.requests().is_empty() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

fn entry(voters: &ClaimVoters, upstream: &ScriptedUpstream, name: &str) -> Fixture {
    Fixture::start_with_voters(&[], &[upstream.address], voters, |settings| {
        settings.daemon = name.parse().unwrap();
    })
}

#[test]
fn a_client_retry_gets_the_first_response() {
    let upstream = good_upstream();
    let fixture = Fixture::with_plain(&[upstream.address]);

    let first = request_receipt(&fixture);
    let client_retry = request_receipt(&fixture);

    assert_eq!((first.status, first.body.as_str()), (201, "run 0"));
    assert_eq!(first.header("x-cicadabend-replayed"), None);
    assert_eq!(
        (client_retry.status, client_retry.body.as_str()),
        (201, "run 0")
    );
    assert_eq!(client_retry.header("x-cicadabend-replayed"), Some("true"));
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against claims that only one entry daemon knows: the balancer sends the client retry to
/// another daemon, which must not run the request again.
#[test]
fn a_client_retry_through_another_daemon_gets_the_first_response() {
    let upstream = good_upstream();
    let voters = ClaimVoters::start();
    let daemons = [
        entry(&voters, &upstream, "entry-1"),
        entry(&voters, &upstream, "entry-2"),
    ];

    let answers = [request_receipt(&daemons[0]), request_receipt(&daemons[1])];

    assert_eq!(answers[0].body, answers[1].body);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against a second run while the first one lasts: a client retry comes before the first
/// response. The retry is not sent to the upstream, and its error says when to retry.
#[test]
fn a_client_retry_gets_in_progress_while_the_first_request_runs() {
    let upstream = slow_upstream(300);
    let voters = ClaimVoters::start();
    let daemons = [
        entry(&voters, &upstream, "entry-1"),
        entry(&voters, &upstream, "entry-2"),
    ];
    let mut first = send_receipt(&daemons[0], "finding");
    wait_for_request(&upstream);

    let error = request_receipt(&daemons[1]).error();

    assert_eq!(error.code, ErrorCode::InProgress);
    assert!(error.retry_after_ms.is_some() && !error.not_run);
    assert_eq!(first.answer().body, "run 0");
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against a lost response: the caller disconnects before it. The request continues, and
/// the client retry gets its response.
#[test]
fn a_caller_that_disconnected_gets_the_response_by_a_client_retry() {
    let upstream = slow_upstream(200);
    let fixture = Fixture::with_plain(&[upstream.address]);
    let first = send_receipt(&fixture, "finding");
    wait_for_request(&upstream);

    drop(first);
    fixture.wait_for_counter("attempts_running", 0);
    let client_retry = request_receipt(&fixture);

    assert_eq!(
        (client_retry.status, client_retry.body.as_str()),
        (200, "run 0")
    );
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against a second run after an unknown outcome: the upstream closes the connection after
/// it has read the request. Both requests get an unknown outcome, and the second is not sent.
#[test]
fn a_client_retry_after_an_unknown_outcome_is_not_run() {
    let upstream = ScriptedUpstream::start(|_, _| vec![Step::Close]);
    let fixture = Fixture::with_plain(&[upstream.address]);

    let errors = [
        request_receipt(&fixture).error(),
        request_receipt(&fixture).error(),
    ];

    for error in errors {
        assert_eq!(error.code, ErrorCode::OutcomeUnknown);
        assert!(!error.not_run && error.retry_is_safe);
    }
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against a second run during a partition: without a majority of the control daemons, an
/// entry daemon cannot know whether another one has run the request, so it does not run it.
#[test]
fn without_a_majority_of_voters_nothing_runs() {
    let upstream = good_upstream();
    let voters = ClaimVoters::start();
    let fixture = entry(&voters, &upstream, "entry-1");
    voters.set_reachable(1);

    let error = request_receipt(&fixture).error();

    assert_eq!(error.code, ErrorCode::NotRun);
    assert!(error.not_run && error.retry_after_ms.is_some());
    assert!(upstream.requests().is_empty());

    voters.set_reachable(3);
    assert_eq!(request_receipt(&fixture).body, "run 0");
}

/// Guards against "in progress" for a client retry whose caller already has the first response.
/// That happens if a response ends before its outcome is recorded; here the first messages with the
/// outcome are lost.
#[rstest]
#[case::length_known(Step::whole("201 Created", "run 0"))]
#[case::chunked(Step::chunked("201 Created", "run 0"))]
fn a_response_ends_only_once_a_majority_has_recorded_it(#[case] step: Step) {
    let upstream = ScriptedUpstream::start(move |_, _| vec![step.clone()]);
    let voters = ClaimVoters::start();
    let daemons = [
        entry(&voters, &upstream, "entry-1"),
        entry(&voters, &upstream, "entry-2"),
    ];
    voters.lose_outcomes(3);

    let first = request_receipt(&daemons[0]);
    let client_retry = request_receipt(&daemons[1]);

    assert_eq!((first.status, first.body.as_str()), (201, "run 0"));
    assert_eq!(
        (client_retry.status, client_retry.body.as_str()),
        (201, "run 0")
    );
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against responses that are held back for as long as a partition lasts, because their
/// outcome cannot be recorded.
#[test]
fn a_response_that_cannot_be_recorded_is_given_after_the_timeout() {
    let upstream = good_upstream();
    let voters = ClaimVoters::start();
    let fixture = entry(&voters, &upstream, "entry-1");
    voters.lose_outcomes(usize::MAX);

    let first = request_receipt(&fixture);

    assert_eq!((first.status, first.body.as_str()), (201, "run 0"));
    assert_eq!(fixture.counter("serving.outcomes_not_recorded"), 1);
}

/// Guards against "not run" while a majority has the claim recorded as held: the network fails
/// between the claim request and its replies. A client retry would then find the key held.
#[test]
fn not_run_is_answered_only_after_the_claim_is_released() {
    let upstream = good_upstream();
    let voters = ClaimVoters::start();
    let fixture = entry(&voters, &upstream, "entry-1");
    voters.cut_at_first_claim(1);

    let error = request_receipt(&fixture).error();
    let ran_while_cut = upstream.requests().len();
    voters.set_reachable(3);
    fixture.wait_for_counter("serving.claims_not_withdrawn", 1);
    let client_retry = retry_until_receipt(&entry(&voters, &upstream, "entry-2"));

    assert_eq!(error.code, ErrorCode::OutcomeUnknown);
    assert!(!error.not_run && error.retry_is_safe);
    assert_eq!(ran_while_cut, 0);
    assert_eq!(client_retry.body, "run 0");
}

/// Guards against a claim that stays held although no byte reached the upstream: it must be
/// released, so that the client retry runs.
#[test]
fn a_request_that_did_not_run_can_run_on_a_client_retry() {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = nobody.local_addr().unwrap();
    drop(nobody);
    let upstream = good_upstream();
    let fixture = Fixture::with_plain(&[address]);

    let error = request_receipt(&fixture).error();
    fixture.change_snapshot(|snapshot| snapshot.replicas[0].address = upstream.address);
    let client_retry = request_receipt(&fixture);

    assert!(error.not_run, "{error:?}");
    assert_eq!(client_retry.body, "run 0");
}

#[test]
fn a_key_used_for_another_request_is_refused() {
    let upstream = good_upstream();
    let fixture = Fixture::with_plain(&[upstream.address]);

    let first = request_receipt(&fixture);
    let error = send_receipt(&fixture, "another finding").answer().error();

    assert_eq!(first.status, 201);
    assert_eq!(error.code, ErrorCode::KeyReused);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against a second generation of a stream that must run at most once: the client retry
/// gets the recorded stream.
#[test]
fn a_client_retry_gets_the_same_stream() {
    let engine = ScriptedUpstream::start(|_, _| {
        let mut steps = vec![
            Step::stream_head(),
            Step::event(0, "a"),
            Step::event(1, "b"),
        ];
        steps.extend(Step::done());
        steps
    });
    let fixture = Fixture::with_engines(&[engine.address]);
    let headers = format!("{KEY_HEADER}x-cicadabend-not-repeatable: true\r\n");

    let mut answers = Vec::new();
    for _ in 0..2 {
        let mut caller = fixture.caller();
        caller.complete(&headers);
        answers.push(caller.answer());
    }

    assert_eq!(answers[0].tokens(), ["a", "b", "[DONE]"]);
    assert_eq!(answers[1].tokens(), ["a", "b", "[DONE]"]);
    assert_eq!(engine.requests().len(), 1);
}
