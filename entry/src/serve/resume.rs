//! Requests the rest of a response from the group that broke it off.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    routing::{
        Replica,
        ReplicaId,
        RoutingSnapshot, //
    },
};
use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    event_source::EventSource,
    exchange::{
        self,
        Failure, //
    },
    run::RequestExecution,
    server::Server,
};

/// Pause before the second request for the rest in a row; it doubles with each further one.
const PAUSE_MS: u64 = 50;
/// Longest absence of a group from the routing snapshot after which its response is still resumed.
///
/// A late announcement removes a group from the snapshot for a short time. A group that was formed
/// anew has another fencing token and cannot resume the response.
const ABSENCE_LIMIT_MS: u64 = 2_000;
/// Interval at which the snapshot is checked for the group.
const SNAPSHOT_CHECK_MS: u64 = 20;

/// A request for the rest of a response.
pub(super) type Resuming = Pin<Box<dyn Future<Output = Result<EventSource, Failure>>>>;

/// Requests the rest from a stream position on; returns `None` if the request has no attempt.
pub(super) fn start(run: &RequestExecution, position: u64) -> Option<Resuming> {
    let attempt = run.attempt.as_ref()?;
    let server = Rc::clone(&run.server);
    let spec = Rc::clone(&run.spec);
    let id = attempt.replica().id.clone();
    let token = attempt.replica().token;
    let pause = resume_pause(run.resumes_without_progress());
    Some(Box::pin(async move {
        sleep(pause).await;
        let replica = find(&server, &id, token).await?;
        exchange::resume(&server, &spec, &replica, position).await
    }))
}

/// Returns the pause before a request for the rest, by the number of requests in a row, this one
/// included.
fn resume_pause(resumes: u32) -> Duration {
    match resumes {
        0 | 1 => Duration::ZERO,
        more => Duration::from_millis(PAUSE_MS << (more - 2).min(4)),
    }
}

/// Waits until the snapshot lists the group with the same fencing token.
async fn find(server: &Server, id: &ReplicaId, token: FencingToken) -> Result<Replica, Failure> {
    let end = Instant::now() + Duration::from_millis(ABSENCE_LIMIT_MS);
    loop {
        match find_group(&server.snapshot.load(), id) {
            Some(replica) if replica.token == token => return Ok(replica),
            Some(_) => return Err(Failure::GroupChanged),
            None if Instant::now() >= end => return Err(Failure::GroupChanged),
            None => sleep(Duration::from_millis(SNAPSHOT_CHECK_MS)).await,
        }
    }
}

fn find_group(snapshot: &RoutingSnapshot, id: &ReplicaId) -> Option<Replica> {
    let mut replicas = snapshot.replicas.iter();
    replicas.find(|replica| replica.id == *id).cloned()
}
