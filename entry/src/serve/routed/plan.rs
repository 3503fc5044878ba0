//! One request in the form in which it can be sent, also twice.

use std::{
    cell::OnceCell,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::{
    dispatch::most_urgent,
    prelude::*,
    quarantine::Fingerprint,
    routes::Route, //
};
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

/// How a request stands to the others that wait at an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Precedence {
    /// The team's or the route's rank; 0 goes first.
    pub(super) rank: u8,
    /// Where it stands among those of its rank, as upstreams are told.
    pub(super) urgency: u8,
}

/// The terms on which a request is served.
pub(super) struct Terms {
    pub(super) route: Route,
    pub(super) service: ServiceName,
    pub(super) team: Option<TeamName>,
    pub(super) precedence: Precedence,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    /// The version of the table it is served by.
    pub(super) routes: u64,
}

/// The request and the terms it is served on.
pub(super) struct Plan {
    pub(super) terms: Terms,
    pub(super) words: CallerHeaders,
    head: Parts,
    body: Bytes,
    fingerprint: OnceCell<Fingerprint>,
}

impl Plan {
    /// Puts a request together; `head` is as the caller sent it.
    pub(super) fn new(terms: Terms, words: CallerHeaders, mut head: Parts, body: Bytes) -> Self {
        let path = head.uri.path_and_query().cloned();
        head.uri = path.map(Uri::from).unwrap_or_default();
        headers::remove_hop_by_hop(&mut head.headers);
        // The body follows without waiting, so nothing may be awaited.
        head.headers.remove(header::EXPECT);
        head.headers.remove(header::CONTENT_LENGTH);
        Self {
            terms,
            words,
            head,
            body,
            fingerprint: OnceCell::new(),
        }
    }

    /// Returns what the request is known again by; worked out once, when first asked for.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.head.uri.path_and_query();
            let path = path.map_or("", |path| path.as_str());
            Fingerprint::of(self.terms.team.as_ref(), path, &self.body)
        })
    }

    /// Returns the request's id for logs.
    pub(super) fn id(&self) -> &str {
        self.words.request_id.as_deref().unwrap_or_default()
    }

    /// Returns how long the caller still waits.
    pub(super) fn time_left(&self) -> Duration {
        self.terms
            .deadline
            .saturating_duration_since(Instant::now())
    }

    /// Returns the tokens of the prompt, zero if the caller does not say.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.words.prompt_tokens.unwrap_or(0)
    }

    /// Returns the request as a replica gets it; `last_event` asks for the rest of a stream.
    pub(super) fn request_to(
        &self,
        edge: &dyn CallerEdge,
        replica: &RoutedReplica,
        last_event: Option<u64>,
    ) -> Request<RequestBody> {
        let mut request = Request::new(RequestBody::whole(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let map = request.headers_mut();
        // A body of no bytes is told too where the method usually has one.
        if !self.body.is_empty() || self.head.method == http::Method::POST {
            map.insert(header::CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        let deadline_ms = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        let words = UpstreamRequestHeaders {
            deadline_ms: deadline_ms.max(1),
            instance: &replica.id,
            team: self.terms.team.as_ref().map(TeamName::as_str),
            urgency: match last_event {
                // Its caller sees the pause; a new request has no event to miss yet.
                Some(_) => most_urgent(self.terms.precedence.rank),
                None => self.terms.precedence.urgency,
            },
            last_event: last_event.or(self.words.last_event),
        };
        edge.write_upstream(map, &words);
        request
    }
}
