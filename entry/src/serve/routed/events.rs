//! The log events of routed requests (CB1420 to CB1459).

use cicadabend::prelude::*;

cicadabend_daemon::events! {
    /// The response to a routed request was passed on to its end. The fields show what decided the
    /// choice of the replica, among them the request rate that the replica names.
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
    /// The daemon refused a request or reported its failure. `may_have_run` says whether an upstream
    /// may have run the request.
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
    /// An attempt failed; the request's next log line shows whether it was retried.
    1422 Info AttemptFailed {
        request: String,
        replica: String,
        attempt: u32,
        may_have_run: bool,
        age_ms: u64,
        why: String,
    } "attempt failed";
    /// A request is retried or hedged. The fields show the latency baseline of such requests, the
    /// number of responses that it rests on, the age of the newest one, and how many retries the
    /// daemon's own requests still pay for.
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
    } "request sent again";
    /// A stream broke off or paused; another replica is asked for the events after `after_event`.
    /// `pause_ms` is the time since the stream's last event, and `timer_late_ms` by how much the
    /// daemon noticed the pause too late; 0 if the stream did not pause.
    1424 Info StreamBroke {
        request: String,
        replica: String,
        after_event: u64,
        pause_ms: u128,
        timer_late_ms: u128,
        why: String,
    } "stream broke off";
    /// Another replica continues a stream that broke off.
    1425 Info StreamResumed { request: String, replica: String, after_event: u64 } "stream resumed";
    /// A response broke off for good; the caller's connection is closed so that the caller notices.
    /// `ended_by` is the reason by which it is counted, and `why` the details. If another replica
    /// was asked for the rest, `first_replica` and `first_why` name the one that paused or broke
    /// off and how, and `first_after_event` the last event passed on by then. `routes` is the
    /// version by which the request was routed, `routes_now` the one in force.
    1426 Warn StreamLost {
        request: String,
        replica: String,
        after_event: u64,
        attempts: u32,
        took_ms: u64,
        ended_by: String,
        why: String,
        first_replica: String,
        first_after_event: u64,
        first_why: String,
        routes: u64,
        routes_now: u64,
    } "response lost";
    /// A caller closed its connection before the response was complete; the request's connection to
    /// an upstream, if there is one, is closed.
    1427 Info CallerLeft { request: String, replica: String, took_ms: u64 } "caller left";
    /// Log lines on requests were dropped because they exceeded the limit for one second.
    1428 Warn RequestLinesLeftOut { lines: u64 } "request log lines dropped";
    /// An upstream broke off requests and nothing listens at its address, so the upstream has
    /// crashed.
    1429 Warn UpstreamCrashed {
        instance: cicadabend::registry::InstanceId,
        address: cicadabend::ids::Address,
        requests: usize,
    } "upstream crashed with requests";
    /// A request was at an upstream when the upstream crashed. The fingerprint is a hash of team,
    /// path and body, so it recognizes the request under another id; `crashes` counts successive
    /// crashes; `parts` are the names and ids of its prompt's parts that other requests may
    /// share.
    1430 Info RequestSuspected {
        request: String,
        fingerprint: cicadabend::quarantine::Fingerprint,
        crashes: u32,
        parts: String,
        instance: cicadabend::registry::InstanceId,
    } "request suspected";
    /// A request is not run because its fingerprint is quarantined or on trial: `crashes` upstreams
    /// crashed with it in succession. The refusal is the request's next log line.
    1431 Warn RequestHeld {
        request: String,
        fingerprint: cicadabend::quarantine::Fingerprint,
        crashes: u32,
        left_ms: u128,
    } "request held by quarantine";
    /// An upstream's response names another request rate than its last response to this daemon did;
    /// `none` stands for a response that names no rate.
    1432 Info RateNamed {
        request: String,
        instance: cicadabend::registry::InstanceId,
        rate: String,
        before: String,
    } "rate named";
    /// The rate header of an upstream's response is unreadable; the upstream's last rate stays in
    /// force.
    1433 Warn RateUnreadable {
        request: String,
        instance: cicadabend::registry::InstanceId,
        why: String,
    } "rate header unreadable";
    /// An upstream refused a request and asks this daemon for backoff. The daemon waits for the
    /// longest backoff that was asked for, plus a random time.
    1434 Info BackoffAsked {
        request: String,
        instance: cicadabend::registry::InstanceId,
        backoff_ms: u128,
        kept_for_ms: u128,
    } "upstream asks for backoff";
    /// The backoff or shutdown header of an upstream's response is unreadable, and is ignored.
    1435 Warn AvailabilityUnreadable {
        request: String,
        instance: cicadabend::registry::InstanceId,
        what: &'static str,
        why: String,
    } "availability header unreadable";
    /// An upstream's response announces that the upstream is shutting down.
    1436 Info LeavingTold {
        request: String,
        instance: cicadabend::registry::InstanceId,
    } "upstream announced its shutdown";
    /// A trial request is sent to an upstream after its backoff, to see if it takes requests again.
    1437 Info TrialSent {
        request: String,
        instance: cicadabend::registry::InstanceId,
    } "trial request sent";
    /// An upstream has answered its trial requests, and gets its full share of requests again.
    1438 Info UpstreamRecovered {
        instance: cicadabend::registry::InstanceId,
    } "upstream takes requests again";
    /// What one service's retry budget at this daemon holds, at most once a second while retries are
    /// withdrawn or refused. `requests` and `retries` are those of the window, `left` says how many
    /// retries these requests still pay for. `own`, `equal`, `granted` and `refused` count since the
    /// start of the process, which was `up_ms` ago; `daemons` share the slack, 0 if not yet known.
    1439 Info RetryBudgetUsed {
        service: ServiceName,
        requests: u32,
        retries: u32,
        left: u32,
        daemons: u32,
        own: u64,
        equal: u64,
        granted: u64,
        refused: u64,
        up_ms: u64,
    } "retry budget used";
    /// This daemon's link to an upstream is lost, by its own connections and requests; `why` names
    /// the evidence, and `silent_ms` the time since anything came by this link. `timer_late_ms` is
    /// by how much the daemon's last check of a silent link was late. Requests for the upstream go
    /// through relays until CB1441.
    1440 Warn LinkLost {
        instance: cicadabend::registry::InstanceId,
        group: String,
        why: String,
        silent_ms: String,
        timer_late_ms: u128,
    } "link to an upstream lost";
    /// This daemon's link to an upstream is whole again.
    1441 Info LinkRegained {
        instance: cicadabend::registry::InstanceId,
        group: String,
        lost_ms: u128,
    } "link to an upstream whole again";
    /// So many links of a group were found lost, and none whole, that all count as lost. A group is
    /// a service and the failure domain of its upstreams.
    1442 Warn LinkGroupLost { group: String, links: usize } "links to a group of upstreams lost";
    /// One link of a lost group is whole again, so all of them are used again.
    1443 Info LinkGroupRegained {
        group: String,
        lost_ms: u128,
    } "links to a group of upstreams whole again";
    /// A request was given to a relay, because this daemon's own link to the upstream is lost.
    /// `outcome` is what the relay reported, or why it could not be reached.
    1444 Info SentToRelay {
        request: String,
        instance: cicadabend::registry::InstanceId,
        relay: DaemonId,
        outcome: String,
    } "request given to a relay";
    /// This daemon was asked to relay a request, and either passed on an upstream's response or
    /// reported why not. `why` has the details of a failed attempt.
    1445 Info Relayed {
        request: String,
        instance: cicadabend::registry::InstanceId,
        outcome: &'static str,
        took_ms: u128,
        why: String,
    } "request relayed";
    /// A request is not run because a part of its prompt is quarantined or on trial: `crashes`
    /// upstreams crashed that had requests with this part. The refusal is the request's next line.
    1446 Warn PartHeld {
        request: String,
        part: cicadabend::quarantine::PartId,
        name: String,
        crashes: u32,
        left_ms: u128,
    } "request held by a quarantined part";
    /// The serving thread's timers have been late for half a second, the last one by `delay_ms`: the
    /// daemon has more work than processor time. New connections are closed unread until CB1448.
    1447 Warn OverloadBegins { delay_ms: u128 } "new connections closed for overload";
    /// A timer fired in time again; new connections are served.
    1448 Info OverloadEnds { delay_ms: u128 } "new connections served again";
    /// Another replica was asked for the events after `after_event` and did not take the stream
    /// over. `replica` is the one that was asked; empty if there was none.
    1449 Info StreamNotResumed {
        request: String,
        replica: String,
        after_event: u64,
        reason: String,
        why: String,
    } "stream not resumed by another replica";
    /// A stream's own replica went on after a pause, before the replica that was `asked` for the
    /// rest had sent any of it; that one is let go.
    1450 Info StreamContinued {
        request: String,
        replica: String,
        last_event: u64,
        asked: String,
    } "stream continued after a pause";
    /// A request was still running when the daemon's drain timeout passed; its caller's connection
    /// is closed.
    1451 Warn RequestCutOff {
        request: String,
        replica: String,
        took_ms: u64,
    } "request cut off by the daemon's stop";
    /// A caller read nothing of its response for `read_timeout_ms`; its connection is closed, and
    /// the request's connection to an upstream with it.
    1452 Warn CallerStalled {
        request: String,
        replica: String,
        took_ms: u64,
        read_timeout_ms: u64,
    } "caller stopped reading";
    /// A response that this daemon passed on to another entry daemon broke off, by its upstream or
    /// by this daemon's drain timeout. `ended_by` is the reason by which it is counted, `why` the
    /// details. The other daemon's CB1424 or CB1426 shows what followed.
    1453 Warn RelayedAnswerBroke {
        request: String,
        instance: cicadabend::registry::InstanceId,
        passed_bytes: u64,
        took_ms: u128,
        ended_by: String,
        why: String,
    } "relayed response broke off";
    /// The daemon that had asked for a relayed response closed its connection: its caller left, its
    /// deadline passed, or it asks elsewhere. The connection to the upstream is closed.
    1454 Info RelayedAnswerLeft {
        request: String,
        instance: cicadabend::registry::InstanceId,
        passed_bytes: u64,
        took_ms: u128,
    } "relayed response no longer wanted";
}
