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

/// Number of plans that are stored; the oldest is removed first.
pub const MAX_STORED_PLANS: usize = 64;
/// Number of answers to confirmations that are stored for client retries; the oldest is removed
/// first.
pub const MAX_STORED_ANSWERS: usize = 4_096;
/// Number of revisions in the history; the oldest is removed first.
pub const MAX_HISTORY_ENTRIES: usize = 1_024;
/// Number of changed paths in one entry of the history or one stored answer.
///
/// Without this limit thousands of stored answers could each name thousands of paths.
pub const MAX_CHANGED_PATHS: usize = 64;

/// A command in the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetCommand {
    /// Stores a plan, so that it can be confirmed.
    StorePlan(Box<PlanDraft>),
    /// Accepts a plan if its base revision is still the accepted one.
    Confirm(Confirmation),
    /// Replaces the set of voting control daemons, with at most one daemon added or removed.
    ChangeVoters {
        /// The new set.
        voters: BTreeSet<Voter>,
    },
    /// Replaces the route table if the given one has a higher version.
    ReplaceRoutes(Box<RouteDocument>),
}

/// An operator's confirmation of a plan, as an entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// The plan.
    pub plan: PlanId,
    /// The operator who confirms.
    pub operator: String,
    /// The idempotency key, the same for each client retry of one confirmation.
    pub idempotency_key: IdempotencyKey,
    /// The leader's wall clock in seconds since the Unix epoch, for display only.
    pub at_unix_s: u64,
    /// The effects that the plan would have on groups now, if the leader saw that they differ from
    /// those in the plan. They go through the log, because otherwise a client retry of the same
    /// confirmation could get another answer.
    pub objection: Option<Vec<PlanChange>>,
}

/// The result of applying a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetAnswer {
    /// The plan is stored under its number.
    PlanStored(Box<Plan>),
    /// The plan was computed for another revision than the accepted one and is not stored.
    PlanOutdated {
        /// The accepted revision.
        revision: Revision,
    },
    /// The answer to the confirmation.
    Confirmed(ConfirmReply),
    /// The set of voters is now the given one.
    VotersChanged,
    /// The set of voters was not changed: it is empty, or differs by more than one daemon.
    VotersRefused,
    /// The route table in force after the command, whether or not the given one replaced it.
    RoutesHeld {
        /// The version of the table in force.
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

/// The key of a stored answer; two operators may use the same idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct AnswerKey {
    operator: String,
    idempotency_key: IdempotencyKey,
}

/// The first answer to a confirmation, stored for its client retries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct StoredAnswer {
    plan: PlanId,
    reply: ConfirmReply,
}

/// The replicated state: the accepted configuration, the plans and answers that led to it, the
/// voters and the route table.
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
    /// The route table, shared because every other change publishes a copy of the state.
    routes: Option<Arc<RouteDocument>>,
}

impl FleetState {
    /// Returns the accepted revision, which never decreases.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the accepted configuration.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the plan of this number, if it is stored.
    pub fn plan(&self, id: PlanId) -> Option<&Plan> {
        self.plans.get(&id).map(|stored| &stored.plan)
    }

    /// Returns the state of a stored plan in the plan chart.
    pub fn plan_state(&self, id: PlanId) -> Option<PlanState> {
        self.plans.get(&id).map(|stored| stored.state)
    }

    /// Returns the accepted revisions, newest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter().rev()
    }

    /// Returns the route table in force, as the operator sent it.
    pub fn routes(&self) -> Option<&Arc<RouteDocument>> {
        self.routes.as_ref()
    }

    /// Returns the voting control daemons.
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

    /// Returns the state as bytes, for a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Encode`] if the state cannot be serialized, which only a lack of
    /// memory can cause.
    pub fn to_bytes(&self) -> Result<Vec<u8>, SnapshotError> {
        postcard::to_stdvec(self).map_err(SnapshotError::Encode)
    }

    /// Returns the state that was encoded by [`Self::to_bytes`].
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Decode`] if the bytes are no snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, SnapshotError> {
        postcard::from_bytes(bytes).map_err(SnapshotError::Decode)
    }

    /// Replaces the route table if the given version is higher; another table of the same version
    /// is ignored.
    fn replace_routes(&mut self, document: RouteDocument) -> FleetAnswer {
        let current = self.routes.as_ref().map(|current| current.version);
        if current.is_none_or(|current| current < document.version) {
            self.routes = Some(Arc::new(document));
        }
        let version = self.routes.as_ref().map(|current| current.version);
        FleetAnswer::RoutesHeld {
            version: version.unwrap_or_default(),
        }
    }

    fn store_plan(&mut self, draft: PlanDraft) -> FleetAnswer {
        // The leader may have computed the draft while another revision was being accepted; its
        // changes would then be relative to the wrong one.
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
        if let Some(stored) = self.answers.get(&key) {
            return stored.answer_to(confirmation.plan);
        }
        let reply = self.decide(&confirmation);
        self.store_answer(key, confirmation.plan, reply.clone());
        reply
    }

    /// Applies a confirmation that has no stored answer, and returns its answer.
    fn decide(&mut self, confirmation: &Confirmation) -> ConfirmReply {
        let accepted = self.revision;
        let Some(stored) = self.plans.get_mut(&confirmation.plan) else {
            return ConfirmReply::UnknownPlan;
        };
        if let (PlanState::Proposed, Some(changes_now)) = (stored.state, &confirmation.objection) {
            let shown = changes_now.iter().take(MAX_CHANGED_PATHS);
            return ConfirmReply::FleetChanged {
                changes_now: shown.cloned().collect(),
            };
        }
        let base = stored.plan.base_revision;
        let accepted_as = stored.accepted_as;
        let actions = stored.step(PlanEvent::Confirmed, accepted);
        if actions.contains(&PlanAction::AcceptRevision) {
            return self.accept(confirmation);
        }
        match accepted_as {
            Some(revision) => ConfirmReply::Accepted { revision },
            None => self.conflict(base),
        }
    }

    /// Makes the plan the next revision; other open plans are superseded.
    fn accept(&mut self, confirmation: &Confirmation) -> ConfirmReply {
        let before = self.revision;
        self.revision = before.next();
        for (id, stored) in &mut self.plans {
            if *id != confirmation.plan {
                stored.step(PlanEvent::OtherAccepted, before);
            }
        }
        if let Some(stored) = self.plans.get_mut(&confirmation.plan) {
            stored.accepted_as = Some(self.revision);
            let plan = stored.plan.clone();
            self.record_accepted_plan(plan, confirmation);
        }
        ConfirmReply::Accepted {
            revision: self.revision,
        }
    }

    /// Adds an accepted plan to the history and puts its configuration in force.
    fn record_accepted_plan(&mut self, plan: Plan, confirmation: &Confirmation) {
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

    /// Returns the refusal of a plan, with the first plan accepted after its base revision.
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

    fn store_answer(&mut self, key: AnswerKey, plan: PlanId, reply: ConfirmReply) {
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
        // Majorities of two sets that differ by more than one daemon need not overlap.
        let differing = self.voters.symmetric_difference(&voters).count();
        if voters.is_empty() || (differing > 1 && !self.voters.is_empty()) {
            return FleetAnswer::VotersRefused;
        }
        self.voters = voters;
        FleetAnswer::VotersChanged
    }
}

impl StoredAnswer {
    /// Returns the stored reply, or a refusal if the key was used for another plan.
    fn answer_to(&self, plan: PlanId) -> ConfirmReply {
        if self.plan == plan {
            return self.reply.clone();
        }
        ConfirmReply::KeyReused {
            first_plan: self.plan,
        }
    }
}
