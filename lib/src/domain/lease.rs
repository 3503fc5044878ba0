//! The domain leader's lease, granted by a majority of the domain's entry daemons.
//!
//! Nothing here is on disk. A daemon that restarts has forgotten what it
//! granted, so it grants nothing for one lease length; by then whatever it
//! granted before has ended. A voter counts a grant by its own clock from when
//! it answers and a little longer than the lease; the holder counts from when it
//! asked and a little shorter. So two leases never overlap in true time while
//! the clocks' rates differ by less than the configured error.

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

    fn would_grant(&self, candidate: &DaemonId, epoch: u32, now: Timestamp) -> bool {
        let grant = self.grant.as_ref().filter(|grant| now < grant.until);
        let is_free = grant.is_none_or(|grant| grant.holder == *candidate);
        let is_current = epoch >= self.highest_epoch && self.is_epoch_of(candidate, epoch);
        now >= self.grants_from && is_free && is_current
    }

    fn record_grant(&mut self, holder: &DaemonId, epoch: u32, now: Timestamp) {
        let timing = self.parameters.timing;
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.grant = Some(Grant {
            holder: holder.clone(),
            epoch,
            until: now + timing.longer(timing.leader_lease),
        });
    }

    fn probe(&mut self, now: Timestamp) -> Vec<LeaseSend> {
        let own = self.parameters.daemon.clone();
        let epoch = self.next_own_epoch();
        if !self.would_grant(&own, epoch, now) {
            self.probe_at = now + self.pause();
            return Vec::new();
        }
        self.role = Role::Probing {
            epoch,
            would_grant: BTreeSet::from([own.clone()]),
            give_up_at: now + self.parameters.timing.heartbeat * 2,
        };
        if self.majority() == 1 {
            return self.stand(epoch, now);
        }
        let probe = LeaseMessage::Probe { epoch };
        self.others()
            .into_iter()
            .map(|to| (to, probe.clone()))
            .collect()
    }

    fn answer_probe(&self, from: &DaemonId, epoch: u32, now: Timestamp) -> Vec<LeaseSend> {
        // A probe is for a new lease. A daemon that forgot its last one in a restart
        // must not lead under the same number again.
        let is_new = epoch > self.highest_epoch;
        let reply = LeaseMessage::ProbeReply {
            epoch,
            would_grant: is_new && self.would_grant(from, epoch, now),
            highest_epoch: self.highest_epoch,
        };
        vec![(from.clone(), reply)]
    }

    fn count_probe(
        &mut self,
        from: &DaemonId,
        probed: u32,
        would: bool,
        now: Timestamp,
    ) -> Vec<LeaseSend> {
        let majority = self.majority();
        let Role::Probing {
            epoch, would_grant, ..
        } = &mut self.role
        else {
            return Vec::new();
        };
        if !would || probed != *epoch {
            return Vec::new();
        }
        would_grant.insert(from.clone());
        if would_grant.len() < majority {
            return Vec::new();
        }
        let epoch = *epoch;
        self.stand(epoch, now)
    }

    fn stand(&mut self, epoch: u32, now: Timestamp) -> Vec<LeaseSend> {
        let timing = self.parameters.timing;
        self.rounds.clear();
        self.heard_at.clear();
        self.role = Role::Candidate {
            epoch,
            give_up_at: now + timing.shorter(timing.leader_lease),
        };
        self.request(epoch, now)
    }

    fn request(&mut self, epoch: u32, now: Timestamp) -> Vec<LeaseSend> {
        let own = self.parameters.daemon.clone();
        if !self.would_grant(&own, epoch, now) {
            self.step_down(now);
            return Vec::new();
        }
        self.record_grant(&own, epoch, now);
        self.next_renewal_at = now + self.parameters.timing.heartbeat;
        self.round += 1;
        let round = self.round;
        let sent = Round {
            sent_at: now,
            granted_by: BTreeSet::new(),
        };
        self.rounds.insert(round, sent);
        while self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_first();
        }
        self.count_grant(&own, epoch, round, now);
        let request = |to: DaemonId| {
            let heard = self
                .heard_at
                .get(&to)
                .filter(|_| !self.behind.contains(&to));
            let confirmed_round = heard.map(|(round, _)| *round);
            let request = LeaseMessage::Request {
                epoch,
                round,
                confirmed_round,
            };
            (to, request)
        };
        self.others().into_iter().map(request).collect()
    }

    fn answer_request(
        &mut self,
        from: &DaemonId,
        epoch: u32,
        round: u64,
        confirmed_round: Option<u64>,
        now: Timestamp,
    ) -> Vec<LeaseSend> {
        let granted = self.would_grant(from, epoch, now);
        self.note_epoch(epoch, now);
        if granted {
            if self.grant.as_ref().is_none_or(|grant| grant.epoch != epoch) {
                self.replied_at.clear();
            }
            self.record_grant(from, epoch, now);
            self.role = Role::Follower;
            self.probe_at = now
                + self
                    .parameters
                    .timing
                    .longer(self.parameters.timing.leader_lease);
            self.probe_at = self.probe_at + self.pause();
            self.extend_routing_lease(confirmed_round, now);
            self.remember_reply(round, now);
        }
        let reply = LeaseMessage::Reply {
            epoch,
            round,
            granted,
            highest_epoch: self.highest_epoch,
        };
        vec![(from.clone(), reply)]
    }

    /// Counts the routing lease from this daemon's own reply, which the leader has confirmed.
    ///
    /// Counted from the confirmation's arrival it could outlast the leader's
    /// bound by the time that the message was under way.
    fn extend_routing_lease(&mut self, confirmed_round: Option<u64>, now: Timestamp) {
        let lease = self.parameters.timing.leader_lease;
        let replied_at = confirmed_round.and_then(|round| self.replied_at.get(&round));
        if let Some(replied_at) = replied_at {
            if now >= self.routing_until {
                self.routing_since = now;
            }
            self.routing_until = self.routing_until.max(*replied_at + lease);
        }
    }

    fn remember_reply(&mut self, round: u64, now: Timestamp) {
        // A doubled request keeps the first time, so that the lease starts no later.
        self.replied_at.entry(round).or_insert(now);
        while self.replied_at.len() > ROUNDS_KEPT {
            self.replied_at.pop_first();
        }
    }

    fn count_grant(&mut self, from: &DaemonId, granted: u32, round: u64, now: Timestamp) {
        let timing = self.parameters.timing;
        let majority = self.majority();
        let (epoch, since) = match self.role {
            Role::Candidate { epoch, .. } => (epoch, now),
            Role::Holder { epoch, since, .. } => (epoch, since),
            _ => return,
        };
        let Some(counted) = self.rounds.get_mut(&round).filter(|_| granted == epoch) else {
            return;
        };
        counted.granted_by.insert(from.clone());
        let has_majority = counted.granted_by.len() >= majority;
        let until = counted.sent_at + timing.shorter(timing.leader_lease);
        self.note_heard(from, round, now);
        if !has_majority || now >= until {
            return;
        }
        let valid_until = match self.role {
            Role::Holder { valid_until, .. } => valid_until.max(until),
            _ => until,
        };
        self.role = Role::Holder {
            epoch,
            since,
            valid_until,
        };
    }

    fn note_heard(&mut self, from: &DaemonId, round: u64, now: Timestamp) {
        let heard = self.heard_at.entry(from.clone()).or_insert((round, now));
        if round >= heard.0 {
            *heard = (round, now);
        }
    }
}
