//! OpenAI-compatible completions, streamed and whole.

use std::rc::Rc;

use bytes::Bytes;
use cicadabend::{
    caller_api::{
        HEADER_IDEMPOTENCY_KEY,
        HEADER_NOT_REPEATABLE,
        HEADER_PRIORITY,
        HEADER_REQUEST_ID,
        HEADER_SESSION, //
    },
    upstream_api::{
        HEADER_FENCING_TOKEN,
        HEADER_GROUP,
        HEADER_RESUME_FROM, //
    },
};
use http::{
    HeaderMap,
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header::CONTENT_TYPE, //
};
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;

use crate::{
    batch::DEFAULT_PRIORITY,
    generate::{
        Ask,
        Generating,
        NotStarted,
        Token, //
    },
    run::RunState,
    serve::{
        self,
        Answer,
        Body,
        BodyError,
        NoAnswer, //
    },
    text,
    vm::Vm,
};

/// How many tokens are generated if the request does not say.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// How many events wait for a slow reader before generation stalls.
const EVENT_CAPACITY: usize = 64;

/// Which of the two completion APIs a request came by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Api {
    fn object(self) -> &'static str {
        match self {
            Api::Chat => "chat.completion",
            Api::Text => "text_completion",
        }
    }

    fn chunk_object(self) -> &'static str {
        match self {
            Api::Chat => "chat.completion.chunk",
            Api::Text => "text_completion",
        }
    }
}

/// Where the events of one stream go.
type Events = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl CompletionRequest {
    fn into_prompt(self) -> String {
        if self.messages.is_empty() {
            return self.prompt;
        }
        let contents: Vec<_> = self.messages.into_iter().map(|m| m.content).collect();
        contents.join("\n")
    }
}

/// Answers a completion request.
///
/// # Errors
///
/// Returns an error if the connection is to be closed without an answer.
pub async fn answer(vm: Rc<Vm>, request: Request<Incoming>, api: Api) -> Answer {
    let headers = request.headers().clone();
    let Some(asked) = serve::read_json::<CompletionRequest>(request).await else {
        let message = "the request is malformed";
        return Ok(serve::refusal(StatusCode::BAD_REQUEST, message));
    };
    if let Some((status, message)) = reason_to_refuse(&vm, &headers, &asked.model) {
        return Ok(serve::refusal(status, message));
    }
    let model = asked.model.clone();
    let stream = asked.stream;
    let max_tokens = asked.max_tokens.or(asked.max_completion_tokens);
    let ask = Ask {
        max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        prompt: asked.into_prompt(),
        ..ask_of_headers(&vm, &headers)
    };
    let generating = match Generating::begin(Rc::clone(&vm), ask).await {
        Ok(generating) => generating,
        Err(reason) => return Ok(not_started(reason)),
    };
    let faults = vm.faults.borrow().clone();
    if faults.drop_after_start {
        return Err(NoAnswer::Broken);
    }
    if faults.garbage {
        return Ok(Response::new(serve::full("\u{1}{{{ no answer")));
    }
    if stream {
        return Ok(streamed(generating, model, api));
    }
    whole(generating, &model, api).await
}

/// Answers the list of models.
pub fn models(vm: &Vm) -> Response<Body> {
    let serving = vm.membership().filter(|membership| membership.ready);
    let models: Vec<_> = serving
        .map(|m| json!({ "id": m.service, "object": "model", "owned_by": "fake-engine" }))
        .into_iter()
        .collect();
    let list = json!({ "object": "list", "data": models });
    serve::json(StatusCode::OK, &list)
}

fn reason_to_refuse(
    vm: &Vm,
    headers: &HeaderMap,
    model: &str,
) -> Option<(StatusCode, &'static str)> {
    if vm.faults.borrow().refuse {
        return Some((StatusCode::SERVICE_UNAVAILABLE, "told to refuse"));
    }
    let Some(membership) = vm.membership() else {
        return Some((StatusCode::CONFLICT, "not a member of any group"));
    };
    if !membership.ready {
        return Some((StatusCode::SERVICE_UNAVAILABLE, "the weights are loading"));
    }
    if membership.members.first() != Some(&vm.settings.vm) {
        return Some((StatusCode::CONFLICT, "not the group's first member"));
    }
    if membership.service.as_str() != model {
        return Some((StatusCode::NOT_FOUND, "another model is loaded"));
    }
    if !vm.engine.borrow().checks_tokens {
        return None;
    }
    let group = text_header(headers, HEADER_GROUP);
    if group.is_some_and(|group| group != membership.group.as_str()) {
        return Some((StatusCode::CONFLICT, "a member of another group"));
    }
    let token = text_header(headers, HEADER_FENCING_TOKEN);
    let current = membership.token.to_number();
    if token.is_some_and(|token| token.parse() != Ok(current)) {
        return Some((StatusCode::CONFLICT, "a member under another token"));
    }
    None
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn ask_of_headers(vm: &Vm, headers: &HeaderMap) -> Ask {
    let text = |name| text_header(headers, name).map(str::to_owned);
    let made_here = || format!("made-by-{}-{}", vm.settings.vm, vm.clock.now().0);
    Ask {
        request_id: text(HEADER_REQUEST_ID).unwrap_or_else(made_here),
        idempotency_key: text(HEADER_IDEMPOTENCY_KEY),
        not_repeatable: text_header(headers, HEADER_NOT_REPEATABLE) == Some("true"),
        session: text(HEADER_SESSION),
        priority: priority(text_header(headers, HEADER_PRIORITY)),
        resume_from: text_header(headers, HEADER_RESUME_FROM).and_then(|p| p.parse().ok()),
        prompt: String::new(),
        max_tokens: 0,
    }
}

/// Returns the urgency of an RFC 9218 priority.
fn priority(header: Option<&str>) -> u8 {
    let parameters = header.unwrap_or_default().split(',');
    let urgency = parameters
        .filter_map(|parameter| parameter.trim().strip_prefix("u="))
        .find_map(|urgency| urgency.parse().ok());
    urgency.filter(|u| *u <= 7).unwrap_or(DEFAULT_PRIORITY)
}

fn not_started(reason: NotStarted) -> Response<Body> {
    match reason {
        NotStarted::UnknownGeneration => {
            serve::refusal(StatusCode::NOT_FOUND, "there is nothing to resume")
        }
        NotStarted::Cancelled => serve::refusal(StatusCode::CONFLICT, "cancelled"),
        NotStarted::Regrouped => serve::refusal(StatusCode::CONFLICT, "the group changed"),
    }
}

fn streamed(generating: Generating, model: String, api: Api) -> Response<Body> {
    let (sender, mut receiver) = mpsc::channel(EVENT_CAPACITY);
    let request_id = generating.ask().request_id.clone();
    tokio::task::spawn_local(feed(generating, model, api, sender));
    let frames = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    let mut response: Response<Body> = Response::new(Box::pin(StreamBody::new(frames)));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    if let Ok(request_id) = HeaderValue::from_str(&request_id) {
        let headers = response.headers_mut();
        headers.insert(HEADER_REQUEST_ID, request_id);
    }
    response
}

/// Feeds a stream until its end, its break or its reader's departure.
async fn feed(mut generating: Generating, model: String, api: Api, sender: Events) {
    loop {
        let next = tokio::select! {
            biased;
            () = sender.closed() => return,
            next = generating.next() => next,
        };
        let is_end = !matches!(next, Ok(Some(_)));
        let event = match next {
            Ok(Some(token)) => Ok(event(&generating, &token, &model, api)),
            Ok(None) => Ok(Bytes::from_static(b"data: [DONE]\n\n")),
            Err(_) => Err(BodyError::Broken),
        };
        let sent = sender.send(event.map(Frame::data)).await;
        if is_end || sent.is_err() {
            return;
        }
    }
}

fn event(generating: &Generating, token: &Token, model: &str, api: Api) -> Bytes {
    let finish_reason = token.last.then_some("stop");
    let choice = match api {
        Api::Chat => json!({
            "index": 0,
            "delta": { "content": token.text },
            "finish_reason": finish_reason,
        }),
        Api::Text => json!({
            "index": 0,
            "text": token.text,
            "finish_reason": finish_reason,
        }),
    };
    let chunk = json!({
        "id": generating.id(),
        "object": api.chunk_object(),
        "model": model,
        "request_id": generating.ask().request_id,
        "choices": [choice],
    });
    Bytes::from(format!("id: {}\ndata: {chunk}\n\n", token.position))
}

/// Collects a whole answer.
async fn whole(mut generating: Generating, model: &str, api: Api) -> Answer {
    let mut content = String::new();
    loop {
        match generating.next().await {
            Ok(Some(token)) => content.push_str(&token.text),
            Ok(None) => break,
            Err(RunState::Cancelled) => {
                let error = json!({ "error": { "message": "cancelled" } });
                return Ok(serve::json(StatusCode::CONFLICT, &error));
            }
            Err(_) => return Err(NoAnswer::Broken),
        }
    }
    let choice = match api {
        Api::Chat => json!({
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "stop",
        }),
        Api::Text => json!({ "index": 0, "text": content, "finish_reason": "stop" }),
    };
    let ask = generating.ask();
    let prompt_tokens = text::prompt_tokens(&ask.prompt);
    let body = json!({
        "id": generating.id(),
        "object": api.object(),
        "model": model,
        "request_id": ask.request_id,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": ask.max_tokens,
            "total_tokens": prompt_tokens + ask.max_tokens,
        },
    });
    Ok(serve::json(StatusCode::OK, &body))
}
