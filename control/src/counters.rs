//! The counters of the control daemon; each has a closed set of reasons.

cicadabend_daemon::counters! {
    /// Operators' requests that were refused.
    pub(crate) enum OperatorRefusal = "operator_refusals" {
        /// The token is missing or wrong.
        Unauthorized,
        /// The path or the method does not exist.
        NotFound,
        /// The body is not JSON of the type that the path expects.
        Malformed,
        /// The configuration violates the rules for configurations.
        InvalidConfig,
        /// The body is larger than the settings allow.
        TooLarge,
        /// The body ended early or arrived too slowly.
        BodyIncomplete,
        /// The maximum number of concurrent requests was reached, or their bodies take the memory.
        Overloaded,
        /// Another revision was accepted during each attempt to compute the plan.
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
    /// Answers to confirmations, including those to client retries.
    pub(crate) enum ConfirmAnswer = "confirm_answers" {
        /// The plan is accepted.
        Accepted,
        /// Another plan was accepted first.
        Conflict,
        /// No plan with this number is stored.
        UnknownPlan,
        /// The idempotency key was used before to confirm another plan.
        KeyReused,
        /// The plan's effect on the groups is no longer the one that the plan states.
        FleetChanged,
    }
}

cicadabend_daemon::counters! {
    /// Messages from other processes that the thread `inbox` dropped.
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
    /// Messages about the configuration that were sent to entry daemons.
    pub(crate) enum ConfigSent = "config_sent" {
        /// Only the number of the revision.
        Digest,
        /// The changes since the receiver's revision.
        Delta,
        /// The whole configuration.
        Whole,
    }
}

cicadabend_daemon::counters! {
    /// Calls of operators and upstreams that were not granted, by reason.
    pub enum CallRefusal = "call_refusals" {
        /// The body ended early or arrived too slowly.
        BodyIncomplete,
        /// The body is longer than allowed.
        TooLong,
        /// There is no room for the body beside the others that are in memory.
        NoBodyMemory,
        /// The table of routes is invalid.
        Invalid,
        /// The call cannot be parsed.
        Malformed,
        /// The ring to the thread `members` is full.
        RingFull,
        /// The replicated log refused the call, mostly since this daemon is not the leader or no
        /// majority of control daemons answers.
        NoLeader,
    }
}

cicadabend_daemon::counters! {
    /// Commands to engines that got no usable answer and are sent again, by reason.
    pub(crate) enum CommandFailure = "engine_command_failures" {
        /// No connection could be made, or it broke before the answer.
        ConnectionFailed,
        /// The head of the answer is broken.
        HeadBroken,
        /// The answer is longer than engines' answers are.
        AnswerTooLong,
        /// The answer broke off.
        AnswerBroken,
        /// No whole answer came in time.
        TooLate,
    }
}
