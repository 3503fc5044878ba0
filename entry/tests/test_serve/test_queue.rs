//! Requests that wait for a slot, limits of teams, and hedges of slow requests.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use cicadabend::{
    caller_api::ErrorCode,
    fleet::FleetConfig,
    prelude::*, //
};

use crate::support::{
    Fixture,
    RawCaller,
    ScriptedUpstream,
    Step, //
};

fn good_stream() -> Vec<Step> {
    let mut steps = vec![Step::stream_head(), Step::event(0, "a")];
    steps.extend(Step::done());
    steps
}

/// Starts an engine that answers only once the returned flag is set.
fn start_blocked_engine() -> (ScriptedUpstream, Arc<AtomicBool>) {
    let released = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&released);
    let engine = ScriptedUpstream::start(move |_, _| {
        while !seen.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        good_stream()
    });
    (engine, released)
}

fn start_with_one_slot(engine: &ScriptedUpstream) -> Fixture {
    let fixture = Fixture::with_engines(&[engine.address]);
    fixture.change_snapshot(|snapshot| snapshot.replicas[0].slots = Slots(1));
    fixture
}

fn send_completion(fixture: &Fixture, headers: &str) -> RawCaller {
    let mut caller = fixture.caller();
    caller.complete(headers);
    caller
}

#[test]
fn a_request_waits_until_another_one_releases_its_slot() {
    let (engine, released) = start_blocked_engine();
    let fixture = start_with_one_slot(&engine);
    let mut first = send_completion(&fixture, "");
    fixture.wait_for_counter("attempts_running", 1);

    let mut second = send_completion(&fixture, "");
    fixture.wait_for_counter("requests_waiting", 1);
    assert_eq!(fixture.counter("attempts_running"), 1);
    released.store(true, Ordering::SeqCst);

    assert_eq!(first.answer().tokens(), ["a", "[DONE]"]);
    assert_eq!(second.answer().tokens(), ["a", "[DONE]"]);
}

/// Guards against requests that run without a caller: a caller disconnects while its request is
/// queued. The request is not sent, and the next one in the queue gets the slot.
#[test]
fn the_request_of_a_caller_that_disconnects_while_queued_is_not_sent() {
    let (engine, released) = start_blocked_engine();
    let fixture = start_with_one_slot(&engine);
    let mut first = send_completion(&fixture, "");
    fixture.wait_for_counter("attempts_running", 1);
    let second = send_completion(&fixture, "x-request-id: left\r\n");
    fixture.wait_for_counter("requests_waiting", 1);
    let mut third = send_completion(&fixture, "");
    fixture.wait_for_counter("requests_waiting", 2);

    drop(second);
    fixture.wait_for_counter("requests_waiting", 1);
    released.store(true, Ordering::SeqCst);

    assert!(first.answer().is_whole && third.answer().is_whole);
    let requests = engine.requests();
    assert_eq!(requests.len(), 2);
    let is_left = |id: Option<String>| id.as_deref() == Some("left");
    assert!(!requests.iter().any(|r| is_left(r.header("x-request-id"))));
}

/// Guards against an unknown outcome for a request that was never sent: its deadline passes in the
/// queue. The caller gets "not run" and a retry delay.
#[test]
fn a_deadline_in_the_queue_means_not_run() {
    let (engine, released) = start_blocked_engine();
    let fixture = start_with_one_slot(&engine);
    let mut first = send_completion(&fixture, "");
    fixture.wait_for_counter("attempts_running", 1);

    let error = send_completion(&fixture, "x-cicadabend-deadline-ms: 100\r\n")
        .answer()
        .error();

    assert_eq!(error.code, ErrorCode::DeadlineCannotBeMet);
    assert!(error.not_run && error.retry_after_ms.is_some());
    released.store(true, Ordering::SeqCst);
    assert!(first.answer().is_whole);
    assert_eq!(engine.requests().len(), 1);
}

#[test]
fn a_team_over_its_rate_gets_a_retry_delay() {
    let engine = ScriptedUpstream::start(|_, _| good_stream());
    let fixture = Fixture::with_engines(&[engine.address]);
    fixture.change_snapshot(|snapshot| {
        let mut config = FleetConfig::clone(&snapshot.config);
        for team in config.teams.values_mut() {
            team.requests_per_second = RatePerSecond(1);
        }
        snapshot.config = Arc::new(config);
    });

    let first = send_completion(&fixture, "").answer();
    let error = send_completion(&fixture, "").answer().error();

    assert!(first.is_whole);
    assert_eq!(error.code, ErrorCode::OverLimit);
    assert!(error.not_run);
    assert!((1..=1_000).contains(&error.retry_after_ms.unwrap()));
    assert_eq!(engine.requests().len(), 1);
}

/// Guards against a planned stop that drops queued requests: the daemon is stopped while a request
/// waits for a slot. Its caller still gets the complete response.
#[test]
fn a_queued_request_is_served_before_the_daemon_stops() {
    let (engine, released) = start_blocked_engine();
    let fixture = start_with_one_slot(&engine);
    let mut first = send_completion(&fixture, "");
    fixture.wait_for_counter("attempts_running", 1);
    let mut second = send_completion(&fixture, "");
    fixture.wait_for_counter("requests_waiting", 1);

    fixture.stop();
    std::thread::sleep(Duration::from_millis(200));
    released.store(true, Ordering::SeqCst);

    assert!(first.answer().is_whole && second.answer().is_whole);
    fixture.join();
}

/// Guards against requests that wait for a stuck engine: one engine stops answering after many
/// quick responses. A hedge goes to the other engine, whose response is passed on, and the first
/// attempt is cancelled.
#[test]
fn a_slow_idempotent_request_is_hedged() {
    let is_stuck = Arc::new(AtomicBool::new(false));
    let seen = Arc::clone(&is_stuck);
    let stuck = ScriptedUpstream::start(move |_, _| match seen.load(Ordering::SeqCst) {
        true => vec![Step::AwaitClose],
        false => good_stream(),
    });
    let good = ScriptedUpstream::start(|_, _| good_stream());
    let fixture = Fixture::with_engines(&[stuck.address, good.address]);
    let mut caller = fixture.caller();
    for _ in 0..128 {
        caller.complete("");
        assert!(caller.answer().is_whole);
    }

    is_stuck.store(true, Ordering::SeqCst);
    for _ in 0..2 {
        caller.complete("");
        assert_eq!(caller.answer().tokens(), ["a", "[DONE]"]);
    }

    assert!(fixture.counter("serving.hedges") >= 1);
    stuck.wait_closed();
    fixture.wait_for_counter("attempts_running", 0);
    let cancels = stuck.wait_for_cancels();
    let heads: BTreeSet<_> = cancels.iter().map(|cancel| &cancel.head).collect();
    assert_eq!(heads.len(), cancels.len(), "a request was cancelled twice");
}
