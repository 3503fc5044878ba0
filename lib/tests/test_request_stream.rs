//! Tests of event parsing, and of the check of an answer's events: order, identity and end.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use cicadabend::request::{
    EventVerdict,
    StreamEvent,
    StreamFault,
    StreamTracker,
    first_event_len, //
};
use rstest::rstest;

fn tracker() -> StreamTracker {
    StreamTracker::new("request-1".parse().unwrap())
}

fn event(position: u64, generation: &str, request: &str) -> String {
    format!("id: {position}\ndata: {{\"id\":\"{generation}\",\"request_id\":\"{request}\"}}\n\n")
}

fn accept_text(tracker: &mut StreamTracker, text: &str) -> Result<EventVerdict, StreamFault> {
    tracker.accept(&StreamEvent::parse(text.as_bytes()).unwrap())
}

#[rstest]
#[case::no_end("data: x\n", None)]
#[case::lf("data: x\n\nrest", Some(9))]
#[case::crlf("data: x\r\n\r\n", Some(11))]
#[case::several_lines("id: 1\ndata: x\n\n", Some(15))]
#[case::empty("", None)]
fn finds_the_end_of_an_event(#[case] bytes: &str, #[case] expected: Option<usize>) {
    assert_eq!(first_event_len(bytes.as_bytes()), expected);
}

#[test]
fn joins_several_data_lines() {
    let event = StreamEvent::parse(b"data: a\ndata: b\n\n").unwrap();

    assert_eq!(event.data.as_deref(), Some("a\nb"));
}

#[test]
fn passes_a_complete_answer_and_recognizes_its_end() {
    let mut tracker = tracker();

    for position in 0..3 {
        let verdict = accept_text(&mut tracker, &event(position, "gen-1", "request-1"));
        assert_eq!(verdict, Ok(EventVerdict::Pass));
    }

    assert!(!tracker.is_done());
    assert_eq!(
        accept_text(&mut tracker, "data: [DONE]\n\n"),
        Ok(EventVerdict::Last)
    );
    assert!(tracker.is_done());
    assert_eq!(tracker.passed(), 3);
    assert_eq!(
        accept_text(&mut tracker, &event(3, "gen-1", "request-1")),
        Err(StreamFault::AfterEnd)
    );
}

/// An engine that resumes an answer starts at an earlier position than requested. If its events
/// were all passed on, the caller would get some of them twice.
#[test]
fn drops_events_that_were_passed_on_before() {
    let mut tracker = tracker();
    for position in 0..2 {
        accept_text(&mut tracker, &event(position, "gen-1", "request-1")).unwrap();
    }

    let again = accept_text(&mut tracker, &event(0, "gen-1", "request-1"));
    let next = accept_text(&mut tracker, &event(2, "gen-1", "request-1"));

    assert_eq!(again, Ok(EventVerdict::Duplicate));
    assert_eq!(next, Ok(EventVerdict::Pass));
}

/// An event that does not continue the answer arrives, due to a restarted engine, a proxy that
/// mixes up connections, or a lost event. None may reach the caller, because a spliced answer
/// looks like a complete one.
#[rstest]
#[case::gap(event(2, "gen-1", "request-1"), StreamFault::Gap { expected: 1, found: 2 })]
#[case::other_request(
    event(1, "gen-1", "request-2"),
    StreamFault::OtherRequest { found: "request-2".to_owned() }
)]
#[case::other_generation(
    event(1, "gen-2", "request-1"),
    StreamFault::OtherGeneration { found: "gen-2".to_owned() }
)]
#[case::no_position("data: {}\n\n".to_owned(), StreamFault::Unpositioned)]
#[case::garbage("id: 1\ndata: {{{\n\n".to_owned(), StreamFault::Malformed)]
fn refuses_events_that_do_not_continue_the_answer(#[case] bad: String, #[case] fault: StreamFault) {
    let mut tracker = tracker();
    accept_text(&mut tracker, &event(0, "gen-1", "request-1")).unwrap();

    let verdict = accept_text(&mut tracker, &bad);

    assert_eq!(verdict, Err(fault));
    assert_eq!(tracker.passed(), 1);
}

#[test]
fn a_stream_without_positions_passes_but_cannot_be_resumed() {
    let mut tracker = tracker();

    let verdict = accept_text(&mut tracker, "data: {\"id\":\"gen-1\"}\n\n");

    assert_eq!(verdict, Ok(EventVerdict::Pass));
    assert!(!tracker.can_resume());
}

#[test]
fn comments_pass_and_do_not_count() {
    let mut tracker = tracker();

    let verdict = accept_text(&mut tracker, ": still working\n\n");

    assert_eq!((verdict, tracker.passed()), (Ok(EventVerdict::Pass), 0));
}
