//! Background loads of model weights from the store onto hosts (staging).

use std::time::Duration;

use super::super::{
    engine_command::{
        EngineCommand,
        EngineCommandKind,
        EngineCommandOutcome, //
    },
    loading::{
        NeededModel,
        next_loads, //
    },
    placement::FreeEngine,
};
use super::{
    Grouping,
    GroupingView,
    placing::model_shares, //
};
use crate::{
    ids::Address,
    prelude::*,
    registry::InstanceId,
    routes::{
        EngineTraits,
        ModelTraits, //
    },
};

/// Group name in a command to an engine that is in no group.
const NO_GROUP: &str = "none";
/// Time after which a stage command that shows no effect counts as lost and may be sent again.
const STAGING_TIMEOUT: Duration = Duration::from_secs(60);
/// Time window in which the starts of loads are counted against the rate of the store.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// A useful load onto an engine's host.
struct PlannedLoad {
    to: InstanceId,
    address: Address,
    /// The group that the engine is in, or `NO_GROUP`.
    group: GroupId,
    epoch: u64,
    model: ModelName,
}

impl Grouping {
    /// Has hosts load a second model beside the one that their engine runs.
    ///
    /// An engine runs the model of its last group again at once, and one that is on its host within
    /// a second or two. With the other model on the host it can serve either, until its next join
    /// leaves only the joined model, and a group that lost a member can be completed with any free
    /// engine.
    pub(super) fn stage_models(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let now = view.now;
        self.staging.retain(|id, (model, at)| {
            let known = view.registry.get(id);
            let engine = known.and_then(|known| known.registration.engine.as_ref());
            let is_done = engine.is_none_or(|engine| engine.staged.contains(model));
            !is_done && now.since(*at) < STAGING_TIMEOUT
        });
        // Concurrent loads slow each other down in proportion. Free engines go first; loads of
        // members of open groups leave half of the concurrent loads to them.
        let at_once = traits.loads_at_once.max(1);
        let free = self.loads_for_free_engines(service, traits, view);
        let members = self.loads_for_members(service, traits, view);
        let free = free.into_iter().map(|wanted| (wanted, at_once));
        let members = members
            .into_iter()
            .map(|wanted| (wanted, at_once.div_ceil(2)));
        for (load, limit) in free.chain(members) {
            if self.staging.contains_key(&load.to) || self.has_failed_to_stage(&load.to, view) {
                continue;
            }
            let under_way = self.loads_under_way(view);
            let has_room = under_way < limit && self.available_load_starts(traits, now) > 0;
            if !view.is_before_first_request && !has_room {
                return;
            }
            if !view.is_before_first_request {
                self.load_starts.push_back((now, load.to.clone()));
            }
            self.staging
                .insert(load.to.clone(), (load.model.clone(), now));
            commands.push(EngineCommand {
                to: load.to,
                address: load.address,
                group: load.group,
                epoch: load.epoch,
                kind: EngineCommandKind::Stage { model: load.model },
                expected_command_count: None,
            });
        }
    }

    /// Returns the number of loads that count as running.
    ///
    /// An engine that has gone silent during its load may be lost. When such engines counted until
    /// their staging timed out, six of them blocked all loads for a minute.
    fn loads_under_way(&self, view: GroupingView<'_>) -> u32 {
        let is_reporting = |id: &&InstanceId| {
            let known = view.registry.get(id);
            known.is_some_and(|known| known.silent_for(view.now) <= self.settings.silent_for_new)
        };
        self.staging.keys().filter(is_reporting).count() as u32
    }

    /// Records the outcome of a stage command.
    pub(super) fn record_stage_outcome(
        &mut self,
        id: &InstanceId,
        outcome: &EngineCommandOutcome,
        now: Timestamp,
    ) {
        if matches!(
            outcome,
            EngineCommandOutcome::Begun | EngineCommandOutcome::Done
        ) {
            return;
        }
        // Lost commands that still counted as running would delay all other loads for a minute.
        self.staging.remove(id);
        self.failed_stage_at.insert(id.clone(), now);
        // A command without an answer may still be executed, so its load still counts.
        if *outcome != EngineCommandOutcome::Unanswered
            && let Some(counted) = self.load_starts.iter().rposition(|(_, of)| of == id)
        {
            self.load_starts.remove(counted);
        }
    }

    /// Returns whether an engine did not accept its last stage command, and has not reported since.
    ///
    /// Such an engine is sent no further stage command until it reports again. Without this rule, a
    /// lost engine would be sent the command at each tick, 20 times a second until its group is
    /// given up, and would use up all the starts of loads that the store allows: after a loss no
    /// other engine began to load for three to nine seconds.
    fn has_failed_to_stage(&self, id: &InstanceId, view: GroupingView<'_>) -> bool {
        let not_loaded_at = self.failed_stage_at.get(id);
        let known = view.registry.get(id);
        not_loaded_at.is_some_and(|at| known.is_none_or(|known| known.last_contact <= *at))
    }

    /// Returns the loads that free engines should do, the best first.
    ///
    /// Only engines that already have its model join a group; if one of them had to load it, all
    /// others would idle meanwhile.
    fn loads_for_free_engines(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> Vec<PlannedLoad> {
        let Ok(no_group) = NO_GROUP.parse::<GroupId>() else {
            return Vec::new();
        };
        let engines_by_model = self.engines_by_model(service, traits);
        let shares = model_shares(service, traits, view.demand);
        let need = |model: &ModelTraits| {
            let engines = engines_by_model.get(&model.name).copied().unwrap_or(0.0);
            let share = shares.get(&model.name).copied().unwrap_or(model.share);
            share / engines.max(1.0)
        };
        let models = traits.models.iter().map(|model| NeededModel {
            model,
            need: need(model),
        });
        let models: Vec<NeededModel<'_>> = models.collect();
        let domains = self.free_by_domain(service, view);
        let is_loading = |engine: &FreeEngine, model: &ModelName| {
            let staging = self.staging.get(&engine.id);
            staging.is_some_and(|(loading, _)| loading == model)
        };
        let loads = next_loads(&domains, &models, is_loading, view.now);
        let epoch = self.epoch;
        let wanted = loads.into_iter().map(|(engine, model)| PlannedLoad {
            to: engine.id,
            address: engine.address,
            group: no_group.clone(),
            epoch,
            model,
        });
        wanted.collect()
    }

    /// Returns the background loads for members of open groups: the most wanted of the other
    /// models.
    fn loads_for_members(
        &self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> Vec<PlannedLoad> {
        let mut wanted = Vec::new();
        for (id, group) in self.open_groups_of(service) {
            let others = traits
                .models
                .iter()
                .filter(|model| model.name != group.model);
            let Some(other) = others.max_by(|a, b| a.share.total_cmp(&b.share)) else {
                continue;
            };
            for member in &group.members {
                let Some(known) = view.registry.get(&member.id) else {
                    continue;
                };
                let engine = known.registration.engine.as_ref();
                let has_it = engine.is_some_and(|engine| engine.staged.contains(&other.name));
                if !has_it && known.is_ready() {
                    wanted.push(PlannedLoad {
                        to: member.id.clone(),
                        address: member.address,
                        group: id.clone(),
                        epoch: group.epoch,
                        model: other.name.clone(),
                    });
                }
            }
        }
        wanted
    }

    /// Returns the number of loads that may start now, by the rate of the store.
    fn available_load_starts(&mut self, traits: &EngineTraits, now: Timestamp) -> u32 {
        if traits.loads_per_s <= 0.0 {
            return u32::MAX;
        }
        while self
            .load_starts
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= LOAD_WINDOW)
        {
            self.load_starts.pop_front();
        }
        let limit = (traits.loads_per_s * LOAD_WINDOW.as_secs_f64()).floor() as usize;
        u32::try_from(limit.saturating_sub(self.load_starts.len())).unwrap_or(u32::MAX)
    }
}
