//! The thread `upstreams`: receives upstreams' announcements over HTTP.

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

/// The maximum size of one announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 256 * 1024;
/// The maximum number of concurrent connections from upstreams.
const MAX_CONNECTIONS: usize = 2_048;
/// How long an upstream may take to send the body of an announcement.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Receives upstreams' announcements over HTTP and passes them to the thread `domain`.
pub(crate) struct AnnouncementListener {
    pub(crate) events: Sender<DomainEvent>,
    pub(crate) clock: Clock,
    pub(crate) terms: UpstreamSettings,
    pub(crate) metrics: Metrics,
}

impl AnnouncementListener {
    /// Accepts connections until the process stops.
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
        let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stopping| *stopping) => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                own.metrics.count(AnnouncementDrop::TooManyConnections);
                continue;
            };
            let own = Rc::clone(&own);
            tokio::task::spawn_local(async move {
                own.serve_connection(stream).await;
                drop(permit);
            });
        }
    }

    /// Answers the requests of one connection until it ends.
    async fn serve_connection(&self, stream: tokio::net::TcpStream) {
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

    /// Returns how long a connection may be idle between two announcements, in milliseconds.
    fn idle_limit_ms(&self) -> u64 {
        (self.terms.announce_interval_ms * 20).max(10_000)
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        made_after: Option<Timestamp>,
    ) -> Response<Full<Bytes>> {
        if request.uri().path() != PATH_ANNOUNCE {
            return self.refuse(AnnouncementDrop::NotFound, StatusCode::NOT_FOUND);
        }
        if request.method() != Method::POST {
            return self.refuse(AnnouncementDrop::NotFound, StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES).collect();
        let body = match tokio::time::timeout(READ_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                return self.refuse(AnnouncementDrop::TooLarge, StatusCode::PAYLOAD_TOO_LARGE);
            }
            Err(_) => {
                return self.refuse(AnnouncementDrop::TooSlow, StatusCode::REQUEST_TIMEOUT);
            }
        };
        match serde_json::from_slice::<Announcement>(&body) {
            Ok(announcement) => self.pass_to_domain(announcement, made_after).await,
            Err(error) => {
                self.metrics.count(AnnouncementDrop::Malformed);
                text_response(StatusCode::BAD_REQUEST, &error.to_string())
            }
        }
    }

    /// Counts a refused announcement and returns its HTTP response.
    fn refuse(&self, reason: AnnouncementDrop, status: StatusCode) -> Response<Full<Bytes>> {
        self.metrics.count(reason);
        text_response(status, status.canonical_reason().unwrap_or_default())
    }

    /// Passes an announcement to the thread `domain` and returns the response for its decision.
    async fn pass_to_domain(
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
            return self.refuse(AnnouncementDrop::RingFull, StatusCode::SERVICE_UNAVAILABLE);
        }
        match outcome.await {
            Ok(Ok(())) => self.accepted_response(),
            Ok(Err(refusal)) => text_response(StatusCode::CONFLICT, &refusal.to_string()),
            Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping"),
        }
    }

    fn accepted_response(&self) -> Response<Full<Bytes>> {
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

fn text_response(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(reason.as_bytes())));
    *response.status_mut() = status;
    response
}
