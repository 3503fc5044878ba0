//! One attempt of a request at one replica.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    routing::{
        Choice,
        Replica,
        ReplicaId, //
    },
    upstream_api::PATH_CANCEL,
};
use http::Request;
use http_body_util::{
    BodyExt,
    Limited, //
};
use tokio::time::timeout;

use super::{
    body::RequestBody,
    counts::Serving,
    events::LogEvent,
    server::Server,
    upstream::SentBytes, //
};

/// Time within which an engine must answer a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest answer to a cancel request after which its connection is used again.
const MAX_CANCEL_ANSWER_BYTES: usize = 16 * 1024;

/// One attempt, which counts in its replica's load until it is dropped.
pub(super) struct Attempt {
    pub(super) choice: Choice,
    /// The bytes that this attempt has written to its connection.
    pub(super) sent: Rc<SentBytes>,
    server: Rc<Server>,
    request_id: RequestId,
    is_cancelled: bool,
}

impl Attempt {
    /// Starts an attempt, which counts in the load of the chosen replica from now on.
    pub(super) fn start(server: &Rc<Server>, choice: Choice, request_id: &RequestId) -> Self {
        let now = server.clock.now();
        server.counts.add_attempt();
        server
            .own_load
            .borrow_mut()
            .started(&choice.replica.id, now);
        Self {
            choice,
            sent: Rc::default(),
            server: Rc::clone(server),
            request_id: request_id.clone(),
            is_cancelled: false,
        }
    }

    /// Returns the replica that the attempt is made at.
    pub(super) fn replica(&self) -> &Replica {
        &self.choice.replica
    }

    /// Sends a cancel request if the replica is an engine; only the first call does so.
    ///
    /// A plain service has no cancel request; the end of its connection stops it.
    pub(super) fn cancel(&mut self) {
        let is_engine = matches!(self.replica().id, ReplicaId::Group(_));
        if self.is_cancelled || !is_engine {
            return;
        }
        self.is_cancelled = true;
        self.server.counts.count(Serving::Cancels);
        let server = Rc::clone(&self.server);
        let replica = self.replica().clone();
        let request = self.request_id.clone();
        let path = format!("{PATH_CANCEL}/{request}");
        tokio::task::spawn_local(async move {
            if timeout(CANCEL_TIMEOUT, send_cancel(&server, &replica, &path))
                .await
                .is_err()
            {
                LogEvent::debug(|| LogEvent::CancelUnanswered {
                    request,
                    replica: replica.id,
                });
            }
        });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.server.clock.now();
        self.server.counts.remove_attempt();
        let mut own_load = self.server.own_load.borrow_mut();
        own_load.ended(&self.choice.replica.id, now);
    }
}

/// Sends a cancel request over another connection than the attempt's.
///
/// Errors are ignored: the engine also sees that the attempt's connection ends.
async fn send_cancel(server: &Server, replica: &Replica, path: &str) {
    let mut request = Request::new(RequestBody::empty());
    *request.method_mut() = http::Method::POST;
    let Ok(uri) = path.parse() else { return };
    *request.uri_mut() = uri;
    let host = replica.address.to_string();
    super::headers::set(request.headers_mut(), "host", &host);
    let Ok(lease) = server.pool.lease(replica.address).await else {
        return;
    };
    let Ok((response, lease)) = lease.send(request, &SentBytes::default()).await else {
        return;
    };
    let body = Limited::new(response.into_body(), MAX_CANCEL_ANSWER_BYTES);
    if body.collect().await.is_ok() {
        lease.return_to_pool();
    }
}
