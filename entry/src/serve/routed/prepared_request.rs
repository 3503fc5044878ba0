//! An admitted request in a form that can be sent to several upstreams.

use std::{
    cell::{
        Cell,
        OnceCell, //
    },
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    dispatch::{
        AnswerClass,
        most_urgent, //
    },
    prelude::*,
    quarantine::{
        Fingerprint,
        ModelPart, //
    },
    routes::Route, //
};
use cicadabend_daemon::bodies::HeldBody;
use http::{
    HeaderValue,
    Request,
    Uri,
    header,
    request::Parts, //
};
use tokio::time::Instant;

use super::super::{
    body::RequestBody,
    caller_stream::BrokenEnd,
    headers, //
};
use crate::{
    edge::{
        CallerEdge,
        CallerHeaders,
        UpstreamRequestHeaders, //
    },
    members::RoutedReplica,
};

/// Maximum number of a prompt's parts that are told from each other.
const MAX_PARTS: usize = 16;

/// A request's priority among the requests that wait at an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Precedence {
    /// Priority of the team or of the route, set in the table of routes; 0 goes first.
    pub(super) rank: u8,
    /// Urgency that is sent to upstreams, from 0 (first) to 9; varies at random within the rank's
    /// range.
    pub(super) urgency: u8,
}

/// The route, deadline and priority by which a request is served.
pub(super) struct Terms {
    pub(super) route: Route,
    pub(super) service: ServiceName,
    pub(super) team: Option<TeamName>,
    pub(super) precedence: Precedence,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    /// Version of the table of routes that the request is served by.
    pub(super) routes: u64,
}

/// A request with its body and everything needed to send it to an upstream.
pub(super) struct PreparedRequest {
    pub(super) terms: Terms,
    pub(super) caller_headers: CallerHeaders,
    parts: Parts,
    body: Rc<HeldBody>,
    /// How the caller's connection ends, if it ends before the response.
    pub(super) connection_end: BrokenEnd,
    fingerprint: OnceCell<Fingerprint>,
    prompt_parts: OnceCell<Vec<ModelPart>>,
    unanswered_since: Cell<Option<Timestamp>>,
}

impl PreparedRequest {
    /// Prepares a request; `parts` are the caller's, and lose their hop-by-hop headers here.
    pub(super) fn new(
        terms: Terms,
        caller_headers: CallerHeaders,
        mut parts: Parts,
        body: HeldBody,
        connection_end: BrokenEnd,
    ) -> Self {
        let path = parts.uri.path_and_query().cloned();
        parts.uri = path.map(Uri::from).unwrap_or_default();
        headers::remove_hop_by_hop(&mut parts.headers);
        // The body is sent at once, so the upstream must not be asked for `100 Continue`.
        parts.headers.remove(header::EXPECT);
        parts.headers.remove(header::CONTENT_LENGTH);
        Self {
            terms,
            caller_headers,
            parts,
            body: Rc::new(body),
            connection_end,
            fingerprint: OnceCell::new(),
            prompt_parts: OnceCell::new(),
            unanswered_since: Cell::new(None),
        }
    }

    /// Returns the hash of team, path and body; computed by the first call only.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.parts.uri.path_and_query();
            let path = path.map_or("", |path| path.as_str());
            Fingerprint::of(self.terms.team.as_ref(), path, self.body.segments())
        })
    }

    /// Returns the ids of the prompt's parts that other requests may share, in the order of
    /// [`Self::part_names`].
    pub(super) fn prompt_parts(&self) -> &[ModelPart] {
        self.prompt_parts.get_or_init(|| {
            let model = self.caller_headers.model.as_deref();
            let names = self.part_names().iter();
            names
                .map(|name| ModelPart::of(&self.terms.service, model, name))
                .collect()
        })
    }

    /// Returns the names of the prompt's parts that other requests may share, as far as they count.
    pub(super) fn part_names(&self) -> &[String] {
        let names = &self.caller_headers.prompt_parts;
        &names[..names.len().min(MAX_PARTS)]
    }

    /// Returns the caller's request id for logs; empty if the caller sent none.
    pub(super) fn id(&self) -> &str {
        self.caller_headers
            .request_id
            .as_deref()
            .unwrap_or_default()
    }

    /// Records that an attempt, which was sent at `sent_at`, has no response yet although it is late.
    pub(super) fn record_unanswered(&self, sent_at: Timestamp) {
        let since = self.unanswered_since.get().unwrap_or(sent_at);
        self.unanswered_since.set(Some(since));
    }

    /// Returns when the first attempt was sent that had no response when it was late, if any.
    pub(super) fn unanswered_since(&self) -> Option<Timestamp> {
        self.unanswered_since.get()
    }

    /// Returns the key under which response times of such requests are learnt for a model.
    pub(super) fn answer_class(&self, model: Option<&ModelName>) -> AnswerClass {
        AnswerClass {
            service: self.terms.service.clone(),
            model: model.cloned(),
            is_stream: self.terms.route.kind.is_stream(),
        }
    }

    /// Returns the time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.terms
            .deadline
            .saturating_duration_since(Instant::now())
    }

    /// Returns the number of prompt tokens that the caller names; zero if it names none.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.caller_headers.prompt_tokens.unwrap_or(0)
    }

    /// Returns the request as sent to a replica; `last_event` asks for the rest of a stream.
    pub(super) fn request_to(
        &self,
        edge: &dyn CallerEdge,
        replica: &RoutedReplica,
        last_event: Option<u64>,
    ) -> Request<RequestBody> {
        let mut request = Request::new(RequestBody::held(&self.body));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = self.parts.headers.clone();
        let map = request.headers_mut();
        // An empty body gets its length too if the method usually has a body.
        if self.body.length() > 0 || self.parts.method == http::Method::POST {
            map.insert(
                header::CONTENT_LENGTH,
                HeaderValue::from(self.body.length()),
            );
        }
        let deadline_ms = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        let upstream_headers = UpstreamRequestHeaders {
            deadline_ms: deadline_ms.max(1),
            instance: &replica.id,
            team: self.terms.team.as_ref().map(TeamName::as_str),
            urgency: match last_event {
                // The caller of a stream notices the pause; the caller of a new request doesn't.
                Some(_) => most_urgent(self.terms.precedence.rank),
                None => self.terms.precedence.urgency,
            },
            last_event: last_event.or(self.caller_headers.last_event),
        };
        edge.write_upstream(map, &upstream_headers);
        request
    }
}
