//! Answers one request of an operator.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use bytes::Bytes;
use cicadabend::{
    fleet::{
        FleetAnswer,
        FleetCommand,
        plan::PlanDraft,
        state::Confirmation, //
    },
    operator_api::{
        AcceptedConfig,
        ConfirmRequest,
        FleetStatus,
        HistoryEntry,
        OperatorError,
        PATH_CONFIG,
        PATH_CONFIRM,
        PATH_HISTORY,
        PATH_PLANS,
        PATH_POLICIES,
        PATH_STATUS,
        PlanRequest,
        PolicyFigures, //
    },
    prelude::*,
};
use http::{
    Method,
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use super::Operators;
use crate::{
    replication::ReplicationError,
    spread::entry_daemons, //
};

/// How often a plan is computed again because another revision was accepted meanwhile.
const PLAN_ATTEMPTS: usize = 4;

/// Why a request is refused, with the HTTP status that says so.
pub(super) struct Refusal {
    status: StatusCode,
    error: OperatorError,
}

impl From<ReplicationError> for Refusal {
    fn from(error: ReplicationError) -> Self {
        match error {
            ReplicationError::NotLeader { leader } => Refusal {
                status: StatusCode::MISDIRECTED_REQUEST,
                error: OperatorError::NotLeader {
                    leader: leader.map(|leader| leader.to_string()),
                },
            },
            ReplicationError::NoQuorum => Refusal {
                status: StatusCode::SERVICE_UNAVAILABLE,
                error: OperatorError::NoQuorum,
            },
            ReplicationError::OutcomeUnknown | ReplicationError::Storage(_) => Refusal {
                status: StatusCode::BAD_GATEWAY,
                error: OperatorError::OutcomeUnknown,
            },
        }
    }
}

fn bad_request(reason: String) -> Refusal {
    Refusal {
        status: StatusCode::BAD_REQUEST,
        error: OperatorError::BadRequest { reason },
    }
}

type Answer = Response<Full<Bytes>>;

impl Operators {
    /// Answers one request; every failure is an answer too.
    pub(super) async fn answer(&self, request: Request<Incoming>) -> Answer {
        match self.dispatch(request).await {
            Ok(answer) => answer,
            Err(refusal) => {
                log::warn!(
                    "CB1504 operator's request refused status={} reason={}",
                    refusal.status,
                    refusal.error
                );
                json(refusal.status, &refusal.error)
            }
        }
    }

    async fn dispatch(&self, request: Request<Incoming>) -> Result<Answer, Refusal> {
        let operator = self.authenticate(&request)?;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, PATH_PLANS) => self.plan(operator, self.body(request).await?).await,
            (&Method::POST, PATH_CONFIRM) => {
                self.confirm(operator, self.body(request).await?).await
            }
            (&Method::GET, PATH_STATUS) => Ok(json(StatusCode::OK, &self.status().await?)),
            (&Method::GET, PATH_HISTORY) => Ok(json(StatusCode::OK, &self.history().await?)),
            (&Method::GET, PATH_CONFIG) => Ok(json(StatusCode::OK, &self.config().await?)),
            (&Method::GET, PATH_POLICIES) => Ok(json(StatusCode::OK, &Vec::<PolicyFigures>::new())),
            (method, path) => Err(Refusal {
                status: StatusCode::NOT_FOUND,
                error: OperatorError::BadRequest {
                    reason: format!("there is no {method} {path}"),
                },
            }),
        }
    }

    fn authenticate(&self, request: &Request<Incoming>) -> Result<String, Refusal> {
        let header = request.headers().get(header::AUTHORIZATION);
        let header = header.and_then(|value| value.to_str().ok());
        let operator = self.tokens.operator(header).ok_or(Refusal {
            status: StatusCode::UNAUTHORIZED,
            error: OperatorError::Unauthorized,
        })?;
        Ok(operator.to_owned())
    }

    async fn body<T: DeserializeOwned>(&self, request: Request<Incoming>) -> Result<T, Refusal> {
        let limit_bytes = self.settings.operators.max_request_bytes.0;
        let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        let collected = Limited::new(request.into_body(), limit).collect().await;
        let body = collected.map_err(|error| match error.is::<LengthLimitError>() {
            true => Refusal {
                status: StatusCode::PAYLOAD_TOO_LARGE,
                error: OperatorError::TooLarge,
            },
            false => bad_request(format!("the body broke off: {error}")),
        })?;
        serde_json::from_slice(&body.to_bytes()).map_err(|error| bad_request(error.to_string()))
    }

    async fn plan(&self, operator: String, request: PlanRequest) -> Result<Answer, Refusal> {
        let request = PlanRequest {
            operator: operator.clone(),
            ..request
        };
        for _ in 0..PLAN_ATTEMPTS {
            let state = self.replication.read().await?;
            let draft = PlanDraft::new(state.revision(), state.config(), request.clone());
            let command = FleetCommand::StorePlan(Box::new(draft));
            if let FleetAnswer::PlanStored(plan) = self.replication.propose(command).await? {
                log::info!(
                    "CB1505 plan stored plan={} base_revision={} operator={operator}",
                    plan.id,
                    plan.base_revision
                );
                return Ok(json(StatusCode::OK, &*plan));
            }
        }
        Err(Refusal::from(ReplicationError::NoQuorum))
    }

    async fn confirm(&self, operator: String, request: ConfirmRequest) -> Result<Answer, Refusal> {
        let command = FleetCommand::Confirm(Confirmation {
            plan: request.plan,
            operator: operator.clone(),
            idempotency_key: request.idempotency_key,
            at_unix_s: unix_time_s(),
        });
        match self.replication.propose(command).await? {
            FleetAnswer::Confirmed(reply) => {
                log::info!(
                    "CB1506 confirmation answered plan={} operator={operator} reply={reply:?}",
                    request.plan
                );
                Ok(json(StatusCode::OK, &reply))
            }
            _ => Err(Refusal::from(ReplicationError::OutcomeUnknown)),
        }
    }

    async fn status(&self) -> Result<FleetStatus, Refusal> {
        let state = self.replication.read().await?;
        let acknowledged = self.acknowledged.revisions();
        let entries = entry_daemons(&self.settings);
        let revision = state.revision();
        let behind = |(daemon, applied): (&DaemonId, &Revision)| {
            (*applied < revision).then(|| (daemon.clone(), *applied))
        };
        let lagging = acknowledged.iter().filter_map(behind).collect();
        let unheard = |daemon: &DaemonId| !acknowledged.contains_key(daemon);
        let unreachable: Vec<_> = entries.into_iter().filter(unheard).collect();
        let replication = self.replication.status();
        Ok(FleetStatus {
            leader: replication
                .leader
                .unwrap_or_else(|| self.settings.daemon.clone()),
            term: replication.term,
            revision,
            in_force: acknowledged.values().all(|applied| *applied >= revision),
            lagging,
            unreachable,
            domains: self.observed.domains(self.clock.now()),
        })
    }

    async fn history(&self) -> Result<Vec<HistoryEntry>, Refusal> {
        Ok(self.replication.read().await?.history().cloned().collect())
    }

    async fn config(&self) -> Result<AcceptedConfig, Refusal> {
        let state = self.replication.read().await?;
        Ok(AcceptedConfig {
            revision: state.revision(),
            config: state.config().clone(),
        })
    }
}

fn unix_time_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|time| time.as_secs()).unwrap_or_default()
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    answer
}
