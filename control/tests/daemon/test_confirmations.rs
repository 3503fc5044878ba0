//! Concurrent confirmations and client retries against the real process and its log.

use std::collections::BTreeSet;

use futures_util::future::join_all;
use http::Method;

use crate::fixtures::{
    ANA,
    BOJAN,
    ControlDaemon,
    intent, //
};

/// Guards against accepting two plans that were made from the same revision. Two operators confirm
/// such plans concurrently, many times. Each time exactly one plan is accepted, and the answer to
/// the other operator names the winner.
#[tokio::test]
async fn of_racing_operators_exactly_one_wins_each_revision() {
    let control = ControlDaemon::start(&[]);
    for round in 0..20 {
        let of_ana = control.plan(ANA, &intent(round * 2 + 1)).await;
        let of_bojan = control.plan(BOJAN, &intent(round * 2 + 2)).await;
        let key = format!("round-{round}");

        let (ana, bojan) = tokio::join!(
            control.confirm(ANA, &of_ana, &key),
            control.confirm(BOJAN, &of_bojan, &key),
        );

        let (won, lost, winner) = match ana.get("accepted") {
            Some(_) => (&ana, &bojan, "ana"),
            None => (&bojan, &ana, "bojan"),
        };
        assert_eq!(won["accepted"]["revision"], round + 1, "{won} {lost}");
        assert_eq!(lost["conflict"]["winner_operator"], winner, "{won} {lost}");
        assert_eq!(lost["conflict"]["revision"], round + 1);
        let path = "$.teams.quality";
        let changed = lost["conflict"]["changed_paths"][0].as_str();
        assert!(
            changed.is_some_and(|changed| changed.starts_with(path)),
            "{lost}"
        );
    }
}

/// Guards against applying one confirmation twice. An operator's tool sends the same confirmation
/// many times concurrently, as after a lost connection. All copies get the same answer, and one
/// revision is accepted.
#[tokio::test]
async fn copies_of_one_confirmation_at_once_are_accepted_once() {
    let control = ControlDaemon::start(&[]);
    let plan = control.plan(ANA, &intent(1)).await;

    let copies = (0..16).map(|_| control.confirm(ANA, &plan, "k"));
    let replies: BTreeSet<String> = join_all(copies)
        .await
        .iter()
        .map(ToString::to_string)
        .collect();

    assert_eq!(
        replies,
        BTreeSet::from([r#"{"accepted":{"revision":1}}"#.to_owned()])
    );
    let (_, history) = control.request(ANA, Method::GET, "/v1/history", "").await;
    assert_eq!(history.as_array().map(Vec::len), Some(1));
}

/// Guards against forgetting the answer to a confirmation. The daemon is killed and started again
/// between a confirmation and its retry, and another plan is accepted in between. The retry must
/// get the first answer, which was stored on disk.
#[tokio::test]
async fn a_resend_after_a_crash_and_another_plan_gets_its_first_answer() {
    let mut control = ControlDaemon::start(&[]);
    let plan = control.plan(ANA, &intent(1)).await;
    let first = control.confirm(ANA, &plan, "k").await;
    control.kill();
    control.start_again();
    control.change(&intent(2), "other").await;
    control.kill();
    control.start_again();

    let resent = control.confirm(ANA, &plan, "k").await;

    assert_eq!(resent, first);
    let other = control.plan(ANA, &intent(3)).await;
    let reused = control.confirm(ANA, &other, "k").await;
    assert_eq!(reused["key_reused"]["first_plan"], plan["id"]);
    let (_, config) = control.request(ANA, Method::GET, "/v1/config", "").await;
    assert_eq!(config["revision"], 2);
}
