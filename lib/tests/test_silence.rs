//! Whether a timer shows that the other side is silent.

use std::time::Duration;

use cicadabend::reach::SilenceCheck;
use rstest::rstest;

/// Guards against upstreams that are given up because this daemon was not running, and against ones
/// that are never given up because it is always late.
#[rstest]
#[case::in_time(&[1], &[true])]
#[case::after_a_hold(&[1_200, 1], &[false, true])]
#[case::at_the_end_of_a_quota(&[88, 88, 5], &[false, false, true])]
#[case::always_late(&[88; 10], &[false, false, false, false, true, false, false, false, false, true])]
fn a_late_timer_shows_no_silence_before_what_has_arrived_is_read(
    #[case] delays_ms: &[u64],
    #[case] expected: &[bool],
) {
    let mut check = SilenceCheck::default();

    let delays = delays_ms.iter().copied().map(Duration::from_millis);
    let shown: Vec<bool> = delays
        .map(|delay| check.record_timer(delay).is_none())
        .collect();

    assert_eq!(shown, expected);
}
