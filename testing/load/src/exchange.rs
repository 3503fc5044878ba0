//! One attempt of one request over HTTP.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::caller_api::{
    ErrorBody,
    HEADER_AUTHORIZATION,
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_NOT_REPEATABLE,
    HEADER_REQUEST_ID,
    HEADER_SESSION,
    PLAIN_SERVICE_PREFIX, //
};
use fake_engine::plain::Receipt;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::Incoming;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;
use tokio::time::Instant;

use crate::{
    answer::{
        AnswerCheck,
        AnswerFault, //
    },
    http_client::{
        HttpClient,
        HttpError, //
    },
    schedule::{
        Kind,
        ModelAsk,
        Planned, //
    },
    workload::Workload,
};

/// What became of one attempt, as its caller saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// An answer that claims to be whole, with the first thing wrong in it.
    Answered {
        /// What is wrong with it.
        fault: Option<AnswerFault>,
    },
    /// An error of cicadabend's form, or another status than success.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The closed code, empty if the body has none.
        code: String,
        /// Whether it promises that the request did not run.
        not_run: bool,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// An answer that began and broke off.
    Broken {
        /// The code, if the caller was told in the stream.
        told: Option<String>,
        /// What was wrong with the part that came.
        fault: Option<AnswerFault>,
    },
    /// Nothing came.
    NoAnswer,
    /// The caller gave up on purpose.
    GivenUp,
}

/// When the parts of an answer came, after the start of the run.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    /// The first byte.
    pub first_byte: Option<Instant>,
    /// The longest time between two tokens.
    pub gaps: Vec<Duration>,
    /// The end.
    pub end: Option<Instant>,
    /// How many tokens came.
    pub tokens: u64,
}

/// Where requests go: to cicadabend or, for a baseline, straight to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Plain services are named in the path.
    ThroughEntry,
    /// The target is the upstream itself.
    Direct,
}

/// Sends one attempt and takes its answer to the end.
pub async fn attempt(
    client: &HttpClient,
    workload: &Workload,
    planned: &Planned,
    attempt_id: &str,
    target: SocketAddr,
    route: Route,
) -> (AttemptEnd, AnswerTimes) {
    let mut times = AnswerTimes::default();
    let Ok(request) = request(workload, planned, attempt_id, target, route) else {
        return (AttemptEnd::NoAnswer, times);
    };
    let Ok(response) = client.send(request).await else {
        return (AttemptEnd::NoAnswer, times);
    };
    let end = take(response, planned, &mut times).await;
    times.end = Some(Instant::now());
    (end, times)
}

fn request(
    workload: &Workload,
    planned: &Planned,
    attempt_id: &str,
    target: SocketAddr,
    route: Route,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let (path, body) = path_and_body(workload, planned, route)?;
    let mut request = Request::post(format!("http://{target}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(HEADER_REQUEST_ID, attempt_id);
    if let Some(team) = workload.teams.get(planned.team) {
        let authorization = format!("Bearer {}", team.api_key);
        request = request.header(HEADER_AUTHORIZATION, authorization);
    }
    if let Some(key) = &planned.idempotency_key {
        request = request
            .header(HEADER_IDEMPOTENCY_KEY, key)
            .header(HEADER_NOT_REPEATABLE, "true");
    }
    if let Some(deadline_ms) = workload.deadline_ms {
        request = request.header(HEADER_DEADLINE_MS, deadline_ms);
    }
    if let Kind::Model(ModelAsk {
        session: Some(session),
        ..
    }) = &planned.kind
    {
        request = request.header(HEADER_SESSION, session);
    }
    Ok(request.body(Full::new(body))?)
}

fn path_and_body(
    workload: &Workload,
    planned: &Planned,
    route: Route,
) -> Result<(String, Bytes), HttpError> {
    match &planned.kind {
        Kind::Model(ask) => {
            let body = json!({
                "model": workload.model,
                "messages": [{ "role": "user", "content": ask.prompt }],
                "max_tokens": ask.output_tokens,
                "stream": ask.stream,
            });
            let body = Bytes::from(serde_json::to_vec(&body)?);
            Ok(("/v1/chat/completions".to_owned(), body))
        }
        Kind::Plain { body_bytes } => {
            let service = &workload.plain_service;
            let path = match route {
                Route::ThroughEntry => format!("{PLAIN_SERVICE_PREFIX}{service}/receipt"),
                Route::Direct => "/receipt".to_owned(),
            };
            Ok((path, Bytes::from(vec![b'x'; *body_bytes])))
        }
    }
}

async fn take(
    response: Response<Incoming>,
    planned: &Planned,
    times: &mut AnswerTimes,
) -> AttemptEnd {
    if !response.status().is_success() {
        return take_refusal(response).await;
    }
    match &planned.kind {
        Kind::Model(ask) if ask.stream => take_stream(response, planned, ask, times).await,
        Kind::Model(ask) => take_whole(response, planned, ask, times).await,
        Kind::Plain { body_bytes } => take_receipt(response, planned, *body_bytes, times).await,
    }
}

async fn take_refusal(response: Response<Incoming>) -> AttemptEnd {
    let status = response.status().as_u16();
    let Ok(body) = response.into_body().collect().await else {
        return AttemptEnd::NoAnswer;
    };
    let error: Option<ErrorBody> = serde_json::from_slice(&body.to_bytes()).ok();
    let error = error.map(|body| body.error);
    AttemptEnd::Refused {
        status,
        not_run: error.as_ref().is_some_and(|error| error.not_run),
        retry_after_ms: error.as_ref().and_then(|error| error.retry_after_ms),
        code: error.map_or_else(String::new, |error| error.code.name().to_owned()),
    }
}

#[derive(Deserialize)]
struct Completion {
    id: String,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Content>,
    message: Option<Content>,
}

#[derive(Deserialize)]
struct Content {
    #[serde(default)]
    content: String,
}

async fn take_stream(
    response: Response<Incoming>,
    planned: &Planned,
    ask: &ModelAsk,
    times: &mut AnswerTimes,
) -> AttemptEnd {
    let mut check = AnswerCheck::new(planned, ask);
    let mut body = response.into_body();
    let mut pending = Vec::new();
    let mut last = None;
    let mut whole = false;
    let mut told = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            break;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        pending.extend_from_slice(&data);
        let now = Instant::now();
        let before = check.tokens();
        let taken = take_events(&pending, &mut check, &mut whole, &mut told);
        pending.drain(..taken);
        note_tokens(times, &mut last, check.tokens() - before, now);
    }
    if whole && told.is_none() {
        let fault = check.end();
        return AttemptEnd::Answered { fault };
    }
    let fault = check.first_fault();
    AttemptEnd::Broken { told, fault }
}

fn note_tokens(times: &mut AnswerTimes, last: &mut Option<Instant>, new: u64, now: Instant) {
    if new == 0 {
        return;
    }
    times.first_byte.get_or_insert(now);
    if let Some(last) = *last {
        times.gaps.push(now - last);
    }
    *last = Some(now);
    times.tokens += new;
}

/// Takes whole events and returns how many bytes they had.
fn take_events(
    pending: &[u8],
    check: &mut AnswerCheck<'_>,
    whole: &mut bool,
    told: &mut Option<String>,
) -> usize {
    let mut taken = 0;
    while let Some(length) = find_event(&pending[taken..]) {
        let event = &pending[taken..taken + length];
        take_event(event, check, whole, told);
        taken += length + 2;
    }
    taken
}

fn find_event(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}

fn take_event(
    event: &[u8],
    check: &mut AnswerCheck<'_>,
    whole: &mut bool,
    told: &mut Option<String>,
) {
    for line in event.split(|byte| *byte == b'\n') {
        if let Some(position) = line.strip_prefix(b"id: ") {
            let position = std::str::from_utf8(position).ok();
            match position.and_then(|position| position.parse().ok()) {
                Some(position) => check.position(position),
                None => check.malformed(),
            }
        } else if line == b"data: [DONE]" {
            *whole = true;
        } else if let Some(data) = line.strip_prefix(b"data: ") {
            take_data(data, check, told);
        }
    }
}

fn take_data(data: &[u8], check: &mut AnswerCheck<'_>, told: &mut Option<String>) {
    if let Ok(chunk) = serde_json::from_slice::<Completion>(data) {
        check.generation(&chunk.id);
        for choice in chunk.choices {
            check.text(&choice.delta.map_or_else(String::new, |delta| delta.content));
        }
    } else if let Ok(error) = serde_json::from_slice::<ErrorBody>(data) {
        *told = Some(error.error.code.name().to_owned());
    } else {
        check.malformed();
    }
}

async fn take_whole(
    response: Response<Incoming>,
    planned: &Planned,
    ask: &ModelAsk,
    times: &mut AnswerTimes,
) -> AttemptEnd {
    let mut check = AnswerCheck::new(planned, ask);
    let Ok(body) = response.into_body().collect().await else {
        return AttemptEnd::Broken {
            told: None,
            fault: None,
        };
    };
    times.first_byte = Some(Instant::now());
    match serde_json::from_slice::<Completion>(&body.to_bytes()) {
        Ok(completion) => {
            for choice in completion.choices {
                check.text(&choice.message.map_or_else(String::new, |m| m.content));
            }
        }
        Err(_) => check.malformed(),
    }
    times.tokens = check.tokens();
    AttemptEnd::Answered { fault: check.end() }
}

async fn take_receipt(
    response: Response<Incoming>,
    planned: &Planned,
    body_bytes: usize,
    times: &mut AnswerTimes,
) -> AttemptEnd {
    let Ok(body) = response.into_body().collect().await else {
        return AttemptEnd::Broken {
            told: None,
            fault: None,
        };
    };
    times.first_byte = Some(Instant::now());
    let receipt: Option<Receipt> = serde_json::from_slice(&body.to_bytes()).ok();
    let fault = match receipt {
        None => Some(AnswerFault::Malformed),
        Some(receipt) if !planned.owns_attempt(&receipt.request_id) => {
            Some(AnswerFault::OtherRequest)
        }
        Some(receipt) if receipt.body_bytes != body_bytes as u64 => Some(AnswerFault::Truncated),
        Some(_) => None,
    };
    AttemptEnd::Answered { fault }
}
