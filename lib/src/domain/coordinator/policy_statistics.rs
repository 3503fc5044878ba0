//! Statistics by routing policy, sent to the control daemons by way of the domain leader.

use super::Coordinator;
use crate::{
    peer_api::{
        PeerMessage,
        PolicyStatisticsDelta, //
    },
    prelude::*,
};

/// How many statistics items wait for a leader before the oldest are dropped.
const PENDING_LIMIT: usize = 256;

impl Coordinator {
    /// Queues statistics of this daemon's own requests; returns how many items were dropped.
    ///
    /// The items go to control by way of the domain leader, so that control receives them from
    /// only one process of each domain. Without a leader they wait in this queue.
    pub fn queue_policy_statistics(&mut self, statistics: Vec<PolicyStatisticsDelta>) -> usize {
        self.pending_statistics.extend(statistics);
        let excess = self.pending_statistics.len().saturating_sub(PENDING_LIMIT);
        self.pending_statistics.drain(..excess);
        excess
    }

    /// Sends the queued statistics to the leader, or to control if this daemon leads.
    pub(super) fn send_policy_statistics(&mut self, now: Timestamp) {
        if self.pending_statistics.is_empty() {
            return;
        }
        let Some((leader, epoch)) = self.lease.leader(now) else {
            return;
        };
        // The daemon with the lease may not know yet that it leads. A table of that epoch shows
        // that it does.
        if self.table.as_ref().is_none_or(|table| table.epoch != epoch) {
            return;
        }
        let leader = leader.clone();
        let statistics = std::mem::take(&mut self.pending_statistics);
        if leader == self.parameters.daemon {
            self.send_to_control_daemons(&statistics);
        } else {
            self.send(&leader, PeerMessage::Figures(statistics));
        }
    }

    /// Passes another daemon's statistics on to control, if this daemon leads.
    pub(super) fn relay_policy_statistics(
        &mut self,
        from: &DaemonId,
        statistics: Vec<PolicyStatisticsDelta>,
    ) {
        // A daemon that doesn't lead drops the statistics. If it passed them on, they could
        // circulate between two daemons that each take the other for the leader.
        if self.leader.is_some() && self.parameters.daemons.contains(from) {
            self.send_to_control_daemons(&statistics);
        }
    }

    /// Sends statistics to all control daemons, each of which adds them up for itself.
    fn send_to_control_daemons(&mut self, statistics: &[PolicyStatisticsDelta]) {
        let control: Vec<DaemonId> = self.parameters.control.keys().cloned().collect();
        for daemon in control {
            self.send(&daemon, PeerMessage::Figures(statistics.to_vec()));
        }
    }
}
