//! Hedges: a second attempt beside the first one of a slow idempotent request.

use std::rc::Rc;

use tokio::time::sleep;

use super::{
    exchange::{
        Answered,
        Failure,
        exchange, //
    },
    run::RequestExecution,
};

/// The attempt that answered first.
enum Winner {
    First,
    Second,
}

/// Makes an attempt, and a second one at another replica if the first is unusually slow.
///
/// The attempt that answers first becomes the request's attempt. The other one is cancelled, and
/// its response is not read.
pub(super) async fn exchange_hedged(run: &mut RequestExecution) -> Result<Answered, Failure> {
    let server = Rc::clone(&run.server);
    let spec = Rc::clone(&run.spec);
    let Some(attempt) = &run.attempt else {
        return Err(Failure::DeadlinePassed { is_written: false });
    };
    let replica = attempt.replica().clone();
    let sent = Rc::clone(&attempt.sent);
    let first = exchange(&server, &spec, &replica, &sent);
    let Some(after) = run.hedge_after() else {
        return first.await;
    };
    let mut first = std::pin::pin!(first);
    tokio::select! {
        outcome = &mut first => return outcome,
        () = sleep(after) => {}
    }
    let Some((second_replica, second_sent)) = run.start_hedge() else {
        return first.await;
    };
    let second = exchange(&server, &spec, &second_replica, &second_sent);
    let mut second = std::pin::pin!(second);
    let (outcome, winner) = tokio::select! {
        outcome = &mut first => (outcome, Winner::First),
        outcome = &mut second => (outcome, Winner::Second),
    };
    let (outcome, winner) = match (outcome, winner) {
        (Ok(answered), winner) => (Ok(answered), winner),
        (Err(failure), Winner::First) => {
            (outcome_after_failure(failure, second.await), Winner::Second)
        }
        (Err(failure), Winner::Second) => {
            (outcome_after_failure(failure, first.await), Winner::First)
        }
    };
    run.end_hedge(matches!(winner, Winner::Second));
    outcome
}

/// Returns the later outcome, unless both attempts failed and only the earlier one may have run.
fn outcome_after_failure(
    earlier: Failure,
    later: Result<Answered, Failure>,
) -> Result<Answered, Failure> {
    match later {
        Err(failure) if earlier.may_have_run() && !failure.may_have_run() => Err(earlier),
        later => later,
    }
}
