//! The voter: what is granted to whom, and the routing lease that comes with it.

use super::{
    Grant,
    Lease,
    LeaseSend,
    ROUNDS_KEPT,
    Role, //
};
use crate::{
    peer_api::LeaseMessage,
    prelude::*, //
};

impl Lease {
    pub(super) fn would_grant(&self, candidate: &DaemonId, epoch: u32, now: Timestamp) -> bool {
        let grant = self.grant.as_ref().filter(|grant| now < grant.until);
        let is_free = grant.is_none_or(|grant| grant.holder == *candidate);
        let is_current = epoch >= self.highest_epoch && self.is_epoch_of(candidate, epoch);
        now >= self.grants_from && is_free && is_current
    }

    pub(super) fn record_grant(&mut self, holder: &DaemonId, epoch: u32, now: Timestamp) {
        let timing = self.parameters.timing;
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.grant = Some(Grant {
            holder: holder.clone(),
            epoch,
            until: now + timing.longer(timing.leader_lease),
        });
    }

    pub(super) fn answer_probe(
        &self,
        from: &DaemonId,
        epoch: u32,
        now: Timestamp,
    ) -> Vec<LeaseSend> {
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

    pub(super) fn answer_request(
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
    pub(super) fn extend_routing_lease(&mut self, confirmed_round: Option<u64>, now: Timestamp) {
        let lease = self.parameters.timing.leader_lease;
        let replied_at = confirmed_round.and_then(|round| self.replied_at.get(&round));
        if let Some(replied_at) = replied_at {
            if now >= self.routing_until {
                self.routing_since = now;
            }
            self.routing_until = self.routing_until.max(*replied_at + lease);
        }
    }

    pub(super) fn remember_reply(&mut self, round: u64, now: Timestamp) {
        // A doubled request keeps the first time, so that the lease starts no later.
        self.replied_at.entry(round).or_insert(now);
        while self.replied_at.len() > ROUNDS_KEPT {
            self.replied_at.pop_first();
        }
    }
}
