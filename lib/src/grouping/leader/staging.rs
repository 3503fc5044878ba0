//! What hosts load from the store, beside all other work.

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
    placing::shares, //
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

/// What stands for the group in an order to an engine that is in none.
const NO_GROUP: &str = "none";
/// After this time an engine that was told to stage a model is told again.
const STAGING_FORGOTTEN: Duration = Duration::from_secs(60);
/// The span over which starts of loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// A load onto an engine's host that would be of use.
struct Load {
    to: InstanceId,
    address: Address,
    /// The group that it is in.
    group: GroupId,
    epoch: u64,
    model: ModelName,
}

impl Grouping {
    /// Has the hosts keep another model than the one they run.
    ///
    /// An engine runs the model of its last group again within a moment, and one that is
    /// on its host within a second or two. With the other model on the host it can serve
    /// either, until its next join leaves only the joined model at hand, and a group that lost a
    /// member is made whole from any engine at hand.
    pub(super) fn stage(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
        orders: &mut Vec<EngineCommand>,
    ) {
        let now = view.now;
        self.staging.retain(|id, (model, at)| {
            let known = view.registry.get(id);
            let engine = known.and_then(|known| known.registration.engine.as_ref());
            let is_done = engine.is_none_or(|engine| engine.staged.contains(model));
            !is_done && now.since(*at) < STAGING_FORGOTTEN
        });
        // Loads beside each other are slower in proportion. Engines that idle go first; what
        // members of open groups load for later leaves half of the places to them.
        let at_once = traits.loads_at_once.max(1);
        let free = self.stages_of_free(service, traits, view);
        let members = self.stages_of_members(service, traits, view);
        let free = free.into_iter().map(|wanted| (wanted, at_once));
        let members = members
            .into_iter()
            .map(|wanted| (wanted, at_once.div_ceil(2)));
        for (load, limit) in free.chain(members) {
            if self.staging.contains_key(&load.to) || self.has_not_loaded(&load.to, view) {
                continue;
            }
            let under_way = self.loads_under_way(view);
            let has_room = under_way < limit && self.load_room(traits, now) > 0;
            if !view.is_before_first_request && !has_room {
                return;
            }
            if !view.is_before_first_request {
                self.loads.push_back((now, load.to.clone()));
            }
            self.staging
                .insert(load.to.clone(), (load.model.clone(), now));
            orders.push(EngineCommand {
                to: load.to,
                address: load.address,
                group: load.group,
                epoch: load.epoch,
                kind: EngineCommandKind::Stage { model: load.model },
                expected_command_count: None,
            });
        }
    }

    /// Returns how many loads hold a place of the store.
    ///
    /// An engine that has gone silent in the middle of its load may be lost. Counted until it
    /// is forgotten, six of them held all places for a minute.
    fn loads_under_way(&self, view: GroupingView<'_>) -> u32 {
        let is_heard = |id: &&InstanceId| {
            let known = view.registry.get(id);
            known.is_some_and(|known| known.silent_for(view.now) <= self.settings.silent_for_new)
        };
        self.staging.keys().filter(is_heard).count() as u32
    }

    /// Takes note of the answer to an order to load.
    pub(super) fn note_stage(
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
        // Kept as under way, lost orders would hold up all others for a minute.
        self.staging.remove(id);
        self.not_loading.insert(id.clone(), now);
        // An order without an answer may still be carried out, so its load counts.
        if *outcome != EngineCommandOutcome::Unanswered
            && let Some(counted) = self.loads.iter().rposition(|(_, of)| of == id)
        {
            self.loads.remove(counted);
        }
    }

    /// Returns whether an engine did not take the last order to load, and nothing was heard of
    /// it since.
    ///
    /// Without this an engine that was lost is told again at each look, 20 times a second until
    /// its group is given up, and takes all the starts of loads that the store allows: after a
    /// loss no other engine began to load for three to nine seconds.
    fn has_not_loaded(&self, id: &InstanceId, view: GroupingView<'_>) -> bool {
        let not_loaded_at = self.not_loading.get(id);
        let known = view.registry.get(id);
        not_loaded_at.is_some_and(|at| known.is_none_or(|known| known.heard_at <= *at))
    }

    /// Returns what free engines should load.
    ///
    /// A group is only joined by engines that have its model at hand; if one of them had to
    /// load it, all others would idle until it has.
    fn stages_of_free(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> Vec<Load> {
        let Ok(no_group) = NO_GROUP.parse::<GroupId>() else {
            return Vec::new();
        };
        let has = self.engines_by_model(service, traits);
        let shares = shares(service, traits, view.demand);
        let need = |model: &ModelTraits| {
            let engines = has.get(&model.name).copied().unwrap_or(0.0);
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
        let wanted = loads.into_iter().map(|(engine, model)| Load {
            to: engine.id,
            address: engine.address,
            group: no_group.clone(),
            epoch,
            model,
        });
        wanted.collect()
    }

    /// Returns what members of open groups should load beside their work: the other model.
    fn stages_of_members(
        &self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> Vec<Load> {
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
                    wanted.push(Load {
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

    /// Returns how many loads may start now.
    fn load_room(&mut self, traits: &EngineTraits, now: Timestamp) -> u32 {
        if traits.loads_per_s <= 0.0 {
            return u32::MAX;
        }
        while self
            .loads
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= LOAD_WINDOW)
        {
            self.loads.pop_front();
        }
        let limit = (traits.loads_per_s * LOAD_WINDOW.as_secs_f64()).floor() as usize;
        u32::try_from(limit.saturating_sub(self.loads.len())).unwrap_or(u32::MAX)
    }
}
