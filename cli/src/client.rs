//! Requests to control daemons: finds the leader, and resends what got no answer.
//!
//! Every request may be sent twice without harm: reads change nothing, a plan
//! that is made twice is only a number more, and a confirmation carries an
//! idempotency key.

use std::{
    io,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::{
    fleet::FleetConfig,
    ids::Address,
    operator_api::{
        AcceptedConfig,
        ConfirmReply,
        ConfirmRequest,
        FleetStatus,
        HistoryEntry,
        OperatorError,
        PATH_CONFIG,
        PATH_CONFIRM,
        PATH_HISTORY,
        PATH_PLANS,
        PATH_POLICIES,
        PATH_PROGRESS,
        PATH_STATUS,
        Plan,
        PlanProgress,
        PlanRequest,
        PolicyStatistics, //
    },
};
use http::{
    Method, Request, StatusCode,
    header::{
        AUTHORIZATION,
        CONTENT_TYPE,
        HOST, //
    },
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use crate::{
    error::CommandError,
    settings::Connection, //
};

/// A daemon that is paused must not use up the time that the others need.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after all addresses were tried, while an election may be running.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Sends requests to whichever control daemon leads.
pub struct Client {
    connection: Connection,
}

struct Prepared {
    method: Method,
    path: &'static str,
    body: Bytes,
    /// Whether an answer that was lost leaves doubt.
    changes_something: bool,
}

impl Prepared {
    fn get(path: &'static str) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
            changes_something: false,
        }
    }

    fn post(path: &'static str, body: &impl Serialize) -> Result<Self, CommandError> {
        let body = serde_json::to_vec(body).map_err(|error| CommandError::Garbage {
            address: "this command".to_owned(),
            reason: error.to_string(),
        })?;
        Ok(Self {
            method: Method::POST,
            path,
            body: Bytes::from(body),
            changes_something: false,
        })
    }
}

/// What one attempt at one address led to.
enum Attempt {
    Answered(Bytes),
    Refused(OperatorError),
    /// Nothing was sent.
    NotConnected(String),
    /// Something may have been received.
    Unanswered(String),
    Garbage(String),
}

/// Which address is asked next.
struct Route<'c> {
    control: &'c [Address],
    /// The place in the list of the last address that was taken from it.
    place: usize,
    address: Address,
    /// Whether the current address was named by another daemon.
    is_named: bool,
}

impl<'c> Route<'c> {
    fn new(control: &'c [Address]) -> Self {
        Self {
            control,
            place: 0,
            address: control[0],
            is_named: false,
        }
    }

    /// Moves on, to the leader that was named or else down the list.
    ///
    /// Returns whether a pause is due. Only one name in a row is believed: two daemons
    /// that each take the other for the leader would otherwise be asked without a pause.
    fn advance(&mut self, leader: Option<Address>) -> bool {
        if let Some(leader) = leader.filter(|leader| *leader != self.address && !self.is_named) {
            self.address = leader;
            self.is_named = true;
            return false;
        }
        self.place = (self.place + 1) % self.control.len();
        self.address = self.control[self.place];
        self.is_named = false;
        self.place == 0
    }
}

/// What happened so far at the addresses that were tried.
#[derive(Default)]
struct Trail {
    /// The last outcome at each address, in the order of the first try.
    outcomes: Vec<(Address, String)>,
    /// Whether a request may have been carried out without an answer.
    unanswered: bool,
    no_quorum: bool,
    no_leader: bool,
}

impl Client {
    /// Makes a client; nothing is sent yet.
    pub fn new(connection: Connection) -> Self {
        Self { connection }
    }

    /// Returns how long the operator wants to wait.
    pub fn timeout(&self) -> Duration {
        self.connection.timeout
    }

    /// Asks for the fleet's status.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or what happened at each address when time ran out.
    pub async fn status(&self) -> Result<FleetStatus, CommandError> {
        self.send(&Prepared::get(PATH_STATUS)).await
    }

    /// Asks for the accepted revisions, newest first.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, CommandError> {
        self.send(&Prepared::get(PATH_HISTORY)).await
    }

    /// Asks for the accepted configuration.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn config(&self) -> Result<AcceptedConfig, CommandError> {
        self.send(&Prepared::get(PATH_CONFIG)).await
    }

    /// Asks how far the last accepted plan has come; `None` before the first one.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn progress(&self) -> Result<Option<PlanProgress>, CommandError> {
        self.send(&Prepared::get(PATH_PROGRESS)).await
    }

    /// Asks for the figures of all routing policies.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn policies(&self) -> Result<Vec<PolicyStatistics>, CommandError> {
        self.send(&Prepared::get(PATH_POLICIES)).await
    }

    /// Has a plan made for a configuration; nothing comes into force by it.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn plan(&self, config: FleetConfig, reason: &str) -> Result<Plan, CommandError> {
        let request = PlanRequest {
            config,
            operator: self.connection.operator.clone(),
            reason: reason.to_owned(),
        };
        self.send(&Prepared::post(PATH_PLANS, &request)?).await
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// As [`Self::status`], and [`CommandError::OutcomeUnknown`] if the plan may
    /// have been accepted.
    pub async fn confirm(&self, request: &ConfirmRequest) -> Result<ConfirmReply, CommandError> {
        let mut prepared = Prepared::post(PATH_CONFIRM, request)?;
        prepared.changes_something = true;
        match self.send(&prepared).await {
            Err(CommandError::Refused(OperatorError::OutcomeUnknown)) => {
                Err(CommandError::OutcomeUnknown {
                    idempotency_key: request.idempotency_key.clone(),
                    plan: request.plan,
                })
            }
            other => other,
        }
    }

    async fn send<T: DeserializeOwned>(&self, prepared: &Prepared) -> Result<T, CommandError> {
        let deadline = Instant::now() + self.connection.timeout;
        let mut trail = Trail::default();
        let mut route = Route::new(&self.connection.control);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(trail.into_error(prepared));
            }
            let address = route.address;
            let limit = left.min(ATTEMPT_TIMEOUT);
            let attempt = match self.attempt(address, prepared, limit).await {
                Attempt::Answered(body) => match serde_json::from_slice(&body) {
                    Ok(answer) => return Ok(answer),
                    Err(error) => Attempt::Garbage(error.to_string()),
                },
                other => other,
            };
            let leader = match attempt {
                Attempt::Refused(error) if is_final(&error) => {
                    return Err(CommandError::Refused(error));
                }
                // A confirmation that got a garbled answer may have been carried out.
                Attempt::Garbage(reason) if !prepared.changes_something => {
                    return Err(garbage(address, reason));
                }
                other => trail.note(address, other),
            };
            if route.advance(leader) {
                sleep(ROUND_PAUSE.min(left)).await;
            }
        }
    }

    async fn attempt(&self, address: Address, prepared: &Prepared, limit: Duration) -> Attempt {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Attempt::NotConnected(error.to_string()),
            Err(_) => return Attempt::NotConnected("no connection in time".to_owned()),
        };
        match timeout(limit, self.exchange(address, stream, prepared)).await {
            Ok(Ok((status, body))) => judge(status, body),
            Ok(Err(error)) => Attempt::Unanswered(error.to_string()),
            Err(_) => Attempt::Unanswered("no answer in time".to_owned()),
        }
    }

    async fn exchange(
        &self,
        address: Address,
        stream: TcpStream,
        prepared: &Prepared,
    ) -> io::Result<(StatusCode, Bytes)> {
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, driver) = handshake.map_err(io::Error::other)?;
        tokio::spawn(driver);
        let request = Request::builder()
            .method(prepared.method.clone())
            .uri(prepared.path)
            .header(HOST, address.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.connection.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(prepared.body.clone()))
            .map_err(io::Error::other)?;
        let response = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        Ok((status, body.map_err(io::Error::other)?.to_bytes()))
    }
}

fn judge(status: StatusCode, body: Bytes) -> Attempt {
    if status.is_success() {
        return Attempt::Answered(body);
    }
    match serde_json::from_slice(&body) {
        Ok(error) => Attempt::Refused(error),
        Err(error) => Attempt::Garbage(format!("status {status}, {error}")),
    }
}

/// Whether another daemon or a later moment would give the same answer.
fn is_final(error: &OperatorError) -> bool {
    match error {
        OperatorError::NotLeader { .. }
        | OperatorError::NoQuorum
        | OperatorError::OutcomeUnknown => false,
        OperatorError::Unauthorized
        | OperatorError::BadRequest { .. }
        | OperatorError::TooLarge => true,
    }
}

fn garbage(address: Address, reason: String) -> CommandError {
    CommandError::Garbage {
        address: address.to_string(),
        reason,
    }
}

impl Trail {
    /// Notes what happened; returns the leader's address if it was told.
    fn note(&mut self, address: Address, attempt: Attempt) -> Option<Address> {
        let mut leader = None;
        let outcome = match attempt {
            Attempt::NotConnected(reason) => reason,
            Attempt::Unanswered(reason) | Attempt::Garbage(reason) => {
                self.unanswered = true;
                reason
            }
            Attempt::Refused(error) => {
                match &error {
                    OperatorError::NotLeader { leader: named } => {
                        self.no_leader = true;
                        leader = named.as_ref().and_then(|named| named.parse().ok());
                    }
                    OperatorError::NoQuorum => self.no_quorum = true,
                    _ => self.unanswered = true,
                }
                error.to_string()
            }
            Attempt::Answered(_) => return None,
        };
        match self.outcomes.iter_mut().find(|known| known.0 == address) {
            Some(known) => known.1 = outcome,
            None => self.outcomes.push((address, outcome)),
        }
        leader
    }

    /// Returns the most telling error; an unknown outcome goes before all others.
    fn into_error(self, prepared: &Prepared) -> CommandError {
        if self.unanswered && prepared.changes_something {
            return CommandError::Refused(OperatorError::OutcomeUnknown);
        }
        if self.no_quorum {
            return CommandError::Refused(OperatorError::NoQuorum);
        }
        let tried = self.outcomes.iter();
        let tried: Vec<String> = tried
            .map(|(address, outcome)| format!("{address} ({outcome})"))
            .collect();
        let tried = tried.join(", ");
        if self.no_leader {
            return CommandError::NoLeader { tried };
        }
        CommandError::Unreachable { tried }
    }
}
