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
    admission_control,
    body::ResponseBody,
    completions::body_refusal,
    counts::Serving,
    detached,
    event_body::EventBody,
    exchange::{
        Answered,
        Failure, //
    },
    headers,
    hedge::exchange_hedged,
    passed_body::PassedBody,
    response::Refusal,
    run::{
        Next,
        RequestExecution, //
    },
    server::Server,
    spec::Spec,
};

/// Answers a request: the head and body of an answer, or one error.
///
/// A claimed request goes on when its caller leaves, so that a resend gets its outcome.
pub(super) async fn answer(
    server: &Rc<Server>,
    spec: Spec,
) -> Result<Response<ResponseBody>, Refusal> {
    match spec.traits.needs_claim {
        true => detached::answer(server, spec).await,
        false => drive(server, spec).await,
    }
}

/// Drives a request to the head of its answer.
pub(super) async fn drive(
    server: &Rc<Server>,
    spec: Spec,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut run = RequestExecution::new(server, spec)?;
    let mut next = admit(&mut run).await;
    loop {
        next = match next {
            Next::Connect { delay } => match attempt(&mut run, delay).await {
                Ok(answered) => match run.record_first_chunk() {
                    Next::Pass => return Ok(pass(run, answered).await),
                    other => other,
                },
                Err(failure) => run.record_failure(failure),
            },
            Next::Claim => claim(&mut run).await,
            Next::Withdraw => withdraw(&mut run).await,
            Next::NoReplica => refuse_no_replica(&mut run),
            Next::AnswerDuplicate => return duplicate(&mut run),
            _ => return Err(run.refusal()),
        };
    }
}

/// Waits until the request may be sent and has a replica.
async fn admit(run: &mut RequestExecution) -> Next {
    if !has_replica(run) {
        return refuse_no_replica(run);
    }
    let turn = match admission_control::offer(&run.server, &run.spec) {
        Ok(turn) => turn,
        Err(refusal) => return run.refuse(refusal),
    };
    run.apply(RequestEvent::Enqueued);
    match turn.wait().await {
        Ok(admission) => run.admission = Some(admission),
        Err(refusal) => return run.refuse(refusal),
    }
    match run.choose_replica() {
        true => run.apply(RequestEvent::Admitted),
        false => refuse_no_replica(run),
    }
}

/// Returns whether any replica could take the request if it had room.
///
/// A request for a service without one is refused at once: it would only wait for
/// its deadline, and the caller can still go elsewhere.
fn has_replica(run: &RequestExecution) -> bool {
    let snapshot = run.server.snapshot.load();
    let mut replicas = snapshot.replicas.iter();
    replicas.any(|replica| replica.service == run.spec.service)
}

fn refuse_no_replica(run: &mut RequestExecution) -> Next {
    const RETRY_MS: u64 = 1_000;
    let service = &run.spec.service;
    let message = format!("No whole replica of {service} can take the request now.");
    let refusal = Refusal::new(ErrorCode::NotRun, message).retry_after_ms(RETRY_MS);
    run.refuse(refusal)
}

/// Asks for the claim, bounded by the request's deadline.
async fn claim(run: &mut RequestExecution) -> Next {
    let Some(key) = run.spec.claim_key() else {
        return run.apply(RequestEvent::ClaimUnavailable);
    };
    let fingerprint = match run.spec.fingerprint().await {
        Ok(fingerprint) => fingerprint,
        Err(error) => return run.refuse(body_refusal(&error)),
    };
    let (attempt, verdict) = run.server.claims.begin(key, fingerprint);
    run.claim.set_attempt(attempt);
    match timeout_at(run.spec.options.deadline, verdict).await {
        Ok(Ok(Ok(()))) => {
            run.spec.claim.set(Some(attempt));
            run.apply(RequestEvent::ClaimGranted)
        }
        Ok(Ok(Err((refusal, answers)))) => run.record_claim_refusal(refusal, &answers),
        Ok(Err(_)) => run.apply(RequestEvent::ClaimUnavailable),
        Err(_) => run.record_failure(Failure::DeadlinePassed { is_written: false }),
    }
}

/// Waits until the request may be called not run.
///
/// A caller that is told so sends it again, elsewhere; that must not find the key held by an
/// attempt that nobody but this daemon knows to be dead.
async fn withdraw(run: &mut RequestExecution) -> Next {
    let withdrawn = match run.claim.take_settling() {
        Some(settling) => settling.wait(&run.server.claims).await,
        None => Ok(()),
    };
    match withdrawn {
        Ok(()) => run.apply(RequestEvent::ClaimWithdrawn),
        Err(attempt) => run.record_claim_not_withdrawn(attempt),
    }
}

/// Answers what the first copy of the request got.
fn duplicate(run: &mut RequestExecution) -> Result<Response<ResponseBody>, Refusal> {
    let answer = run.claim.first_answer();
    if answer.is_ok() {
        run.server.counts.count(Serving::Replays);
    }
    answer
}

/// Makes one attempt, bounded by the request's deadline.
async fn attempt(run: &mut RequestExecution, delay: Duration) -> Result<Answered, Failure> {
    let deadline = run.spec.options.deadline;
    if !delay.is_zero() {
        sleep(delay).await;
    }
    let work = exchange_hedged(run);
    match timeout_at(deadline, work).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Failure::DeadlinePassed {
            is_written: run.seal(),
        }),
    }
}

/// Turns an upstream's answer into the caller's.
async fn pass(mut run: RequestExecution, answered: Answered) -> Response<ResponseBody> {
    match answered {
        Answered::Events {
            head,
            first,
            source,
            tracker,
        } => {
            let mut answer = respond(&mut run, head);
            answer.headers_mut().remove(header::CONTENT_LENGTH);
            answer.map(|()| {
                let body = EventBody::new(run, first, source, tracker);
                ResponseBody::Events(Box::new(body))
            })
        }
        Answered::Whole { head, body } => {
            let answer = respond(&mut run, head);
            run.claim.record_body(&body);
            run.record_delivered(1);
            if let Some(settling) = run.claim.take_settling() {
                run.server.await_recorded(settling).await;
            }
            answer.map(|()| ResponseBody::whole(body))
        }
        Answered::Passed {
            head,
            incoming,
            lease,
        } => {
            let answer = respond(&mut run, head);
            answer.map(|()| {
                let body = PassedBody::new(run, incoming, lease);
                ResponseBody::Passed(Box::new(body))
            })
        }
    }
}

fn respond(run: &mut RequestExecution, head: Parts) -> Response<()> {
    let mut answer = Response::new(());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    let map = answer.headers_mut();
    headers::remove_hop_by_hop(map);
    let kind = headers::text(map, header::CONTENT_TYPE.as_str());
    run.claim
        .begin_recording(head.status, kind.unwrap_or_default());
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
