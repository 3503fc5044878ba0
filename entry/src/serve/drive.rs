//! Drives one request from its admission to the status and headers of its response.

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

/// Runs a request and returns its response, whose body may still be arriving.
///
/// A request that needs a claim continues when its caller disconnects, so that a client retry gets
/// its outcome.
pub(super) async fn answer(
    server: &Rc<Server>,
    spec: Spec,
) -> Result<Response<ResponseBody>, Refusal> {
    if !server.stop.leaves_time_until(spec.options.deadline) {
        let message = "The daemon is stopping.";
        return Err(Refusal::new(ErrorCode::ShuttingDown, message));
    }
    match spec.traits.needs_claim {
        true => detached::answer(server, spec).await,
        false => drive(server, spec).await,
    }
}

/// Drives a request until its response can be passed to the caller.
///
/// Executes the steps that the request's state machine returns.
pub(super) async fn drive(
    server: &Rc<Server>,
    spec: Spec,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut run = RequestExecution::new(server, spec)?;
    let mut next = admit(&mut run).await;
    loop {
        next = match next {
            Next::Connect { delay } => match run_attempt(&mut run, delay).await {
                Ok(answered) => match run.record_first_chunk() {
                    Next::Pass => return Ok(build_response(run, answered).await),
                    other => other,
                },
                Err(failure) => run.record_failure(failure),
            },
            Next::Claim => acquire_claim(&mut run).await,
            Next::Withdraw => await_claim_release(&mut run).await,
            Next::NoReplica => refuse_no_replica(&mut run),
            Next::AnswerDuplicate => return answer_duplicate(&mut run),
            _ => return Err(run.refusal()),
        };
    }
}

/// Waits until the queue admits the request, and chooses its replica.
async fn admit(run: &mut RequestExecution) -> Next {
    if !has_replica(run) {
        return refuse_no_replica(run);
    }
    let queued = match admission_control::offer(&run.server, &run.spec) {
        Ok(queued) => queued,
        Err(refusal) => return run.refuse(refusal),
    };
    run.apply(RequestEvent::Enqueued);
    match queued.wait().await {
        Ok(admission) => run.admission = Some(admission),
        Err(refusal) => return run.refuse(refusal),
    }
    match run.choose_replica() {
        true => run.apply(RequestEvent::Admitted),
        false => refuse_no_replica(run),
    }
}

/// Returns whether the service has any replica, even one without a free slot.
///
/// A request for a service without replicas is refused at once: it would wait until its deadline
/// for nothing, while its caller could send it to another daemon.
fn has_replica(run: &RequestExecution) -> bool {
    let snapshot = run.server.snapshot.load();
    let mut replicas = snapshot.replicas.iter();
    replicas.any(|replica| replica.service == run.spec.service)
}

/// Refuses the request because no replica can take it; the caller may retry after 1,000 ms.
fn refuse_no_replica(run: &mut RequestExecution) -> Next {
    const RETRY_MS: u64 = 1_000;
    let service = &run.spec.service;
    let message = format!("No whole replica of {service} can take the request now.");
    let refusal = Refusal::new(ErrorCode::NotRun, message).retry_after_ms(RETRY_MS);
    run.refuse(refusal)
}

/// Requests the claim and waits for the verdict, until the request's deadline.
async fn acquire_claim(run: &mut RequestExecution) -> Next {
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

/// Waits until the release of the claim is recorded, before the caller gets "not run".
///
/// After "not run" the caller retries through another daemon. That retry must not find the
/// idempotency key still held by this attempt, which only this daemon knows not to have run.
async fn await_claim_release(run: &mut RequestExecution) -> Next {
    let withdrawn = match run.claim.take_settling() {
        Some(settling) => settling.wait(&run.server.claims).await,
        None => Ok(()),
    };
    match withdrawn {
        Ok(()) => run.apply(RequestEvent::ClaimWithdrawn),
        Err(attempt) => run.record_claim_not_withdrawn(attempt),
    }
}

/// Returns the recorded response of the first request with the same idempotency key.
fn answer_duplicate(run: &mut RequestExecution) -> Result<Response<ResponseBody>, Refusal> {
    let answer = run.claim.first_answer();
    if answer.is_ok() {
        run.server.counts.count(Serving::Replays);
    }
    answer
}

/// Makes one attempt after a delay, until the request's deadline.
async fn run_attempt(run: &mut RequestExecution, delay: Duration) -> Result<Answered, Failure> {
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

/// Turns an upstream's response into the response for the caller.
async fn build_response(mut run: RequestExecution, answered: Answered) -> Response<ResponseBody> {
    match answered {
        Answered::Events {
            parts,
            first,
            source,
            tracker,
        } => {
            let mut answer = build_response_parts(&mut run, parts);
            answer.headers_mut().remove(header::CONTENT_LENGTH);
            answer.map(|()| {
                let body = EventBody::new(run, first, source, tracker);
                ResponseBody::Events(Box::new(body))
            })
        }
        Answered::Whole { parts, body } => {
            let answer = build_response_parts(&mut run, parts);
            run.claim.record_body(&body);
            run.record_delivered(1);
            if let Some(settling) = run.claim.take_settling() {
                run.server.await_recorded(settling).await;
            }
            answer.map(|()| ResponseBody::whole(body))
        }
        Answered::Passed {
            parts,
            incoming,
            lease,
        } => {
            let answer = build_response_parts(&mut run, parts);
            answer.map(|()| {
                let body = PassedBody::new(run, incoming, lease);
                ResponseBody::Passed(Box::new(body))
            })
        }
    }
}

/// Returns the status and headers for the caller, and starts to record the response for the claim.
fn build_response_parts(run: &mut RequestExecution, parts: Parts) -> Response<()> {
    let mut answer = Response::new(());
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = parts.headers;
    let map = answer.headers_mut();
    headers::remove_hop_by_hop(map);
    let kind = headers::text(map, header::CONTENT_TYPE.as_str());
    run.claim
        .begin_recording(parts.status, kind.unwrap_or_default());
    let revision = run.spec.caller.snapshot.revision.to_string();
    headers::set(map, HEADER_REVISION, &revision);
    if let Some(attempt) = &run.attempt {
        headers::set(map, HEADER_GROUP, &attempt.replica().id.to_string());
        let policy = policy_name(attempt.choice.policy);
        headers::set(map, HEADER_POLICY, policy);
    }
    answer
}

/// Returns a policy's name in the response header.
fn policy_name(policy: RoutingPolicy) -> &'static str {
    match policy {
        RoutingPolicy::RoundRobin => "round_robin",
        RoutingPolicy::LeastOutstanding => "least_outstanding",
        RoutingPolicy::PowerOfTwoChoices => "power_of_two_choices",
        RoutingPolicy::PrefixAffinity => "prefix_affinity",
        RoutingPolicy::ExpectedLatency => "expected_latency",
    }
}
