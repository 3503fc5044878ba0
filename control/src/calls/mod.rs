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
    metrics::Metrics,
    ring::Sender, //
};
use http::Request;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;

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

/// The connections and settings that answering a call needs.
pub(crate) struct Calls {
    pub(crate) edge: Arc<dyn ControlEdge>,
    pub(crate) replication: ReplicationHandle,
    /// The addresses at which the control daemons accept calls.
    pub(crate) addresses: Arc<ArcSwap<ControlAddresses>>,
    pub(crate) members: Sender<MembersEvent>,
    pub(crate) metrics: Metrics,
    pub(crate) limit_bytes: u64,
}

impl Calls {
    /// Returns whether the edge translates a request.
    pub(crate) fn knows(&self, request: &Request<Incoming>) -> bool {
        self.edge.knows(request.method(), request.uri().path())
    }

    /// Answers a call; a failure becomes an answer, too.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Answer {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let answer = match self.read_body(request).await {
            Ok(body) => {
                self.handle_call(self.edge.read(&method, &path, &body))
                    .await
            }
            Err(reason) => {
                self.metrics.count(CallRefusal::BodyIncomplete);
                CallAnswer::Unavailable(reason)
            }
        };
        self.edge.answer(&path, &answer).map(Full::new)
    }

    async fn read_body(&self, request: Request<Incoming>) -> Result<Bytes, String> {
        let limit = usize::try_from(self.limit_bytes).unwrap_or(usize::MAX);
        let collecting = Limited::new(request.into_body(), limit).collect();
        match tokio::time::timeout(BODY_TIMEOUT, collecting).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) => Err(format!("the request body ended early: {error}")),
            Err(_) => Err("the request body did not arrive in time".to_owned()),
        }
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
