//! Updates about named rates that arrive at daemons late and out of order.

use cicadabend::{
    prelude::*,
    rates::{
        RateSpread,
        RateUpdate, //
    },
};
use rstest::rstest;

use crate::world::upstream;

fn rate(text: &str) -> Option<RequestRate> {
    (text != "none").then(|| text.parse().unwrap())
}

/// Returns the state of a daemon that has received these answers of an upstream, each with its
/// rate, the time of its request and its time of arrival.
fn spread_after(answers: &[(&str, u64, u64)]) -> RateSpread {
    let mut spread = RateSpread::default();
    for (rate_text, sent_ms, received_ms) in answers {
        let times = (Timestamp(*sent_ms), Timestamp(*received_ms));
        spread.observe(
            &upstream(0),
            rate(rate_text),
            times,
            Timestamp(*received_ms),
        );
    }
    spread
}

fn named_rate(spread: &mut RateSpread) -> Option<RequestRate> {
    let table = spread.changed_table().unwrap_or_default();
    table.get(&upstream(0)).copied()
}

#[rstest]
#[case::a_first_rate(&[("1.6", 900, 1_000)], "1.6")]
#[case::a_lower_one(&[("1.6", 900, 1_000), ("0.4", 950, 1_050)], "0.4")]
#[case::a_higher_one_of_a_later_request(&[("1.6", 900, 1_000), ("8", 1_600, 1_700)], "8")]
#[case::a_higher_one_of_an_answer_that_ran_long(&[("1.6", 900, 1_000), ("8", 100, 1_700)], "1.6")]
#[case::none_of_a_later_request(&[("1.6", 900, 1_000), ("none", 1_600, 1_700)], "none")]
#[case::none_of_an_answer_that_ran_long(&[("1.6", 900, 1_000), ("none", 100, 1_700)], "1.6")]
#[case::a_rate_after_none(&[("1.6", 900, 1_000), ("none", 1_600, 1_700), ("2", 1_650, 1_800)], "2")]
fn the_newest_answer_holds_and_the_lower_rate_if_the_order_is_uncertain(
    #[case] answers: &[(&str, u64, u64)],
    #[case] expected: &str,
) {
    let mut spread = spread_after(answers);

    assert_eq!(named_rate(&mut spread), rate(expected));
}

#[test]
fn a_late_update_about_an_older_answer_does_not_restore_an_ended_rate() {
    // Guards against an upstream that stays limited after it has stopped naming a rate: one daemon
    // knows that the rate has ended, and another daemon's late update about an older answer
    // restores the rate.
    let mut early = spread_after(&[("1.6", 900, 1_000)]);
    let mut late = spread_after(&[("1.6", 900, 1_000), ("none", 1_600, 1_700)]);
    let older = early.take_due_update(Timestamp(1_900));

    late.handle_rate_update(&older, true, Timestamp(1_900));

    assert_eq!(named_rate(&mut late), None);
}

#[test]
fn an_outdated_update_is_answered_with_the_newer_rate() {
    let mut early = spread_after(&[("1.6", 900, 1_000)]);
    let mut late = spread_after(&[("1.6", 900, 1_000), ("none", 1_600, 1_700)]);
    // All announcements so far are lost.
    for at_ms in [1_700, 2_200, 2_700, 3_200] {
        let _ = late.take_due_update(Timestamp(at_ms));
    }
    let older = early.all(Timestamp(4_000));

    late.handle_rate_update(&older, true, Timestamp(4_000));
    let answer = late.take_due_update(Timestamp(4_000));
    early.handle_rate_update(&answer, true, Timestamp(4_000));

    assert_eq!(named_rate(&mut early), None);
}

#[test]
fn an_unchanged_rate_is_announced_three_times_only() {
    // Guards against updates that exceed a daemon's 5 KB per second of control traffic, since an
    // upstream names its rate in each answer.
    let mut spread = RateSpread::default();
    let mut announcements = 0;

    for at_ms in (1_000..20_000).step_by(50) {
        let times = (Timestamp(at_ms - 100), Timestamp(at_ms));
        spread.observe(&upstream(0), rate("1.6"), times, Timestamp(at_ms));
        announcements +=
            usize::from(spread.take_due_update(Timestamp(at_ms)) != RateUpdate::default());
    }

    assert_eq!(announcements, 3);
}

#[test]
fn the_rate_of_an_ended_instance_is_removed() {
    let mut spread = spread_after(&[("1.6", 900, 1_000)]);

    let removed = spread.forget(|id| *id == upstream(0), Timestamp(1_100));

    assert_eq!(removed.len(), 1);
    assert_eq!(named_rate(&mut spread), None);
}

#[rstest]
#[case("1.6", Some(1_600))]
#[case("0", Some(0))]
#[case("0.05", Some(50))]
#[case("0.0001", Some(0))]
#[case("400", Some(400_000))]
#[case("-1", None)]
#[case("+1", None)]
#[case("NaN", None)]
#[case("inf", None)]
#[case("1e3", None)]
#[case("", None)]
#[case(".", None)]
#[case("1.2.3", None)]
#[case("1,2", None)]
fn a_rate_is_a_plain_decimal_number(#[case] text: &str, #[case] thousandths: Option<u64>) {
    let rate: Option<RequestRate> = text.parse().ok();

    assert_eq!(rate, thousandths.map(RequestRate));
}

#[test]
fn a_rate_of_four_hundred_digits_is_none_and_its_text_is_cut() {
    let text = "9".repeat(400);

    let error = text.parse::<RequestRate>().unwrap_err();

    assert!(error.to_string().len() < 100);
}
