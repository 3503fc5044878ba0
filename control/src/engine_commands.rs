//! The thread `orders`: sends commands to engines over HTTP and reports their outcomes.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::grouping::{
    EngineCommand,
    EngineCommandOutcome, //
};
use cicadabend_daemon::{
    metrics::Metrics,
    response_head::{
        HeadFault,
        check_head, //
    },
    ring::{
        Receiver,
        Sender, //
    },
};
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};
use tokio::time::timeout;

use crate::{
    counters::CommandFailure,
    edge::ControlEdge,
    members::MembersEvent, //
};

/// How long an engine may take to answer; a command without an answer is sent again.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long connecting to an engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection stays pooled; a group gets several commands in a row.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest body of an engine's answer; the answers of many engines are read at once.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

type CommandClient = Client<HttpConnector, Full<Bytes>>;

/// Sends each command of the ring to its engine until the ring is closed.
///
/// Commands run concurrently; `answers` receives the outcome of each.
pub(crate) async fn send_commands(
    edge: Arc<dyn ControlEdge>,
    mut commands: Receiver<EngineCommand>,
    answers: Sender<MembersEvent>,
    metrics: Metrics,
) {
    metrics.declare::<CommandFailure>();
    metrics.declare::<HeadFault>();
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    let client: CommandClient = Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(1)
        .build(connector);
    let client = Rc::new(client);
    while let Some(command) = commands.next().await {
        let (edge, client) = (Arc::clone(&edge), Rc::clone(&client));
        let (answers, metrics) = (answers.clone(), metrics.clone());
        tokio::task::spawn_local(async move {
            let outcome = send_command(&*edge, &client, &metrics, &command).await;
            // If the ring is full, the outcome is lost; the command is then sent again.
            let _ = answers.push(MembersEvent::Answered(command, outcome));
        });
    }
}

/// Sends a command and reads the engine's answer, within the time and the length that it may have.
async fn send_command(
    edge: &dyn ControlEdge,
    client: &CommandClient,
    metrics: &Metrics,
    command: &EngineCommand,
) -> EngineCommandOutcome {
    let exchanged = exchange(edge, client, metrics, command);
    let exchanged = match timeout(COMMAND_TIMEOUT, exchanged).await {
        Ok(exchanged) => exchanged,
        Err(_) => Err(CommandFailure::TooLate),
    };
    exchanged.unwrap_or_else(|failure| {
        metrics.count(failure);
        EngineCommandOutcome::Unanswered
    })
}

async fn exchange(
    edge: &dyn ControlEdge,
    client: &CommandClient,
    metrics: &Metrics,
    command: &EngineCommand,
) -> Result<EngineCommandOutcome, CommandFailure> {
    let request = edge.order(command).map(Full::new);
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) if is_connection_refused(&error) => return Ok(EngineCommandOutcome::Refused),
        Err(_) => return Err(CommandFailure::ConnectionFailed),
    };
    let (head, body) = response.into_parts();
    if let Err(fault) = check_head(&head) {
        metrics.count(fault);
        return Err(CommandFailure::HeadBroken);
    }
    // The body is read to its end, so that the connection can be reused.
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => Ok(edge.outcome(command, head.status, &body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(CommandFailure::AnswerTooLong),
        Err(_) => Err(CommandFailure::AnswerBroken),
    }
}

/// Returns whether the connection was refused.
///
/// This does not prove that no engine runs at the address: a network cut can refuse connections,
/// too.
fn is_connection_refused(error: &hyper_util::client::legacy::Error) -> bool {
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = error.source();
    }
    false
}
