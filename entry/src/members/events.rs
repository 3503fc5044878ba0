//! The log events of the thread `members` (CB1400 to CB1419).

cicadabend_daemon::events! {
    /// A newer table of routes is in force at this daemon.
    1400 Info RoutesInForce { version: u64, before: u64, from: cicadabend::prelude::DaemonId } "routes in force";
    /// A table that is not newer than the one in force was dropped.
    1401 Info RoutesStale { version: u64, held: u64, from: cicadabend::prelude::DaemonId } "older routes dropped";
    /// A control daemon was heard for the first time, or again after a silence.
    1402 Info ControlFound { daemon: cicadabend::prelude::DaemonId } "control daemon found";
    /// No control daemon has confirmed lately that the routes in force are the newest.
    1403 Warn RoutesUncertain { version: u64 } "routes may be old";
    /// A control daemon confirms that the routes in force are the newest.
    1404 Info RoutesCertain { version: u64, by: cicadabend::prelude::DaemonId } "routes are the newest";
    /// Reports of upstreams come from these control daemons from now on.
    1405 Info SourceChanged { daemon: String } "source of reports changed";
    /// A replica takes requests, or no longer; why says what decided it, by the report with
    /// this sequence number, and how long ago any daemon heard the upstream last.
    1406 Info ReplicaChanged {
        instance: cicadabend::registry::InstanceId,
        service: cicadabend::prelude::ServiceName,
        address: cicadabend::ids::Address,
        change: &'static str,
        why: &'static str,
        sequence: u64,
        silent_ms: u128,
    } "replica changed";
    /// A control daemon was not heard for longer than the limit.
    1407 Warn ControlSilent {
        daemon: cicadabend::prelude::DaemonId,
        silent_ms: u128,
    } "control daemon silent";
    /// A request was at several upstreams when they ended, one after the other: it does not run
    /// for this long after the last one.
    1408 Warn RequestQuarantined {
        fingerprint: cicadabend::quarantine::Fingerprint,
        crashes: u32,
        hold_ms: u128,
    } "request quarantined";
    /// A request that was at upstreams which ended has run to a good end since.
    1409 Info RequestCleared {
        fingerprint: cicadabend::quarantine::Fingerprint,
    } "request cleared";
    /// An upstream names another rate of requests that it takes from all daemons together; none
    /// stands for no rate. The answer that says so came to some daemon so long ago.
    1410 Info RateChanged {
        instance: cicadabend::registry::InstanceId,
        rate: String,
        before: String,
        age_ms: u32,
    } "rate changed";
    /// Requests go to upstreams that name a rate with permits of this leader.
    1411 Info PermitsFrom {
        leader: cicadabend::prelude::DaemonId,
        term: u64,
    } "permits come from a leader";
    /// No leader issues permits: this daemon takes its equal part of each rate.
    1412 Warn PermitsOwn { entries: u32 } "permits are this daemon's own";
}
