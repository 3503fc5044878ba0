//! What an entry daemon is told to do about its attempts, and why some do not run.

use std::{
    fmt,
    time::Duration, //
};

use crate::{
    caller_api::ErrorCode,
    peer_api::{
        ClaimRequest,
        ClaimVerdict,
        StoredOutcome, //
    },
    prelude::*,
};

/// How long an entry daemon waits for claim replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimTiming {
    /// How long answers to `Acquire` are waited for.
    pub acquire_timeout: Duration,
    /// How long after its beginning a granted attempt may still be sent; far below the
    /// replicas' retention.
    pub start_within: Duration,
    /// After which silence a question is sent again; doubled each time.
    pub resend_after: Duration,
    /// After which outcomes and releases that no majority has are sent again only this often.
    pub settle_slowly_after: Duration,
    /// The middle of the time after which a refused caller should come back.
    pub retry_after: Duration,
}

impl Default for ClaimTiming {
    fn default() -> Self {
        Self {
            acquire_timeout: Duration::from_millis(1_000),
            start_within: Duration::from_secs(30),
            resend_after: Duration::from_millis(200),
            settle_slowly_after: Duration::from_secs(30),
            retry_after: Duration::from_millis(500),
        }
    }
}

/// What is to be done about an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutput {
    /// Send this to a control daemon.
    Send {
        /// The control daemon.
        to: DaemonId,
        /// The message.
        request: ClaimRequest,
    },
    /// The attempt may run now; afterwards it is completed or released.
    Granted {
        /// The attempt's number.
        attempt: u64,
    },
    /// What became of the attempt is on disk at a majority, for good.
    Settled {
        /// The attempt's number.
        attempt: u64,
    },
    /// The attempt does not run.
    Refused {
        /// The attempt's number.
        attempt: u64,
        /// Why.
        refusal: ClaimRefusal,
        /// What each voter had said by then.
        answers: Vec<VoterAnswer>,
    },
}

/// What a voter had said of an attempt when it was refused, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterAnswer {
    /// Who.
    pub voter: DaemonId,
    /// What it said; `None` if it was silent.
    pub verdict: Option<ClaimVerdict>,
}

impl fmt::Display for VoterAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let voter = &self.voter;
        match &self.verdict {
            None => write!(f, "{voter}: silent"),
            Some(ClaimVerdict::Held) => write!(f, "{voter}: held for this attempt"),
            Some(ClaimVerdict::HeldByOther { holder, .. }) => {
                write!(f, "{voter}: held by {holder}")
            }
            Some(ClaimVerdict::Completed { .. }) => write!(f, "{voter}: completed"),
            Some(ClaimVerdict::Recorded) => write!(f, "{voter}: recorded"),
            Some(ClaimVerdict::Unavailable) => write!(f, "{voter}: unavailable"),
            Some(ClaimVerdict::VotersChanged(voters)) => {
                write!(f, "{voter}: voters changed to number {}", voters.number)
            }
            Some(ClaimVerdict::Report(report)) => match &report.holder {
                Some(holder) => write!(f, "{voter}: held by {holder}"),
                None => write!(f, "{voter}: free"),
            },
        }
    }
}

/// Why an attempt does not run; closed, so that each has a counter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// An earlier sending ran; its outcome is the answer.
    AlreadyCompleted(StoredOutcome),
    /// An earlier sending is running, as far as is known.
    InProgress {
        /// When to ask again.
        retry_after: Duration,
    },
    /// An earlier sending may have run, and the daemon that sent it is gone.
    OutcomeUnknown,
    /// The key was used for a different request.
    KeyReused,
    /// Several sendings claimed the key at once and took each other's majority: this
    /// one did not run.
    Contended {
        /// When to send again, different for each of them.
        retry_after: Duration,
    },
    /// No majority could be reached: this sending did not run, and nothing was found
    /// out about earlier ones.
    NoMajority {
        /// When to send again.
        retry_after: Duration,
    },
}

impl ClaimRefusal {
    /// The names of all refusals, for counters.
    pub const NAMES: [&'static str; 6] = [
        "already_completed",
        "in_progress",
        "outcome_unknown",
        "key_reused",
        "contended",
        "no_majority",
    ];

    /// Returns the refusal as it stands in counters.
    pub fn name(&self) -> &'static str {
        match self {
            ClaimRefusal::AlreadyCompleted(_) => "already_completed",
            ClaimRefusal::InProgress { .. } => "in_progress",
            ClaimRefusal::OutcomeUnknown => "outcome_unknown",
            ClaimRefusal::KeyReused => "key_reused",
            ClaimRefusal::Contended { .. } => "contended",
            ClaimRefusal::NoMajority { .. } => "no_majority",
        }
    }

    /// Returns the code that tells the caller; `None` where the first outcome does.
    pub fn code(&self) -> Option<ErrorCode> {
        match self {
            ClaimRefusal::AlreadyCompleted(_) => None,
            ClaimRefusal::InProgress { .. } => Some(ErrorCode::InProgress),
            ClaimRefusal::OutcomeUnknown => Some(ErrorCode::OutcomeUnknown),
            ClaimRefusal::KeyReused => Some(ErrorCode::KeyReused),
            ClaimRefusal::Contended { .. } | ClaimRefusal::NoMajority { .. } => {
                Some(ErrorCode::NotRun)
            }
        }
    }

    /// Returns when the caller should come back, if that helps.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            ClaimRefusal::InProgress { retry_after }
            | ClaimRefusal::Contended { retry_after }
            | ClaimRefusal::NoMajority { retry_after } => Some(*retry_after),
            ClaimRefusal::AlreadyCompleted(_)
            | ClaimRefusal::OutcomeUnknown
            | ClaimRefusal::KeyReused => None,
        }
    }
}
