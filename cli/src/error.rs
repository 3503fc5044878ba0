//! Errors of commands, with hints and exit codes.

use std::io;

use cicadabend::{
    operator_api::OperatorError,
    prelude::*, //
};
use cicadabend_daemon::{
    settings::SettingsError,
    storage::StorageError, //
};
use displaydoc::Display;
use thiserror::Error;

/// The command succeeded.
pub const EXIT_OK: u8 = 0;
/// The control daemons refused the request, or the command failed otherwise.
pub const EXIT_FAILED: u8 = 1;
/// The command line is not valid.
pub const EXIT_USAGE: u8 = 2;
/// The settings, the intent or the data folder are not valid.
pub const EXIT_SETTINGS: u8 = 3;
/// The plan no longer fits the current revision.
pub const EXIT_CONFLICT: u8 = 4;
/// The operator token is missing or wrong.
pub const EXIT_UNAUTHORIZED: u8 = 5;
/// No control daemon or no majority of them can be reached; nothing was changed.
pub const EXIT_UNREACHABLE: u8 = 6;
/// The change may or may not have been made.
pub const EXIT_OUTCOME_UNKNOWN: u8 = 7;
/// `watch` ended before the revision was in force everywhere and its groups served.
pub const EXIT_NOT_IN_FORCE: u8 = 8;

/// The reason for which a command failed.
#[derive(Debug, Display, Error)]
pub enum CommandError {
    /// the option --{option} is missing
    MissingOption {
        /// The option's name.
        option: &'static str,
    },
    /// --{option}: {found:?} is not allowed; {allowed}
    WrongOption {
        /// The option's name.
        option: &'static str,
        /// The option's value.
        found: String,
        /// The values that are allowed, as a text.
        allowed: String,
    },
    /// {path}: {source}
    File {
        /// The file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// {path} exists already
    Exists {
        /// The file.
        path: String,
    },
    /// {path}: {source}
    Settings {
        /// The file.
        path: String,
        /// The faults in the file.
        source: SettingsError,
    },
    /// the token file {path} holds no token
    NoToken {
        /// The file.
        path: String,
    },
    /// {0}
    Refused(OperatorError),
    /// no control daemon answered; tried {tried}
    Unreachable {
        /// The addresses, each with the result of the last attempt.
        tried: String,
    },
    /// none of the control daemons is the leader now; tried {tried}
    NoLeader {
        /// The addresses, each with the result of the last attempt.
        tried: String,
    },
    /// the answer was lost, so the outcome of the confirmation is not known
    OutcomeUnknown {
        /// The key that a retry must use.
        idempotency_key: IdempotencyKey,
        /// The plan.
        plan: PlanId,
    },
    /// {address} answered, but not like a control daemon: {reason}
    InvalidAnswer {
        /// The address that answered.
        address: String,
        /// The fault in the answer.
        reason: String,
    },
    /// plan {plan} no longer fits: plan {winner} of {winner_operator} was accepted first
    Conflict {
        /// The refused plan.
        plan: PlanId,
        /// The plan that was accepted instead.
        winner: PlanId,
        /// The operator who confirmed that plan.
        winner_operator: String,
        /// The accepted revision now.
        revision: Revision,
    },
    /// plan {plan} no longer fits: the fleet has changed since it was made
    FleetChanged {
        /// The refused plan.
        plan: PlanId,
    },
    /// the change was made from revision {expected}, but the revision is {found} now
    BaseChanged {
        /// The revision that the configuration was taken from.
        expected: Revision,
        /// The accepted revision now.
        found: Revision,
    },
    /// this idempotency key was used to confirm plan {first_plan}
    KeyReused {
        /// The plan that the key confirmed first.
        first_plan: PlanId,
    },
    /// no plan {plan} is stored
    UnknownPlan {
        /// The plan's number.
        plan: PlanId,
    },
    /// no service {service} is configured
    UnknownService {
        /// The service's name.
        service: ServiceName,
    },
    /// {vm} is not drained
    NotDrained {
        /// The VM.
        vm: VmId,
    },
    /// {vm} is drained already
    Drained {
        /// The VM.
        vm: VmId,
    },
    /// revision {revision} was not in force everywhere after {waited_ms} ms
    NotInForce {
        /// The revision that `watch` waited for.
        revision: Revision,
        /// The time that `watch` waited, in milliseconds.
        waited_ms: u64,
    },
    /// no plan was accepted within {waited_ms} ms
    NoRevision {
        /// The time that `watch` waited, in milliseconds.
        waited_ms: u64,
    },
    /// revision {revision} is in force, but its groups did not all serve after {waited_ms} ms
    GroupsUnfinished {
        /// The revision.
        revision: Revision,
        /// The time that `watch` waited, in milliseconds.
        waited_ms: u64,
    },
    /// the data folder is damaged or cannot be read: {0}
    Storage(StorageError),
    /// cannot start: {0}
    Runtime(io::Error),
}

impl CommandError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::MissingOption { .. } | Self::WrongOption { .. } => EXIT_USAGE,
            Self::File { .. }
            | Self::Exists { .. }
            | Self::Settings { .. }
            | Self::NoToken { .. }
            | Self::Storage(_) => EXIT_SETTINGS,
            Self::Refused(OperatorError::Unauthorized) => EXIT_UNAUTHORIZED,
            Self::Refused(OperatorError::NoQuorum)
            | Self::Unreachable { .. }
            | Self::NoLeader { .. } => EXIT_UNREACHABLE,
            Self::Refused(OperatorError::OutcomeUnknown) | Self::OutcomeUnknown { .. } => {
                EXIT_OUTCOME_UNKNOWN
            }
            Self::Conflict { .. } | Self::FleetChanged { .. } | Self::BaseChanged { .. } => {
                EXIT_CONFLICT
            }
            Self::NotInForce { .. } | Self::NoRevision { .. } | Self::GroupsUnfinished { .. } => {
                EXIT_NOT_IN_FORCE
            }
            Self::Refused(_)
            | Self::InvalidAnswer { .. }
            | Self::UnknownPlan { .. }
            | Self::KeyReused { .. }
            | Self::UnknownService { .. }
            | Self::NotDrained { .. }
            | Self::Drained { .. }
            | Self::Runtime(_) => EXIT_FAILED,
        }
    }

    /// Returns what the operator can do next.
    pub fn hint(&self) -> Option<String> {
        let hint = match self {
            Self::MissingOption { option } => {
                format!("give --{option}, or --config FILE with a file that holds it")
            }
            Self::NoToken { .. } => {
                "put the token alone on the first line; it is the second word of your line in \
                 the control daemons' token file"
                    .to_owned()
            }
            Self::Refused(OperatorError::Unauthorized) => {
                "compare --token-file with the file at operators.token_file of the control daemons"
                    .to_owned()
            }
            Self::Refused(OperatorError::NoQuorum) => {
                "failure domains continue to serve; find out which control daemons \
                 are down, then retry"
                    .to_owned()
            }
            Self::Unreachable { .. } => {
                "check the addresses of --control and that control daemons run there".to_owned()
            }
            Self::NoLeader { .. } => {
                "an election takes a second or two; retry, and give the addresses of all control \
                 daemons to --control"
                    .to_owned()
            }
            Self::OutcomeUnknown {
                idempotency_key,
                plan,
            } => format!(
                "retry with `cicadabend confirm {plan} --idempotency-key {idempotency_key}`"
            ),
            Self::Conflict { revision, .. } => {
                format!("run `cicadabend apply` again for a plan on revision {revision}")
            }
            Self::FleetChanged { .. } => {
                "nothing was changed; run `cicadabend apply` again for a plan on the fleet as it is"
                    .to_owned()
            }
            Self::BaseChanged { .. } => {
                "nothing was changed; `cicadabend history` shows what came between, \
                 `cicadabend config` the configuration to start from"
                    .to_owned()
            }
            Self::KeyReused { .. } => {
                "omit --idempotency-key; a new key is generated for a new confirmation".to_owned()
            }
            Self::UnknownPlan { .. } => {
                "plans are stored for a limited time; run `cicadabend apply` again".to_owned()
            }
            Self::UnknownService { .. } => "`cicadabend config` shows all services".to_owned(),
            Self::NotDrained { .. } | Self::Drained { .. } => {
                "`cicadabend config` shows the drained VMs under drained_vms".to_owned()
            }
            Self::NotInForce { .. } => {
                "`cicadabend status` lists the daemons that have not applied it".to_owned()
            }
            Self::NoRevision { .. } => {
                "`cicadabend apply` makes a plan, `cicadabend confirm` puts it in force".to_owned()
            }
            Self::GroupsUnfinished { .. } => {
                "`cicadabend status` shows each group and VM with its state".to_owned()
            }
            Self::Storage(StorageError::FolderInUse { .. }) => {
                "stop the control daemon first, or verify a copy of the folder".to_owned()
            }
            Self::Exists { .. } => "give a folder that is empty or does not exist".to_owned(),
            _ => return None,
        };
        Some(hint)
    }
}
