//! The log events of the thread `members` (CB1600 to CB1649).

cicadabend_daemon::events! {
    /// The first message from a daemon has arrived, or the first one after a silence.
    1600 Info DaemonFound {
        daemon: cicadabend::prelude::DaemonId,
        role: &'static str,
    } "daemon found";
    /// No message from a daemon has arrived for longer than the limit.
    1601 Warn DaemonSilent {
        daemon: cicadabend::prelude::DaemonId,
        silent_ms: u128,
    } "daemon silent";
    /// An upstream has reported for the first time.
    1602 Info UpstreamFound {
        instance: cicadabend::registry::InstanceId,
        service: cicadabend::prelude::ServiceName,
        address: cicadabend::ids::Address,
        sequence: u64,
    } "upstream found";
    /// An upstream's own report has changed in a field other than its sequence number; only its
    /// state and group are logged.
    1603 Info UpstreamChanged {
        instance: cicadabend::registry::InstanceId,
        sequence: u64,
        state: String,
        group: String,
    } "upstream changed";
    /// An upstream was removed from the registry: it announced that it leaves, a later instance of
    /// it reported, another instance reported from its address, or it sent no report for too long.
    1604 Info UpstreamEnded {
        instance: cicadabend::registry::InstanceId,
        how: String,
    } "upstream ended";
    /// An entry daemon reports that no stream from a group's head makes progress.
    1605 Info HeadStalled {
        instance: cicadabend::registry::InstanceId,
        by: cicadabend::prelude::DaemonId,
    } "group head stalled";
    /// Several upstreams crashed one after the other while they ran the same request: the request
    /// is refused for `hold_ms` after the last crash.
    1606 Warn RequestQuarantined {
        fingerprint: cicadabend::quarantine::Fingerprint,
        crashes: u32,
        hold_ms: u128,
    } "request quarantined";
    /// A request that ran on upstreams when they crashed has since completed successfully.
    1607 Info RequestCleared {
        fingerprint: cicadabend::quarantine::Fingerprint,
    } "request cleared";
    /// An upstream has announced another limit on the rate of requests from all daemons together;
    /// `none` means no limit. An entry daemon received the announcement `age_ms` ago.
    1608 Info RateChanged {
        instance: cicadabend::registry::InstanceId,
        rate: String,
        before: String,
        age_ms: u32,
    } "rate changed";
    /// All upstreams of a pool have rate limits, and the demand has begun to exceed (`is_short`)
    /// or no longer exceeds the sum of these limits.
    1609 Warn PoolShort {
        service: cicadabend::prelude::ServiceName,
        model: String,
        is_short: bool,
        asked_per_s: f64,
        rates_per_s: f64,
    } "pool rate shortage changed";
    /// This daemon has become leader and manages the groups. The epochs that it gives to groups are
    /// all above its term times `EPOCHS_PER_TERM`.
    1610 Info GroupingBegins { term: u64 } "group management started";
    /// This daemon no longer leads and no longer manages the groups.
    1611 Info GroupingEnds { term: u64 } "group management ended";
    /// A command was sent to an engine.
    1612 Info OrderGiven {
        order: &'static str,
        instance: cicadabend::registry::InstanceId,
        group: cicadabend::prelude::GroupId,
        epoch: u64,
    } "engine command sent";
    /// A command to an engine has ended; a command without an answer is sent again.
    1613 Info OrderAnswered {
        order: &'static str,
        instance: cicadabend::registry::InstanceId,
        group: cicadabend::prelude::GroupId,
        outcome: &'static str,
    } "engine command ended";
    /// A group has entered another phase.
    1614 Info GroupMoved {
        group: cicadabend::prelude::GroupId,
        model: cicadabend::prelude::ModelName,
        phase: String,
    } "group phase changed";
    /// The leader has decided to form a group; `decision` names the group, the groups to break and
    /// weight loads this needs, and the supply before and after.
    1617 Info GroupsWeighed { decision: String } "group change decided";
    /// The state of all engines by fabric domain, and the models that the free engines have
    /// ready; logged every five seconds while this daemon leads.
    1618 Info GroupsStand { engines: String } "engine census";
    /// An entry daemon asked for more retries of a service than are left of the slack, at most once
    /// a second. `granted` were granted in the last window, `limit` may be; `limit` is 0 while a new
    /// leader waits for its predecessor's grants to leave the window. `most_granted` names the
    /// daemons that were granted most.
    1619 Warn RetriesUsedUp {
        service: cicadabend::prelude::ServiceName,
        granted: u32,
        limit: u32,
        most_granted: String,
    } "retries used up";
    /// This daemon proposes another set of voters, since the live control daemons have changed.
    1615 Info VotersWanted { voters: String } "voter change proposed";
    /// A newer table of routes is being sent to the entry daemons that subscribe to this daemon.
    1616 Info RoutesSpreading { version: u64, daemons: usize } "sending routes";
    /// Several upstreams crashed one after the other while they had requests with this prompt part:
    /// these are refused for `hold_ms` after the last of `crashes` crashes; the first was
    /// `since_ms` ago. If there are several parts, only requests with all of them are refused, until
    /// it is known which one it is. CB1430 and CB1446 have the parts' names.
    1620 Warn PartQuarantined {
        parts: String,
        crashes: u32,
        since_ms: u128,
        hold_ms: u128,
    } "prompt part quarantined";
    /// Requests with these prompt parts are no longer refused for them: one was answered, the crashes
    /// are attributed to other parts or to fewer of them, or they were long ago.
    1621 Info PartReleased {
        parts: String,
    } "prompt part released";
}
