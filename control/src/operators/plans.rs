//! Computes plans and confirms them.

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
use crate::{
    counters::{
        ConfirmAnswer,
        OperatorRefusal, //
    },
    events::LogEvent,
};

/// How often a plan is computed in total if another revision is accepted during each computation.
const PLAN_ATTEMPTS: usize = 4;

impl Operators {
    /// Computes the changes that a request would make and stores them as a plan.
    pub(super) async fn plan(&self, operator: &str, request: PlanRequest) -> Result<Plan, Refusal> {
        self.check_config(&request)?;
        // The history must name the owner of the token, whatever name the request contains.
        let request = PlanRequest {
            operator: operator.to_owned(),
            ..request
        };
        for _ in 0..PLAN_ATTEMPTS {
            let state = self.read().await?;
            let reports = self.view.load().last_reports();
            let draft = PlanDraft::new(state.revision(), state.config(), &reports, request.clone());
            let command = FleetCommand::StorePlan(Box::new(draft));
            if let FleetAnswer::PlanStored(plan) = self.propose(command).await? {
                LogEvent::PlanStored {
                    plan: plan.id,
                    base_revision: plan.base_revision,
                    changes: plan.changes.len(),
                    operator: operator.to_owned(),
                }
                .emit();
                return Ok(*plan);
            }
        }
        Err(Refusal::bad_request(
            OperatorRefusal::PlanOvertaken,
            "other plans were accepted faster than this one could be made; send it again",
        ))
    }

    /// Confirms a plan by a command to the replicated log.
    pub(super) async fn confirm(
        &self,
        operator: &str,
        request: ConfirmRequest,
    ) -> Result<ConfirmReply, Refusal> {
        let state = self.read().await?;
        let reports = self.view.load().fresh_reports(self.clock.now());
        let plan = state.plan(request.plan);
        let command = FleetCommand::Confirm(Confirmation {
            plan: request.plan,
            operator: operator.to_owned(),
            idempotency_key: request.idempotency_key.clone(),
            at_unix_s: unix_time_s(),
            objection: plan.and_then(|plan| objection(plan, state.config(), &reports)),
        });
        let FleetAnswer::Confirmed(reply) = self.propose(command).await? else {
            return Err(Refusal::outcome_unknown());
        };
        let answer = answer_kind(&reply);
        self.metrics.count(answer);
        LogEvent::ConfirmationAnswered {
            plan: request.plan,
            key: request.idempotency_key,
            reply: answer_name(answer),
            revision: self.replication.local().revision(),
            operator: operator.to_owned(),
        }
        .emit();
        Ok(reply)
    }

    /// Refuses a request whose configuration violates the rules; the refusal lists all problems.
    fn check_config(&self, request: &PlanRequest) -> Result<(), Refusal> {
        let controls = self.topology.controls.values();
        let known = controls.chain(self.topology.entries.values());
        let problems = config_problems(&request.config, &known.cloned().collect());
        if problems.is_empty() {
            return Ok(());
        }
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Err(Refusal::bad_request(
            OperatorRefusal::InvalidConfig,
            lines.join("\n"),
        ))
    }
}

fn answer_kind(reply: &ConfirmReply) -> ConfirmAnswer {
    match reply {
        ConfirmReply::Accepted { .. } => ConfirmAnswer::Accepted,
        ConfirmReply::Conflict { .. } => ConfirmAnswer::Conflict,
        ConfirmReply::UnknownPlan => ConfirmAnswer::UnknownPlan,
        ConfirmReply::KeyReused { .. } => ConfirmAnswer::KeyReused,
        ConfirmReply::FleetChanged { .. } => ConfirmAnswer::FleetChanged,
    }
}

fn answer_name(answer: ConfirmAnswer) -> &'static str {
    match answer {
        ConfirmAnswer::Accepted => "accepted",
        ConfirmAnswer::Conflict => "conflict",
        ConfirmAnswer::UnknownPlan => "unknown_plan",
        ConfirmAnswer::KeyReused => "key_reused",
        ConfirmAnswer::FleetChanged => "fleet_changed",
    }
}

/// Returns the wall-clock time in seconds since 1970, which the history shows to people.
fn unix_time_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|time| time.as_secs()).unwrap_or_default()
}
