//! Accepts operators' connections and ends them gracefully.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    body::Incoming,
    service::service_fn, //
};
use hyper_util::{
    rt::{
        TokioExecutor,
        TokioIo, //
    },
    server::{
        conn::auto,
        graceful::GracefulShutdown, //
    },
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

use super::Operators;

/// How long running requests may take to end once the daemon stops.
const DRAIN_TIMEOUT_MS: u64 = 5_000;
/// The pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Serves operators until `stop` becomes true.
pub(crate) async fn serve(
    operators: Arc<Operators>,
    listener: std::net::TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("CB1502 cannot listen for operators error={error}");
            return;
        }
    };
    let server = auto::Builder::new(TokioExecutor::new());
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let operators = Arc::clone(&operators);
        let service = service_fn(move |request: http::Request<Incoming>| {
            let operators = Arc::clone(&operators);
            async move { Ok::<_, Infallible>(operators.answer(request).await) }
        });
        let connection = server.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection.into_owned());
        // A connection that breaks is the operator's to notice; nothing is lost here.
        tokio::spawn(async move { connection.await.ok() });
    }
    drop(listener);
    let drain = Duration::from_millis(DRAIN_TIMEOUT_MS);
    if tokio::time::timeout(drain, graceful.shutdown())
        .await
        .is_err()
    {
        log::warn!("CB1503 operators' connections did not end in time");
    }
}
