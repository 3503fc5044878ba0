//! The leader's view of all groups, and the commands that it sends next.

mod commands;
mod phases;
mod placing;
mod staging;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    census::Census,
    engine_command::{
        EngineCommand,
        EngineCommandKind,
        EngineCommandOutcome, //
    },
    group::{
        Group,
        Member,
        Phase, //
    },
    unconfirmed::UnconfirmedEngines,
};
use crate::{
    prelude::*,
    registry::{
        GroupStatus,
        InstanceId,
        KnownInstance,
        MemberState,
        Registry, //
    },
    routes::RouteTable,
};

/// Number of epochs reserved for each term; the epochs that a leader gives to groups are all above
/// its term times this.
const EPOCHS_PER_TERM: u64 = 1 << 20;
/// Prefix of the name of a group that consists of one retired head alone (see `Phase::Retiring`).
const RETIRED_PREFIX: &str = "retired-";
/// Time for which a member that was silent must report again before its head counts as still
/// unreachable.
///
/// All engines behind one cut report within this time. Groups with a dead member idle for as long.
const STABLE_AFTER_SILENCE: Duration = Duration::from_millis(1_400);

/// Time-outs and intervals of the decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupingSettings {
    /// Time for which a new leader collects reports before its first command.
    pub settle: Duration,
    /// Time after which a command that was not answered, or did not reach its engine, is sent
    /// again.
    pub retry_unanswered: Duration,
    /// Time after which a command that was answered, or whose answer is awaited, is sent again if
    /// it shows no effect.
    pub retry_answered: Duration,
    /// Longest silence with which an engine may be put into a new group.
    pub silent_for_new: Duration,
    /// Time without a newly registered engine after which the very first groups are formed.
    pub arrival_gap: Duration,
    /// Longest time for which the very first groups wait for engines.
    pub arrival_limit: Duration,
    /// Time for which a leader sends no commands after it has seen a higher epoch than its own.
    pub yield_to_newer: Duration,
    /// Longest time that a report may take to arrive.
    pub report_delay: Duration,
    /// Longest silence of a member before a group that is being formed is given up.
    pub silent_while_joining: Duration,
    /// Longest silence of a head before its group is given up.
    pub silent_head: Duration,
    /// Longest silence of a member in a group whose streams are stalled.
    pub silent_in_stalled: Duration,
    /// Time for which a closing head may finish its requests before they are aborted.
    pub close_wait: Duration,
    /// Longest silence of a head that also refuses connections, before its group is given up. A
    /// network cut can refuse connections just as an engine that is down.
    pub silent_and_refused: Duration,
}

impl Default for GroupingSettings {
    fn default() -> Self {
        Self {
            settle: Duration::from_millis(1_600),
            retry_unanswered: Duration::from_millis(800),
            retry_answered: Duration::from_millis(3_000),
            silent_for_new: Duration::from_millis(1_800),
            arrival_gap: Duration::from_millis(1_000),
            arrival_limit: Duration::from_millis(4_000),
            yield_to_newer: Duration::from_millis(3_500),
            report_delay: Duration::from_millis(4_000),
            silent_while_joining: Duration::from_millis(2_600),
            silent_head: Duration::from_millis(9_000),
            silent_in_stalled: Duration::from_millis(1_800),
            close_wait: Duration::from_millis(5_000),
            silent_and_refused: Duration::from_millis(4_000),
        }
    }
}

/// Inputs of a decision.
#[derive(Clone, Copy)]
pub struct GroupingView<'a> {
    /// The route table in force, with the services and their models.
    pub table: &'a RouteTable,
    /// The reports of all engines.
    pub registry: &'a Registry,
    /// Heads whose response streams are stalled, as entry daemons report.
    pub stalled: &'a BTreeSet<InstanceId>,
    /// The number of requests of each model at all entry daemons; empty if none reports any.
    pub demand: &'a BTreeMap<(ServiceName, ModelName), f64>,
    /// Whether no caller has been served yet, so that weight loads delay nobody.
    pub is_before_first_request: bool,
    /// The present time.
    pub now: Timestamp,
}

/// The state of all groups, as the leader of one term knows it.
#[derive(Clone, Debug)]
pub struct Grouping {
    settings: GroupingSettings,
    /// The time from which on the registry has been filled.
    listening_since: Timestamp,
    /// The time at which this leader began to lead.
    started_at: Timestamp,
    /// The highest epoch that may be in use: the last one of this leader, or one that another
    /// leader can have used. The next epoch is one higher.
    epoch: u64,
    /// The number of reports (`KnownInstance::confirmations`) of each engine before this leader's first
    /// tick.
    reports_before_term: BTreeMap<InstanceId, u32>,
    has_ticked: bool,
    /// The number of registered upstreams, and the time since which it has not changed.
    known_engines: (usize, Timestamp),
    /// An epoch above those of this leader, and the time at which it was first seen.
    foreign_epoch: Option<(u64, Timestamp)>,
    groups: BTreeMap<GroupId, Group>,
    /// Groups that were taken apart, and when; members may still report them.
    finished_groups: BTreeMap<GroupId, Timestamp>,
    /// Usable engines in no group, and the time since which they have been free.
    free_since: BTreeMap<InstanceId, Timestamp>,
    /// Domains reserved for a group of a model, for which another group is taken apart, and since
    /// when.
    reserved: BTreeMap<FabricDomain, (ModelName, Timestamp)>,
    /// Silent members of stalled groups, and when they were suspected; they are unusable until they
    /// report again.
    suspects: BTreeMap<InstanceId, Timestamp>,
    /// Texts of the decisions since the last call of `take_decisions`.
    decisions: Vec<String>,
    /// The time at which a group was last taken apart for another one.
    last_break_at: Option<Timestamp>,
    /// Models that engines were commanded to stage, and when.
    staging: BTreeMap<InstanceId, (ModelName, Timestamp)>,
    /// Times of recent stage commands, oldest first, and the engines that got them.
    load_starts: VecDeque<(Timestamp, InstanceId)>,
    /// Engines that did not accept a stage command, and when.
    failed_stage_at: BTreeMap<InstanceId, Timestamp>,
    /// Engine instances whose address another instance has taken over.
    dead: BTreeSet<InstanceId>,
    /// Engines to which a late command may still be on its way.
    unconfirmed: UnconfirmedEngines,
}

impl Grouping {
    /// Creates the state of a leader for its term, which must be higher than that of any earlier
    /// leader.
    ///
    /// `listening_since` is the time from which on the registry has been filled; the leader does
    /// not wait for reports (`settle`) if that was long ago.
    pub fn new(
        settings: GroupingSettings,
        term: u64,
        listening_since: Timestamp,
        now: Timestamp,
    ) -> Self {
        let epoch = term.saturating_mul(EPOCHS_PER_TERM);
        Self {
            settings,
            listening_since,
            started_at: now,
            epoch,
            reports_before_term: BTreeMap::new(),
            has_ticked: false,
            known_engines: (0, now),
            foreign_epoch: None,
            groups: BTreeMap::new(),
            finished_groups: BTreeMap::new(),
            free_since: BTreeMap::new(),
            reserved: BTreeMap::new(),
            suspects: BTreeMap::new(),
            decisions: Vec::new(),
            last_break_at: None,
            staging: BTreeMap::new(),
            load_starts: VecDeque::new(),
            failed_stage_at: BTreeMap::new(),
            dead: BTreeSet::new(),
            unconfirmed: UnconfirmedEngines::new(epoch),
        }
    }

    /// Advances all groups and returns the commands to send now.
    pub fn tick(&mut self, view: GroupingView<'_>) -> Vec<EngineCommand> {
        self.record_earlier_reports(view);
        self.observe_epochs(view);
        self.unconfirmed.observe(view.registry);
        if self.foreign_epoch.is_some() {
            return Vec::new();
        }
        let is_settled = view.now.since(self.listening_since) >= self.settings.settle;
        if !is_settled || self.waits_for_engines(view) {
            return Vec::new();
        }
        self.adopt_reported_groups(view);
        let mut commands = Vec::new();
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in ids {
            self.advance_group(&id, view, &mut commands);
        }
        self.place_groups(view, &mut commands);
        self.forget_unreported(view);
        commands
    }

    /// Handles the outcome of a command.
    pub fn handle_command_outcome(
        &mut self,
        command: &EngineCommand,
        outcome: &EngineCommandOutcome,
        now: Timestamp,
    ) {
        // A refused connection does not prove that the engine is dead: a network cut can look the
        // same.
        if *outcome == EngineCommandOutcome::OtherInstance {
            self.dead.insert(command.to.clone());
        }
        self.record_join_outcome(command, outcome);
        if matches!(command.kind, EngineCommandKind::Stage { .. }) {
            self.record_stage_outcome(&command.to, outcome, now);
        }
        let Some(group) = self.groups.get_mut(&command.group) else {
            return;
        };
        let member = group.members.iter_mut().find(|m| m.id == command.to);
        if let Some(member) = member
            && let Some(sent) = member.last.as_mut()
            && sent.name == command.kind.name()
        {
            sent.outcome = Some(outcome.clone());
            let is_query = command.kind == EngineCommandKind::Query;
            member.has_unconfirmed_command |=
                *outcome == EngineCommandOutcome::Unanswered && !is_query;
        }
        match (&command.kind, outcome) {
            (EngineCommandKind::Join { .. }, EngineCommandOutcome::Outdated) => {
                // Another leader has used a higher epoch, which the answer does not name.
                if group.phase == Phase::Joining {
                    group.enter(Phase::Leaving, now);
                }
                let beyond = self.epoch.saturating_add(EPOCHS_PER_TERM);
                self.record_foreign_epoch(beyond, now);
            }
            // The count includes late commands that the engine has begun already, so an engine that
            // such a command brought back into a group, and perhaps opened, would accept the join.
            // So the count is used only if the engine reports no group that it must leave first.
            (EngineCommandKind::Query, EngineCommandOutcome::Reported { begun, group: seen }) => {
                // A late join may have put the engine into its own retired group, which counts as
                // no group because it is never opened.
                let is_free = seen.as_ref().is_some_and(is_retired)
                    || group.may_join_from(&command.to, seen.as_ref());
                if group.phase == Phase::Retiring {
                    group.head_command_count = is_free.then_some(*begun);
                } else if is_free {
                    self.unconfirmed
                        .record_begun_count(&command.to, Some(*begun));
                }
            }
            (EngineCommandKind::Leave, EngineCommandOutcome::Done)
                if group.phase == Phase::Leaving && !group.has_unconfirmed_head() =>
            {
                self.finish_group(&command.group, now);
            }
            _ => {}
        }
    }

    /// Records from the outcome of a join whether a copy of it may still be executed late.
    fn record_join_outcome(&mut self, command: &EngineCommand, outcome: &EngineCommandOutcome) {
        if !matches!(command.kind, EngineCommandKind::Join { .. }) {
            return;
        }
        match outcome {
            EngineCommandOutcome::Begun | EngineCommandOutcome::Done => {
                self.unconfirmed.clear_below(&command.to, command.epoch);
            }
            EngineCommandOutcome::Unanswered => self.unconfirmed.add(&command.to, command.epoch),
            // The engine has begun another command since its last query.
            EngineCommandOutcome::InvalidState => {
                self.unconfirmed.record_begun_count(&command.to, None)
            }
            _ => {}
        }
    }

    /// Returns the id, epoch, model and phase name of each group, for logs.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, u64, &ModelName, &'static str)> {
        self.groups
            .iter()
            .map(|(id, group)| (id, group.epoch, &group.model, group.phase.name()))
    }

    /// Returns the counts of engines by state, for logs.
    pub fn census(&self, view: GroupingView<'_>) -> Census {
        let members = self.groups.values().flat_map(|group| {
            let ids = group.members.iter().map(|member| &member.id);
            ids.map(move |id| (id, group))
        });
        let placed: BTreeMap<&InstanceId, &Group> = members.collect();
        let mut census = Census::default();
        for (id, known) in view.registry.iter() {
            let Some(domain) = fabric_domain(known) else {
                continue;
            };
            let Some(engine) = &known.registration.engine else {
                continue;
            };
            let domain = census.domains.entry(domain).or_default();
            let is_silent = known.silent_for(view.now) > self.settings.silent_for_new;
            match placed.get(id) {
                _ if is_silent || !known.is_ready() => domain.lost += 1,
                None => domain.count_free(engine.staged.iter().chain(&engine.last_model).collect()),
                Some(group) => match group.phase {
                    Phase::Open => *domain.open.entry(group.model.clone()).or_default() += 1,
                    Phase::Joining | Phase::Opening => domain.forming += 1,
                    _ => domain.ending += 1,
                },
            }
        }
        census
    }

    /// Returns the number of groups that take requests, as far as this leader knows.
    pub fn open_groups(&self) -> usize {
        let open = self.groups.values().filter(|g| g.phase == Phase::Open);
        open.count()
    }

    /// Returns whether the very first groups should wait for further engines.
    ///
    /// Groups formed from the first few engines would have to be taken apart again.
    fn waits_for_engines(&mut self, view: GroupingView<'_>) -> bool {
        if !view.is_before_first_request || !self.groups.is_empty() {
            return false;
        }
        let known = view.registry.iter().count();
        if known != self.known_engines.0 {
            self.known_engines = (known, view.now);
        }
        let (_, since) = self.known_engines;
        view.now.since(since) < self.settings.arrival_gap
            && view.now.since(self.listening_since) < self.settings.arrival_limit
    }

    /// Records, at the first tick, how many reports of each engine had come before.
    fn record_earlier_reports(&mut self, view: GroupingView<'_>) {
        if !std::mem::replace(&mut self.has_ticked, true) {
            let heard = view.registry.iter();
            self.reports_before_term = heard
                .map(|(id, known)| (id.clone(), known.confirmations))
                .collect();
        }
    }

    /// Pauses this leader when engines report a higher epoch than its own.
    ///
    /// The higher epoch may be that of a newer leader, of which this one does not know yet. Two
    /// leaders that outbid each other would take each other's groups apart, and engines would
    /// execute a late command of the old leader if its epoch were above the newer leader's. So this
    /// leader first sends nothing for longer than an old leader can go on, and goes above the
    /// other's epochs only if it still leads then.
    fn observe_epochs(&mut self, view: GroupingView<'_>) {
        let statuses = view.registry.iter().filter_map(|(_, known)| known.group());
        if let Some(highest) = statuses.map(|status| status.epoch).max() {
            self.record_foreign_epoch(highest, view.now);
        }
        if let Some((epoch, at)) = self.foreign_epoch
            && view.now.since(at) >= self.settings.yield_to_newer
        {
            self.epoch = self.epoch.max(epoch);
            self.foreign_epoch = None;
        }
    }

    /// Records the highest epoch above this leader's own.
    fn record_foreign_epoch(&mut self, epoch: u64, now: Timestamp) {
        let known = self.foreign_epoch.map_or(self.epoch, |(known, _)| known);
        if epoch > known {
            self.foreign_epoch = Some((epoch, now));
        }
    }

    fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }

    /// Takes over groups that engines report and that this leader has not formed.
    fn adopt_reported_groups(&mut self, view: GroupingView<'_>) {
        let mut found: BTreeMap<GroupId, Vec<(&KnownInstance, &GroupStatus)>> = BTreeMap::new();
        let members = self.groups.values().flat_map(|group| {
            let epoch = group.epoch;
            group
                .members
                .iter()
                .map(move |member| (member.id.clone(), epoch))
        });
        let placed: BTreeMap<InstanceId, u64> = members.collect();
        for (_, known) in view.registry.iter() {
            let Some(status) = known.group().filter(|s| !is_retired(&s.group)) else {
                continue;
            };
            // A head that serves although its group was given up must be closed again, and an
            // engine that a late join has brought back since must leave again.
            let is_over = self.finished_groups.get(&status.group).is_some_and(|at| {
                !serves(status) && (status.rank != 0 || known.last_contact <= *at)
            });
            // A late command has put the engine into an old group while it is being joined to a
            // newer one. That join has the higher epoch, and no other command may come between.
            let newer = placed.get(&known.registration.id);
            if newer.is_some_and(|newer| *newer > status.epoch) && !serves(status) {
                continue;
            }
            if let Some(group) = self.groups.get_mut(&status.group) {
                // The member has first reported after its group was taken over.
                group.add_member(known, status);
            } else if !is_over {
                let members = found.entry(status.group.clone()).or_default();
                members.push((known, status));
            }
        }
        for (id, reports) in found {
            if let Some(group) = group_from_reports(reports, view) {
                self.groups.insert(id, group);
            }
        }
    }

    fn finish_group(&mut self, id: &GroupId, now: Timestamp) {
        if self.groups.remove(id).is_some() {
            self.finished_groups.insert(id.clone(), now);
        }
    }

    /// Drops the state of groups and engines that no report names any more.
    fn forget_unreported(&mut self, view: GroupingView<'_>) {
        let reported: BTreeSet<&GroupId> = view
            .registry
            .iter()
            .filter_map(|(_, known)| Some(&known.group()?.group))
            .collect();
        self.finished_groups.retain(|id, at| {
            reported.contains(id) || view.now.since(*at) < Duration::from_secs(60)
        });
        let registry = view.registry;
        self.free_since.retain(|id, _| registry.get(id).is_some());
        self.suspects.retain(|id, _| registry.get(id).is_some());
        self.failed_stage_at
            .retain(|id, _| registry.get(id).is_some());
    }
}

/// Returns an engine's fabric domain, or its failure domain if it reports none; `None` for an
/// upstream that is no engine.
fn fabric_domain(known: &KnownInstance) -> Option<FabricDomain> {
    let registration = &known.registration;
    let of_zone = || registration.failure_domain.as_str().parse().ok();
    let engine = registration.engine.as_ref()?;
    engine.fabric_domain.clone().or_else(of_zone)
}

/// Returns the group and state that an engine reports; `None` if it is in no group.
fn reported_status<'a>(view: GroupingView<'a>, id: &InstanceId) -> Option<&'a GroupStatus> {
    view.registry.get(id)?.group()
}

/// Returns whether a group consists of one retired head alone.
fn is_retired(group: &GroupId) -> bool {
    group.as_str().starts_with(RETIRED_PREFIX)
}

/// Returns whether an engine reports that it takes requests or still works on some.
fn serves(status: &GroupStatus) -> bool {
    matches!(status.state, MemberState::Open | MemberState::Closing)
}

/// Returns whether no engine has a group or staged models, as before the very first groups.
fn are_all_engines_unused(registry: &Registry) -> bool {
    registry.iter().all(|(_, known)| {
        let engine = known.registration.engine.as_ref();
        engine.is_none_or(|engine| engine.group.is_none() && engine.staged.is_empty())
    })
}

fn is_in_group(status: &GroupStatus, id: &GroupId, epoch: u64) -> bool {
    status.group == *id && status.epoch == epoch
}

fn is_member(status: &GroupStatus, id: &GroupId, epoch: u64, rank: u32) -> bool {
    is_in_group(status, id, epoch) && status.rank == rank
}

/// Returns whether an engine is in a group of a later epoch.
fn has_moved_on(known: &KnownInstance, epoch: u64) -> bool {
    known.group().is_some_and(|status| status.epoch > epoch)
}

/// Returns the group of an earlier epoch that an engine is in, unless it is a retired one.
fn older_group(known: &KnownInstance, epoch: u64) -> Option<&GroupId> {
    let status = known.group()?;
    let is_older = status.epoch < epoch && !is_retired(&status.group);
    is_older.then_some(&status.group)
}

/// Builds a group from the reports of its members; `None` if the route table has no model for its
/// service.
fn group_from_reports(
    mut reports: Vec<(&KnownInstance, &GroupStatus)>,
    view: GroupingView<'_>,
) -> Option<Group> {
    let epoch = reports.iter().map(|(_, status)| status.epoch).max()?;
    reports.retain(|(_, status)| status.epoch == epoch);
    reports.sort_by_key(|(_, status)| status.rank);
    let (known, first) = reports.first()?;
    let service = known.registration.service.clone();
    let traits = view.table.engine(&service)?;
    // A member that gets ready reports no model, and a head that was lost before it was ready never
    // did. The group is taken over with the first model of the service then, or its other members
    // would wait for ever.
    let reported_model = reports.iter().find_map(|(known, _)| {
        let engine = known.registration.engine.as_ref()?;
        engine.model.clone()
    });
    let model = reported_model.or_else(|| Some(traits.models.first()?.name.clone()))?;
    let size = traits.model(&model)?.size;
    let phase = match first.state {
        _ if first.rank != 0 => Phase::Breaking,
        MemberState::Open => Phase::Open,
        MemberState::Closing => Phase::Closing { is_cut: false },
        MemberState::Broken => Phase::Leaving,
        // The earlier leader may have given the group up and commanded a member elsewhere, under a
        // higher epoch and late. Only the epochs of this term are above all of those, so a group
        // that was not open yet is taken apart and formed anew.
        MemberState::Joining | MemberState::Ready => Phase::Leaving,
    };
    let reports = reports.iter();
    let members = reports.map(|(known, status)| Member::reported(known, status));
    Some(Group {
        epoch,
        service,
        model,
        size,
        members: members.collect(),
        phase,
        phase_since: view.now,
        suspects: Vec::new(),
        head_command_count: None,
    })
}
