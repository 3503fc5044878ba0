//! Asks the group that broke off an answer for its rest.

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

/// Pause before the second time the rest is asked for; it doubles with each further one.
const PAUSE_MS: u64 = 50;
/// How long a group may be out of the routing snapshot and still go on with an answer.
///
/// A late announcement takes a group out for a moment; a group that was formed
/// anew has another token and never comes back as the same one.
const ABSENCE_LIMIT_MS: u64 = 2_000;
/// How often the snapshot is looked at meanwhile.
const LOOK_MS: u64 = 20;

/// The rest of an answer on its way.
pub(super) type Resuming = Pin<Box<dyn Future<Output = Result<EventSource, Failure>>>>;

/// Starts to ask for the rest from a position on; `None` if the request has no replica.
pub(super) fn start(run: &RequestExecution, position: u64) -> Option<Resuming> {
    let attempt = run.attempt.as_ref()?;
    let server = Rc::clone(&run.server);
    let spec = Rc::clone(&run.spec);
    let id = attempt.replica().id.clone();
    let token = attempt.replica().token;
    let pause = pause(run.resumes_without_progress());
    let timeout = Duration::from_millis(server.settings.callers.first_byte_timeout_ms);
    Some(Box::pin(async move {
        sleep(pause).await;
        let replica = find(&server, &id, token).await?;
        exchange::resume(&server, &spec, &replica, position, timeout).await
    }))
}

fn pause(earlier: u32) -> Duration {
    match earlier {
        0 | 1 => Duration::ZERO,
        more => Duration::from_millis(PAUSE_MS << (more - 2).min(4)),
    }
}

/// Waits until the same group, under the same token, may take requests.
async fn find(server: &Server, id: &ReplicaId, token: FencingToken) -> Result<Replica, Failure> {
    let end = Instant::now() + Duration::from_millis(ABSENCE_LIMIT_MS);
    loop {
        match find_group(&server.snapshot.load(), id) {
            Some(replica) if replica.token == token => return Ok(replica),
            Some(_) => return Err(Failure::GroupChanged),
            None if Instant::now() >= end => return Err(Failure::GroupChanged),
            None => sleep(Duration::from_millis(LOOK_MS)).await,
        }
    }
}

fn find_group(snapshot: &RoutingSnapshot, id: &ReplicaId) -> Option<Replica> {
    let mut replicas = snapshot.replicas.iter();
    replicas.find(|replica| replica.id == *id).cloned()
}
