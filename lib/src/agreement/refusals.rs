//! The reasons for which a node refuses messages, and their counts.

/// The reason why a message was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// The message was for another disk of this daemon or for another daemon.
    OtherVoter,
    /// The message belongs to an older term, or a pre-vote reply to another candidacy.
    OldTerm,
    /// A vote was refused because a leader's message came less than an election timeout ago.
    LeaderAlive,
    /// A vote was refused because the candidate's log is less up to date.
    OlderLog,
    /// A vote was refused because this node has voted for another candidate in the term.
    AlreadyVoted,
    /// An append reply came from a node that is not a member.
    NotMember,
    /// An append was refused because this node lacks the entry before its first one.
    LogGap,
}

impl Refusal {
    /// All reasons, in the order of the variants.
    pub const ALL: [Refusal; 7] = [
        Refusal::OtherVoter,
        Refusal::OldTerm,
        Refusal::LeaderAlive,
        Refusal::OlderLog,
        Refusal::AlreadyVoted,
        Refusal::NotMember,
        Refusal::LogGap,
    ];
}

/// The number of refused messages for each reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusalCounts {
    counts: [u64; Refusal::ALL.len()],
}

impl RefusalCounts {
    /// Returns the number of messages refused for a reason.
    pub fn of(&self, reason: Refusal) -> u64 {
        self.counts[reason as usize]
    }

    pub(super) fn add(&mut self, reason: Refusal) {
        self.counts[reason as usize] += 1;
    }
}
