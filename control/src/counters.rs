//! Counters of the control daemon, by closed sets of reasons.

cicadabend_daemon::counters! {
    /// Operators' requests that were refused.
    pub(crate) enum OperatorRefusal = "operator_refusals" {
        /// The token is missing or wrong.
        Unauthorized,
        /// The path or the method does not exist.
        NotFound,
        /// The body is no JSON of the type that the path takes.
        Malformed,
        /// The configuration breaks rules.
        InvalidConfig,
        /// The body is larger than the settings allow.
        TooLarge,
        /// The body broke off or came too slowly.
        BodyIncomplete,
        /// More requests ran than are allowed at once.
        Overloaded,
        /// Other plans were accepted faster than this one could be made.
        PlanOvertaken,
        /// This daemon is not the leader.
        NotLeader,
        /// No majority of control daemons can be reached.
        NoQuorum,
        /// The command may or may not have been applied.
        OutcomeUnknown,
        /// The log could not be written.
        Storage,
    }
}

cicadabend_daemon::counters! {
    /// Answers to confirmations, resends among them.
    pub(crate) enum ConfirmAnswer = "confirm_answers" {
        /// The plan is accepted.
        Accepted,
        /// Another plan was accepted first.
        Conflict,
        /// No plan of this number is kept.
        UnknownPlan,
        /// The key was used to confirm another plan.
        KeyReused,
        /// The fleet no longer fits what the plan told.
        FleetChanged,
    }
}

cicadabend_daemon::counters! {
    /// Messages that the inbox did not hand on.
    pub(crate) enum InboxDrop = "inbox_drops" {
        /// The ring to the thread `agreement` is full.
        AgreementRingFull,
        /// The ring to the thread `spread` is full.
        SpreadRingFull,
        /// The ring to the thread `claims` is full.
        ClaimsRingFull,
        /// The ring to the thread `members` is full.
        MembersRingFull,
        /// No thread of a control daemon handles messages of this kind.
        NotForControl,
    }
}

cicadabend_daemon::counters! {
    /// Configurations sent to entry daemons.
    pub(crate) enum ConfigSent = "config_sent" {
        /// Only the revision's number.
        Digest,
        /// The parts that changed.
        Delta,
        /// All of it.
        Whole,
    }
}

cicadabend_daemon::counters! {
    /// Calls of operators and upstreams that were not granted, by reason.
    pub enum CallRefusal = "call_refusals" {
        /// The body broke off or came too slowly.
        BodyIncomplete,
        /// The table of routes is invalid.
        Invalid,
        /// The call cannot be understood.
        Malformed,
        /// The ring to the thread `members` is full.
        RingFull,
        /// This daemon does not lead, or no majority answers.
        NoLeader,
    }
}
