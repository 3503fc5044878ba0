//! Answers that are not the whole answer to their own request are told apart.

mod common;

use cicadabend_load::answer::{
    AnswerCheck,
    AnswerFault, //
};
use common::{
    ask,
    planned, //
};
use fake_engine::text::token_text;
use rstest::rstest;

/// Returns tokens of attempt `r.a0`, at these positions.
fn tokens(positions: &[u64]) -> Vec<String> {
    let check = ask(4).prompt_check;
    let token = |position: &u64| token_text("r.a0", check, *position);
    positions.iter().map(token).collect()
}

fn check_of(texts: &[String]) -> Option<AnswerFault> {
    let (planned, ask) = (planned("r", None), ask(4));
    let mut check = AnswerCheck::new(&planned, &ask);
    for text in texts {
        check.text(text);
    }
    check.end()
}

#[rstest]
#[case::whole(&[0, 1, 2, 3], None)]
#[case::truncated(&[0, 1, 2], Some(AnswerFault::Truncated))]
#[case::twice(&[0, 1, 1, 2, 3], Some(AnswerFault::WrongPosition))]
#[case::left_out(&[0, 2, 3], Some(AnswerFault::WrongPosition))]
#[case::out_of_order(&[0, 2, 1, 3], Some(AnswerFault::WrongPosition))]
#[case::resent_from_the_start(&[0, 1, 0, 1, 2, 3], Some(AnswerFault::WrongPosition))]
fn positions_are_checked(#[case] positions: &[u64], #[case] fault: Option<AnswerFault>) {
    assert_eq!(check_of(&tokens(positions)), fault);
}

#[test]
fn more_tokens_than_asked_for_are_a_fault() {
    let (planned, ask) = (planned("r", None), ask(4));
    let mut check = AnswerCheck::new(&planned, &ask);

    check.text(&tokens(&[0, 1, 2, 3, 4]).concat());

    assert_eq!(check.end(), Some(AnswerFault::WrongPosition));
}

#[rstest]
#[case::other_request("q.a0", ask(4).prompt_check, AnswerFault::OtherRequest)]
#[case::longer_id("r2.a0", ask(4).prompt_check, AnswerFault::OtherRequest)]
#[case::other_attempt_in_the_middle("r.a1", ask(4).prompt_check, AnswerFault::OtherRequest)]
#[case::other_prompt("r.a0", 7, AnswerFault::OtherPrompt)]
fn a_foreign_token_is_found(#[case] id: &str, #[case] check: u32, #[case] fault: AnswerFault) {
    let mut texts = tokens(&[0, 1, 2, 3]);
    texts[2] = token_text(id, check, 2);

    assert_eq!(check_of(&texts), Some(fault));
}

#[test]
fn two_generations_in_one_answer_are_found() {
    let (planned, ask) = (planned("r", None), ask(4));
    let mut check = AnswerCheck::new(&planned, &ask);

    for (index, token) in tokens(&[0, 1, 2, 3]).iter().enumerate() {
        check.generation(if index < 2 { "gen-1" } else { "gen-2" });
        check.text(token);
    }

    assert_eq!(check.end(), Some(AnswerFault::TwoGenerations));
}
