//! Sends a request by this daemon's own link to a replica.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::prelude::*;
use http::{
    Request,
    Response, //
};
use hyper::body::Incoming;

use super::{
    super::{
        body::RequestBody,
        upstream::{
            AttemptError,
            Lease,
            SentBytes, //
        },
    },
    server::Server,
};
use crate::members::RoutedReplica;

/// A request to one replica, in a form that can be written to a second connection.
pub(super) struct DirectRequest<'a> {
    pub(super) replica: &'a RoutedReplica,
    pub(super) request: &'a dyn Fn() -> Request<RequestBody>,
    pub(super) sent: &'a SentBytes,
    /// Time after which a missing response raises the question whether the link is lost.
    pub(super) late_after: Duration,
    /// Is told, while the response is late, when the request was sent.
    pub(super) on_late: &'a dyn Fn(Timestamp),
}

/// A response's head, its connection, and when its request was sent.
pub(super) type DirectResponse = (Response<Incoming>, Lease, Timestamp);

impl DirectRequest<'_> {
    /// Sends the request over an idle connection, or a new one if there is none.
    ///
    /// If the idle one has closed before a byte was written, the request is sent over a new one.
    /// `check_admission` is asked before each sending: a connection may have taken time.
    pub(super) async fn send<E: From<AttemptError>>(
        &self,
        server: &Rc<Server>,
        idle: Option<Lease>,
        check_admission: impl Fn() -> Result<(), E>,
    ) -> Result<DirectResponse, E> {
        let is_reused = idle.is_some();
        let lease = match idle {
            Some(lease) => lease,
            None => server.connect(self.replica).await?,
        };
        check_admission()?;
        let sent = match self.write(server, lease).await {
            Err(AttemptError::NothingWritten { .. }) if is_reused => {
                let lease = server.connect(self.replica).await?;
                check_admission()?;
                self.write(server, lease).await?
            }
            outcome => outcome?,
        };
        server.record_heard(self.replica);
        Ok(sent)
    }

    async fn write(&self, server: &Server, lease: Lease) -> Result<DirectResponse, AttemptError> {
        let sent_at = server.clock.now();
        let sending = lease.send((self.request)(), self.sent);
        let sending = server.watch_link(self.replica, self.late_after, self.on_late, sending);
        let (response, lease) = sending.await?;
        Ok((response, lease, sent_at))
    }
}
