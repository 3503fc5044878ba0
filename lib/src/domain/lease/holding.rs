//! The candidate and the holder: probes, requests, and the grants that come back.

use std::collections::BTreeSet;

use super::{
    Lease,
    LeaseSend,
    ROUNDS_KEPT,
    Role,
    Round, //
};
use crate::{
    peer_api::LeaseMessage,
    prelude::*, //
};

impl Lease {
    pub(super) fn probe(&mut self, now: Timestamp) -> Vec<LeaseSend> {
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

    pub(super) fn count_probe(
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

    pub(super) fn stand(&mut self, epoch: u32, now: Timestamp) -> Vec<LeaseSend> {
        let timing = self.parameters.timing;
        self.rounds.clear();
        self.heard_at.clear();
        self.role = Role::Candidate {
            epoch,
            give_up_at: now + timing.shorter(timing.leader_lease),
        };
        self.request(epoch, now)
    }

    pub(super) fn request(&mut self, epoch: u32, now: Timestamp) -> Vec<LeaseSend> {
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

    pub(super) fn count_grant(
        &mut self,
        from: &DaemonId,
        granted: u32,
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

    pub(super) fn note_heard(&mut self, from: &DaemonId, round: u64, now: Timestamp) {
        let heard = self.heard_at.entry(from.clone()).or_insert((round, now));
        if round >= heard.0 {
            *heard = (round, now);
        }
    }
}
