//! Detection of a thread that has more work than processor time.

use std::time::Duration;

use cicadabend::{
    admission::{
        OverloadChange,
        OverloadDetector, //
    },
    prelude::*,
};

/// Records one delay after the other, 100 ms apart; returns the changes with their times.
fn changes(delays_ms: &[u64]) -> Vec<(u64, OverloadChange)> {
    let mut detector = OverloadDetector::default();
    let times = (1..).map(|number| number * 100);
    let recorded = times.zip(delays_ms).filter_map(|(at_ms, delay_ms)| {
        let delay = Duration::from_millis(*delay_ms);
        let change = detector.record_delay(delay, Timestamp(at_ms))?;
        Some((at_ms, change))
    });
    recorded.collect()
}

#[test]
fn timers_that_are_late_for_half_a_second_show_an_overload_until_one_is_in_time() {
    let changes = changes(&[150, 300, 150, 150, 150, 150, 150, 80, 40, 150]);

    let expected = [(600, OverloadChange::Begins), (900, OverloadChange::Ends)];
    assert_eq!(changes, expected);
}

/// Guards against connections that are closed because a quota stops the process now and then.
#[test]
fn single_late_timers_show_no_overload() {
    let changes = changes(&[200, 200, 200, 200, 20, 200, 200, 200, 200, 90, 200, 200]);

    assert_eq!(changes, []);
}

/// Guards against the same for a process that was paused once.
#[test]
fn one_very_late_timer_shows_no_overload() {
    assert_eq!(changes(&[60_000, 10, 10]), []);
}
