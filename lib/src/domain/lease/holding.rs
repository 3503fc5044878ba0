//! The candidate and the holder: sent probes and requests, and the replies to them.

use std::collections::BTreeSet;

use super::{
    Lease,
    LeaseSend,
    RETAINED_ROUNDS,
    Role,
    Round, //
};
use crate::{
    peer_api::LeaseMessage,
    prelude::*, //
};

impl Lease {
    /// Starts to probe for the lease under a new epoch, if this daemon itself would grant it.
    pub(super) fn start_probing(&mut self, now: Timestamp) -> Vec<LeaseSend> {
        let own = self.parameters.daemon.clone();
        let epoch = self.next_own_epoch();
        if !self.would_grant(&own, epoch, now) {
            self.probe_at = now + self.random_probe_delay();
            return Vec::new();
        }
        self.role = Role::Probing {
            epoch,
            would_grant: BTreeSet::from([own.clone()]),
            give_up_at: now + self.parameters.timing.heartbeat * 2,
        };
        if self.majority() == 1 {
            return self.become_candidate(epoch, now);
        }
        let probe = LeaseMessage::Probe { epoch };
        self.other_daemons()
            .into_iter()
            .map(|to| (to, probe.clone()))
            .collect()
    }

    /// Counts a voter's reply to a probe; requests the lease once a majority would grant it.
    pub(super) fn count_probe_reply(
        &mut self,
        from: &DaemonId,
        probed_epoch: u32,
        is_willing: bool,
        now: Timestamp,
    ) -> Vec<LeaseSend> {
        let majority = self.majority();
        let Role::Probing {
            epoch, would_grant, ..
        } = &mut self.role
        else {
            return Vec::new();
        };
        if !is_willing || probed_epoch != *epoch {
            return Vec::new();
        }
        would_grant.insert(from.clone());
        if would_grant.len() < majority {
            return Vec::new();
        }
        let epoch = *epoch;
        self.become_candidate(epoch, now)
    }

    /// Becomes a candidate and returns the first round of lease requests.
    pub(super) fn become_candidate(&mut self, epoch: u32, now: Timestamp) -> Vec<LeaseSend> {
        let timing = self.parameters.timing;
        self.rounds.clear();
        self.last_grants.clear();
        self.role = Role::Candidate {
            epoch,
            give_up_at: now + timing.shortened_by_clock_error(timing.leader_lease),
        };
        self.start_round(epoch, now)
    }

    /// Starts a new round: grants the lease to this daemon itself and returns the requests to
    /// the other daemons.
    pub(super) fn start_round(&mut self, epoch: u32, now: Timestamp) -> Vec<LeaseSend> {
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
        while self.rounds.len() > RETAINED_ROUNDS {
            self.rounds.pop_first();
        }
        self.count_grant(&own, epoch, round, now);
        let request_to = |to: DaemonId| {
            let last_grant = self
                .last_grants
                .get(&to)
                .filter(|_| !self.outdated_daemons.contains(&to));
            let confirmed_round = last_grant.map(|(round, _)| *round);
            let request = LeaseMessage::Request {
                epoch,
                round,
                confirmed_round,
            };
            (to, request)
        };
        self.other_daemons().into_iter().map(request_to).collect()
    }

    /// Counts a grant for its round; a majority makes this daemon the holder or extends its
    /// lease.
    pub(super) fn count_grant(
        &mut self,
        from: &DaemonId,
        granted_epoch: u32,
        round: u64,
        now: Timestamp,
    ) {
        let timing = self.parameters.timing;
        let majority = self.majority();
        let (epoch, since) = match self.role {
            Role::Candidate { epoch, .. } => (epoch, now),
            Role::Holder { epoch, since, .. } => (epoch, since),
            _ => return,
        };
        let Some(counted) = self
            .rounds
            .get_mut(&round)
            .filter(|_| granted_epoch == epoch)
        else {
            return;
        };
        counted.granted_by.insert(from.clone());
        let has_majority = counted.granted_by.len() >= majority;
        let until = counted.sent_at + timing.shortened_by_clock_error(timing.leader_lease);
        self.record_granted_round(from, round, now);
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

    /// Records that a voter granted `round`, unless a newer round of it is recorded.
    pub(super) fn record_granted_round(&mut self, from: &DaemonId, round: u64, now: Timestamp) {
        let last_grant = self.last_grants.entry(from.clone()).or_insert((round, now));
        if round >= last_grant.0 {
            *last_grant = (round, now);
        }
    }
}
