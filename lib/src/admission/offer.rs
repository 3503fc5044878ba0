//! What is offered to the queue, and what becomes of it.

use std::time::Duration;

use crate::{
    caller_api::ErrorCode,
    prelude::*, //
};

/// Names one request in the queue; drawn by the caller, never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request that wants to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Its name in the queue.
    pub ticket: Ticket,
    /// What it is for.
    pub service: ServiceName,
    /// Whose it is.
    pub team: TeamName,
    /// RFC 9218 urgency: 0 first, 7 last; compared within the team only.
    pub priority: u8,
    /// When it must have been sent at the latest: the deadline less the expected time
    /// to the first token.
    pub latest_start: Option<Timestamp>,
}

/// What became of an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OfferOutcome {
    /// Whether the offered request waits now, or why not.
    pub accepted: Result<(), Refusal>,
    /// A less valuable request that was given up for it.
    pub shed: Option<(Ticket, Refusal)>,
}

/// Why a request is given up, and when to come back; it has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the same request would be taken, as far as is known.
    pub retry_after: Duration,
}

/// Why a request is given up; closed, so that each has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The team sends more requests a second than its share of its limit.
    OverRate,
    /// The wait measured for its place in the queue is longer than its deadline allows.
    WaitExceedsDeadline,
    /// Its deadline came closer than a run takes while it waited.
    DeadlineReached,
    /// The queue is full of more valuable requests.
    QueueFull,
    /// A more valuable request took its place.
    Shed,
}

impl RefusalReason {
    /// Every reason, for counters.
    pub const ALL: [RefusalReason; 5] = [
        RefusalReason::OverRate,
        RefusalReason::WaitExceedsDeadline,
        RefusalReason::DeadlineReached,
        RefusalReason::QueueFull,
        RefusalReason::Shed,
    ];

    /// Returns the reason as it stands in counters.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::OverRate => "over_rate",
            RefusalReason::WaitExceedsDeadline => "wait_exceeds_deadline",
            RefusalReason::DeadlineReached => "deadline_reached",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::Shed => "shed",
        }
    }

    /// Returns the code that tells the caller.
    pub fn code(self) -> ErrorCode {
        match self {
            RefusalReason::OverRate => ErrorCode::OverLimit,
            RefusalReason::WaitExceedsDeadline | RefusalReason::DeadlineReached => {
                ErrorCode::DeadlineCannotBeMet
            }
            RefusalReason::QueueFull | RefusalReason::Shed => ErrorCode::Overloaded,
        }
    }
}

/// A request that is to be sent now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Started {
    /// Its name in the queue.
    pub ticket: Ticket,
    /// Whose it is.
    pub team: TeamName,
    /// How long it waited.
    pub waited: Duration,
}

/// Bounds of the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionSettings {
    /// The most requests that wait for one service.
    pub queue_capacity: usize,
    /// When to come back where nothing better is known.
    pub default_retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_capacity: 1_024,
            default_retry_after: Duration::from_secs(1),
        }
    }
}
