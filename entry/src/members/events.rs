//! The log events of the thread `members` (CB1400 to CB1419).

cicadabend_daemon::events! {
    /// This daemon has received a newer table of routes and uses it now; `before` is the version
    /// of the previous table.
    1400 Info RoutesInForce { version: u64, before: u64, from: cicadabend::prelude::DaemonId } "routes in force";
    /// A received table of routes was dropped, since it is not newer than the one in use.
    1401 Info RoutesStale { version: u64, held: u64, from: cicadabend::prelude::DaemonId } "older routes dropped";
    /// The first message from a control daemon has arrived, or the first one after a silence.
    1402 Info ControlFound { daemon: cicadabend::prelude::DaemonId } "control daemon found";
    /// For too long, no control daemon has confirmed that the routes in use are the newest.
    1403 Warn RoutesUncertain { version: u64 } "routes may be outdated";
    /// A control daemon has confirmed that the routes in use are the newest.
    1404 Info RoutesCertain { version: u64, by: cicadabend::prelude::DaemonId } "routes are the newest";
    /// This daemon now receives the upstreams' reports from these control daemons.
    1405 Info SourceChanged { daemon: String } "source of reports changed";
    /// A replica has become usable, suspect or unusable (`out`). `why` names the reason, `sequence`
    /// the upstream's last report, and `silent_ms` the time since any daemon received a report from
    /// the upstream.
    1406 Info ReplicaChanged {
        instance: cicadabend::registry::InstanceId,
        service: cicadabend::prelude::ServiceName,
        address: cicadabend::ids::Address,
        change: &'static str,
        why: &'static str,
        sequence: u64,
        silent_ms: u128,
    } "replica changed";
    /// No message from a control daemon has arrived for longer than the limit.
    1407 Warn ControlSilent {
        daemon: cicadabend::prelude::DaemonId,
        silent_ms: u128,
    } "control daemon silent";
    /// Several upstreams crashed one after the other while they ran the same request: the request
    /// is refused for `hold_ms` after the last crash.
    1408 Warn RequestQuarantined {
        fingerprint: cicadabend::quarantine::Fingerprint,
        crashes: u32,
        hold_ms: u128,
    } "request quarantined";
    /// A request that ran on upstreams when they crashed has since completed successfully.
    1409 Info RequestCleared {
        fingerprint: cicadabend::quarantine::Fingerprint,
    } "request cleared";
    /// An upstream has announced another limit on the rate of requests from all daemons together;
    /// `none` means no limit. A daemon received the announcement `age_ms` ago.
    1410 Info RateChanged {
        instance: cicadabend::registry::InstanceId,
        rate: String,
        before: String,
        age_ms: u32,
    } "rate changed";
    /// This daemon sends requests to upstreams with a rate limit by permits of this leader.
    1411 Info PermitsFrom {
        leader: cicadabend::prelude::DaemonId,
        term: u64,
    } "permits issued by a leader";
    /// No leader issues permits: this daemon issues itself an equal share of each rate limit, by
    /// the number of entry daemons.
    1412 Warn PermitsOwn { entries: u32 } "permits issued by this daemon itself";
    /// Several upstreams crashed one after the other while they had requests with this prompt part:
    /// these are refused for `hold_ms` after the last of `crashes` crashes; the first was
    /// `since_ms` ago. If there are several parts, only requests with all of them are refused, until
    /// it is known which one it is. CB1430 and CB1446 have the parts' names.
    1413 Warn PartQuarantined {
        parts: String,
        crashes: u32,
        since_ms: u128,
        hold_ms: u128,
    } "prompt part quarantined";
    /// Requests with these prompt parts are no longer refused for them: one was answered, the crashes
    /// are attributed to other parts or to fewer of them, or they were long ago.
    1414 Info PartReleased {
        parts: String,
    } "prompt part released";
}
