//! The thread `commands`: sends commands to engines over HTTP.

use std::{
    io,
    rc::Rc,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use bytes::Bytes;
use cicadabend::{
    domain::leader::AddressedCommand,
    prelude::*,
    upstream_api::{
        CommandReply,
        PATH_COMMANDS, //
    },
};
use cicadabend_daemon::{
    clock::Clock,
    metrics::Metrics,
    response_head::{
        HeadFault,
        check_head, //
    },
    ring::Receiver, //
};
use displaydoc::Display;
use http::{
    Request,
    header::{
        CONTENT_TYPE,
        HOST, //
    },
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::domain::{
    counters::CommandOutcome,
    events::LogEvent, //
};

/// How long an engine may take to answer a command.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of an engine's reply.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// The permission to send commands, which the thread `domain` sets while it holds the lease.
///
/// The thread `commands` checks the permission after connecting and immediately before writing. If
/// the process was paused in between or has lost the lease, the permission has expired by the clock
/// and nothing is sent.
#[derive(Debug, Default)]
pub struct CommandPermit {
    held: Mutex<Option<(u32, Timestamp)>>,
}

impl CommandPermit {
    /// Permits commands of an epoch until a point in time; `None` forbids all commands.
    pub fn set(&self, held: Option<(u32, Timestamp)>) {
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = held;
    }

    /// Returns whether a command that was decided in `epoch` may be sent at `now`.
    pub fn allows(&self, epoch: u32, now: Timestamp) -> bool {
        let held = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.is_some_and(|(current, until)| current == epoch && now < until)
    }
}

/// The reason why a command got no reply.
#[derive(Debug, Display, Error)]
pub enum CommandError {
    /// the engine cannot be reached: {0}
    Connect(io::Error),
    /// the connection took too long
    ConnectTimeout,
    /// the lease ended before the command was sent
    NoPermit,
    /// the exchange failed: {0}
    Exchange(hyper::Error),
    /// the engine's answer took too long
    ReplyTimeout,
    /// the engine's answer cannot be read
    Reply,
}

/// Sends each command to its engine; commands are sent concurrently.
pub(crate) struct CommandSender {
    pub(crate) permit: Arc<CommandPermit>,
    pub(crate) clock: Clock,
    pub(crate) connect_timeout_ms: u64,
    pub(crate) metrics: Metrics,
}

impl CommandSender {
    /// Sends commands until the thread `domain` has closed the ring.
    pub(crate) async fn run(self, mut commands: Receiver<AddressedCommand>) {
        self.metrics.declare::<CommandOutcome>();
        self.metrics.declare::<HeadFault>();
        let own = Rc::new(self);
        while let Some(command) = commands.next().await {
            let own = Rc::clone(&own);
            tokio::task::spawn_local(async move { own.deliver(command).await });
        }
    }

    /// Sends one command, then counts and logs its outcome.
    async fn deliver(&self, command: AddressedCommand) {
        let (vm, token) = (command.command.vm.clone(), command.command.token);
        let outcome = self.exchange(&command).await;
        self.metrics.count(counter_of(&outcome));
        match outcome {
            Ok(CommandReply::Accepted) => LogEvent::CommandAccepted { vm, token }.emit(),
            Ok(reply) => {
                let reply = format!("{reply:?}");
                LogEvent::CommandRefused { vm, token, reply }.emit();
            }
            Err(error) => {
                let reason = error.to_string();
                LogEvent::CommandFailed { vm, token, reason }.emit();
            }
        }
    }

    /// Sends one command on a new connection and returns the engine's reply.
    async fn exchange(&self, command: &AddressedCommand) -> Result<CommandReply, CommandError> {
        let connecting = TcpStream::connect(command.address);
        let limit = Duration::from_millis(self.connect_timeout_ms);
        let stream = tokio::time::timeout(limit, connecting)
            .await
            .map_err(|_| CommandError::ConnectTimeout)?
            .map_err(CommandError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(CommandError::Exchange)?;
        tokio::task::spawn_local(connection);
        let body = serde_json::to_vec(&command.command).map_err(|_| CommandError::Reply)?;
        let request = Request::post(PATH_COMMANDS)
            .header(HOST, command.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| CommandError::Reply)?;
        if !self.permit.allows(command.epoch, self.clock.now()) {
            return Err(CommandError::NoPermit);
        }
        let exchange = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(CommandError::Exchange)?;
            let (head, body) = response.into_parts();
            check_head(&head).map_err(|fault| {
                self.metrics.count(fault);
                CommandError::Reply
            })?;
            let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
            let body = body.map_err(|_| CommandError::Reply)?.to_bytes();
            serde_json::from_slice(&body).map_err(|_| CommandError::Reply)
        };
        tokio::time::timeout(REPLY_TIMEOUT, exchange)
            .await
            .map_err(|_| CommandError::ReplyTimeout)?
    }
}

fn counter_of(outcome: &Result<CommandReply, CommandError>) -> CommandOutcome {
    match outcome {
        Ok(CommandReply::Accepted) => CommandOutcome::Accepted,
        Ok(CommandReply::StaleToken { .. }) => CommandOutcome::StaleToken,
        Ok(CommandReply::WrongVm { .. }) => CommandOutcome::WrongVm,
        Err(CommandError::Connect(_)) => CommandOutcome::Connect,
        Err(CommandError::ConnectTimeout) => CommandOutcome::ConnectTimeout,
        Err(CommandError::NoPermit) => CommandOutcome::NoPermit,
        Err(CommandError::Exchange(_)) => CommandOutcome::Exchange,
        Err(CommandError::ReplyTimeout) => CommandOutcome::ReplyTimeout,
        Err(CommandError::Reply) => CommandOutcome::Reply,
    }
}
