//! Sends a request to its replica, by this daemon's own link or through a relay.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::reach::LinkUse;
use cicadabend_daemon::response_head::tells_length;

use super::{
    super::upstream::{
        AttemptError,
        SentBytes, //
    },
    delivered::Delivered,
    direct::DirectRequest,
    failure::Failure,
    prepared_request::PreparedRequest,
    relay_client::send_relayed,
    server::Server,
    upstream_signals,
};
use crate::members::RoutedReplica;

/// Time after which a missing response is late if no baseline is known.
const DEFAULT_LATE_AFTER: Duration = Duration::from_millis(400);
/// Range of the time after which a missing response raises the question whether the link is lost.
const MIN_LATE_AFTER: Duration = Duration::from_millis(150);
const MAX_LATE_AFTER: Duration = Duration::from_millis(1_000);

/// Sends the request to a replica and waits for the head of its response.
///
/// Another way is taken only before a byte of the request was written on the way before, so a
/// request is sent once whichever way it takes.
pub(super) async fn send(
    server: &Rc<Server>,
    prepared: &PreparedRequest,
    replica: &RoutedReplica,
    sent: &SentBytes,
    last_event: Option<u64>,
) -> Result<Delivered, Failure> {
    let link_use = choose_link_use(server, prepared, replica);
    let failure = match link_use {
        LinkUse::Relayed => Failure::NotConnected(AttemptError::NotConnected {
            address: replica.address,
            reason: "this daemon's link is lost".to_owned(),
            is_refused: false,
        }),
        LinkUse::Direct | LinkUse::DirectNew => {
            match send_directly(server, prepared, (replica, link_use), sent, last_event).await {
                Err(failure @ Failure::NotConnected(_)) => failure,
                outcome => return outcome,
            }
        }
    };
    let relayed = send_relayed(server, prepared, replica, sent, last_event, failure).await;
    let is_proven_lost = link_use != LinkUse::Relayed || server.has_failed_connection(replica);
    match relayed {
        // The link has only been silent, and no relay has sent anything on.
        Err(Failure::NotConnected(_)) if !is_proven_lost => {
            let by_new_connection = (replica, LinkUse::DirectNew);
            send_directly(server, prepared, by_new_connection, sent, last_event).await
        }
        outcome => outcome,
    }
}

/// Returns how to send the request, which may already have got no response elsewhere.
///
/// A second attempt takes a relay unless the replica was heard meanwhile: the first one's silence
/// may be that of all of this daemon's links.
fn choose_link_use(
    server: &Server,
    prepared: &PreparedRequest,
    replica: &RoutedReplica,
) -> LinkUse {
    let view = server.view.load();
    let link_use = server.link_use(&view, replica);
    let group = replica.link_group();
    let is_doubtful = match (link_use, prepared.unanswered_since()) {
        (LinkUse::Direct, Some(since)) => !server.was_heard_after(replica, since),
        _ => false,
    };
    let has_relay = || server.choose_relay(&view, &group, &[]).is_some();
    match link_use {
        LinkUse::Direct if is_doubtful && has_relay() => LinkUse::Relayed,
        // Silence is no proof; without a relay, a new connection shows whether the link is lost.
        LinkUse::Relayed if !has_relay() => LinkUse::DirectNew,
        link_use => link_use,
    }
}

async fn send_directly(
    server: &Rc<Server>,
    prepared: &PreparedRequest,
    (replica, link_use): (&RoutedReplica, LinkUse),
    sent: &SentBytes,
    last_event: Option<u64>,
) -> Result<Delivered, Failure> {
    // A request that may run only once must not go over a connection that its upstream may be
    // closing: nobody could tell afterwards whether the upstream has read the request.
    let is_idempotent = prepared.terms.route.kind.is_repeatable();
    let idle = match link_use {
        LinkUse::Direct => server.pool.idle_lease(replica.address, is_idempotent),
        LinkUse::DirectNew | LinkUse::Relayed => {
            server.pool.close_idle(replica.address);
            None
        }
    };
    let direct = DirectRequest {
        replica,
        request: &|| prepared.request_to(&*server.edge, replica, last_event),
        sent,
        late_after: late_after(server, prepared, replica),
        on_late: &|sent_at| prepared.record_unanswered(sent_at),
    };
    let check_admission = || upstream_signals::check_admission(server, &replica.id);
    let (response, lease, sent_at) = direct.send(server, idle, check_admission).await?;
    Ok(Delivered {
        tells_length: tells_length(response.headers()),
        response,
        lease,
        sent_at,
        relay: None,
    })
}

fn late_after(server: &Server, prepared: &PreparedRequest, replica: &RoutedReplica) -> Duration {
    let class = prepared.answer_class(replica.model.as_ref());
    let Some(usual) = server.latency_baseline(&class) else {
        return DEFAULT_LATE_AFTER;
    };
    let late_ms = usual.late_ms * server.settings.retries.late_factor;
    let late = Duration::from_secs_f64(late_ms.max(0.0) / 1_000.0);
    late.clamp(MIN_LATE_AFTER, MAX_LATE_AFTER)
}
