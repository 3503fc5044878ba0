//! The counters of the failure domain's threads; each has a closed set of reasons.

cicadabend_daemon::counters! {
    /// Announcements of upstreams that were not used.
    pub(crate) enum AnnouncementDrop = "announcement_drops" {
        /// Two processes announce themselves with the same VM id.
        TwoVmsOneId,
        /// The announcement names another failure domain.
        OtherDomain,
        /// An announcement with this number or a later one was received before.
        Outdated,
        /// The ring to the thread `domain` is full; the upstream announces itself again.
        RingFull,
        /// The body cannot be parsed as an announcement.
        Malformed,
        /// The body is too large or ended early.
        TooLarge,
        /// The body arrived too slowly.
        TooSlow,
        /// The path or the method does not exist.
        NotFound,
        /// The maximum number of connections from upstreams was reached.
        TooManyConnections,
    }
}

cicadabend_daemon::counters! {
    /// The outcomes of commands to engines.
    pub(crate) enum CommandOutcome = "command_outcomes" {
        /// The engine has accepted the command.
        Accepted,
        /// The engine has accepted a command with a higher fencing token before.
        StaleToken,
        /// The engine at the address belongs to another VM.
        WrongVm,
        /// Connecting to the engine failed.
        Connect,
        /// Connecting to the engine took too long.
        ConnectTimeout,
        /// The leader's lease ended before the command was sent.
        NoPermit,
        /// The connection failed before the engine's reply was complete.
        Exchange,
        /// The engine's reply took too long.
        ReplyTimeout,
        /// The engine's reply cannot be parsed.
        Reply,
        /// Older commands were dropped because the ring was full.
        RingFull,
    }
}

cicadabend_daemon::counters! {
    /// Events of this daemon's part in coordinating its failure domain.
    pub(crate) enum DomainChange = "domain_changes" {
        /// This daemon became leader of its failure domain.
        LeadershipTaken,
        /// This daemon is no longer leader of its failure domain.
        LeadershipLost,
        /// This process was paused for at least 500 ms.
        OwnPause,
        /// The ring was full, so a reply to a claim was dropped.
        ClaimReplyDropped,
        /// The ring was full, so a cache event was dropped.
        CacheNoticeDropped,
        /// Policy statistics were dropped, because no leader received them for too long.
        FiguresDropped,
        /// A group became able to take requests.
        GroupAdmitted,
        /// A group no longer takes requests.
        GroupClosed,
    }
}
