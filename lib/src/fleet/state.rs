//! The state machine that the control daemons replicate.
//!
//! [`FleetState::apply`] is deterministic: every control daemon that applies the
//! same commands in the same order holds the same state and gives the same answers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
};

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use super::{
    FleetConfig,
    Voter,
    diff::changed_paths,
    plan::PlanDraft,
    stored_plan::StoredPlan, //
};
use crate::{
    chart::{
        PlanAction,
        PlanEvent,
        PlanState, //
    },
    operator_api::{
        ConfirmReply,
        HistoryEntry,
        Plan,
        PlanChange, //
    },
    prelude::*,
    routes::{
        RouteDocument,
        RouteVersion, //
    },
};

/// How many plans are kept; the oldest goes first.
pub const MAX_STORED_PLANS: usize = 64;
/// How many answers to confirmations are kept for resends; the oldest goes first.
pub const MAX_STORED_ANSWERS: usize = 4_096;
/// How many revisions the history keeps; the oldest goes first.
pub const MAX_HISTORY_ENTRIES: usize = 1_024;
/// How many changed paths one entry of the history or one kept answer has.
///
/// Without it thousands of kept answers could each name thousands of paths.
pub const MAX_CHANGED_PATHS: usize = 64;

/// One entry of the replicated log, as the fleet understands it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetCommand {
    /// Keeps a plan, so that it can be confirmed.
    StorePlan(Box<PlanDraft>),
    /// Accepts a plan if its base revision is still the accepted one.
    Confirm(Confirmation),
    /// Replaces the set of control daemons that vote, by one daemon at most.
    ChangeVoters {
        /// The new set.
        voters: BTreeSet<Voter>,
    },
    /// Replaces the table of routes if the given one has a higher version.
    ReplaceRoutes(Box<RouteDocument>),
}

/// An operator's yes to a plan, as it stands in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// The plan.
    pub plan: PlanId,
    /// Who confirms.
    pub operator: String,
    /// The same for each resend of one confirmation.
    pub idempotency_key: IdempotencyKey,
    /// The leader's wall clock, for people only.
    pub at_unix_s: u64,
    /// What the plan would do to groups now, if the leader saw that it differs from
    /// what the plan told. It goes through the log, because an answer that did not
    /// would leave a resend of the same confirmation with another one.
    pub objection: Option<Vec<PlanChange>>,
}

/// What applying a command gave.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetAnswer {
    /// The plan is kept under its number.
    PlanStored(Box<Plan>),
    /// The plan was computed for another revision than the accepted one; nothing is kept.
    PlanOutdated {
        /// The accepted revision.
        revision: Revision,
    },
    /// The answer to the confirmation.
    Confirmed(ConfirmReply),
    /// The set of voters is as commanded.
    VotersChanged,
    /// The set of voters may change by one daemon at a time; nothing was changed.
    VotersRefused,
    /// The table of routes in force has this version or is the one given.
    RoutesHeld {
        /// The version in force.
        version: RouteVersion,
    },
}

/// Why a snapshot cannot be taken or read.
#[derive(Clone, Debug, Display, Error)]
pub enum SnapshotError {
    /// the fleet's state cannot be encoded: {0}
    Encode(postcard::Error),
    /// the snapshot of the fleet's state cannot be decoded: {0}
    Decode(postcard::Error),
}

/// Whose confirmation an answer is kept for; operators need not agree on keys.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct AnswerKey {
    operator: String,
    idempotency_key: IdempotencyKey,
}

/// The first answer to a confirmation, kept for its resends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct StoredAnswer {
    plan: PlanId,
    reply: ConfirmReply,
}

/// Everything that must survive: the accepted configuration and how it came about.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetState {
    revision: Revision,
    config: FleetConfig,
    last_plan: PlanId,
    plans: BTreeMap<PlanId, StoredPlan>,
    answers: BTreeMap<AnswerKey, StoredAnswer>,
    answers_by_age: VecDeque<AnswerKey>,
    history: VecDeque<HistoryEntry>,
    voters: BTreeSet<Voter>,
    /// Shared, because every other change publishes a copy of the state.
    routes: Option<Arc<RouteDocument>>,
}

impl FleetState {
    /// Returns the accepted revision; it never falls.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the accepted configuration.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the plan of this number, if it is kept.
    pub fn plan(&self, id: PlanId) -> Option<&Plan> {
        self.plans.get(&id).map(|kept| &kept.plan)
    }

    /// Returns where a kept plan stands in the plan's chart.
    pub fn plan_state(&self, id: PlanId) -> Option<PlanState> {
        self.plans.get(&id).map(|kept| kept.state)
    }

    /// Returns the accepted revisions, newest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter().rev()
    }

    /// Returns the table of routes in force, as the operator sent it.
    pub fn routes(&self) -> Option<&Arc<RouteDocument>> {
        self.routes.as_ref()
    }

    /// Returns the control daemons that vote.
    pub fn voters(&self) -> &BTreeSet<Voter> {
        &self.voters
    }

    /// Applies one command of the log.
    pub fn apply(&mut self, command: FleetCommand) -> FleetAnswer {
        match command {
            FleetCommand::StorePlan(draft) => self.store_plan(*draft),
            FleetCommand::Confirm(confirmation) => {
                FleetAnswer::Confirmed(self.confirm(confirmation))
            }
            FleetCommand::ChangeVoters { voters } => self.change_voters(voters),
            FleetCommand::ReplaceRoutes(document) => self.replace_routes(*document),
        }
    }

    /// Returns the state as bytes.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Encode`] if the codec refuses, which only a
    /// lack of memory can bring about.
    pub fn to_bytes(&self) -> Result<Vec<u8>, SnapshotError> {
        postcard::to_stdvec(self).map_err(SnapshotError::Encode)
    }

    /// Returns the state that [`Self::to_bytes`] gave these bytes for.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Decode`] if the bytes are no snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, SnapshotError> {
        postcard::from_bytes(bytes).map_err(SnapshotError::Decode)
    }

    /// The highest version wins; what is not higher changes nothing, also if it differs.
    fn replace_routes(&mut self, document: RouteDocument) -> FleetAnswer {
        let held = self.routes.as_ref().map(|held| held.version);
        if held.is_none_or(|held| held < document.version) {
            self.routes = Some(Arc::new(document));
        }
        let version = self.routes.as_ref().map(|held| held.version);
        FleetAnswer::RoutesHeld {
            version: version.unwrap_or_default(),
        }
    }

    fn store_plan(&mut self, draft: PlanDraft) -> FleetAnswer {
        // The leader may have computed the draft while another revision was being
        // accepted; its changes would then be told relative to the wrong one.
        if draft.base_revision != self.revision {
            return FleetAnswer::PlanOutdated {
                revision: self.revision,
            };
        }
        self.last_plan = self.last_plan.next();
        let plan = draft.numbered(self.last_plan);
        self.plans.insert(plan.id, StoredPlan::new(plan.clone()));
        while self.plans.len() > MAX_STORED_PLANS {
            self.plans.pop_first();
        }
        FleetAnswer::PlanStored(Box::new(plan))
    }

    fn confirm(&mut self, confirmation: Confirmation) -> ConfirmReply {
        let key = AnswerKey {
            operator: confirmation.operator.clone(),
            idempotency_key: confirmation.idempotency_key.clone(),
        };
        if let Some(kept) = self.answers.get(&key) {
            return kept.answer_to(confirmation.plan);
        }
        let reply = self.decide(&confirmation);
        self.keep_answer(key, confirmation.plan, reply.clone());
        reply
    }

    fn decide(&mut self, confirmation: &Confirmation) -> ConfirmReply {
        let accepted = self.revision;
        let Some(kept) = self.plans.get_mut(&confirmation.plan) else {
            return ConfirmReply::UnknownPlan;
        };
        if let (PlanState::Proposed, Some(changes_now)) = (kept.state, &confirmation.objection) {
            let shown = changes_now.iter().take(MAX_CHANGED_PATHS);
            return ConfirmReply::FleetChanged {
                changes_now: shown.cloned().collect(),
            };
        }
        let base = kept.plan.base_revision;
        let accepted_as = kept.accepted_as;
        let actions = kept.step(PlanEvent::Confirmed, accepted);
        if actions.contains(&PlanAction::AcceptRevision) {
            return self.accept(confirmation);
        }
        match accepted_as {
            Some(revision) => ConfirmReply::Accepted { revision },
            None => self.conflict(base),
        }
    }

    fn accept(&mut self, confirmation: &Confirmation) -> ConfirmReply {
        let before = self.revision;
        self.revision = before.next();
        for (id, kept) in &mut self.plans {
            if *id != confirmation.plan {
                kept.step(PlanEvent::OtherAccepted, before);
            }
        }
        if let Some(kept) = self.plans.get_mut(&confirmation.plan) {
            kept.accepted_as = Some(self.revision);
            let plan = kept.plan.clone();
            self.record(plan, confirmation);
        }
        ConfirmReply::Accepted {
            revision: self.revision,
        }
    }

    fn record(&mut self, plan: Plan, confirmation: &Confirmation) {
        let mut paths = changed_paths(&plan.changes);
        paths.truncate(MAX_CHANGED_PATHS);
        self.history.push_back(HistoryEntry {
            revision: self.revision,
            plan: plan.id,
            operator: confirmation.operator.clone(),
            reason: plan.reason,
            accepted_at_unix_s: confirmation.at_unix_s,
            changed_paths: paths,
        });
        while self.history.len() > MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
        self.config = plan.config;
    }

    fn conflict(&self, base: Revision) -> ConfirmReply {
        let since = || self.history.iter().filter(|entry| entry.revision > base);
        let Some(winner) = since().next() else {
            return ConfirmReply::UnknownPlan;
        };
        let paths: BTreeSet<&String> = since().flat_map(|entry| &entry.changed_paths).collect();
        ConfirmReply::Conflict {
            winner: winner.plan,
            winner_operator: winner.operator.clone(),
            revision: self.revision,
            changed_paths: paths.into_iter().take(MAX_CHANGED_PATHS).cloned().collect(),
        }
    }

    fn keep_answer(&mut self, key: AnswerKey, plan: PlanId, reply: ConfirmReply) {
        self.answers
            .insert(key.clone(), StoredAnswer { plan, reply });
        self.answers_by_age.push_back(key);
        while self.answers_by_age.len() > MAX_STORED_ANSWERS {
            if let Some(oldest) = self.answers_by_age.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }

    fn change_voters(&mut self, voters: BTreeSet<Voter>) -> FleetAnswer {
        // Two majorities that differ by more than one daemon need not overlap.
        let differing = self.voters.symmetric_difference(&voters).count();
        if voters.is_empty() || (differing > 1 && !self.voters.is_empty()) {
            return FleetAnswer::VotersRefused;
        }
        self.voters = voters;
        FleetAnswer::VotersChanged
    }
}

impl StoredAnswer {
    fn answer_to(&self, plan: PlanId) -> ConfirmReply {
        if self.plan == plan {
            return self.reply.clone();
        }
        ConfirmReply::KeyReused {
            first_plan: self.plan,
        }
    }
}
