//! What operators send to control daemons and get back; JSON over HTTP.
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

/// `POST` a [`PlanRequest`], get a [`Plan`].
pub const PATH_PLANS: &str = "/v1/plans";
/// `POST` a [`ConfirmRequest`], get a [`ConfirmReply`].
pub const PATH_CONFIRM: &str = "/v1/confirm";
/// `GET` a [`FleetStatus`].
pub const PATH_STATUS: &str = "/v1/status";
/// `GET` a list of [`HistoryEntry`], newest first.
pub const PATH_HISTORY: &str = "/v1/history";
/// `GET` the accepted [`FleetConfig`] with its revision, as [`AcceptedConfig`].
pub const PATH_CONFIG: &str = "/v1/config";
/// `GET` a [`PlanProgress`], or `null` before the first plan is accepted.
pub const PATH_PROGRESS: &str = "/v1/progress";
/// `GET` figures by service and policy, as a list of [`PolicyStatistics`].
pub const PATH_POLICIES: &str = "/v1/policies";

/// An operator's wish, before anything happens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// The whole configuration wanted.
    pub config: FleetConfig,
    /// Who asks, for the history.
    pub operator: String,
    /// Why, for the history.
    #[serde(default)]
    pub reason: String,
}

/// What confirming would change; a pure function of revision, wish and observed fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Its number.
    pub id: PlanId,
    /// The revision it starts from; it can be confirmed only on this one.
    pub base_revision: Revision,
    /// The whole configuration it leads to.
    pub config: FleetConfig,
    /// Who asked.
    pub operator: String,
    /// Why.
    pub reason: String,
    /// What changes, in the order in which people should read it.
    pub changes: Vec<PlanChange>,
    /// Totals over all changes.
    pub impact: PlanImpact,
}

/// One line of a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanChange {
    /// A configuration value changes.
    Value {
        /// Where, as a JSON path.
        path: String,
        /// The JSON before, if there was one.
        before: Option<String>,
        /// The JSON after, if there is one.
        after: Option<String>,
    },
    /// A group is built.
    StartGroup {
        /// The service it is for.
        service: ServiceName,
        /// Where.
        failure_domain: FailureDomain,
        /// The VMs it takes.
        members: Vec<VmId>,
        /// Whether it spans fabric domains, which makes it slow.
        spans_fabric_domains: bool,
    },
    /// A group stops after its running requests have ended.
    StopGroup {
        /// The group.
        group: GroupId,
        /// Where.
        failure_domain: FailureDomain,
        /// The VMs it frees.
        members: Vec<VmId>,
        /// Requests running on it when the plan was made.
        running_requests: u32,
    },
    /// A group that is wanted cannot be built now.
    MissingCapacity {
        /// The service it is for.
        service: ServiceName,
        /// Where.
        failure_domain: FailureDomain,
        /// How many groups are short.
        groups: u32,
        /// Why.
        reason: String,
    },
}

/// Totals of a plan.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanImpact {
    /// Groups that are built.
    pub groups_started: u32,
    /// Groups that stop.
    pub groups_stopped: u32,
    /// Requests running on groups that stop.
    pub requests_touched: u32,
    /// Accelerators of VMs that start, stop or move.
    pub accelerators_touched: Accelerators,
    /// How long it should take, by the cost model.
    pub expected_duration_ms: u64,
}

/// An operator's yes to a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmRequest {
    /// The plan.
    pub plan: PlanId,
    /// The same for each resend of one confirmation.
    pub idempotency_key: IdempotencyKey,
}

/// The answer to a confirmation; a resend gets the first one again.
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
        /// The plan that won.
        winner: PlanId,
        /// Who confirmed it.
        winner_operator: String,
        /// The revision now.
        revision: Revision,
        /// What has changed since the refused plan was made.
        changed_paths: Vec<String>,
    },
    /// No plan of this number is kept.
    UnknownPlan,
    /// The idempotency key was already used to confirm another plan; nothing was changed.
    KeyReused {
        /// The plan it was first used for.
        first_plan: PlanId,
    },
    /// What the plan would do to groups differs from what it said; nothing was changed.
    FleetChanged {
        /// What the same configuration would change now.
        changes_now: Vec<PlanChange>,
    },
}

/// The accepted configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedConfig {
    /// Its number.
    pub revision: Revision,
    /// The configuration.
    pub config: FleetConfig,
}

/// How far the last accepted plan has come.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlanProgress {
    /// The plan.
    pub plan: PlanId,
    /// The revision it became.
    pub revision: Revision,
    /// Where it stands, by the name in the plan's state chart.
    pub state: String,
    /// Whether every reachable daemon has applied it.
    pub in_force: bool,
    /// Daemons that have not applied it, with the revision they last acknowledged.
    pub lagging: BTreeMap<DaemonId, Revision>,
    /// Daemons that have not been heard from lately.
    pub unreachable: Vec<DaemonId>,
    /// What is still to be done to groups, by the last reports.
    pub remaining: Vec<PlanChange>,
    /// Groups that stand in a domain's table but do not take requests now.
    pub not_serving: Vec<GroupId>,
}

/// A revision in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Its number.
    pub revision: Revision,
    /// The plan that led to it.
    pub plan: PlanId,
    /// Who confirmed it.
    pub operator: String,
    /// Why.
    pub reason: String,
    /// When, in seconds since 1970, by the leader's wall clock.
    pub accepted_at_unix_s: u64,
    /// What changed, as JSON paths.
    pub changed_paths: Vec<String>,
}

/// The fleet as the control leader sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetStatus {
    /// The control daemon that answers.
    pub leader: DaemonId,
    /// The term of its leadership.
    pub term: u64,
    /// The accepted revision.
    pub revision: Revision,
    /// Whether every reachable daemon has applied it.
    pub in_force: bool,
    /// Daemons that have not applied it, with the revision they last acknowledged.
    pub lagging: BTreeMap<DaemonId, Revision>,
    /// Daemons that have not been heard from lately.
    pub unreachable: Vec<DaemonId>,
    /// The last report of each failure domain, with its age.
    pub domains: Vec<DomainStatus>,
}

/// One failure domain as the control leader sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainStatus {
    /// How long ago the report arrived.
    pub age_ms: u64,
    /// The report.
    pub report: DomainReport,
}

/// What one routing policy did for one service since it was put in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicyStatistics {
    /// The service.
    pub service: ServiceName,
    /// The policy.
    pub policy: crate::fleet::RoutingPolicy,
    /// Requests it decided.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Median time to the first token.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// Mean time to the first token.
    pub first_token_mean_ms: f64,
    /// Half the width of that mean's 95 % confidence interval.
    pub first_token_mean_ci_ms: f64,
    /// 95th percentile of the time between tokens.
    pub between_tokens_p95_ms: f64,
    /// Share of requests whose prefix was cached.
    pub cache_hit_percent: f64,
}

/// Why an operator's request was refused.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorError {
    /// the operator token is missing or wrong
    Unauthorized,
    /// this control daemon is not the leader
    NotLeader {
        /// Where the leader takes operators' requests, if known.
        leader: Option<String>,
    },
    /// no majority of control daemons can be reached; nothing was changed
    NoQuorum,
    /// the outcome is not known; send the same request again with the same idempotency key
    OutcomeUnknown,
    /// the request is malformed: {reason}
    BadRequest {
        /// What is wrong, with JSON paths.
        reason: String,
    },
    /// the request is larger than the limit
    TooLarge,
}
