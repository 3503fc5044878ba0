//! Finds out whether an upstream has ended, or this daemon's links to it are lost.

use std::{
    cmp::Reverse,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use super::server::Server;
use crate::members::RoutedReplica;

/// Upstreams that are compared with one that refuses a connection.
const MAX_COMPARED: usize = 4;
/// An upstream that was heard so recently is in reach.
const HEARD_JUST_NOW: Duration = Duration::from_millis(20);

/// What connections show of an upstream that broke off requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Liveness {
    /// The upstream accepts connections, so it runs.
    Alive,
    /// Nothing listens at the upstream's address.
    Ended,
    /// This daemon's own links may be the cause.
    Unknown,
}

/// Connects to an upstream to see whether it has ended.
///
/// A daemon whose links are cut may be refused, too. So a refusal is a proof only if another
/// upstream can be reached.
pub(super) async fn check_liveness(server: &Rc<Server>, replica: &RoutedReplica) -> Liveness {
    match server.connect_and_pool(replica).await {
        Ok(()) => Liveness::Alive,
        Err(error) if error.is_refused() => match reaches_another(server, replica).await {
            true => Liveness::Ended,
            false => Liveness::Unknown,
        },
        Err(_) => Liveness::Unknown,
    }
}

/// Returns whether any upstream but this one can be reached, or there is no other.
async fn reaches_another(server: &Rc<Server>, replica: &RoutedReplica) -> bool {
    let known = Arc::clone(&server.view.load().replicas);
    let others = known.values().flatten();
    let mut others: Vec<&RoutedReplica> = others.filter(|other| other.id != replica.id).collect();
    if others.is_empty() {
        return true;
    }
    let was_heard = |other: &&RoutedReplica| server.was_heard_within(other, HEARD_JUST_NOW);
    if others.iter().any(was_heard) {
        return true;
    }
    // Those heard last come first: they most likely still run.
    others.sort_by_key(|other| Reverse(server.heard_at(other)));
    for other in others.into_iter().take(MAX_COMPARED) {
        if server.connect_and_pool(other).await.is_ok() {
            return true;
        }
    }
    false
}
