//! A whole run against a real fake engine, with a faulty process between.
#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot go on fails its test"
)]

mod common;

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use cicadabend_load::{
    account::{
        Account,
        ViolationKind, //
    },
    commands::run,
    drive::Targets,
    exchange::Route,
    http_client::HttpClient,
};
use cicadabend_testutils::{
    process::ManagedProcess,
    wait::eventually, //
};
use common::workload;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

/// One of how many requests meets the fault.
const EVERY: u64 = 7;

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    RunsTwice,
    AnswersAnotherRequest,
    ClosesTheConnection,
    CutsTheAnswer,
    SaysNotRunAfterRunning,
}

struct Engine {
    _process: ManagedProcess,
    _folder: tempfile::TempDir,
    address: SocketAddr,
}

fn start_engine() -> Engine {
    let folder = tempfile::tempdir().unwrap();
    let settings = json!({ "vms": [{
        "vm": "vm-1",
        "failure_domain": "cumbaya",
        "fabric_domain": "fabric-1",
        "listen": "127.0.0.1:0",
        "slots": 64,
        "kind": { "engine": {
            "token_interval_us": 200,
            "prefill_us_per_token": 1,
            "initial_group": {
                "group": "g1", "service": "drafting-llm", "members": ["vm-1"],
            },
        } },
    }] });
    let file = folder.path().join("engine.json");
    fs::write(&file, settings.to_string()).unwrap();
    let arguments = ["--config", file.to_str().unwrap()];
    let process =
        ManagedProcess::start("engine", "fake-engine", &arguments, folder.path()).unwrap();
    let address = eventually("the engine listens", Duration::from_secs(20), || {
        let line: Value = serde_json::from_str(process.log().lines().next()?).ok()?;
        line["address"].as_str()?.parse().ok()
    });
    Engine {
        _process: process,
        _folder: folder,
        address,
    }
}

/// Starts a process-like server that passes requests on and plants a fault in some.
fn start_faulty(engine: SocketAddr, fault: Fault) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(accept(listener, engine, fault));
    });
    address
}

async fn accept(listener: std::net::TcpListener, engine: SocketAddr, fault: Fault) {
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let client = HttpClient::default();
    let count = Arc::new(AtomicU64::new(0));
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let (client, count) = (client.clone(), Arc::clone(&count));
        let service = hyper::service::service_fn(move |request| {
            let number = count.fetch_add(1, Ordering::Relaxed);
            let fault = if number % EVERY == EVERY - 1 {
                fault
            } else {
                Fault::None
            };
            pass(client.clone(), engine, request, fault)
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed")
    }
}

impl std::error::Error for Closed {}

async fn pass(
    client: HttpClient,
    engine: SocketAddr,
    request: Request<Incoming>,
    fault: Fault,
) -> Result<Response<Full<Bytes>>, Closed> {
    let (mut parts, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    parts.uri = format!("http://{engine}{}", parts.uri.path())
        .parse()
        .unwrap();
    if let Fault::AnswersAnotherRequest = fault {
        parts
            .headers
            .insert("x-request-id", "other.a0".parse().unwrap());
    }
    let request = Request::from_parts(parts, Full::new(body));
    if let Fault::RunsTwice = fault {
        let again = client.send(request.clone()).await.unwrap();
        again.into_body().collect().await.unwrap();
    }
    let (parts, body) = client.send(request).await.unwrap().into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    Ok(match fault {
        Fault::ClosesTheConnection => return Err(Closed),
        Fault::SaysNotRunAfterRunning => not_run(),
        Fault::CutsTheAnswer => {
            let cut = body.slice(..body.len() / 2);
            Response::from_parts(parts, Full::new(cut))
        }
        _ => Response::from_parts(parts, Full::new(body)),
    })
}

fn not_run() -> Response<Full<Bytes>> {
    let error = json!({ "error": {
        "code": "not_run",
        "message": "no group",
        "request_id": "x",
        "not_run": true,
        "retry_is_safe": true,
        "retry_after_ms": null,
        "delivered_positions": null,
    } });
    let body = Full::new(Bytes::from(error.to_string()));
    Response::builder().status(503).body(body).unwrap()
}

fn run_with(fault: Fault) -> Account {
    let engine = start_engine();
    let targets = Targets {
        addresses: vec![start_faulty(engine.address, fault)],
        route: Route::Direct,
    };
    let mut workload = workload();
    workload.stream_percent = cicadabend::prelude::Percent(100);
    workload.not_repeatable_percent = cicadabend::prelude::Percent(100);
    let result = run::send(&workload, "run", &targets, &[engine.address]).unwrap();
    assert!(result.account.requests > 20, "{:?}", result.account);
    result.account
}

#[rstest]
#[case::doubled(Fault::RunsTwice, ViolationKind::Doubled)]
#[case::crossed(Fault::AnswersAnotherRequest, ViolationKind::Crossed)]
#[case::cut(Fault::CutsTheAnswer, ViolationKind::Lost)]
#[case::falsely_not_run(Fault::SaysNotRunAfterRunning, ViolationKind::FalselyNotRun)]
fn a_planted_fault_is_found(#[case] fault: Fault, #[case] kind: ViolationKind) {
    let account = run_with(fault);

    assert!(account.violations.contains_key(&kind), "{account:?}");
    let planted = account.requests / usize::try_from(EVERY).unwrap();
    let found = account.violations[&kind];
    assert!(
        found.abs_diff(planted) <= 1,
        "{found} of {planted}: {account:?}"
    );
}

/// The caller sees its connection close and asks again, as it may. The request
/// has run by then and there is nobody who remembers its key, so it runs twice.
#[test]
fn a_resend_that_runs_twice_is_found() {
    let account = run_with(Fault::ClosesTheConnection);

    assert!(account.resent > 0, "{account:?}");
    assert!(
        account.violations.contains_key(&ViolationKind::Doubled),
        "{account:?}"
    );
}

#[test]
fn a_run_without_faults_is_clean() {
    let account = run_with(Fault::None);

    assert!(account.is_clean(), "{:?}", account.listed);
    assert_eq!(account.answered, account.requests);
    assert_eq!(account.runs_started, account.requests);
}
