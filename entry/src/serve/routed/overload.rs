//! Closes new connections unread while this daemon has no processor time left.
//!
//! The load balancer may send most new connections to one daemon. What that daemon reads and can't
//! serve in time is lost; a caller whose connection is closed unread goes to another daemon.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use cicadabend::admission::{
    OverloadChange,
    OverloadDetector, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};

use super::{
    counts::Routed,
    events::LogEvent,
    server::Server, //
};

/// Time from one timer to the next while connections arrive.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Whether the serving thread is overloaded, by the delays of its timers.
///
/// Timers run only while connections arrive, so that an idle daemon stays idle.
#[derive(Debug, Default)]
pub(super) struct Overload {
    detector: RefCell<OverloadDetector>,
    is_probing: Cell<bool>,
    has_new_connection: Cell<bool>,
}

/// Returns whether a new connection is served; counts it if it isn't.
pub(super) fn admits_connection(server: &Rc<Server>) -> bool {
    let overload = &server.overload;
    overload.has_new_connection.set(true);
    if !overload.is_probing.replace(true) {
        tokio::task::spawn_local(probe(Rc::clone(server)));
    }
    let admits = !overload.detector.borrow().is_overloaded();
    if !admits {
        server.counts.count(Routed::ConnectionsShed);
    }
    admits
}

/// Measures the delays of timers until no connections arrive and the thread is not overloaded.
async fn probe(server: Rc<Server>) {
    let overload = &server.overload;
    while overload.has_new_connection.replace(false) || overload.detector.borrow().is_overloaded() {
        let due = Instant::now() + PROBE_INTERVAL;
        sleep_until(due).await;
        let delay = due.elapsed();
        let now = server.clock.now();
        let change = overload.detector.borrow_mut().record_delay(delay, now);
        let delay_ms = delay.as_millis();
        match change {
            Some(OverloadChange::Begins) => server.log(&LogEvent::OverloadBegins { delay_ms }),
            Some(OverloadChange::Ends) => server.log(&LogEvent::OverloadEnds { delay_ms }),
            None => {}
        }
    }
    overload.is_probing.set(false);
}
