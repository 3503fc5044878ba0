//! What daemons tell each other of named rates, late and in any order.

use cicadabend::{
    prelude::*,
    rates::{
        RateSpread, //
        RateUpdate,
    },
};
use rstest::rstest;

use crate::world::upstream;

fn rate(text: &str) -> Option<RequestRate> {
    (text != "none").then(|| text.parse().unwrap())
}

/// A daemon that has heard an upstream's answers, each with the time of its request and its own.
fn heard(answers: &[(&str, u64, u64)]) -> RateSpread {
    let mut spread = RateSpread::default();
    for (named, sent_ms, heard_ms) in answers {
        let times = (Timestamp(*sent_ms), Timestamp(*heard_ms));
        spread.observe(&upstream(0), rate(named), times, Timestamp(*heard_ms));
    }
    spread
}

fn named(spread: &mut RateSpread) -> Option<RequestRate> {
    let table = spread.changed_table().unwrap_or_default();
    table.get(&upstream(0)).copied()
}

#[rstest]
#[case::a_first_rate(&[("1.6", 900, 1_000)], "1.6")]
#[case::a_lower_one(&[("1.6", 900, 1_000), ("0.4", 950, 1_050)], "0.4")]
#[case::a_higher_one_asked_for_later(&[("1.6", 900, 1_000), ("8", 1_600, 1_700)], "8")]
#[case::a_higher_one_of_an_answer_that_ran_long(&[("1.6", 900, 1_000), ("8", 100, 1_700)], "1.6")]
#[case::none_asked_for_later(&[("1.6", 900, 1_000), ("none", 1_600, 1_700)], "none")]
#[case::none_of_an_answer_that_ran_long(&[("1.6", 900, 1_000), ("none", 100, 1_700)], "1.6")]
#[case::a_rate_after_none(&[("1.6", 900, 1_000), ("none", 1_600, 1_700), ("2", 1_650, 1_800)], "2")]
fn the_newest_answer_holds_and_the_stricter_where_that_is_not_certain(
    #[case] answers: &[(&str, u64, u64)],
    #[case] expected: &str,
) {
    let mut spread = heard(answers);

    assert_eq!(named(&mut spread), rate(expected));
}

#[test]
fn an_older_rate_told_late_does_not_undo_that_there_is_none() {
    // An upstream that is in need no longer gets little for long: one daemon knows that it names
    // no rate any more, and an older answer that another tells late brings the rate back.
    let mut early = heard(&[("1.6", 900, 1_000)]);
    let mut late = heard(&[("1.6", 900, 1_000), ("none", 1_600, 1_700)]);
    let older = early.take_due_update(Timestamp(1_900));

    late.handle_rate_update(&older, true, Timestamp(1_900));

    assert_eq!(named(&mut late), None);
}

#[test]
fn whoever_tells_something_older_is_told_the_newer() {
    let mut early = heard(&[("1.6", 900, 1_000)]);
    let mut late = heard(&[("1.6", 900, 1_000), ("none", 1_600, 1_700)]);
    // All that was to be told so far is lost.
    for at_ms in [1_700, 2_200, 2_700, 3_200] {
        let _ = late.take_due_update(Timestamp(at_ms));
    }
    let older = early.all(Timestamp(4_000));

    late.handle_rate_update(&older, true, Timestamp(4_000));
    let answer = late.take_due_update(Timestamp(4_000));
    early.handle_rate_update(&answer, true, Timestamp(4_000));

    assert_eq!(named(&mut early), None);
}

#[test]
fn one_answer_is_told_three_times_and_no_more_while_nothing_changes() {
    // Control costs a daemon 5 KB a second at the most; an upstream names its rate in each answer.
    let mut spread = RateSpread::default();
    let mut told = 0;

    for at_ms in (1_000..20_000).step_by(50) {
        let times = (Timestamp(at_ms - 100), Timestamp(at_ms));
        spread.observe(&upstream(0), rate("1.6"), times, Timestamp(at_ms));
        told += usize::from(spread.take_due_update(Timestamp(at_ms)) != RateUpdate::default());
    }

    assert_eq!(told, 3);
}

#[test]
fn the_next_run_of_an_upstream_has_named_nothing() {
    let mut spread = heard(&[("1.6", 900, 1_000)]);

    let forgotten = spread.forget(|id| *id == upstream(0), Timestamp(1_100));

    assert_eq!(forgotten.len(), 1);
    assert_eq!(named(&mut spread), None);
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
