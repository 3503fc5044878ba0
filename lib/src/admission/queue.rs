//! The queue of requests that wait and run in one entry daemon.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use super::{
    AdmissionSettings, Offer, OfferOutcome, Refusal, RefusalReason, Started, Ticket,
    limits::TeamLimits,
    service_queue::{
        QueuePosition,
        ServiceQueue,
        TeamStatus,
        Waiting, //
    },
};
use crate::{
    fleet::Team,
    peer_api::TeamShare,
    prelude::*, //
};

/// Orders the waiting requests, counts the running ones, and refuses those that cannot be served
/// in time.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    services: HashMap<ServiceName, ServiceQueue>,
    limits: HashMap<TeamName, TeamLimits>,
    waiting: HashMap<Ticket, WaitingEntry>,
    running: HashMap<Ticket, Running>,
    latest_starts: BTreeSet<(Timestamp, Ticket)>,
    next_sequence: u64,
}

#[derive(Clone, Debug)]
struct WaitingEntry {
    service: ServiceName,
    team: TeamName,
    position: QueuePosition,
}

#[derive(Clone, Debug)]
struct Running {
    service: ServiceName,
    team: TeamName,
    since: Timestamp,
    charged: f64,
}

impl AdmissionQueue {
    /// Returns an empty queue without teams; [`Self::set_teams`] adds them.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
            limits: HashMap::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            latest_starts: BTreeSet::new(),
            next_sequence: 0,
        }
    }

    /// Sets the configured teams and this daemon's share of each team's limits.
    ///
    /// A team that is missing from `shares` gets `share_if_unknown(team)`. The limits of
    /// a removed team are kept while its requests run.
    pub fn set_teams(
        &mut self,
        teams: &BTreeMap<TeamName, Team>,
        shares: &BTreeMap<TeamName, TeamShare>,
        share_if_unknown: impl Fn(&Team) -> TeamShare,
        now: Timestamp,
    ) {
        self.limits
            .retain(|name, limits| teams.contains_key(name) || limits.running > 0);
        for (name, team) in teams {
            let known = shares.get(name).copied();
            let share = known.unwrap_or_else(|| share_if_unknown(team));
            match self.limits.get_mut(name) {
                Some(limits) => limits.set_share(team.weight, share, now),
                None => {
                    let limits = TeamLimits::new(team.weight, share, now);
                    self.limits.insert(name.clone(), limits);
                }
            }
        }
    }

    /// Adds a request to the queue or refuses it.
    ///
    /// An accepted request is sent when [`Self::next`] returns its ticket. A team that is
    /// not configured has no share, so its requests are refused as over the rate.
    pub fn offer(&mut self, offer: Offer, now: Timestamp) -> OfferOutcome {
        if let Err(refusal) = self.take_rate(&offer.team, now) {
            return refused(refusal);
        }
        let position = self.next_position(&offer);
        if let Err(refusal) = self.check_deadline(&offer, &position, now) {
            self.refund_rate(&offer.team);
            return refused(refusal);
        }
        let shed = match self.make_room(&offer, &position) {
            Ok(shed) => shed,
            Err(refusal) => {
                self.refund_rate(&offer.team);
                return refused(refusal);
            }
        };
        self.insert(offer, position, now);
        OfferOutcome {
            accepted: Ok(()),
            shed,
        }
    }

    /// Takes the request that runs next out of the queue, for a free slot of the service.
    ///
    /// Returns `None` only if no waiting request belongs to a team that may run one more.
    pub fn next(&mut self, service: &ServiceName, now: Timestamp) -> Option<Started> {
        let queue = self.services.get_mut(service)?;
        let limits = &self.limits;
        let total_weight = total_weight(limits);
        let charged = queue.expected_charge();
        let (team, waiting) = queue.pop(|team| team_status(limits, team), total_weight)?;
        if let Some(at) = self.waiting.remove(&waiting.ticket) {
            self.latest_starts
                .remove(&(at.position.latest_start, waiting.ticket));
        }
        if let Some(limits) = self.limits.get_mut(&team) {
            limits.running += 1;
        }
        let running = Running {
            service: service.clone(),
            team: team.clone(),
            since: now,
            charged,
        };
        self.running.insert(waiting.ticket, running);
        Some(Started {
            ticket: waiting.ticket,
            team,
            waited: now.since(waiting.since),
        })
    }

    /// Records that a started request has ended, with whatever result.
    ///
    /// A second call for the same ticket has no effect, so that a slot is freed only once.
    pub fn ended(&mut self, ticket: Ticket, now: Timestamp) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let mut weight = 1;
        if let Some(limits) = self.limits.get_mut(&running.team) {
            limits.running = limits.running.saturating_sub(1);
            weight = limits.weight;
        }
        if let Some(queue) = self.services.get_mut(&running.service) {
            let took = now.since(running.since);
            queue.record_end(&running.team, weight, running.charged, took);
        }
    }

    /// Removes a waiting request whose caller disconnected; returns `false` if none was waiting.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.remove_waiting(ticket).is_some()
    }

    /// Removes and returns the waiting requests whose latest start time has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(Ticket, Refusal)> {
        let mut refused = Vec::new();
        while let Some(&(latest_start, ticket)) = self.latest_starts.first()
            && latest_start < now
        {
            let retry_after = self.retry_after_of(ticket);
            self.remove_waiting(ticket);
            self.latest_starts.remove(&(latest_start, ticket));
            let refusal = Refusal {
                reason: RefusalReason::DeadlineReached,
                retry_after,
            };
            refused.push((ticket, refusal));
        }
        refused
    }

    /// Returns the next time at which [`Self::expire`] has a request to remove.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let (latest_start, _) = self.latest_starts.first()?;
        Some(*latest_start + Duration::from_millis(1))
    }

    /// Returns the number of requests that wait for a service.
    pub fn waiting(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, ServiceQueue::len)
    }

    /// Returns the number of running requests, over all services.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns each team's demand since the last call, to be reported to the domain leader.
    pub fn take_demand(&mut self, now: Timestamp) -> BTreeMap<TeamName, TeamShare> {
        self.limits
            .iter_mut()
            .map(|(name, limits)| (name.clone(), limits.take_demand(now)))
            .collect()
    }

    fn take_rate(&mut self, team: &TeamName, now: Timestamp) -> Result<(), Refusal> {
        let default = self.settings.default_retry_after;
        let taken = match self.limits.get_mut(team) {
            Some(limits) => limits.take_request(now),
            None => Err(None),
        };
        taken.map_err(|wait| Refusal {
            reason: RefusalReason::OverRate,
            retry_after: wait.unwrap_or(default),
        })
    }

    fn refund_rate(&mut self, team: &TeamName) {
        if let Some(limits) = self.limits.get_mut(team) {
            limits.refund();
        }
    }

    fn next_position(&mut self, offer: &Offer) -> QueuePosition {
        self.next_sequence += 1;
        QueuePosition {
            priority: offer.priority,
            latest_start: offer.latest_start.unwrap_or(Timestamp(u64::MAX)),
            sequence: self.next_sequence,
        }
    }

    /// Refuses a request that is expected to miss its deadline in the queue.
    ///
    /// An early refusal leaves the caller time to try another service.
    fn check_deadline(
        &self,
        offer: &Offer,
        position: &QueuePosition,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let allowed = position.latest_start.since(now);
        let is_past = position.latest_start < now;
        let wait = self.expected_wait(&offer.service, &offer.team, position);
        if !is_past && wait <= allowed {
            return Ok(());
        }
        let until_met = wait.saturating_sub(allowed);
        let default = self.settings.default_retry_after;
        Err(Refusal {
            reason: RefusalReason::WaitExceedsDeadline,
            retry_after: if until_met.is_zero() {
                default
            } else {
                until_met
            },
        })
    }

    fn expected_wait(
        &self,
        service: &ServiceName,
        team: &TeamName,
        position: &QueuePosition,
    ) -> Duration {
        let Some(queue) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let limits = &self.limits;
        let limit = limits.get(team).map_or(0, TeamLimits::concurrent_limit);
        queue
            .expected_wait(
                team,
                position,
                |team| team_status(limits, team).weight,
                limit,
            )
            .unwrap_or(Duration::ZERO)
    }

    fn make_room(
        &mut self,
        offer: &Offer,
        position: &QueuePosition,
    ) -> Result<Option<(Ticket, Refusal)>, Refusal> {
        let capacity = self.settings.queue_capacity;
        let Some(queue) = self.services.get(&offer.service) else {
            return Ok(None);
        };
        if queue.len() < capacity {
            return Ok(None);
        }
        let limits = &self.limits;
        let retry_after = queue.drain_time();
        let retry_after = retry_after.unwrap_or(self.settings.default_retry_after);
        let weight = |team: &TeamName| team_status(limits, team).weight;
        let least = queue.least_valuable(&offer.team, weight);
        match least {
            Some((team, last)) if team != offer.team || last > *position => {
                let queue = self.services.get_mut(&offer.service);
                let shed = queue.and_then(|queue| queue.remove(&team, &last));
                Ok(shed.map(|waiting| self.record_shed(waiting, &last, retry_after)))
            }
            _ => Err(Refusal {
                reason: RefusalReason::QueueFull,
                retry_after,
            }),
        }
    }

    fn record_shed(
        &mut self,
        shed: Waiting,
        position: &QueuePosition,
        retry_after: Duration,
    ) -> (Ticket, Refusal) {
        self.waiting.remove(&shed.ticket);
        self.latest_starts
            .remove(&(position.latest_start, shed.ticket));
        let refusal = Refusal {
            reason: RefusalReason::Shed,
            retry_after,
        };
        (shed.ticket, refusal)
    }

    fn insert(&mut self, offer: Offer, position: QueuePosition, now: Timestamp) {
        let queue = self.services.entry(offer.service.clone()).or_default();
        let waiting = Waiting {
            ticket: offer.ticket,
            since: now,
        };
        queue.push(&offer.team, position, waiting, total_weight(&self.limits));
        if let Some(limits) = self.limits.get_mut(&offer.team) {
            limits.record_concurrency(queue.waiting_count(&offer.team));
        }
        if offer.latest_start.is_some() {
            self.latest_starts
                .insert((position.latest_start, offer.ticket));
        }
        let at = WaitingEntry {
            service: offer.service,
            team: offer.team,
            position,
        };
        self.waiting.insert(offer.ticket, at);
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<Waiting> {
        let at = self.waiting.remove(&ticket)?;
        self.latest_starts
            .remove(&(at.position.latest_start, ticket));
        let queue = self.services.get_mut(&at.service)?;
        queue.remove(&at.team, &at.position)
    }

    fn retry_after_of(&self, ticket: Ticket) -> Duration {
        let queue = self
            .waiting
            .get(&ticket)
            .and_then(|at| self.services.get(&at.service));
        queue
            .and_then(ServiceQueue::drain_time)
            .unwrap_or(self.settings.default_retry_after)
    }
}

fn team_status(limits: &HashMap<TeamName, TeamLimits>, team: &TeamName) -> TeamStatus {
    match limits.get(team) {
        Some(limits) => TeamStatus {
            weight: limits.weight,
            has_room: limits.has_room(),
        },
        // The team was removed from the configuration while this request waited. The
        // request was admitted under the old configuration and may still run.
        None => TeamStatus {
            weight: 1,
            has_room: true,
        },
    }
}

fn total_weight(limits: &HashMap<TeamName, TeamLimits>) -> u32 {
    limits.values().map(|limits| limits.weight).sum()
}

fn refused(refusal: Refusal) -> OfferOutcome {
    OfferOutcome {
        accepted: Err(refusal),
        shed: None,
    }
}
