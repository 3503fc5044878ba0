//! Requests offered to the admission queue, outcomes of offers, and reasons for refusals.

use std::time::Duration;

use crate::{
    caller_api::ErrorCode,
    prelude::*, //
};

/// Identifies one request in the queue; assigned by the code that offers the request, never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request offered to the admission queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Identifies the request in later calls.
    pub ticket: Ticket,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Team that sent the request.
    pub team: TeamName,
    /// RFC 9218 urgency, 0 (first) to 7 (last); compared only with requests of the same team.
    pub priority: u8,
    /// Latest time at which the request must be sent: the deadline less the expected time
    /// to the first token. `None` without a deadline.
    pub latest_start: Option<Timestamp>,
}

/// Outcome of an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OfferOutcome {
    /// `Ok` if the offered request now waits in the queue.
    pub accepted: Result<(), Refusal>,
    /// Waiting request that was removed to make room for the offered one.
    pub shed: Option<(Ticket, Refusal)>,
}

/// Refusal of a request that has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// Time after which the same request would probably be accepted.
    pub retry_after: Duration,
}

/// Cause of a refusal; a closed set, so that each cause has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The team sends more requests per second than this daemon's share of its limit, or is not
    /// configured.
    OverRate,
    /// The expected wait at the request's queue position is longer than its deadline allows.
    WaitExceedsDeadline,
    /// The latest start time passed while the request waited.
    DeadlineReached,
    /// The queue is full, and no waiting request ranks below this one.
    QueueFull,
    /// The request was removed from the full queue in favour of one that ranks higher.
    Shed,
}

impl RefusalReason {
    /// All reasons; a counter is registered for each.
    pub const ALL: [RefusalReason; 5] = [
        RefusalReason::OverRate,
        RefusalReason::WaitExceedsDeadline,
        RefusalReason::DeadlineReached,
        RefusalReason::QueueFull,
        RefusalReason::Shed,
    ];

    /// Returns the reason's label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::OverRate => "over_rate",
            RefusalReason::WaitExceedsDeadline => "wait_exceeds_deadline",
            RefusalReason::DeadlineReached => "deadline_reached",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::Shed => "shed",
        }
    }

    /// Returns the error code that is sent to the caller.
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

/// A request that left the queue and is to be sent now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Started {
    /// Identifies the request; passed to `AdmissionQueue::ended` when the request ends.
    pub ticket: Ticket,
    /// Team that sent the request.
    pub team: TeamName,
    /// Time that the request waited in the queue.
    pub waited: Duration,
}

/// Settings of the admission queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionSettings {
    /// Largest number of requests that wait for one service.
    pub queue_capacity: usize,
    /// Retry delay sent to the caller when no better estimate is available.
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
