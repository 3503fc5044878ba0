//! What callers ask of an entry daemon, and whether they got all of it.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

use cicadabend::caller_api::{
    ErrorCode,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_NOT_REPEATABLE, //
};
use http::Method;
use serde_json::{
    Value,
    json, //
};

use crate::{
    client::{
        self,
        Answer, //
    },
    deployment::{
        API_KEY,
        MODEL_SERVICE,
        PLAIN_SERVICE, //
    },
};

/// The pause of a background caller that was refused.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(20);

/// Streams a completion of this many tokens.
///
/// # Errors
///
/// Returns an error if no status line arrives.
pub fn stream(entry: SocketAddr, tokens: u32) -> io::Result<Answer> {
    stream_with(entry, tokens, &[])
}

/// Streams a completion with further headers.
///
/// # Errors
///
/// Returns an error if no status line arrives.
pub fn stream_with(entry: SocketAddr, tokens: u32, headers: &[(&str, &str)]) -> io::Result<Answer> {
    let body = json!({
        "model": MODEL_SERVICE,
        "messages": [{ "role": "user", "content": "Draft the report." }],
        "max_tokens": tokens,
        "stream": true,
    });
    post(entry, "/v1/chat/completions", headers, &body)
}

/// Asks the plain service for a receipt that must be given at most once.
///
/// # Errors
///
/// Returns an error if no status line arrives.
pub fn receipt(entry: SocketAddr, idempotency_key: &str) -> io::Result<Answer> {
    let headers = [
        (HEADER_IDEMPOTENCY_KEY, idempotency_key),
        (HEADER_NOT_REPEATABLE, "true"),
    ];
    let path = format!("/services/{PLAIN_SERVICE}/receipts");
    post(
        entry,
        &path,
        &headers,
        &json!({ "evidence": idempotency_key }),
    )
}

fn post(
    entry: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> io::Result<Answer> {
    let authorization = format!("Bearer {API_KEY}");
    let mut all = vec![
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
    ];
    all.extend_from_slice(headers);
    client::send(entry, Method::POST, path, &all, body.to_string())
}

/// Returns the error code of an answer that cicadabend itself gave.
pub fn error_code(answer: &Answer) -> Option<ErrorCode> {
    let body: Value = serde_json::from_slice(&answer.body).ok()?;
    serde_json::from_value(body.pointer("/error/code")?.clone()).ok()
}

/// Checks that a stream is whole: each token once, in order, of one generation, to its end.
///
/// # Errors
///
/// Returns a sentence that says what is wrong.
pub fn check_whole(answer: &Answer, tokens: u32) -> Result<(), String> {
    if answer.status != 200 {
        return Err(format!("status {}: {}", answer.status, answer.text()));
    }
    let events = answer.events();
    if !answer.complete || events.last().map(String::as_str) != Some("[DONE]") {
        return Err(format!("broke off: {:?}", events.last()));
    }
    let texts: Vec<String> = events
        .iter()
        .filter_map(|event| delta_text(event))
        .collect();
    if texts.len() != tokens as usize {
        return Err(format!("{} of {tokens} tokens", texts.len()));
    }
    let origin = texts.first().and_then(|text| text.rsplit_once('~'));
    let origin = origin
        .map(|(origin, _)| origin.to_owned())
        .unwrap_or_default();
    for (position, text) in texts.iter().enumerate() {
        if text.trim() != format!("{origin}~{position}") {
            return Err(format!("token {position} of {origin} is {text:?}"));
        }
    }
    Ok(())
}

fn delta_text(event: &str) -> Option<String> {
    let chunk: Value = serde_json::from_str(event).ok()?;
    let text = chunk.pointer("/choices/0/delta/content")?.as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}

/// Returns the account of what a VM really ran.
pub fn runs(vm: SocketAddr) -> Vec<Value> {
    let answer = client::send(vm, Method::GET, "/fake/runs", &[], "");
    let report = answer.map(|answer| answer.json()).unwrap_or_default();
    report["runs"].as_array().cloned().unwrap_or_default()
}

/// Returns how many started runs of the VMs carry this idempotency key.
pub fn started_with_key(vms: &[SocketAddr], key: &str) -> usize {
    let all = vms.iter().flat_map(|vm| runs(*vm));
    let with_key = all.filter(|run| run["idempotency_key"] == key && run["started"] == true);
    with_key.count()
}

/// Sets faults of a VM; the rest is reset.
///
/// # Panics
///
/// Panics if the VM does not take them.
pub fn set_faults(vm: SocketAddr, faults: &Value) {
    let answer = client::send(vm, Method::POST, "/fake/faults", &[], faults.to_string());
    let answer = answer.expect("the VM answers");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// What happened to the requests of background callers.
#[derive(Clone, Debug, Default)]
pub struct LoadAccount {
    /// Answers that came whole.
    pub whole: u32,
    /// Refusals that promise that the request did not run.
    pub not_run: u32,
    /// Everything else, as a sentence each.
    pub harmed: Vec<String>,
}

/// Callers in the background, each sending one request after the other.
pub struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    account: Arc<Mutex<LoadAccount>>,
    callers: Vec<JoinHandle<()>>,
}

impl BackgroundLoad {
    /// Starts `callers` threads that stream completions through the entry daemons in turn.
    ///
    /// `entries` is asked before each request, as a balancer asks for readiness.
    pub fn start(
        callers: usize,
        tokens: u32,
        entries: impl Fn(usize) -> SocketAddr + Send + Sync + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let account = Arc::new(Mutex::new(LoadAccount::default()));
        let entries = Arc::new(entries);
        let callers = (0..callers)
            .map(|caller| {
                let (stop, account) = (Arc::clone(&stop), Arc::clone(&account));
                let entries = Arc::clone(&entries);
                thread::spawn(move || {
                    let mut number = caller;
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        send_one(entries(number), tokens, &account);
                    }
                })
            })
            .collect();
        Self {
            stop,
            account,
            callers,
        }
    }

    /// Returns the account so far.
    pub fn account(&self) -> LoadAccount {
        self.account
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Lets the callers finish and returns their account.
    ///
    /// # Panics
    ///
    /// Panics if a caller's thread panicked.
    pub fn finish(self) -> LoadAccount {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().expect("a caller ends");
        }
        let account = self.account.lock().unwrap_or_else(PoisonError::into_inner);
        account.clone()
    }
}

fn send_one(entry: SocketAddr, tokens: u32, account: &Mutex<LoadAccount>) {
    let outcome = stream(entry, tokens);
    let refused = match &outcome {
        Ok(answer) => error_code(answer).is_some_and(ErrorCode::promises_not_run),
        // Nobody listens, so nothing can have run; a balancer would go elsewhere.
        Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
    };
    let whole = outcome
        .as_ref()
        .map_err(ToString::to_string)
        .and_then(|answer| check_whole(answer, tokens));
    {
        let mut account = account.lock().unwrap_or_else(PoisonError::into_inner);
        match whole {
            Ok(()) => account.whole += 1,
            Err(_) if refused => account.not_run += 1,
            Err(harm) => account.harmed.push(harm),
        }
    }
    if refused {
        thread::sleep(PAUSE_AFTER_REFUSAL);
    }
}
