//! The log events of the thread `members` (CB1600 to CB1649).

cicadabend_daemon::events! {
    /// A daemon was heard for the first time, or again after a silence.
    1600 Info DaemonFound {
        daemon: cicadabend::prelude::DaemonId,
        role: &'static str,
    } "daemon found";
    /// A daemon was not heard for longer than the limit.
    1601 Warn DaemonSilent {
        daemon: cicadabend::prelude::DaemonId,
        silent_ms: u128,
    } "daemon silent";
    /// An upstream was heard for the first time.
    1602 Info UpstreamFound {
        instance: cicadabend::registry::InstanceId,
        service: cicadabend::prelude::ServiceName,
        address: cicadabend::ids::Address,
        sequence: u64,
    } "upstream found";
    /// What an upstream says of itself has changed.
    1603 Info UpstreamChanged {
        instance: cicadabend::registry::InstanceId,
        sequence: u64,
        state: String,
        group: String,
    } "upstream changed";
    /// An upstream has ended, by its own word or because its address has another run, or is
    /// forgotten because nothing was heard of it for long.
    1604 Info UpstreamEnded {
        instance: cicadabend::registry::InstanceId,
        how: String,
    } "upstream ended";
    /// An entry daemon sees that all streams of a head stand still.
    1605 Info HeadStalled {
        instance: cicadabend::registry::InstanceId,
        by: cicadabend::prelude::DaemonId,
    } "head stands still";
    /// A request was at several upstreams when they ended, one after the other: it does not run
    /// for this long after the last one.
    1606 Warn RequestQuarantined {
        fingerprint: cicadabend::quarantine::Fingerprint,
        crashes: u32,
        hold_ms: u128,
    } "request quarantined";
    /// A request that was at upstreams which ended has run to a good end since.
    1607 Info RequestCleared {
        fingerprint: cicadabend::quarantine::Fingerprint,
    } "request cleared";
    /// An upstream names another rate of requests that it takes from all daemons together; none
    /// stands for no rate. The answer that says so came to some entry daemon so long ago.
    1608 Info RateChanged {
        instance: cicadabend::registry::InstanceId,
        rate: String,
        before: String,
        age_ms: u32,
    } "rate changed";
    /// All upstreams that can stand in for each other name rates, and more requests come than
    /// these take together; or that is over.
    1609 Warn PoolShort {
        service: cicadabend::prelude::ServiceName,
        model: String,
        is_short: bool,
        asked_per_s: f64,
        rates_per_s: f64,
    } "pool short of rates";
    /// This daemon begins to form groups; its epochs begin at its term.
    1610 Info GroupingBegins { term: u64 } "leading groups";
    /// This daemon forms groups no longer.
    1611 Info GroupingEnds { term: u64 } "leading groups no longer";
    /// An order was given to an engine.
    1612 Info OrderGiven {
        order: &'static str,
        instance: cicadabend::registry::InstanceId,
        group: cicadabend::prelude::GroupId,
        epoch: u64,
    } "order given";
    /// An engine has answered an order; an unanswered one is given again.
    1613 Info OrderAnswered {
        order: &'static str,
        instance: cicadabend::registry::InstanceId,
        group: cicadabend::prelude::GroupId,
        outcome: &'static str,
    } "order answered";
    /// A group has come to another phase.
    1614 Info GroupMoved {
        group: cicadabend::prelude::GroupId,
        model: cicadabend::prelude::ModelName,
        phase: String,
    } "group moved on";
    /// A change of groups was chosen; the text holds what was weighed.
    1617 Info GroupsWeighed { decision: String } "groups weighed";
    /// Where all engines stand, by fabric domain, and what the free ones have at hand; every
    /// five seconds while this daemon leads.
    1618 Info GroupsStand { engines: String } "groups stand";
    /// A change of the set of voters is proposed, because of who is there.
    1615 Info VotersWanted { voters: String } "voters to change";
    /// A newer table of routes is sent to the entry daemons that get it from here.
    1616 Info RoutesSpreading { version: u64, daemons: usize } "spreading routes";
}
