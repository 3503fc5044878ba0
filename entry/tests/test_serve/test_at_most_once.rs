//! Requests that must run at most once, over resends, entry daemons and failures.

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

const KEYED: &str = "idempotency-key: \"visit-17\"\r\n";

fn send_receipt(fixture: &Fixture, body: &str) -> RawCaller {
    let mut caller = fixture.caller();
    caller.send("POST", "/services/field-api/receipt", KEYED, body);
    caller
}

fn receipt(fixture: &Fixture) -> Answer {
    send_receipt(fixture, "finding").answer()
}

fn eventually_receipt(fixture: &Fixture) -> Answer {
    const TRIES: u32 = 100;
    for _ in 0..TRIES {
        let answer = receipt(fixture);
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

/// An upstream that takes its time, so that a resend finds the first copy running.
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
fn a_resend_gets_the_first_answer() {
    let upstream = good_upstream();
    let fixture = Fixture::with_plain(&[upstream.address]);

    let first = receipt(&fixture);
    let resend = receipt(&fixture);

    assert_eq!((first.status, first.body.as_str()), (201, "run 0"));
    assert_eq!(first.header("x-cicadabend-replayed"), None);
    assert_eq!((resend.status, resend.body.as_str()), (201, "run 0"));
    assert_eq!(resend.header("x-cicadabend-replayed"), Some("true"));
    assert_eq!(upstream.requests().len(), 1);
}

/// The balancer gives the resend to another entry daemon.
#[test]
fn a_resend_through_another_daemon_gets_the_first_answer() {
    let upstream = good_upstream();
    let voters = ClaimVoters::start();
    let daemons = [
        entry(&voters, &upstream, "entry-1"),
        entry(&voters, &upstream, "entry-2"),
    ];

    let answers = [receipt(&daemons[0]), receipt(&daemons[1])];

    assert_eq!(answers[0].body, answers[1].body);
    assert_eq!(upstream.requests().len(), 1);
}

/// The caller loses patience and sends again while the first copy runs. The
/// second copy is not sent on, and its caller is told when to come back.
#[test]
fn a_resend_meets_the_first_one_running() {
    let upstream = slow_upstream(300);
    let voters = ClaimVoters::start();
    let daemons = [
        entry(&voters, &upstream, "entry-1"),
        entry(&voters, &upstream, "entry-2"),
    ];
    let mut first = send_receipt(&daemons[0], "finding");
    wait_for_request(&upstream);

    let error = receipt(&daemons[1]).error();

    assert_eq!(error.code, ErrorCode::InProgress);
    assert!(error.retry_after_ms.is_some() && !error.not_run);
    assert_eq!(first.answer().body, "run 0");
    assert_eq!(upstream.requests().len(), 1);
}

/// The caller's connection breaks before the answer. The request goes on without
/// it, and the resend gets the answer that the first connection could not take.
#[test]
fn a_caller_that_left_gets_its_answer_by_a_resend() {
    let upstream = slow_upstream(200);
    let fixture = Fixture::with_plain(&[upstream.address]);
    let first = send_receipt(&fixture, "finding");
    wait_for_request(&upstream);

    drop(first);
    fixture.wait_for_counter("attempts_running", 0);
    let resend = receipt(&fixture);

    assert_eq!((resend.status, resend.body.as_str()), (200, "run 0"));
    assert_eq!(upstream.requests().len(), 1);
}

/// The upstream closes the connection after it has read the request. Nobody knows
/// whether it ran: both sendings are told so, and the second is not sent on.
#[test]
fn an_unknown_outcome_stays_unknown() {
    let upstream = ScriptedUpstream::start(|_, _| vec![Step::Close]);
    let fixture = Fixture::with_plain(&[upstream.address]);

    let errors = [receipt(&fixture).error(), receipt(&fixture).error()];

    for error in errors {
        assert_eq!(error.code, ErrorCode::OutcomeUnknown);
        assert!(!error.not_run && error.retry_is_safe);
    }
    assert_eq!(upstream.requests().len(), 1);
}

/// A failure domain is cut off from the majority of control daemons. It cannot
/// know whether the request ran elsewhere, so it does not run it.
#[test]
fn without_a_majority_nothing_runs() {
    let upstream = good_upstream();
    let voters = ClaimVoters::start();
    let fixture = entry(&voters, &upstream, "entry-1");
    voters.set_reachable(1);

    let error = receipt(&fixture).error();

    assert_eq!(error.code, ErrorCode::NotRun);
    assert!(error.not_run && error.retry_after_ms.is_some());
    assert!(upstream.requests().is_empty());

    voters.set_reachable(3);
    assert_eq!(receipt(&fixture).body, "run 0");
}

/// Guards against a resend that is told "in progress" although its caller has the first answer:
/// the outcome's first way to the control daemons is lost.
#[rstest]
#[case::length_known(Step::whole("201 Created", "run 0"))]
#[case::chunked(Step::chunked("201 Created", "run 0"))]
fn an_answer_is_given_once_a_majority_has_recorded_it(#[case] step: Step) {
    let upstream = ScriptedUpstream::start(move |_, _| vec![step.clone()]);
    let voters = ClaimVoters::start();
    let daemons = [
        entry(&voters, &upstream, "entry-1"),
        entry(&voters, &upstream, "entry-2"),
    ];
    voters.lose_outcomes(3);

    let first = receipt(&daemons[0]);
    let resend = receipt(&daemons[1]);

    assert_eq!((first.status, first.body.as_str()), (201, "run 0"));
    assert_eq!((resend.status, resend.body.as_str()), (201, "run 0"));
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against answers that are held back for as long as a partition lasts.
#[test]
fn an_answer_that_cannot_be_recorded_is_given_all_the_same() {
    let upstream = good_upstream();
    let voters = ClaimVoters::start();
    let fixture = entry(&voters, &upstream, "entry-1");
    voters.lose_outcomes(usize::MAX);

    let first = receipt(&fixture);

    assert_eq!((first.status, first.body.as_str()), (201, "run 0"));
    assert_eq!(fixture.counter("serving.outcomes_not_recorded"), 1);
}

/// Guards against "not run" while a majority takes the request for running: the cut comes
/// between the claim and its answers.
#[test]
fn a_claim_that_may_be_held_is_not_called_not_run_before_it_is_given_back() {
    let upstream = good_upstream();
    let voters = ClaimVoters::start();
    let fixture = entry(&voters, &upstream, "entry-1");
    voters.cut_at_first_claim(1);

    let error = receipt(&fixture).error();
    let ran_while_cut = upstream.requests().len();
    voters.set_reachable(3);
    fixture.wait_for_counter("serving.claims_not_withdrawn", 1);
    let resend = eventually_receipt(&entry(&voters, &upstream, "entry-2"));

    assert_eq!(error.code, ErrorCode::OutcomeUnknown);
    assert!(!error.not_run && error.retry_is_safe);
    assert_eq!(ran_while_cut, 0);
    assert_eq!(resend.body, "run 0");
}

/// No byte reached the upstream, so the claim is given back and a resend runs.
#[test]
fn a_request_that_did_not_run_may_run_later() {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = nobody.local_addr().unwrap();
    drop(nobody);
    let upstream = good_upstream();
    let fixture = Fixture::with_plain(&[address]);

    let error = receipt(&fixture).error();
    fixture.change_snapshot(|snapshot| snapshot.replicas[0].address = upstream.address);
    let resend = receipt(&fixture);

    assert!(error.not_run, "{error:?}");
    assert_eq!(resend.body, "run 0");
}

#[test]
fn a_key_is_for_one_request() {
    let upstream = good_upstream();
    let fixture = Fixture::with_plain(&[upstream.address]);

    let first = receipt(&fixture);
    let error = send_receipt(&fixture, "another finding").answer().error();

    assert_eq!(first.status, 201);
    assert_eq!(error.code, ErrorCode::KeyReused);
    assert_eq!(upstream.requests().len(), 1);
}

/// A verdict is drafted as a stream and must not be drafted twice. The resend gets
/// the same stream, not a second generation.
#[test]
fn a_resent_stream_is_the_same_stream() {
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
    let headers = format!("{KEYED}x-cicadabend-not-repeatable: true\r\n");

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
