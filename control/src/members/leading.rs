//! What the leader does besides: groups and the set of voters.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use cicadabend::{
    cluster::{
        Members,
        VoterView,
        next_voters, //
    },
    fleet::{
        FleetCommand,
        Voter, //
    },
    grouping::{
        EngineCommand,
        EngineCommandOutcome,
        Grouping,
        GroupingSettings,
        GroupingView, //
    },
    peer_api::DaemonRole,
    prelude::*,
    registry::{
        InstanceId,
        Registry, //
    },
    routes::RouteTable,
};

use super::events::LogEvent;
use crate::replication::ReplicationHandle;

/// How often the set of voters is looked at.
const VOTERS_EVERY: Duration = Duration::from_millis(500);
/// How often it is logged where all engines stand.
const CENSUS_EVERY: Duration = Duration::from_secs(5);
/// How long a new leader listens before it looks at the set of voters.
const VOTERS_AFTER: Duration = Duration::from_millis(2_000);

/// The leader's part, as long as this daemon leads.
pub(super) struct Leading {
    settings: GroupingSettings,
    listening_since: Timestamp,
    term: Option<(u64, Timestamp)>,
    grouping: Option<Grouping>,
    phases: BTreeMap<GroupId, &'static str>,
    voters_due: Timestamp,
    census_due: Timestamp,
}

impl Leading {
    pub(super) fn new(settings: GroupingSettings, now: Timestamp) -> Self {
        Self {
            settings,
            listening_since: now,
            term: None,
            grouping: None,
            phases: BTreeMap::new(),
            voters_due: Timestamp::default(),
            census_due: Timestamp::default(),
        }
    }

    /// Follows whether this daemon leads; the lease is checked at each look.
    pub(super) fn follow(&mut self, replication: &ReplicationHandle, now: Timestamp) {
        let status = replication.status();
        match (self.term, status.is_leader) {
            (Some((term, _)), true) if term == status.term => {}
            (_, true) => {
                let term = status.term;
                LogEvent::GroupingBegins { term }.emit();
                self.term = Some((term, now));
                let grouping = Grouping::new(self.settings, term, self.listening_since, now);
                self.grouping = Some(grouping);
                self.phases.clear();
            }
            (Some((term, _)), false) => {
                LogEvent::GroupingEnds { term }.emit();
                self.term = None;
                self.grouping = None;
            }
            (None, false) => {}
        }
    }

    /// Returns the term in which this daemon leads, if it does.
    pub(super) fn term(&self) -> Option<u64> {
        self.term.map(|(term, _)| term)
    }

    /// Returns the orders to give now.
    pub(super) fn orders(
        &mut self,
        table: &RouteTable,
        registry: &Registry,
        stalled: &BTreeSet<InstanceId>,
        demand: &BTreeMap<(ServiceName, ModelName), f64>,
        is_before_first_request: bool,
        now: Timestamp,
    ) -> Vec<EngineCommand> {
        let Some(grouping) = &mut self.grouping else {
            return Vec::new();
        };
        let view = GroupingView {
            table,
            registry,
            stalled,
            demand,
            is_before_first_request,
            now,
        };
        let orders = grouping.tick(view);
        if now >= self.census_due {
            self.census_due = now + CENSUS_EVERY;
            let engines = grouping.census(view).to_string();
            LogEvent::GroupsStand { engines }.emit();
        }
        for decision in grouping.take_decisions() {
            LogEvent::GroupsWeighed { decision }.emit();
        }
        for order in &orders {
            LogEvent::OrderGiven {
                order: order.kind.name(),
                instance: order.to.clone(),
                group: order.group.clone(),
                epoch: order.epoch,
            }
            .emit();
        }
        self.log_phases();
        orders
    }

    fn log_phases(&mut self) {
        let Some(grouping) = &self.grouping else {
            return;
        };
        let mut phases = BTreeMap::new();
        for (group, _, model, phase) in grouping.groups() {
            if self.phases.get(group) != Some(&phase) {
                LogEvent::GroupMoved {
                    group: group.clone(),
                    model: model.clone(),
                    phase: phase.to_owned(),
                }
                .emit();
            }
            phases.insert(group.clone(), phase);
        }
        self.phases = phases;
    }

    /// Takes note of the answer to an order.
    pub(super) fn answered(
        &mut self,
        order: &EngineCommand,
        outcome: EngineCommandOutcome,
        now: Timestamp,
    ) {
        LogEvent::OrderAnswered {
            order: order.kind.name(),
            instance: order.to.clone(),
            group: order.group.clone(),
            outcome: outcome.name(),
        }
        .emit();
        if let Some(grouping) = &mut self.grouping {
            grouping.handle_command_outcome(order, &outcome, now);
        }
    }

    /// Returns the change of the set of voters to propose now.
    pub(super) fn voters(
        &mut self,
        me: &Voter,
        members: &Members,
        replication: &ReplicationHandle,
        now: Timestamp,
    ) -> Option<FleetCommand> {
        let (_, since) = self.term?;
        if now < self.voters_due || now.since(since) < VOTERS_AFTER {
            return None;
        }
        self.voters_due = now + VOTERS_EVERY;
        let live_controls: Vec<Voter> = members
            .live_members(DaemonRole::Control, now)
            .filter_map(|member| {
                Some(Voter {
                    daemon: member.daemon.clone(),
                    disk: member.disk?,
                })
            })
            .collect();
        let state = replication.local();
        let wanted = next_voters(&VoterView {
            voters: state.voters(),
            me,
            live_controls: &live_controls,
            silent_for: &|daemon| members.silent_for(daemon, now),
            listening_for: now.since(since),
        })?;
        let names: Vec<&str> = wanted.iter().map(|voter| voter.daemon.as_str()).collect();
        LogEvent::VotersWanted {
            voters: names.join(","),
        }
        .emit();
        Some(FleetCommand::ChangeVoters { voters: wanted })
    }
}
