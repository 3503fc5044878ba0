//! The client of the control daemons' API: finds the leader and retries unanswered requests.
//!
//! Every request can be retried safely: reads change nothing, a plan that is made twice only
//! uses up another number, and a confirmation carries an idempotency key.

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

/// The timeout of one attempt at one address; leaves time for other addresses if a daemon is
/// paused.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause after all addresses were tried, since an election may be running.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// A client that sends requests to the leader of the control daemons.
pub struct Client {
    connection: Connection,
}

/// A request that can be sent to several addresses in turn.
struct Prepared {
    method: Method,
    path: &'static str,
    body: Bytes,
    /// Whether a lost or invalid answer leaves in doubt whether the configuration was changed; true
    /// only for confirmations. A plan that is made twice does no harm.
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
        let body = serde_json::to_vec(body).map_err(|error| CommandError::InvalidAnswer {
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

/// The result of one attempt at one address.
enum Attempt {
    Answered(Bytes),
    Refused(OperatorError),
    /// No connection could be made, so nothing was sent.
    NotConnected(String),
    /// No answer arrived, although the daemon may have received the request.
    Unanswered(String),
    InvalidAnswer(String),
}

/// The order in which addresses are tried.
struct AddressCursor<'c> {
    control: &'c [Address],
    /// The index in `control` of the last address that was taken from there.
    index: usize,
    /// The address of the next attempt.
    address: Address,
    /// Whether another daemon named `address` as the leader's.
    is_named: bool,
}

impl<'c> AddressCursor<'c> {
    fn new(control: &'c [Address]) -> Self {
        Self {
            control,
            index: 0,
            address: control[0],
            is_named: false,
        }
    }

    /// Moves to the address of the leader that a daemon named, or else to the next in the list.
    ///
    /// Returns whether the client must pause before the next attempt. A named address is followed
    /// only if the current one comes from the list: two daemons that name each other as the leader
    /// would otherwise get requests without a pause.
    fn advance(&mut self, leader: Option<Address>) -> bool {
        if let Some(leader) = leader.filter(|leader| *leader != self.address && !self.is_named) {
            self.address = leader;
            self.is_named = true;
            return false;
        }
        self.index = (self.index + 1) % self.control.len();
        self.address = self.control[self.index];
        self.is_named = false;
        self.index == 0
    }
}

/// The results of the attempts so far.
#[derive(Default)]
struct Attempts {
    /// The last result at each address, in the order of the first attempt.
    outcomes: Vec<(Address, String)>,
    /// Whether a daemon may have carried out the request without a valid answer.
    unanswered: bool,
    no_quorum: bool,
    no_leader: bool,
}

impl Client {
    /// Creates a client without connecting.
    pub fn new(connection: Connection) -> Self {
        Self { connection }
    }

    /// Returns the time for which requests are retried.
    pub fn timeout(&self) -> Duration {
        self.connection.timeout
    }

    /// Returns the fleet's status.
    ///
    /// # Errors
    ///
    /// Returns the control daemons' refusal, or the results of all attempts at the timeout.
    pub async fn status(&self) -> Result<FleetStatus, CommandError> {
        self.send(&Prepared::get(PATH_STATUS)).await
    }

    /// Returns the accepted revisions, newest first.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, CommandError> {
        self.send(&Prepared::get(PATH_HISTORY)).await
    }

    /// Returns the accepted configuration.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn config(&self) -> Result<AcceptedConfig, CommandError> {
        self.send(&Prepared::get(PATH_CONFIG)).await
    }

    /// Returns the progress of the last accepted plan; `None` before the first one.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn progress(&self) -> Result<Option<PlanProgress>, CommandError> {
        self.send(&Prepared::get(PATH_PROGRESS)).await
    }

    /// Returns the statistics of all routing policies.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn policies(&self) -> Result<Vec<PolicyStatistics>, CommandError> {
        self.send(&Prepared::get(PATH_POLICIES)).await
    }

    /// Requests a plan for a configuration, and returns the plan. Nothing comes into force until
    /// the plan is confirmed.
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
        let mut attempts = Attempts::default();
        let mut cursor = AddressCursor::new(&self.connection.control);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(attempts.into_error(prepared));
            }
            let address = cursor.address;
            let limit = left.min(ATTEMPT_TIMEOUT);
            let attempt = match self.attempt(address, prepared, limit).await {
                Attempt::Answered(body) => match serde_json::from_slice(&body) {
                    Ok(answer) => return Ok(answer),
                    Err(error) => Attempt::InvalidAnswer(error.to_string()),
                },
                other => other,
            };
            let leader = match attempt {
                Attempt::Refused(error) if is_final(&error) => {
                    return Err(CommandError::Refused(error));
                }
                // A confirmation that got an invalid answer may have been carried out.
                Attempt::InvalidAnswer(reason) if !prepared.changes_something => {
                    return Err(invalid_answer(address, reason));
                }
                other => attempts.record(address, other),
            };
            if cursor.advance(leader) {
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
            Ok(Ok((status, body))) => classify_response(status, body),
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

fn classify_response(status: StatusCode, body: Bytes) -> Attempt {
    if status.is_success() {
        return Attempt::Answered(body);
    }
    match serde_json::from_slice(&body) {
        Ok(error) => Attempt::Refused(error),
        Err(error) => Attempt::InvalidAnswer(format!("status {status}, {error}")),
    }
}

/// Returns whether every daemon would refuse the request in the same way, also later.
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

fn invalid_answer(address: Address, reason: String) -> CommandError {
    CommandError::InvalidAnswer {
        address: address.to_string(),
        reason,
    }
}

impl Attempts {
    /// Records the result of an attempt; returns the leader's address if the daemon named it.
    fn record(&mut self, address: Address, attempt: Attempt) -> Option<Address> {
        let mut leader = None;
        let outcome = match attempt {
            Attempt::NotConnected(reason) => reason,
            Attempt::Unanswered(reason) | Attempt::InvalidAnswer(reason) => {
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

    /// Returns the error that best describes the results; an unknown outcome takes precedence.
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
