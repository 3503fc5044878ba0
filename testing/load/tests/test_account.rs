//! The account finds what must never happen, and nothing else.

mod common;

use cicadabend_load::{
    account::{
        ViolationKind,
        settle, //
    },
    answer::AnswerFault,
    exchange::AttemptEnd,
};
use common::{
    record,
    refused,
    report, //
};
use rstest::rstest;

const WHOLE: AttemptEnd = AttemptEnd::Answered { fault: None };
const CROSSED: AttemptEnd = AttemptEnd::Answered {
    fault: Some(AnswerFault::OtherRequest),
};
const CUT: AttemptEnd = AttemptEnd::Broken {
    told: None,
    fault: None,
};
const KEY: Option<&str> = Some("key-r");

#[rstest]
#[case::answered_once(vec![WHOLE], KEY, &[("r.a0", KEY, true)])]
#[case::repeatable_ran_twice(vec![WHOLE], None, &[("r.a0", None, true), ("r.a0", None, true)])]
#[case::resend_gets_first_answer(vec![AttemptEnd::GivenUp, WHOLE], KEY, &[("r.a0", KEY, true)])]
#[case::refused_and_not_run(vec![refused("overloaded", true)], KEY, &[])]
#[case::queued_but_not_started(vec![refused("not_run", true)], KEY, &[("r.a0", KEY, false)])]
#[case::outcome_unknown_and_run(vec![refused("outcome_unknown", false)], KEY, &[("r.a0", KEY, true)])]
#[case::refused_after_a_lost_try(
    vec![AttemptEnd::NoAnswer, refused("overloaded", true)], None, &[("r.a0", None, true)]
)]
fn what_may_happen_is_clean(
    #[case] ends: Vec<AttemptEnd>,
    #[case] key: Option<&str>,
    #[case] runs: &[(&str, Option<&str>, bool)],
) {
    let records = [record("r", key, ends)];

    let account = settle(&records, Some(&[report(runs)]));

    assert!(account.is_clean(), "{:?}", account.listed);
}

#[rstest]
#[case::no_answer(ViolationKind::Lost, vec![AttemptEnd::NoAnswer], None, &[])]
#[case::cut_without_a_word(ViolationKind::Lost, vec![CUT], None, &[("r.a0", None, true)])]
#[case::crossed(ViolationKind::Crossed, vec![CROSSED], None, &[("r.a0", None, true)])]
#[case::doubled_by_a_retry(
    ViolationKind::Doubled, vec![WHOLE], KEY, &[("r.a0", KEY, true), ("r.a0", KEY, true)]
)]
#[case::doubled_by_a_resend(
    ViolationKind::Doubled,
    vec![AttemptEnd::GivenUp, WHOLE],
    KEY,
    &[("r.a0", KEY, true), ("r.a1", KEY, true)]
)]
#[case::doubled_though_the_key_was_dropped(
    ViolationKind::Doubled,
    vec![AttemptEnd::GivenUp, WHOLE],
    KEY,
    &[("r.a0", None, true), ("r.a1", None, true)]
)]
#[case::falsely_not_run(
    ViolationKind::FalselyNotRun, vec![refused("not_run", true)], None, &[("r.a0", None, true)]
)]
#[case::falsely_not_run_after_a_resend(
    ViolationKind::FalselyNotRun,
    vec![AttemptEnd::GivenUp, refused("overloaded", true)],
    KEY,
    &[("r.a0", KEY, true)]
)]
#[case::made_up(ViolationKind::MadeUp, vec![WHOLE], None, &[])]
fn what_must_never_happen_is_found(
    #[case] kind: ViolationKind,
    #[case] ends: Vec<AttemptEnd>,
    #[case] key: Option<&str>,
    #[case] runs: &[(&str, Option<&str>, bool)],
) {
    let records = [record("r", key, ends)];

    let account = settle(&records, Some(&[report(runs)]));

    let kinds: Vec<_> = account.violations.keys().copied().collect();
    assert_eq!(kinds, [kind], "{:?}", account.listed);
    assert_eq!(account.listed[0].request, "r");
}

#[test]
fn a_request_the_tool_did_not_send_spoils_the_run() {
    let account = settle(&[record("r", None, Vec::new())], Some(&[]));

    assert!(account.violations.contains_key(&ViolationKind::NotSent));
}
