//! The domain leader's lease, granted by a majority of the domain's entry daemons.
//!
//! Nothing here is stored on disk. A restarted daemon has lost its record of grants, so it
//! grants nothing for one lease length; by then every grant from before the restart has
//! expired.
//!
//! A voter counts its grant from the time of its reply, by its own clock, and for slightly
//! longer than the lease. The holder counts from the time of its request and for slightly less
//! than the lease. Two leases therefore never overlap in true time while the rates of the
//! clocks differ by less than the configured error.

mod holding;
mod voting;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    domain::parameters::DomainParameters,
    peer_api::LeaseMessage,
    prelude::*, //
};

/// How many of the newest rounds a holder or a voter keeps track of.
const RETAINED_ROUNDS: usize = 8;

/// The newest grant that this daemon, as a voter, has given.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Grant {
    holder: DaemonId,
    epoch: u32,
    /// Until when this voter grants the lease to no other daemon, by its own clock.
    until: Timestamp,
}

/// One round of lease requests that this daemon has sent to all voters.
#[derive(Clone, Debug, Default)]
struct Round {
    sent_at: Timestamp,
    granted_by: BTreeSet<DaemonId>,
}

/// What this daemon does to get or keep the lease.
#[derive(Clone, Debug)]
enum Role {
    /// Neither holds nor seeks the lease; starts probing at [`Lease::probe_at`].
    Follower,
    /// Asks whether a majority would grant the lease; binds no voter.
    Probing {
        epoch: u32,
        would_grant: BTreeSet<DaemonId>,
        give_up_at: Timestamp,
    },
    /// Requests the lease, without a majority in any round so far.
    Candidate { epoch: u32, give_up_at: Timestamp },
    /// Has been granted the lease by a majority.
    Holder {
        epoch: u32,
        /// When this daemon first had a majority in this epoch.
        since: Timestamp,
        valid_until: Timestamp,
    },
}

/// One daemon's state of the lease: as a voter, and as a follower, candidate or holder.
#[derive(Clone, Debug)]
pub struct Lease {
    parameters: DomainParameters,
    /// The end of the time after the start in which this daemon grants nothing.
    grants_allowed_from: Timestamp,
    /// The highest epoch known; this daemon seeks a new lease only under a higher one.
    highest_epoch: u32,
    grant: Option<Grant>,
    role: Role,
    /// When a follower probes next.
    probe_at: Timestamp,
    /// The number of the newest round of requests sent.
    round: u64,
    rounds: BTreeMap<u64, Round>,
    /// When a candidate or holder sends its next round.
    next_renewal_at: Timestamp,
    /// For each voter: the newest round that it granted, and when that reply was received.
    last_grants: BTreeMap<DaemonId, (u64, Timestamp)>,
    /// For each round of the present leader: when this voter first granted it.
    reply_times: BTreeMap<u64, Timestamp>,
    /// When the present or last routing lease began.
    routing_since: Timestamp,
    /// When the routing lease ends or ended, by this daemon's clock.
    routing_until: Timestamp,
    /// Daemons that get no routing lease because they route by an outdated table.
    outdated_daemons: BTreeSet<DaemonId>,
    jitter: SmallRng,
}

/// A lease message and its receiver.
pub type LeaseSend = (DaemonId, LeaseMessage);

impl Lease {
    /// Returns the state of a daemon that has just started and has no record of grants.
    pub fn new(parameters: DomainParameters, now: Timestamp) -> Self {
        let timing = parameters.timing;
        let mut jitter = SmallRng::seed_from_u64(parameters.seed);
        // A random start of the numbering keeps replies to rounds of an earlier process of this
        // daemon from being counted for the rounds of this one.
        let round = u64::from(jitter.random::<u32>()) << 24;
        let grants_allowed_from = now + timing.lengthened_by_clock_error(timing.leader_lease);
        Self {
            grants_allowed_from,
            highest_epoch: 0,
            grant: None,
            role: Role::Follower,
            probe_at: grants_allowed_from,
            round,
            rounds: BTreeMap::new(),
            next_renewal_at: now,
            last_grants: BTreeMap::new(),
            reply_times: BTreeMap::new(),
            routing_since: Timestamp(0),
            routing_until: Timestamp(0),
            outdated_daemons: BTreeSet::new(),
            jitter,
            parameters,
        }
    }

    /// Returns the epoch under which this daemon holds the lease at `now`, if it does.
    ///
    /// The result holds for `now` only: a caller that acts on it asks again, with a fresh time,
    /// immediately before each send.
    pub fn held_epoch(&self, now: Timestamp) -> Option<u32> {
        match self.role {
            Role::Holder {
                epoch, valid_until, ..
            } if now < valid_until => Some(epoch),
            _ => None,
        }
    }

    /// Returns the time at which this daemon's lease ends unless renewed; `None` without a
    /// lease.
    pub fn held_until(&self) -> Option<Timestamp> {
        match self.role {
            Role::Holder { valid_until, .. } => Some(valid_until),
            _ => None,
        }
    }

    /// Returns the time since which this daemon has held the lease without a break.
    pub fn held_since(&self) -> Option<Timestamp> {
        match self.role {
            Role::Holder { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Returns the daemon to which this voter's current grant went, and the epoch of that
    /// grant.
    pub fn leader(&self, now: Timestamp) -> Option<(&DaemonId, u32)> {
        let grant = self.grant.as_ref().filter(|grant| now < grant.until)?;
        Some((&grant.holder, grant.epoch))
    }

    /// Returns the highest epoch known; this daemon seeks a new lease only under a higher one.
    pub fn highest_epoch(&self) -> u32 {
        self.highest_epoch
    }

    /// Returns the time since which this daemon has had a routing lease without a break, if it
    /// has one.
    ///
    /// The leader extends routing leases to the daemons that answer it and route by its newest
    /// table. Before it moves a VM to another group, it waits for the acknowledgement of each
    /// daemon whose routing lease may still run.
    pub fn routing_lease_since(&self, now: Timestamp) -> Option<Timestamp> {
        if self.held_epoch(now).is_some() {
            return self.held_since();
        }
        (now < self.routing_until).then_some(self.routing_since)
    }

    /// Sets the daemons that get no routing lease because they route by an outdated table.
    ///
    /// A process that was suspended may have missed that a VM was moved. An announcement that
    /// waited in its receive queue meanwhile would look new to it and match the outdated table.
    pub fn withhold_routing_leases(&mut self, outdated_daemons: BTreeSet<DaemonId>) {
        self.outdated_daemons = outdated_daemons;
    }

    /// Returns the time after which `daemon` certainly has no routing lease from this leader.
    pub fn routing_lease_bound(&self, daemon: &DaemonId) -> Timestamp {
        let timing = self.parameters.timing;
        let since = self.held_since().unwrap_or_default();
        let last_grant_at = self.last_grants.get(daemon).map_or(since, |(_, at)| *at);
        last_grant_at.max(since) + timing.lengthened_by_clock_error(timing.leader_lease)
    }

    /// Returns the daemons whose grant was received within the last lease length, this one
    /// included.
    pub fn live_daemons(&self, now: Timestamp) -> BTreeSet<DaemonId> {
        let lease = self.parameters.timing.leader_lease;
        let is_live = |at: Timestamp| now.since(at) < lease;
        let recent = self.last_grants.iter().filter(|(_, (_, at))| is_live(*at));
        let mut live: BTreeSet<_> = recent.map(|(daemon, _)| daemon.clone()).collect();
        live.insert(self.parameters.daemon.clone());
        live
    }

    /// Takes in an epoch seen in a message or in an engine's token.
    ///
    /// A holder that sees a higher epoch than its own stops being the leader: another daemon
    /// requested a later lease, or an earlier process of this daemon led under the same epoch. In
    /// the second case the caller passes the epoch after that one.
    pub fn observe_epoch(&mut self, epoch: u32, now: Timestamp) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        let outdated = match self.role {
            Role::Holder { epoch: own, .. }
            | Role::Probing { epoch: own, .. }
            | Role::Candidate { epoch: own, .. } => epoch > own,
            Role::Follower => false,
        };
        if outdated {
            self.step_down(now);
        }
    }

    /// Gives up the lease or the attempt to get it; the grants of the voters expire by
    /// themselves.
    pub fn step_down(&mut self, now: Timestamp) {
        self.role = Role::Follower;
        self.rounds.clear();
        self.last_grants.clear();
        self.probe_at = now + self.random_probe_delay();
    }

    /// Ends what has expired, and returns the probes or renewals that are due at `now`.
    pub fn tick(&mut self, now: Timestamp) -> Vec<LeaseSend> {
        match self.role {
            Role::Holder { valid_until, .. } if now >= valid_until => {
                self.step_down(now);
                Vec::new()
            }
            Role::Probing { give_up_at, .. } | Role::Candidate { give_up_at, .. }
                if now >= give_up_at =>
            {
                self.step_down(now);
                Vec::new()
            }
            Role::Holder { epoch, .. } | Role::Candidate { epoch, .. }
                if now >= self.next_renewal_at =>
            {
                self.start_round(epoch, now)
            }
            Role::Follower if now >= self.probe_at => self.start_probing(now),
            _ => Vec::new(),
        }
    }

    /// Takes in a lease message from another daemon of the domain; returns the replies.
    pub fn handle(
        &mut self,
        from: &DaemonId,
        message: &LeaseMessage,
        now: Timestamp,
    ) -> Vec<LeaseSend> {
        if !self.parameters.daemons.contains(from) || *from == self.parameters.daemon {
            return Vec::new();
        }
        match *message {
            LeaseMessage::Probe { epoch } => self.answer_probe(from, epoch, now),
            LeaseMessage::ProbeReply {
                epoch,
                would_grant,
                highest_epoch,
            } => {
                self.observe_epoch(highest_epoch, now);
                self.count_probe_reply(from, epoch, would_grant, now)
            }
            LeaseMessage::Request {
                epoch,
                round,
                confirmed_round,
            } => self.answer_request(from, epoch, round, confirmed_round, now),
            LeaseMessage::Reply {
                epoch,
                round,
                granted,
                highest_epoch,
            } => {
                self.observe_epoch(highest_epoch, now);
                if granted {
                    self.count_grant(from, epoch, round, now);
                }
                Vec::new()
            }
        }
    }

    /// Returns a random pause before the next probe: half of the heartbeat to twice the
    /// heartbeat.
    fn random_probe_delay(&mut self) -> Duration {
        let longest_ms = self.parameters.timing.heartbeat.as_millis().max(2) as u64;
        Duration::from_millis(self.jitter.random_range(longest_ms / 2..=longest_ms * 2))
    }

    fn majority(&self) -> usize {
        self.parameters.daemons.len() / 2 + 1
    }

    fn other_daemons(&self) -> Vec<DaemonId> {
        let own = &self.parameters.daemon;
        let all = self.parameters.daemons.iter();
        all.filter(|daemon| *daemon != own).cloned().collect()
    }

    /// Returns the lowest epoch above all known ones in which only this daemon can lead.
    ///
    /// Epoch `n` belongs to the daemon at index `n` modulo the number of daemons. Two daemons
    /// that both lost their state therefore can't lead under the same epoch.
    fn next_own_epoch(&self) -> u32 {
        let own = &self.parameters.daemon;
        let count = u32::try_from(self.parameters.daemons.len()).unwrap_or(u32::MAX);
        let from = self.highest_epoch.saturating_add(1);
        let mut candidates = (from..=u32::MAX).take(count.max(1) as usize);
        candidates
            .find(|epoch| self.is_epoch_of(own, *epoch))
            .unwrap_or(u32::MAX)
    }

    /// Returns whether `epoch` is assigned to `daemon`, so that no other daemon can lead in it.
    pub fn is_epoch_of(&self, daemon: &DaemonId, epoch: u32) -> bool {
        let count = self.parameters.daemons.len().max(1);
        let position = self
            .parameters
            .daemons
            .iter()
            .position(|known| known == daemon);
        position == Some(epoch as usize % count)
    }
}
