//! Announcements, which are heartbeat and load report as well.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::{
    ids::Address,
    upstream_api::{
        Announcement,
        AnnouncementReply,
        PATH_ANNOUNCE,
        UpstreamKind, //
    },
};
use futures_util::future::join_all;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::client::legacy::{
    Client,
    connect::HttpConnector, //
};

use crate::{
    settings::KindSettings,
    vm::Vm, //
};

/// How long one announcement may take.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest time between two announcements, however much news there is.
const NEWS_GAP: Duration = Duration::from_millis(5);

/// A client for announcements and for looking at other members.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Announces a VM until it dies.
pub async fn announce_forever(vm: Rc<Vm>, client: HttpClient) {
    let interval_ms = Cell::new(vm.settings.announce_interval_ms);
    let mut sequence = 0;
    loop {
        if !vm.faults.borrow().stop_announcing {
            sequence += 1;
            announce(&vm, &client, sequence, &interval_ms).await;
        }
        tokio::time::sleep(NEWS_GAP).await;
        let pause = Duration::from_millis(interval_ms.get());
        // Either way it is time to announce again.
        let _ = tokio::time::timeout(pause, vm.news.notified()).await;
    }
}

async fn announce(vm: &Vm, client: &HttpClient, sequence: u64, interval_ms: &Cell<u64>) {
    let Ok(body) = serde_json::to_vec(&announcement(vm, sequence)) else {
        return;
    };
    let body = Bytes::from(body);
    let targets = vm.announce_to.borrow().clone();
    let sent = targets
        .into_iter()
        .map(|target| send(client, target, body.clone()));
    let asked = join_all(sent).await.into_iter().flatten();
    let longest_ms = vm.settings.announce_interval_ms;
    let asked_ms = asked.map(|reply| reply.interval_ms).min();
    interval_ms.set(asked_ms.unwrap_or(longest_ms).min(longest_ms).max(1));
}

fn announcement(vm: &Vm, sequence: u64) -> Announcement {
    let (delay_ms, lose_every) = {
        let faults = vm.faults.borrow();
        (faults.cache_event_delay_ms, faults.lose_cache_event_every)
    };
    let now = vm.clock.now();
    let cache_events = vm.cache.borrow_mut().take_events(now, delay_ms, lose_every);
    let kind = match &vm.settings.kind {
        KindSettings::Engine(_) => UpstreamKind::Engine(vm.engine.borrow().clone()),
        KindSettings::Plain(plain) => UpstreamKind::Plain {
            service: plain.service.clone(),
        },
    };
    Announcement {
        vm: vm.settings.vm.clone(),
        boot: vm.boot,
        sequence,
        address: vm.settings.advertise.unwrap_or(vm.address),
        failure_domain: vm.settings.failure_domain.clone(),
        fabric_domain: vm.settings.fabric_domain.clone(),
        kind,
        leaving: vm.leaving.get(),
        slots: vm.settings.slots,
        load: vm.lagging_load(),
        cache_events,
    }
}

async fn send(client: &HttpClient, target: Address, body: Bytes) -> Option<AnnouncementReply> {
    let request = http::Request::post(format!("http://{target}{PATH_ANNOUNCE}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .ok()?;
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(ANNOUNCE_TIMEOUT, exchange)
        .await
        .ok()?
}
