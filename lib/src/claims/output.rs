//! The outputs of a claim coordinator: messages to send, decisions, and reasons for refusals.

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

/// Timeouts and retransmit intervals of an entry daemon's claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimTiming {
    /// The longest wait for answers to `Probe` and `Acquire` together, from the attempt's
    /// beginning.
    pub acquire_timeout: Duration,
    /// The time from its beginning during which a granted attempt may be sent to an upstream;
    /// far below the replicas' retention, so that no replica has forgotten the claim by then.
    pub start_within: Duration,
    /// The time without an answer after which a request is retransmitted; it doubles with each
    /// retransmit, up to 32 times this value.
    pub retransmit_after: Duration,
    /// The age from which an outcome or release that no majority has recorded is retransmitted
    /// slowly, and the interval of these retransmits.
    pub slow_retransmit_interval: Duration,
    /// The mean of the random delay after which a refused caller should retry.
    pub retry_after: Duration,
}

impl Default for ClaimTiming {
    fn default() -> Self {
        Self {
            acquire_timeout: Duration::from_millis(1_000),
            start_within: Duration::from_secs(30),
            retransmit_after: Duration::from_millis(200),
            slow_retransmit_interval: Duration::from_secs(30),
            retry_after: Duration::from_millis(500),
        }
    }
}

/// An instruction from the claim coordinator to its entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutput {
    /// Send a request to a control daemon.
    Send {
        /// The control daemon that gets the request.
        to: DaemonId,
        /// The request to send.
        request: ClaimRequest,
    },
    /// The attempt may run now; the entry daemon completes or releases it afterwards.
    Granted {
        /// The attempt's number, as returned when it began.
        attempt: u64,
    },
    /// A majority has the attempt's outcome or release on disk, so that it is final.
    Settled {
        /// The attempt's number, as returned when it began.
        attempt: u64,
    },
    /// The attempt must not run.
    Refused {
        /// The attempt's number, as returned when it began.
        attempt: u64,
        /// The reason, which decides what the caller is answered.
        refusal: ClaimRefusal,
        /// The answer of each voter up to the refusal, for logs.
        answers: Vec<VoterAnswer>,
    },
}

/// A voter's answer by the time an attempt was refused, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterAnswer {
    /// The control daemon that was asked.
    pub voter: DaemonId,
    /// The voter's answer; `None` if no answer came.
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

/// The reason why an attempt does not run. The enum is exhaustive, so that each reason has a
/// counter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// An earlier request with this key ran; the caller gets its stored outcome.
    AlreadyCompleted(StoredOutcome),
    /// An earlier request with this key holds the claim and, as far as is known, is running.
    InProgress {
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
    /// An earlier request with this key may have run, and the daemon that sent it is dead.
    OutcomeUnknown,
    /// The key was used before for a request with other content.
    KeyReused,
    /// Several attempts claimed the key at once and none got a majority; this attempt did
    /// not run.
    Contended {
        /// The time after which the caller should retry; it differs between the attempts.
        retry_after: Duration,
    },
    /// No majority could be reached; this attempt did not run, and nothing is known about
    /// earlier requests with this key.
    NoMajority {
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
}

impl ClaimRefusal {
    /// The names of all refusals, as counters show them.
    pub const NAMES: [&'static str; 6] = [
        "already_completed",
        "in_progress",
        "outcome_unknown",
        "key_reused",
        "contended",
        "no_majority",
    ];

    /// Returns the refusal's name, as counters show it.
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

    /// Returns the error code for the caller; `None` if the caller gets the stored outcome.
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

    /// Returns the time after which the caller should retry; `None` if a retry cannot help.
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
