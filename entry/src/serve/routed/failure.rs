//! Why an attempt got no response, and whether the upstream may have run the request.

use displaydoc::Display;
use http::StatusCode;
use thiserror::Error;

use super::{
    super::upstream::AttemptError,
    counts::RoutedRetry, //
};

/// Why an attempt got no response that can be passed on.
#[derive(Debug, Display, Error)]
pub(super) enum Failure {
    /// {0}
    NotConnected(AttemptError),
    /// the upstream did not run it ({status}), at fault: {at_fault}
    NotStarted {
        status: StatusCode,
        at_fault: String,
    },
    /// not sent: the upstream {0}
    NotAdmitted(&'static str),
    /// {0}
    Broken(String),
    /// the upstream failed with status {0}
    Status(StatusCode),
    /// the deadline passed
    DeadlinePassed { is_written: bool },
}

impl Failure {
    /// Returns whether any of the request may have arrived at the upstream.
    pub(super) fn is_sent(&self) -> bool {
        !matches!(
            self,
            Failure::NotConnected(_)
                | Failure::NotAdmitted(_)
                | Failure::DeadlinePassed { is_written: false }
        )
    }

    /// Returns whether the upstream may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Failure::NotConnected(_)
            | Failure::NotAdmitted(_)
            | Failure::NotStarted { .. }
            | Failure::DeadlinePassed { is_written: false } => false,
            Failure::Broken(_)
            | Failure::Status(_)
            | Failure::DeadlinePassed { is_written: true } => true,
        }
    }
}

impl Failure {
    /// Returns the reason under which a retry after this failure is counted.
    pub(super) fn retry_reason(&self) -> RoutedRetry {
        match self {
            Failure::NotConnected(_) => RoutedRetry::NotConnected,
            Failure::NotAdmitted(_) => RoutedRetry::NotAdmitted,
            Failure::NotStarted { .. } => RoutedRetry::NotStarted,
            Failure::Broken(_) | Failure::Status(_) | Failure::DeadlinePassed { .. } => {
                RoutedRetry::Failed
            }
        }
    }
}

impl From<AttemptError> for Failure {
    fn from(error: AttemptError) -> Self {
        match error {
            AttemptError::NotConnected { .. } | AttemptError::NothingWritten { .. } => {
                Failure::NotConnected(error)
            }
            AttemptError::Broken { .. } | AttemptError::BrokenHead { .. } => {
                Failure::Broken(error.to_string())
            }
        }
    }
}
