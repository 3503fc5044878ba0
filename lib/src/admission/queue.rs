//! The requests that wait and run in one entry daemon.

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
        Place,
        ServiceQueue,
        TeamStanding,
        Waiting, //
    },
};
use crate::{
    fleet::Team,
    peer_api::TeamShare,
    prelude::*, //
};

/// Orders what waits, counts what runs, and refuses what cannot be served in time.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    services: HashMap<ServiceName, ServiceQueue>,
    limits: HashMap<TeamName, TeamLimits>,
    waiting: HashMap<Ticket, WaitingAt>,
    running: HashMap<Ticket, Running>,
    latest_starts: BTreeSet<(Timestamp, Ticket)>,
    next_sequence: u64,
}

#[derive(Clone, Debug)]
struct WaitingAt {
    service: ServiceName,
    team: TeamName,
    place: Place,
}

#[derive(Clone, Debug)]
struct Running {
    service: ServiceName,
    team: TeamName,
    since: Timestamp,
    charged: f64,
}

impl AdmissionQueue {
    /// Makes an empty queue that knows no team.
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

    /// Takes over the teams of a configuration with this daemon's share of each limit.
    ///
    /// A team without a share gets `share_if_unknown` of its limits. What runs of a
    /// team that no longer exists is still counted until it ends.
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

    /// Takes a request in or refuses it; either is final at once.
    ///
    /// A request that was taken in is sent when [`Self::next`] names it. A team that
    /// is not configured has no share and is over its rate.
    pub fn offer(&mut self, offer: Offer, now: Timestamp) -> OfferOutcome {
        if let Err(refusal) = self.take_rate(&offer.team, now) {
            return refused(refusal);
        }
        let place = self.new_place(&offer);
        if let Err(refusal) = self.check_deadline(&offer, &place, now) {
            self.give_rate_back(&offer.team);
            return refused(refusal);
        }
        let shed = match self.make_room(&offer, &place) {
            Ok(shed) => shed,
            Err(refusal) => {
                self.give_rate_back(&offer.team);
                return refused(refusal);
            }
        };
        self.insert(offer, place, now);
        OfferOutcome {
            accepted: Ok(()),
            shed,
        }
    }

    /// Returns the request that a free slot of the service is for.
    ///
    /// Returns `None` only if none waits whose team may run one more.
    pub fn next(&mut self, service: &ServiceName, now: Timestamp) -> Option<Started> {
        let queue = self.services.get_mut(service)?;
        let limits = &self.limits;
        let all_weights = all_weights(limits);
        let charged = queue.expected_charge();
        let (team, waiting) = queue.pop(|team| standing(limits, team), all_weights)?;
        if let Some(at) = self.waiting.remove(&waiting.ticket) {
            self.latest_starts
                .remove(&(at.place.latest_start, waiting.ticket));
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

    /// Notes that a request that was started has ended, however it did.
    ///
    /// A second call for the same ticket changes nothing, so that a slot is freed once.
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
            queue.ended(&running.team, weight, running.charged, took);
        }
    }

    /// Takes a waiting request out because its caller left; returns whether it waited.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.remove_waiting(ticket).is_some()
    }

    /// Takes out the requests that can no longer be started in time.
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

    /// Returns when [`Self::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let (latest_start, _) = self.latest_starts.first()?;
        Some(*latest_start + Duration::from_millis(1))
    }

    /// Returns how many requests wait for a service.
    pub fn waiting(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, ServiceQueue::len)
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns what each team wanted since the last call, for the domain leader.
    pub fn take_demand(&mut self, now: Timestamp) -> BTreeMap<TeamName, TeamShare> {
        self.limits
            .iter_mut()
            .map(|(name, limits)| (name.clone(), limits.take_demand(now)))
            .collect()
    }

    fn take_rate(&mut self, team: &TeamName, now: Timestamp) -> Result<(), Refusal> {
        let default = self.settings.default_retry_after;
        let taken = match self.limits.get_mut(team) {
            Some(limits) => limits.take(now),
            None => Err(None),
        };
        taken.map_err(|wait| Refusal {
            reason: RefusalReason::OverRate,
            retry_after: wait.unwrap_or(default),
        })
    }

    fn give_rate_back(&mut self, team: &TeamName) {
        if let Some(limits) = self.limits.get_mut(team) {
            limits.give_back();
        }
    }

    fn new_place(&mut self, offer: &Offer) -> Place {
        self.next_sequence += 1;
        Place {
            priority: offer.priority,
            latest_start: offer.latest_start.unwrap_or(Timestamp(u64::MAX)),
            sequence: self.next_sequence,
        }
    }

    /// Refuses early what would only wait until its deadline: the caller can still go elsewhere.
    fn check_deadline(&self, offer: &Offer, place: &Place, now: Timestamp) -> Result<(), Refusal> {
        let allowed = place.latest_start.since(now);
        let is_past = place.latest_start < now;
        let wait = self.expected_wait(&offer.service, &offer.team, place);
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

    fn expected_wait(&self, service: &ServiceName, team: &TeamName, place: &Place) -> Duration {
        let Some(queue) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let limits = &self.limits;
        let limit = limits.get(team).map_or(0, TeamLimits::concurrent_limit);
        queue
            .expected_wait(team, place, |team| standing(limits, team).weight, limit)
            .unwrap_or(Duration::ZERO)
    }

    fn make_room(
        &mut self,
        offer: &Offer,
        place: &Place,
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
        let weight = |team: &TeamName| standing(limits, team).weight;
        let least = queue.least_valuable(&offer.team, weight);
        match least {
            Some((team, last)) if team != offer.team || last > *place => {
                let queue = self.services.get_mut(&offer.service);
                let shed = queue.and_then(|queue| queue.remove(&team, &last));
                Ok(shed.map(|waiting| self.note_shed(waiting, &last, retry_after)))
            }
            _ => Err(Refusal {
                reason: RefusalReason::QueueFull,
                retry_after,
            }),
        }
    }

    fn note_shed(
        &mut self,
        shed: Waiting,
        place: &Place,
        retry_after: Duration,
    ) -> (Ticket, Refusal) {
        self.waiting.remove(&shed.ticket);
        self.latest_starts
            .remove(&(place.latest_start, shed.ticket));
        let refusal = Refusal {
            reason: RefusalReason::Shed,
            retry_after,
        };
        (shed.ticket, refusal)
    }

    fn insert(&mut self, offer: Offer, place: Place, now: Timestamp) {
        let queue = self.services.entry(offer.service.clone()).or_default();
        let waiting = Waiting {
            ticket: offer.ticket,
            since: now,
        };
        queue.push(&offer.team, place, waiting, all_weights(&self.limits));
        if let Some(limits) = self.limits.get_mut(&offer.team) {
            limits.note_wanted(queue.waiting_of(&offer.team));
        }
        if offer.latest_start.is_some() {
            self.latest_starts
                .insert((place.latest_start, offer.ticket));
        }
        let at = WaitingAt {
            service: offer.service,
            team: offer.team,
            place,
        };
        self.waiting.insert(offer.ticket, at);
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<Waiting> {
        let at = self.waiting.remove(&ticket)?;
        self.latest_starts.remove(&(at.place.latest_start, ticket));
        let queue = self.services.get_mut(&at.service)?;
        queue.remove(&at.team, &at.place)
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

fn standing(limits: &HashMap<TeamName, TeamLimits>, team: &TeamName) -> TeamStanding {
    match limits.get(team) {
        Some(limits) => TeamStanding {
            weight: limits.weight,
            has_room: limits.has_room(),
        },
        // The team was taken out of the configuration while this request waited. It
        // was admitted under the old one and may still run.
        None => TeamStanding {
            weight: 1,
            has_room: true,
        },
    }
}

fn all_weights(limits: &HashMap<TeamName, TeamLimits>) -> u32 {
    limits.values().map(|limits| limits.weight).sum()
}

fn refused(refusal: Refusal) -> OfferOutcome {
    OfferOutcome {
        accepted: Err(refusal),
        shed: None,
    }
}
