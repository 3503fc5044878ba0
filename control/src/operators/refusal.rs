//! The refusal of an operator's request: its counter, its HTTP status and the error in its body.

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

/// A refusal that is sent to an operator.
#[derive(Debug)]
pub(super) struct Refusal {
    /// The reason, which selects the counter and the HTTP status.
    pub(super) reason: OperatorRefusal,
    /// The error in the body.
    pub(super) error: OperatorError,
}

impl Refusal {
    /// Returns the refusal of a request that the operator must change or send again later.
    pub(super) fn bad_request(reason: OperatorRefusal, text: impl Into<String>) -> Self {
        Self {
            reason,
            error: OperatorError::BadRequest {
                reason: text.into(),
            },
        }
    }

    /// Returns the refusal of a path or method that does not exist.
    pub(super) fn not_found(method: &http::Method, path: &str) -> Self {
        let text = format!("there is no {method} {path}");
        Self::bad_request(OperatorRefusal::NotFound, text)
    }

    /// Returns the refusal of a body that is larger than the settings allow.
    pub(super) fn too_large() -> Self {
        Self {
            reason: OperatorRefusal::TooLarge,
            error: OperatorError::TooLarge,
        }
    }

    /// Returns the refusal of a request whose token is missing or wrong.
    pub(super) fn unauthorized() -> Self {
        Self {
            reason: OperatorRefusal::Unauthorized,
            error: OperatorError::Unauthorized,
        }
    }

    /// Returns the refusal of a request whose command may or may not have been applied.
    pub(super) fn outcome_unknown() -> Self {
        Self {
            reason: OperatorRefusal::OutcomeUnknown,
            error: OperatorError::OutcomeUnknown,
        }
    }

    /// Returns the refusal for an error of the replicated log.
    ///
    /// `addresses` holds the control daemons' addresses for operators' requests, among them the
    /// leader's.
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
