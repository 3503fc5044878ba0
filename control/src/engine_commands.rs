//! The thread `orders`: gives orders to engines over HTTP and tells what they answered.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::grouping::{
    Order,
    OrderOutcome, //
};
use cicadabend_daemon::ring::{
    Receiver,
    Sender, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};

use crate::{
    edge::ControlEdge,
    members::MembersEvent, //
};

/// How long an engine may take to answer; an order without an answer is given again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept; a group is ordered several times in a row.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

type OrderClient = Client<HttpConnector, Full<Bytes>>;

/// Gives orders until their ring is closed.
pub(crate) async fn give(
    edge: Arc<dyn ControlEdge>,
    mut orders: Receiver<Order>,
    answers: Sender<MembersEvent>,
) {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    let client: OrderClient = Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(1)
        .build(connector);
    let client = Rc::new(client);
    while let Some(order) = orders.next().await {
        let (edge, client) = (Arc::clone(&edge), Rc::clone(&client));
        let answers = answers.clone();
        tokio::task::spawn_local(async move {
            let outcome = give_one(&*edge, &client, &order).await;
            // A full ring loses the answer; the order is then given again.
            let _ = answers.push(MembersEvent::Answered(order, outcome));
        });
    }
}

async fn give_one(edge: &dyn ControlEdge, client: &OrderClient, order: &Order) -> OrderOutcome {
    let request = edge.order(order).map(Full::new);
    let answered = async {
        let response = match client.request(request).await {
            Ok(response) => response,
            Err(error) if is_refused(&error) => return OrderOutcome::Refused,
            Err(_) => return OrderOutcome::Unanswered,
        };
        let status = response.status();
        // The body is read in any case, so that the connection can be used again.
        match response.into_body().collect().await {
            Ok(body) => edge.outcome(order, status, &body.to_bytes()),
            Err(_) => OrderOutcome::Unanswered,
        }
    };
    match tokio::time::timeout(ORDER_TIMEOUT, answered).await {
        Ok(outcome) => outcome,
        Err(_) => OrderOutcome::Unanswered,
    }
}

/// Returns whether nothing listens at the address: no engine runs there.
fn is_refused(error: &hyper_util::client::legacy::Error) -> bool {
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = error.source();
    }
    false
}
