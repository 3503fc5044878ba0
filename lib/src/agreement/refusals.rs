//! Why a node refuses messages, and how often it did.

/// Why a message was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// It is for another disk of this daemon, or for another daemon.
    OtherVoter,
    /// It is of an older term.
    OldTerm,
    /// A vote was refused because a leader was heard lately.
    LeaderAlive,
    /// A vote was refused because the candidate's log is older.
    OlderLog,
    /// A vote was refused because this node has voted for another one in the term.
    AlreadyVoted,
    /// An answer came from a node that is no member.
    NotMember,
    /// An append does not follow this node's log.
    LogGap,
}

impl Refusal {
    /// All reasons, in the order in which they are counted.
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

/// How often each reason occurred.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusalCounts {
    counts: [u64; Refusal::ALL.len()],
}

impl RefusalCounts {
    /// Returns how often a reason occurred.
    pub fn of(&self, reason: Refusal) -> u64 {
        self.counts[reason as usize]
    }

    pub(super) fn add(&mut self, reason: Refusal) {
        self.counts[reason as usize] += 1;
    }
}
