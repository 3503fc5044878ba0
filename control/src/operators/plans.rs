//! Makes plans and confirms them.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use cicadabend::{
    fleet::{
        FleetAnswer,
        FleetCommand,
        objection::objection,
        plan::PlanDraft,
        state::Confirmation,
        validate::config_problems, //
    },
    operator_api::{
        ConfirmReply,
        ConfirmRequest,
        Plan,
        PlanRequest, //
    },
};

use super::{
    Operators,
    refusal::Refusal, //
};

/// How often a plan is computed again because another revision was accepted meanwhile.
const PLAN_ATTEMPTS: usize = 4;

impl Operators {
    /// Computes what a request would change and keeps it as a plan.
    pub(super) async fn plan(&self, operator: &str, request: PlanRequest) -> Result<Plan, Refusal> {
        self.check(&request)?;
        // The history names who holds the token, whatever the request says.
        let request = PlanRequest {
            operator: operator.to_owned(),
            ..request
        };
        for _ in 0..PLAN_ATTEMPTS {
            let state = self.read().await?;
            let reports = self.view.load().domain_reports();
            let draft = PlanDraft::new(state.revision(), state.config(), &reports, request.clone());
            let command = FleetCommand::StorePlan(Box::new(draft));
            if let FleetAnswer::PlanStored(plan) = self.propose(command).await? {
                log::info!(
                    "CB1505 plan stored plan={} base_revision={} changes={} operator={operator}",
                    plan.id,
                    plan.base_revision,
                    plan.changes.len()
                );
                return Ok(*plan);
            }
        }
        Err(Refusal::bad_request(
            "other plans were accepted faster than this one could be made; send it again",
        ))
    }

    /// Confirms a plan through the log.
    pub(super) async fn confirm(
        &self,
        operator: &str,
        request: ConfirmRequest,
    ) -> Result<ConfirmReply, Refusal> {
        let state = self.read().await?;
        let reports = self.view.load().domain_reports();
        let plan = state.plan(request.plan);
        let command = FleetCommand::Confirm(Confirmation {
            plan: request.plan,
            operator: operator.to_owned(),
            idempotency_key: request.idempotency_key.clone(),
            at_unix_s: unix_time_s(),
            objection: plan.and_then(|plan| objection(plan, state.config(), &reports)),
        });
        let FleetAnswer::Confirmed(reply) = self.propose(command).await? else {
            return Err(Refusal::replication(
                crate::replication::ReplicationError::OutcomeUnknown,
                &self.view.load().operator_addresses,
            ));
        };
        log::info!(
            "CB1506 confirmation answered plan={} key={} operator={operator} reply={}",
            request.plan,
            request.idempotency_key,
            reply_name(&reply)
        );
        Ok(reply)
    }

    fn check(&self, request: &PlanRequest) -> Result<(), Refusal> {
        let controls = self.topology.controls.values();
        let known = controls.chain(self.topology.entries.values());
        let problems = config_problems(&request.config, &known.cloned().collect());
        if problems.is_empty() {
            return Ok(());
        }
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Err(Refusal::bad_request(lines.join("\n")))
    }
}

/// Returns the reply's kind, as logs name it.
fn reply_name(reply: &ConfirmReply) -> &'static str {
    match reply {
        ConfirmReply::Accepted { .. } => "accepted",
        ConfirmReply::Conflict { .. } => "conflict",
        ConfirmReply::UnknownPlan => "unknown_plan",
        ConfirmReply::KeyReused { .. } => "key_reused",
        ConfirmReply::FleetChanged { .. } => "fleet_changed",
    }
}

/// Wall time, for people who read the history.
fn unix_time_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|time| time.as_secs()).unwrap_or_default()
}
