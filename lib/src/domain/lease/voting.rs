//! The voter: grants of the leader's lease, and the routing lease that this daemon gets in
//! return.

use super::{
    Grant,
    Lease,
    LeaseSend,
    RETAINED_ROUNDS,
    Role, //
};
use crate::{
    peer_api::LeaseMessage,
    prelude::*, //
};

impl Lease {
    /// Returns whether this voter may grant the lease to `candidate` under `epoch` at `now`.
    pub(super) fn would_grant(&self, candidate: &DaemonId, epoch: u32, now: Timestamp) -> bool {
        let grant = self.grant.as_ref().filter(|grant| now < grant.until);
        let is_free = grant.is_none_or(|grant| grant.holder == *candidate);
        let is_current = epoch >= self.highest_epoch && self.is_epoch_of(candidate, epoch);
        now >= self.grants_allowed_from && is_free && is_current
    }

    /// Records a grant of this voter, for slightly longer than the lease.
    pub(super) fn record_grant(&mut self, holder: &DaemonId, epoch: u32, now: Timestamp) {
        let timing = self.parameters.timing;
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.grant = Some(Grant {
            holder: holder.clone(),
            epoch,
            until: now + timing.lengthened_by_clock_error(timing.leader_lease),
        });
    }

    /// Replies whether this voter would grant the lease; changes nothing.
    pub(super) fn answer_probe(
        &self,
        from: &DaemonId,
        epoch: u32,
        now: Timestamp,
    ) -> Vec<LeaseSend> {
        // A probe asks for a new lease. A daemon that lost its state in a restart must not lead
        // a second time under the same epoch.
        let is_new = epoch > self.highest_epoch;
        let reply = LeaseMessage::ProbeReply {
            epoch,
            would_grant: is_new && self.would_grant(from, epoch, now),
            highest_epoch: self.highest_epoch,
        };
        vec![(from.clone(), reply)]
    }

    /// Grants or refuses the lease for one round, and follows a leader to which the lease is
    /// granted.
    pub(super) fn answer_request(
        &mut self,
        from: &DaemonId,
        epoch: u32,
        round: u64,
        confirmed_round: Option<u64>,
        now: Timestamp,
    ) -> Vec<LeaseSend> {
        let granted = self.would_grant(from, epoch, now);
        self.observe_epoch(epoch, now);
        if granted {
            if self.grant.as_ref().is_none_or(|grant| grant.epoch != epoch) {
                self.reply_times.clear();
            }
            self.record_grant(from, epoch, now);
            self.role = Role::Follower;
            self.probe_at = now
                + self
                    .parameters
                    .timing
                    .lengthened_by_clock_error(self.parameters.timing.leader_lease);
            self.probe_at = self.probe_at + self.random_probe_delay();
            self.extend_routing_lease(confirmed_round, now);
            self.record_reply(round, now);
        }
        let reply = LeaseMessage::Reply {
            epoch,
            round,
            granted,
            highest_epoch: self.highest_epoch,
        };
        vec![(from.clone(), reply)]
    }

    /// Extends the routing lease if the leader has confirmed a reply of this daemon.
    ///
    /// The lease counts from the time of that reply. Counted from the arrival of the
    /// confirmation, the lease could outlast the leader's bound by the confirmation's time in
    /// transit.
    pub(super) fn extend_routing_lease(&mut self, confirmed_round: Option<u64>, now: Timestamp) {
        let lease = self.parameters.timing.leader_lease;
        let replied_at = confirmed_round.and_then(|round| self.reply_times.get(&round));
        if let Some(replied_at) = replied_at {
            if now >= self.routing_until {
                self.routing_since = now;
            }
            self.routing_until = self.routing_until.max(*replied_at + lease);
        }
    }

    /// Records when this voter replied to a round.
    pub(super) fn record_reply(&mut self, round: u64, now: Timestamp) {
        // A duplicate request leaves the first reply's time in place, so that the lease doesn't
        // start later.
        self.reply_times.entry(round).or_insert(now);
        while self.reply_times.len() > RETAINED_ROUNDS {
            self.reply_times.pop_first();
        }
    }
}
