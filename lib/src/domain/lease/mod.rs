//! The domain leader's lease, granted by a majority of the domain's entry daemons.
//!
//! Nothing here is on disk. A daemon that restarts has forgotten what it
//! granted, so it grants nothing for one lease length; by then whatever it
//! granted before has ended. A voter counts a grant by its own clock from when
//! it answers and a little longer than the lease; the holder counts from when it
//! asked and a little shorter. So two leases never overlap in true time while
//! the clocks' rates differ by less than the configured error.

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

/// How many rounds of requests and replies are remembered.
const ROUNDS_KEPT: usize = 8;

/// What this daemon has granted.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Grant {
    holder: DaemonId,
    epoch: u32,
    until: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Round {
    sent_at: Timestamp,
    granted_by: BTreeSet<DaemonId>,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Probing {
        epoch: u32,
        would_grant: BTreeSet<DaemonId>,
        give_up_at: Timestamp,
    },
    Candidate {
        epoch: u32,
        give_up_at: Timestamp,
    },
    Holder {
        epoch: u32,
        since: Timestamp,
        valid_until: Timestamp,
    },
}

/// One daemon's part in the lease: voter, and holder or candidate.
#[derive(Clone, Debug)]
pub struct Lease {
    parameters: DomainParameters,
    grants_from: Timestamp,
    highest_epoch: u32,
    grant: Option<Grant>,
    role: Role,
    probe_at: Timestamp,
    round: u64,
    rounds: BTreeMap<u64, Round>,
    next_renewal_at: Timestamp,
    heard_at: BTreeMap<DaemonId, (u64, Timestamp)>,
    replied_at: BTreeMap<u64, Timestamp>,
    routing_since: Timestamp,
    routing_until: Timestamp,
    /// Daemons that must not get a routing lease, because they route by an older table.
    behind: BTreeSet<DaemonId>,
    jitter: SmallRng,
}

/// A message of the lease and whom it is for.
pub type LeaseSend = (DaemonId, LeaseMessage);

impl Lease {
    /// Makes the lease of a daemon that has just started and remembers nothing.
    pub fn new(parameters: DomainParameters, now: Timestamp) -> Self {
        let timing = parameters.timing;
        let mut jitter = SmallRng::seed_from_u64(parameters.seed);
        // Replies to an earlier run must not be counted for a round of this one.
        let round = u64::from(jitter.random::<u32>()) << 24;
        let grants_from = now + timing.longer(timing.leader_lease);
        Self {
            grants_from,
            highest_epoch: 0,
            grant: None,
            role: Role::Follower,
            probe_at: grants_from,
            round,
            rounds: BTreeMap::new(),
            next_renewal_at: now,
            heard_at: BTreeMap::new(),
            replied_at: BTreeMap::new(),
            routing_since: Timestamp(0),
            routing_until: Timestamp(0),
            behind: BTreeSet::new(),
            jitter,
            parameters,
        }
    }

    /// Returns the epoch if this daemon holds the lease now.
    ///
    /// The answer is only good for the moment: whoever acts on it asks again
    /// with a fresh time immediately before each send.
    pub fn held_epoch(&self, now: Timestamp) -> Option<u32> {
        match self.role {
            Role::Holder {
                epoch, valid_until, ..
            } if now < valid_until => Some(epoch),
            _ => None,
        }
    }

    /// Returns until when this daemon holds the lease if it is not renewed.
    pub fn held_until(&self) -> Option<Timestamp> {
        match self.role {
            Role::Holder { valid_until, .. } => Some(valid_until),
            _ => None,
        }
    }

    /// Returns since when this daemon has held the lease without a break.
    pub fn held_since(&self) -> Option<Timestamp> {
        match self.role {
            Role::Holder { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Returns the leader that this daemon has granted the lease to, and its epoch.
    pub fn leader(&self, now: Timestamp) -> Option<(&DaemonId, u32)> {
        let grant = self.grant.as_ref().filter(|grant| now < grant.until)?;
        Some((&grant.holder, grant.epoch))
    }

    /// Returns the highest epoch known.
    pub fn highest_epoch(&self) -> u32 {
        self.highest_epoch
    }

    /// Returns since when this daemon has had a routing lease without a break, if it has one.
    ///
    /// The leader gives it to daemons that it hears and that route by its newest
    /// table. Until it ends, the leader waits for this daemon's acknowledgement
    /// before it moves a VM.
    pub fn routing_lease_since(&self, now: Timestamp) -> Option<Timestamp> {
        if self.held_epoch(now).is_some() {
            return self.held_since();
        }
        (now < self.routing_until).then_some(self.routing_since)
    }

    /// Sets who must not get a routing lease, because it routes by an older table.
    ///
    /// Such a daemon may have slept while a VM was moved, and an announcement that
    /// waited for it meanwhile would look new to it.
    pub fn withhold_routing_leases(&mut self, behind: BTreeSet<DaemonId>) {
        self.behind = behind;
    }

    /// Returns the time after which `daemon` certainly has no routing lease of this leader.
    pub fn routing_lease_bound(&self, daemon: &DaemonId) -> Timestamp {
        let timing = self.parameters.timing;
        let since = self.held_since().unwrap_or_default();
        let heard_at = self.heard_at.get(daemon).map_or(since, |(_, at)| *at);
        heard_at.max(since) + timing.longer(timing.leader_lease)
    }

    /// Returns the daemons whose grant this holder has received within one lease length.
    pub fn live_daemons(&self, now: Timestamp) -> BTreeSet<DaemonId> {
        let lease = self.parameters.timing.leader_lease;
        let is_live = |at: Timestamp| now.since(at) < lease;
        let heard = self.heard_at.iter().filter(|(_, (_, at))| is_live(*at));
        let mut live: BTreeSet<_> = heard.map(|(daemon, _)| daemon.clone()).collect();
        live.insert(self.parameters.daemon.clone());
        live
    }

    /// Takes note of an epoch seen in a message or in an engine's token.
    ///
    /// A holder that learns of a higher epoch is no longer the leader: another
    /// daemon was granted a lease after its own.
    pub fn note_epoch(&mut self, epoch: u32, now: Timestamp) {
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

    /// Gives the lease up; the grants of others run out by themselves.
    pub fn step_down(&mut self, now: Timestamp) {
        self.role = Role::Follower;
        self.rounds.clear();
        self.heard_at.clear();
        self.probe_at = now + self.pause();
    }

    /// Moves on with time: ends what has run out, probes, renews.
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
                self.request(epoch, now)
            }
            Role::Follower if now >= self.probe_at => self.probe(now),
            _ => Vec::new(),
        }
    }

    /// Takes a message from another daemon of the domain.
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
                self.note_epoch(highest_epoch, now);
                self.count_probe(from, epoch, would_grant, now)
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
                self.note_epoch(highest_epoch, now);
                if granted {
                    self.count_grant(from, epoch, round, now);
                }
                Vec::new()
            }
        }
    }

    fn pause(&mut self) -> Duration {
        let longest_ms = self.parameters.timing.heartbeat.as_millis().max(2) as u64;
        Duration::from_millis(self.jitter.random_range(longest_ms / 2..=longest_ms * 2))
    }

    fn majority(&self) -> usize {
        self.parameters.daemons.len() / 2 + 1
    }

    fn others(&self) -> Vec<DaemonId> {
        let own = &self.parameters.daemon;
        let all = self.parameters.daemons.iter();
        all.filter(|daemon| *daemon != own).cloned().collect()
    }

    /// Returns the lowest epoch above all known ones that only this daemon can lead in.
    ///
    /// Epochs are dealt out by remainder, so that two daemons which have both
    /// forgotten what they knew cannot lead under one number.
    fn next_own_epoch(&self) -> u32 {
        let own = &self.parameters.daemon;
        let count = u32::try_from(self.parameters.daemons.len()).unwrap_or(u32::MAX);
        let from = self.highest_epoch.saturating_add(1);
        let mut candidates = (from..=u32::MAX).take(count.max(1) as usize);
        candidates
            .find(|epoch| self.is_epoch_of(own, *epoch))
            .unwrap_or(u32::MAX)
    }

    /// Returns whether `daemon` is the only one that can lead in `epoch`.
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
