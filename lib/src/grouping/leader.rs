//! The leader's view of all groups, and what it orders next.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    balance::{
        DomainStanding,
        StandingGroup,
        Weighing,
        next_change, //
    },
    census::Census,
    doubts::Doubts,
    group::{
        Group,
        Member,
        Phase,
        Sent,
        Silence, //
    },
    order::{
        CloseMode,
        Order,
        OrderKind,
        OrderOutcome, //
    },
    placement::{
        FreeEngine,
        NewGroup,
        best_members,
        next_loads, //
    },
};
use crate::{
    ids::Address,
    prelude::*,
    registry::{
        Ended,
        GroupStanding,
        InstanceId,
        Known,
        MemberState,
        Registry, //
    },
    routes::{
        EngineTraits,
        ModelTraits,
        RouteTable, //
    },
};

/// A leader's epochs begin at its term times this.
const EPOCHS_PER_TERM: u64 = 1 << 20;
/// What the names of groups begin with that hold nothing but a head taken out of another.
const RETIRED_PREFIX: &str = "retired-";
/// How many reports must have come since this leader leads before an engine is ordered.
///
/// Each may be late, and then tells where the engine was before the last order of the
/// leader before; that all of them are late is not expected.
const FRESH_REPORTS: u32 = 2;
/// How long after a look that told of another group an engine is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// How long a member that was silent is heard again before it is sure that its head is not.
///
/// Engines report every 1.2 s, so all that were behind one cut are heard within this. Waiting
/// for a second report was tried: groups with a dead member then idled for that long.
const BACK_FOR: Duration = Duration::from_millis(1_400);
/// How many changes are decided at one look.
const MOST_CHANGES: usize = 64;
/// How long after a group was taken apart the next one may be.
///
/// What is taken apart is missing until the new group serves; deciding again meanwhile
/// would take apart others to make up for it.
const BREAKS_APART: Duration = Duration::from_secs(4);
/// What the present load counts against the shares at the start.
const DEMAND_WEIGHT: f64 = 0.5;
/// Less load than this, in requests times engines, tells nothing.
const LEAST_DEMAND: f64 = 40.0;
/// How long a domain is kept for the group for which another one is taken apart.
const RESERVED_FOR: Duration = Duration::from_secs(8);
/// What stands for the group in an order to an engine that is in none.
const NO_GROUP: &str = "none";
/// After this time an engine that was told to stage a model is told again.
const STAGING_FORGOTTEN: Duration = Duration::from_secs(60);
/// The span over which starts of loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

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
    pub is_prelude: bool,
    /// The time.
    pub now: Timestamp,
}

/// Which engine should load which model onto its host, and the group that it is in.
type StageOrder = (InstanceId, Address, GroupId, u64, ModelName);

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
    loads: VecDeque<Timestamp>,
    dead: BTreeSet<InstanceId>,
    doubts: Doubts,
    /// The highest epoch that a leader before this one can have given.
    epoch_before: u64,
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
        Self {
            settings,
            listening_since,
            started_at: now,
            epoch: term.saturating_mul(EPOCHS_PER_TERM),
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
            dead: BTreeSet::new(),
            doubts: Doubts::default(),
            epoch_before: term.saturating_mul(EPOCHS_PER_TERM),
        }
    }

    /// Returns what is to be ordered now.
    pub fn tick(&mut self, view: GroupingView<'_>) -> Vec<Order> {
        self.note_heard(view);
        self.note_epochs(view);
        self.doubts.observe(view.registry, self.epoch_before);
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
    pub fn answered(&mut self, order: &Order, outcome: &OrderOutcome, now: Timestamp) {
        // A refused connection proves nothing: a cut can look like that as well.
        if *outcome == OrderOutcome::OtherRun {
            self.dead.insert(order.to.clone());
        }
        self.note_doubt(order, outcome);
        let has_begun = matches!(outcome, OrderOutcome::Begun | OrderOutcome::Done);
        if matches!(order.kind, OrderKind::Stage { .. }) && !has_begun {
            // Kept as under way, lost orders would hold up all others for a minute.
            self.staging.remove(&order.to);
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
            member.is_doubtful |= *outcome == OrderOutcome::Unanswered;
        }
        match (&order.kind, outcome) {
            (OrderKind::Join { .. }, OrderOutcome::Outdated) => {
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
            (OrderKind::Look, OrderOutcome::Seen { begun, group: seen }) => {
                if group.phase == Phase::Retiring {
                    // A late join may also have brought it back to an older group.
                    let is_free = seen.as_ref().is_some_and(is_retired)
                        || group.may_join_from(&order.to, seen.as_ref());
                    group.head_orders = is_free.then_some(*begun);
                } else if group.may_join_from(&order.to, seen.as_ref()) {
                    self.doubts.looked_at(&order.to, Some(*begun));
                }
            }
            // What became of a load onto a host shows in the engine's reports.
            (OrderKind::Stage { .. }, OrderOutcome::Unfit | OrderOutcome::Outdated) => {}
            (OrderKind::Leave, OrderOutcome::Done)
                if group.phase == Phase::Leaving && !group.has_doubtful_head() =>
            {
                self.finish(&order.group, now);
            }
            _ => {}
        }
    }

    /// Takes note of what an answer tells of copies that may still be carried out.
    fn note_doubt(&mut self, order: &Order, outcome: &OrderOutcome) {
        if !matches!(order.kind, OrderKind::Join { .. }) {
            return;
        }
        match outcome {
            OrderOutcome::Begun | OrderOutcome::Done => {
                self.doubts.clear_below(&order.to, order.epoch);
            }
            OrderOutcome::Unanswered => self.doubts.add(&order.to, order.epoch),
            // It has begun something since it was looked at.
            OrderOutcome::Unfit => self.doubts.looked_at(&order.to, None),
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
            if known.registration.engine.is_none() {
                continue;
            }
            let domain = census.domains.entry(domain).or_default();
            let is_silent = known.silent_for(view.now) > self.settings.silent_for_new;
            match placed.get(id) {
                _ if is_silent || !known.is_ready() => domain.lost += 1,
                None => domain.free += 1,
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
        if !view.is_prelude || !self.groups.is_empty() {
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
        let standings = view
            .registry
            .iter()
            .filter_map(|(_, known)| group_of(known));
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
            let Some(standing) = group_of(known).filter(|s| !is_retired(&s.group)) else {
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

    fn step(&mut self, id: &GroupId, view: GroupingView<'_>, orders: &mut Vec<Order>) {
        let Some(mut group) = self.groups.remove(id) else {
            return;
        };
        let mut is_over = false;
        // A phase may end at once, so a few are looked at in one go.
        for _ in 0..4 {
            let before = group.phase;
            is_over = self.advance(id, &mut group, view);
            if is_over || group.phase == before {
                break;
            }
        }
        for suspect in std::mem::take(&mut group.suspects) {
            self.suspects.insert(suspect, view.now);
        }
        if is_over {
            // A head that was never heard may still be open. Whoever reports this group again
            // must leave it first, so it is not among those whose head is harmless.
            if group.phase != Phase::Breaking || group.head().is_some() {
                self.finished.insert(id.clone(), view.now);
            }
            return;
        }
        self.order(id, &mut group, view, orders);
        self.groups.insert(id.clone(), group);
    }

    /// Moves a group on by what is known now; returns whether its members are free.
    fn advance(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let now = view.now;
        match group.phase {
            Phase::Joining => return self.advance_joining(id, group, view),
            Phase::Opening => return self.advance_opening(id, group, view),
            Phase::Open => return self.advance_open(id, group, view),
            Phase::Closing { is_cut } => {
                let Some(head) = group.head() else {
                    group.enter(Phase::Breaking, now);
                    return false;
                };
                match self.head_standing(id, group, head, view) {
                    HeadStanding::Harmless => return true,
                    HeadStanding::Stopped => group.enter(Phase::Leaving, now),
                    HeadStanding::Silent => group.enter(Phase::Breaking, now),
                    HeadStanding::Serving => {
                        let is_late = now.since(group.since) >= self.settings.close_wait;
                        if is_late && !is_cut {
                            group.enter(Phase::Closing { is_cut: true }, now);
                        }
                    }
                }
            }
            Phase::Leaving => {
                let Some(head) = group.head() else {
                    group.enter(Phase::Breaking, now);
                    return false;
                };
                match self.head_standing(id, group, head, view) {
                    HeadStanding::Harmless if self.may_be_brought_back(group, head, view) => {
                        group.enter(Phase::Retiring, now);
                    }
                    HeadStanding::Harmless => return true,
                    HeadStanding::Silent => group.enter(Phase::Breaking, now),
                    // An `open` that came late: close it again first.
                    HeadStanding::Serving => group.enter(Phase::Closing { is_cut: false }, now),
                    HeadStanding::Stopped => {}
                }
            }
            Phase::Retiring => {
                let Some(head) = group.head() else {
                    return true;
                };
                match self.head_standing(id, group, head, view) {
                    HeadStanding::Harmless => return !self.may_be_brought_back(group, head, view),
                    HeadStanding::Silent => group.enter(Phase::Breaking, now),
                    HeadStanding::Serving => group.enter(Phase::Closing { is_cut: false }, now),
                    HeadStanding::Stopped => group.enter(Phase::Leaving, now),
                }
            }
            Phase::Breaking => return self.advance_breaking(id, group, view),
        }
        false
    }

    /// Returns whether late copies of orders could put the head back into the group.
    fn may_be_brought_back(&self, group: &Group, head: &Member, view: GroupingView<'_>) -> bool {
        let known = view.registry.get(&head.id);
        let has_moved_on = known.is_none_or(|known| has_moved_on(known, group.epoch));
        // A join to a newer group is on its way and outbids the late copies as well.
        let is_placed = self.groups.values().any(|other| {
            let is_member = |member: &Member| member.id == head.id;
            other.epoch > group.epoch && other.members.iter().any(is_member)
        });
        group.has_doubtful_head() && !has_moved_on && !is_placed && !self.is_dead(&head.id, view)
    }

    fn advance_joining(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let now = view.now;
        let is_lost = |member: &Member| match view.registry.get(&member.id) {
            None => true,
            Some(known) => {
                !known.is_ready()
                    || known.silent_for(now) > self.settings.silent_while_joining
                    || self.dead.contains(&member.id)
                    || has_moved_on(known, group.epoch)
            }
        };
        if !group.is_whole() || group.members.iter().any(is_lost) {
            group.enter(Phase::Leaving, now);
            return false;
        }
        let is_ready = |member: &Member| {
            let standing = view.registry.get(&member.id).and_then(group_of);
            standing.is_some_and(|standing| {
                is_member(standing, id, group.epoch, member.rank)
                    && matches!(standing.state, MemberState::Ready | MemberState::Open)
            })
        };
        if group.members.iter().all(is_ready) {
            group.enter(Phase::Opening, now);
        }
        false
    }

    fn advance_opening(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let standing = group
            .head()
            .map(|head| self.head_standing(id, group, head, view));
        match standing {
            Some(HeadStanding::Harmless) => return true,
            Some(HeadStanding::Silent) | None => {
                group.enter(Phase::Breaking, view.now);
                return false;
            }
            Some(HeadStanding::Serving | HeadStanding::Stopped) => {}
        }
        if self.has_lost_member(id, group, view) {
            group.enter(Phase::Closing { is_cut: true }, view.now);
            return false;
        }
        let head = group.head().and_then(|head| view.registry.get(&head.id));
        let state = head.and_then(group_of).map(|standing| standing.state);
        match state {
            Some(MemberState::Open) => group.enter(Phase::Open, view.now),
            Some(MemberState::Joining) => group.enter(Phase::Joining, view.now),
            Some(MemberState::Broken) => group.enter(Phase::Leaving, view.now),
            Some(MemberState::Ready | MemberState::Closing) | None => {}
        }
        false
    }

    fn advance_open(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let now = view.now;
        let Some(head) = group.head() else {
            group.enter(Phase::Breaking, now);
            return false;
        };
        match self.head_standing(id, group, head, view) {
            HeadStanding::Harmless => return true,
            HeadStanding::Silent => {
                group.enter(Phase::Breaking, now);
                return false;
            }
            HeadStanding::Stopped => {
                group.enter(Phase::Leaving, now);
                return false;
            }
            HeadStanding::Serving => {}
        }
        let is_stalled = self.is_stalled(group, view);
        if is_stalled {
            group.suspects = self.silent_members(group, view);
        }
        let is_lost = is_stalled || self.has_lost_member(id, group, view);
        if !group.is_whole() || is_lost {
            group.enter(Phase::Closing { is_cut: true }, now);
        } else if self.has_leaving_member(group, view) {
            group.enter(Phase::Closing { is_cut: false }, now);
        }
        false
    }

    /// Takes the other members away from a head that cannot be reached.
    ///
    /// An engine that has left belongs to no group, whatever the head does, so it is free at
    /// once. The group stays until the head is heard or forgotten, so that a member whom a
    /// late copy of its `join` brings back is told to leave again.
    fn advance_breaking(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let limit = self.settings.silent_in_stalled;
        for member in &mut group.members {
            let known = view.registry.get(&member.id);
            let is_silent = known.is_none_or(|known| known.silent_for(view.now) > limit);
            member.silence.observe(is_silent, view.now);
        }
        // Only a head that is heard again is more than silent, whatever the limit was.
        let is_heard = |head: &Member| {
            view.registry.get(&head.id).is_none_or(|known| {
                known.heard_at > group.since
                    && known.silent_for(view.now) <= self.settings.silent_in_stalled
            })
        };
        if let Some(head) = group
            .head()
            .filter(|head| is_heard(head) || self.is_dead(&head.id, view))
        {
            match self.head_standing(id, group, head, view) {
                HeadStanding::Harmless => return true,
                // A cut has healed, and the group has served on behind it.
                HeadStanding::Serving if self.is_intact(id, group, view) => {
                    group.enter(Phase::Open, view.now);
                    return false;
                }
                HeadStanding::Serving => {
                    // The others' reports come within one interval, if they were cut off too.
                    let is_due = head.silence.is_heard_for(BACK_FOR, view.now);
                    if is_due || self.has_lost_member(id, group, view) {
                        group.enter(Phase::Closing { is_cut: true }, view.now);
                    }
                    return false;
                }
                HeadStanding::Stopped => {
                    group.enter(Phase::Leaving, view.now);
                    return false;
                }
                HeadStanding::Silent => {}
            }
        }
        let epoch = group.epoch;
        let is_in = |standing: &GroupStanding| standing.group == *id && standing.epoch == epoch;
        let has_left = |member: &Member| {
            let known = view.registry.get(&member.id);
            self.is_dead(&member.id, view)
                || known.is_some_and(|known| !group_of(known).is_some_and(is_in))
        };
        group
            .members
            .retain(|member| member.rank == 0 || !has_left(member));
        let is_unknown = |member: &Member| view.registry.get(&member.id).is_none();
        // Nobody is left of it that could be ordered anywhere.
        group.members.iter().all(is_unknown)
    }

    /// Returns whether the head is open and every member was heard lately in its place.
    fn is_intact(&self, id: &GroupId, group: &Group, view: GroupingView<'_>) -> bool {
        let is_in_place = |member: &Member| {
            let known = view.registry.get(&member.id);
            known.is_some_and(|known| {
                let standing = group_of(known);
                let is_open = standing.is_some_and(|s| s.state == MemberState::Open);
                known.is_ready()
                    && known.heard_at > group.since
                    && known.silent_for(view.now) <= self.settings.silent_in_stalled
                    && standing.is_some_and(|s| is_member(s, id, group.epoch, member.rank))
                    && (member.rank != 0 || is_open)
            })
        };
        group.is_whole() && group.members.iter().all(is_in_place)
    }

    fn is_dead(&self, id: &InstanceId, view: GroupingView<'_>) -> bool {
        self.dead.contains(id) || view.registry.ended(id) == Some(Ended::Dead)
    }

    /// Returns whether a member is certainly gone, so that the group cannot work.
    fn has_lost_member(&self, id: &GroupId, group: &Group, view: GroupingView<'_>) -> bool {
        group.members.iter().any(|member| {
            let moved = view.registry.get(&member.id).is_some_and(|known| {
                let standing = group_of(known);
                standing.is_none_or(|standing| !is_member(standing, id, group.epoch, member.rank))
            });
            moved || self.is_dead(&member.id, view)
        })
    }

    /// Returns whether a group stands still because a member is gone.
    ///
    /// Silence alone may be a cut between a member and the leader, while the group goes
    /// on serving. Streams that stand still alone may be a slow head. Both together are
    /// a member that is lost, seconds before the head itself says that it is broken.
    fn is_stalled(&self, group: &Group, view: GroupingView<'_>) -> bool {
        let stands_still = group
            .head()
            .is_some_and(|head| view.stalled.contains(&head.id));
        stands_still
            && group.members.iter().any(|member| {
                view.registry.get(&member.id).is_none_or(|known| {
                    known.silent_for(view.now) >= self.settings.silent_in_stalled
                })
            })
    }

    /// Returns the members of a group that stands still which may be what it has lost.
    fn silent_members(&self, group: &Group, view: GroupingView<'_>) -> Vec<InstanceId> {
        let limit = self.settings.silent_in_stalled;
        let is_silent = |member: &&Member| {
            let known = view.registry.get(&member.id);
            known.is_none_or(|known| known.silent_for(view.now) >= limit)
        };
        let silent = group.members.iter().filter(is_silent);
        silent.map(|member| member.id.clone()).collect()
    }

    fn has_leaving_member(&self, group: &Group, view: GroupingView<'_>) -> bool {
        group.members.iter().any(|member| {
            let known = view.registry.get(&member.id);
            known.is_some_and(|known| !known.is_ready())
                || view.registry.ended(&member.id) == Some(Ended::Left)
        })
    }

    fn head_standing(
        &self,
        id: &GroupId,
        group: &Group,
        head: &Member,
        view: GroupingView<'_>,
    ) -> HeadStanding {
        if self.is_dead(&head.id, view) {
            return HeadStanding::Harmless;
        }
        let Some(known) = view.registry.get(&head.id) else {
            return match view.registry.ended(&head.id) {
                // It works off what it has, and may be told to stop.
                Some(Ended::Left) => match group.phase {
                    Phase::Leaving => HeadStanding::Stopped,
                    Phase::Closing { .. } if self.was_done(head, "close") => HeadStanding::Stopped,
                    _ => HeadStanding::Serving,
                },
                _ => HeadStanding::Silent,
            };
        };
        let is_refused = head
            .last
            .as_ref()
            .is_some_and(|sent| sent.outcome == Some(OrderOutcome::Refused));
        let limit = match is_refused {
            _ if view.stalled.contains(&head.id) => self.settings.silent_in_stalled,
            true => self.settings.silent_and_refused,
            false => self.settings.silent_head,
        };
        if known.silent_for(view.now) > limit {
            return HeadStanding::Silent;
        }
        match group_of(known) {
            Some(standing) if standing.group == *id && standing.epoch == group.epoch => {
                match standing.state {
                    MemberState::Open | MemberState::Closing => HeadStanding::Serving,
                    MemberState::Joining | MemberState::Ready | MemberState::Broken => {
                        HeadStanding::Stopped
                    }
                }
            }
            // Before its join is seen, a head reports what it was in before.
            _ if group.phase == Phase::Joining => HeadStanding::Stopped,
            _ => HeadStanding::Harmless,
        }
    }

    fn was_done(&self, member: &Member, order: &str) -> bool {
        member
            .last
            .as_ref()
            .is_some_and(|sent| sent.order == order && sent.outcome == Some(OrderOutcome::Done))
    }

    /// Gives the orders that a group's phase asks for.
    fn order(
        &mut self,
        id: &GroupId,
        group: &mut Group,
        view: GroupingView<'_>,
        orders: &mut Vec<Order>,
    ) {
        let wanted: Vec<(usize, OrderKind)> = match group.phase {
            Phase::Joining => self.joins(id, group, view),
            Phase::Opening => vec![(0, OrderKind::Open)],
            Phase::Open => Vec::new(),
            Phase::Closing { is_cut } => {
                let mode = match is_cut {
                    true => CloseMode::Cut,
                    false => CloseMode::Wait,
                };
                vec![(0, OrderKind::Close(mode))]
            }
            Phase::Retiring => {
                self.retire_head(id, group, view.now, orders);
                Vec::new()
            }
            Phase::Leaving => vec![(0, OrderKind::Leave)],
            Phase::Breaking => self.departures(id, group, view),
        };
        let epoch = group.epoch;
        for (place, kind) in wanted {
            let Some(member) = group.members.get_mut(place) else {
                continue;
            };
            if !self.is_due(member, &kind, view.now) {
                continue;
            }
            member.last = Some(Sent {
                order: kind.name(),
                at: view.now,
                outcome: None,
            });
            orders.push(Order {
                to: member.id.clone(),
                address: member.address,
                group: id.clone(),
                epoch,
                expected_orders: match kind {
                    OrderKind::Join { .. } => self.doubts.expected_orders(&member.id),
                    _ => None,
                },
                kind,
            });
        }
    }

    /// Takes the head out of its group by a join of its own, under a higher epoch.
    ///
    /// A head that only leaves can be brought back: a copy of its `join` that is carried
    /// out late puts it into the group again, and a late `open` opens it, while the other
    /// members serve elsewhere. An engine that has seen a higher epoch refuses both.
    fn retire_head(
        &mut self,
        id: &GroupId,
        group: &mut Group,
        now: Timestamp,
        orders: &mut Vec<Order>,
    ) {
        let Some(head) = group.members.first().filter(|member| member.rank == 0) else {
            return;
        };
        let join = OrderKind::Join {
            model: group.model.clone(),
            members: vec![head.id.clone()],
        };
        // The join itself may be carried out late, after a late copy of another order has
        // opened the head once more. So the head is asked first, and refuses the join if
        // it has begun anything since.
        let (kind, expected_orders) = match group.head_orders {
            None => (OrderKind::Look, None),
            Some(count) => (join, Some(count)),
        };
        if !self.is_due(head, &kind, now) {
            return;
        }
        let epoch = self.next_epoch();
        let retired = match kind {
            OrderKind::Look => Some(id.clone()),
            _ => format!("{RETIRED_PREFIX}{epoch}").parse().ok(),
        };
        let Some(retired) = retired else {
            return;
        };
        let sent = Sent {
            order: kind.name(),
            at: now,
            outcome: Some(OrderOutcome::Unanswered),
        };
        orders.push(Order {
            to: head.id.clone(),
            address: head.address,
            group: retired,
            epoch,
            kind,
            expected_orders,
        });
        // Whatever becomes of the join, the head is asked again before the next one.
        group.head_orders = None;
        if let Some(head) = group.members.first_mut() {
            head.last = Some(sent);
        }
    }

    fn joins(
        &self,
        id: &GroupId,
        group: &Group,
        view: GroupingView<'_>,
    ) -> Vec<(usize, OrderKind)> {
        let members: Vec<InstanceId> = group.members.iter().map(|m| m.id.clone()).collect();
        let is_in = |member: &Member| {
            let standing = view.registry.get(&member.id).and_then(group_of);
            standing.is_some_and(|standing| is_member(standing, id, group.epoch, member.rank))
        };
        let missing = group.members.iter().enumerate();
        let missing = missing.filter(|(_, member)| !is_in(member));
        missing
            .map(|(place, member)| {
                if self.doubts.must_look(&member.id) {
                    return (place, OrderKind::Look);
                }
                let kind = OrderKind::Join {
                    model: group.model.clone(),
                    members: members.clone(),
                };
                (place, kind)
            })
            .collect()
    }

    fn departures(
        &self,
        id: &GroupId,
        group: &Group,
        view: GroupingView<'_>,
    ) -> Vec<(usize, OrderKind)> {
        let others = group.members.iter().enumerate();
        let others = others.filter(|(_, member)| {
            let known = view.registry.get(&member.id);
            let standing = known.and_then(group_of);
            // One that was cut off with its head may be heard a little before it.
            member.rank != 0
                && member.silence.is_heard_for(BACK_FOR, view.now)
                && standing.is_some_and(|s| s.group == *id && s.epoch == group.epoch)
        });
        others.map(|(place, _)| (place, OrderKind::Leave)).collect()
    }

    fn is_due(&self, member: &Member, kind: &OrderKind, now: Timestamp) -> bool {
        let last = member.last.as_ref();
        let Some(sent) = last.filter(|sent| sent.order == kind.name()) else {
            return true;
        };
        let pause = match &sent.outcome {
            // A report may be some hundred milliseconds old.
            Some(OrderOutcome::Seen { .. }) => LOOK_AGAIN,
            None
            | Some(
                OrderOutcome::Begun
                | OrderOutcome::Done
                | OrderOutcome::Unfit
                | OrderOutcome::Outdated,
            ) => self.settings.repeat_taken,
            Some(OrderOutcome::Unanswered | OrderOutcome::Refused | OrderOutcome::OtherRun) => {
                self.settings.repeat_unanswered
            }
        };
        now.since(sent.at) >= pause
    }

    /// Forms new groups, and takes apart those whose engines are needed more elsewhere.
    fn place(&mut self, view: GroupingView<'_>, orders: &mut Vec<Order>) {
        let now = view.now;
        self.reserved
            .retain(|_, (_, at)| now.since(*at) < RESERVED_FOR);
        let services: Vec<(&ServiceName, &EngineTraits)> = view
            .table
            .services
            .iter()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
            .collect();
        for (service, traits) in services {
            for _ in 0..MOST_CHANGES {
                if !self.change(service, traits, view, orders) {
                    break;
                }
            }
            self.stage(service, traits, view, orders);
        }
    }

    /// Makes one change; returns whether another may follow at once.
    fn change(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
        orders: &mut Vec<Order>,
    ) -> bool {
        let domains = self.domains(service, traits, view);
        let engines = self.engines_by_model(service, traits);
        let all_empty = view.registry.iter().all(|(_, known)| is_untouched(known));
        let room = match all_empty || view.is_prelude {
            true => u32::MAX,
            false => self.load_room(traits, view.now),
        };
        let now = view.now;
        let may_load = |_: &FreeEngine| all_empty || view.is_prelude;
        if let Some(new) = self.reserved_group(traits, &domains) {
            self.form(service, traits, new, view, orders);
            return true;
        }
        let open: BTreeMap<FabricDomain, DomainStanding> = domains
            .into_iter()
            .filter(|(name, _)| !self.reserved.contains_key(name))
            .collect();
        let shares = shares(service, traits, view.demand);
        // What is being taken apart is missing until the new group serves.
        let is_calm = self
            .broken_at
            .is_none_or(|at| now.since(at) >= BREAKS_APART)
            && self.reserved.is_empty();
        let weighing = Weighing {
            traits,
            shares: &shares,
            engines: &engines,
            may_break: is_calm,
            now,
        };
        let Some(change) = next_change(&weighing, &open, may_load) else {
            return false;
        };
        if change.breaks.is_empty() {
            let free = open
                .get(&change.domain)
                .map(|domain| domain.free.as_slice());
            let model = traits.model(&change.model);
            let new = model
                .zip(free)
                .and_then(|(model, free)| best_members(model, free, may_load));
            let Some(new) = new.filter(|new| new.loads <= room) else {
                return false;
            };
            self.note_decision(&change, &engines);
            self.form(service, traits, new, view, orders);
            return true;
        }
        self.note_decision(&change, &engines);
        for id in &change.breaks {
            if let Some(group) = self.groups.get_mut(id) {
                group.enter(Phase::Closing { is_cut: false }, now);
            }
        }
        self.broken_at = Some(now);
        self.reserved.insert(change.domain, (change.model, now));
        true
    }

    fn note_decision(
        &mut self,
        change: &super::balance::Change,
        engines: &BTreeMap<ModelName, f64>,
    ) {
        let (before, after) = change.supply_before_after;
        let engines: Vec<String> = engines
            .iter()
            .map(|(model, count)| format!("{model} {count}"))
            .collect();
        let text = format!(
            "form {} in {} breaking {} loading {} switching {}; supply {before} to {after}; engines {}",
            change.model,
            change.domain,
            change.breaks.len(),
            change.loads,
            change.switches,
            engines.join(", "),
        );
        self.decisions.push(text);
    }

    /// Returns what was decided since the last call and what decided it, for logs.
    pub fn take_decisions(&mut self) -> Vec<String> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the group for which a domain was reserved, once its engines are free.
    fn reserved_group(
        &mut self,
        traits: &EngineTraits,
        domains: &BTreeMap<FabricDomain, DomainStanding>,
    ) -> Option<NewGroup> {
        let ready = self.reserved.iter().find_map(|(name, (model, _))| {
            let free = &domains.get(name)?.free;
            let new = best_members(traits.model(model)?, free, |_| false)?;
            Some((name.clone(), new))
        });
        let (name, new) = ready?;
        self.reserved.remove(&name);
        Some(new)
    }

    fn domains(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> BTreeMap<FabricDomain, DomainStanding> {
        let mut domains: BTreeMap<FabricDomain, DomainStanding> = BTreeMap::new();
        for engine in self.free_engines(service, view) {
            let domain = domains.entry(engine.fabric_domain.clone()).or_default();
            domain.free.push(engine);
        }
        let open = self.groups.iter();
        let open =
            open.filter(|(_, group)| group.service == *service && group.phase == Phase::Open);
        for (id, group) in open {
            let members: Vec<&Known> = group
                .members
                .iter()
                .filter_map(|member| view.registry.get(&member.id))
                .collect();
            let Some(domain) = members.first().and_then(|known| fabric_domain(known)) else {
                continue;
            };
            let quick = traits.models.iter().map(|model| {
                let is_quick = |known: &&&Known| {
                    let engine = known.registration.engine.as_ref();
                    group.model == model.name
                        || engine.is_some_and(|engine| engine.staged.contains(&model.name))
                };
                let count = members.iter().filter(is_quick).count();
                (model.name.clone(), u32::try_from(count).unwrap_or(0))
            });
            let standing = StandingGroup {
                group: id.clone(),
                model: group.model.clone(),
                quick: quick.collect(),
            };
            domains.entry(domain).or_default().groups.push(standing);
        }
        domains
    }

    fn engines_by_model(
        &self,
        service: &ServiceName,
        traits: &EngineTraits,
    ) -> BTreeMap<ModelName, f64> {
        let mut engines: BTreeMap<ModelName, f64> = BTreeMap::new();
        let useful = self.groups.values().filter(|group| {
            let counts = matches!(group.phase, Phase::Joining | Phase::Opening | Phase::Open);
            counts && group.service == *service
        });
        for group in useful {
            *engines.entry(group.model.clone()).or_default() += f64::from(group.size);
        }
        for (model, _) in self.reserved.values() {
            // It will be formed; nothing else may be done because it is still missing.
            let size = traits.model(model).map_or(0, |model| model.size);
            *engines.entry(model.clone()).or_default() += f64::from(size);
        }
        engines
    }

    /// Has the hosts keep another model than the one they run.
    ///
    /// An engine runs the model of its last group again within a moment, and one that is
    /// on its host within a second or two. With the other model on the host it can serve
    /// either, and a group that lost a member is made whole from any engine at hand.
    fn stage(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
        orders: &mut Vec<Order>,
    ) {
        let now = view.now;
        self.staging.retain(|id, (model, at)| {
            let known = view.registry.get(id);
            let engine = known.and_then(|known| known.registration.engine.as_ref());
            let is_done = engine.is_none_or(|engine| engine.staged.contains(model));
            !is_done && now.since(*at) < STAGING_FORGOTTEN
        });
        let mut wanted = self.stages_of_free(service, traits, view);
        wanted.extend(self.stages_of_members(service, traits, view));
        for (id, address, group, epoch, model) in wanted {
            if self.staging.contains_key(&id) {
                continue;
            }
            // Loads beside each other are slower in proportion.
            let has_room = (self.staging.len() as u32) < traits.loads_at_once.max(1)
                && self.load_room(traits, now) > 0;
            if !view.is_prelude && !has_room {
                return;
            }
            if !view.is_prelude {
                self.loads.push_back(now);
            }
            self.staging.insert(id.clone(), (model.clone(), now));
            orders.push(Order {
                to: id,
                address,
                group,
                epoch,
                kind: OrderKind::Stage { model },
                expected_orders: None,
            });
        }
    }

    /// Returns what free engines should load: first the model that is shortest.
    ///
    /// A group is only joined by engines that have its model at hand; if one of them had to
    /// load it, all others would idle until it has.
    fn stages_of_free(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> Vec<StageOrder> {
        let Ok(no_group) = NO_GROUP.parse::<GroupId>() else {
            return Vec::new();
        };
        let has = self.engines_by_model(service, traits);
        let supply = |model: &ModelTraits| {
            let engines = has.get(&model.name).copied().unwrap_or(0.0);
            engines / model.share.max(0.01)
        };
        let mut shortest_first: Vec<&ModelTraits> = traits.models.iter().collect();
        shortest_first.sort_by(|a, b| supply(a).total_cmp(&supply(b)));
        let mut domains: BTreeMap<FabricDomain, Vec<FreeEngine>> = BTreeMap::new();
        for engine in self.free_engines(service, view) {
            let domain = domains.entry(engine.fabric_domain.clone()).or_default();
            domain.push(engine);
        }
        let is_loading = |engine: &FreeEngine, model: &ModelName| {
            let staging = self.staging.get(&engine.id);
            staging.is_some_and(|(loading, _)| loading == model)
        };
        let domains = domains.values();
        let loads =
            domains.flat_map(|free| next_loads(free, &shortest_first, is_loading, view.now));
        let epoch = self.epoch;
        let wanted = loads
            .map(|(engine, model)| (engine.id, engine.address, no_group.clone(), epoch, model));
        wanted.collect()
    }

    /// Returns what members of open groups should load beside their work: the other model.
    fn stages_of_members(
        &self,
        service: &ServiceName,
        traits: &EngineTraits,
        view: GroupingView<'_>,
    ) -> Vec<StageOrder> {
        let mut wanted = Vec::new();
        let open = self.groups.iter();
        let open =
            open.filter(|(_, group)| group.service == *service && group.phase == Phase::Open);
        for (id, group) in open {
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
                    let (to, model) = (member.id.clone(), other.name.clone());
                    wanted.push((to, member.address, id.clone(), group.epoch, model));
                }
            }
        }
        wanted
    }

    fn form(
        &mut self,
        service: &ServiceName,
        traits: &EngineTraits,
        new: NewGroup,
        view: GroupingView<'_>,
        orders: &mut Vec<Order>,
    ) {
        let epoch = self.next_epoch();
        let Ok(id) = format!("g{epoch}").parse::<GroupId>() else {
            return;
        };
        if !view.is_prelude && !view.registry.iter().all(|(_, known)| is_untouched(known)) {
            for _ in 0..new.loads {
                self.loads.push_back(view.now);
            }
        }
        let size = traits.model(&new.model).map_or(0, |model| model.size);
        let members = (0..).zip(new.members).map(|(rank, engine)| Member {
            address: engine.address,
            rank,
            last: None,
            is_doubtful: false,
            stood_in: left_over_group(view, &engine.id),
            silence: Silence::Never,
            id: engine.id,
        });
        let mut group = Group {
            epoch,
            service: service.clone(),
            model: new.model,
            size,
            members: members.collect(),
            phase: Phase::Joining,
            since: view.now,
            suspects: Vec::new(),
            head_orders: None,
        };
        self.order(&id, &mut group, view, orders);
        self.groups.insert(id, group);
    }

    /// Returns how many loads may start now.
    fn load_room(&mut self, traits: &EngineTraits, now: Timestamp) -> u32 {
        if traits.loads_per_s <= 0.0 {
            return u32::MAX;
        }
        while self
            .loads
            .front()
            .is_some_and(|at| now.since(*at) >= LOAD_WINDOW)
        {
            self.loads.pop_front();
        }
        let limit = (traits.loads_per_s * LOAD_WINDOW.as_secs_f64()).floor() as usize;
        u32::try_from(limit.saturating_sub(self.loads.len())).unwrap_or(u32::MAX)
    }

    fn free_engines(&mut self, service: &ServiceName, view: GroupingView<'_>) -> Vec<FreeEngine> {
        let taken: BTreeSet<&InstanceId> = self
            .groups
            .values()
            .flat_map(|group| group.members.iter().map(|member| &member.id))
            .collect();
        let is_new = view.registry.iter().all(|(_, known)| is_untouched(known));
        let leads_for = view.now.since(self.started_at);
        let mut free = Vec::new();
        for (id, known) in view.registry.iter() {
            let registration = &known.registration;
            let Some(engine) = &registration.engine else {
                continue;
            };
            if registration.service != *service || taken.contains(id) {
                self.free_since.remove(id);
                continue;
            }
            let is_usable = known.is_ready()
                && known.silent_for(view.now) <= self.settings.silent_for_new
                && !self.dead.contains(id)
                && self
                    .suspects
                    .get(id)
                    .is_none_or(|since| known.heard_at > *since)
                && !group_of(known).is_some_and(serves)
                && (is_new || view.is_prelude || self.is_confirmed(known, leads_for));
            if !is_usable {
                continue;
            }
            let since = *self.free_since.entry(id.clone()).or_insert(view.now);
            let Some(fabric_domain) = fabric_domain(known) else {
                continue;
            };
            free.push(FreeEngine {
                id: id.clone(),
                address: registration.address,
                fabric_domain,
                failure_domain: registration.failure_domain.clone(),
                staged: engine.staged.clone(),
                last_model: engine.model.clone(),
                free_since: since,
            });
        }
        free
    }

    /// Returns whether an engine's report surely tells where it is now.
    ///
    /// The first report that is heard may have been delayed while another leader put the
    /// engine into a group. That cannot be once this leader has led for longer than a
    /// report is delayed and the engine has only just been started.
    fn is_confirmed(&self, known: &Known, leads_for: Duration) -> bool {
        let is_newborn = known.registration.sequence <= 2;
        if is_newborn && leads_for >= self.settings.report_delay {
            return true;
        }
        let before = self.heard_before.get(&known.registration.id);
        let fresh = known.confirmations - before.copied().unwrap_or(0).min(known.confirmations);
        fresh >= FRESH_REPORTS
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
            .filter_map(|(_, known)| group_of(known).map(|standing| &standing.group))
            .collect();
        self.finished.retain(|id, at| {
            reported.contains(id) || view.now.since(*at) < Duration::from_secs(60)
        });
        let registry = view.registry;
        self.free_since.retain(|id, _| registry.get(id).is_some());
        self.suspects.retain(|id, _| registry.get(id).is_some());
    }
}

/// What a group's head can still do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeadStanding {
    /// It can never take a request for this group again.
    Harmless,
    /// It takes none now, but a late order could open it.
    Stopped,
    /// It takes requests, or works on some.
    Serving,
    /// Nothing is known.
    Silent,
}

/// Returns the models' shares of the engines, as their load asks for.
///
/// Requests gather where engines are short, so what a model has at hand, times the size
/// of its groups, tells its part. The shares at the start are what is known before any
/// load; they keep half of the weight, so that a short burst does not turn everything.
fn shares(
    service: &ServiceName,
    traits: &EngineTraits,
    demand: &BTreeMap<(ServiceName, ModelName), f64>,
) -> BTreeMap<ModelName, f64> {
    let load = |model: &ModelTraits| {
        let requests = demand.get(&(service.clone(), model.name.clone()));
        requests.copied().unwrap_or(0.0) * f64::from(model.size)
    };
    let total: f64 = traits.models.iter().map(load).sum();
    if total < LEAST_DEMAND {
        return BTreeMap::new();
    }
    let share = |model: &ModelTraits| {
        let now = load(model) / total;
        let mixed = model.share * (1.0 - DEMAND_WEIGHT) + now * DEMAND_WEIGHT;
        (model.name.clone(), mixed)
    };
    traits.models.iter().map(share).collect()
}

/// Returns an engine's part of the fabric; without one, its failure domain counts as one.
fn fabric_domain(known: &Known) -> Option<FabricDomain> {
    let registration = &known.registration;
    let of_zone = || registration.failure_domain.as_str().parse().ok();
    let engine = registration.engine.as_ref()?;
    engine.fabric_domain.clone().or_else(of_zone)
}

/// Returns the group that an engine may still be in when it joins another.
///
/// A head could be opened again by a late order, after it was looked at.
fn left_over_group(view: GroupingView<'_>, id: &InstanceId) -> Option<GroupId> {
    let standing = view.registry.get(id).and_then(group_of)?;
    let is_harmless = standing.rank != 0 || is_retired(&standing.group);
    is_harmless.then(|| standing.group.clone())
}

fn group_of(known: &Known) -> Option<&GroupStanding> {
    known.registration.engine.as_ref()?.group.as_ref()
}

/// Whether a group is that of a head which was taken out of its group by itself.
fn is_retired(group: &GroupId) -> bool {
    group.as_str().starts_with(RETIRED_PREFIX)
}

/// Whether an engine, by its own word, takes requests as a head or works on some.
fn serves(standing: &GroupStanding) -> bool {
    matches!(standing.state, MemberState::Open | MemberState::Closing)
}

fn is_untouched(known: &Known) -> bool {
    let engine = known.registration.engine.as_ref();
    engine.is_none_or(|engine| engine.group.is_none() && engine.staged.is_empty())
}

fn is_member(standing: &GroupStanding, id: &GroupId, epoch: u64, rank: u32) -> bool {
    standing.group == *id && standing.epoch == epoch && standing.rank == rank
}

/// Whether an engine has taken an order of a later group.
fn has_moved_on(known: &Known, epoch: u64) -> bool {
    group_of(known).is_some_and(|standing| standing.epoch > epoch)
}

/// Makes a group from what its members report.
fn adopted(mut reports: Vec<(&Known, &GroupStanding)>, view: GroupingView<'_>) -> Option<Group> {
    let epoch = reports.iter().map(|(_, standing)| standing.epoch).max()?;
    reports.retain(|(_, standing)| standing.epoch == epoch);
    reports.sort_by_key(|(_, standing)| standing.rank);
    let (known, first) = reports.first()?;
    let service = known.registration.service.clone();
    let engine = known.registration.engine.as_ref()?;
    let model = engine.model.clone()?;
    let traits = view.table.engine(&service)?;
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
    let members = reports.iter().map(|(known, standing)| Member {
        id: known.registration.id.clone(),
        address: known.registration.address,
        rank: standing.rank,
        last: None,
        // Nobody knows what the leader before has ordered without an answer.
        is_doubtful: true,
        stood_in: None,
        silence: Silence::Never,
    });
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
