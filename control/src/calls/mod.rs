//! Answers the calls that an edge translates: route tables of operators, reports of upstreams.

use std::{
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use cicadabend::{
    fleet::FleetCommand,
    ids::Address,
    prelude::*,
    routes::RouteDocument, //
};
use cicadabend_daemon::{
    bodies::{
        Bodies,
        BodyReadError,
        HeldBody, //
    },
    connections::ConnectionRequest,
    metrics::Metrics,
    ring::Sender, //
};
use http::{
    Method,
    Request, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::{
    sync::Semaphore,
    time::timeout, //
};

use crate::{
    counters::CallRefusal,
    edge::{
        Call,
        CallAnswer,
        ControlEdge, //
    },
    events::LogEvent,
    members::{
        ControlAddresses,
        MembersEvent, //
    },
    operators::Answer,
    replication::{
        ReplicationError,
        ReplicationHandle, //
    },
};

/// How long a client may take to send a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The bodies that are parsed and proposed at once, in KiB; a longer one is handled alone.
pub(crate) const MAX_HANDLED_KIB: u32 = 16 * 1024;
const BYTES_PER_KIB: u64 = 1024;

/// The connections and settings that answering a call needs.
pub(crate) struct Calls {
    pub(crate) edge: Arc<dyn ControlEdge>,
    pub(crate) replication: ReplicationHandle,
    /// The addresses at which the control daemons accept calls.
    pub(crate) addresses: Arc<ArcSwap<ControlAddresses>>,
    pub(crate) members: Sender<MembersEvent>,
    pub(crate) metrics: Metrics,
    pub(crate) bodies: Bodies,
    /// Bounds the bodies that are parsed and proposed at once, in KiB.
    pub(crate) handling: Semaphore,
    pub(crate) limit: ByteCount,
}

impl Calls {
    /// Returns whether the edge translates a request.
    pub(crate) fn knows(&self, request: &Request<Incoming>) -> bool {
        self.edge.knows(request.method(), request.uri().path())
    }

    /// Answers a call; a failure becomes an answer, too.
    pub(crate) async fn answer(
        &self,
        request: Request<Incoming>,
        on_connection: &ConnectionRequest,
    ) -> Answer {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let answer = match self.read_body(&path, request).await {
            Ok(body) => {
                on_connection.begin();
                self.parse_and_handle(&method, &path, body).await
            }
            Err(answer) => answer,
        };
        self.edge.answer(&path, &answer).map(Full::new)
    }

    async fn parse_and_handle(&self, method: &Method, path: &str, body: HeldBody) -> CallAnswer {
        // A parsed body takes several times its length in memory, so only a few large ones are
        // parsed and proposed at once.
        let kib = u32::try_from(body.length() / BYTES_PER_KIB).unwrap_or(u32::MAX);
        let _permit = self.handling.acquire_many(kib.min(MAX_HANDLED_KIB)).await;
        let call = self.edge.read(method, path, &body.to_contiguous());
        drop(body);
        self.handle_call(call).await
    }

    async fn read_body(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<HeldBody, CallAnswer> {
        let limit = self.edge.longest_body(path).unwrap_or(self.limit);
        let mut body = request.into_body();
        let (refusal, answer) =
            match timeout(BODY_TIMEOUT, self.bodies.read(&mut body, limit)).await {
                Ok(Ok(body)) => return Ok(body),
                Ok(Err(BodyReadError::TooLong)) => (CallRefusal::TooLong, CallAnswer::TooLong),
                Ok(Err(BodyReadError::NoRoom)) => {
                    let reason = "other request bodies take the memory".to_owned();
                    (CallRefusal::NoBodyMemory, CallAnswer::Unavailable(reason))
                }
                Ok(Err(BodyReadError::Broken(error))) => {
                    let reason = format!("the request body ended early: {error}");
                    (CallRefusal::BodyIncomplete, CallAnswer::Unavailable(reason))
                }
                Err(_) => {
                    let reason = "the request body did not arrive in time".to_owned();
                    (CallRefusal::BodyIncomplete, CallAnswer::Unavailable(reason))
                }
            };
        self.metrics.count(refusal);
        Err(answer)
    }

    async fn handle_call(&self, call: Call) -> CallAnswer {
        match call {
            Call::ReplaceRoutes(Ok(document)) => self.replace_routes(document).await,
            Call::ReplaceRoutes(Err(error)) => {
                self.metrics.count(CallRefusal::Invalid);
                let reason = error.to_string();
                LogEvent::RoutesRefused {
                    reason: reason.clone(),
                }
                .emit();
                CallAnswer::Invalid(reason)
            }
            Call::ReadRoutes => self.read().await,
            Call::Report(registration) => {
                self.pass_to_members(MembersEvent::Reported(registration))
            }
            Call::Leave(id) => self.pass_to_members(MembersEvent::Left(id)),
            Call::Malformed(reason) => {
                self.metrics.count(CallRefusal::Malformed);
                CallAnswer::Invalid(reason)
            }
        }
    }

    fn pass_to_members(&self, event: MembersEvent) -> CallAnswer {
        match self.members.push(event) {
            Ok(()) => CallAnswer::Done,
            Err(_) => {
                self.metrics.count(CallRefusal::RingFull);
                CallAnswer::Unavailable("too many reports are queued".to_owned())
            }
        }
    }

    async fn replace_routes(&self, document: Box<RouteDocument>) -> CallAnswer {
        let version = document.version;
        let applied = self
            .replication
            .local()
            .routes()
            .map(|applied| applied.version);
        // Every acknowledged table was committed. So a table that is not newer than the one that
        // this daemon has applied needs no entry in the log and no answer from the leader.
        if applied.is_some_and(|applied| version <= applied) {
            LogEvent::RoutesKept {
                version: version.0,
                held: applied.unwrap_or_default().0,
            }
            .emit();
            return CallAnswer::Done;
        }
        let command = FleetCommand::ReplaceRoutes(document);
        let outcome = self.replication.propose(command).await;
        LogEvent::RoutesAnswered {
            version: version.0,
            outcome: match &outcome {
                Ok(_) => "accepted".to_owned(),
                Err(error) => error.to_string(),
            },
        }
        .emit();
        match outcome {
            Ok(_) => CallAnswer::Done,
            Err(error) => self.redirect_or_refuse(&error),
        }
    }

    async fn read(&self) -> CallAnswer {
        match self.replication.read().await {
            Ok(state) => match state.routes() {
                Some(document) => CallAnswer::Document(Bytes::from(document.text.clone())),
                None => CallAnswer::Unavailable("there is no table yet".to_owned()),
            },
            Err(error) => self.redirect_or_refuse(&error),
        }
    }

    /// Returns the leader's address if another daemon leads, else the reason for the refusal.
    fn redirect_or_refuse(&self, error: &ReplicationError) -> CallAnswer {
        self.metrics.count(CallRefusal::NoLeader);
        if let ReplicationError::NotLeader {
            leader: Some(leader),
        } = error
            && let Some(address) = self.address_of(leader)
        {
            return CallAnswer::AskInstead(address);
        }
        CallAnswer::Unavailable(error.to_string())
    }

    fn address_of(&self, daemon: &DaemonId) -> Option<Address> {
        self.addresses.load().get(daemon).copied()
    }
}
