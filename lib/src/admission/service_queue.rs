//! The queue of one service: fair queueing of waiting requests between teams.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::Ticket;
use crate::prelude::*;

/// Weight of a new service time in the moving average.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;
/// Longest time of its fair share of the slots that a team can save up while it sends less.
///
/// Without this credit, a team that stays within its share on average would wait behind a
/// flooding team in each of its own bursts. Without a bound, a team that was idle could
/// later starve the others.
const MAX_SAVED_SHARE_MS: f64 = 2_000.0;

/// Queue position of a request among those of its own team; the lowest runs first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueuePosition {
    pub priority: u8,
    pub latest_start: Timestamp,
    /// Number of the offer, which breaks ties by arrival.
    pub sequence: u64,
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub ticket: Ticket,
    pub since: Timestamp,
}

/// Start-time fair queueing over teams.
///
/// Each team has a virtual time in ms, which grows by the slot time of its requests divided
/// by its weight. The next request comes from the eligible team with the lowest virtual
/// time. A team that had no waiting request, or was at its concurrency limit, starts again
/// at most [`MAX_SAVED_SHARE_MS`] of its share behind the queue's virtual time.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    virtual_time: f64,
    waiting: usize,
    running: u32,
    mean_service_ms: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    virtual_time: f64,
    requests: BTreeMap<QueuePosition, Waiting>,
}

/// A team's weight, and whether the team may run one more request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamStatus {
    pub weight: u32,
    pub has_room: bool,
}

impl ServiceQueue {
    pub fn len(&self) -> usize {
        self.waiting
    }

    pub fn waiting_count(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.requests.len())
    }

    pub fn push(
        &mut self,
        team: &TeamName,
        position: QueuePosition,
        waiting: Waiting,
        total_weight: u32,
    ) {
        let earliest = self.earliest_virtual_time(total_weight);
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), TeamQueue::default());
        }
        if let Some(queue) = self.teams.get_mut(team) {
            if queue.requests.is_empty() {
                queue.virtual_time = queue.virtual_time.max(earliest);
            }
            queue.requests.insert(position, waiting);
            self.waiting += 1;
        }
    }

    /// Returns the lowest virtual time at which a team may start again after a pause.
    fn earliest_virtual_time(&self, total_weight: u32) -> f64 {
        let slots = f64::from(self.running);
        self.virtual_time - MAX_SAVED_SHARE_MS * slots / f64::from(total_weight.max(1))
    }

    pub fn remove(&mut self, team: &TeamName, position: &QueuePosition) -> Option<Waiting> {
        let removed = self.teams.get_mut(team)?.requests.remove(position)?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Removes and returns the request that runs next; `None` only if no eligible team has one.
    pub fn pop(
        &mut self,
        team_status: impl Fn(&TeamName) -> TeamStatus,
        total_weight: u32,
    ) -> Option<(TeamName, Waiting)> {
        let team = self.furthest_behind(&team_status, total_weight)?;
        let charge = self.expected_charge();
        let queue = self.teams.get_mut(&team)?;
        let (_, waiting) = queue.requests.pop_first()?;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += charge / f64::from(team_status(&team).weight);
        self.waiting -= 1;
        self.running += 1;
        Some((team, waiting))
    }

    /// Returns the eligible team with the lowest virtual time.
    ///
    /// Teams that have saved up at least half of the possible credit rank equally, and
    /// among them the team whose front request has waited longest goes first. Otherwise,
    /// of several teams within their shares, the one that sends slightly more would wait
    /// for all the others.
    fn furthest_behind(
        &mut self,
        team_status: impl Fn(&TeamName) -> TeamStatus,
        total_weight: u32,
    ) -> Option<TeamName> {
        let earliest = self.earliest_virtual_time(total_weight);
        let half_credit = (self.virtual_time + earliest) / 2.0;
        let mut chosen: Option<(&TeamName, (f64, Timestamp))> = None;
        for (team, queue) in &mut self.teams {
            if !team_status(team).has_room {
                queue.virtual_time = queue.virtual_time.max(earliest);
                continue;
            }
            let Some((_, first)) = queue.requests.first_key_value() else {
                continue;
            };
            let key = (queue.virtual_time.max(half_credit), first.since);
            if chosen.is_none_or(|(_, least_key)| key < least_key) {
                chosen = Some((team, key));
            }
        }
        chosen.map(|(team, _)| team.clone())
    }

    /// Records that a request ended, and corrects its team's charge to the slot time really used.
    pub fn record_end(&mut self, team: &TeamName, weight: u32, charged: f64, duration: Duration) {
        let duration_ms = duration.as_millis() as f64;
        self.running = self.running.saturating_sub(1);
        self.mean_service_ms = Some(match self.mean_service_ms {
            None => duration_ms,
            Some(mean) => mean + NEW_SAMPLE_WEIGHT * (duration_ms - mean),
        });
        if let Some(queue) = self.teams.get_mut(team) {
            let correction = (duration_ms - charged) / f64::from(weight.max(1));
            queue.virtual_time += correction;
        }
    }

    /// Returns the slot time in ms that a team is charged when its request starts: the mean
    /// service time, since the real one is not known yet.
    pub fn expected_charge(&self) -> f64 {
        self.mean_service_ms.unwrap_or(1.0).max(1.0)
    }

    /// Returns the expected wait at a queue position; `None` before any request has ended.
    ///
    /// By Little's law, requests end at a rate of the number running divided by the mean
    /// service time. Ahead of this request run the earlier requests of its own team and,
    /// of each other team, as many as its weight allows meanwhile.
    pub fn expected_wait(
        &self,
        team: &TeamName,
        position: &QueuePosition,
        weight: impl Fn(&TeamName) -> u32,
        concurrent_limit: u32,
    ) -> Option<Duration> {
        let mean_service_ms = self.mean_service_ms?;
        let own_weight = f64::from(weight(team));
        let own_ahead = self.own_ahead(team, position) as f64;
        let others_ahead: f64 = self
            .teams
            .iter()
            .filter(|(other, _)| *other != team)
            .map(|(other, queue)| {
                let by_weight = (own_ahead + 1.0) * f64::from(weight(other)) / own_weight;
                by_weight.min(queue.requests.len() as f64)
            })
            .sum();
        let by_slots =
            (own_ahead + others_ahead) * mean_service_ms / f64::from(self.running.max(1));
        let by_limit = own_ahead * mean_service_ms / f64::from(concurrent_limit.max(1));
        Some(Duration::from_millis(by_slots.max(by_limit) as u64))
    }

    fn own_ahead(&self, team: &TeamName, position: &QueuePosition) -> usize {
        self.teams
            .get(team)
            .map_or(0, |queue| queue.requests.range(..position).count())
    }

    /// Returns the expected time until the queue is empty; `None` before any request has ended.
    pub fn drain_time(&self) -> Option<Duration> {
        let mean_service_ms = self.mean_service_ms?;
        let drain_ms = self.waiting as f64 * mean_service_ms / f64::from(self.running.max(1));
        Some(Duration::from_millis(drain_ms as u64))
    }

    /// Returns the team and queue position of the waiting request to remove from a full queue.
    ///
    /// This is the last request of the team with the most waiting requests per weight, with
    /// one more counted for the team `newcomer`. Priorities are not compared between
    /// teams, since a team could give all its requests the highest priority.
    pub fn least_valuable(
        &self,
        newcomer: &TeamName,
        weight: impl Fn(&TeamName) -> u32,
    ) -> Option<(TeamName, QueuePosition)> {
        let mut chosen: Option<(&TeamName, &TeamQueue, f64)> = None;
        for (team, queue) in &self.teams {
            let count = queue.requests.len() + usize::from(team == newcomer);
            let by_weight = count as f64 / f64::from(weight(team));
            let is_longer = chosen.is_none_or(|(_, _, longest)| by_weight > longest);
            if is_longer && !queue.requests.is_empty() {
                chosen = Some((team, queue, by_weight));
            }
        }
        let (team, queue, _) = chosen?;
        let (position, _) = queue.requests.last_key_value()?;
        Some((team.clone(), *position))
    }
}
