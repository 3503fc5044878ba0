//! Answers one request of an operator.

use std::sync::Arc;

use cicadabend::{
    fleet::{
        FleetAnswer,
        FleetCommand,
        FleetState,
        progress::progress,
        rollout_status::rollout_status, //
    },
    operator_api::{
        AcceptedConfig,
        FleetStatus,
        HistoryEntry,
        PATH_CONFIG,
        PATH_CONFIRM,
        PATH_HISTORY,
        PATH_PLANS,
        PATH_POLICIES,
        PATH_PROGRESS,
        PATH_STATUS,
        PlanProgress, //
    },
};
use cicadabend_daemon::connections::ConnectionRequest;
use http::{
    Method,
    Request,
    StatusCode,
    header, //
};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use super::{
    Operators,
    body::{
        self,
        Answer,
        json_answer, //
    },
    refusal::Refusal, //
};
use crate::{
    events::LogEvent,
    replication::ReplicationError, //
};

impl Operators {
    /// Answers one request; a failure becomes an answer, too.
    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        on_connection: &ConnectionRequest,
    ) -> Answer {
        if let Some(calls) = &self.calls
            && calls.knows(&request)
        {
            return calls.answer(request, on_connection).await;
        }
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let operator = self.authenticate(&request);
        if operator.is_some() {
            on_connection.begin();
        }
        let outcome = match &operator {
            Some(operator) => self.dispatch(operator, &method, &path, request).await,
            None => Err(Refusal::unauthorized()),
        };
        outcome.unwrap_or_else(|refusal| {
            LogEvent::RequestRefused {
                operator: operator.unwrap_or_else(|| "unknown".to_owned()),
                method,
                path,
                status: refusal.status().as_u16(),
                reason: refusal.error.to_string(),
            }
            .emit();
            self.refuse(&refusal)
        })
    }

    /// Counts a refusal and returns it as an answer.
    pub(super) fn refuse(&self, refusal: &Refusal) -> Answer {
        self.metrics.count(refusal.reason);
        json_answer(refusal.status(), &refusal.error)
    }

    async fn dispatch(
        &self,
        operator: &str,
        method: &Method,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Answer, Refusal> {
        match (method, path) {
            (&Method::POST, PATH_PLANS) => {
                let plan = self.plan(operator, self.body(request).await?).await?;
                Ok(json_answer(StatusCode::OK, &plan))
            }
            (&Method::POST, PATH_CONFIRM) => {
                let reply = self.confirm(operator, self.body(request).await?).await?;
                Ok(json_answer(StatusCode::OK, &reply))
            }
            (&Method::GET, PATH_STATUS) => Ok(json_answer(StatusCode::OK, &self.status().await?)),
            (&Method::GET, PATH_HISTORY) => Ok(json_answer(StatusCode::OK, &self.history().await?)),
            (&Method::GET, PATH_CONFIG) => Ok(json_answer(StatusCode::OK, &self.config().await?)),
            (&Method::GET, PATH_PROGRESS) => {
                Ok(json_answer(StatusCode::OK, &self.progress().await?))
            }
            (&Method::GET, PATH_POLICIES) => {
                Ok(json_answer(StatusCode::OK, &self.view.load().policies))
            }
            (method, path) => Err(Refusal::not_found(method, path)),
        }
    }

    /// Returns the operator's name if the request carries a valid token.
    fn authenticate(&self, request: &Request<Incoming>) -> Option<String> {
        let header = request.headers().get(header::AUTHORIZATION);
        let header = header.and_then(|value| value.to_str().ok());
        self.tokens.as_ref()?.owner_of(header).map(str::to_owned)
    }

    async fn body<T: DeserializeOwned>(&self, request: Request<Incoming>) -> Result<T, Refusal> {
        let limit = self.settings.operators.max_request_bytes;
        body::read(request, &self.bodies, limit).await
    }

    /// Returns a state that includes every command acknowledged before the call.
    pub(super) async fn read(&self) -> Result<Arc<FleetState>, Refusal> {
        let state = self.replication.read().await;
        state.map_err(|error| self.refusal(error))
    }

    /// Proposes a command to the replicated log and returns the answer of applying it.
    pub(super) async fn propose(&self, command: FleetCommand) -> Result<FleetAnswer, Refusal> {
        let answer = self.replication.propose(command).await;
        answer.map_err(|error| self.refusal(error))
    }

    fn refusal(&self, error: ReplicationError) -> Refusal {
        if let ReplicationError::Storage(reason) = &error {
            let reason = reason.clone();
            LogEvent::LogUnavailable { reason }.emit();
        }
        Refusal::replication(error, &self.view.load().operator_addresses)
    }

    async fn status(&self) -> Result<FleetStatus, Refusal> {
        let state = self.read().await?;
        let view = self.view.load();
        let now = self.clock.now();
        let entries = &self.topology.entries;
        let rollout_status = rollout_status(entries, &view.reports, state.revision(), now);
        let replication = self.replication.status();
        let own = || self.settings.daemon.clone();
        Ok(FleetStatus {
            leader: replication.leader.unwrap_or_else(own),
            term: replication.term,
            revision: state.revision(),
            in_force: rollout_status.in_force,
            lagging: rollout_status.lagging,
            unreachable: rollout_status.unreachable,
            domains: view.domains(now),
        })
    }

    async fn progress(&self) -> Result<Option<PlanProgress>, Refusal> {
        let state = self.read().await?;
        let view = self.view.load();
        let entries = &self.topology.entries;
        let now = self.clock.now();
        let rollout_status = rollout_status(entries, &view.reports, state.revision(), now);
        Ok(progress(&state, &rollout_status, &view.fresh_reports(now)))
    }

    async fn history(&self) -> Result<Vec<HistoryEntry>, Refusal> {
        Ok(self.read().await?.history().cloned().collect())
    }

    async fn config(&self) -> Result<AcceptedConfig, Refusal> {
        let state = self.read().await?;
        Ok(AcceptedConfig {
            revision: state.revision(),
            config: state.config().clone(),
        })
    }
}
