//! The tasks of the leading control daemon: it manages the groups and proposes voter changes.

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

/// How often the leader checks whether the set of voters must change.
const VOTERS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often the leader logs the state of all engines.
const CENSUS_INTERVAL: Duration = Duration::from_secs(5);
/// How long a new leader receives hellos before it first checks the set of voters.
const VOTERS_CHECK_DELAY: Duration = Duration::from_millis(2_000);

/// The state of the leader's tasks; empty while this daemon does not lead.
pub(super) struct LeaderTasks {
    settings: GroupingSettings,
    /// When this daemon began to receive upstreams' reports.
    listening_since: Timestamp,
    /// The term in which this daemon leads, and when it noticed that it leads.
    term: Option<(u64, Timestamp)>,
    grouping: Option<Grouping>,
    /// The phase of each group that was last logged.
    phases: BTreeMap<GroupId, &'static str>,
    voters_due: Timestamp,
    census_due: Timestamp,
}

impl LeaderTasks {
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

    /// Starts the tasks when this daemon becomes leader and ends them when it no longer leads.
    ///
    /// Each call checks the leader lease against the current time.
    pub(super) fn update_leadership(&mut self, replication: &ReplicationHandle, now: Timestamp) {
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

    /// Returns the commands to send to engines now.
    pub(super) fn commands(
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
        let commands = grouping.tick(view);
        if now >= self.census_due {
            self.census_due = now + CENSUS_INTERVAL;
            let engines = grouping.census(view).to_string();
            LogEvent::GroupsStand { engines }.emit();
        }
        for decision in grouping.take_decisions() {
            LogEvent::GroupsWeighed { decision }.emit();
        }
        for command in &commands {
            LogEvent::OrderGiven {
                order: command.kind.name(),
                instance: command.to.clone(),
                group: command.group.clone(),
                epoch: command.epoch,
            }
            .emit();
        }
        self.log_phase_changes();
        commands
    }

    fn log_phase_changes(&mut self) {
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

    /// Logs the outcome of a command and passes it to the group management.
    pub(super) fn record_outcome(
        &mut self,
        command: &EngineCommand,
        outcome: EngineCommandOutcome,
        now: Timestamp,
    ) {
        LogEvent::OrderAnswered {
            order: command.kind.name(),
            instance: command.to.clone(),
            group: command.group.clone(),
            outcome: outcome.name(),
        }
        .emit();
        if let Some(grouping) = &mut self.grouping {
            grouping.handle_command_outcome(command, &outcome, now);
        }
    }

    /// Returns the change of the set of voters to propose now, if any.
    ///
    /// Checks at most once per [`VOTERS_CHECK_INTERVAL`].
    pub(super) fn voter_change(
        &mut self,
        me: &Voter,
        members: &Members,
        replication: &ReplicationHandle,
        now: Timestamp,
    ) -> Option<FleetCommand> {
        let (_, since) = self.term?;
        if now < self.voters_due || now.since(since) < VOTERS_CHECK_DELAY {
            return None;
        }
        self.voters_due = now + VOTERS_CHECK_INTERVAL;
        let live: Vec<Voter> = members
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
            live_controls: &live,
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
