//! Why an operator's request is refused: the HTTP status, the error, the counter.

use std::collections::BTreeMap;

use cicadabend::{
    ids::Address,
    operator_api::OperatorError,
    prelude::*, //
};
use http::StatusCode;

use crate::{
    counters::OperatorRefusal,
    replication::ReplicationError, //
};

/// An error on its way to an operator.
#[derive(Debug)]
pub(super) struct Refusal {
    /// Why, for the counter; it decides the HTTP status.
    pub(super) reason: OperatorRefusal,
    /// The error in the body.
    pub(super) error: OperatorError,
}

impl Refusal {
    /// The request must not be accepted as it is.
    pub(super) fn bad_request(reason: OperatorRefusal, text: impl Into<String>) -> Self {
        Self {
            reason,
            error: OperatorError::BadRequest {
                reason: text.into(),
            },
        }
    }

    /// The path or the method does not exist.
    pub(super) fn not_found(method: &http::Method, path: &str) -> Self {
        let text = format!("there is no {method} {path}");
        Self::bad_request(OperatorRefusal::NotFound, text)
    }

    /// The body is larger than the settings allow.
    pub(super) fn too_large() -> Self {
        Self {
            reason: OperatorRefusal::TooLarge,
            error: OperatorError::TooLarge,
        }
    }

    /// The token is missing or wrong.
    pub(super) fn unauthorized() -> Self {
        Self {
            reason: OperatorRefusal::Unauthorized,
            error: OperatorError::Unauthorized,
        }
    }

    /// The command may or may not have been applied.
    pub(super) fn outcome_unknown() -> Self {
        Self {
            reason: OperatorRefusal::OutcomeUnknown,
            error: OperatorError::OutcomeUnknown,
        }
    }

    /// The log did not take or apply a command.
    ///
    /// `addresses` say where the leader takes operators' requests.
    pub(super) fn replication(
        error: ReplicationError,
        addresses: &BTreeMap<DaemonId, Address>,
    ) -> Self {
        match error {
            ReplicationError::NotLeader { leader } => {
                let address = leader.and_then(|leader| addresses.get(&leader));
                Self {
                    reason: OperatorRefusal::NotLeader,
                    error: OperatorError::NotLeader {
                        leader: address.map(Address::to_string),
                    },
                }
            }
            ReplicationError::NoQuorum => Self {
                reason: OperatorRefusal::NoQuorum,
                error: OperatorError::NoQuorum,
            },
            ReplicationError::OutcomeUnknown => Self::outcome_unknown(),
            // A record whose sync failed may still be on the disk after a restart.
            ReplicationError::Storage(_) => Self {
                reason: OperatorRefusal::Storage,
                error: OperatorError::OutcomeUnknown,
            },
        }
    }

    /// Returns the HTTP status.
    pub(super) fn status(&self) -> StatusCode {
        match self.reason {
            OperatorRefusal::Malformed | OperatorRefusal::InvalidConfig => StatusCode::BAD_REQUEST,
            OperatorRefusal::Unauthorized => StatusCode::UNAUTHORIZED,
            OperatorRefusal::NotFound => StatusCode::NOT_FOUND,
            OperatorRefusal::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            OperatorRefusal::PlanOvertaken => StatusCode::CONFLICT,
            OperatorRefusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            OperatorRefusal::NotLeader => StatusCode::MISDIRECTED_REQUEST,
            OperatorRefusal::Overloaded | OperatorRefusal::NoQuorum => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            OperatorRefusal::OutcomeUnknown | OperatorRefusal::Storage => StatusCode::BAD_GATEWAY,
        }
    }
}
