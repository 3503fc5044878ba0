//! A caller's request in a form that can be sent to more than one replica.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    caller_api::{
        ErrorCode,
        HEADER_AUTHORIZATION,
        HEADER_DEADLINE_MS,
        HEADER_IDEMPOTENCY_KEY,
        HEADER_NOT_REPEATABLE,
        HEADER_PRIORITY,
        HEADER_REQUEST_ID,
        HEADER_SESSION, //
    },
    peer_api::ClaimKey,
    prelude::*,
    request::RequestTraits,
    routing::{
        Replica,
        ReplicaId, //
    },
    upstream_api::{
        HEADER_FENCING_TOKEN,
        HEADER_GROUP,
        HEADER_RESUME_FROM, //
    },
};
use cicadabend_daemon::bodies::HeldBody;
use http::{
    HeaderMap,
    HeaderValue,
    Request,
    Uri,
    header,
    request::Parts, //
};
use sha2::{
    Digest,
    Sha256, //
};
use tokio::time::Instant;

use super::{
    body::{
        BodyError,
        RequestBody, //
    },
    caller::Caller,
    headers,
    replay::Replay,
    response::Refusal,
    server::Server, //
};

/// Urgency of a request without a priority (RFC 9218).
const DEFAULT_PRIORITY: u8 = 3;
/// Largest value of the urgency, which is the lowest priority (RFC 9218).
const LOWEST_PRIORITY: u8 = 7;

/// The kind of service that the request is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// A model service, which responds with an event stream or one JSON document.
    Completion {
        /// Whether the caller asked for a stream.
        is_streamed: bool,
    },
    /// A plain service, whose response is passed on unchanged.
    Plain,
}

/// The body, from which each attempt gets its own copy or reader.
pub(super) enum SpecBody {
    /// A body that is completely in memory.
    Held(Rc<HeldBody>),
    /// A body that is passed on as the caller sends it; its first bytes are retained.
    Streamed(Replay),
}

/// The options that a caller sets by headers.
pub(super) struct RequestOptions {
    pub(super) idempotency_key: Option<IdempotencyKey>,
    pub(super) is_not_repeatable: bool,
    /// Urgency from 0, the highest priority, to 7 (RFC 9218).
    pub(super) priority: u8,
    pub(super) session: Option<String>,
    /// Time until which the first byte of the response must arrive.
    pub(super) deadline: Instant,
}

/// A request that was read and checked.
pub(super) struct Spec {
    pub(super) caller: Caller,
    pub(super) service: ServiceName,
    pub(super) kind: Kind,
    pub(super) options: RequestOptions,
    pub(super) traits: RequestTraits,
    pub(super) prompt_tokens: TokenCount,
    /// The number of the attempt that holds the claim, once that is granted.
    pub(super) claim: Cell<Option<u64>>,
    parts: Parts,
    body: SpecBody,
}

impl RequestOptions {
    /// Reads the options from the request's headers.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a header is invalid.
    pub(super) fn read(server: &Server, map: &HeaderMap) -> Result<Self, Refusal> {
        let is_not_repeatable = match headers::text(map, HEADER_NOT_REPEATABLE) {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(bad_header(HEADER_NOT_REPEATABLE, "'true' or 'false'")),
        };
        let idempotency_key = headers::text(map, HEADER_IDEMPOTENCY_KEY).map(parse_idempotency_key);
        if is_not_repeatable && idempotency_key.is_none() {
            let allowed = "given together with an idempotency-key";
            return Err(bad_header(HEADER_NOT_REPEATABLE, allowed));
        }
        Ok(Self {
            idempotency_key,
            is_not_repeatable,
            priority: parse_priority(headers::text(map, HEADER_PRIORITY)),
            session: headers::text(map, HEADER_SESSION).map(str::to_owned),
            deadline: Instant::now() + parse_first_byte_limit(server, map)?,
        })
    }
}

impl Spec {
    /// Makes a spec from a caller's request, without the headers that upstreams must not get.
    pub(super) fn new(
        caller: Caller,
        service: ServiceName,
        kind: Kind,
        options: RequestOptions,
        traits: RequestTraits,
        request: Request<SpecBody>,
    ) -> Self {
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().cloned();
        parts.uri = path.map(Uri::from).unwrap_or_default();
        headers::remove_hop_by_hop(&mut parts.headers);
        // The API key is the caller's secret, which upstreams do not need.
        parts.headers.remove(HEADER_AUTHORIZATION);
        // The body is sent at once, without waiting for "100 Continue".
        parts.headers.remove(header::EXPECT);
        let id = caller.request_id.as_str();
        headers::set(&mut parts.headers, HEADER_REQUEST_ID, id);
        Self {
            caller,
            service,
            kind,
            options,
            traits,
            prompt_tokens: TokenCount(0),
            claim: Cell::new(None),
            parts,
            body,
        }
    }

    /// Returns whether the body can be sent again from its beginning.
    pub(super) fn can_replay(&self) -> bool {
        match &self.body {
            SpecBody::Held(_) => true,
            SpecBody::Streamed(replay) => replay.can_replay(),
        }
    }

    /// Returns a hash that distinguishes two different requests with the same idempotency key.
    ///
    /// The hash covers method, path and body; of a streamed body it covers only the first bytes,
    /// which this reads.
    ///
    /// # Errors
    ///
    /// Returns the body's error if the caller stops sending.
    pub(super) async fn fingerprint(&self) -> Result<u64, BodyError> {
        let mut hash = Sha256::new();
        hash.update(self.parts.method.as_str());
        hash.update([0]);
        hash.update(self.parts.uri.to_string());
        hash.update([0]);
        match &self.body {
            SpecBody::Held(body) => body.segments().iter().for_each(|part| hash.update(part)),
            SpecBody::Streamed(replay) => hash.update(replay.beginning().await?),
        }
        let digest = hash.finalize();
        let first = digest.iter().take(size_of::<u64>());
        Ok(first.fold(0, |sum, byte| (sum << 8) | u64::from(*byte)))
    }

    /// Returns the key of the request's claim; `None` without an idempotency key.
    pub(super) fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.options.idempotency_key.clone()?;
        Some(ClaimKey {
            team: self.caller.team.clone(),
            key,
        })
    }

    /// Makes the request for a replica.
    ///
    /// With `resume_from`, the replica is asked for the rest of the response from that stream
    /// position on.
    pub(super) fn request_to(
        &self,
        replica: &Replica,
        resume_from: Option<u64>,
    ) -> Request<RequestBody> {
        let body = match &self.body {
            SpecBody::Held(body) => RequestBody::held(body),
            SpecBody::Streamed(replay) => RequestBody::Replayed(replay.reader()),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = self.parts.headers.clone();
        let map = request.headers_mut();
        if let SpecBody::Held(_) = self.body {
            map.remove(header::CONTENT_LENGTH);
        }
        if let Ok(host) = HeaderValue::from_str(&replica.address.to_string()) {
            map.insert(header::HOST, host);
        }
        self.set_group_headers(map, replica);
        let left = self
            .options
            .deadline
            .saturating_duration_since(Instant::now());
        headers::set(map, HEADER_DEADLINE_MS, &left.as_millis().to_string());
        if let Some(position) = resume_from {
            headers::set(map, HEADER_RESUME_FROM, &position.to_string());
        }
        request
    }

    /// Sets the headers by which an engine checks that its group is the one that was chosen.
    fn set_group_headers(&self, map: &mut HeaderMap, replica: &Replica) {
        if let ReplicaId::Group(group) = &replica.id {
            headers::set(map, HEADER_GROUP, group.as_str());
            let token = replica.token.to_number().to_string();
            headers::set(map, HEADER_FENCING_TOKEN, &token);
        }
    }
}

/// Returns the error for an invalid header.
fn bad_header(name: &str, allowed: &str) -> Refusal {
    let message = format!("The header {name} must be {allowed}.");
    Refusal::new(ErrorCode::BadRequest, message)
}

/// Returns the key without the quotes of a structured field (RFC 9651).
///
/// A key that is no valid name, by its characters or length, is hashed, so that every key that the
/// published draft allows is accepted.
fn parse_idempotency_key(text: &str) -> IdempotencyKey {
    let text = text.trim();
    let quoted = text.strip_prefix('"').and_then(|t| t.strip_suffix('"'));
    let key = quoted.unwrap_or(text);
    match key.parse() {
        Ok(key) => key,
        Err(_) => hashed_key(key),
    }
}

fn hashed_key(key: &str) -> IdempotencyKey {
    let hash = format!("sha256:{}", headers::to_hex(&Sha256::digest(key)));
    // PANIC: hexadecimal digits and a prefix of letters and ':' are always a name.
    #[expect(clippy::expect_used, reason = "the text is a name by its making")]
    hash.parse().expect("a hash is a name")
}

/// Returns the urgency of an RFC 9218 priority; other parameters are ignored.
fn parse_priority(header: Option<&str>) -> u8 {
    let mut parameters = header.unwrap_or_default().split(',');
    parameters
        .find_map(|parameter| parameter.trim().strip_prefix("u="))
        .and_then(|urgency| urgency.parse().ok())
        .filter(|urgency| *urgency <= LOWEST_PRIORITY)
        .unwrap_or(DEFAULT_PRIORITY)
}

/// Returns the caller's time limit for the first byte, or the default of the settings.
fn parse_first_byte_limit(server: &Server, map: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(text) = headers::text(map, HEADER_DEADLINE_MS) else {
        let limit_ms = server.settings.callers.first_byte_timeout_ms;
        return Ok(Duration::from_millis(limit_ms));
    };
    match text.parse::<u32>() {
        Ok(limit_ms) => Ok(Duration::from_millis(u64::from(limit_ms))),
        Err(_) => Err(bad_header(HEADER_DEADLINE_MS, "a number of milliseconds")),
    }
}
