//! Drives one request from admission to the head of its answer.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    caller_api::{
        ErrorCode,
        HEADER_GROUP,
        HEADER_POLICY,
        HEADER_REVISION, //
    },
    chart::RequestEvent,
    fleet::RoutingPolicy,
};
use http::{
    Response,
    header,
    response::Parts, //
};
use tokio::time::{
    sleep,
    timeout_at, //
};

use super::{
    answer::Refusal,
    body::AnswerBody,
    event_body::EventBody,
    exchange::{
        Answered,
        Failure,
        exchange, //
    },
    headers,
    passed_body::PassedBody,
    run::{
        Next,
        RequestRun, //
    },
    server::Server,
    spec::Spec,
};

/// Answers a request: the head and body of an answer, or one error.
pub(super) async fn answer(
    server: &Rc<Server>,
    spec: Spec,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut run = RequestRun::new(server, spec)?;
    let mut next = admit(&mut run);
    loop {
        next = match next {
            Next::Connect { delay } => match attempt(&mut run, delay).await {
                Ok(answered) => match run.answered() {
                    Next::Pass => return Ok(pass(run, answered)),
                    other => other,
                },
                Err(failure) => run.fail(failure),
            },
            Next::NoReplica => refuse_no_replica(&mut run),
            _ => return Err(run.refusal()),
        };
    }
}

fn admit(run: &mut RequestRun) -> Next {
    match run.choose() {
        true => run.apply(RequestEvent::Admitted),
        false => refuse_no_replica(run),
    }
}

fn refuse_no_replica(run: &mut RequestRun) -> Next {
    const RETRY_MS: u64 = 1_000;
    let service = &run.spec.service;
    let message = format!("No whole replica of {service} can take the request now.");
    let refusal = Refusal::new(ErrorCode::NotRun, message).retry_after_ms(RETRY_MS);
    run.refuse(refusal)
}

/// Makes one attempt, bounded by the request's deadline.
async fn attempt(run: &mut RequestRun, delay: Duration) -> Result<Answered, Failure> {
    let deadline = run.spec.wishes.deadline;
    if !delay.is_zero() {
        sleep(delay).await;
    }
    let Some(attempt) = &run.attempt else {
        return Err(Failure::DeadlinePassed { is_written: false });
    };
    let sent = Rc::clone(&attempt.sent);
    let work = exchange(&run.server, &run.spec, attempt.replica(), &sent);
    match timeout_at(deadline, work).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Failure::DeadlinePassed {
            is_written: sent.seal() > 0,
        }),
    }
}

/// Turns an upstream's answer into the caller's.
fn pass(mut run: RequestRun, answered: Answered) -> Response<AnswerBody> {
    match answered {
        Answered::Events {
            head,
            first,
            source,
            tracker,
        } => {
            let mut answer = respond(&run, head);
            answer.headers_mut().remove(header::CONTENT_LENGTH);
            answer.map(|()| {
                let body = EventBody::new(run, first, source, tracker);
                AnswerBody::Events(Box::new(body))
            })
        }
        Answered::Whole { head, body } => {
            let answer = respond(&run, head);
            run.ended(1);
            answer.map(|()| AnswerBody::whole(body))
        }
        Answered::Passed {
            head,
            incoming,
            lease,
        } => {
            let answer = respond(&run, head);
            answer.map(|()| {
                let body = PassedBody::new(run, incoming, lease);
                AnswerBody::Passed(Box::new(body))
            })
        }
    }
}

fn respond(run: &RequestRun, head: Parts) -> Response<()> {
    let mut answer = Response::new(());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    let map = answer.headers_mut();
    headers::remove_hop_by_hop(map);
    let revision = run.spec.caller.snapshot.revision.to_string();
    headers::set(map, HEADER_REVISION, &revision);
    if let Some(attempt) = &run.attempt {
        headers::set(map, HEADER_GROUP, &attempt.replica().id.to_string());
        let policy = policy_name(attempt.choice.policy);
        headers::set(map, HEADER_POLICY, policy);
    }
    answer
}

fn policy_name(policy: RoutingPolicy) -> &'static str {
    match policy {
        RoutingPolicy::RoundRobin => "round_robin",
        RoutingPolicy::LeastOutstanding => "least_outstanding",
        RoutingPolicy::PowerOfTwoChoices => "power_of_two_choices",
        RoutingPolicy::PrefixAffinity => "prefix_affinity",
        RoutingPolicy::ExpectedLatency => "expected_latency",
    }
}
