//! Why an operator's request is refused: the HTTP status, the error, the counter.

use std::collections::BTreeMap;

use cicadabend::{
    ids::Address,
    operator_api::OperatorError,
    prelude::*, //
};
use http::StatusCode;

use crate::replication::ReplicationError;

/// An error on its way to an operator.
#[derive(Debug)]
pub(super) struct Refusal {
    /// The HTTP status.
    pub(super) status: StatusCode,
    /// The error in the body.
    pub(super) error: OperatorError,
}

impl Refusal {
    /// The request cannot be understood or must not be accepted.
    pub(super) fn bad_request(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            error: OperatorError::BadRequest {
                reason: reason.into(),
            },
        }
    }

    /// The path or the method does not exist.
    pub(super) fn not_found(method: &http::Method, path: &str) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            ..Self::bad_request(format!("there is no {method} {path}"))
        }
    }

    /// The body is larger than the settings allow.
    pub(super) fn too_large() -> Self {
        Self {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            error: OperatorError::TooLarge,
        }
    }

    /// The token is missing or wrong.
    pub(super) fn unauthorized() -> Self {
        Self {
            status: StatusCode::UNAUTHORIZED,
            error: OperatorError::Unauthorized,
        }
    }

    /// The log did not take or apply a command.
    ///
    /// `addresses` say where the leader takes operators' requests.
    pub(super) fn replication(
        error: ReplicationError,
        addresses: &BTreeMap<DaemonId, Address>,
    ) -> Self {
        let (status, error) = match error {
            ReplicationError::NotLeader { leader } => {
                let address = leader.and_then(|leader| addresses.get(&leader));
                let leader = address.map(Address::to_string);
                let error = OperatorError::NotLeader { leader };
                (StatusCode::MISDIRECTED_REQUEST, error)
            }
            ReplicationError::NoQuorum => {
                (StatusCode::SERVICE_UNAVAILABLE, OperatorError::NoQuorum)
            }
            ReplicationError::OutcomeUnknown | ReplicationError::Storage(_) => {
                (StatusCode::BAD_GATEWAY, OperatorError::OutcomeUnknown)
            }
        };
        Self { status, error }
    }
}
