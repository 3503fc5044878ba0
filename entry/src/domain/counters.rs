//! Counters of the failure domain's threads, by closed sets of reasons.

cicadabend_daemon::counters! {
    /// Announcements that were not taken in.
    pub(crate) enum AnnouncementDrop = "announcement_drops" {
        /// Another process announces the same VM.
        TwoVmsOneId,
        /// The upstream names another failure domain.
        OtherDomain,
        /// Its number was heard before.
        Outdated,
        /// The ring to the thread `domain` is full; the upstream announces itself again.
        RingFull,
        /// The body is no announcement.
        Malformed,
        /// The body is too large or broke off.
        TooLarge,
        /// The body came too slowly.
        TooSlow,
        /// The path or the method does not exist.
        NotFound,
        /// Too many upstreams are connected.
        TooManyConnections,
    }
}

cicadabend_daemon::counters! {
    /// What became of commands to engines.
    pub(crate) enum CommandOutcome = "command_outcomes" {
        /// The engine carries it out.
        Accepted,
        /// The engine has obeyed a higher token.
        StaleToken,
        /// Another VM answered.
        WrongVm,
        /// The engine cannot be reached.
        Connect,
        /// The connection took too long.
        ConnectTimeout,
        /// The lease ended before the command was sent.
        NoPermit,
        /// The exchange broke off.
        Exchange,
        /// The answer took too long.
        ReplyTimeout,
        /// The answer cannot be read.
        Reply,
        /// Older commands were dropped because the ring was full.
        RingFull,
    }
}

cicadabend_daemon::counters! {
    /// What happened to the daemon in its failure domain.
    pub(crate) enum DomainChange = "domain_changes" {
        /// It became leader.
        LeadershipTaken,
        /// It stopped leading.
        LeadershipLost,
        /// It found that it had been stopped itself.
        OwnPause,
        /// An answer about a claim did not fit into its ring.
        ClaimReplyDropped,
        /// A cache event did not fit into its ring.
        CacheNoticeDropped,
        /// Figures by policy were dropped because no leader took them for too long.
        FiguresDropped,
        /// A group began to take requests.
        GroupAdmitted,
        /// A group ceased to take requests.
        GroupClosed,
    }
}
