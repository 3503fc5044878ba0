//! The requests that wait for one service, fair between teams.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::Ticket;
use crate::prelude::*;

/// Weight of a new measurement in the moving average.
const NEW_WEIGHT: f64 = 0.1;
/// For how long a team may save up its fair share of the slots while it sends less.
///
/// Without it a team within its share on average waits behind a flooding team in
/// each of its own bursts; without a bound an idle team could later starve others.
const SAVED_SHARE_MS: f64 = 2_000.0;

/// Where a request stands among those of its own team.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    pub priority: u8,
    pub latest_start: Timestamp,
    pub sequence: u64,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub ticket: Ticket,
    pub since: Timestamp,
}

/// Start-time fair queueing over teams.
///
/// Each team has a virtual time that grows by the slot time its requests take,
/// divided by its weight; the eligible team that is furthest behind goes next. A
/// team that had nothing to send, or was at its limit, starts again at most
/// [`SAVED_SHARE_MS`] of its share behind the queue's virtual time.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    virtual_time: f64,
    waiting: usize,
    running: u32,
    service_ms: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    virtual_time: f64,
    places: BTreeMap<Place, Waiting>,
}

/// What is asked about a team while the next one is chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamStanding {
    pub weight: u32,
    pub has_room: bool,
}

impl ServiceQueue {
    pub fn len(&self) -> usize {
        self.waiting
    }

    pub fn waiting_of(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.places.len())
    }

    pub fn push(&mut self, team: &TeamName, place: Place, waiting: Waiting, all_weights: u32) {
        let earliest = self.earliest_virtual_time(all_weights);
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), TeamQueue::default());
        }
        if let Some(queue) = self.teams.get_mut(team) {
            if queue.places.is_empty() {
                queue.virtual_time = queue.virtual_time.max(earliest);
            }
            queue.places.insert(place, waiting);
            self.waiting += 1;
        }
    }

    /// Returns how far behind a team's virtual time may be.
    fn earliest_virtual_time(&self, all_weights: u32) -> f64 {
        let slots = f64::from(self.running);
        self.virtual_time - SAVED_SHARE_MS * slots / f64::from(all_weights.max(1))
    }

    pub fn remove(&mut self, team: &TeamName, place: &Place) -> Option<Waiting> {
        let removed = self.teams.get_mut(team)?.places.remove(place)?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Takes out the request that runs next; `None` only if no eligible one waits.
    pub fn pop(
        &mut self,
        standing: impl Fn(&TeamName) -> TeamStanding,
        all_weights: u32,
    ) -> Option<(TeamName, Waiting)> {
        let team = self.furthest_behind(&standing, all_weights)?;
        let charge = self.expected_charge();
        let queue = self.teams.get_mut(&team)?;
        let (_, waiting) = queue.places.pop_first()?;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += charge / f64::from(standing(&team).weight);
        self.waiting -= 1;
        self.running += 1;
        Some((team, waiting))
    }

    /// Returns the eligible team that is furthest behind.
    ///
    /// Teams with at least half of the share that can be saved up are equals, and the
    /// one that waited longest goes first: among teams within their shares, the one
    /// that sends a little more would otherwise wait for all the others.
    fn furthest_behind(
        &mut self,
        standing: impl Fn(&TeamName) -> TeamStanding,
        all_weights: u32,
    ) -> Option<TeamName> {
        let earliest = self.earliest_virtual_time(all_weights);
        let in_credit = (self.virtual_time + earliest) / 2.0;
        let mut chosen: Option<(&TeamName, (f64, Timestamp))> = None;
        for (team, queue) in &mut self.teams {
            if !standing(team).has_room {
                queue.virtual_time = queue.virtual_time.max(earliest);
                continue;
            }
            let Some((_, first)) = queue.places.first_key_value() else {
                continue;
            };
            let rank = (queue.virtual_time.max(in_credit), first.since);
            if chosen.is_none_or(|(_, least)| rank < least) {
                chosen = Some((team, rank));
            }
        }
        chosen.map(|(team, _)| team.clone())
    }

    /// Notes that a request ended, and charges its team what it really took.
    pub fn ended(&mut self, team: &TeamName, weight: u32, charged: f64, took: Duration) {
        let took_ms = took.as_millis() as f64;
        self.running = self.running.saturating_sub(1);
        self.service_ms = Some(match self.service_ms {
            None => took_ms,
            Some(mean) => mean + NEW_WEIGHT * (took_ms - mean),
        });
        if let Some(queue) = self.teams.get_mut(team) {
            let correction = (took_ms - charged) / f64::from(weight.max(1));
            queue.virtual_time += correction;
        }
    }

    /// Returns what a request is charged before it is known what it takes.
    pub fn expected_charge(&self) -> f64 {
        self.service_ms.unwrap_or(1.0).max(1.0)
    }

    /// Returns how long a request at this place would wait; `None` before anything was measured.
    ///
    /// By Little's law the requests that run now end at the rate of their number by
    /// the mean time each takes. Until the request's turn, its team's earlier
    /// requests run, and of each other team as many as its weight gives it.
    pub fn expected_wait(
        &self,
        team: &TeamName,
        place: &Place,
        weight: impl Fn(&TeamName) -> u32,
        concurrent_limit: u32,
    ) -> Option<Duration> {
        let service_ms = self.service_ms?;
        let own_weight = f64::from(weight(team));
        let own_ahead = self.own_ahead(team, place) as f64;
        let others_ahead: f64 = self
            .teams
            .iter()
            .filter(|(other, _)| *other != team)
            .map(|(other, queue)| {
                let by_weight = (own_ahead + 1.0) * f64::from(weight(other)) / own_weight;
                by_weight.min(queue.places.len() as f64)
            })
            .sum();
        let by_slots = (own_ahead + others_ahead) * service_ms / f64::from(self.running.max(1));
        let by_limit = own_ahead * service_ms / f64::from(concurrent_limit.max(1));
        Some(Duration::from_millis(by_slots.max(by_limit) as u64))
    }

    fn own_ahead(&self, team: &TeamName, place: &Place) -> usize {
        self.teams
            .get(team)
            .map_or(0, |queue| queue.places.range(..place).count())
    }

    /// Returns how long the whole queue takes to drain; `None` before anything was measured.
    pub fn drain_time(&self) -> Option<Duration> {
        let service_ms = self.service_ms?;
        let drain_ms = self.waiting as f64 * service_ms / f64::from(self.running.max(1));
        Some(Duration::from_millis(drain_ms as u64))
    }

    /// Returns the least valuable waiting request, with one more of `newcomer` counted in.
    ///
    /// It is the last one of the team with the most waiting for its weight. Priority
    /// is not compared between teams: a team could claim the first place for all it sends.
    pub fn least_valuable(
        &self,
        newcomer: &TeamName,
        weight: impl Fn(&TeamName) -> u32,
    ) -> Option<(TeamName, Place)> {
        let mut chosen: Option<(&TeamName, &TeamQueue, f64)> = None;
        for (team, queue) in &self.teams {
            let count = queue.places.len() + usize::from(team == newcomer);
            let by_weight = count as f64 / f64::from(weight(team));
            let is_more = chosen.is_none_or(|(_, _, most)| by_weight > most);
            if is_more && !queue.places.is_empty() {
                chosen = Some((team, queue, by_weight));
            }
        }
        let (team, queue, _) = chosen?;
        let (place, _) = queue.places.last_key_value()?;
        Some((team.clone(), *place))
    }
}
