//! The `upstreams` thread: announcements over HTTP.

use std::{
    cell::Cell,
    convert::Infallible,
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::{
    prelude::*,
    upstream_api::{
        Announcement,
        AnnouncementReply,
        PATH_ANNOUNCE, //
    },
};
use cicadabend_daemon::{
    clock::Clock,
    metrics::Metrics,
    ring::Sender,
    settings::UpstreamSettings, //
};
use http::{
    Method,
    Request,
    Response,
    StatusCode,
    header::CONTENT_TYPE, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    body::Incoming,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::sync::{
    Semaphore,
    oneshot,
    watch, //
};

use crate::domain::{
    DomainEvent,
    counters::AnnouncementDrop,
    events::LogEvent, //
};

/// The most bytes of one announcement.
const ANNOUNCEMENT_LIMIT_BYTES: usize = 256 * 1024;
/// The most connections from upstreams at once.
const CONNECTION_LIMIT: usize = 2_048;
/// How long an upstream may take for its headers, and for the body after them.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which mostly means that descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Hears announcements and hands them to the `domain` thread.
pub(crate) struct AnnouncementListener {
    pub(crate) events: Sender<DomainEvent>,
    pub(crate) clock: Clock,
    pub(crate) terms: UpstreamSettings,
    pub(crate) metrics: Metrics,
}

impl AnnouncementListener {
    /// Listens until the process stops.
    pub(crate) async fn run(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        self.metrics.declare::<AnnouncementDrop>();
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                let reason = error.to_string();
                LogEvent::UpstreamsUnavailable { reason }.emit();
                return;
            }
        };
        let own = Rc::new(self);
        let connections = Arc::new(Semaphore::new(CONNECTION_LIMIT));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stopping| *stopping) => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(place) = Arc::clone(&connections).try_acquire_owned() else {
                own.metrics.count(AnnouncementDrop::TooManyConnections);
                continue;
            };
            let own = Rc::clone(&own);
            tokio::task::spawn_local(async move {
                own.converse(stream).await;
                drop(place);
            });
        }
    }

    async fn converse(&self, stream: tokio::net::TcpStream) {
        let last_reply_at = Cell::new(None);
        let answer = service_fn(|request| async {
            let response = self.answer(request, last_reply_at.get()).await;
            last_reply_at.set(Some(self.clock.now()));
            Ok::<_, Infallible>(response)
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.idle_limit_ms()))
            .serve_connection(TokioIo::new(stream), answer);
        if let Err(error) = connection.await {
            let reason = error.to_string();
            LogEvent::UpstreamConnectionEnded { reason }.emit();
        }
    }

    /// Returns how long a connection may rest between two announcements.
    fn idle_limit_ms(&self) -> u64 {
        (self.terms.announce_interval_ms * 20).max(10_000)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        made_after: Option<Timestamp>,
    ) -> Response<Full<Bytes>> {
        if request.uri().path() != PATH_ANNOUNCE {
            return self.drop_with(AnnouncementDrop::NotFound, StatusCode::NOT_FOUND);
        }
        if request.method() != Method::POST {
            return self.drop_with(AnnouncementDrop::NotFound, StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = Limited::new(request.into_body(), ANNOUNCEMENT_LIMIT_BYTES).collect();
        let body = match tokio::time::timeout(READ_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                return self.drop_with(AnnouncementDrop::TooLarge, StatusCode::PAYLOAD_TOO_LARGE);
            }
            Err(_) => {
                return self.drop_with(AnnouncementDrop::TooSlow, StatusCode::REQUEST_TIMEOUT);
            }
        };
        match serde_json::from_slice::<Announcement>(&body) {
            Ok(announcement) => self.hand_over(announcement, made_after).await,
            Err(error) => {
                self.metrics.count(AnnouncementDrop::Malformed);
                text(StatusCode::BAD_REQUEST, &error.to_string())
            }
        }
    }

    fn drop_with(&self, reason: AnnouncementDrop, status: StatusCode) -> Response<Full<Bytes>> {
        self.metrics.count(reason);
        text(status, status.canonical_reason().unwrap_or_default())
    }

    async fn hand_over(
        &self,
        announcement: Announcement,
        made_after: Option<Timestamp>,
    ) -> Response<Full<Bytes>> {
        let (verdict, outcome) = oneshot::channel();
        let event = DomainEvent::Announced {
            announcement: Box::new(announcement),
            made_after,
            verdict,
        };
        if self.events.push(event).is_err() {
            return self.drop_with(AnnouncementDrop::RingFull, StatusCode::SERVICE_UNAVAILABLE);
        }
        match outcome.await {
            Ok(Ok(())) => self.accepted(),
            Ok(Err(refusal)) => text(StatusCode::CONFLICT, &refusal.to_string()),
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping"),
        }
    }

    fn accepted(&self) -> Response<Full<Bytes>> {
        let reply = AnnouncementReply {
            interval_ms: self.terms.announce_interval_ms,
            lease_ms: self.terms.lease_ms,
        };
        let body = serde_json::to_vec(&reply).unwrap_or_default();
        let mut response = Response::new(Full::new(Bytes::from(body)));
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

fn text(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(reason.as_bytes())));
    *response.status_mut() = status;
    response
}
