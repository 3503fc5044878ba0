//! The log events of the failure domain's threads (CB1300 to CB1499).

cicadabend_daemon::events! {
    /// The listener for upstreams' announcements is open.
    1300 Info UpstreamsListening { address: std::net::SocketAddr } "listening for upstreams";
    /// An announcement was refused; the answer to the upstream contains the reason.
    1301 Warn AnnouncementRefused { reason: String } "announcement refused";
    /// The runtime cannot use the listener's socket, so announcements are not received.
    1302 Error UpstreamsUnavailable { reason: String } "cannot listen for upstreams";
    /// An upstream's connection ended with an error.
    1303 Debug UpstreamConnectionEnded { reason: String } "connection of an upstream ended";
    /// An engine has accepted a command; its later announcements show the result.
    1310 Info CommandAccepted {
        vm: cicadabend::prelude::VmId,
        token: cicadabend::prelude::FencingToken,
    } "command accepted";
    /// An engine refused a command.
    1311 Warn CommandRefused {
        vm: cicadabend::prelude::VmId,
        token: cicadabend::prelude::FencingToken,
        reply: String,
    } "command refused";
    /// A command got no reply; the leader sends the command again unless the engine announces the
    /// commanded state.
    1312 Warn CommandFailed {
        vm: cicadabend::prelude::VmId,
        token: cicadabend::prelude::FencingToken,
        reason: String,
    } "command failed";
    /// This daemon has become leader of its failure domain.
    1320 Info LeadershipTaken { epoch: u32 } "leading the failure domain";
    /// This daemon is no longer leader of its failure domain.
    1321 Warn LeadershipLost { epoch: u32 } "no longer leading the failure domain";
    /// This process did not run for `length_ms`. Upstreams that seem silent because of the pause
    /// are not declared dead.
    1322 Warn OwnPause { length_ms: u64 } "this process was paused";
    /// This daemon has applied a newer configuration.
    1330 Info RevisionApplied { revision: cicadabend::prelude::Revision } "configuration applied";
    /// Other daemons have confirmed that this daemon's revision is the newest; it takes requests
    /// from now on.
    1331 Info RevisionKnown { revision: cicadabend::prelude::Revision } "revision confirmed by others";
    /// A group of this failure domain takes requests from now on.
    1340 Info GroupAdmitted { group: cicadabend::prelude::GroupId } "group takes requests";
    /// A group of this failure domain no longer takes requests.
    1341 Warn GroupClosed { group: cicadabend::prelude::GroupId } "group takes no requests";
    /// The state of an upstream, as seen by this daemon, has changed.
    1350 Info UpstreamChanged {
        vm: cicadabend::prelude::VmId,
        state: cicadabend::chart::UpstreamState,
    } "upstream changed";
}
