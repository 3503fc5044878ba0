//! Figures by policy on their way to control.

use super::Coordinator;
use crate::{
    peer_api::{
        FiguresDelta,
        PeerMessage, //
    },
    prelude::*,
};

/// How many figures wait for a leader before the oldest are dropped.
const WAITING_LIMIT: usize = 256;

impl Coordinator {
    /// Takes the figures of this daemon's own requests; returns how many had to be dropped.
    ///
    /// They go to control by way of the domain leader, so that control hears one process
    /// of each domain. While there is no leader they wait here.
    pub fn queue_policy_statistics(&mut self, figures: Vec<FiguresDelta>) -> usize {
        self.waiting_figures.extend(figures);
        let excess = self.waiting_figures.len().saturating_sub(WAITING_LIMIT);
        self.waiting_figures.drain(..excess);
        excess
    }

    /// Sends the waiting figures if there is somebody to send them to.
    pub(super) fn send_figures(&mut self, now: Timestamp) {
        if self.waiting_figures.is_empty() {
            return;
        }
        let Some((leader, epoch)) = self.lease.leader(now) else {
            return;
        };
        // Who has been granted the lease may not know yet that it leads; its table shows it.
        if self.table.as_ref().is_none_or(|table| table.epoch != epoch) {
            return;
        }
        let leader = leader.clone();
        let figures = std::mem::take(&mut self.waiting_figures);
        if leader == self.parameters.daemon {
            self.tell_control(&figures);
        } else {
            self.send(&leader, PeerMessage::Figures(figures));
        }
    }

    pub(super) fn receive_figures(&mut self, from: &DaemonId, figures: Vec<FiguresDelta>) {
        // One that leads no longer drops them: passed on to the next leader they could go
        // round between two that each take the other for it.
        if self.leader.is_some() && self.parameters.daemons.contains(from) {
            self.tell_control(&figures);
        }
    }

    /// Each control daemon adds them up for itself.
    fn tell_control(&mut self, figures: &[FiguresDelta]) {
        let control: Vec<DaemonId> = self.parameters.control.keys().cloned().collect();
        for daemon in control {
            self.send(&daemon, PeerMessage::Figures(figures.to_vec()));
        }
    }
}
