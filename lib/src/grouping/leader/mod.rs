//! The leader's view of all groups, and what it orders next.

mod ordering;
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
    doubts::Doubts,
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
};
use crate::{
    prelude::*,
    registry::{
        GroupStanding,
        InstanceId,
        Known,
        MemberState,
        Registry, //
    },
    routes::RouteTable,
};

/// A leader's epochs begin at its term times this.
const EPOCHS_PER_TERM: u64 = 1 << 20;
/// What the names of groups begin with that hold nothing but a head taken out of another.
const RETIRED_PREFIX: &str = "retired-";
/// How long a member that was silent is heard again before it is sure that its head is not.
///
/// All engines behind one cut report within this. Groups with a dead member idle for as long.
const BACK_FOR: Duration = Duration::from_millis(1_400);

/// The times that the decisions go by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupingSettings {
    /// How long a new leader listens before its first order.
    pub settle: Duration,
    /// How long an unanswered order waits before it is given again.
    pub repeat_unanswered: Duration,
    /// How long an order that was taken may show no effect before it is given again.
    pub repeat_taken: Duration,
    /// How long a member may be silent and still be put into a new group.
    pub silent_for_new: Duration,
    /// How long no new engine must have come before the very first groups are formed.
    pub arrivals_apart: Duration,
    /// How long the very first groups wait for engines at the most.
    pub arrivals_limit: Duration,
    /// How long a leader that sees a higher epoch than its own gives no orders.
    pub yield_to_newer: Duration,
    /// How long a report may be on its way.
    pub report_delay: Duration,
    /// How long a member may be silent before a group that is being formed is given up.
    pub silent_while_joining: Duration,
    /// How long a head may be silent before its group is given up.
    pub silent_head: Duration,
    /// How long a member may be silent in a group that stands still.
    pub silent_in_stalled: Duration,
    /// How long a head may finish what it has before it is cut off.
    pub close_wait: Duration,
    /// How long a head may be silent before its group is given up if it also refuses
    /// connections. A path that is cut can refuse them just as an engine that is down.
    pub silent_and_refused: Duration,
}

impl Default for GroupingSettings {
    fn default() -> Self {
        Self {
            settle: Duration::from_millis(1_600),
            repeat_unanswered: Duration::from_millis(800),
            repeat_taken: Duration::from_millis(3_000),
            silent_for_new: Duration::from_millis(1_800),
            arrivals_apart: Duration::from_millis(1_000),
            arrivals_limit: Duration::from_millis(4_000),
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

/// What a decision looks at.
#[derive(Clone, Copy)]
pub struct GroupingView<'a> {
    /// The table in force.
    pub table: &'a RouteTable,
    /// What engines report.
    pub registry: &'a Registry,
    /// Heads whose streams stand still, as entry daemons see them.
    pub stalled: &'a BTreeSet<InstanceId>,
    /// How many requests each model has at all entry daemons; empty if nobody tells.
    pub demand: &'a BTreeMap<(ServiceName, ModelName), f64>,
    /// Whether no caller has been served yet, so that loads hold up nobody.
    pub is_before_first_request: bool,
    /// The time.
    pub now: Timestamp,
}

/// All groups, as one leader of one term sees them.
#[derive(Clone, Debug)]
pub struct Grouping {
    settings: GroupingSettings,
    listening_since: Timestamp,
    started_at: Timestamp,
    epoch: u64,
    /// How often each engine was heard before this leader led.
    heard_before: BTreeMap<InstanceId, u32>,
    has_looked: bool,
    /// How many upstreams were known, and since when that has been so.
    engines_known: (usize, Timestamp),
    /// An epoch above all of this term, and when it was first seen.
    foreign: Option<(u64, Timestamp)>,
    groups: BTreeMap<GroupId, Group>,
    /// Groups that were taken apart; members may go on reporting them.
    finished: BTreeMap<GroupId, Timestamp>,
    free_since: BTreeMap<InstanceId, Timestamp>,
    /// Domains in which a group is taken apart so that one of a model can be formed.
    reserved: BTreeMap<FabricDomain, (ModelName, Timestamp)>,
    /// Silent members of groups that stood still, until they are heard again.
    suspects: BTreeMap<InstanceId, Timestamp>,
    /// What was decided since it was last asked for.
    decisions: Vec<String>,
    /// When a group was last taken apart for another one.
    broken_at: Option<Timestamp>,
    /// Models that engines were told to stage, and when.
    staging: BTreeMap<InstanceId, (ModelName, Timestamp)>,
    /// When loads were ordered lately, and of whom.
    loads: VecDeque<(Timestamp, InstanceId)>,
    /// Engines that have not taken an order to load, and when they did not.
    not_loading: BTreeMap<InstanceId, Timestamp>,
    dead: BTreeSet<InstanceId>,
    doubts: Doubts,
}

impl Grouping {
    /// Starts for a term, which must be higher than that of any earlier leader.
    ///
    /// `listening_since` is when the registry that it looks at began to be filled: one
    /// that was filled for long need not be waited for.
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
            heard_before: BTreeMap::new(),
            has_looked: false,
            engines_known: (0, now),
            foreign: None,
            groups: BTreeMap::new(),
            finished: BTreeMap::new(),
            free_since: BTreeMap::new(),
            reserved: BTreeMap::new(),
            suspects: BTreeMap::new(),
            decisions: Vec::new(),
            broken_at: None,
            staging: BTreeMap::new(),
            loads: VecDeque::new(),
            not_loading: BTreeMap::new(),
            dead: BTreeSet::new(),
            doubts: Doubts::new(epoch),
        }
    }

    /// Returns what is to be ordered now.
    pub fn tick(&mut self, view: GroupingView<'_>) -> Vec<EngineCommand> {
        self.note_heard(view);
        self.note_epochs(view);
        self.doubts.observe(view.registry);
        if self.foreign.is_some() {
            return Vec::new();
        }
        let is_settled = view.now.since(self.listening_since) >= self.settings.settle;
        if !is_settled || self.waits_for_engines(view) {
            return Vec::new();
        }
        self.adopt(view);
        let mut orders = Vec::new();
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in ids {
            self.step(&id, view, &mut orders);
        }
        self.place(view, &mut orders);
        self.forget(view);
        orders
    }

    /// Takes note of the answer to an order.
    pub fn handle_command_outcome(
        &mut self,
        order: &EngineCommand,
        outcome: &EngineCommandOutcome,
        now: Timestamp,
    ) {
        // A refused connection proves nothing: a cut can look like that as well.
        if *outcome == EngineCommandOutcome::OtherInstance {
            self.dead.insert(order.to.clone());
        }
        self.note_doubt(order, outcome);
        if matches!(order.kind, EngineCommandKind::Stage { .. }) {
            self.note_stage(&order.to, outcome, now);
        }
        let Some(group) = self.groups.get_mut(&order.group) else {
            return;
        };
        let member = group.members.iter_mut().find(|m| m.id == order.to);
        if let Some(member) = member
            && let Some(sent) = member.last.as_mut()
            && sent.order == order.kind.name()
        {
            sent.outcome = Some(outcome.clone());
            let is_look = order.kind == EngineCommandKind::Query;
            member.is_doubtful |= *outcome == EngineCommandOutcome::Unanswered && !is_look;
        }
        match (&order.kind, outcome) {
            (EngineCommandKind::Join { .. }, EngineCommandOutcome::Outdated) => {
                // Somebody has given a higher number; nobody tells which.
                if group.phase == Phase::Joining {
                    group.enter(Phase::Leaving, now);
                }
                let beyond = self.epoch.saturating_add(EPOCHS_PER_TERM);
                self.note_foreign(beyond, now);
            }
            // Late orders that the engine has begun already are in the count, so one that
            // they brought back, and perhaps opened, would take the join: it is closed and
            // leaves first, as soon as its report tells.
            (EngineCommandKind::Query, EngineCommandOutcome::Reported { begun, group: seen }) => {
                // A late join may have put it into the group that it is alone in, which is as
                // good as none: nobody opens that.
                let is_free = seen.as_ref().is_some_and(is_retired)
                    || group.may_join_from(&order.to, seen.as_ref());
                if group.phase == Phase::Retiring {
                    group.head_orders = is_free.then_some(*begun);
                } else if is_free {
                    self.doubts.looked_at(&order.to, Some(*begun));
                }
            }
            (EngineCommandKind::Leave, EngineCommandOutcome::Done)
                if group.phase == Phase::Leaving && !group.has_doubtful_head() =>
            {
                self.finish(&order.group, now);
            }
            _ => {}
        }
    }

    /// Takes note of what an answer tells of copies that may still be carried out.
    fn note_doubt(&mut self, order: &EngineCommand, outcome: &EngineCommandOutcome) {
        if !matches!(order.kind, EngineCommandKind::Join { .. }) {
            return;
        }
        match outcome {
            EngineCommandOutcome::Begun | EngineCommandOutcome::Done => {
                self.doubts.clear_below(&order.to, order.epoch);
            }
            EngineCommandOutcome::Unanswered => self.doubts.add(&order.to, order.epoch),
            // It has begun something since it was looked at.
            EngineCommandOutcome::InvalidState => self.doubts.looked_at(&order.to, None),
            _ => {}
        }
    }

    /// Returns a line for each group, for logs.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, u64, &ModelName, &'static str)> {
        self.groups
            .iter()
            .map(|(id, group)| (id, group.epoch, &group.model, group.phase.name()))
    }

    /// Returns where all engines stand, for logs.
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

    /// Returns how many groups take requests, as far as this leader knows.
    pub fn open_groups(&self) -> usize {
        let open = self.groups.values().filter(|g| g.phase == Phase::Open);
        open.count()
    }

    /// Returns whether, before anything was ever formed, more engines are still coming.
    ///
    /// Groups of the first few that have reported would have to be taken apart again.
    fn waits_for_engines(&mut self, view: GroupingView<'_>) -> bool {
        if !view.is_before_first_request || !self.groups.is_empty() {
            return false;
        }
        let known = view.registry.iter().count();
        if known != self.engines_known.0 {
            self.engines_known = (known, view.now);
        }
        let (_, since) = self.engines_known;
        view.now.since(since) < self.settings.arrivals_apart
            && view.now.since(self.listening_since) < self.settings.arrivals_limit
    }

    /// Notes, at the first look, what was heard before this leader led.
    fn note_heard(&mut self, view: GroupingView<'_>) {
        if !std::mem::replace(&mut self.has_looked, true) {
            let heard = view.registry.iter();
            self.heard_before = heard
                .map(|(id, known)| (id.clone(), known.confirmations))
                .collect();
        }
    }

    /// Epochs that engines tell may come from a leader whose term is unknown here.
    ///
    /// A higher epoch than any of this term may also be that of a newer leader, of which
    /// this one has not heard yet. Two leaders that outbid each other would take each
    /// other's groups apart, and a late order of one could be the higher one. So this
    /// leader falls silent first, for longer than an old leader can go on, and goes above
    /// the other's epochs only if it still leads then.
    fn note_epochs(&mut self, view: GroupingView<'_>) {
        let standings = view.registry.iter().filter_map(|(_, known)| known.group());
        if let Some(highest) = standings.map(|standing| standing.epoch).max() {
            self.note_foreign(highest, view.now);
        }
        if let Some((epoch, at)) = self.foreign
            && view.now.since(at) >= self.settings.yield_to_newer
        {
            self.epoch = self.epoch.max(epoch);
            self.foreign = None;
        }
    }

    fn note_foreign(&mut self, epoch: u64, now: Timestamp) {
        let known = self.foreign.map_or(self.epoch, |(known, _)| known);
        if epoch > known {
            self.foreign = Some((epoch, now));
        }
    }

    fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }

    /// Takes over groups that engines report and this leader has not formed.
    fn adopt(&mut self, view: GroupingView<'_>) {
        let mut found: BTreeMap<GroupId, Vec<(&Known, &GroupStanding)>> = BTreeMap::new();
        let members = self.groups.values().flat_map(|group| {
            let epoch = group.epoch;
            group
                .members
                .iter()
                .map(move |member| (member.id.clone(), epoch))
        });
        let placed: BTreeMap<InstanceId, u64> = members.collect();
        for (_, known) in view.registry.iter() {
            let Some(standing) = known.group().filter(|s| !is_retired(&s.group)) else {
                continue;
            };
            // A head that serves although its group was given up must be closed again, and one
            // that a late join has brought back since must leave again.
            let is_over = self.finished.get(&standing.group).is_some_and(|at| {
                !serves(standing) && (standing.rank != 0 || known.heard_at <= *at)
            });
            // A late order has put an engine into an old group while it is being joined to
            // a newer one; that join outbids it, and no other order may come between.
            let newer = placed.get(&known.registration.id);
            if newer.is_some_and(|newer| *newer > standing.epoch) && !serves(standing) {
                continue;
            }
            if let Some(group) = self.groups.get_mut(&standing.group) {
                // A member that is heard of after its group was taken over.
                group.add_member(known, standing);
            } else if !is_over {
                let members = found.entry(standing.group.clone()).or_default();
                members.push((known, standing));
            }
        }
        for (id, reports) in found {
            if let Some(group) = adopted(reports, view) {
                self.groups.insert(id, group);
            }
        }
    }

    fn finish(&mut self, id: &GroupId, now: Timestamp) {
        if self.groups.remove(id).is_some() {
            self.finished.insert(id.clone(), now);
        }
    }

    /// Forgets what nobody reports any more.
    fn forget(&mut self, view: GroupingView<'_>) {
        let reported: BTreeSet<&GroupId> = view
            .registry
            .iter()
            .filter_map(|(_, known)| Some(&known.group()?.group))
            .collect();
        self.finished.retain(|id, at| {
            reported.contains(id) || view.now.since(*at) < Duration::from_secs(60)
        });
        let registry = view.registry;
        self.free_since.retain(|id, _| registry.get(id).is_some());
        self.suspects.retain(|id, _| registry.get(id).is_some());
        self.not_loading.retain(|id, _| registry.get(id).is_some());
    }
}

/// Returns an engine's part of the fabric; without one, its failure domain counts as one.
fn fabric_domain(known: &Known) -> Option<FabricDomain> {
    let registration = &known.registration;
    let of_zone = || registration.failure_domain.as_str().parse().ok();
    let engine = registration.engine.as_ref()?;
    engine.fabric_domain.clone().or_else(of_zone)
}

/// Returns the group that an engine reports.
fn standing_of<'a>(view: GroupingView<'a>, id: &InstanceId) -> Option<&'a GroupStanding> {
    view.registry.get(id)?.group()
}

/// Whether a group is that of a head which was taken out of its group by itself.
fn is_retired(group: &GroupId) -> bool {
    group.as_str().starts_with(RETIRED_PREFIX)
}

/// Whether an engine, by its own word, takes requests as a head or works on some.
fn serves(standing: &GroupStanding) -> bool {
    matches!(standing.state, MemberState::Open | MemberState::Closing)
}

/// Whether no engine has a group or a model at hand, as before the very first groups.
fn are_all_untouched(registry: &Registry) -> bool {
    registry.iter().all(|(_, known)| {
        let engine = known.registration.engine.as_ref();
        engine.is_none_or(|engine| engine.group.is_none() && engine.staged.is_empty())
    })
}

fn is_in(standing: &GroupStanding, id: &GroupId, epoch: u64) -> bool {
    standing.group == *id && standing.epoch == epoch
}

fn is_member(standing: &GroupStanding, id: &GroupId, epoch: u64, rank: u32) -> bool {
    is_in(standing, id, epoch) && standing.rank == rank
}

/// Whether an engine has taken an order of a later group.
fn has_moved_on(known: &Known, epoch: u64) -> bool {
    known.group().is_some_and(|standing| standing.epoch > epoch)
}

/// Returns the group before this epoch that an engine is in, unless it was retired to it.
fn older_group(known: &Known, epoch: u64) -> Option<&GroupId> {
    let standing = known.group()?;
    let is_older = standing.epoch < epoch && !is_retired(&standing.group);
    is_older.then_some(&standing.group)
}

/// Makes a group from what its members report.
fn adopted(mut reports: Vec<(&Known, &GroupStanding)>, view: GroupingView<'_>) -> Option<Group> {
    let epoch = reports.iter().map(|(_, standing)| standing.epoch).max()?;
    reports.retain(|(_, standing)| standing.epoch == epoch);
    reports.sort_by_key(|(_, standing)| standing.rank);
    let (known, first) = reports.first()?;
    let service = known.registration.service.clone();
    let traits = view.table.engine(&service)?;
    // A member that gets ready tells no model, nor does a head that was lost before it was
    // ready. Its group is taken over all the same, or its other members would wait for ever.
    let told = reports.iter().find_map(|(known, _)| {
        let engine = known.registration.engine.as_ref()?;
        engine.model.clone()
    });
    let model = told.or_else(|| Some(traits.models.first()?.name.clone()))?;
    let size = traits.model(&model)?.size;
    let phase = match first.state {
        _ if first.rank != 0 => Phase::Breaking,
        MemberState::Open => Phase::Open,
        MemberState::Closing => Phase::Closing { is_cut: false },
        MemberState::Broken => Phase::Leaving,
        // The leader that was forming it may have given it up and ordered a member
        // elsewhere, under a higher epoch and late. Only orders of this term are above
        // all of those, so what was not open yet is formed anew.
        MemberState::Joining | MemberState::Ready => Phase::Leaving,
    };
    let reports = reports.iter();
    let members = reports.map(|(known, standing)| Member::reported(known, standing));
    Some(Group {
        epoch,
        service,
        model,
        size,
        members: members.collect(),
        phase,
        since: view.now,
        suspects: Vec::new(),
        head_orders: None,
    })
}
