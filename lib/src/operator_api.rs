//! The API of control daemons for operators: JSON over HTTP.
//!
//! Each request carries `Authorization: Bearer TOKEN`. A control daemon that is
//! not the leader answers 421 with [`OperatorError::NotLeader`].

use std::collections::BTreeMap;

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::{
    fleet::FleetConfig,
    peer_api::DomainReport,
    prelude::*, //
};

/// `POST` of a [`PlanRequest`] returns a [`Plan`].
pub const PATH_PLANS: &str = "/v1/plans";
/// `POST` of a [`ConfirmRequest`] returns a [`ConfirmReply`].
pub const PATH_CONFIRM: &str = "/v1/confirm";
/// `GET` returns a [`FleetStatus`].
pub const PATH_STATUS: &str = "/v1/status";
/// `GET` returns a list of [`HistoryEntry`], newest first.
pub const PATH_HISTORY: &str = "/v1/history";
/// `GET` returns the accepted [`FleetConfig`] with its revision, as [`AcceptedConfig`].
pub const PATH_CONFIG: &str = "/v1/config";
/// `GET` returns a [`PlanProgress`], or `null` before the first plan is accepted.
pub const PATH_PROGRESS: &str = "/v1/progress";
/// `GET` returns the statistics of each service and routing policy, as a list of
/// [`PolicyStatistics`].
pub const PATH_POLICIES: &str = "/v1/policies";

/// An operator's request to plan a configuration; nothing changes until the plan is confirmed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// The complete configuration that the operator wants.
    pub config: FleetConfig,
    /// The operator's name, for the history.
    pub operator: String,
    /// The operator's reason for the change, for the history.
    #[serde(default)]
    pub reason: String,
}

/// The changes that confirming would make.
///
/// A plan is a pure function of the accepted revision, the requested configuration and the
/// reported state of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// The plan's number.
    pub id: PlanId,
    /// The revision that the plan changes; the plan can be confirmed only while this revision is
    /// the accepted one.
    pub base_revision: Revision,
    /// The complete configuration after the plan.
    pub config: FleetConfig,
    /// The operator who requested the plan.
    pub operator: String,
    /// The operator's reason for the plan.
    pub reason: String,
    /// The single changes, in the order in which they are shown.
    pub changes: Vec<PlanChange>,
    /// Totals over all changes.
    pub impact: PlanImpact,
}

/// One change that a plan makes, shown as one line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanChange {
    /// A configuration value changes.
    Value {
        /// The JSON path of the value.
        path: String,
        /// The JSON value before the change; `None` if the plan adds the value.
        before: Option<String>,
        /// The JSON value after the change; `None` if the plan removes the value.
        after: Option<String>,
    },
    /// A group is built.
    StartGroup {
        /// The service that the group serves.
        service: ServiceName,
        /// The failure domain of the group's VMs.
        failure_domain: FailureDomain,
        /// The VMs that the group takes.
        members: Vec<VmId>,
        /// Whether the group spans fabric domains, which makes it slow.
        spans_fabric_domains: bool,
    },
    /// A group stops after its running requests have ended.
    StopGroup {
        /// The group.
        group: GroupId,
        /// The failure domain of the group's VMs.
        failure_domain: FailureDomain,
        /// The VMs that the group frees.
        members: Vec<VmId>,
        /// The number of requests that ran on the group when the plan was made.
        running_requests: u32,
    },
    /// Groups that the configuration demands cannot be built now.
    MissingCapacity {
        /// The service that the groups would serve.
        service: ServiceName,
        /// The failure domain that lacks capacity.
        failure_domain: FailureDomain,
        /// The number of groups that cannot be built.
        groups: u32,
        /// The reason for which the groups cannot be built.
        reason: String,
    },
}

/// Totals over all changes of a plan.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanImpact {
    /// The number of groups that are built.
    pub groups_started: u32,
    /// The number of groups that stop.
    pub groups_stopped: u32,
    /// The number of requests that ran on the stopping groups when the plan was made.
    pub requests_touched: u32,
    /// The number of accelerators on VMs that start, stop or move.
    pub accelerators_touched: Accelerators,
    /// The time in milliseconds that the plan takes by the cost model.
    pub expected_duration_ms: u64,
}

/// An operator's confirmation of a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmRequest {
    /// The plan.
    pub plan: PlanId,
    /// The key that all client retries of one confirmation share.
    pub idempotency_key: IdempotencyKey,
}

/// The answer to a confirmation; a client retry gets the first answer again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfirmReply {
    /// The plan's configuration is accepted.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// Another plan was accepted first.
    Conflict {
        /// The first plan that was accepted after the refused plan's base revision.
        winner: PlanId,
        /// The operator who confirmed that plan.
        winner_operator: String,
        /// The accepted revision now.
        revision: Revision,
        /// The JSON paths of the values that changed since the refused plan was made.
        changed_paths: Vec<String>,
    },
    /// No plan of this number is stored.
    UnknownPlan,
    /// The idempotency key was already used to confirm another plan; nothing was changed.
    KeyReused {
        /// The plan that the key confirmed first.
        first_plan: PlanId,
    },
    /// The plan would now change groups in another way than it listed; nothing was changed.
    FleetChanged {
        /// The changes that the same configuration would make now.
        changes_now: Vec<PlanChange>,
    },
}

/// The accepted configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedConfig {
    /// The configuration's revision.
    pub revision: Revision,
    /// The configuration.
    pub config: FleetConfig,
}

/// The progress of the last accepted plan.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlanProgress {
    /// The plan.
    pub plan: PlanId,
    /// The revision that the plan was accepted as.
    pub revision: Revision,
    /// The plan's state, by its name in the state chart of plans.
    pub state: String,
    /// Whether every reachable daemon has applied the revision.
    pub in_force: bool,
    /// Daemons that have not applied the revision, each with the revision that it last
    /// acknowledged.
    pub lagging: BTreeMap<DaemonId, Revision>,
    /// Daemons from which no recent message has arrived.
    pub unreachable: Vec<DaemonId>,
    /// Changes of groups that are still to be made, by the failure domains' last reports.
    pub remaining: Vec<PlanChange>,
    /// Groups that the failure domains report but that do not take requests now.
    pub not_serving: Vec<GroupId>,
}

/// One accepted revision in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The revision's number.
    pub revision: Revision,
    /// The plan that was accepted as this revision.
    pub plan: PlanId,
    /// The operator who confirmed the plan.
    pub operator: String,
    /// The operator's reason for the plan.
    pub reason: String,
    /// The time of acceptance, in seconds since 1970, by the leader's wall clock.
    pub accepted_at_unix_s: u64,
    /// The JSON paths of the values that changed.
    pub changed_paths: Vec<String>,
}

/// The state of the fleet as the control leader knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetStatus {
    /// The control daemon that answers; the leader.
    pub leader: DaemonId,
    /// The leader's term in the agreement.
    pub term: u64,
    /// The accepted revision.
    pub revision: Revision,
    /// Whether every reachable daemon has applied the revision.
    pub in_force: bool,
    /// Daemons that have not applied the revision, each with the revision that it last
    /// acknowledged.
    pub lagging: BTreeMap<DaemonId, Revision>,
    /// Daemons from which no recent message has arrived.
    pub unreachable: Vec<DaemonId>,
    /// The last report of each failure domain with the report's age.
    pub domains: Vec<DomainStatus>,
}

/// The last report of one failure domain that the control leader received.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainStatus {
    /// The time since the report arrived, in milliseconds.
    pub age_ms: u64,
    /// The report.
    pub report: DomainReport,
}

/// Statistics of one routing policy for one service since the policy came into force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicyStatistics {
    /// The service.
    pub service: ServiceName,
    /// The policy.
    pub policy: crate::fleet::RoutingPolicy,
    /// The number of requests for which the policy chose the replica.
    pub requests: u64,
    /// The number of these requests that failed.
    pub failures: u64,
    /// The median time to the first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: f64,
    /// The mean time to the first token, in milliseconds.
    pub first_token_mean_ms: f64,
    /// Half the width of that mean's 95 % confidence interval, in milliseconds.
    pub first_token_mean_ci_ms: f64,
    /// The 95th percentile of the time between tokens, in milliseconds.
    pub between_tokens_p95_ms: f64,
    /// The share of requests whose prompt prefix was cached at the replica, in percent.
    pub cache_hit_percent: f64,
}

/// The reason for which a control daemon refused an operator's request.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorError {
    /// the operator token is missing or wrong
    Unauthorized,
    /// this control daemon is not the leader
    NotLeader {
        /// The address at which the leader takes operators' requests, if known.
        leader: Option<String>,
    },
    /// no majority of control daemons can be reached; nothing was changed
    NoQuorum,
    /// the outcome is not known; send the same request again with the same idempotency key
    OutcomeUnknown,
    /// the request is malformed: {reason}
    BadRequest {
        /// The faults in the request, with JSON paths.
        reason: String,
    },
    /// the request is larger than the limit
    TooLarge,
}
