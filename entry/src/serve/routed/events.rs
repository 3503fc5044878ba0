//! The log events of routed requests (CB1420 to CB1439).

cicadabend_daemon::events! {
    /// A routed request has ended; the line holds what decided where it went, with the rate
    /// of requests that the replica names.
    1420 Info RequestEnded {
        request: String,
        route: String,
        team: String,
        replica: String,
        outcome: &'static str,
        attempts: u32,
        expected_ms: u64,
        outstanding: u64,
        rate: String,
        first_ms: u64,
        took_ms: u64,
        routes: u64,
    } "request ended";
    /// A request got an answer of the daemon's own; `may_have_run` says what it promises.
    1421 Warn RequestRefused {
        request: String,
        route: String,
        reason: String,
        status: u16,
        may_have_run: bool,
        attempts: u32,
        took_ms: u64,
        routes: u64,
        why: String,
    } "request refused";
    /// An attempt failed; what follows says the next line of the same request.
    1422 Info AttemptFailed {
        request: String,
        replica: String,
        attempt: u32,
        may_have_run: bool,
        age_ms: u64,
        why: String,
    } "attempt failed";
    /// A request is sent once more; the line tells what is usual at its service, from how many
    /// answers, how old the newest is, and how many repeats the window still has.
    1423 Info SentAgain {
        request: String,
        replica: String,
        attempt: u32,
        reason: String,
        typical_ms: u64,
        late_ms: u64,
        answers: u64,
        learnt_ms_ago: u128,
        window_left: u32,
    } "sent again";
    /// A stream broke off and is asked for elsewhere from the event after this one.
    1424 Info StreamBroke {
        request: String,
        replica: String,
        after_event: u64,
        why: String,
    } "stream broke off";
    /// A stream goes on at another replica.
    1425 Info StreamResumed { request: String, replica: String, after_event: u64 } "stream resumed";
    /// A stream is lost; the caller sees that it is not whole.
    1426 Warn StreamLost {
        request: String,
        replica: String,
        after_event: u64,
        attempts: u32,
        took_ms: u64,
        why: String,
    } "stream lost";
    /// A caller left before its answer was whole; the upstream is let go.
    1427 Info CallerLeft { request: String, replica: String, took_ms: u64 } "caller left";
    /// Lines on requests were left out because there were more than the bound in a second.
    1428 Warn RequestLinesLeftOut { lines: u64 } "lines on requests left out";
    /// An upstream broke requests off and nothing listens at its address: it has ended.
    1429 Warn UpstreamCrashed {
        instance: cicadabend::registry::InstanceId,
        address: cicadabend::ids::Address,
        requests: usize,
    } "upstream ended with requests";
    /// A request that an upstream had when it ended; the fingerprint stands for its team, path
    /// and body, and knows it again under another id; crashes counts those one after the other.
    1430 Info RequestSuspected {
        request: String,
        fingerprint: cicadabend::quarantine::Fingerprint,
        crashes: u32,
        instance: cicadabend::registry::InstanceId,
    } "request suspected";
    /// A request is quarantined, or another like it is on trial: it was at so many upstreams when
    /// they ended, one after the other. The refusal is the next line of the request.
    1431 Warn RequestHeld {
        request: String,
        fingerprint: cicadabend::quarantine::Fingerprint,
        crashes: u32,
        left_ms: u128,
    } "request held";
    /// An upstream's answer names another rate of requests than its last answer here did; none
    /// stands for an answer that names no rate.
    1432 Info RateNamed {
        request: String,
        instance: cicadabend::registry::InstanceId,
        rate: String,
        before: String,
    } "rate named";
    /// An upstream's answer names something that is no rate; what it named before holds.
    1433 Warn RateUnreadable {
        request: String,
        instance: cicadabend::registry::InstanceId,
        why: String,
    } "rate not taken";
    /// An upstream refused a request and asks this daemon for a time without requests; the
    /// daemon keeps the longest that was asked for, and a random time more.
    1434 Info BackoffAsked {
        request: String,
        instance: cicadabend::registry::InstanceId,
        backoff_ms: u128,
        kept_for_ms: u128,
    } "upstream asks for backoff";
    /// An upstream's answer names a backoff or a leaving that cannot be read; it is left out.
    1435 Warn AvailabilityUnreadable {
        request: String,
        instance: cicadabend::registry::InstanceId,
        what: &'static str,
        why: String,
    } "word on availability not taken";
    /// An upstream's answer says that it leaves.
    1436 Info LeavingTold {
        request: String,
        instance: cicadabend::registry::InstanceId,
    } "upstream leaves, by its answer";
    /// A request finds out whether an upstream takes requests again after its backoff.
    1437 Info TrialSent {
        request: String,
        instance: cicadabend::registry::InstanceId,
    } "request sent on trial";
    /// An upstream has answered requests on trial and gets its share again.
    1438 Info UpstreamRecovered {
        instance: cicadabend::registry::InstanceId,
    } "upstream takes requests again";
}
